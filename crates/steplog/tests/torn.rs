//! Logs that a crash has cut, or that something has spoilt, at every byte.

use operator::Document;
use steplog::{compacted_log, encode_record, scan, HEADER};
use transaction::{GenerationStatus, History, Record};

fn steps() -> Vec<Record> {
    let mut document = Document::default();
    document.limits.max_attempts = Some(3);
    let staged = |number, document: &Document| Record::Staged {
        number,
        at: 5.0,
        note: "a note".into(),
        text: document.canonical_toml(),
    };
    vec![
        staged(1, &Document::default()),
        Record::Confirmed { number: 1 },
        staged(2, &document),
        Record::Applied { number: 2 },
        Record::Confirmed { number: 2 },
    ]
}

fn log(records: &[Record]) -> Vec<u8> {
    HEADER.iter().copied().chain(records.iter().flat_map(encode_record)).collect()
}

#[test]
fn a_log_cut_at_any_byte_comes_back_to_the_last_whole_step() {
    let steps = steps();
    let whole = log(&steps);
    for cut in 0..=whole.len() {
        let scan = scan(&whole[..cut]).unwrap();
        assert!(steps.starts_with(&scan.records));
        assert!(scan.valid_bytes <= cut);
        assert_eq!(scan.cut_reason.is_none(), scan.valid_bytes == cut, "{cut}");
        let confirmed = History::replay(scan.records).confirmed().map(|generation| generation.number);
        // The second generation holds only once its confirmation is there to the last byte.
        let expected = match cut {
            cut if cut == whole.len() => Some(2),
            cut if cut >= log(&steps[..2]).len() => Some(1),
            _ => None,
        };
        assert_eq!(confirmed, expected, "{cut}");
    }
}

#[test]
fn a_spoilt_byte_is_never_believed() {
    let steps = steps();
    let whole = log(&steps);
    let last = log(&steps[..4]).len();
    for at in HEADER.len()..whole.len() {
        let mut spoilt = whole.clone();
        spoilt[at] ^= 0x10;
        let scan = scan(&spoilt).unwrap();
        assert!(steps.starts_with(&scan.records) && scan.records.len() < steps.len(), "{at}");
        assert!(scan.cut_reason.is_some());
        assert!(at < last || scan.records.len() == 4);
    }
    assert!(scan(b"something else").is_err());
    assert!(scan(b"dewferry steps 2\n").is_err());
}

#[test]
fn a_rewritten_log_says_the_same() {
    let mut steps = steps();
    steps.push(Record::Staged {
        number: 3,
        at: 6.0,
        note: String::new(),
        text: "listen = \"127.0.0.1:9\"".into(),
    });
    steps.push(Record::Applied { number: 3 });
    let history = History::replay(steps);
    let again = History::replay(scan(&compacted_log(&history)).unwrap().records);
    assert_eq!(
        again.confirmed().map(|g| (g.number, g.digest)),
        history.confirmed().map(|g| (g.number, g.digest))
    );
    assert!(again.entries().eq(history.entries()));
    assert_eq!(again.next_number(), 4);
    assert_eq!(again.entries().last().map(|entry| entry.fate), Some(GenerationStatus::Applied));
    assert_eq!(again.rollback_target(None).map(|g| g.number), Some(1));
}
