//! A control instance of the session directory: a socket and a clock for [`directory::Replica`]. It stores
//! nothing on disk and answers nothing for the first 2.5 s (docs/session-directory.md).

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
/// Maximum number of events fetched by one poll.
const MAX_EVENTS_PER_POLL: usize = 16;
/// Maximum wait of one poll (milliseconds): each tick removes only a part of the claim records whose lease
/// has ended.
const MAX_POLL_WAIT_MS: u64 = 100;

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

/// Runs the control instance `name` until a signal requests its shutdown. It listens on `listen`, by default
/// on its address in `peers.control`.
pub(crate) fn serve(document: &Document, name: &str, listen: Option<SocketAddr>) -> Result<(), String> {
    let _log = logging::start(document.log.level, document.log.format);
    let settings = &document.peers;
    let known_names =
        || settings.control.iter().map(|instance| instance.name.as_str()).collect::<Vec<_>>().join(", ");
    let own = settings.control.iter().find(|instance| instance.name == name);
    let own =
        own.ok_or_else(|| format!("--name {name}: not in peers.control; accepted: {}", known_names()))?;
    let listen = listen.unwrap_or(own.address);
    let with_address = |error: io::Error| format!("{listen}: {error}");
    let mut poll = Poll::new().map_err(with_address)?;
    let reactor = Reactor::new(&poll).map_err(with_address)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1]).map_err(with_address)?;
    let mut socket = UdpSocket::bind(listen).map_err(with_address)?;
    let registry = poll.registry();
    registry.register(&mut socket, SOCKET, Interest::READABLE).map_err(with_address)?;
    registry.register(&mut signals, SIGNALS, Interest::READABLE).map_err(with_address)?;
    let now = millis(reactor.now());
    let process_id = ProcessId::new(name, now);
    let keys = files::read_peer_keys(&settings.keys)?;
    let replica = Replica::new(process_id, keys, timing(settings), placement(settings)?, now);
    let replica = replica.ok_or_else(|| format!("--name {name}: not in peers.control"))?;
    logging::info!(
        event = "control.listening",
        start = process_id.incarnation,
        "control instance {name} listens on {listen}; it answers once leases from an earlier start have ended"
    );
    let routes = Routes::new(settings);
    let drops = DropLog::default();
    let mut instance =
        ControlInstance { name: name.into(), replica, socket, routes, reactor, drops, silent: true };
    instance.run(&mut poll, &mut signals).map_err(with_address)
}

impl ControlInstance {
    fn run(&mut self, poll: &mut Poll, signals: &mut Signals) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        // Timers and signals are handled after each batch of datagrams, however many wait.
        let mut more_datagrams = false;
        loop {
            let now = millis(self.reactor.now());
            let due_in = self.replica.next_due().saturating_sub(now).clamp(1, MAX_POLL_WAIT_MS);
            let wait = if more_datagrams { 0 } else { due_in };
            match poll.poll(&mut events, Some(std::time::Duration::from_millis(wait))) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            more_datagrams = self.read();
            self.tick();
            if signals.pending().any(|signal| self.handle_signal(signal)) {
                logging::info!(
                    event = "control.ended",
                    "control instance {} shuts down: {}",
                    self.name,
                    self.describe_counts()
                );
                return Ok(());
            }
        }
    }

    /// Handles and answers a batch of received datagrams. Returns true if more may be waiting.
    fn read(&mut self) -> bool {
        let (replica, reactor) = (&mut self.replica, &self.reactor);
        // The replica counts datagrams that it drops; `tick` logs those counts.
        let mut receive = |from, bytes: &[u8]| {
            let _ = replica.receive(millis(reactor.now()), from, bytes);
        };
        let more = datagrams::receive(&self.socket, &mut receive);
        self.send();
        more
    }

    fn send(&mut self) {
        for (to, bytes) in self.replica.take_datagrams() {
            // A datagram that cannot be sent counts as lost on the network.
            let _ = self.socket.send_to(&bytes, self.routes.resolve(to));
        }
    }

    /// Advances the replica's timers, and logs the end of its startup silence and dropped datagrams.
    fn tick(&mut self) {
        let now = self.reactor.now();
        self.replica.tick(millis(now));
        self.send();
        let silent = self.replica.is_silent(millis(now));
        if std::mem::replace(&mut self.silent, silent) && !silent {
            logging::info!(
                event = "control.answers",
                "control instance {} answers requests from now on",
                self.name
            );
        }
        self.drops.report(now, self.replica.faults());
    }

    /// Handles a signal. Returns true if it requests the shutdown.
    fn handle_signal(&self, signal: i32) -> bool {
        if signal == SIGUSR1 {
            logging::info!(event = "control.figures", "{}", self.describe_counts());
        }
        signal != SIGUSR1
    }

    fn describe_counts(&self) -> String {
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
