//! A session whose server connection ends: each query and each Sync of its client still gets its own answer, in its
//! place.

mod messages;

use messages::*;
use pgwire::Message;
use pooling::{Action, DetachReason, Disposition, Mode, Session};
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

/// Returns a session whose transaction was lost while it was idle.
fn session_in_lost_transaction() -> Session {
    let mut session = session_after(Mode::Transaction, vec![text(b'Q', "BEGIN")]);
    from_server(&mut session, vec![text(b'C', "BEGIN"), ready(b'T')]);
    assert_eq!(lose(&mut session, DetachReason::Lost), (String::new(), Vec::new()));
    session
}

/// Returns the text of a query to the server among the actions.
fn query_sent(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|action| match action {
        Action::SendToServer(bytes) if bytes[0] == b'Q' => pgwire::session::read_query(&bytes[5..]),
        _ => None,
    })
}

/// Guards against statements behind ROLLBACK that are answered as if they had been run.
#[rstest]
#[case::new_transaction("ROLLBACK; BEGIN; INSERT INTO a VALUES (1); COMMIT")]
#[case::commit("COMMIT ; INSERT INTO a VALUES (1)")]
#[case::commented("/* class=b */ ROLLBACK; SELECT 1")]
fn statements_behind_a_rollback_of_a_lost_transaction_are_run(#[case] sql: &str) {
    let mut session = session_in_lost_transaction();
    let actions = from_client(&mut session, vec![text(b'Q', sql)]);
    assert_eq!(kinds(&actions), ("C".into(), String::new()));
    assert!(matches!(actions.last(), Some(Action::RequestServer(_))), "{actions:?}");
    let sent = attach(&mut session);
    let first = sql.find(';').unwrap();
    let rest = query_sent(&sent).unwrap();
    assert_eq!((rest.len(), &rest[first..]), (sql.len(), &sql[first..]));
    assert_eq!(kinds(&from_server(&mut session, vec![text(b'C', "DONE"), ready(b'I')])).0, "CZ");
}

/// Guards against an answer without an error to statements for which there is no server.
#[test]
fn statements_behind_a_rollback_of_a_lost_transaction_may_be_refused() {
    let mut session = session_in_lost_transaction();
    let actions = from_client(&mut session, vec![text(b'Q', "ROLLBACK; INSERT INTO a VALUES (1)")]);
    assert_eq!(kinds(&actions).0, "C");
    let mut out = Vec::new();
    session.server_refused("53300", "later", None, &mut out);
    assert_eq!((kinds(&out).0, sqlstates(&out)), ("EZ".into(), vec!["53300".to_string()]));
}

/// Guards against a server that is requested for nothing.
#[rstest]
#[case("ROLLBACK", "CZ")]
#[case("COMMIT;", "CZ")]
#[case("abort; /* nothing */ ;", "CZ")]
#[case("ROLLBACK; SET dewferry.class = 'reports'", "CCZ")]
#[case("SELECT 1; ROLLBACK", "EZ")]
fn a_rollback_of_a_lost_transaction_needs_no_server(#[case] sql: &str, #[case] replies: &str) {
    let actions = from_client(&mut session_in_lost_transaction(), vec![text(b'Q', sql)]);
    assert_eq!(kinds(&actions), (replies.into(), String::new()));
    assert!(!actions.iter().any(|action| matches!(action, Action::RequestServer(_))));
}

/// Guards against replies that reach the client behind the error for which their server was given up.
#[test]
fn replies_that_are_read_together_with_an_unexpected_one_are_dropped() {
    let requests = vec![text(b'Q', "SELECT 1"), text(b'Q', "SELECT 2")];
    let mut session = session_after(Mode::Transaction, requests);
    let replies =
        vec![message(b'2', b""), text(b'C', "SELECT 1"), ready(b'I'), text(b'C', "SELECT 1"), ready(b'I')];
    let actions = from_server(&mut session, replies);
    assert_eq!((kinds(&actions).0, sqlstates(&actions)), ("EZEZ".into(), vec!["08007".to_string(); 2]));
    let releases = actions.iter().filter(|action| matches!(action, Action::ReleaseServer(_)));
    assert_eq!(releases.count(), 1);
}

