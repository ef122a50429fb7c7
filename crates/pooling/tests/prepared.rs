//! Prepared statements of batches that are sent before earlier ones are answered, and that fail.

mod messages;

use messages::*;
use pgwire::session as wire;
use pgwire::Message;
use pooling::{Action, Mode, Session};

const NO: &str = "SERROR\0C22012\0Mno\0";

/// Returns the names and texts of the statements that are sent to a server, and the names that are bound.
fn parsed_and_bound(actions: &[Action]) -> (Vec<(String, String)>, Vec<String>) {
    let (mut parsed, mut bound) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            Action::SendToServer(bytes) if bytes[0] == b'P' => {
                let (name, text, _) = wire::read_parse(&bytes[5..]).unwrap();
                parsed.push((name.to_string(), text.to_string()));
            }
            Action::SendToServer(bytes) if bytes[0] == b'B' => {
                bound.push(wire::read_bind(&bytes[5..]).unwrap().1.to_string());
            }
            _ => {}
        }
    }
    (parsed, bound)
}

/// Returns an attached session whose batch that prepares a statement under this name is not answered.
fn preparing(name: &str, text: &str) -> Session {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![parse("", "SELECT 0"), bind(""), execute(), parse(name, text), sync()]);
    attach(&mut session);
    session
}

fn use_of(name: &str) -> Vec<Message> {
    vec![bind(name), execute(), sync()]
}

/// Guards against a statement that counts as prepared though the batch that prepares it may still fail.
#[test]
fn a_statement_of_a_batch_that_is_not_answered_does_not_count_as_prepared() {
    let mut session = preparing("a", "SELECT 1");
    let (parsed, bound) = parsed_and_bound(&from_client(&mut session, use_of("a")));
    assert_eq!(parsed, [(String::new(), "SELECT 1".to_string())]);
    assert_eq!(bound, [""]);
    // A Parse of the same text is answered by the server, not by what may come to be there.
    let again = vec![message(b'C', b"Sa\0"), parse("a", "SELECT 1"), sync()];
    assert_eq!(kinds(&from_client(&mut session, again)).1, "PS");
}

/// Guards against a round trip, or a message, too many once the server has prepared the statement.
#[test]
fn a_statement_that_the_server_has_prepared_is_used_by_its_name() {
    let mut session = preparing("a", "SELECT 1");
    from_client(&mut session, use_of("a"));
    let replies = [message(b'1', b""), message(b'2', b""), text(b'C', "SELECT 1"), message(b'1', b"")];
    from_server(&mut session, replies.into());
    assert_eq!(kinds(&from_client(&mut session, use_of("a"))).1, "BES");
}

/// Guards against another statement that is run in the place of the unnamed one, after the batch that was to prepare
/// that again has failed.
#[test]
fn the_unnamed_statement_is_that_of_the_client_whatever_fails() {
    let mut session = preparing("a", "SELECT 1");
    from_client(&mut session, use_of("a"));
    for _ in 0..2 {
        let (parsed, _) = parsed_and_bound(&from_client(&mut session, use_of("")));
        assert_eq!(parsed, [(String::new(), "SELECT 0".to_string())]);
    }
}

/// Guards against a statement that is prepared twice on the server (42P05), since the Close before it was skipped.
#[test]
fn a_statement_whose_messages_were_skipped_is_closed_before_it_is_prepared() {
    let mut session = preparing("a", "SELECT 1");
    from_server(&mut session, vec![message(b'1', b""), message(b'2', b""), text(b'E', NO), ready(b'I')]);
    from_client(&mut session, use_of("a"));
    let (_, sent) = kinds(&attach_again(&mut session));
    assert_eq!(sent, "CPBES");
}

/// Attaches the session to the connection that it has released.
fn attach_again(session: &mut Session) -> Vec<Action> {
    let (state, mut out) = (session.take_server_state(), Vec::new());
    session.attach(state, &mut out);
    out
}
