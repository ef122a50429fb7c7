//! A transaction is lost with its server connection; the client begins anew, in one query.

use review_standins_2::client::Client;
use review_standins_2::db::{Log, Machine};
use review_standins_2::discovery::{entry, Discovery};
use review_standins_2::pooler::{free_address, settings, Pooler};
use review_standins_2::{not_run, now_ms, sleep_ms, wire, Case, BROKEN, HELD};

const ORDERS: usize = 5;

fn main() {
    let case = Case::from_args();
    let code = run(&case);
    std::process::exit(code);
}

fn run(case: &Case) -> i32 {
    let log = Log::default();
    let work = |sql: &str| if sql.starts_with("INSERT") { 100 } else { 1 };
    let primary = Machine::start("s-1", (true, false), &log, &case.record, work);
    let replica = Machine::start("s-2", (false, false), &log, &case.record, work);
    let entries = [&primary, &replica]
        .map(|m| (m.name().to_string(), entry(m.name(), m.address(), "salt-lake", 2, "SERVING")));
    let discovery = Discovery::start(entries.to_vec(), &case.record);
    let (listen, pool) = (free_address(), free_address());
    let operator = format!(
        "[pool]\nlisten = \"{pool}\"\nwrite_class = \"order-write\"\nread_class = \"reports\"\ntenant = \"kolkata-shops\"\ngroup = 2\n"
    );
    let mut pooler = Pooler::start(
        case,
        "n1",
        (listen, discovery.address),
        (&discovery.list(), &settings(false)),
        &operator,
        "",
    );
    pooler.wait_for(pool);
    let mut client = Client::connect(pool, "app", "shop").unwrap_or_else(|e| not_run(&e.to_string()));
    let first = client.query("INSERT INTO orders VALUES ('warm', '0')", 5_000);
    if !first.is_ok() {
        not_run(&format!("the first write: {}", first.text()));
    }
    let (mut confirmed, mut lost) = (0, 0);
    for order in 0..ORDERS {
        let insert = format!("INSERT INTO orders VALUES ('order-{order}', '1')");
        let ask = |client: &mut Client, sql: &str, meanwhile: &dyn Fn()| {
            case.record.line(format!("client sends: {sql}"));
            if client.send(&wire::query(sql)).is_err() {
                not_run("the client's connection ended");
            }
            meanwhile();
            let answer = client.answer(10_000);
            case.record.line(format!("client is told: {}", answer.text()));
            answer
        };
        let nothing = || ();
        let begun = ask(&mut client, "BEGIN", &nothing);
        if !begun.is_ok() {
            not_run("BEGIN is not served");
        }
        // The connection ends while the statement runs.
        let trouble = || {
            if case.trouble {
                sleep_ms(40);
                primary.close_connections();
            }
        };
        let answer = ask(&mut client, &insert, &trouble);
        if case.trouble && answer.error.as_ref().is_none_or(|(code, _)| code != "08006") {
            not_run("the transaction is not lost");
        }
        // The client does what it was told to: ROLLBACK, and begins anew. One query holds all of it.
        let again = format!("ROLLBACK; BEGIN; {insert}; COMMIT");
        let answer = ask(&mut client, &again, &nothing);
        let rows = log.values(&format!("order-{order}"), now_ms() + 1_000).len();
        case.record.line(format!("order-{order} is applied {rows} times"));
        if answer.is_ok() {
            confirmed += 1;
            if rows == 0 {
                lost += 1;
                case.record.line(format!("LOST order-{order}: answered without an error, and not applied"));
            }
        }
        let _ = client.query("ROLLBACK", 5_000);
    }
    let text =
        format!("{ORDERS} orders, {confirmed} answered without an error, {lost} of these were not applied");
    case.end(if lost > 0 { BROKEN } else { HELD }, &text)
}
