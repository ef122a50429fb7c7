//! The targets of a coverage-guided fuzzer. Each target feeds arbitrary bytes to a parser or a state machine
//! and panics if an invariant is violated. The binaries under `fuzz/` call the targets, and so does the test
//! that replays the stored corpus to guard against regressions.
#![warn(missing_docs)]

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use buffer::{Budget, Ring};
use pgwire::session::{message_of_strings, read_startup, Piece, ServerMessageReader};
use pgwire::{read_message, Message};
use pooling::{Action, DetachReason, Disposition, Mode, ServerSessionState, Session};
use scram::{ChannelBinding, Client, Server, Users, Verifier};
use sql::{Kind, Token};

/// A target, called with an input.
pub type Target = fn(&[u8]);

/// The targets, by the names of their corpus files.
pub const TARGETS: [(&str, Target); 4] =
    [("scanner", scanner), ("frames", frames), ("session", session), ("login", login)];

/// Returns the path of a target's stored corpus.
pub fn corpus_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus").join(format!("{name}.hex"))
}

/// Reads the inputs of a target's stored corpus.
pub fn corpus(name: &str) -> io::Result<Vec<Vec<u8>>> {
    let text = std::fs::read_to_string(corpus_path(name))?;
    let line = |line| hex::decode(line).map_err(io::Error::other);
    text.lines().map(line).collect()
}

/// The SQL scanner: it reaches the end of any text, and never classifies a text as read-only if a statement
/// that writes is appended to it.
pub fn scanner(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let scanned = sql::scan(&text);
    let mut lexer = sql::Lexer::new(&text);
    let (mut at, mut depth) = (0, 0usize);
    while let Some(token) = lexer.next() {
        depth = match token {
            Token::Symbol('(') => depth + 1,
            Token::Symbol(')') => depth.saturating_sub(1),
            _ => depth,
        };
        assert!(lexer.offset() > at, "the lexer makes no progress at {at}");
        at = lexer.offset();
    }
    assert!(text[lexer.offset()..].is_empty(), "the lexer stops at {at} of {}", text.len());
    if !lexer.is_unterminated() {
        // The newline ends a comment in which the text may end.
        let extended = sql::scan(&format!("{text}\n;INSERT INTO items VALUES (1)"));
        assert!(!extended.is_read_only(), "a text with an appended write is classified as read-only");
        // Statements within an open parenthesis, as in a rule, and statements past the limit are not counted
        // separately.
        let counted =
            !extended.statements.iter().any(|one| matches!(one.kind, Kind::Unknown("too many statements")));
        let is_seen = extended.statements.len() > scanned.statements.len();
        assert!(depth > 0 || !counted || is_seen, "an appended statement is not seen");
    }
}

/// Reads all messages from a ring that is filled `chunk_size` bytes at a time. Returns their bytes, and
/// whether no error occurred.
fn read_messages(bytes: &[u8], chunk_size: usize) -> (Vec<u8>, bool) {
    let budget = Budget::new(64 * 1024 * 1024);
    let (mut ring, mut reader, mut output) = (Ring::new(&budget), ServerMessageReader::default(), Vec::new());
    for part in bytes.chunks(chunk_size.max(1)) {
        if ring.push(part).is_err() {
            return (output, false);
        }
        loop {
            match reader.next(&mut ring) {
                Ok(None) => break,
                Ok(Some(Piece::Part { bytes, .. })) => output.extend(bytes),
                Ok(Some(Piece::Message(message))) => {
                    output.extend(message_of_strings(message.kind, &[], &message.body))
                }
                Err(_) => return (output, false),
            }
        }
    }
    (output, true)
}

/// The framing of messages: the output is a prefix of the input, and the same in whatever chunks the input
/// arrives.
pub fn frames(bytes: &[u8]) {
    let (output, is_valid) = read_messages(bytes, bytes.len());
    assert!(bytes.starts_with(&output), "the output is not a prefix of the input");
    for chunk_size in [1, 7] {
        assert_eq!(
            read_messages(bytes, chunk_size),
            (output.clone(), is_valid),
            "{chunk_size} bytes at a time"
        );
    }
    let budget = Budget::new(64 * 1024 * 1024);
    let mut ring = Ring::new(&budget);
    if ring.push(bytes).is_ok() {
        let _ = read_startup(&mut ring);
    }
    let mut ring = Ring::new(&budget);
    if ring.push(bytes).is_ok() {
        while let Ok(Some(_)) = read_message(&mut ring) {}
    }
}

