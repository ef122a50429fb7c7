//! Single cases of sessions and pools, and arbitrary messages that must not break a session.

mod messages;

use messages::*;
use pgwire::session::{self as wire, Piece};
use pgwire::Message;
use pooling::{
    Acquisition, Action, DetachReason, Disposition, Key, Mode, PoolLimits, Pools, ServerSessionState,
    Session, StatelessFunctions,
};
use proptest::prelude::*;
use rstest::rstest;

#[test]
fn an_error_in_a_pipeline_of_500_skips_the_rest_up_to_sync() {
    let mut session = session(Mode::Transaction);
    let mut batch = Vec::new();
    (0..500).for_each(|n| batch.extend([parse("", &format!("SELECT {n}")), bind(""), execute()]));
    batch.push(sync());
    let actions = from_client(&mut session, batch);
    assert!(matches!(&actions[..], [Action::RequestServer(request)] if request.read_only));
    assert_eq!(kinds(&attach(&mut session)).1.len(), 1_501);
    let replies = || [message(b'1', b""), message(b'2', b""), text(b'C', "SELECT 1")];
    let mut answers: Vec<Message> = [replies(), replies()].into_iter().flatten().collect();
    answers.push(text(b'E', "SERROR\0C42601\0Mno\0"));
    assert_eq!(kinds(&from_server(&mut session, answers)).0, "12C12CE");
    let actions = from_server(&mut session, vec![ready(b'I')]);
    assert_eq!(actions.last(), Some(&Action::ReleaseServer(Disposition::Reuse)));
}

/// Returns what becomes of the connection of a session that has run this text and ends.
fn disposition_after(mode: Mode, sql: &str, functions: &str) -> Disposition {
    let functions = StatelessFunctions::parse(functions);
    let mut session = session(mode).with_stateless_functions(functions.into());
    from_client(&mut session, vec![text(b'Q', sql)]);
    attach(&mut session);
    let actions = from_server(&mut session, vec![text(b'C', "DONE"), ready(b'I')]);
    match actions.last() {
        Some(Action::ReleaseServer(disposition)) => *disposition,
        _ => session.client_disconnected().unwrap(),
    }
}

/// Guards against a connection that is used again with state of the session that has ended.
#[rstest]
#[case::read(Mode::Transaction, "SELECT 1", "", Disposition::Reuse)]
#[case::tracked_setting(Mode::Transaction, r"SET a TO E'\''", "", Disposition::Reuse)]
#[case::untracked_setting(Mode::Transaction, r"SET a TO 'a\b'", "", Disposition::Reset)]
#[case::unknown_function(Mode::Transaction, "SELECT login(1)", "", Disposition::Reset)]
#[case::unknown_function_in_a_write(
    Mode::Statement,
    "INSERT INTO a VALUES (login(1))",
    "",
    Disposition::Reset
)]
#[case::stateless_function(Mode::Transaction, "SELECT login(1)", "shop.Login", Disposition::Reuse)]
#[case::another_function(Mode::Transaction, "SELECT login(1)", "logout", Disposition::Reset)]
#[case::all_functions(Mode::Transaction, "SELECT login(1)", "*", Disposition::Reuse)]
#[case::block(Mode::Transaction, "DO $$ $$", "*", Disposition::Reset)]
#[case::temporary_table(Mode::Transaction, "CREATE TEMP TABLE a (a int)", "*", Disposition::Close)]
#[case::notifications(Mode::Transaction, "LISTEN a", "*", Disposition::Close)]
#[case::lock(Mode::Transaction, "SELECT pg_advisory_lock(1)", "*", Disposition::Close)]
#[case::read_in_session_mode(Mode::Session, "SELECT 1", "*", Disposition::Reset)]
#[case::write_in_session_mode(Mode::Session, "INSERT INTO a VALUES (1)", "", Disposition::Reset)]
#[case::notifications_in_session_mode(Mode::Session, "LISTEN a", "", Disposition::Close)]
fn a_connection_is_reused_only_without_state_of_its_last_session(
    #[case] mode: Mode,
    #[case] sql: &str,
    #[case] stateless_functions: &str,
    #[case] expected: Disposition,
) {
    assert_eq!(disposition_after(mode, sql, stateless_functions), expected);
}

