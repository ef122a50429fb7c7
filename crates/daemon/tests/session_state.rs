//! The state of ordinary clients' sessions: a session finds its own, and no other finds it.

mod pool_fixture;

use peers::*;
use pool_fixture::*;
use rstest::rstest;

/// Shows a setting on the primary, in any mode.
const SHOW_TENANT: &str = "SHOW app.tenant; INSERT INTO items VALUES (1)";
/// Shows on the primary whether the server's session has a temporary table.
const SHOW_TEMPORARY: &str = "SELECT temporary; INSERT INTO items VALUES (1)";

/// Returns the settings of a pool in which all sessions share one connection to the primary.
fn one_connection(mode: &str) -> String {
    format!("mode = \"{mode}\"\nservers_each = 1\n")
}

/// Guards against settings and objects that the pooler does not know of and that the next client finds.
#[rstest]
fn the_next_client_finds_nothing_of_a_session_that_has_ended(
    #[values("transaction", "session", "statement")] mode: &str,
    #[values(
        r"SET app.tenant TO E'o\'brien'",
        "SET app.tenant TO $$o'brien$$",
        r"SET app.tenant TO 'a\b'",
        "SELECT login('banerjee')",
        r#"SELECT "login"('banerjee')"#,
        "DO $$ login $$",
        "SELECT make_temporary()",
        "CREATE TABLE pg_temp.x (a int)"
    )]
    begin: &str,
    #[values(Discard::Accept, Discard::Reject)] discard: Discard,
) {
    let fixture = Fixture::new("ended", &one_connection(mode));
    fixture.primary.set_discard(discard);
    let mut first = fixture.client();
    first.batch_execute(begin).unwrap();
    drop(first);
    let mut next = fixture.client();
    assert_eq!(value(&mut next, SHOW_TENANT), "");
    assert_eq!(value(&mut next, SHOW_TEMPORARY), "false");
}

/// Guards against a session that loses what it has set, or finds it at another session, while both use the pool.
#[rstest]
fn a_session_finds_its_own_state_while_others_use_the_pool(
    #[values("transaction", "session", "statement")] mode: &str,
    #[values(
        (r"SET app.tenant TO E'o\'brien'", "o'brien"),
        ("SET app.tenant TO $$o'brien$$", "o'brien"),
        ("SELECT login('banerjee')", "banerjee"),
        ("DO $$ login $$", "done")
    )]
    (begin, tenant): (&str, &str),
) {
    let fixture = Fixture::new("own", &format!("mode = \"{mode}\"\nservers_each = 3\n"));
    let (mut one, mut two) = (fixture.client(), fixture.client());
    one.batch_execute(begin).unwrap();
    for _ in 0..3 {
        assert_eq!(value(&mut two, SHOW_TENANT), "");
        assert_eq!(value(&mut one, SHOW_TENANT), tenant);
    }
}

/// Guards against a setting that is lost with the server connection on which it was made.
#[rstest]
#[case(r"SET app.tenant TO E'o\'brien'")]
#[case("SET app.tenant TO $$o'brien$$")]
fn a_setting_survives_the_loss_of_its_server_connection(#[case] begin: &str) {
    let fixture = Fixture::with_known_primary("moved", "");
    let mut client = fixture.client();
    client.batch_execute(begin).unwrap();
    fixture.primary.close_connections();
    fixture.replica.close_connections();
    std::thread::sleep(std::time::Duration::from_millis(200));
    assert_eq!(value(&mut client, SHOW_TENANT), "o'brien");
}

/// Guards against a connection that is given up although the server can discard what is left on it.
#[rstest]
#[case::session_mode("session", "INSERT INTO items VALUES (1)")]
#[case::unknown_function("transaction", "SELECT login('banerjee')")]
fn a_reset_connection_is_used_again(#[case] mode: &str, #[case] begin: &str) {
    let fixture = Fixture::new("reset", &one_connection(mode));
    for _ in 0..5 {
        let mut client = fixture.client();
        client.batch_execute("SET app.tenant TO 'one'").unwrap();
        client.batch_execute(begin).unwrap();
        drop(client);
        assert_eq!(value(&mut fixture.client(), SHOW_TENANT), "");
    }
    assert_eq!(fixture.primary.connections().1, 1, "connections to the primary");
    assert!(fixture.primary.statement_count("DISCARD ALL") >= 5);
}

/// Guards against a server that does not answer the reset and keeps its connection from the next client for good.
#[test]
fn a_connection_whose_reset_hangs_is_closed() {
    let fixture = Fixture::new("reset-hangs", &one_connection("session"));
    fixture.primary.set_discard(Discard::Hang);
    let mut first = fixture.client();
    first.batch_execute("SELECT login('banerjee')").unwrap();
    drop(first);
    wait_until(|| fixture.primary.statement_count("DISCARD ALL") == 1);
    assert_eq!(value(&mut fixture.client(), SHOW_TENANT), "");
    assert_eq!(fixture.primary.connections().1, 2);
    fixture.pooler.wait_for_log("pool.reset_failed");
}

/// Guards against sessions that each keep a connection because of a function that leaves nothing there.
#[test]
fn sessions_that_call_stateless_functions_share_a_connection() {
    let settings = format!("{}stateless_functions = \"shop.take_order\"\n", one_connection("transaction"));
    let fixture = Fixture::new("stateless", &settings);
    let (mut one, mut two) = (fixture.client(), fixture.client());
    for _ in 0..5 {
        one.batch_execute("SELECT shop.take_order(7)").unwrap();
        two.batch_execute("SELECT take_order(8)").unwrap();
    }
    assert_eq!((fixture.primary.connections().1, fixture.primary.statement_count("DISCARD ALL")), (1, 0));
}
