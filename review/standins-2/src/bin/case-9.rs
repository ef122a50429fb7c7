//! The connection to the db machine ends while the commit of a batch is under way.

use review_standins_2::client::Client;
use review_standins_2::db::{Log, Machine};
use review_standins_2::discovery::{entry, Discovery};
use review_standins_2::pooler::{free_address, settings, Pooler};
use review_standins_2::{not_run, now_ms, wait_until, wire, Case, BROKEN, HELD};

const ORDERS: usize = 5;

fn main() {
    let case = Case::from_args();
    let code = run(&case);
    std::process::exit(code);
}

/// What a client reads until it has a message of this kind, or an error, or the end.
fn read_until(client: &mut Client, kind: u8) -> Option<Result<(), (String, String)>> {
    loop {
        match wire::read_message(&mut client.0) {
            Ok((b'E', body)) => return Some(Err(wire::read_error(&body))),
            Ok((got, _)) if got == kind => return Some(Ok(())),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
}

fn run(case: &Case) -> i32 {
    let log = Log::default();
    // After a commit its answer takes 100 ms, as where it waits for a replica.
    let work = |sql: &str| if sql == "COMMIT" { 100 } else { 5 };
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
    let _ = client.0.set_read_timeout(Some(std::time::Duration::from_secs(10)));
    let (mut said_undone, mut twice) = (0, 0);
    for order in 0..ORDERS {
        let key = format!("order-{order}");
        for attempt in 0..3 {
            // A batch as drivers send it in their pipeline mode: the statement and Flush, its answer, then Sync.
            let sql = format!("INSERT INTO orders VALUES ('{key}', '1')");
            let batch = [
                wire::frame(b'P', &[b"\0", sql.as_bytes(), b"\0\0\0"].concat()),
                wire::frame(b'B', b"\0\0\0\0\0\0\0\0"),
                wire::frame(b'E', b"\0\0\0\0\0"),
                wire::frame(b'H', b""),
            ];
            case.record.line(format!("client sends {sql}, Flush (attempt {attempt})"));
            if client.send(&batch.concat()).is_err() {
                not_run("the client's connection ended");
            }
            match read_until(&mut client, b'C') {
                Some(Ok(())) => case.record.line("client is told INSERT 0 1, sends Sync"),
                other => not_run(&format!("the statement is not answered: {other:?}")),
            }
            let before = log.values(&key, u64::MAX).len();
            let _ = client.send(&wire::frame(b'S', b""));
            if case.trouble && attempt == 0 {
                // The commit is done, its answer is under way.
                let committed = wait_until(3_000, || log.values(&key, u64::MAX).len() > before);
                if !committed {
                    not_run("the machine does not commit");
                }
                primary.close_connections();
            }
            match read_until(&mut client, b'Z') {
                Some(Ok(())) => {
                    case.record.line(format!("client is told ReadyForQuery: {key} is done"));
                    break;
                }
                Some(Err((code, text))) => {
                    case.record.line(format!("client is told {code}: {text}"));
                    let _ = read_until(&mut client, b'Z');
                    if code != "08006" || !text.contains("undone") {
                        // It may have run: the client looks before it does that again.
                        case.record.line(format!("client does not repeat {key}"));
                        break;
                    }
                    said_undone += 1;
                    case.record.line(format!("client repeats {key}, which is undone by the pooler's word"));
                }
                None => not_run("the client's connection ended"),
            }
        }
        let rows = log.values(&key, now_ms() + 1_000).len();
        case.record.line(format!("{key} is applied {rows} times"));
        twice += usize::from(rows > 1);
    }
    let text = format!(
        "{ORDERS} orders: {said_undone} times a committed one was said to be undone, {twice} were applied twice"
    );
    case.end(if said_undone > 0 { BROKEN } else { HELD }, &text)
}
