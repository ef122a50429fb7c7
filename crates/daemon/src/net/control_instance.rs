//! A control instance of the session directory: a socket and a clock for [`directory::Replica`]. It keeps nothing on disk and
//! answers nothing for the first 2.5 s (docs/session-directory.md).

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use directory::{ProcessId, Replica};
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use operator::Document;
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

use super::datagrams;
use super::directory::{millis, placement, timing, DropLog, Routes};
use super::event_loop::Reactor;
use crate::files;

const SOCKET: Token = Token(0);
const SIGNALS: Token = Token(1);
/// Events fetched in one go.
const BATCH: usize = 16;
/// Longest wait between two looks at what has become due (milliseconds): records of claims whose lease has ended are dropped
/// in parts.
const LONGEST_WAIT: u64 = 100;

/// A running control instance.
struct ControlInstance {
    name: String,
    replica: Replica,
    socket: UdpSocket,
    routes: Routes,
    reactor: Reactor,
    drops: DropLog,
    silent: bool,
}

/// Serves as the control instance of that name, at the address that the list gives it or at another, until it is told to end.
pub(crate) fn serve(document: &Document, name: &str, listen: Option<SocketAddr>) -> Result<(), String> {
    let _log = logging::start(document.log.level, document.log.format);
    let settings = &document.peers;
    let known =
        || settings.control.iter().map(|instance| instance.name.as_str()).collect::<Vec<_>>().join(", ");
    let own = settings.control.iter().find(|instance| instance.name == name);
    let own = own.ok_or_else(|| format!("--name {name}: not in peers.control; accepted: {}", known()))?;
    let listen = listen.unwrap_or(own.address);
    let failed = |error: io::Error| format!("{listen}: {error}");
    let mut poll = Poll::new().map_err(failed)?;
    let reactor = Reactor::new(&poll).map_err(failed)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1]).map_err(failed)?;
    let mut socket = UdpSocket::bind(listen).map_err(failed)?;
    let registry = poll.registry();
    registry.register(&mut socket, SOCKET, Interest::READABLE).map_err(failed)?;
    registry.register(&mut signals, SIGNALS, Interest::READABLE).map_err(failed)?;
    let now = millis(reactor.now());
    let me = ProcessId::new(name, now);
    let keys = files::read_peer_keys(&settings.keys)?;
    let replica = Replica::new(me, keys, timing(settings), placement(settings)?, now);
    let replica = replica.ok_or_else(|| format!("--name {name}: not in peers.control"))?;
    logging::info!(
        event = "control.listening",
        start = me.incarnation,
        "control instance {name} listens on {listen}; it answers once leases of an earlier start are over"
    );
    let routes = Routes::new(settings);
    let drops = DropLog::default();
    let mut instance =
        ControlInstance { name: name.into(), replica, socket, routes, reactor, drops, silent: true };
    instance.run(&mut poll, &mut signals).map_err(failed)
}

impl ControlInstance {
    fn run(&mut self, poll: &mut Poll, signals: &mut Signals) -> io::Result<()> {
        let mut events = Events::with_capacity(BATCH);
        loop {
            let now = millis(self.reactor.now());
            let wait = self.replica.next_due().saturating_sub(now).clamp(1, LONGEST_WAIT);
            match poll.poll(&mut events, Some(std::time::Duration::from_millis(wait))) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            while self.read() {}
            self.turn();
            if signals.pending().any(|signal| self.ends_at(signal)) {
                logging::info!(
                    event = "control.ended",
                    "control instance {} ends: {}",
                    self.name,
                    self.figures()
                );
                return Ok(());
            }
        }
    }

    /// Takes in what has come and answers it; whether more may wait.
    fn read(&mut self) -> bool {
        let (replica, reactor) = (&mut self.replica, &self.reactor);
        // What is dropped is counted by the replica, and logged from there.
        let mut take = |from, bytes: &[u8]| {
            let _ = replica.receive(millis(reactor.now()), from, bytes);
        };
        let more = datagrams::receive(&self.socket, &mut take);
        self.send();
        more
    }

    fn send(&mut self) {
        for (to, bytes) in self.replica.take_datagrams() {
            // What does not go out is as lost as what does not arrive.
            let _ = self.socket.send_to(&bytes, self.routes.resolve(to));
        }
    }

    /// Time has passed.
    fn turn(&mut self) {
        let now = self.reactor.now();
        self.replica.tick(millis(now));
        self.send();
        let silent = self.replica.is_silent(millis(now));
        if std::mem::replace(&mut self.silent, silent) && !silent {
            logging::info!(event = "control.answers", "control instance {} answers from now on", self.name);
        }
        self.drops.report(now, self.replica.faults());
    }

    /// Takes a signal; whether it asks for the end.
    fn ends_at(&self, signal: i32) -> bool {
        if signal == SIGUSR1 {
            logging::info!(event = "control.figures", "{}", self.figures());
        }
        signal != SIGUSR1
    }

    fn figures(&self) -> String {
        let counts = self.replica.counts();
        let dropped: u64 = self.replica.faults().values().sum();
        format!(
            "poolers={} records={} accepted={} rejected={} full={} expired={} dropped={dropped}",
            self.replica.poolers(),
            self.replica.records(),
            counts.accepted,
            counts.rejected,
            counts.full,
            counts.expired
        )
    }
}
