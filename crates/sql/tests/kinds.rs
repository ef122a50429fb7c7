//! How statements are classified.

use proptest::prelude::*;
use rstest::rstest;
use sql::{blank_first_statement, scan, Change, Control, Kind, Lexer, Pin};

fn kind(text: &str) -> Kind {
    let scan = scan(text);
    assert_eq!(scan.statements.len(), 1, "{text}");
    scan.statements[0].kind.clone()
}

#[rstest]
#[case("SELECT * FROM items WHERE id = $1 AND name IN ('a', 'b')")]
#[case("(select count(*), coalesce(max(price), 0) from items) union (values (1, 2))")]
#[case("with recent as (select * from orders where at > now() - interval '1 day') select * from recent")]
#[case("TABLE items")]
#[case("show timezone")]
#[case("explain select 1")]
#[case("select 'insert into x', \"delete\", $$update$$, e'it\\'s; -- not the end' -- update\n, 2 /* insert /* in */ x */")]
#[case("copy (select * from items) to stdout")]
fn statements_classified_as_reads(#[case] text: &str) {
    assert_eq!(kind(text), Kind::Read);
}

#[rstest]
#[case("insert into items values (1)")]
#[case("WITH x AS (INSERT INTO items VALUES (1) RETURNING *) SELECT * FROM x")]
#[case("select * into copy_of_items from items")]
#[case("select * from items for update")]
#[case("select * from items for no key update skip locked")]
#[case("select nextval('ids')")]
#[case("select take_order(7)")]
#[case("select \"Take\"(7)")]
#[case("select shop.take_order (7)")]
#[case("explain analyze delete from items")]
#[case("copy items from stdin")]
#[case("copy (delete from items returning *) to stdout")]
#[case("do $$ begin delete from items; end $$")]
#[case("call take()")]
#[case("commit prepared 'x'")]
#[case("§")]
#[case("select 'never ends")]
#[case("/* never ends")]
#[case("frobnicate items")]
fn statements_not_classified_as_reads(#[case] text: &str) {
    assert!(matches!(kind(text), Kind::Write | Kind::Unknown(_)), "{:?}", kind(text));
}

/// Guards against statements that are dropped, or moved, with the one that is answered without a server.
#[rstest]
#[case::one("ROLLBACK", None)]
#[case::two("ROLLBACK; SELECT 1", Some("        ; SELECT 1"))]
#[case::first_is_empty(";;ABORT WORK ;SELECT 1", Some(";;           ;SELECT 1"))]
#[case::comments(
    "/* a; */ ROLLBACK /* b; */ --;\n; SELECT 1",
    Some("/* a; */                       ; SELECT 1")
)]
#[case::characters("ROLLBACK /* \u{e9} */; SELECT 1", Some("                ; SELECT 1"))]
#[case::brackets("SELECT (';', \";\", 1;2); SELECT 1", Some("                      ; SELECT 1"))]
#[case::ends_with_semicolon("ROLLBACK;", Some("        ;"))]
fn the_first_statement_is_replaced_by_spaces(#[case] text: &str, #[case] expected: Option<&str>) {
    assert_eq!(blank_first_statement(text).as_deref(), expected);
}

#[rstest]
#[case("begin", Control::Begin { read_only: None })]
#[case("START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", Control::Begin { read_only: Some(true) })]
#[case("begin work read write", Control::Begin { read_only: Some(false) })]
#[case("COMMIT AND CHAIN", Control::Commit { chain: true })]
#[case("end", Control::Commit { chain: false })]
#[case("commit work and no chain", Control::Commit { chain: false })]
#[case("abort", Control::Rollback { chain: false })]
#[case("rollback work", Control::Rollback { chain: false })]
#[case("rollback transaction and chain", Control::Rollback { chain: true })]
#[case("savepoint \"A b\"", Control::Savepoint("A b".into()))]
#[case("rollback transaction to savepoint a", Control::RollbackTo("a".into()))]
#[case("release a", Control::Release("a".into()))]
#[case("prepare transaction 'x'", Control::Prepare)]
fn transaction_control(#[case] text: &str, #[case] expected: Control) {
    assert_eq!(kind(text), Kind::Control(expected));
}