/// Guards against a pin that is lost because a DISCARD ALL before it is answered after it was sent.
#[test]
fn a_pin_behind_a_discard_that_is_not_answered_yet_holds() {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![text(b'Q', "DISCARD ALL")]);
    attach(&mut session);
    from_client(&mut session, vec![text(b'Q', "LISTEN a")]);
    from_server(
        &mut session,
        vec![text(b'C', "DISCARD ALL"), ready(b'I'), text(b'C', "LISTEN"), ready(b'I')],
    );
    assert!(session.is_attached());
    assert_eq!(session.client_disconnected(), Some(Disposition::Close));
}

/// Guards against a pin that is lost because an earlier batch ends between Bind and Execute.
#[test]
fn a_statement_that_is_bound_before_an_earlier_batch_ends_binds_the_session() {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![parse("", "SELECT 1"), bind(""), execute(), sync()]);
    attach(&mut session);
    from_client(&mut session, vec![parse("", "LISTEN a"), bind("")]);
    let replies = || vec![message(b'1', b""), message(b'2', b""), text(b'C', "DONE"), ready(b'I')];
    from_server(&mut session, replies());
    from_client(&mut session, vec![execute(), sync()]);
    from_server(&mut session, replies());
    assert!(session.is_attached());
    assert_ne!(session.client_disconnected(), Some(Disposition::Reuse));
}

/// Guards against notifications that are kept from a session which a function has subscribed to them.
#[rstest]
#[case("SELECT subscribe('news')", "A")]
#[case("LISTEN news", "A")]
#[case("CREATE TEMP TABLE a (a int)", "")]
fn notifications_reach_sessions_that_may_have_subscribed(#[case] sql: &str, #[case] expected: &str) {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![text(b'Q', sql)]);
    attach(&mut session);
    from_server(&mut session, vec![text(b'C', "DONE"), ready(b'I')]);
    let notification = message(b'A', b"\0\0\0\x01news\0\0");
    assert_eq!(kinds(&from_server(&mut session, vec![notification])).0, expected);
}

/// Guards against a session that is bound for good by a text that no server runs.
#[test]
fn a_syntax_error_binds_no_session() {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![text(b'Q', "SELEC login(1)")]);
    attach(&mut session);
    let actions = from_server(&mut session, vec![text(b'E', "SERROR\0C42601\0Mno\0"), ready(b'I')]);
    assert_eq!(actions.last(), Some(&Action::ReleaseServer(Disposition::Reuse)));
}

/// Guards against a pin that is lost with the error of a statement that has run in part.
#[rstest]
#[case::at_run_time("SERROR\0C22012\0Mno\0")]
#[case::of_the_syntax_within_the_function("SERROR\0C42601\0Mno\0WPL/pgSQL function login\0")]
fn a_failed_call_of_an_unknown_function_binds_the_session(#[case] error: &str) {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![text(b'Q', "SELECT login(1)")]);
    attach(&mut session);
    from_server(&mut session, vec![text(b'E', error), ready(b'I')]);
    assert_eq!(session.client_disconnected(), Some(Disposition::Reset));
}

#[test]
fn a_function_that_is_called_by_its_number_binds_the_session() {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![message(b'F', b"\0\0\0\x01\0\0\0\0\0\0")]);
    attach(&mut session);
    from_server(&mut session, vec![message(b'V', b"\0\0\0\0"), ready(b'I')]);
    assert!(session.is_attached());
    assert_eq!(session.client_disconnected(), Some(Disposition::Reset));
}

#[test]
fn a_client_that_leaves_in_a_batch_before_sync_closes_the_connection() {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![parse("", "SELECT 1"), bind(""), message(b'H', b"")]);
    attach(&mut session);
    from_server(&mut session, vec![message(b'1', b""), message(b'2', b"")]);
    assert_eq!(session.client_disconnected(), Some(Disposition::Close), "between Parse and Sync");
}

