//! What a coverage-guided fuzzer drives: each function feeds one machine with any bytes and panics where something does
//! not hold that must, whatever comes. The targets under `fuzz/` call these, and so does the test that plays the kept
//! corpus again: what was found once stays found.
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

/// A machine that is fed.
pub type Fed = fn(&[u8]);

/// The machines by name, as the files of the corpus are called.
pub const ALL: [(&str, Fed); 4] =
    [("scanner", scanner), ("frames", frames), ("session", session), ("login", login)];

/// Where the kept corpus of a machine is.
pub fn kept(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus").join(format!("{name}.hex"))
}

/// The kept corpus of a machine.
pub fn corpus(name: &str) -> io::Result<Vec<Vec<u8>>> {
    let text = std::fs::read_to_string(kept(name))?;
    let line = |line| hex::decode(line).map_err(io::Error::other);
    text.lines().map(line).collect()
}

/// The scanner of statements: it comes to the end of any text, and never takes for a read what writes with another
/// statement behind it.
pub fn scanner(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let alone = sql::scan(&text);
    let mut lexer = sql::Lexer::new(&text);
    let (mut at, mut depth) = (0, 0usize);
    while let Some(token) = lexer.next() {
        depth = match token {
            Token::Symbol('(') => depth + 1,
            Token::Symbol(')') => depth.saturating_sub(1),
            _ => depth,
        };
        assert!(lexer.offset() > at, "the lexer stands still at {at}");
        at = lexer.offset();
    }
    assert!(text[lexer.offset()..].is_empty(), "the lexer stops at {at} of {}", text.len());
    if !lexer.is_unterminated() {
        // A newline ends a comment that the text may have ended in.
        let more = sql::scan(&format!("{text}\n;INSERT INTO items VALUES (1)"));
        assert!(!more.is_read_only(), "a write behind it is taken for a read");
        // A bracket that is open holds statements as one does in a rule; past a bound they are not told apart.
        let apart =
            !more.statements.iter().any(|one| matches!(one.kind, Kind::Unknown("too many statements")));
        let seen = more.statements.len() > alone.statements.len();
        assert!(depth > 0 || !apart || seen, "a statement behind it is not seen");
    }
}

/// Takes all messages there are off a ring that is filled with so many bytes at a time.
fn taken(bytes: &[u8], at_a_time: usize) -> (Vec<u8>, bool) {
    let budget = Budget::new(64 * 1024 * 1024);
    let (mut ring, mut flow, mut out) = (Ring::new(&budget), ServerMessageReader::default(), Vec::new());
    for part in bytes.chunks(at_a_time.max(1)) {
        if ring.push(part).is_err() {
            return (out, false);
        }
        loop {
            match flow.next(&mut ring) {
                Ok(None) => break,
                Ok(Some(Piece::Part(part))) => out.extend(part),
                Ok(Some(Piece::Message(message))) => {
                    out.extend(message_of_strings(message.kind, &[], &message.body))
                }
                Err(_) => return (out, false),
            }
        }
    }
    (out, true)
}

