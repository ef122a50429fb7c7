//! Real poolers and control instances of a run: processes of `dewferry`, whose files are in the run's
//! temporary folder.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::Command as Program;

use serde::Deserialize;

use crate::error::ScaleError;
use crate::layout::{control_zone, region_of, zone_of, Network};
use crate::process::{killed_with_parent, KillOnDrop};
use crate::protocol::Coordination;
use crate::settings::{control_name, platform_config, pooler_name, region_name, KEY};

/// Paths of the programs and files of a run.
pub struct Programs {
    /// The program of this command.
    pub command: PathBuf,
    /// The program `dewferry`.
    pub pooler: PathBuf,
    /// Temporary folder of the run, removed at its end.
    pub folder: PathBuf,
}

/// Configuration of a real pooler.
pub struct RealPoolerConfig {
    /// The run's network.
    pub network: Network,
    /// Number of the pooler.
    pub number: usize,
    /// Number of poolers of the fleet.
    pub fleet: usize,
    /// Seed of its random numbers.
    pub seed: u64,
    /// How it learns about writes made through other poolers.
    pub coordination: Coordination,
    /// Number of control instances, if the coordination is [`Coordination::Directory`].
    pub control: usize,
    /// Number of poolers that are configured as seeds at all others.
    pub seeds: usize,
}

/// A running real pooler.
pub struct RealPooler {
    process: KillOnDrop,
    socket: PathBuf,
    program: PathBuf,
}

/// Status of a real pooler and its peers; a part of the output of `dewferry peers status --json`.
#[derive(Clone, Debug, Deserialize)]
pub struct RealStatus {
    /// The instances known to it, including itself.
    pub instances: Vec<RealInstance>,
    /// Bytes sent to peers since its start.
    pub sent_bytes: u64,
    /// Bytes received from peers since its start.
    pub received_bytes: u64,
}

/// An instance as seen by a real pooler.
#[derive(Clone, Debug, Deserialize)]
pub struct RealInstance {
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// The versions that the instance reported.
    pub versions: Option<RealVersions>,
}

/// Versions that an instance uses.
#[derive(Clone, Debug, Deserialize)]
pub struct RealVersions {
    /// The version of its list.
    pub list: u64,
}

impl RealStatus {
    /// Returns the number of instances that it considers alive, including itself.
    pub fn alive(&self) -> usize {
        self.instances.iter().filter(|instance| instance.state == "alive").count()
    }
}

impl RealPooler {
    /// Starts a real pooler.
    pub fn start(programs: &Programs, config: &RealPoolerConfig) -> Result<RealPooler, ScaleError> {
        let name = pooler_name(config.number);
        let folder = programs.folder.join(&name);
        std::fs::create_dir_all(&folder).map_err(|error| ScaleError::File(folder.clone(), error))?;
        let socket = folder.join("control");
        let zone = zone_of(config.number);
        let text = platform_config(config.network, config.number, zone, config.fleet, config.seed);
        let settings = folder.join("platform.json");
        write_file(&settings, &text)?;
        let operator = folder.join("dewferry.toml");
        write_file(&folder.join("key"), KEY)?;
        write_file(&operator, &operator_config(config, &folder))?;
        let path = folder.join("log");
        let log = File::create(&path).map_err(|error| ScaleError::File(path, error))?;
        let mut program = killed_with_parent(&programs.command, &programs.pooler);
        program.args(["serve", "--config"]).arg(settings).arg("--operator").arg(operator).stderr(log);
        let process = program.spawn().map_err(|error| ScaleError::Process(format!("{name}: {error}")))?;
        Ok(RealPooler { process: KillOnDrop(process), socket, program: programs.pooler.clone() })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.process.0.id()
    }

    /// Queries the status. Returns `None` while the pooler cannot be reached.
    pub fn status(&self) -> Option<RealStatus> {
        let mut program = Program::new(&self.program);
        program.args(["peers", "status", "--json"]).env("DEWFERRY_CONTROL", &self.socket);
        let output = program.output().ok()?;
        serde_json::from_slice(&output.stdout).ok()
    }
}

fn operator_config(config: &RealPoolerConfig, folder: &Path) -> String {
    let socket = folder.join("control");
    let mut text = format!("control.socket = \"{}\"\nlog.level = \"info\"\n", socket.display());
    let coordination_setting = match config.coordination {
        Coordination::None => return text,
        Coordination::Peers => {
            let seeds: Vec<String> =
                (0..config.seeds).map(|seed| format!("\"{}\"", config.network.pooler(seed))).collect();
            format!("seeds = [{}]\n", seeds.join(", "))
        }
        Coordination::Directory => control_setting(config.network, config.control),
    };
    let (listen, key) = (config.network.pooler(config.number), folder.join("key"));
    text +=
        &format!("[peers]\nlisten = \"{listen}\"\nkeys = [\"{}\"]\n{coordination_setting}", key.display());
    text
}

/// Returns the setting `peers.control`, which lists the control instances.
fn control_setting(network: Network, count: usize) -> String {
    let entry = |number: usize| {
        let (name, address) = (control_name(number), network.control(number));
        let region = region_name(region_of(control_zone(number)));
        format!("{{ name = \"{name}\", region = \"{region}\", address = \"{address}\" }}")
    };
    let entries: Vec<String> = (0..count).map(entry).collect();
    format!("control = [{}]\n", entries.join(", "))
}

/// A running control instance.
pub struct ControlInstance(KillOnDrop);

impl ControlInstance {
    /// Starts control instance `number` of `count`.
    pub fn start(
        programs: &Programs,
        network: Network,
        number: usize,
        count: usize,
    ) -> Result<ControlInstance, ScaleError> {
        let name = control_name(number);
        let folder = programs.folder.join(&name);
        std::fs::create_dir_all(&folder).map_err(|error| ScaleError::File(folder.clone(), error))?;
        write_file(&folder.join("key"), KEY)?;
        let operator = folder.join("dewferry.toml");
        let setting = control_setting(network, count);
        let key = folder.join("key");
        write_file(&operator, &format!("[peers]\nkeys = [\"{}\"]\n{setting}", key.display()))?;
        let path = folder.join("log");
        let log = File::create(&path).map_err(|error| ScaleError::File(path, error))?;
        let mut program = killed_with_parent(&programs.command, &programs.pooler);
        program.args(["control", "--name", &name, "--operator"]).arg(operator).stderr(log);
        let process = program.spawn().map_err(|error| ScaleError::Process(format!("{name}: {error}")))?;
        Ok(ControlInstance(KillOnDrop(process)))
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.0 .0.id()
    }
}

/// Writes a file that only its owner may read, as the pooler requires for keys.
fn write_file(path: &Path, text: &str) -> Result<(), ScaleError> {
    let failed = |error| ScaleError::File(path.to_path_buf(), error);
    let mut options = OpenOptions::new();
    let mut file = options.write(true).create(true).truncate(true).mode(0o600).open(path).map_err(failed)?;
    file.write_all(text.as_bytes()).map_err(failed)
}
