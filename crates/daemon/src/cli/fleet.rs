//! Many instances on one machine: the processes, files and sockets of what [`fleet::Supervisor`] decides. Instances are
//! no part of this process: they outlive it, and are found again by their control sockets.

use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

use argh::FromArgs;
use control::{Call, Request, Response, Status};
use fleet::{Action, Health, Input, Release, State, Supervisor, SupervisorConfig};
use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};

use super::fail;
use crate::files;
use crate::net::OwnedListener;

/// How often processes and calls are looked at, and how often each instance that serves is asked how it goes.
const TURN: Duration = Duration::from_millis(50);
const ASK: Duration = Duration::from_secs(1);
/// How long an instance, or the supervisor, may take to answer a call.
const PATIENCE: Duration = Duration::from_millis(500);
/// Longest call and answer (bytes); 4,096 instances take some 800 KiB.
const LONGEST: u64 = 1024 * 1024;
/// Longest fleet file (bytes), and how much of the end of a log is printed.
const LONGEST_FILE: usize = 64 * 1024;
const TAIL: u64 = 16 * 1024;
/// Most instances: each takes a port.
const MOST: usize = 4_096;

/// Look after many instances on one machine.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "fleet",
    example = "dewferry fleet run fleet.toml",
    example = "dewferry fleet roll fleet.toml",
    error_code(0, "done"),
    error_code(1, "not done: the check stands in the way, or something else is under way"),
    error_code(2, "wrong usage, or a file that cannot be read")
)]
pub(super) struct Args {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Run(Run),
    Status(AskStatus),
    Top(Top),
    Roll(Roll),
    Retry(Retry),
    Stop(Stop),
    Logs(Logs),
}

/// Start the instances, or find those that run, and look after them. Its own end does them no harm.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
}

/// Say how each instance does.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct AskStatus {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// The same as a table that is drawn again each second, until it is interrupted.
#[derive(FromArgs)]
#[argh(subcommand, name = "top")]
struct Top {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
}

/// Replace all instances, a batch at a time, by what the files and the program are now; undone where that does harm.
#[derive(FromArgs)]
#[argh(subcommand, name = "roll")]
struct Roll {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
}

/// Try an instance again that was left alone.
#[derive(FromArgs)]
#[argh(subcommand, name = "retry")]
struct Retry {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
    /// its number
    #[argh(positional)]
    instance: usize,
}

/// End all instances, and the supervisor once they have ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "stop")]
struct Stop {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
}

/// Print the end of an instance's log.
#[derive(FromArgs)]
#[argh(subcommand, name = "logs")]
struct Logs {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
    /// its number
    #[argh(positional)]
    instance: usize,
}

/// The fleet's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    /// The folder with what the instances have.
    dir: PathBuf,
    /// The platform's configuration; name, address and seed are each instance's own.
    platform: PathBuf,
    /// The operator's file; control socket, state and pid file are each instance's own.
    operator: PathBuf,
    /// The first instance's address; each further one has the next port.
    listen: SocketAddr,
    /// The program; this one where it is not given.
    program: Option<PathBuf>,
    #[serde(default)]
    seed: u64,
    instances: usize,
    #[serde(default = "spread")]
    spread_s: f64,
    #[serde(default = "batch")]
    batch: usize,
    #[serde(default = "settle")]
    settle_s: f64,
    #[serde(default = "ready")]
    ready_within_s: f64,
    #[serde(default = "stop")]
    stop_within_s: f64,
    #[serde(default = "crashes")]
    crashes: u32,
    #[serde(default = "crash")]
    crash_within_s: f64,
}

fn spread() -> f64 {
    SupervisorConfig::default().spread
}

fn batch() -> usize {
    SupervisorConfig::default().batch
}

fn settle() -> f64 {
    SupervisorConfig::default().batch_observation
}

fn ready() -> f64 {
    SupervisorConfig::default().ready_timeout
}

fn stop() -> f64 {
    SupervisorConfig::default().stop_timeout
}

fn crashes() -> u32 {
    SupervisorConfig::default().max_crashes
}

fn crash() -> f64 {
    SupervisorConfig::default().crash_window
}

