//! Messages of clients and servers, and sessions that they are passed to.

#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::BTreeMap;

use pgwire::session::Piece;
use pgwire::Message;
use pooling::{Action, Mode, ServerSessionState, Session};

/// Returns a session that has no settings.
pub fn session(mode: Mode) -> Session {
    Session::new(mode, BTreeMap::new(), BTreeMap::new())
}

/// Returns a message.
pub fn message(kind: u8, body: &[u8]) -> Message {
    Message { kind, body: body.to_vec() }
}

/// Returns a message of one string.
pub fn text(kind: u8, text: &str) -> Message {
    message(kind, &[text.as_bytes(), b"\0"].concat())
}

/// Passes messages of the client to the session.
pub fn from_client(session: &mut Session, messages: Vec<Message>) -> Vec<Action> {
    let mut out = Vec::new();
    messages.into_iter().for_each(|message| session.handle_client_message(message, &mut out));
    out
}

/// Passes messages of the server to the session.
pub fn from_server(session: &mut Session, messages: Vec<Message>) -> Vec<Action> {
    let mut out = Vec::new();
    messages.into_iter().for_each(|message| session.handle_server_piece(Piece::Message(message), &mut out));
    out
}

/// Attaches the session to a new connection.
pub fn attach(session: &mut Session) -> Vec<Action> {
    let mut out = Vec::new();
    session.attach(ServerSessionState::new(10), &mut out);
    out
}

/// Returns the kinds of the messages to the client, and of those to the server.
pub fn kinds(actions: &[Action]) -> (String, String) {
    let (mut client, mut server) = (String::new(), String::new());
    for action in actions {
        let (bytes, into) = match action {
            Action::SendToClient(bytes) => (bytes, &mut client),
            Action::SendToServer(bytes) => (bytes, &mut server),
            _ => continue,
        };
        let mut rest = &bytes[..];
        while let Some((kind, after)) = rest.split_first() {
            into.push(*kind as char);
            rest = &after[u32::from_be_bytes(after[..4].try_into().unwrap()) as usize..];
        }
    }
    (client, server)
}

/// Returns the SQLSTATEs of the errors sent to the client.
pub fn sqlstates(actions: &[Action]) -> Vec<String> {
    let codes = actions.iter().filter_map(|action| match action {
        Action::SendToClient(bytes) if bytes[0] == b'E' => Some(pgwire::error_code(&bytes[5..]).0),
        _ => None,
    });
    codes.collect()
}

/// Returns a Parse message.
pub fn parse(name: &str, sql: &str) -> Message {
    message(b'P', &[name.as_bytes(), b"\0", sql.as_bytes(), b"\0\0\0"].concat())
}

/// Returns a Bind message for the unnamed portal.
pub fn bind(name: &str) -> Message {
    message(b'B', &[b"\0", name.as_bytes(), b"\0\0\0\0\0\0\0"].concat())
}

/// Returns an Execute message for the unnamed portal.
pub fn execute() -> Message {
    message(b'E', b"\0\0\0\0\0")
}

/// Returns a Sync message.
pub fn sync() -> Message {
    message(b'S', b"")
}

/// Returns a ReadyForQuery message.
pub fn ready(status: u8) -> Message {
    message(b'Z', &[status])
}
