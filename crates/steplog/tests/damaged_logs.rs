//! Logs truncated or corrupted at every byte.

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
fn truncated_log_is_read_up_to_the_last_complete_step() {
    let steps = steps();
    let complete = log(&steps);
    for cut in 0..=complete.len() {
        let scan = scan(&complete[..cut]).unwrap();
        assert!(steps.starts_with(&scan.records));
        assert!(scan.valid_bytes <= cut);
        assert_eq!(scan.cut_reason.is_none(), scan.valid_bytes == cut, "{cut}");
        let confirmed = History::replay(scan.records).confirmed().map(|generation| generation.number);
        // The second generation is confirmed only if its confirmation is complete to the last byte.
        let expected = match cut {
            cut if cut == complete.len() => Some(2),
            cut if cut >= log(&steps[..2]).len() => Some(1),
            _ => None,
        };
        assert_eq!(confirmed, expected, "{cut}");
    }
}

#[test]
fn corrupt_byte_ends_the_log() {
    let steps = steps();
    let complete = log(&steps);
    let last_record_at = log(&steps[..4]).len();
    for at in HEADER.len()..complete.len() {
        let mut corrupt = complete.clone();
        corrupt[at] ^= 0x10;
        let scan = scan(&corrupt).unwrap();
        assert!(steps.starts_with(&scan.records) && scan.records.len() < steps.len(), "{at}");
        assert!(scan.cut_reason.is_some());
        assert!(at < last_record_at || scan.records.len() == 4);
    }
    assert!(scan(b"something else").is_err());
    assert!(scan(b"dewferry steps 2\n").is_err());
}

#[test]
fn compacted_log_holds_the_same_history() {
    let mut steps = steps();
    steps.push(Record::Staged {
        number: 3,
        at: 6.0,
        note: String::new(),
        text: "listen = \"127.0.0.1:9\"".into(),
    });
    steps.push(Record::Applied { number: 3 });
    let history = History::replay(steps);
    let reread = History::replay(scan(&compacted_log(&history)).unwrap().records);
    assert_eq!(
        reread.confirmed().map(|g| (g.number, g.digest)),
        history.confirmed().map(|g| (g.number, g.digest))
    );
    assert!(reread.entries().eq(history.entries()));
    assert_eq!(reread.next_number(), 4);
    assert_eq!(reread.entries().last().map(|entry| entry.fate), Some(GenerationStatus::Applied));
    assert_eq!(reread.rollback_target(None).map(|g| g.number), Some(1));
}