/// Guards against a batch without an answer: an error of the session itself, by which the rest of the batch is
/// skipped, waits behind replies of the lost server.
#[rstest]
#[case::unknown_statement(vec![bind("none")], "08007")]
#[case::unknown_statement_in_a_second_batch(vec![sync(), parse("", "SELECT 2"), bind("none")], "08007")]
fn a_batch_that_the_session_turns_down_gets_an_error(#[case] rest: Vec<Message>, #[case] sqlstate: &str) {
    let mut requests = vec![text(b'Q', "SELECT 0"), parse("", "SELECT 1"), bind(""), execute()];
    requests.extend(rest);
    let mut session = session_after(Mode::Transaction, requests);
    let (kinds_before, errors) = lose(&mut session, DetachReason::Lost);
    assert!(kinds_before.ends_with('E'), "{kinds_before}");
    assert_eq!(errors.last().map(String::as_str), Some(sqlstate));
    assert_eq!(kinds(&from_client(&mut session, vec![execute(), sync()])), ("Z".into(), String::new()));
}

/// Guards against an error that reaches a client which is owed nothing: it would be taken for the answer to the next
/// query, which a server may answer without an error.
#[rstest]
fn a_server_that_says_why_it_ends_answers_no_query(#[values("BEGIN", "SELECT 1")] sql: &str) {
    let mut session = session_after(Mode::Session, vec![text(b'Q', sql)]);
    let status = if sql == "BEGIN" { b'T' } else { b'I' };
    from_server(&mut session, vec![text(b'C', sql), ready(status)]);
    let ends = text(b'E', "SFATAL\0VFATAL\0C57P01\0Mend\0");
    assert_eq!(from_server(&mut session, vec![ends]), []);
    assert_eq!(lose(&mut session, DetachReason::Lost), (String::new(), Vec::new()));
}

/// Guards against a reply that no query has asked for and that is passed on.
#[rstest]
#[case(text(b'C', "SELECT 1"))]
#[case(message(b'T', b"\0\0"))]
#[case(message(b'I', b""))]
fn a_reply_to_nothing_costs_the_server_its_connection(#[case] stray: Message) {
    let mut session = session_after(Mode::Session, vec![text(b'Q', "SELECT 1")]);
    from_server(&mut session, vec![text(b'C', "SELECT 1"), ready(b'I')]);
    assert_eq!(from_server(&mut session, vec![stray]), [Action::ReleaseServer(Disposition::Close)]);
}

fn describe(name: &str) -> Message {
    message(b'D', &[b"S", name.as_bytes(), b"\0"].concat())
}

fn close(name: &str) -> Message {
    message(b'C', &[b"S", name.as_bytes(), b"\0"].concat())
}

/// Guards against a statement that is answered with ROLLBACK, and not run, since its batch has ended the transaction.
#[test]
fn a_batch_goes_on_at_a_server_after_its_rollback_of_a_lost_transaction() {
    let mut session = session_in_lost_transaction();
    let batch = vec![parse("", "ROLLBACK"), bind(""), execute()];
    assert_eq!(kinds(&from_client(&mut session, batch)).0, "12C");
    let rest = vec![parse("", "INSERT INTO a VALUES (1)"), bind(""), execute(), sync()];
    let actions = from_client(&mut session, rest);
    assert!(matches!(actions[..], [Action::RequestServer(_)]), "{actions:?}");
    assert_eq!(kinds(&attach(&mut session)), (String::new(), "PBES".into()));
}

