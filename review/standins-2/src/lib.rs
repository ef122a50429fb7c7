//! Stand-ins for clients, db machines and discovery, and the start of the pooler, for the cases of the review.

pub mod client;
pub mod db;
pub mod discovery;
pub mod pooler;
pub mod wire;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the Unix time (ms).
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// A case that is not over by then ends (ms).
const TIME_LIMIT_MS: u64 = 112_000;

/// What was sent, answered and run, with the time since the start (ms).
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0 .0.elapsed().as_millis();
        if let Ok(mut file) = self.0 .1.lock() {
            let _ = writeln!(file, "{at:>7} {}", text.as_ref());
        }
    }
}

/// The surroundings of a case: `case-N ROOT FOLDER TEMPORARY`, and TROUBLE.
pub struct Case {
    /// The repository's root, in which the deploy file's commands are run.
    pub root: PathBuf,
    /// A private folder for the pooler's files.
    pub temporary: PathBuf,
    /// False for the run without the disruption.
    pub trouble: bool,
    pub record: Record,
}

impl Case {
    pub fn from_args() -> Case {
        let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
        let [root, folder, temporary] = &args[..] else {
            eprintln!("usage: case-N ROOT FOLDER TEMPORARY");
            std::process::exit(NOT_RUN)
        };
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let file = match File::create(folder.join("record.txt")) {
            Ok(file) => file,
            Err(error) => not_run(&format!("record.txt: {error}")),
        };
        let record = Record(Arc::new((Instant::now(), Mutex::new(file))));
        record.line(format!("start, TROUBLE={}", u8::from(trouble)));
        std::thread::spawn(|| {
            sleep_ms(TIME_LIMIT_MS);
            not_run("it takes too long");
        });
        Case { root: root.clone(), temporary: temporary.clone(), trouble, record }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.temporary.join(name)
    }

    pub fn text_path(&self, name: &str) -> String {
        text(&self.path(name))
    }

    /// Ends the case with its verdict.
    pub fn end(&self, code: i32, verdict: &str) -> i32 {
        self.record.line(format!("verdict {code}: {verdict}"));
        println!("verdict {code}: {verdict}");
        code
    }
}

pub fn text(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}

/// The processes that the case has started and not ended yet.
pub static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the process and all that it has started: the case could not run.
pub fn not_run(why: &str) -> ! {
    println!("verdict 2: could not run: {why}");
    if let Ok(started) = STARTED.lock() {
        for id in started.iter() {
            let _ = std::process::Command::new("/bin/sh").args(["-c", &format!("kill -9 {id}")]).status();
        }
    }
    std::process::exit(NOT_RUN)
}

/// Waits until a condition holds; returns false after `limit_ms`.
pub fn wait_until(limit_ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    let started_at = Instant::now();
    while !condition() {
        if started_at.elapsed() > Duration::from_millis(limit_ms) {
            return false;
        }
        sleep_ms(2);
    }
    true
}