/// Returns a valid message of a client. Targets use these beside messages made from the input.
fn client_message(selector: u8) -> Message {
    let (kind, body): (u8, &[u8]) = match selector % 24 {
        0 => (b'Q', b"SELECT 1\0"),
        1 => (b'Q', b"BEGIN\0"),
        2 => (b'Q', b"COMMIT\0"),
        3 => (b'Q', b"ROLLBACK\0"),
        4 => (b'Q', b"SET a = 'b'\0"),
        5 => (b'Q', b"SAVEPOINT s\0"),
        6 => (b'Q', b"ROLLBACK TO s\0"),
        7 => (b'Q', b"DISCARD ALL\0"),
        8 => (b'Q', b"LISTEN x\0"),
        9 => (b'Q', b"COPY items FROM STDIN\0"),
        10 => (b'Q', b"SET LOCAL a = 'c'; SELECT 1; INSERT INTO items VALUES (1)\0"),
        11 => (b'P', b"p\0SELECT $1\0\0\0"),
        12 => (b'P', b"\0INSERT INTO items VALUES (1)\0\0\0"),
        13 => (b'B', b"\0p\0\0\0\0\0\0\0"),
        14 => (b'B', b"\0\0\0\0\0\0\0\0"),
        15 => (b'D', b"Sp\0"),
        16 => (b'E', b"\0\0\0\0\0"),
        17 => (b'C', b"Sp\0"),
        18 => (b'H', b""),
        19 => (b'd', b"data"),
        20 => (b'c', b""),
        21 => (b'f', b"no\0"),
        22 => (b'X', b""),
        _ => (b'S', b""),
    };
    Message { kind, body: body.into() }
}

/// Returns a valid message of a server.
fn server_message(selector: u8) -> Message {
    let (kind, body): (u8, &[u8]) = match selector % 20 {
        0 => (b'Z', b"I"),
        1 => (b'Z', b"T"),
        2 => (b'Z', b"E"),
        3 => (b'C', b"SELECT 1\0"),
        4 => (b'C', b"BEGIN\0"),
        5 => (b'C', b"COMMIT\0"),
        6 => (b'C', b"ROLLBACK\0"),
        7 => (b'C', b"SET\0"),
        8 => (b'E', b"SERROR\0C26000\0Mno such statement\0\0"),
        9 => (b'E', b"SERROR\0C25006\0Mread only\0\0"),
        10 => (b'1', b""),
        11 => (b'2', b""),
        12 => (b'3', b""),
        13 => (b'n', b""),
        14 => (b'T', b"\0\0"),
        15 => (b'G', b"\0\0\0"),
        16 => (b'S', b"a\0b\0"),
        17 => (b's', b""),
        18 => (b'I', b""),
        _ => (b't', b"\0\0"),
    };
    Message { kind, body: body.into() }
}

/// Counts the ReadyForQuery messages to the client.
fn count_ready_messages(actions: &[Action]) -> usize {
    let count_in = |bytes: &[u8]| {
        let (mut at, mut count) = (0, 0);
        while let Some(head) = bytes.get(at..at + 5) {
            count += usize::from(head[0] == b'Z');
            at += 1 + u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        }
        count
    };
    actions
        .iter()
        .map(|action| if let Action::SendToClient(bytes) = action { count_in(bytes) } else { 0 })
        .sum()
}

