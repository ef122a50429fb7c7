//! `dewferry fleet`: runs many instances on one host. Carries out the decisions of [`fleet::Supervisor`] with
//! processes, files and sockets. Instances outlive the supervisor, which finds them again by their control
//! sockets.

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

/// Interval at which processes and calls are checked.
const LOOP_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the status of each ready instance is queried.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for a call to an instance or to the supervisor.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a call and of an answer (bytes); the status of 4,096 instances takes about 800 KiB.
const MAX_LINE_BYTES: u64 = 1024 * 1024;
/// Maximum length of a fleet's file (bytes).
const MAX_FILE_BYTES: usize = 64 * 1024;
/// Length of the end of a log that `fleet logs` prints (bytes).
const LOG_TAIL_BYTES: u64 = 16 * 1024;
/// Maximum number of instances: each takes a port.
const MAX_INSTANCES: usize = 4_096;

/// Run and supervise many instances on one host.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "fleet",
    example = "dewferry fleet run fleet.toml",
    example = "dewferry fleet roll fleet.toml",
    error_code(0, "done"),
    error_code(1, "not done: refused by the check, or another operation is in progress"),
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
    Status(StatusArgs),
    Top(Top),
    Roll(Roll),
    Retry(Retry),
    Stop(Stop),
    Logs(Logs),
}

/// Start the instances, or find running ones, and supervise them. Instances outlive the supervisor.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
}

/// Show the status of each instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// Show the status as a table, updated each second until interrupted.
#[derive(FromArgs)]
#[argh(subcommand, name = "top")]
struct Top {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
}

/// Replace all instances, a batch at a time, by the current files and program; undo that if it does harm.
#[derive(FromArgs)]
#[argh(subcommand, name = "roll")]
struct Roll {
    /// the fleet's file
    #[argh(positional)]
    file: PathBuf,
}

/// Start an instance again that was given up after repeated crashes.
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

/// Stop all instances, then the supervisor.
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
    /// Folder for the files of the instances.
    dir: PathBuf,
    /// The platform's configuration; name, address and seed are replaced for each instance.
    platform: PathBuf,
    /// The operator's file; control socket, state folder and pid file are replaced for each instance.
    operator: PathBuf,
    /// Address of the first instance; each further one uses the next port.
    listen: SocketAddr,
    /// Program to run; default: this executable.
    program: Option<PathBuf>,
    #[serde(default)]
    seed: u64,
    instances: usize,
    #[serde(default = "default_spread")]
    spread_s: f64,
    #[serde(default = "default_batch")]
    batch: usize,
    #[serde(default = "default_batch_observation")]
    settle_s: f64,
    #[serde(default = "default_ready_timeout")]
    ready_within_s: f64,
    #[serde(default = "default_stop_timeout")]
    stop_within_s: f64,
    #[serde(default = "default_max_crashes")]
    crashes: u32,
    #[serde(default = "default_crash_window")]
    crash_within_s: f64,
}

fn default_spread() -> f64 {
    SupervisorConfig::default().spread
}

fn default_batch() -> usize {
    SupervisorConfig::default().batch
}

fn default_batch_observation() -> f64 {
    SupervisorConfig::default().batch_observation
}

fn default_ready_timeout() -> f64 {
    SupervisorConfig::default().ready_timeout
}

fn default_stop_timeout() -> f64 {
    SupervisorConfig::default().stop_timeout
}

fn default_max_crashes() -> u32 {
    SupervisorConfig::default().max_crashes
}

fn default_crash_window() -> f64 {
    SupervisorConfig::default().crash_window
}

