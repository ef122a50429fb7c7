//! COPY from the client, whose data may be sent before the server has asked for it.

mod messages;

use messages::*;
use pgwire::Message;
use pooling::{Action, DetachReason, Disposition, Mode, Session};
use rstest::rstest;

const COPY: &str = "COPY a FROM STDIN";

fn data() -> Vec<Message> {
    vec![message(b'd', b"data"), message(b'c', b"")]
}

/// Returns a session that has been passed these messages, and the kinds of those that its server got.
fn pass_on(before: Vec<Message>, after: Vec<Message>) -> (Session, String) {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, before);
    let mut sent = kinds(&attach(&mut session)).1;
    sent.push_str(&kinds(&from_client(&mut session, after)).1);
    (session, sent)
}

fn batch() -> Vec<Message> {
    vec![parse("", COPY), bind(""), execute()]
}

/// Guards against data that is dropped because the COPY is not the first of what the client has sent: the server
/// would wait for it for ever.
#[rstest]
#[case::behind_a_query(vec![text(b'Q', "SELECT 1")], [vec![text(b'Q', COPY)], data()].concat_all(), "QQdc")]
#[case::in_a_batch(vec![text(b'Q', "SELECT 1")], [batch(), data(), vec![sync()]].concat_all(), "QPBEdcS")]
#[case::before_there_is_a_server([batch(), data(), vec![sync()]].concat_all(), vec![], "PBEdcS")]
#[case::with_a_sync_ahead([batch(), vec![sync()]].concat_all(), [data(), vec![sync()]].concat_all(), "PBESdcS")]
fn data_that_is_sent_ahead_reaches_the_server(
    #[case] before: Vec<Message>,
    #[case] after: Vec<Message>,
    #[case] expected: &str,
) {
    assert_eq!(pass_on(before, after).1, expected);
}

/// Guards against data that waits for a COPY which has failed.
#[test]
fn data_behind_a_copy_that_has_ended_is_dropped() {
    let (mut session, _) = pass_on(vec![text(b'Q', "BEGIN")], vec![text(b'Q', COPY)]);
    from_server(&mut session, vec![text(b'C', "BEGIN"), ready(b'T')]);
    from_server(&mut session, vec![text(b'E', "SERROR\0C42P01\0Mno\0"), ready(b'E')]);
    assert_eq!(from_client(&mut session, data()), []);
}

/// Guards against a COPY that is answered without an error, though its server was lost before the end of its data.
#[rstest]
#[case::before_the_end_of_the_data(vec![message(b'd', b"data")])]
#[case::after_the_end_of_the_data(data())]
fn a_copy_in_a_batch_whose_server_is_lost_fails(
    #[case] sent_before: Vec<Message>,
    #[values(false, true)] sync_ahead: bool,
) {
    let mut before = batch();
    before.push(if sync_ahead { sync() } else { message(b'H', b"") });
    let (mut session, _) = pass_on(before, Vec::new());
    let replies = vec![message(b'1', b""), message(b'2', b""), message(b'G', b"\0\0\0")];
    assert_eq!(kinds(&from_server(&mut session, replies)).0, "12G");
    from_client(&mut session, sent_before);
    let mut out = Vec::new();
    session.server_detached(DetachReason::Lost, &mut out);
    assert_eq!((kinds(&out).0, sqlstates(&out)), ("E".into(), vec!["08007".to_string()]));
    let rest = [data(), vec![sync()]].concat_all();
    assert_eq!(kinds(&from_client(&mut session, rest)), ("Z".into(), String::new()));
}