/// A session between a client and a server that send arbitrary messages. It sends nothing to a server while
/// none is attached, it releases a server connection for reuse only if no transaction is open and no reply is
/// pending, and the client receives at most one ReadyForQuery per message that it sent, and nothing but the rest of
/// a message that it has received in part.
pub fn session(bytes: &[u8]) {
    let Some((mode, steps)) = bytes.split_first() else { return };
    let mode = [Mode::Transaction, Mode::Statement, Mode::Session][usize::from(*mode) % 3];
    let mut session = Session::new(mode, BTreeMap::new(), BTreeMap::new());
    let (mut requests, mut ready_messages, mut ended, mut attached) = (0, 0, false, false);
    let mut steps = steps.iter().copied();
    while let (Some(step), false) = (steps.next(), ended) {
        let mut output = Vec::new();
        let mut message_from_input = |kinds: &[u8], first: u8| {
            let length = usize::from(steps.next().unwrap_or_default() % 24);
            Message {
                kind: kinds[usize::from(first) % kinds.len()],
                body: steps.by_ref().take(length).collect(),
            }
        };
        let within_message = session.is_within_message();
        let is_part = (3..=5).contains(&(step >> 5)) && (within_message || step % 16 == 15);
        match step >> 5 {
            3..=5 if is_part && session.is_attached() => {
                let part = Piece::Part { bytes: vec![b'x'], is_last: step & 16 == 0 };
                session.handle_server_piece(part, &mut output);
            }
            0..=2 if session.accepts_message() => {
                let message = if step >> 5 == 2 {
                    message_from_input(b"QPBDECHSFdcfp", step)
                } else {
                    client_message(step)
                };
                // Each message is answered with at most one ReadyForQuery.
                requests += 1;
                session.handle_client_message(message, &mut output);
            }
            3 | 4 if session.is_attached() => {
                session.handle_server_piece(Piece::Message(server_message(step)), &mut output)
            }
            5 if session.is_attached() => {
                let message = message_from_input(b"123CEZTtnsISNGHcA", step);
                session.handle_server_piece(Piece::Message(message), &mut output);
            }
            6 if !session.accepts_message() && !session.is_attached() && step & 1 == 0 => {
                session.attach(ServerSessionState::new(2), &mut output);
            }
            6 if !session.accepts_message() && !session.is_attached() => {
                session.server_refused("53300", "later", None, &mut output)
            }
            7 if session.is_attached() => {
                let reasons = [
                    DetachReason::Lost,
                    DetachReason::Drained,
                    DetachReason::IdleInTransaction,
                    DetachReason::StatementTimeout,
                ];
                session.server_detached(reasons[usize::from(step) % 4], &mut output);
                attached = false;
            }
            _ => continue,
        }
        attached |= session.is_attached();
        let sends = output.iter().any(|action| matches!(action, Action::SendToClient(_)));
        assert!(!within_message || is_part || !sends, "data is sent within a message of the server");
        for action in &output {
            match action {
                Action::SendToServer(_) => {
                    assert!(attached, "data is sent while no server is attached")
                }
                Action::ReleaseServer(disposition) => {
                    attached = false;
                    assert!(!session.is_attached(), "a server was released and is still attached");
                    let open = session.in_transaction() || session.awaits_reply();
                    assert!(
                        !open || *disposition == Disposition::Close,
                        "a connection with an open transaction or a pending reply is released for reuse"
                    );
                }
                Action::CloseClient => ended = true,
                Action::SendToClient(_) | Action::RequestServer(_) => {}
            }
        }
        ready_messages += count_ready_messages(&output);
        assert!(
            ready_messages <= requests,
            "{ready_messages} ReadyForQuery messages for {requests} requests"
        );
    }
}

/// Logins and the file of users: both handle any text, and no proof made without the password is accepted.
pub fn login(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    if let Ok(users) = Users::parse(&text) {
        assert_eq!(
            Users::parse(&users.to_text()).as_ref(),
            Ok(&users),
            "the users read back from a written file differ"
        );
    }
    let verifier = Verifier::new("pencil", b"salt", 1);
    let mut lines = text.split('\n');
    let mut line = || lines.next().unwrap_or_default();
    for channel in [ChannelBinding::Unsupported, ChannelBinding::NotUsed, ChannelBinding::Bound(b"here")] {
        if let Ok((server, _)) = Server::begin(line(), "user", Some(&verifier), "nonce", b"secret", channel) {
            assert!(server.finish(line()).is_err(), "a proof made without the password is accepted");
        }
        let (mut client, _) = Client::begin("mine", channel);
        let server_nonce = line();
        if client.answer(&format!("r=mine{server_nonce}"), "pencil").is_ok() {
            assert!(client.finish(line()).is_err(), "a server without the password is accepted");
        }
    }
}