impl Settings {
    fn read(path: &Path) -> Result<Settings, String> {
        let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        let text =
            String::from_utf8(files::read(path, MAX_FILE_BYTES)?).map_err(|error| with_path(&error))?;
        let settings: Settings = toml::from_str(&text).map_err(|error| with_path(&error))?;
        let range = |key: &str, value: f64, min: f64, max: f64| {
            if (min..=max).contains(&value) {
                Ok(())
            } else {
                Err(with_path(&format!("{key}: {value}; accepted: {min} to {max}")))
            }
        };
        range("instances", settings.instances as f64, 1.0, MAX_INSTANCES as f64)?;
        range("batch", settings.batch as f64, 1.0, MAX_INSTANCES as f64)?;
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
            return Err(with_path(&format!(
                "listen: no {} ports from {} on",
                settings.instances, settings.listen
            )));
        }
        for (key, path) in
            [("dir", &settings.dir), ("platform", &settings.platform), ("operator", &settings.operator)]
        {
            if !path.is_absolute() {
                return Err(with_path(&format!("{key}: {}; accepted: an absolute path", path.display())));
            }
        }
        Ok(settings)
    }

    fn supervisor_config(&self) -> SupervisorConfig {
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

/// Files and program of a release.
#[derive(Clone, Debug)]
struct ReleaseFiles {
    platform: serde_json::Value,
    operator: toml::Table,
    program: PathBuf,
}

impl ReleaseFiles {
    /// Reads and checks the files that the fleet's file names. Nothing is started from files that are
    /// invalid.
    fn from_settings(settings: &Settings) -> Result<ReleaseFiles, String> {
        let program = match &settings.program {
            Some(program) => program.clone(),
            None => std::env::current_exe().map_err(|error| format!("the program's own path: {error}"))?,
        };
        ReleaseFiles::read(&settings.platform, &settings.operator, program)
    }

    /// Loads the release that was stored as the one in force.
    fn load(folder: &Path) -> Result<ReleaseFiles, String> {
        let program = files::read(&folder.join("program"), MAX_FILE_BYTES)?;
        let program = String::from_utf8(program).map_err(|error| error.to_string())?;
        ReleaseFiles::read(
            &folder.join("platform.json"),
            &folder.join("dewferry.toml"),
            program.trim().into(),
        )
    }

    fn read(platform: &Path, operator: &Path, program: PathBuf) -> Result<ReleaseFiles, String> {
        let config = super::load_file(platform)?;
        let (text, document) = files::read_document(operator)?;
        let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", operator.display());
        if document.change.require_signature {
            return Err(with_path(
                &"change.require_signature: each instance's file differs from the signed one",
            ));
        }
        if document.listen.is_some() {
            return Err(with_path(&"listen: each instance has an address of its own, from the fleet's file"));
        }
        operator::EffectiveConfig::new(&config, document)
            .map_err(|c| with_path(&crate::net::describe_conflicts(&c)))?;
        let json = files::read(platform, 64 * 1024 * 1024)?;
        Ok(ReleaseFiles {
            platform: serde_json::from_slice(&json).map_err(|error| error.to_string())?,
            operator: text.parse().map_err(|error| with_path(&error))?,
            program,
        })
    }

    /// Stores the release as the one in force, by replacing the folder.
    fn store(&self, folder: &Path) -> Result<(), String> {
        let with_path = |error: std::io::Error| format!("{}: {error}", folder.display());
        let new = folder.with_extension("new");
        let _ = fs::remove_dir_all(&new);
        fs::create_dir_all(&new).map_err(with_path)?;
        let write = |name: &str, text: &str| fs::write(new.join(name), text).map_err(with_path);
        write("platform.json", &self.platform.to_string())?;
        write("dewferry.toml", &self.operator.to_string())?;
        write("program", &self.program.to_string_lossy())?;
        let _ = fs::remove_dir_all(folder);
        fs::rename(&new, folder).map_err(with_path)
    }

    /// Writes the files of an instance.
    fn write(&self, settings: &Settings, n: usize) -> Result<(), String> {
        let folder = settings.folder(n);
        let with_path = |error: std::io::Error| format!("{}: {error}", folder.display());
        fs::create_dir_all(&folder).map_err(with_path)?;
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
            // The history of the instance would keep its last configuration in force, and ignore a file that
            // it has seen before. Here such a file is the undo of a rolling update, so the history is
            // removed.
            match fs::remove_file(folder.join("state").join(crate::store::LOG)) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(with_path(error)),
                _ => {}
            }
        }
        fs::write(folder.join("platform.json"), platform.to_string()).map_err(with_path)?;
        fs::write(file, text).map_err(with_path)
    }
}

