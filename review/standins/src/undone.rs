//! A database machine dies while it answers the statement after a COMMIT; who is told that the transaction is
//! undone begins it anew, and nothing is applied twice.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::pg::Client;
use crate::world::{Agent, Folder, Machine, Pooler, Record, Rows};
use crate::{kolkata, Found};

const WORK: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(10);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Found {
    let fault = |error: std::io::Error| error.to_string();
    let rows = Arc::new(Rows::default());
    let start = |name: &str, standby: bool| {
        Machine::start(name, "salt-lake", standby, &rows, record, WORK, Box::new(|_| Duration::ZERO))
            .map_err(fault)
    };
    let machines = [start("s-0", false)?, start("s-1", true)?, start("s-2", true)?, start("s-3", true)?];
    let agent = Agent::start(&machines.iter().collect::<Vec<_>>()).map_err(fault)?;
    let folder = Folder::new("undone").map_err(fault)?;
    let operator = "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\ntenant = \"kolkata-shops\"\ngroup = 2\n";
    let pooler = Pooler::start(root, &folder.0, &kolkata(&agent), operator, record).map_err(fault)?;
    let mut client = Client::connect(pooler.pool.ok_or("no address")?, "app", "shop").map_err(fault)?;
    let mut ask = |sql: &str| {
        record.line(&format!("client: sends {sql}"));
        let answer = client.query(sql, PATIENCE);
        record.line(&format!("client: {}", answer.short()));
        answer
    };
    let mut broken = Vec::new();
    for order in 1..=3 {
        let value = format!("order-{order}");
        let dies = trouble && order == 2;
        if dies {
            machines[0].die_within_answer();
        }
        let mut told_undone = false;
        for attempt in 1..=30 {
            let text = format!("{value}, attempt {attempt}");
            let begun = ask("BEGIN");
            if begun.error.is_some() {
                std::thread::sleep(Duration::from_millis(200));
                continue;
            }
            let inserted = ask(&format!("INSERT INTO orders VALUES ('{value}')"));
            if inserted.error.is_some() {
                ask("ROLLBACK");
                continue;
            }
            let answer = ask("COMMIT; SELECT report FROM orders");
            if answer.silent || answer.closed {
                return Err(format!("{text}: {}", answer.short()));
            }
            match answer.code() {
                "" => break,
                // The page: the server was lost, the transaction is undone: ROLLBACK, begin anew.
                "08006" => {
                    told_undone = true;
                    ask("ROLLBACK");
                    // The process is there again after a while, with what it had committed.
                    std::thread::sleep(Duration::from_secs(2));
                    machines[0].revive();
                }
                // The page: look before it is done again.
                "08007" => {
                    std::thread::sleep(Duration::from_secs(2));
                    machines[0].revive();
                    break;
                }
                _ => {
                    ask("ROLLBACK");
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        }
        let committed = rows.committed.lock().unwrap().get(&value).copied().unwrap_or(0);
        record.line(&format!("{value}: committed {committed} times"));
        if told_undone && committed > 1 {
            broken.push(format!(
                "{value}: the client was told 08006 (undone) for a transaction that was committed; begun anew as the page says, it was applied {committed} times"
            ));
        } else if !dies && committed != 1 {
            return Err(format!("{value} was committed {committed} times without a disruption"));
        }
    }
    Ok(broken)
}
