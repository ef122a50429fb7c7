//! A successor is told to end during its trial, while an ordinary client has a transaction open there.
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::pg::Client;
use crate::world::{Agent, Folder, Machine, Pooler, Record, Rows};
use crate::{kolkata, Found};

pub fn run(root: &Path, record: &Record, trouble: bool) -> Found {
    let fault = |error: std::io::Error| error.to_string();
    let rows = Arc::new(Rows::default());
    let start = |name: &str, standby: bool| {
        Machine::start(
            name,
            "salt-lake",
            standby,
            &rows,
            record,
            Duration::from_millis(5),
            Box::new(|_| Duration::ZERO),
        )
        .map_err(fault)
    };
    let machines = [start("s-0", false)?, start("s-1", true)?, start("s-2", true)?];
    let agent = Agent::start(&machines.iter().collect::<Vec<_>>()).map_err(fault)?;
    let folder = Folder::new("abort").map_err(fault)?;
    let free = || TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(fault);
    let (listen, pool) = (free()?, free()?);
    let platform = kolkata(&agent).replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{listen}\""));
    let operator = format!("[daemon]\nhandover = \"{}/handover\"\n[pool]\nlisten = \"{pool}\"\nwrite_class = \"order-write\"\ngroup = 2\n", folder.0.display());
    let _old = Pooler::start(root, &folder.0, &platform, &operator, record).map_err(fault)?;
    let mut new = Pooler::launch(root, &folder.0, " --take-over", "successor", record).map_err(fault)?;
    new.wait_for("handover.taken", Duration::from_secs(10)).map_err(fault)?;
    let mut client = Client::connect(pool, "app", "shop").map_err(fault)?;
    record.line(&client.query("BEGIN", Duration::from_secs(5)).short());
    if trouble {
        record.line("SIGTERM to the successor");
        std::process::Command::new("kill").args(["-TERM", &new.pid().to_string()]).status().map_err(fault)?;
    }
    let began = Instant::now();
    let mut broken = Vec::new();
    while began.elapsed() < Duration::from_secs(8) {
        let at = began.elapsed().as_secs_f64();
        let line = match Client::connect(listen, "app", "shop") {
            Err(error) => format!("{at:.2}: not connected: {error}"),
            Ok(mut c) => {
                let a = c.query("/* id=00000000000000aa,c=browse,t=kolkata-shops,d=2500,cluster=2 */ SELECT doc FROM items WHERE id = 'a'", Duration::from_secs(3));
                if a.error.is_none() && !a.silent && !a.closed {
                    String::new()
                } else {
                    format!("{at:.2}: {}", a.short())
                }
            }
        };
        if !line.is_empty() {
            record.line(&line);
            broken.push(line);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Ok(broken)
}