fn set(name: &str, value: &str, local: bool) -> Kind {
    Kind::Session(Change::Set { name: name.into(), value: value.into(), local })
}

#[rstest]
#[case("SET TimeZone = 'Asia/Kolkata'", set("timezone", "'Asia/Kolkata'", false))]
#[case("set time zone -5.5", set("timezone", "-5.5", false))]
#[case(
    "set session search_path to shop, \"$user\", public",
    set("search_path", "shop, \"$user\", public", false)
)]
#[case("SET LOCAL statement_timeout TO 500", set("statement_timeout", "500", true))]
#[case("set dewferry.class = 'reports'", set("dewferry.class", "'reports'", false))]
#[case(r"set app.tenant to E'o\'brien'", set("app.tenant", r"E'o\'brien'", false))]
#[case("set app.tenant to e'plain'", set("app.tenant", "'plain'", false))]
#[case("set app.tenant to $$o'brien$$", set("app.tenant", "$$o'brien$$", false))]
#[case("set app.tenant to $q$plain$q$", set("app.tenant", "'plain'", false))]
#[case("set time zone local", Kind::Session(Change::Reset("timezone".into())))]
#[case("set names 'utf8'", set("client_encoding", "'utf8'", false))]
#[case("set work_mem to default", Kind::Session(Change::Reset("work_mem".into())))]
#[case("reset time zone", Kind::Session(Change::Reset("timezone".into())))]
#[case("reset all", Kind::Session(Change::ResetAll))]
#[case("discard all", Kind::Session(Change::DiscardAll))]
#[case("deallocate all", Kind::Session(Change::DeallocateAll))]
#[case("set transaction read only", Kind::Write)]
fn session_changes(#[case] text: &str, #[case] expected: Kind) {
    assert_eq!(kind(text), expected);
}

#[rstest]
#[case("create temp table x (a int)", Pin::Temporary)]
#[case("select 1 as a into temporary x", Pin::Temporary)]
#[case("LISTEN news", Pin::Listen)]
#[case("select pg_advisory_lock(1)", Pin::Advisory)]
#[case("select pg_try_advisory_lock_shared(1)", Pin::Advisory)]
#[case("declare c cursor with hold for select 1", Pin::HoldCursor)]
#[case("prepare a as select 1", Pin::Prepared)]
#[case("select currval('ids')", Pin::Sequence)]
#[case("set role clerk", Pin::Role)]
#[case("set session authorization clerk", Pin::Role)]
#[case("select set_config('work_mem', '1MB', false)", Pin::Role)]
#[case("load 'x'", Pin::Load)]
#[case("create table pg_temp.x (a int)", Pin::Temporary)]
#[case(r"set app.tenant to 'a\b'", Pin::Setting)]
#[case(r"set app.tenant to U&'d\0061t'", Pin::Setting)]
#[case("set app.tenant to 'a'\n'b'", Pin::Setting)]
#[case("set time zone interval '+02:00' hour to minute", Pin::Setting)]
#[case("do $$ begin perform login('x'); end $$", Pin::Unknown)]
#[case("frobnicate items", Pin::Unknown)]
#[case("select 'never ends", Pin::Unknown)]
fn statements_that_pin_a_session(#[case] text: &str, #[case] pin: Pin) {
    assert_eq!(scan(text).statements[0].pins, [pin]);
    assert!(!scan(text).is_read_only());
}