impl Settings {
    fn read(path: &Path) -> Result<Settings, String> {
        let named = |fault: &dyn std::fmt::Display| format!("{}: {fault}", path.display());
        let text = String::from_utf8(files::read(path, LONGEST_FILE)?).map_err(|fault| named(&fault))?;
        let settings: Settings = toml::from_str(&text).map_err(|fault| named(&fault))?;
        let range = |key: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(named(&format!("{key}: {value}; accepted: {least} to {most}")))
            }
        };
        range("instances", settings.instances as f64, 1.0, MOST as f64)?;
        range("batch", settings.batch as f64, 1.0, MOST as f64)?;
        range("crashes", settings.crashes.into(), 1.0, 1_000.0)?;
        for (key, value) in [
            ("spread_s", settings.spread_s),
            ("settle_s", settings.settle_s),
            ("ready_within_s", settings.ready_within_s),
            ("stop_within_s", settings.stop_within_s),
            ("crash_within_s", settings.crash_within_s),
        ] {
            range(key, value, 0.0, 3_600.0)?;
        }
        if usize::from(settings.listen.port()) + settings.instances > 65_536 || settings.listen.port() == 0 {
            return Err(named(&format!(
                "listen: no {} ports from {} on",
                settings.instances, settings.listen
            )));
        }
        for (key, path) in
            [("dir", &settings.dir), ("platform", &settings.platform), ("operator", &settings.operator)]
        {
            if !path.is_absolute() {
                return Err(named(&format!("{key}: {}; accepted: an absolute path", path.display())));
            }
        }
        Ok(settings)
    }

    fn terms(&self) -> SupervisorConfig {
        SupervisorConfig {
            instances: self.instances,
            spread: self.spread_s,
            crash_window: self.crash_within_s,
            max_crashes: self.crashes,
            ready_timeout: self.ready_within_s,
            stop_timeout: self.stop_within_s,
            batch: self.batch,
            batch_observation: self.settle_s,
            ..SupervisorConfig::default()
        }
    }

    fn socket(&self) -> PathBuf {
        self.dir.join("fleet")
    }

    fn folder(&self, n: usize) -> PathBuf {
        self.dir.join(format!("n{n}"))
    }
}

/// What all instances of one form are made from.
#[derive(Clone, Debug)]
struct Files {
    platform: serde_json::Value,
    operator: toml::Table,
    program: PathBuf,
}

impl Files {
    /// Reads what the fleet's file names, and says whether it can be used: nothing is begun with files that cannot.
    fn of(settings: &Settings) -> Result<Files, String> {
        let program = match &settings.program {
            Some(program) => program.clone(),
            None => std::env::current_exe().map_err(|error| format!("the program's own path: {error}"))?,
        };
        Files::read(&settings.platform, &settings.operator, program)
    }

    /// Those that were kept as the ones that hold.
    fn kept(folder: &Path) -> Result<Files, String> {
        let program = files::read(&folder.join("program"), LONGEST_FILE)?;
        let program = String::from_utf8(program).map_err(|error| error.to_string())?;
        Files::read(&folder.join("platform.json"), &folder.join("dewferry.toml"), program.trim().into())
    }

    fn read(platform: &Path, operator: &Path, program: PathBuf) -> Result<Files, String> {
        let config = super::read(platform)?;
        let (text, document) = files::read_document(operator)?;
        let named = |fault: &dyn std::fmt::Display| format!("{}: {fault}", operator.display());
        if document.change.require_signature {
            return Err(named(&"change.require_signature: each instance's file differs from the signed one"));
        }
        if document.listen.is_some() {
            return Err(named(&"listen: each instance has an address of its own, from the fleet's file"));
        }
        operator::EffectiveConfig::new(&config, document)
            .map_err(|c| named(&crate::net::describe_conflicts(&c)))?;
        let json = files::read(platform, 64 * 1024 * 1024)?;
        Ok(Files {
            platform: serde_json::from_slice(&json).map_err(|error| error.to_string())?,
            operator: text.parse().map_err(|error| named(&error))?,
            program,
        })
    }

