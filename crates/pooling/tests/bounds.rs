//! What a client can make its session keep is bounded, whatever it sends and however slowly its server answers.

use std::collections::BTreeMap;

use pgwire::session::Piece;
use pgwire::Message;
use pooling::{Acquisition, Action, Disposition, Key, Mode, PoolLimits, Pools, ServerSessionState, Session};
use rstest::rstest;

/// Maximum memory of what a session keeps for replies that are pending (bytes).
const PENDING_LIMIT: usize = 128 * 1024;
/// Maximum memory of a session in all (bytes).
const SESSION_LIMIT: usize = 10 * 1024 * 1024;

fn session() -> Session {
    Session::new(Mode::Transaction, BTreeMap::new(), BTreeMap::new())
}

fn message(kind: u8, body: &[u8]) -> Message {
    Message { kind, body: body.to_vec() }
}

fn query(sql: &str) -> Message {
    message(b'Q', &[sql.as_bytes(), b"\0"].concat())
}

fn parse(name: &str) -> Message {
    message(b'P', &[name.as_bytes(), b"\0SELECT 1\0\0\0"].concat())
}

fn attached_session() -> Session {
    let mut session = session();
    session.handle_client_message(query("BEGIN"), &mut Vec::new());
    session.attach(ServerSessionState::new(10), &mut Vec::new());
    session
}

/// Sends messages until the session takes no more, at most so many. Returns the number, and the actions.
fn send(session: &mut Session, max: usize, message: impl Fn(usize) -> Message) -> (usize, Vec<Action>) {
    let mut actions = Vec::new();
    for n in 0..max {
        if !session.accepts_message() {
            return (n, actions);
        }
        session.handle_client_message(message(n), &mut actions);
    }
    (max, actions)
}

fn answer(session: &mut Session, messages: Vec<Message>) {
    messages.into_iter().for_each(|m| session.handle_server_piece(Piece::Message(m), &mut Vec::new()));
}

fn flushes(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::SendToServer(bytes) if bytes[0] == b'H')).count()
}

/// Guards issue 55: a client that sent faster than its server answered made its session keep a pending reply for
/// each short message, hundreds of megabytes in all.
#[rstest]
#[case::reads(|_| query("SELECT 1"))]
#[case::settings(|_| query("SET a TO 1"))]
#[case::syncs(|_| message(b'S', b""))]
#[case::rejected_statements(|n| if n % 2 == 0 { parse("same") } else { message(b'S', b"") })]
fn a_session_takes_no_message_while_many_replies_are_pending(#[case] message: fn(usize) -> Message) {
    let mut session = attached_session();
    let (sent, _) = send(&mut session, 1_000_000, message);
    assert!((100..10_000).contains(&sent), "{sent} messages");
    assert!(session.memory() <= PENDING_LIMIT, "{} bytes", session.memory());
}

/// Guards a batch without end against waiting for replies that the server sends only when it is asked for them.
#[test]
fn the_replies_to_a_long_batch_are_requested_and_it_goes_on() {
    let mut session = attached_session();
    answer(&mut session, vec![message(b'C', b"BEGIN\0"), message(b'Z', b"T")]);
    let describe = |_| message(b'D', b"P\0");
    let (sent, actions) = send(&mut session, 1_000_000, describe);
    assert!(sent < 10_000, "{sent} messages");
    assert_eq!(flushes(&actions), 1);
    answer(&mut session, (0..sent).map(|_| message(b'n', b"")).collect());
    let (sent, actions) = send(&mut session, 10, describe);
    assert_eq!((sent, flushes(&actions)), (10, 0));
}

/// Guards issue 55: the work for each message of a batch grew with the number of those before it, and short
/// messages were not counted with the memory that they take.
#[test]
fn a_batch_of_short_messages_is_queued_up_to_a_bound_of_memory() {
    let mut session = session();
    let (sent, actions) = send(&mut session, 1_000_000, |_| message(b'C', b"S\0"));
    assert!(matches!(&actions[..], [Action::RequestServer(_)]));
    assert!(sent < 10_000, "{sent} messages");
    assert!(session.memory() <= 300 * 1024, "{} bytes", session.memory());
}

/// Guards issue 55: names of statements and portals, parameter types and classifications were not counted.
#[rstest]
#[case::long_names(|n: usize| message(b'P', format!("{n}{}\0SELECT 1\0\0\0", "n".repeat(100_000)).as_bytes()))]
#[case::many_types(|n: usize| {
    let types = [&60_000u16.to_be_bytes()[..], &[0; 240_000]].concat();
    message(b'P', &[format!("{n}\0SELECT 1\0").as_bytes(), &types].concat())
})]
#[case::many_functions(|n: usize| {
    let calls: Vec<String> = (0..2_000).map(|call| format!("f{call}()")).collect();
    message(b'P', format!("{n}\0SELECT {}\0\0\0", calls.join(",")).as_bytes())
})]
fn prepared_statements_are_counted_with_all_that_they_keep(#[case] message_of: fn(usize) -> Message) {
    let mut session = attached_session();
    answer(&mut session, vec![message(b'C', b"BEGIN\0"), message(b'Z', b"T")]);
    for n in 0..150 {
        session.handle_client_message(message_of(n), &mut Vec::new());
        session.handle_client_message(message(b'S', b""), &mut Vec::new());
        answer(&mut session, vec![message(b'1', b""), message(b'Z', b"T")]);
    }
    assert!(session.memory() <= SESSION_LIMIT, "{} bytes", session.memory());
}

/// Guards issue 55: a session tracked any number of settings. One with more than it tracks keeps its connection,
/// which is reset when the session ends.
#[test]
fn a_session_with_too_many_settings_keeps_its_connection() {
    let mut session = session();
    for n in 0..2_000 {
        session.handle_client_message(query(&format!("SET app.setting_{n} TO 'a value'")), &mut Vec::new());
        if !session.is_attached() {
            session.attach(ServerSessionState::new(10), &mut Vec::new());
            // Replies to the SQL that synchronizes the settings, if there is any.
            if n > 0 {
                answer(&mut session, vec![message(b'C', b"SET\0"), message(b'Z', b"I")]);
            }
        }
        answer(&mut session, vec![message(b'C', b"SET\0"), message(b'Z', b"I")]);
    }
    assert!(session.is_attached(), "its last settings are on no other connection");
    assert!(session.memory() <= PENDING_LIMIT, "{} bytes", session.memory());
    assert_eq!(session.client_disconnected(), Some(Disposition::Reset));
}

/// Guards issue 55: each user and database that a client named left an entry behind, though no connection was
/// opened.
#[test]
fn users_without_a_connection_leave_nothing_in_the_pools() {
    let mut pools = Pools::new(PoolLimits::default(), 1);
    for n in 0..1_000 {
        let user = format!("user-{n}");
        let key = Key { member: "s-1".into(), user: user.as_str().into(), database: "shop".into() };
        assert_eq!(pools.acquire(0.0, &key, 0, "tenant", n), Acquisition::Open);
        pools.cancel_wait(n);
    }
    assert_eq!(pools.tracked_keys(), 0);
}
