//! The messages: both ways, and what is none of them.

use buffer::{Lines, TooLong};
use control::{Call, Code, Request, Response, MAX_LINE_BYTES};

#[test]
fn a_call_reads_back_as_it_was_written() {
    let apply = Call::Apply {
        text: "a = \"\n\"".into(),
        note: "why".into(),
        confirm_within_s: Some(3.0),
        allow: vec!["members-share".into()],
    };
    for call in [apply, Call::Status {}, Call::Rollback { to: Some(3), allow: Vec::new() }] {
        let request = Request::new(call);
        let line = request.to_line();
        assert_eq!(line.iter().filter(|byte| **byte == b'\n').count(), 1);
        assert_eq!(Request::parse(&line[..line.len() - 1]), Ok(request));
    }
    let short = Request::parse(br#"{"v":1,"do":"apply","text":""}"#).unwrap();
    assert!(matches!(short.call, Call::Apply { confirm_within_s: None, .. }));
}

#[test]
fn what_is_no_call_is_told() {
    for (line, words) in [
        (&b"garbage"[..], "not a call"),
        (br#"{"v":2,"do":"status"}"#, "version 2; accepted: 1"),
        (br#"{"v":1,"do":"explode"}"#, "unknown variant"),
        (br#"{"do":"status"}"#, "missing field"),
        (b"\xff", "not a call"),
    ] {
        let told = Request::parse(line).unwrap_err();
        assert!(told.contains(words), "{told}");
    }
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    assert!(Request::parse(deep.as_bytes()).is_err());
}

#[test]
fn lines_are_cut_wherever_the_bytes_come_apart() {
    let (status, show) = (Request::new(Call::Status {}).to_line(), Request::new(Call::Show {}).to_line());
    let bytes = [status.clone(), show.clone()].concat();
    for at in 0..bytes.len() {
        let mut lines = Lines::new(MAX_LINE_BYTES);
        let mut taken = Vec::new();
        for piece in [&bytes[..at], &bytes[at..]] {
            lines.push(piece).unwrap();
            while let Some(line) = lines.take() {
                taken.push(line);
            }
        }
        assert_eq!(taken, [&status[..status.len() - 1], &show[..show.len() - 1]]);
        assert_eq!(lines.buffered_bytes(), 0);
    }
    let mut lines = Lines::new(MAX_LINE_BYTES);
    assert_eq!(lines.push(&vec![b'a'; MAX_LINE_BYTES]), Ok(()));
    assert_eq!((lines.take(), lines.push(b"a")), (None, Err(TooLong)));
}

#[test]
fn every_end_has_its_exit_code() {
    for (code, exit) in [(Code::Ok, 0), (Code::Refused, 1), (Code::Unreadable, 2), (Code::RolledBack, 3)] {
        assert_eq!(Response::new(code, "").code.exit_code(), exit);
    }
}