    /// Keeps them as the ones that hold: put in place as a whole.
    fn keep(&self, folder: &Path) -> Result<(), String> {
        let named = |error: std::io::Error| format!("{}: {error}", folder.display());
        let new = folder.with_extension("new");
        let _ = fs::remove_dir_all(&new);
        fs::create_dir_all(&new).map_err(named)?;
        let write = |name: &str, text: &str| fs::write(new.join(name), text).map_err(named);
        write("platform.json", &self.platform.to_string())?;
        write("dewferry.toml", &self.operator.to_string())?;
        write("program", &self.program.to_string_lossy())?;
        let _ = fs::remove_dir_all(folder);
        fs::rename(&new, folder).map_err(named)
    }

    /// Writes an instance's own files.
    fn write(&self, settings: &Settings, n: usize) -> Result<(), String> {
        let folder = settings.folder(n);
        let named = |error: std::io::Error| format!("{}: {error}", folder.display());
        fs::create_dir_all(&folder).map_err(named)?;
        let mut platform = self.platform.clone();
        let name = platform["name"].as_str().unwrap_or("n").to_string();
        platform["name"] = format!("{name}-{n}").into();
        let port = settings.listen.port() + n as u16;
        platform["listen"] = SocketAddr::new(settings.listen.ip(), port).to_string().into();
        let mut seed = [0; 8];
        files::fill_random(&mut seed)?;
        platform["seed"] = format!("{:016x}", u64::from_le_bytes(seed)).into();
        let mut operator = self.operator.clone();
        for (table, key, file) in
            [("control", "socket", "control"), ("state", "dir", "state"), ("daemon", "pid_file", "pid")]
        {
            let path = folder.join(file).to_string_lossy().into_owned();
            let table = operator.entry(table).or_insert_with(|| toml::Table::new().into());
            if let Some(table) = table.as_table_mut() {
                table.insert(key.into(), path.into());
            }
        }
        let (file, text) = (folder.join("dewferry.toml"), operator.to_string());
        if fs::read_to_string(&file).is_ok_and(|before| before != text) {
            // An instance's own history would hold on to what it began with last, and take an earlier file for an
            // oversight: here it is an undo, and the fleet's word goes first.
            match fs::remove_file(folder.join("state").join(crate::store::LOG)) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(named(error)),
                _ => {}
            }
        }
        fs::write(folder.join("platform.json"), platform.to_string()).map_err(named)?;
        fs::write(file, text).map_err(named)
    }
}

/// An instance's process.
enum Process {
    Own(Child),
    /// It was there before this supervisor.
    Found(Pid),
}

impl Process {
    fn pid(&self) -> Option<Pid> {
        match self {
            Process::Own(child) => i32::try_from(child.id()).ok().and_then(Pid::from_raw),
            Process::Found(pid) => Some(*pid),
        }
    }

    fn has_ended(&mut self) -> bool {
        match self {
            Process::Own(child) => !matches!(child.try_wait(), Ok(None)),
            Process::Found(pid) => rustix::process::test_kill_process(*pid).is_err(),
        }
    }

    fn signal(&self, signal: Signal) {
        // One that has ended meanwhile is found out with the next look.
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }
}

/// A call of the supervisor.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
enum Asked {
    Status {},
    Roll {},
    Retry { instance: usize },
    Stop {},
}

/// How an instance does.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Row {
    instance: usize,
    listen: String,
    state: String,
    /// Where it is in its life, by its own word.
    life: String,
    pid: Option<u32>,
    /// Ends in a row.
    crashes: u32,
    generation: u64,
    served: u64,
    refused: u64,
    failed: u64,
}

/// The supervisor's answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Answer {
    done: bool,
    message: String,
    rolling: bool,
    instances: Vec<Row>,
}

/// The supervisor with its processes.
struct Fleet {
    settings: Settings,
    path: PathBuf,
    supervisor: Supervisor,
    old: Files,
    new: Option<Files>,
    processes: Vec<Option<Process>>,
    told: Vec<Option<Status>>,
    asked: Vec<Instant>,
    begun: Instant,
}