#[test]
fn two_clients_may_use_one_statement_name_for_different_texts() {
    let (mut one, mut two) = (session(Mode::Transaction), session(Mode::Transaction));
    let prepare = |session: &mut Session, sql: &str, state| {
        from_client(session, vec![parse("p", sql), sync()]);
        let mut out = Vec::new();
        session.attach(state, &mut out);
        let sent = out.iter().find_map(|action| match action {
            Action::SendToServer(bytes) if bytes[0] == b'P' => {
                Some(wire::read_parse(&bytes[5..]).unwrap().0.to_string())
            }
            _ => None,
        });
        let mut answers = vec![ready(b'I')];
        if sent.is_some() {
            answers.insert(0, message(b'1', b""));
        }
        let reply = kinds(&[out, from_server(session, answers)].concat()).0;
        (sent, reply, session.take_server_state())
    };
    let (first, reply, state) = prepare(&mut one, "SELECT 1", ServerSessionState::new(10));
    assert_eq!(reply, "1Z");
    let (second, reply, state) = prepare(&mut two, "SELECT 2", state);
    assert_eq!(reply, "1Z");
    assert_ne!(first.unwrap(), second.unwrap());
    let mut three = session(Mode::Transaction);
    let (sent, reply, _) = prepare(&mut three, "SELECT 1", state);
    assert_eq!((sent, &*reply), (None, "1Z"), "already prepared on the server: answered locally");
    let again = from_client(&mut three, vec![parse("p", "SELECT 3"), sync()]);
    assert!(matches!(again[..], [Action::RequestServer(_)]));
    assert_eq!(sqlstates(&attach(&mut three)), ["42P05"]);
}

#[test]
fn the_least_recently_used_statement_is_closed_at_the_limit() {
    let mut session = session(Mode::Transaction);
    let mut state = ServerSessionState::new(2);
    for n in 0..4 {
        from_client(&mut session, vec![parse(&format!("p{n}"), &format!("SELECT {n}")), sync()]);
        let mut out = Vec::new();
        session.attach(state, &mut out);
        let (_, sent) = kinds(&out);
        assert_eq!(sent, if n < 2 { "PS" } else { "CPS" });
        let closed = message(b'3', b"");
        let answers = [closed, message(b'1', b""), ready(b'I')].into_iter().skip(usize::from(n < 2));
        assert_eq!(kinds(&from_server(&mut session, answers.collect())).0, "1Z");
        state = session.take_server_state();
        assert!(state.prepared_count() <= 2);
    }
    // The first statement has been closed on the server, and is prepared again without the client noticing.
    from_client(&mut session, vec![bind("p0"), execute(), sync()]);
    let mut out = Vec::new();
    session.attach(state, &mut out);
    assert_eq!(kinds(&out).1, "CPBES");
}

#[rstest]
#[case("SELECT 1", true)]
#[case("BEGIN READ ONLY", true)]
#[case("SET work_mem TO 1", true)]
#[case("BEGIN", false)]
#[case("SELECT take()", false)]
#[case("SELECT 1; DELETE FROM items", false)]
#[case("BEGIN READ ONLY; SELECT 1", false)]
fn read_only_texts_are_requested_as_read_only_except_in_session_mode(
    #[case] sql: &str,
    #[case] read_only: bool,
) {
    let actions = from_client(&mut session(Mode::Transaction), vec![text(b'Q', sql)]);
    assert!(
        matches!(&actions[..], [Action::RequestServer(request)] if request.read_only == read_only),
        "{actions:?}"
    );
    let actions = from_client(&mut session(Mode::Session), vec![text(b'Q', sql)]);
    assert!(matches!(&actions[..], [Action::RequestServer(request)] if !request.read_only));
}

#[test]
fn statement_mode_rejects_begin_without_requesting_a_server() {
    let actions = from_client(&mut session(Mode::Statement), vec![text(b'Q', "BEGIN")]);
    assert_eq!((sqlstates(&actions), kinds(&actions).0), (vec!["0A000".into()], "EZ".into()));
}

