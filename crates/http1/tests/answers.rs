//! Responses, complete and in pieces, valid and invalid.

use buffer::{Budget, Ring};
use http1::{Fault, Head, Piece, Request, ResponseReader};

/// Returns all pieces of a byte sequence that arrives in two parts, split at `at`; adjacent parts of a body
/// are joined.
fn pieces(bytes: &[u8], split_at: usize) -> Result<Vec<Piece>, Fault> {
    let mut inbox = Ring::new(&Budget::new(1 << 20));
    let mut reader = ResponseReader::default();
    let mut all: Vec<Piece> = Vec::new();
    for half in [&bytes[..split_at], &bytes[split_at..]] {
        inbox.push(half).unwrap();
        while let Some(piece) = reader.next(&mut inbox)? {
            match (all.last_mut(), piece) {
                (Some(Piece::Body(before)), Piece::Body(more)) => before.extend(more),
                (_, piece) => all.push(piece),
            }
        }
    }
    reader.connection_closed().map(|()| all)
}

fn head(status: u16, chunked: bool, keep_alive: bool) -> Piece {
    Piece::Head(Head { status, chunked, keep_alive })
}

#[test]
fn responses_are_parsed_alike_wherever_they_are_split() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello\
        HTTP/1.1 204 No Content\r\n\r\n\
        HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
        3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n";
    let expected = vec![
        head(200, false, true),
        Piece::Body(b"hello".to_vec()),
        Piece::End,
        head(204, false, true),
        Piece::End,
        head(200, true, false),
        Piece::Body(b"abcde".to_vec()),
        Piece::End,
    ];
    for split_at in 0..=bytes.len() {
        assert_eq!(pieces(bytes, split_at), Ok(expected.clone()), "{split_at}");
    }
}

#[test]
fn a_body_without_a_length_ends_with_its_connection() {
    let bytes = b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nall of it";
    let expected = vec![head(200, false, false), Piece::Body(b"all of it".to_vec())];
    assert_eq!(pieces(bytes, 10), Ok(expected));
}

#[test]
fn truncated_and_contradictory_responses_are_rejected() {
    let long = [b"HTTP/1.1 200 OK\r\nx: ".to_vec(), vec![b'a'; 10_000]].concat();
    let informational = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(20);
    for (bytes, fault) in [
        (&b"SSH-2.0-x\r\n"[..], Fault::InvalidHead),
        (&long, Fault::InvalidHead),
        (&informational, Fault::InvalidHead),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", Fault::InvalidLength),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", Fault::InvalidLength),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Fault::InvalidLength),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", Fault::InvalidLength),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", Fault::InvalidChunk),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", Fault::InvalidChunk),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", Fault::Truncated),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", Fault::Truncated),
    ] {
        assert_eq!(pieces(bytes, 0), Err(fault), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn control_characters_cannot_end_a_header_field() {
    let request = Request {
        method: "POST",
        target: "/v3/kv x\r\nEvil: 1",
        host: "a\r\nb",
        authorization: Some("t\r\nEvil: 2"),
        json_body: Some(b"{}"),
    };
    let text = String::from_utf8(request.to_bytes()).unwrap();
    assert!(!text.contains("\r\nEvil") && text.ends_with("Content-Length: 2\r\n\r\n{}"), "{text}");
    assert!(text.starts_with("POST /v3/kv%20xEvil:%201 HTTP/1.1\r\n"));
}