/// Guards against a connection that is given up, and its client's, over an answer to a Sync that the server had not
/// ignored: a trigger may fail after the COPY has begun and before its data is read.
#[rstest]
#[case::the_client_sends_no_more(vec![], "Z")]
#[case::the_client_has_ended_its_data(vec![message(b'c', b""), sync()], "ZZ")]
fn a_sync_ahead_is_answered_when_the_copy_fails_before_its_data_is_read(
    #[case] more: Vec<Message>,
    #[case] replies: &str,
) {
    let (mut session, _) = pass_on([batch(), vec![sync()]].concat_all(), Vec::new());
    let begun = vec![message(b'1', b""), message(b'2', b""), message(b'G', b"\0\0\0")];
    from_server(&mut session, begun);
    from_server(&mut session, vec![text(b'E', "SERROR\0C23514\0Mno\0")]);
    from_client(&mut session, more);
    let answers = replies.chars().map(|_| ready(b'I')).collect();
    assert_eq!(kinds(&from_server(&mut session, answers)).0, replies);
    if session.is_attached() {
        // The server has been asked whether there is another answer.
        assert_eq!(kinds(&from_server(&mut session, vec![message(b'I', b""), ready(b'I')])).0, "");
    }
    assert!(!session.is_attached());
}

/// Guards against a connection that is given up, or an answer too many, after a COPY that fails within its data.
#[test]
fn a_sync_ahead_gets_no_answer_when_the_copy_fails_within_its_data() {
    let (mut session, _) = pass_on([batch(), vec![sync()]].concat_all(), data());
    let begun = vec![message(b'1', b""), message(b'2', b""), message(b'G', b"\0\0\0")];
    from_server(&mut session, begun);
    from_client(&mut session, vec![sync()]);
    let failed = vec![text(b'E', "SERROR\0C23514\0Mno\0"), ready(b'I')];
    assert_eq!(kinds(&from_server(&mut session, failed)), ("EZ".into(), "Q".into()));
    let actions = from_server(&mut session, vec![message(b'I', b""), ready(b'I')]);
    assert_eq!(actions, [Action::ReleaseServer(Disposition::Reuse)]);
}

/// Guards against an unnamed statement that counts as prepared though the session's own query has made the server drop
/// it (26000).
#[test]
fn the_unnamed_statement_is_prepared_again_behind_the_sessions_own_query() {
    let (mut session, _) = pass_on([batch(), vec![sync()]].concat_all(), data());
    let begun = vec![message(b'1', b""), message(b'2', b""), message(b'G', b"\0\0\0")];
    from_server(&mut session, begun);
    from_client(&mut session, vec![sync()]);
    let failed = vec![text(b'E', "SERROR\0C23514\0Mno\0"), ready(b'I')];
    assert_eq!(kinds(&from_server(&mut session, failed)), ("EZ".into(), "Q".into()));
    assert_eq!(kinds(&from_client(&mut session, vec![bind(""), execute(), sync()])).1, "PBES");
}

/// Guards against answers that are assigned to the wrong messages: whether the server has ignored the Sync that was
/// sent ahead is not known any more once others stand behind it.
#[rstest]
#[case::sent_before_the_error(vec![sync(), text(b'Q', "SELECT 1")], vec![])]
#[case::sent_after_the_error(vec![], vec![text(b'Q', "SELECT 1")])]
fn a_client_whose_answers_cannot_be_told_apart_is_disconnected(
    #[case] before: Vec<Message>,
    #[case] after: Vec<Message>,
) {
    let (mut session, _) = pass_on([batch(), vec![sync()]].concat_all(), data());
    from_client(&mut session, before);
    let begun = vec![message(b'1', b""), message(b'2', b""), message(b'G', b"\0\0\0")];
    from_server(&mut session, begun);
    let mut actions = from_server(&mut session, vec![text(b'E', "SERROR\0C23514\0Mno\0")]);
    actions.extend(from_client(&mut session, after));
    assert!(actions.contains(&Action::ReleaseServer(Disposition::Close)));
    assert_eq!(actions.last(), Some(&Action::CloseClient));
}

/// Joins lists of messages, which cannot be cloned.
trait ConcatAll {
    fn concat_all(self) -> Vec<Message>;
}

impl<const N: usize> ConcatAll for [Vec<Message>; N] {
    fn concat_all(self) -> Vec<Message> {
        self.into_iter().flatten().collect()
    }
}