/// An instance's process.
enum Process {
    Own(Child),
    /// Started by an earlier supervisor.
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
        // If the process has exited meanwhile, the next check finds that.
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }
}

/// A call to the supervisor.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
enum FleetCall {
    Status {},
    Roll {},
    Retry { instance: usize },
    Stop {},
}

/// Status of an instance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Row {
    instance: usize,
    listen: String,
    state: String,
    /// Lifecycle stage that the instance reports.
    life: String,
    pid: Option<u32>,
    /// Consecutive crashes.
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

/// The supervisor and the processes of its instances.
struct Fleet {
    settings: Settings,
    path: PathBuf,
    supervisor: Supervisor,
    old: ReleaseFiles,
    new: Option<ReleaseFiles>,
    processes: Vec<Option<Process>>,
    /// Last known status of each instance.
    statuses: Vec<Option<Status>>,
    /// When the status of each instance was last queried.
    queried_at: Vec<Instant>,
    started_at: Instant,
}

/// Sends one line to a Unix socket and reads one line.
fn exchange(path: &Path, line: &[u8]) -> Result<Vec<u8>, String> {
    let with_path = |error: std::io::Error| format!("{}: {error}", path.display());
    let mut stream = UnixStream::connect(path).map_err(with_path)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).map_err(with_path)?;
    stream.set_write_timeout(Some(CALL_TIMEOUT)).map_err(with_path)?;
    stream.write_all(line).map_err(with_path)?;
    let mut answer = Vec::new();
    BufReader::new(stream.take(MAX_LINE_BYTES)).read_until(b'\n', &mut answer).map_err(with_path)?;
    Ok(answer)
}

/// Queries the status of an instance; `None` if it does not answer.
fn query_status(socket: &Path) -> Option<Status> {
    let answer = exchange(socket, &Request::new(Call::Status {}).to_line()).ok()?;
    serde_json::from_slice::<Response>(&answer).ok()?.status
}

impl Fleet {
    fn new(path: &Path) -> Result<Fleet, String> {
        let settings = Settings::read(path)?;
        let with_path = |error: std::io::Error| format!("{}: {error}", settings.dir.display());
        fs::create_dir_all(&settings.dir).map_err(with_path)?;
        // The release in force when the last supervisor ended stays in force until a rolling update, even if
        // the files have changed.
        let in_force = settings.dir.join("held");
        let old = match ReleaseFiles::load(&in_force) {
            Ok(files) => files,
            Err(_) => ReleaseFiles::from_settings(&settings)
                .and_then(|files| files.store(&in_force).map(|()| files))?,
        };
        let count = settings.instances;
        let mut fleet = Fleet {
            supervisor: Supervisor::new(settings.supervisor_config(), settings.seed, 0.0),
            path: path.to_path_buf(),
            old,
            new: None,
            processes: (0..count).map(|_| None).collect(),
            statuses: vec![None; count],
            queried_at: vec![Instant::now(); count],
            started_at: Instant::now(),
            settings,
        };
        for n in 0..count {
            let status = query_status(&fleet.settings.folder(n).join("control"));
            let pid = status.as_ref().and_then(|status| Pid::from_raw(status.pid as i32));
            if let Some(pid) = pid {
                println!("instance {n}: already running as process {}", pid.as_raw_nonzero());
                (fleet.processes[n], fleet.statuses[n]) = (Some(Process::Found(pid)), status);
                fleet.handle(Input::AlreadyRunning(n));
            }
        }
        Ok(fleet)
    }