/// Asks a Unix socket with one line for one line.
fn exchange(path: &Path, line: &[u8]) -> Result<Vec<u8>, String> {
    let named = |error: std::io::Error| format!("{}: {error}", path.display());
    let mut stream = UnixStream::connect(path).map_err(named)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(named)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(named)?;
    stream.write_all(line).map_err(named)?;
    let mut answer = Vec::new();
    BufReader::new(stream.take(LONGEST)).read_until(b'\n', &mut answer).map_err(named)?;
    Ok(answer)
}

/// What an instance says of itself; none where it does not answer.
fn ask_instance(socket: &Path) -> Option<Status> {
    let answer = exchange(socket, &Request::new(Call::Status {}).to_line()).ok()?;
    serde_json::from_slice::<Response>(&answer).ok()?.status
}

impl Fleet {
    fn new(path: &Path) -> Result<Fleet, String> {
        let settings = Settings::read(path)?;
        let named = |error: std::io::Error| format!("{}: {error}", settings.dir.display());
        fs::create_dir_all(&settings.dir).map_err(named)?;
        // What held when the last supervisor ended holds until a roll, whatever the files say by now.
        let held = settings.dir.join("held");
        let old = match Files::kept(&held) {
            Ok(kept) => kept,
            Err(_) => Files::of(&settings).and_then(|files| files.keep(&held).map(|()| files))?,
        };
        let count = settings.instances;
        let mut fleet = Fleet {
            supervisor: Supervisor::new(settings.terms(), settings.seed, 0.0),
            path: path.to_path_buf(),
            old,
            new: None,
            processes: (0..count).map(|_| None).collect(),
            told: vec![None; count],
            asked: vec![Instant::now(); count],
            begun: Instant::now(),
            settings,
        };
        for n in 0..count {
            let status = ask_instance(&fleet.settings.folder(n).join("control"));
            let pid = status.as_ref().and_then(|status| Pid::from_raw(status.pid as i32));
            if let Some(pid) = pid {
                println!("instance {n}: found, process {}", pid.as_raw_nonzero());
                (fleet.processes[n], fleet.told[n]) = (Some(Process::Found(pid)), status);
                fleet.tell(Input::AlreadyRunning(n));
            }
        }
        Ok(fleet)
    }

    fn tell(&mut self, input: Input) {
        let mut actions = Vec::new();
        self.supervisor.handle(self.begun.elapsed().as_secs_f64(), input, &mut actions);
        for action in actions {
            match action {
                Action::Start(n, form) => self.start(n, form),
                Action::Stop(n) => self.signal(n, Signal::TERM),
                Action::Kill(n) => self.signal(n, Signal::KILL),
                // Everything is looked at with each turn.
                Action::Timer(_) => {}
                Action::Log(Some(n), words) => println!("instance {n}: {words}"),
                Action::Log(None, words) => println!("fleet: {words}"),
                Action::Rolled(Release::Old) => self.new = None,
                Action::Rolled(Release::New) => {
                    if let Some(new) = self.new.take() {
                        if let Err(fault) = new.keep(&self.settings.dir.join("held")) {
                            println!("fleet: what was rolled out is not on record: {fault}");
                        }
                        self.old = new;
                    }
                }
            }
        }
    }

    fn signal(&self, n: usize, signal: Signal) {
        self.processes[n].iter().for_each(|process| process.signal(signal));
    }

    fn start(&mut self, n: usize, form: Release) {
        let files = match (form, &self.new) {
            (Release::New, Some(new)) => new,
            _ => &self.old,
        };
        let folder = self.settings.folder(n);
        let begun = files.write(&self.settings, n).and_then(|()| {
            let log = OpenOptions::new().create(true).append(true).open(folder.join("log"));
            let log = log.map_err(|error| format!("{}: {error}", folder.display()))?;
            let mut command = Command::new(&files.program);
            command.args(["serve", "--config"]).arg(folder.join("platform.json"));
            command.arg("--operator").arg(folder.join("dewferry.toml"));
            // In a group of its own: an interrupt at the terminal is the supervisor's alone.
            command.process_group(0).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
            command.spawn().map_err(|error| format!("{}: {error}", files.program.display()))
        });
        self.told[n] = None;
        match begun {
            Ok(child) => self.processes[n] = Some(Process::Own(child)),
            Err(fault) => {
                println!("instance {n}: not started: {fault}");
                self.tell(Input::Exited(n));
            }
        }
    }

