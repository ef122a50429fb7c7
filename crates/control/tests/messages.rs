//! Encoding and decoding of requests and responses, and rejection of malformed lines.

use buffer::{Lines, TooLong};
use control::{Call, Code, Request, Response, MAX_LINE_BYTES};

#[test]
fn requests_round_trip_through_their_line() {
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
fn malformed_requests_are_rejected_with_the_reason() {
    for (line, expected) in [
        (&b"garbage"[..], "not a call"),
        (br#"{"v":2,"do":"status"}"#, "version 2; accepted: 1"),
        (br#"{"v":1,"do":"explode"}"#, "unknown variant"),
        (br#"{"do":"status"}"#, "missing field"),
        (b"\xff", "not a call"),
    ] {
        let error = Request::parse(line).unwrap_err();
        assert!(error.contains(expected), "{error}");
    }
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    assert!(Request::parse(deep.as_bytes()).is_err());
}

#[test]
fn lines_are_split_wherever_reads_are_fragmented() {
    let (status, show) = (Request::new(Call::Status {}).to_line(), Request::new(Call::Show {}).to_line());
    let bytes = [status.clone(), show.clone()].concat();
    for split in 0..bytes.len() {
        let mut lines = Lines::new(MAX_LINE_BYTES);
        let mut lines_read = Vec::new();
        for chunk in [&bytes[..split], &bytes[split..]] {
            lines.push(chunk).unwrap();
            while let Some(line) = lines.take() {
                lines_read.push(line);
            }
        }
        assert_eq!(lines_read, [&status[..status.len() - 1], &show[..show.len() - 1]]);
        assert_eq!(lines.buffered_bytes(), 0);
    }
    let mut lines = Lines::new(MAX_LINE_BYTES);
    assert_eq!(lines.push(&vec![b'a'; MAX_LINE_BYTES]), Ok(()));
    assert_eq!((lines.take(), lines.push(b"a")), (None, Err(TooLong)));
}

#[test]
fn codes_map_to_exit_codes() {
    for (code, exit) in [(Code::Ok, 0), (Code::Refused, 1), (Code::Unreadable, 2), (Code::RolledBack, 3)] {
        assert_eq!(Response::new(code, "").code.exit_code(), exit);
    }
}