/// The framing: what comes out is what went in, however it was cut up on the way.
pub fn frames(bytes: &[u8]) {
    let (whole, sound) = taken(bytes, bytes.len());
    assert!(bytes.starts_with(&whole), "something else comes out than went in");
    for at_a_time in [1, 7] {
        assert_eq!(taken(bytes, at_a_time), (whole.clone(), sound), "{at_a_time} bytes at a time");
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

/// Messages of a client that mean something, beside what the bytes make up.
fn usual(which: u8) -> Message {
    let (kind, body): (u8, &[u8]) = match which % 24 {
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

/// Messages of a server that mean something.
fn told(which: u8) -> Message {
    let (kind, body): (u8, &[u8]) = match which % 20 {
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

/// How often a client was told that it may go on.
fn readies(actions: &[Action]) -> usize {
    let of = |bytes: &[u8]| {
        let (mut at, mut count) = (0, 0);
        while let Some(head) = bytes.get(at..at + 5) {
            count += usize::from(head[0] == b'Z');
            at += 1 + u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        }
        count
    };
    actions.iter().map(|action| if let Action::SendToClient(bytes) = action { of(bytes) } else { 0 }).sum()
}

/// A session between a client and a server that say anything: nothing is sent to a server that it does not have, what
/// it lets go of for others has nothing open, and a client is told that it may go on no more often than it has asked.
pub fn session(bytes: &[u8]) {
    let Some((mode, steps)) = bytes.split_first() else { return };
    let mode = [Mode::Transaction, Mode::Statement, Mode::Session][usize::from(*mode) % 3];
    let mut session = Session::new(mode, BTreeMap::new(), BTreeMap::new());
    let (mut asked, mut told_ready, mut ended, mut attached) = (0, 0, false, false);
    let mut steps = steps.iter().copied();
    while let (Some(step), false) = (steps.next(), ended) {
        let mut out = Vec::new();
        let mut made_up = |kinds: &[u8], first: u8| {
            let length = usize::from(steps.next().unwrap_or_default() % 24);
            Message {
                kind: kinds[usize::from(first) % kinds.len()],
                body: steps.by_ref().take(length).collect(),
            }
        };
        match step >> 5 {
            0..=2 if session.accepts_message() => {
                let message = if step >> 5 == 2 { made_up(b"QPBDECHSFdcfp", step) } else { usual(step) };
                // Each of these is answered with one; what is no message at all with one at the most.
                asked += 1;
                session.handle_client_message(message, &mut out);
            }
            3 | 4 if session.is_attached() => {
                session.handle_server_piece(Piece::Message(told(step)), &mut out)
            }
            5 if session.is_attached() => {
                let message = made_up(b"123CEZTtnsISNGHcA", step);
                session.handle_server_piece(Piece::Message(message), &mut out);
            }
            6 if !session.accepts_message() && !session.is_attached() && step & 1 == 0 => {
                session.attach(ServerSessionState::new(2), &mut out);
            }
            6 if !session.accepts_message() && !session.is_attached() => {
                session.server_refused("53300", "later", None, &mut out)
            }
            7 if session.is_attached() => {
                let cut = [
                    DetachReason::Lost,
                    DetachReason::Drained,
                    DetachReason::IdleInTransaction,
                    DetachReason::StatementTimeout,
                ];
                session.server_detached(cut[usize::from(step) % 4], &mut out);
                attached = false;
            }
            _ => continue,
        }
        attached |= session.is_attached();
        for action in &out {
            match action {
                Action::SendToServer(_) => {
                    assert!(attached, "something is sent to a server that there is not")
                }
                Action::ReleaseServer(kept) => {
                    attached = false;
                    assert!(!session.is_attached(), "let go of and still held");
                    let open = session.in_transaction() || session.awaits_reply();
                    assert!(
                        !open || *kept == Disposition::Close,
                        "a connection with something open is passed on"
                    );
                }
                Action::CloseClient => ended = true,
                Action::SendToClient(_) | Action::RequestServer(_) => {}
            }
        }
        told_ready += readies(&out);
        assert!(told_ready <= asked, "told {told_ready} times that it may go on, having asked {asked} times");
    }
}

/// A login and a file of users: no text upsets either, and no proof is taken that was not made with the password.
pub fn login(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    if let Ok(users) = Users::parse(&text) {
        assert_eq!(
            Users::parse(&users.to_text()).as_ref(),
            Ok(&users),
            "a file that is written is read as another"
        );
    }
    let verifier = Verifier::new("pencil", b"salt", 1);
    let mut lines = text.split('\n');
    let mut line = || lines.next().unwrap_or_default();
    for channel in [ChannelBinding::Unsupported, ChannelBinding::NotUsed, ChannelBinding::Bound(b"here")] {
        if let Ok((server, _)) = Server::begin(line(), "user", Some(&verifier), "nonce", b"secret", channel) {
            assert!(server.finish(line()).is_err(), "a proof without the password is taken");
        }
        let (mut client, _) = Client::begin("mine", channel);
        let told = line();
        if client.answer(&format!("r=mine{told}"), "pencil").is_ok() {
            assert!(client.finish(line()).is_err(), "a server that does not know the password is taken");
        }
    }
}
