//! A database machine dies while it sends a row; the client gets the whole value, or can tell that it is not
//! whole.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::pg::Client;
use crate::world::{long_value, Agent, Folder, Machine, Pooler, Record, Rows};
use crate::{kolkata, Found};

/// How long a client waits for an answer: the class gives up after 3 s, and half a second later a request
/// counts as lost.
const PATIENCE: Duration = Duration::from_secs(8);
/// How many bytes of a row of 48 KiB are not sent yet when its machine dies; each in a run of its own.
const LEFT: [usize; 3] = [60, 9_000, 24_000];
const READS: usize = 40;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Found {
    let mut broken = Vec::new();
    let (mut whole, mut told) = (0, 0);
    for left in LEFT {
        record.line(&format!("a pooler before four machines; one dies with {left} bytes of a row to go"));
        installation(root, record, trouble.then_some(left), &mut broken, &mut whole, &mut told)?;
    }
    let line =
        format!("answered whole {whole}, told of an error {told}, wrong or never answered {}", broken.len());
    record.line(&line);
    println!("{line}");
    Ok(broken)
}

fn installation(
    root: &Path,
    record: &Record,
    left: Option<usize>,
    broken: &mut Vec<String>,
    whole: &mut u32,
    told: &mut u32,
) -> Result<(), String> {
    let fault = |error: std::io::Error| error.to_string();
    let rows = Arc::new(Rows::default());
    let start = |name: &str, standby: bool| {
        let work = Duration::from_millis(5);
        Machine::start(name, "salt-lake", standby, &rows, record, work, Box::new(|_| Duration::ZERO))
            .map_err(fault)
    };
    let machines = [start("s-0", false)?, start("s-1", true)?, start("s-2", true)?, start("s-3", true)?];
    let agent = Agent::start(&machines.iter().collect::<Vec<_>>()).map_err(fault)?;
    let folder = Folder::new("row").map_err(fault)?;
    let operator = "[pool]\nlisten = \"127.0.0.1:0\"\nwrite_class = \"order-write\"\nread_class = \"reports\"\ntenant = \"kolkata-shops\"\ngroup = 2\n";
    let pooler = Pooler::start(root, &folder.0, &kolkata(&agent), operator, record).map_err(fault)?;
    let address = pooler.pool.ok_or("no address")?;
    let connect = || Client::connect(address, "app", "shop").map_err(fault);
    let mut client = connect()?;
    let before = *whole;
    for read in 1..=READS {
        if read == READS / 2 {
            *rows.death_within_value.lock().unwrap() = left;
        }
        let key = format!("k{read}");
        record.line(&format!("client: sends SELECT map '{key}'"));
        let answer = client.query(&format!("SELECT map '{key}'"), PATIENCE);
        let wrong = answer.rows.iter().find(|row| **row != long_value(&key));
        let seen = match wrong {
            Some(row) => {
                let at = row.bytes().zip(long_value(&key).bytes()).take_while(|(a, b)| a == b).count();
                format!("a value of {} bytes, wrong from byte {at} on: {}", row.len(), tail(row, at))
            }
            None => answer.short(),
        };
        record.line(&format!("client: {key}: {seen}"));
        if wrong.is_some() || answer.silent {
            broken.push(format!("{key}: {seen}"));
        } else if answer.rows.len() == 1 && answer.error.is_none() {
            *whole += 1;
        } else {
            *told += 1;
        }
        if wrong.is_some() || answer.silent || answer.closed {
            client = connect()?;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if *whole == before {
        return Err("no value came whole".into());
    }
    Ok(())
}

/// The text from a byte on, cut short.
fn tail(text: &str, at: usize) -> String {
    let shown = |byte: u8| if byte.is_ascii_graphic() || byte == b' ' { byte as char } else { '.' };
    text.bytes().skip(at).take(60).map(shown).collect()
}