    /// Looks at all processes, and asks those that are due how they do.
    fn look(&mut self) {
        for n in 0..self.processes.len() {
            if self.processes[n].as_mut().is_some_and(Process::has_ended) {
                (self.processes[n], self.told[n]) = (None, None);
                self.tell(Input::Exited(n));
            }
        }
        let states: Vec<State> = self.supervisor.states().map(|(state, _, _)| state).collect();
        for (n, state) in states.into_iter().enumerate() {
            let starting = matches!(state, State::Starting(_));
            let due = starting || matches!(state, State::Ready(_)) && self.asked[n].elapsed() >= ASK;
            if !due || self.processes[n].is_none() {
                continue;
            }
            self.asked[n] = Instant::now();
            let socket = self.settings.folder(n).join("control");
            let Some(status) = ask_instance(&socket) else { continue };
            let bad = status.refused + status.failed;
            let health = Health { answers: status.served + bad, not_served: bad };
            if starting && status.life == "ready" {
                self.tell(Input::Ready(n));
            }
            self.told[n] = Some(status);
            self.tell(Input::Health(n, health));
        }
        self.tell(Input::Time);
    }

    fn answer(&mut self, asked: Asked) -> Answer {
        let mut answer = Answer { done: true, ..Answer::default() };
        match asked {
            Asked::Status {} => answer.message = format!("{} instances", self.settings.instances),
            Asked::Roll {} if self.supervisor.is_rolling() => {
                (answer.done, answer.message) = (false, "a roll is under way".into());
            }
            Asked::Roll {} => match Settings::read(&self.path).and_then(|settings| Files::of(&settings)) {
                Ok(files) => {
                    self.new = Some(files);
                    self.tell(Input::Roll);
                    answer.message = "the roll has begun".into();
                }
                Err(fault) => {
                    (answer.done, answer.message) = (false, format!("nothing is begun: {fault}"));
                }
            },
            Asked::Retry { instance } => {
                self.tell(Input::Retry(instance));
                answer.message = format!("instance {instance} is tried again, where it was left alone");
            }
            Asked::Stop {} => {
                self.tell(Input::Stop);
                answer.message = "all instances are to end".into();
            }
        }
        answer.rolling = self.supervisor.is_rolling();
        for (n, (state, _, crashes)) in self.supervisor.states().enumerate() {
            let status = self.told[n].clone().unwrap_or_default();
            let pid = self.processes[n].as_ref().and_then(Process::pid);
            answer.instances.push(Row {
                instance: n,
                listen: format!("{}:{}", self.settings.listen.ip(), self.settings.listen.port() as usize + n),
                state: state.name().into(),
                life: status.life,
                pid: pid.map(|pid| pid.as_raw_nonzero().get() as u32),
                crashes,
                generation: status.generation,
                served: status.served,
                refused: status.refused,
                failed: status.failed,
            });
        }
        answer
    }

    /// Takes the calls that wait.
    fn serve(&mut self, bound: &OwnedListener) {
        while let Ok((stream, _)) = bound.listener.accept() {
            let stream = UnixStream::from(stream);
            let bounded =
                stream.set_nonblocking(false).and_then(|()| stream.set_read_timeout(Some(PATIENCE)));
            if bounded.and_then(|()| stream.set_write_timeout(Some(PATIENCE))).is_err() {
                continue;
            }
            let mut line = Vec::new();
            if BufReader::new((&stream).take(LONGEST)).read_until(b'\n', &mut line).is_err() {
                continue;
            }
            let answer = match serde_json::from_slice(&line) {
                Ok(asked) => self.answer(asked),
                Err(error) => Answer { message: format!("not a call: {error}"), ..Answer::default() },
            };
            let mut line = serde_json::to_vec(&answer).unwrap_or_default();
            line.push(b'\n');
            let _ = (&stream).write_all(&line);
        }
    }
}

