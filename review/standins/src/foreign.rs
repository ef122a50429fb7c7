//! A client that keeps state in its session leaves; the next client sees nothing of it.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::pg::Client;
use crate::world::{Agent, Folder, Machine, Pooler, Record, Rows};
use crate::{kolkata, Found};

const PATIENCE: Duration = Duration::from_secs(10);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Found {
    let fault = |error: std::io::Error| error.to_string();
    let rows = Arc::new(Rows::default());
    let start = |name: &str, standby: bool| {
        let work = Duration::from_millis(5);
        Machine::start(name, "salt-lake", standby, &rows, record, work, Box::new(|_| Duration::ZERO))
            .map_err(fault)
    };
    let machines = [start("s-0", false)?, start("s-1", true)?, start("s-2", true)?];
    let agent = Agent::start(&machines.iter().collect::<Vec<_>>()).map_err(fault)?;
    let folder = Folder::new("foreign").map_err(fault)?;
    let operator = "[pool]\nlisten = \"127.0.0.1:0\"\nmode = \"session\"\nwrite_class = \"order-write\"\ntenant = \"kolkata-shops\"\ngroup = 2\n";
    let pooler = Pooler::start(root, &folder.0, &kolkata(&agent), operator, record).map_err(fault)?;
    let address = pooler.pool.ok_or("no address")?;
    let ask = |name: &str, client: &mut Client, sql: &str| {
        record.line(&format!("{name}: sends {sql}"));
        let answer = client.query(sql, PATIENCE);
        record.line(&format!("{name}: {}", answer.short()));
        if answer.error.is_some() || answer.silent || answer.closed {
            return Err(format!("{name}: {sql}: {}", answer.short()));
        }
        Ok(answer)
    };
    let connect = |name: &str| {
        record.line(&format!("{name}: connects"));
        Client::connect(address, "app", "shop").map_err(|error| format!("{name}: {error}"))
    };
    let (mut broken, mut stay) = (Vec::new(), Vec::new());
    let begins = [
        ("o'brien", r"SET app.tenant TO E'o\'brien'"),
        ("d'souza", r"SET app.tenant TO E'd\'souza'"),
        ("banerjee", "SELECT login('banerjee')"),
    ];
    for (n, (tenant, begin)) in begins.into_iter().enumerate() {
        let name = format!("client {tenant}");
        let mut first = connect(&name)?;
        ask(&name, &mut first, begin)?;
        let own = ask(&name, &mut first, "SELECT my_orders()")?;
        if own.rows != [format!("an order of {tenant}")] {
            return Err(format!("{name}: reads {:?}", own.rows));
        }
        if trouble {
            record.line(&format!("{name}: leaves"));
            drop(first);
            std::thread::sleep(Duration::from_millis(500));
        } else {
            stay.push(first);
        }
        let name = format!("client {n} of no tenant");
        let mut next = connect(&name)?;
        let seen = ask(&name, &mut next, "SELECT my_orders()")?;
        if !seen.rows.is_empty() {
            broken.push(format!("{name} reads {:?}", seen.rows));
        }
    }
    Ok(broken)
}
