//! A session whose server connection ends: each query and each Sync of its client still gets its own answer, in its
//! place.

mod messages;

use messages::*;
use pgwire::Message;
use pooling::{DetachReason, Mode, Session};
use rstest::rstest;

/// Returns an attached session that has been passed these messages, the first of which requests its server.
fn session_after(mode: Mode, requests: Vec<Message>) -> Session {
    let mut session = session(mode);
    let mut requests = requests.into_iter();
    from_client(&mut session, requests.by_ref().take(1).collect());
    attach(&mut session);
    from_client(&mut session, requests.collect());
    session
}

/// Takes the server connection from the session. Returns the kinds of the messages to the client, and the SQLSTATEs
/// of the errors among them.
fn lose(session: &mut Session, reason: DetachReason) -> (String, Vec<String>) {
    let mut out = Vec::new();
    session.server_detached(reason, &mut out);
    (kinds(&out).0, sqlstates(&out))
}

/// Guards against an answer of the session itself that is dropped while it waits behind one of the lost server.
#[rstest]
#[case::class(Mode::Transaction, "SET dewferry.class = 'reports'", "EZCZEZ", &["08007", "08007"])]
#[case::class_is_reset(Mode::Transaction, "RESET dewferry.class", "EZCZEZ", &["08007", "08007"])]
#[case::forbidden_transaction(Mode::Statement, "BEGIN", "EZEZEZ", &["08007", "0A000", "08007"])]
fn a_query_that_is_answered_without_the_server_keeps_its_answer(
    #[case] mode: Mode,
    #[case] own: &str,
    #[case] replies: &str,
    #[case] errors: &[&str],
) {
    let requests = vec![text(b'Q', "SELECT 1"), text(b'Q', own), text(b'Q', "SELECT 2")];
    let mut session = session_after(mode, requests);
    let (kinds, sqlstates) = lose(&mut session, DetachReason::Lost);
    assert_eq!((kinds.as_str(), sqlstates), (replies, errors.iter().map(|code| code.to_string()).collect()));
}
