//! Control instances of a rig: processes of `dewferry control`, with a relay from each pooler to each control
//! instance.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use crate::process::Process;
use crate::relay::Relay;
use crate::{free_address, Faults};

/// Number of regions of the control instances.
const REGIONS: usize = 3;

/// The control instances of a rig.
pub struct ControlInstances {
    program: PathBuf,
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    processes: Vec<Process>,
    /// Indexed by pooler, then by control instance.
    relays: Vec<Vec<Relay>>,
}

impl ControlInstances {
    /// Creates `count` control instances for a number of poolers; none is started.
    pub(crate) fn new(program: &Path, folder: &Path, count: usize, poolers: usize) -> ControlInstances {
        let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let relay = |pooler: usize, n: usize| Relay::new(addresses[n], (500_000 + pooler * 1_000 + n) as u64);
        let relays = (0..poolers).map(|pooler| (0..count).map(|n| relay(pooler, n)).collect()).collect();
        let processes = (0..count).map(|_| Process::default()).collect();
        let control =
            ControlInstances { program: program.into(), folder: folder.into(), addresses, processes, relays };
        let text =
            format!("[peers]\nkeys = [\"{}\"]\n{}", folder.join("key").display(), control.control_list());
        std::fs::write(control.operator_file(), text).expect("a file");
        control
    }

    /// Returns the path of the operator's file that all control instances share.
    fn operator_file(&self) -> PathBuf {
        self.folder.join("control.toml")
    }

    /// Returns the number of control instances.
    pub fn count(&self) -> usize {
        self.addresses.len()
    }

    /// Returns the setting that lists the control instances, the same for all processes.
    pub(crate) fn control_list(&self) -> String {
        let entry = |(n, address): (usize, &SocketAddr)| {
            format!("{{ name = \"c{n}\", region = \"r{}\", address = \"{address}\" }}", n % REGIONS)
        };
        let entries: Vec<String> = self.addresses.iter().enumerate().map(entry).collect();
        format!("control = [{}]\n", entries.join(", "))
    }

    /// Returns a pooler's routes to the control instances, which go through its relays.
    pub(crate) fn routes(&self, pooler: usize) -> String {
        let route = |(n, relay): (usize, &Relay)| {
            format!("[[peers.route]]\nname = \"c{n}\"\naddress = \"{}\"\n", relay.address)
        };
        self.relays[pooler].iter().enumerate().map(route).collect()
    }

    /// Starts a control instance.
    pub fn start(&mut self, n: usize) {
        let log = self.folder.join(format!("c{n}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new(&self.program);
        command.arg("control").arg("--operator").arg(self.operator_file()).args(["--name", &format!("c{n}")]);
        self.processes[n].start(command.stderr(Stdio::from(log)));
    }

    /// Sends SIGKILL to a control instance and waits for its exit.
    pub fn kill(&mut self, n: usize) {
        self.processes[n].kill();
    }

    /// Sends SIGSTOP or SIGCONT to a control instance.
    pub fn set_stopped(&mut self, n: usize, stopped: bool) {
        self.processes[n].set_stopped(stopped);
    }

    /// Changes the faults of the relay from a pooler to a control instance, in both directions.
    pub fn change_faults_between(&self, pooler: usize, n: usize, change: impl Fn(&mut Faults)) {
        self.relays[pooler][n].change_faults(change);
    }

    /// Changes the faults of all relays to control instances.
    pub fn change_all_faults(&self, change: impl Fn(&mut Faults)) {
        self.relays.iter().flatten().for_each(|relay| relay.change_faults(&change));
    }
}