#[test]
fn a_refused_server_request_is_answered_with_one_error() {
    let mut session = session(Mode::Transaction);
    let mut refused = |messages| {
        from_client(&mut session, messages);
        let mut out = Vec::new();
        session.server_refused("53300", "later", Some("200"), &mut out);
        kinds(&out).0
    };
    assert_eq!(refused(vec![text(b'Q', "SELECT 1")]), "EZ");
    assert_eq!(refused(vec![parse("", "SELECT 1"), sync()]), "EZ");
    assert_eq!(refused(vec![parse("", "SELECT 1"), message(b'H', b"")]), "E");
    // The rest of that batch is skipped.
    assert_eq!(kinds(&from_client(&mut session, vec![bind(""), execute(), sync()])).0, "Z");
}

#[rstest]
#[case::reading(vec![text(b'Q', "SELECT 1")], vec![], "08007", "EZ", b'I')]
#[case::in_a_transaction(vec![text(b'Q', "BEGIN"), text(b'Q', "SELECT 1")], vec![text(b'C', "BEGIN"), ready(b'T')], "08006", "EZ", b'E')]
#[case::committing(vec![text(b'Q', "BEGIN"), text(b'Q', "COMMIT")], vec![text(b'C', "BEGIN"), ready(b'T')], "08007", "EZ", b'I')]
fn a_lost_server_connection_is_reported_by_what_may_have_been_executed(
    #[case] requests: Vec<Message>,
    #[case] answers: Vec<Message>,
    #[case] sqlstate: &str,
    #[case] replies: &str,
    #[case] status: u8,
) {
    let mut session = session(Mode::Transaction);
    let mut requests = requests.into_iter();
    from_client(&mut session, requests.by_ref().take(1).collect());
    attach(&mut session);
    from_server(&mut session, answers);
    from_client(&mut session, requests.collect());
    let mut out = Vec::new();
    session.server_detached(DetachReason::Lost, &mut out);
    assert_eq!((sqlstates(&out), kinds(&out).0), (vec![sqlstate.to_string()], replies.to_string()));
    assert_eq!(session.in_transaction(), status == b'E');
    if status == b'E' {
        let actions = from_client(&mut session, vec![parse("", "ROLLBACK"), bind(""), execute(), sync()]);
        assert_eq!(kinds(&actions).0, "12CZ");
        assert!(!session.in_transaction());
    }
}

/// Returns a session in a transaction whose client has received a part of a row.
fn session_within_a_row() -> Session {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![text(b'Q', "BEGIN")]);
    attach(&mut session);
    from_server(&mut session, vec![text(b'C', "BEGIN"), ready(b'T')]);
    from_client(&mut session, vec![text(b'Q', "SELECT 1")]);
    let mut out = Vec::new();
    session
        .handle_server_piece(Piece::Part { bytes: b"D\0\0\x40\0\0\x01".to_vec(), is_last: false }, &mut out);
    assert_eq!(out.len(), 1);
    session
}

/// Guards against an error of the session's own that the client takes for the rest of a row.
#[rstest]
fn within_a_row_the_client_is_sent_nothing_but_the_end_of_its_connection(
    #[values(
        DetachReason::Lost,
        DetachReason::Drained,
        DetachReason::IdleInTransaction,
        DetachReason::StatementTimeout
    )]
    reason: DetachReason,
) {
    let (mut session, mut out) = (session_within_a_row(), Vec::new());
    session.server_detached(reason, &mut out);
    assert_eq!(out, [Action::CloseClient]);
    assert_eq!(from_client(&mut session, vec![sync(), text(b'Q', "SELECT 1")]), []);
}

#[rstest]
#[case::query_without_terminator(message(b'Q', b"SELECT 1"))]
#[case::unknown_kind(message(b'!', b""))]
fn a_malformed_message_within_a_row_closes_the_client_without_an_error(#[case] malformed: Message) {
    assert_eq!(from_client(&mut session_within_a_row(), vec![malformed]), [Action::CloseClient]);
}

