//! A third of the connections to database machines come up late; each statement of each client still gets its
//! answer.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::pg::{Answer, Client};
use crate::world::{Agent, Folder, Machine, Pooler, Record, Rows};
use crate::{bergen, Found};

/// Late connections come up so much later: the page allows up to 1.5 s.
const LATE: Duration = Duration::from_millis(200);
/// Work of a read.
const WORK: Duration = Duration::from_millis(5);
/// How long a client waits for the answer to one statement. The class gives up after 3 s, the server answers
/// in some milliseconds.
const PATIENCE: Duration = Duration::from_secs(20);
const CLIENTS: usize = 16;
const LASTS: Duration = Duration::from_secs(60);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Found {
    let fault = |error: std::io::Error| error.to_string();
    let rows = Arc::new(Rows::default());
    let machine = |name: &str, zone: &str, standby: bool| {
        let late = move |number: u64| {
            if trouble && number.is_multiple_of(3) {
                LATE
            } else {
                Duration::ZERO
            }
        };
        Machine::start(name, zone, standby, &rows, record, WORK, Box::new(late)).map_err(fault)
    };
    let machines = [
        machine("s-0", "hall-a", false)?,
        machine("s-1", "hall-a", true)?,
        machine("s-2", "hall-a", true)?,
        machine("s-3", "hall-b", true)?,
    ];
    let agent = Agent::start(&machines.iter().collect::<Vec<_>>()).map_err(fault)?;
    let folder = Folder::new("late").map_err(fault)?;
    let operator = "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"export-order\"\nread_class = \"tile-read\"\ngroup = 2\nserver_idle_s = 2.0\n";
    let pooler = Pooler::start(root, &folder.0, &bergen(&agent), operator, record).map_err(fault)?;
    let address = pooler.pool.ok_or("no address")?;
    let (broken, counts) = (Mutex::new(Vec::new()), Mutex::new(Counts::default()));
    let started = Instant::now();
    std::thread::scope(|scope| {
        for n in 0..CLIENTS {
            let (broken, counts, rows) = (&broken, &counts, &rows);
            scope.spawn(move || {
                let name = format!("client {n}");
                let client = match Client::connect(address, &format!("app{n}"), "shop") {
                    Ok(client) => client,
                    Err(error) => return record.line(&format!("{name}: not connected: {error}")),
                };
                let mut application = Application { name, client, record, counts, broken };
                let mut round = 0;
                while started.elapsed() < LASTS && application.round(n, round, rows).is_some() {
                    round += 1;
                    // Bursts of a few rounds, then a rest in which idle connections are closed.
                    let rest = if round % 3 == 0 { 2_300 + 70 * n as u64 } else { 20 };
                    std::thread::sleep(Duration::from_millis(rest));
                }
            });
        }
    });
    let counts = counts.into_inner().unwrap();
    let line = format!(
        "statements {}, answered with an error {}, never answered {}",
        counts.sent, counts.errors, counts.unanswered
    );
    record.line(&line);
    println!("{line}");
    if counts.sent == 0 {
        return Err("no statement was sent".into());
    }
    Ok(broken.into_inner().unwrap())
}

#[derive(Default)]
struct Counts {
    sent: u32,
    errors: u32,
    unanswered: u32,
}

/// One client, which reads and writes in transactions.
struct Application<'a> {
    name: String,
    client: Client,
    record: &'a Record,
    counts: &'a Mutex<Counts>,
    broken: &'a Mutex<Vec<String>>,
}

impl Application<'_> {
    /// Sends a statement; none if it got no answer or the connection is closed.
    fn ask(&mut self, sql: &str) -> Option<Answer> {
        self.record.line(&format!("{}: sends {sql}", self.name));
        let answer = self.client.query(sql, PATIENCE);
        self.record.line(&format!("{}: {}", self.name, answer.short()));
        let mut counts = self.counts.lock().unwrap();
        counts.sent += 1;
        counts.errors += u32::from(answer.error.is_some());
        counts.unanswered += u32::from(answer.silent);
        if answer.silent || answer.closed && answer.error.is_none() {
            self.broken.lock().unwrap().push(format!("{}: {sql}: {}", self.name, answer.short()));
            return None;
        }
        (!answer.closed).then_some(answer)
    }

    /// Some reads, a transaction that is rolled back and one that is committed.
    fn round(&mut self, n: usize, round: u32, rows: &Rows) -> Option<()> {
        for read in 0..3 {
            let key = format!("{n}-{round}-{read}");
            let answer = self.ask(&format!("SELECT doc FROM items WHERE id = '{key}'"))?;
            if answer.error.is_none() && answer.rows != [key.clone()] {
                self.broken.lock().unwrap().push(format!("{}: {key}: {}", self.name, answer.short()));
            }
        }
        for end in ["ROLLBACK", "COMMIT"] {
            let value = format!("{n}-{round}-{end}");
            if self.ask("BEGIN")?.error.is_some() {
                continue;
            }
            let inserted = self.ask(&format!("INSERT INTO orders VALUES ('{value}')"))?;
            let ended = self.ask(end)?;
            let committed = rows.committed.lock().unwrap().get(&value).copied().unwrap_or(0);
            let wanted = u32::from(end == "COMMIT" && inserted.error.is_none());
            if ended.error.is_none() && ended.tags == [end] && committed != wanted {
                let line = format!(
                    "{}: {value}: INSERT {}, {end} {}, and is there {committed} times",
                    self.name,
                    inserted.short(),
                    ended.short()
                );
                self.broken.lock().unwrap().push(line);
            }
            if inserted.code() == "25006" {
                self.broken.lock().unwrap().push(format!(
                    "{}: {value}: INSERT after BEGIN: {}",
                    self.name,
                    inserted.short()
                ));
            }
        }
        Some(())
    }
}