/// Guards against a transaction that ends though its end is only prepared, and against a statement that is prepared
/// without an error and is not there.
#[test]
fn an_end_that_is_only_prepared_ends_no_lost_transaction() {
    let mut session = session_in_lost_transaction();
    let batch = vec![parse("end", "ROLLBACK"), describe("end"), sync()];
    assert_eq!(kinds(&from_client(&mut session, batch)).0, "1tnZ");
    assert!(session.in_transaction());
    let actions = from_client(&mut session, vec![bind("end"), execute(), sync()]);
    assert_eq!(kinds(&actions).0, "2CZ");
    assert!(!session.in_transaction());
}

/// Guards against a client that cannot leave a lost transaction since it has prepared its ROLLBACK before.
#[test]
fn an_end_that_was_prepared_before_the_loss_ends_the_transaction() {
    let mut session = session_after(Mode::Transaction, vec![parse("end", "COMMIT"), sync()]);
    from_server(&mut session, vec![message(b'1', b""), ready(b'I')]);
    from_client(&mut session, vec![text(b'Q', "BEGIN")]);
    attach(&mut session);
    from_server(&mut session, vec![text(b'C', "BEGIN"), ready(b'T')]);
    lose(&mut session, DetachReason::Lost);
    assert_eq!(kinds(&from_client(&mut session, vec![bind("end"), execute(), sync()])).0, "2CZ");
    assert!(!session.in_transaction());
}

/// Guards against a statement that is closed without an error, and is still there.
#[test]
fn a_statement_that_is_closed_in_a_lost_transaction_can_be_prepared_anew() {
    let mut session = session_in_lost_transaction();
    let batch = vec![parse("end", "ROLLBACK"), close("end"), parse("end", "COMMIT"), sync()];
    assert_eq!(kinds(&from_client(&mut session, batch)).0, "131Z");
}

/// Guards against statements that run outside of the transaction which AND CHAIN was answered to have begun.
#[rstest]
fn a_lost_transaction_is_not_continued_by_another(
    #[values("ROLLBACK AND CHAIN", "COMMIT AND CHAIN", "ROLLBACK AND CHAIN; SELECT 1")] sql: &str,
) {
    let mut session = session_in_lost_transaction();
    let actions = from_client(&mut session, vec![text(b'Q', sql)]);
    assert_eq!((kinds(&actions).0, sqlstates(&actions)), ("EZ".into(), vec!["08006".to_string()]));
    assert!(session.in_transaction());
}

/// Guards against a message of a batch that is answered as if it had been run.
#[rstest]
#[case::another_statement(vec![parse("", "ROLLBACK"), parse("", "INSERT INTO a VALUES (1)")])]
#[case::another_portal(vec![parse("", "ROLLBACK"), message(b'E', b"other\0\0\0\0\0")])]
#[case::another_name(vec![parse("end", "ROLLBACK"), bind("other")])]
#[case::several_statements(vec![parse("", "ROLLBACK"), parse("", "ROLLBACK; BEGIN")])]
fn what_does_not_end_a_lost_transaction_is_rejected(#[case] batch: Vec<Message>) {
    let mut session = session_in_lost_transaction();
    let actions = from_client(&mut session, batch);
    assert_eq!((kinds(&actions).0, sqlstates(&actions)), ("1E".into(), vec!["08006".to_string()]));
    assert_eq!(kinds(&from_client(&mut session, vec![sync()])).0, "Z");
    assert!(session.in_transaction());
}

/// Guards against a session that is not ended by a shutdown since its last batch counts as open.
#[rstest]
#[case::ended_by_its_sync(vec![sync()])]
#[case::ended_by_a_query(vec![text(b'Q', "SET dewferry.class = 'a'")])]
fn a_batch_that_ends_a_lost_transaction_is_ended(#[case] end: Vec<Message>) {
    let mut session = session_in_lost_transaction();
    from_client(&mut session, vec![parse("", "ROLLBACK"), bind(""), execute()]);
    assert!(!session.is_between_requests());
    from_client(&mut session, end);
    assert!(session.is_between_requests());
}