#[test]
fn after_the_last_part_of_a_row_the_client_is_told_of_the_loss() {
    let (mut session, mut out) = (session_within_a_row(), Vec::new());
    session.handle_server_piece(Piece::Part { bytes: b"rest".to_vec(), is_last: true }, &mut out);
    out.clear();
    session.server_detached(DetachReason::Lost, &mut out);
    assert_eq!(sqlstates(&out), ["08006"]);
}

#[test]
fn an_unexpected_reply_closes_the_server_connection() {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![text(b'Q', "SELECT 1")]);
    attach(&mut session);
    let actions = from_server(&mut session, vec![message(b'2', b"")]);
    assert!(actions.contains(&Action::ReleaseServer(Disposition::Close)));
    assert_eq!(sqlstates(&actions), ["08007"]);
}

/// Returns one valid message of each type that a client may send.
fn valid_messages() -> Vec<Message> {
    let target = |kind, of| message(kind, &[of, b'p', 0]);
    vec![
        text(b'Q', "SELECT 1"),
        parse("p", "SELECT $1"),
        bind("p"),
        target(b'D', b'S'),
        target(b'D', b'P'),
        target(b'C', b'S'),
        target(b'C', b'P'),
        execute(),
        message(b'F', b"\0\0\0\x01\0\0\0\0\0\0"),
        message(b'd', b"data"),
        message(b'c', b""),
        text(b'f', "no"),
        message(b'H', b""),
        sync(),
        message(b'p', b"word\0"),
        message(b'X', b""),
    ]
}

#[test]
fn messages_of_every_type_truncated_or_extended_cause_no_panic() {
    for valid in valid_messages() {
        for length in 0..valid.body.len() + 3 {
            for attached in [false, true] {
                let mut body = valid.body.clone();
                body.resize(length, 0xff);
                let mut session = session(Mode::Transaction);
                if attached {
                    from_client(&mut session, vec![text(b'Q', "BEGIN")]);
                    attach(&mut session);
                    from_server(&mut session, vec![text(b'C', "BEGIN"), ready(b'T')]);
                }
                from_client(&mut session, vec![message(valid.kind, &body), sync()]);
            }
        }
    }
}

proptest! {
    /// Messages of client and server in any order cause no panic, and a connection that is released for reuse
    /// has no open transaction and no pending reply.
    #[test]
    fn messages_in_any_order_cause_no_panic(steps in prop::collection::vec((0..5u8, 0..16usize, any::<u8>()), 0..60)) {
        let mut session = session(Mode::Transaction);
        for (who, which, byte) in steps {
            let mut out = Vec::new();
            match who {
                0 | 1 => {
                    let all = valid_messages();
                    session.handle_client_message(message(all[which % all.len()].kind, &all[which % all.len()].body), &mut out);
                }
                2 => {
                    let kinds = b"123CEZTtnsISNGHcA";
                    let kind = kinds[usize::from(byte) % kinds.len()];
                    let body: &[u8] = match kind {
                        b'Z' => &[b"ITE"[which % 3]],
                        b'C' => b"COMMIT\0",
                        b'S' => b"a\0b\0",
                        b'E' => b"C26000\0\0",
                        _ => b"",
                    };
                    if session.is_attached() {
                        session.handle_server_piece(Piece::Message(message(kind, body)), &mut out);
                    }
                }
                3 if !session.accepts_message() => session.attach(ServerSessionState::new(2), &mut out),
                4 if session.is_attached() => session.server_detached(DetachReason::Lost, &mut out),
                _ => {}
            }
            if out.contains(&Action::ReleaseServer(Disposition::Reuse)) {
                prop_assert!(!session.in_transaction() && !session.awaits_reply() && !session.is_attached());
            }
        }
    }
}

fn key(member: &str) -> Key {
    Key { member: member.into(), user: "u".into(), database: "d".into() }
}