fn look_after(file: &Path) -> Result<(), String> {
    let socket = Settings::read(file)?.socket();
    let folder = socket.parent().map_or_else(PathBuf::new, Path::to_path_buf);
    fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    // Bound first: two supervisors of one fleet would undo each other's work.
    let bound = OwnedListener::new(&socket).map_err(|error| format!("{}: {error}", socket.display()))?;
    let mut fleet = Fleet::new(file)?;
    println!("fleet: looks after {} instances", fleet.settings.instances);
    while !fleet.supervisor.has_stopped() {
        fleet.serve(&bound);
        fleet.look();
        std::thread::sleep(TURN);
    }
    Ok(())
}

fn call(file: &Path, asked: &Asked) -> Result<Answer, String> {
    let mut line = serde_json::to_vec(asked).map_err(|error| error.to_string())?;
    line.push(b'\n');
    let answer = exchange(&Settings::read(file)?.socket(), &line)?;
    serde_json::from_slice(&answer).map_err(|error| format!("not an answer of a supervisor: {error}"))
}

fn table(answer: &Answer) -> String {
    let mut text = format!(
        "{:>8}  {:<21}  {:<9}  {:<9}  {:>8}  {:>7}  {:>10}  {:>8}  {:>8}\n",
        "instance", "listen", "state", "life", "process", "crashes", "served", "refused", "failed"
    );
    for row in &answer.instances {
        let pid = row.pid.map_or("-".to_string(), |pid| pid.to_string());
        let life = if row.life.is_empty() { "-" } else { &row.life };
        text += &format!(
            "{:>8}  {:<21}  {:<9}  {:<9}  {:>8}  {:>7}  {:>10}  {:>8}  {:>8}\n",
            row.instance, row.listen, row.state, life, pid, row.crashes, row.served, row.refused, row.failed
        );
    }
    text + if answer.rolling { "a roll is under way\n" } else { "" }
}

fn told(result: Result<Answer, String>, words: impl Fn(&Answer) -> String) -> ExitCode {
    match result {
        Ok(answer) => {
            print!("{}", words(&answer));
            ExitCode::from(u8::from(!answer.done))
        }
        Err(fault) => fail(&fault),
    }
}

fn logs(file: &Path, instance: usize) -> Result<(), String> {
    let path = Settings::read(file)?.folder(instance).join("log");
    let named = |error: std::io::Error| format!("{}: {error}", path.display());
    let mut log = File::open(&path).map_err(named)?;
    let length = log.metadata().map_err(named)?.len();
    std::io::Seek::seek(&mut log, std::io::SeekFrom::Start(length.saturating_sub(TAIL))).map_err(named)?;
    let mut bytes = Vec::new();
    log.take(TAIL).read_to_end(&mut bytes).map_err(named)?;
    print!("{}", String::from_utf8_lossy(&bytes));
    Ok(())
}

/// Runs a command of the fleet.
pub(super) fn run(args: Args) -> ExitCode {
    let said = |answer: &Answer| format!("{}\n", answer.message);
    let done = |result: Result<(), String>| match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(&fault),
    };
    match args.verb {
        Verb::Run(Run { file }) => done(look_after(&file)),
        Verb::Status(AskStatus { file, json: false }) => told(call(&file, &Asked::Status {}), table),
        Verb::Status(AskStatus { file, json: true }) => told(call(&file, &Asked::Status {}), |answer| {
            serde_json::to_string(answer).unwrap_or_default() + "\n"
        }),
        Verb::Top(Top { file }) => loop {
            match call(&file, &Asked::Status {}) {
                Ok(answer) => print!("\x1b[2J\x1b[H{}", table(&answer)),
                Err(fault) => return fail(&fault),
            }
            let _ = std::io::stdout().flush();
            std::thread::sleep(ASK);
        },
        Verb::Roll(Roll { file }) => told(call(&file, &Asked::Roll {}), said),
        Verb::Retry(Retry { file, instance }) => told(call(&file, &Asked::Retry { instance }), said),
        Verb::Stop(Stop { file }) => told(call(&file, &Asked::Stop {}), said),
        Verb::Logs(Logs { file, instance }) => done(logs(&file, instance)),
    }
}
