//! Some connections to replicas come up late, while the replicas apply the log slowly (they do so without the
//! disruption, too); no read is answered from data older than its class allows.

use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::pg::Client;
use crate::world::{Agent, Folder, Machine, Pooler, Record, Rows};
use crate::{bergen, Found};

/// The class: its data may be 1.5 s old when the read is sent; on sockets 50 ms more.
const BOUND: u64 = 1_500;
const SLACK: u64 = 50;
/// A third of the connections come up so much later: the page allows up to 1.5 s.
const LATE: Duration = Duration::from_millis(200);
/// Replicas apply the log so many times more slowly, for so long: the page allows 4 to 20 times, 9 to 21 s.
const SLOWER: u64 = 8;
const SLOW_FOR: u64 = 9_000;
/// Then they catch up, and are as usual.
const USUAL_FOR: u64 = 3_500;
const USUAL_LAG: u64 = 10;
const WORK: Duration = Duration::from_millis(20);
const CLIENTS: usize = 6;
const LASTS: Duration = Duration::from_secs(60);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Found {
    let fault = |error: std::io::Error| error.to_string();
    let rows = Arc::new(Rows::default());
    let start = |name: &str, zone: &str, standby: bool| {
        let late = move |number: u64| if trouble && number.is_multiple_of(3) { LATE } else { Duration::ZERO };
        Machine::start(name, zone, standby, &rows, record, WORK, Box::new(late)).map_err(fault)
    };
    let machines = [
        start("s-0", "hall-a", false)?,
        start("s-1", "hall-a", true)?,
        start("s-2", "hall-a", true)?,
        start("s-3", "hall-a", true)?,
        start("s-4", "hall-b", true)?,
        start("s-5", "hall-c", true)?,
    ];
    machines.iter().for_each(Machine::close_after_answers);
    let agent = Agent::start(&machines.iter().collect::<Vec<_>>()).map_err(fault)?;
    let folder = Folder::new("lag").map_err(fault)?;
    let pooler = Pooler::start_plain(root, &folder.0, &bergen(&agent), record).map_err(fault)?;
    let address = pooler.listen.ok_or("no address")?;
    let ids = AtomicU32::new(0);
    let served = Mutex::new(Vec::new());
    let began = Instant::now();
    std::thread::scope(|scope| {
        let (ids, served, machines) = (&ids, &served, &machines);
        scope.spawn(move || {
            // The replicas' lag: each is slow in turn with the others, a second apart.
            while began.elapsed() < LASTS {
                for (n, machine) in machines.iter().enumerate().skip(1) {
                    let at = (began.elapsed().as_millis() as u64).saturating_sub(3_000 + 1_000 * n as u64);
                    let phase = at % (SLOW_FOR + USUAL_FOR);
                    let lag = if at == 0 {
                        0
                    } else if phase < SLOW_FOR {
                        phase - phase / SLOWER
                    } else {
                        // Caught up at five times the usual pace.
                        (SLOW_FOR - SLOW_FOR / SLOWER).saturating_sub(4 * (phase - SLOW_FOR))
                    };
                    machine.set_behind(USUAL_LAG + lag);
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        // Orders that are written all the time, so that data that is too old lacks some.
        scope.spawn(move || {
            let Ok(mut client) = Client::connect(address, "app", "shop") else { return };
            while began.elapsed() < LASTS {
                let n = ids.fetch_add(1, Ordering::SeqCst);
                let text = format!("/* id={n:016x},c=export-order,d=5000,cluster=2 */ INSERT INTO items (id, doc) VALUES ('export{n:08x}', '\\x01') RETURNING doc");
                let answer = client.query(&text, Duration::from_secs(6));
                if answer.closed || answer.silent {
                    let Ok(next) = Client::connect(address, "app", "shop") else { return };
                    client = next;
                }
                std::thread::sleep(Duration::from_millis(25));
            }
        });
        for _ in 0..CLIENTS {
            scope.spawn(move || {
                let Ok(mut client) = Client::connect(address, "app", "shop") else { return };
                while began.elapsed() < LASTS {
                    let n = ids.fetch_add(1, Ordering::SeqCst);
                    let text = format!("/* id={n:016x},c=tile-read,d=3000,cluster=2 */ SELECT doc FROM items WHERE id = 'tile{n:08x}'");
                    let answer = client.query(&text, Duration::from_secs(4));
                    record.line(&format!("client: {n:016x}: {}", answer.short()));
                    if let [value] = &answer.rows[..] {
                        served.lock().unwrap().push((n, value.clone()));
                    }
                    if answer.closed || answer.silent {
                        let Ok(next) = Client::connect(address, "app", "shop") else { return };
                        client = next;
                    }
                    std::thread::sleep(Duration::from_millis(60));
                }
            });
        }
    });
    let served = served.into_inner().unwrap();
    let reads = rows.reads.lock().unwrap();
    let (mut broken, mut from_replicas) = (Vec::new(), 0);
    for (id, value) in &served {
        let Some(read) = reads.get(value) else {
            return Err(format!("{id:016x}: the value {value} is no machine's"));
        };
        from_replicas += u32::from(read.standby);
        let allowed = read.arrived - BOUND - SLACK;
        let lacks = rows.first_commit_after(read.position).filter(|clock| *clock < allowed);
        if read.standby && read.position < allowed {
            if let Some(clock) = lacks {
                broken.push(format!(
                    "{id:016x}: answered by {} from data {} ms old when the read was sent; it lacks a commit of {} ms before",
                    read.machine,
                    read.arrived - read.position,
                    read.arrived - clock
                ));
            }
        }
    }
    let line = format!(
        "reads answered {}, by replicas {from_replicas}, from data too old {}",
        served.len(),
        broken.len()
    );
    record.line(&line);
    println!("{line}");
    if from_replicas == 0 {
        return Err("no read was answered by a replica".into());
    }
    Ok(broken)
}
