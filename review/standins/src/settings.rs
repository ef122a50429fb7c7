//! A server connection is lost between two statements of a session; the session's settings are as it asked.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::pg::Client;
use crate::world::{Agent, Folder, Machine, Pooler, Record, Rows};
use crate::{kolkata, Found};

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
    let folder = Folder::new("settings").map_err(fault)?;
    let operator = "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\ntenant = \"kolkata-shops\"\ngroup = 2\n";
    let pooler = Pooler::start(root, &folder.0, &kolkata(&agent), operator, record).map_err(fault)?;
    let mut client = Client::connect(pooler.pool.ok_or("no address")?, "app", "shop").map_err(fault)?;
    let patience = Duration::from_secs(10);
    let mut ask = |sql: &str| {
        record.line(&format!("client: sends {sql}"));
        let answer = client.query(sql, patience);
        record.line(&format!("client: {}", answer.short()));
        answer
    };
    let mut broken = Vec::new();
    for (name, text, value) in
        [("app.site", "'kolkata'", "kolkata"), ("app.tenant", r"E'o\'brien'", "o'brien")]
    {
        let set = ask(&format!("SET {name} TO {text}"));
        if set.error.is_some() {
            return Err(format!("SET {name}: {}", set.short()));
        }
        let before = ask(&format!("SHOW {name}"));
        if before.rows != [value] {
            return Err(format!("SHOW {name} before the disruption: {}", before.short()));
        }
        if trouble {
            record.line("s-0: closes its idle connections");
            machines[0].close_connections();
            std::thread::sleep(Duration::from_millis(300));
        }
        let after = ask(&format!("SHOW {name}"));
        if after.error.is_some() || after.silent || after.closed {
            return Err(format!("SHOW {name}: {}", after.short()));
        }
        if after.rows != [value] {
            broken.push(format!("{name} was set to {text} and is now {:?}", after.rows));
        }
    }
    Ok(broken)
}