    fn handle(&mut self, input: Input) {
        let mut actions = Vec::new();
        self.supervisor.handle(self.started_at.elapsed().as_secs_f64(), input, &mut actions);
        for action in actions {
            match action {
                Action::Start(n, release) => self.start(n, release),
                Action::Stop(n) => self.signal(n, Signal::TERM),
                Action::Kill(n) => self.signal(n, Signal::KILL),
                // Everything is checked at each iteration.
                Action::Timer(_) => {}
                Action::Log(Some(n), message) => println!("instance {n}: {message}"),
                Action::Log(None, message) => println!("fleet: {message}"),
                Action::Rolled(Release::Old) => self.new = None,
                Action::Rolled(Release::New) => {
                    if let Some(new) = self.new.take() {
                        if let Err(error) = new.store(&self.settings.dir.join("held")) {
                            println!("fleet: the new release was not stored: {error}");
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

    fn start(&mut self, n: usize, release: Release) {
        let files = match (release, &self.new) {
            (Release::New, Some(new)) => new,
            _ => &self.old,
        };
        let folder = self.settings.folder(n);
        let started = files.write(&self.settings, n).and_then(|()| {
            let log = OpenOptions::new().create(true).append(true).open(folder.join("log"));
            let log = log.map_err(|error| format!("{}: {error}", folder.display()))?;
            let mut command = Command::new(&files.program);
            command.args(["serve", "--config"]).arg(folder.join("platform.json"));
            command.arg("--operator").arg(folder.join("dewferry.toml"));
            // In a process group of its own, so that an interrupt at the terminal reaches only the
            // supervisor.
            command.process_group(0).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
            command.spawn().map_err(|error| format!("{}: {error}", files.program.display()))
        });
        self.statuses[n] = None;
        match started {
            Ok(child) => self.processes[n] = Some(Process::Own(child)),
            Err(error) => {
                println!("instance {n}: not started: {error}");
                self.handle(Input::Exited(n));
            }
        }
    }

    /// Checks all processes, and queries the status of the instances whose interval has passed.
    fn check_processes(&mut self) {
        for n in 0..self.processes.len() {
            if self.processes[n].as_mut().is_some_and(Process::has_ended) {
                (self.processes[n], self.statuses[n]) = (None, None);
                self.handle(Input::Exited(n));
            }
        }
        let states: Vec<State> = self.supervisor.states().map(|(state, _, _)| state).collect();
        for (n, state) in states.into_iter().enumerate() {
            let starting = matches!(state, State::Starting(_));
            let due = starting
                || matches!(state, State::Ready(_)) && self.queried_at[n].elapsed() >= STATUS_INTERVAL;
            if !due || self.processes[n].is_none() {
                continue;
            }
            self.queried_at[n] = Instant::now();
            let socket = self.settings.folder(n).join("control");
            let Some(status) = query_status(&socket) else { continue };
            let bad = status.refused + status.failed;
            let health = Health { answers: status.served + bad, not_served: bad };
            if starting && status.life == "ready" {
                self.handle(Input::Ready(n));
            }
            self.statuses[n] = Some(status);
            self.handle(Input::Health(n, health));
        }
        self.handle(Input::Time);
    }

    fn answer(&mut self, request: FleetCall) -> Answer {
        let mut answer = Answer { done: true, ..Answer::default() };
        match request {
            FleetCall::Status {} => answer.message = format!("{} instances", self.settings.instances),
            FleetCall::Roll {} if self.supervisor.is_rolling() => {
                (answer.done, answer.message) = (false, "a roll is under way".into());
            }
            FleetCall::Roll {} => {
                match Settings::read(&self.path).and_then(|settings| ReleaseFiles::from_settings(&settings)) {
                    Ok(files) => {
                        self.new = Some(files);
                        self.handle(Input::Roll);
                        answer.message = "the rolling update has started".into();
                    }
                    Err(error) => {
                        (answer.done, answer.message) =
                            (false, format!("no rolling update was started: {error}"));
                    }
                }
            }
            FleetCall::Retry { instance } => {
                self.handle(Input::Retry(instance));
                answer.message = format!("instance {instance} is started again if it was given up");
            }
            FleetCall::Stop {} => {
                self.handle(Input::Stop);
                answer.message = "all instances are being stopped".into();
            }
        }
        answer.rolling = self.supervisor.is_rolling();
        for (n, (state, _, crashes)) in self.supervisor.states().enumerate() {
            let status = self.statuses[n].clone().unwrap_or_default();
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

    /// Answers the waiting calls.
    fn serve(&mut self, bound: &OwnedListener) {
        while let Ok((stream, _)) = bound.listener.accept() {
            let stream = UnixStream::from(stream);
            let timeouts_set =
                stream.set_nonblocking(false).and_then(|()| stream.set_read_timeout(Some(CALL_TIMEOUT)));
            if timeouts_set.and_then(|()| stream.set_write_timeout(Some(CALL_TIMEOUT))).is_err() {
                continue;
            }
            let mut line = Vec::new();
            if BufReader::new((&stream).take(MAX_LINE_BYTES)).read_until(b'\n', &mut line).is_err() {
                continue;
            }
            let answer = match serde_json::from_slice(&line) {
                Ok(request) => self.answer(request),
                Err(error) => Answer { message: format!("not a call: {error}"), ..Answer::default() },
            };
            let mut line = serde_json::to_vec(&answer).unwrap_or_default();
            line.push(b'\n');
            let _ = (&stream).write_all(&line);
        }
    }
}

fn supervise(file: &Path) -> Result<(), String> {
    let socket = Settings::read(file)?.socket();
    let folder = socket.parent().map_or_else(PathBuf::new, Path::to_path_buf);
    fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    // Bound first, so that there is only one supervisor of a fleet: two would undo each other's work.
    let bound = OwnedListener::new(&socket).map_err(|error| format!("{}: {error}", socket.display()))?;
    let mut fleet = Fleet::new(file)?;
    println!("fleet: supervising {} instances", fleet.settings.instances);
    while !fleet.supervisor.has_stopped() {
        fleet.serve(&bound);
        fleet.check_processes();
        std::thread::sleep(LOOP_INTERVAL);
    }
    Ok(())
}

fn call(file: &Path, request: &FleetCall) -> Result<Answer, String> {
    let mut line = serde_json::to_vec(request).map_err(|error| error.to_string())?;
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

fn print_result(result: Result<Answer, String>, message: impl Fn(&Answer) -> String) -> ExitCode {
    match result {
        Ok(answer) => {
            print!("{}", message(&answer));
            ExitCode::from(u8::from(!answer.done))
        }
        Err(error) => fail(&error),
    }
}

fn logs(file: &Path, instance: usize) -> Result<(), String> {
    let path = Settings::read(file)?.folder(instance).join("log");
    let with_path = |error: std::io::Error| format!("{}: {error}", path.display());
    let mut log = File::open(&path).map_err(with_path)?;
    let length = log.metadata().map_err(with_path)?.len();
    std::io::Seek::seek(&mut log, std::io::SeekFrom::Start(length.saturating_sub(LOG_TAIL_BYTES)))
        .map_err(with_path)?;
    let mut bytes = Vec::new();
    log.take(LOG_TAIL_BYTES).read_to_end(&mut bytes).map_err(with_path)?;
    print!("{}", String::from_utf8_lossy(&bytes));
    Ok(())
}

/// Runs one of the commands.
pub(super) fn run(args: Args) -> ExitCode {
    let message_of = |answer: &Answer| format!("{}\n", answer.message);
    let done = |result: Result<(), String>| match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    };
    match args.verb {
        Verb::Run(Run { file }) => done(supervise(&file)),
        Verb::Status(StatusArgs { file, json: false }) => {
            print_result(call(&file, &FleetCall::Status {}), table)
        }
        Verb::Status(StatusArgs { file, json: true }) => {
            print_result(call(&file, &FleetCall::Status {}), |answer| {
                serde_json::to_string(answer).unwrap_or_default() + "\n"
            })
        }
        Verb::Top(Top { file }) => loop {
            match call(&file, &FleetCall::Status {}) {
                Ok(answer) => print!("\x1b[2J\x1b[H{}", table(&answer)),
                Err(error) => return fail(&error),
            }
            let _ = std::io::stdout().flush();
            std::thread::sleep(STATUS_INTERVAL);
        },
        Verb::Roll(Roll { file }) => print_result(call(&file, &FleetCall::Roll {}), message_of),
        Verb::Retry(Retry { file, instance }) => {
            print_result(call(&file, &FleetCall::Retry { instance }), message_of)
        }
        Verb::Stop(Stop { file }) => print_result(call(&file, &FleetCall::Stop {}), message_of),
        Verb::Logs(Logs { file, instance }) => done(logs(&file, instance)),
    }
}
