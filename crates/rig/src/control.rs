//! Control instances of a rig: processes of `dewferry control`, with a relay from each pooler to each of them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::process::Process;
use crate::relay::Relay;
use crate::{free, Faults};

/// Regions that control instances stand in.
const REGIONS: usize = 3;

/// The control instances.
pub struct ControlInstances {
    program: PathBuf,
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    processes: Vec<Process>,
    /// By pooler, then by control instance.
    relays: Vec<Vec<Relay>>,
}

impl ControlInstances {
    /// So many control instances for so many poolers; none is started.
    pub(crate) fn new(program: &Path, folder: &Path, count: usize, poolers: usize) -> ControlInstances {
        let addresses: Vec<SocketAddr> = (0..count).map(|_| free()).collect();
        let relay = |pooler: usize, n: usize| Relay::new(addresses[n], (500_000 + pooler * 1_000 + n) as u64);
        let relays = (0..poolers).map(|pooler| (0..count).map(|n| relay(pooler, n)).collect()).collect();
        let processes = (0..count).map(|_| Process::default()).collect();
        let control =
            ControlInstances { program: program.into(), folder: folder.into(), addresses, processes, relays };
        let text = format!("[peers]\nkeys = [\"{}\"]\n{}", folder.join("key").display(), control.listed());
        std::fs::write(control.operator(), text).expect("a file");
        control
    }

    /// The operator's file that all control instances share.
    fn operator(&self) -> PathBuf {
        self.folder.join("control.toml")
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// The part of an operator's file that names them, as all processes have it.
    pub(crate) fn listed(&self) -> String {
        let entry = |(n, address): (usize, &SocketAddr)| {
            format!("{{ name = \"c{n}\", region = \"r{}\", address = \"{address}\" }}", n % REGIONS)
        };
        let entries: Vec<String> = self.addresses.iter().enumerate().map(entry).collect();
        format!("control = [{}]\n", entries.join(", "))
    }

    /// The routes of a pooler to them.
    pub(crate) fn routes(&self, pooler: usize) -> String {
        let route = |(n, relay): (usize, &Relay)| {
            format!("[[peers.route]]\nname = \"c{n}\"\naddress = \"{}\"\n", relay.address)
        };
        self.relays[pooler].iter().enumerate().map(route).collect()
    }

    /// Starts one.
    pub fn start(&mut self, n: usize) {
        let log = self.folder.join(format!("c{n}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new(&self.program);
        command.arg("control").arg("--operator").arg(self.operator()).args(["--name", &format!("c{n}")]);
        self.processes[n].start(command.stderr(Stdio::from(log)));
    }

    /// SIGKILL.
    pub fn kill(&mut self, n: usize) {
        self.processes[n].kill();
    }

    /// SIGSTOP or SIGCONT.
    pub fn set_stopped(&mut self, n: usize, stopped: bool) {
        self.processes[n].stop(stopped);
    }

    /// Changes what the relays between a pooler and a control instance do, both ways.
    pub fn change_faults_between(&self, pooler: usize, n: usize, change: impl Fn(&mut Faults)) {
        self.relays[pooler][n].change_faults(change);
    }

    /// Changes what all relays to control instances do.
    pub fn change_all_faults(&self, change: impl Fn(&mut Faults)) {
        self.relays.iter().flatten().for_each(|relay| relay.change_faults(&change));
    }
}