/// Guards against a call that is overlooked, and so against state that the pooler does not know of.
#[rstest]
#[case("select login('x')", &["login"])]
#[case("select * from shop.Login ('x') as t", &["login"])]
#[case("select \"Login\"('x')", &["login"])]
#[case("call shop.take(1)", &["take"])]
#[case("insert into items values (price(1)), (tax(price(2)))", &["price", "tax"])]
#[case("update items set price = new_price(id) where id in (1, 2)", &["new_price"])]
#[case("delete from items where is_old(id)", &["is_old"])]
#[case("copy (select login('x')) to stdout", &["login"])]
#[case("create temp table x as select login('x')", &["login"])]
#[case("explain (analyze) select login('x')", &["login"])]
#[case("declare c cursor for select login('x')", &["login"])]
#[case("select distinct on (id, (name)) login('x') from items", &["login"])]
fn unknown_functions_are_found(#[case] text: &str, #[case] names: &[&str]) {
    assert_eq!(scan(text).statements[0].unknown_functions, names);
}

/// Guards against sessions that are bound to a connection by statements that leave nothing there.
#[rstest]
#[case("select count(*), gen_random_uuid(), jsonb_set(a, '{b}', '1') from items where id in (1, 2)")]
#[case("insert into shop.items (id, name) values (nextval('ids'), $1) on conflict (id) do update set (name) = (row($1)) returning (id)")]
#[case("insert into \"Items\" (id) values (1)")]
#[case("with a (x) as (values (1)) select * from a as b (y) join unnest($1) c (z) on (z = y)")]
#[case("select * from unnest($1, ($2)) with ordinality a (x, n) join (values (1)) b (y) on (x = y)")]
#[case("copy items (id, name) from stdin")]
#[case("create table items (id int primary key, name varchar(20), price numeric(10, 2) check (price > 0))")]
#[case("explain select login('x')")]
#[case("merge into items i using new n on (i.id = n.id) when not matched then insert (id) values (n.id)")]
#[case(r"set local app.tenant to 'a\b'")]
#[case("fetch 10 from c")]
#[case("unlisten *")]
fn statements_that_leave_nothing_in_the_session(#[case] text: &str) {
    let statement = &scan(text).statements[0];
    let pins: Vec<&Pin> = statement.pins.iter().filter(|pin| **pin != Pin::Sequence).collect();
    assert_eq!((pins, &statement.unknown_functions), (vec![], &vec![]));
}

#[test]
fn a_text_is_split_into_its_statements() {
    let text = "/* c=1 */ begin; insert into a values (';'); select 1;; commit -- the end;";
    let scan = scan(text);
    assert_eq!(scan.comment.as_deref(), Some("c=1"));
    let kinds: Vec<Kind> = scan.statements.into_iter().map(|statement| statement.kind).collect();
    let begin = Kind::Control(Control::Begin { read_only: None });
    assert_eq!(kinds, [begin, Kind::Write, Kind::Read, Kind::Control(Control::Commit { chain: false })]);
    assert!(sql::scan(" ; -- nothing").statements.is_empty());
    let advisory = sql::scan("select pg_advisory_xact_lock(1)");
    assert!(advisory.statements[0].pins.is_empty(), "a transaction-level lock");
}

proptest! {
    #[test]
    fn any_text_is_scanned_to_its_end(text in "\\PC{0,60}|[-'\"$ae;/*()\\\\ \\n]{0,60}") {
        scan(&text);
        let mut lexer = Lexer::new(&text);
        let mut offset = 0;
        while lexer.next().is_some() {
            prop_assert!(lexer.offset() > offset);
            offset = lexer.offset();
        }
        prop_assert!(text[lexer.offset()..].is_empty());
    }

    /// Content of quotes and comments is never taken for keywords.
    #[test]
    fn quoted_text_does_not_affect_the_kind(inside in "[a-z ;]{0,20}") {
        for text in [
            format!("select '{inside}'"),
            format!("select $q${inside}$q$"),
            format!("select 1 -- {inside}"),
            format!("select /* {inside} */ 1"),
        ] {
            prop_assert_eq!(kind(&text), Kind::Read);
        }
    }
}