#[test]
fn pools_open_reuse_and_close_connections_and_queue_requests() {
    let limits = PoolLimits {
        max_connections: 3,
        max_per_key: 2,
        idle_timeout: 10.0,
        max_lifetime: 100.0,
        ..PoolLimits::default()
    };
    let mut pools = Pools::new(limits, 1);
    let (a, b) = (key("a"), key("b"));
    for number in [1, 2] {
        assert_eq!(pools.acquire(0.0, &a, 0, "t", number), Acquisition::Open);
        pools.opened(0.0, &a, number);
    }
    // Tenants are served round-robin, regardless of the order of arrival.
    for (ticket, tenant) in [(10, "x"), (11, "x"), (12, "x"), (13, "y")] {
        assert_eq!(pools.acquire(0.0, &a, 0, tenant, ticket), Acquisition::Wait);
    }
    assert_eq!(pools.next_ticket(0.0), None);
    assert!(pools.release(1.0, &a, 1, 7));
    assert_eq!(pools.next_ticket(1.0), Some(10));
    assert_eq!(pools.acquire(1.0, &a, 0, "x", 10), Acquisition::Reuse(1));
    assert!(pools.release(1.0, &a, 1, 7));
    assert_eq!(pools.next_ticket(1.0), Some(13));
    pools.cancel_wait(11);
    assert_eq!((pools.next_ticket(1.0), pools.next_ticket(1.0), pools.waiting()), (Some(12), None, 0));
    // Of two idle connections, the one released with the same settings is reused.
    assert!(pools.release(2.0, &a, 2, 9));
    assert_eq!(pools.acquire(2.0, &a, 7, "t", 20), Acquisition::Reuse(1));
    assert_eq!(pools.acquire(2.0, &b, 0, "t", 21), Acquisition::Open);
    pools.opened(2.0, &b, 3);
    assert_eq!(
        pools.acquire(2.0, &key("c"), 0, "t", 22),
        Acquisition::ReplaceIdle(2),
        "max_connections is reached"
    );
    assert_eq!(pools.expired_connections(11.0), Vec::<u64>::new());
    assert_eq!(pools.expired_connections(12.5), [2]);
    pools.closed(&a, 2);
    assert!(!pools.release(101.0, &a, 1, 0), "beyond its maximum lifetime");
    assert_eq!(pools.expired_connections(101.0), [1]);
    assert_eq!(pools.count(), 2);
}

#[test]
fn the_reserve_goes_to_the_request_that_has_waited_longest() {
    let limits = PoolLimits {
        max_connections: 3,
        max_per_key: 1,
        reserve_per_key: 1,
        reserve_after: 0.5,
        ..PoolLimits::default()
    };
    let (mut pools, a) = (Pools::new(limits, 1), key("a"));
    assert_eq!(pools.acquire(0.0, &a, 0, "t", 1), Acquisition::Open);
    pools.opened(0.0, &a, 1);
    // The tenant that is next in turn is not that of the oldest request.
    for (ticket, tenant, now) in [(2, "z", 0.1), (3, "b", 0.2)] {
        assert_eq!(pools.acquire(now, &a, 0, tenant, ticket), Acquisition::Wait);
    }
    assert_eq!(pools.next_ticket(0.5), None, "none has waited for reserve_after");
    assert_eq!(pools.next_ticket(0.6), Some(2));
    assert_eq!(
        pools.acquire(0.6, &a, 0, "b", 4),
        Acquisition::Wait,
        "not for a request that has just arrived"
    );
    assert_eq!(pools.acquire(0.6, &a, 0, "z", 2), Acquisition::Open);
    pools.opened(0.6, &a, 2);
    assert_eq!(pools.next_ticket(9.0), None, "the reserve is used up");
}

#[test]
fn a_client_that_disconnects_during_a_copy_closes_the_server_connection() {
    let mut session = session(Mode::Transaction);
    from_client(&mut session, vec![text(b'Q', "COPY items FROM STDIN")]);
    attach(&mut session);
    from_server(&mut session, vec![message(b'G', b"\0\0\0")]);
    from_client(&mut session, vec![message(b'd', b"half a li")]);
    assert_eq!(
        session.client_disconnected(),
        Some(Disposition::Close),
        "the server must not treat the data so far as complete"
    );
}
