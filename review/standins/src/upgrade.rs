//! A pooler is upgraded while a session writes and reads; the session's reads see its writes.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::pg::{Answer, Client};
use crate::world::{Agent, Folder, Machine, Pooler, Record, Rows};
use crate::{kolkata, Found};

const WORK: Duration = Duration::from_millis(10);
/// How far the replicas are behind (ms).
const BEHIND: u64 = 250;
/// A session's read comes so long after its write.
const GAP: Duration = Duration::from_millis(60);
const PATIENCE: Duration = Duration::from_secs(4);

/// The application: it keeps connections, and opens one more where it needs to.
struct Application<'a> {
    address: SocketAddr,
    record: &'a Record,
    ids: u64,
}

impl Application<'_> {
    fn connect(&self, name: &str) -> Result<Client, String> {
        self.record.line(&format!("client: opens connection {name}"));
        Client::connect(self.address, "app", "shop").map_err(|error| format!("connection {name}: {error}"))
    }

    fn ask(
        &mut self,
        name: &str,
        client: &mut Client,
        class: &str,
        deadline: u32,
        more: &str,
        sql: &str,
    ) -> Answer {
        self.ids += 1;
        let id = 0x9b1f_03aa_0000_0000 + self.ids;
        let text = format!("/* id={id:016x},c={class},t=kolkata-shops,d={deadline}{more},cluster=2 */ {sql}");
        self.record.line(&format!("client: {name}: sends {text}"));
        let answer = client.query(&text, PATIENCE);
        self.record.line(&format!("client: {name}: {id:016x}: {}", answer.short()));
        answer
    }

    fn write(&mut self, name: &str, client: &mut Client, key: &str, value: &str) -> Answer {
        let more = format!(",k={:016x}", 0x5c0f_6e1a_0000_0000 + self.ids);
        let sql = format!("INSERT INTO items (id, doc) VALUES ('{key}', '\\x{value}') RETURNING doc");
        self.ask(name, client, "order-write", 3_000, &more, &sql)
    }

    fn read(&mut self, name: &str, client: &mut Client, class: &str, deadline: u32, key: &str) -> Answer {
        let sql = format!("SELECT doc FROM items WHERE id = '{key}'");
        self.ask(name, client, class, deadline, "", &sql)
    }
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Found {
    let fault = |error: std::io::Error| error.to_string();
    let rows = Arc::new(Rows::default());
    let start = |name: &str, standby: bool| {
        Machine::start(name, "salt-lake", standby, &rows, record, WORK, Box::new(|_| Duration::ZERO))
            .map_err(fault)
    };
    let machines = [start("s-0", false)?, start("s-1", true)?, start("s-2", true)?];
    machines[1..].iter().for_each(|machine| machine.set_behind(BEHIND));
    let agent = Agent::start(&machines.iter().collect::<Vec<_>>()).map_err(fault)?;
    let folder = Folder::new("upgrade").map_err(fault)?;
    let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).map_err(fault)?;
    let platform = kolkata(&agent).replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{free}\""));
    let operator = format!("[daemon]\nhandover = \"{}/handover\"\n", folder.0.display());
    let _old = Pooler::start(root, &folder.0, &platform, &operator, record).map_err(fault)?;
    let mut application = Application { address: free, record, ids: 0 };
    let mut kept = application.connect("A")?;
    // Some seconds of usual work, by which the pooler learns who is how far.
    let began = Instant::now();
    let mut round = 0;
    while began.elapsed() < Duration::from_secs(3) {
        round += 1;
        let key = format!("5e55{round:012x}");
        application.write("A", &mut kept, &key, "00");
        application.read("A", &mut kept, "browse", 2_500, &key);
        std::thread::sleep(GAP);
        application.read("A", &mut kept, "own-orders", 1_500, &key);
    }
    let mut _new = None;
    if trouble {
        record.line("operator: upgrades the pooler");
        let mut new = Pooler::launch(root, &folder.0, " --take-over", "successor", record).map_err(fault)?;
        new.wait_for("handover.taken", Duration::from_secs(10)).map_err(fault)?;
        _new = Some(new);
    }
    // The application needs a further connection, keeps both, and uses now one and now the other.
    let mut further = application.connect("B")?;
    let (mut broken, mut answered) = (Vec::new(), 0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        round += 1;
        let (key, value) = (format!("5e55{round:012x}"), format!("{round:04x}"));
        let written = application.write("B", &mut further, &key, &value);
        if written.rows != [value.clone()] {
            continue;
        }
        std::thread::sleep(GAP);
        let read = application.read("A", &mut kept, "own-orders", 1_500, &key);
        if read.closed || read.silent {
            break;
        }
        answered += u32::from(read.rows.len() == 1);
        if read.rows.len() == 1 && read.rows[0] != value {
            broken.push(format!(
                "session {key}: wrote {value}, was told so, and read {:?} {} ms later",
                read.rows,
                GAP.as_millis()
            ));
        }
    }
    record.line(&format!("reads of own writes answered: {answered}, stale: {}", broken.len()));
    println!("reads of own writes answered: {answered}, stale: {}", broken.len());
    if answered == 0 {
        return Err("no read of an own write was answered".into());
    }
    Ok(broken)
}
