//! Sockets for the exchange with peers: datagrams for small messages, streams for logs that are far behind,
//! and the folder for state that outlasts a start. The protocol itself is in `replication`.

mod disk;
mod streams;

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use ::control::{Code, Response};
use config::Config;
use mio::net::{TcpListener, UdpSocket};
use mio::Interest;
use operator::EffectiveConfig;
use replication::{reports, Identity, Node, NodeConfig, Notice, ReadRequirement, Ticket};
use routing::interface::Phase;
use routing::peer_reports::{Observation, PeerReport};

use super::event_loop::{EarliestTimer, Slot, Source, TimerKind};
use super::{datagrams, Context, WRITE_HOLD_AIM_SHARE};
use crate::files;
use disk::Disk;
use streams::Streams;

/// Interval at which observations of members are sent to peers (seconds).
const REPORT_INTERVAL: f64 = 0.25;
/// Maximum lease as a share of the shortest latency aim of a write, since a write may wait that long for
/// lessees.
const LEASE_AIM_SHARE: f64 = 0.45;
/// Maximum lease (seconds).
const MAX_LEASE: f64 = 0.5;
/// Maximum time that a write is held until it may be sent, as a multiple of a lease.
const MAX_HOLD_LEASES: f64 = 1.2;
/// How long the shutdown waits for peers to read the end of this instance's log.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);

/// The state exchange with peers.
pub(crate) struct Peers {
    pub node: Node,
    socket: UdpSocket,
    streams: Streams,
    disk: Option<Disk>,
    timer: EarliestTimer,
    next_report: f64,
    max_hold: f64,
}

impl Peers {
    /// Binds the sockets, if the operator's file configures the exchange.
    pub fn new(
        effective: &EffectiveConfig,
        config: &Config,
        context: &mut Context,
    ) -> Result<Option<Peers>, String> {
        let settings = &effective.document.peers;
        let Some(listen) = settings.listen else { return Ok(None) };
        let keys = files::read_peer_keys(&settings.keys)?;
        let with_address = |error: io::Error| format!("peers.listen: {listen}: {error}");
        let mut socket = UdpSocket::bind(listen).map_err(with_address)?;
        let mut listener = TcpListener::bind(listen).map_err(with_address)?;
        let registry = &context.reactor.registry;
        registry
            .register(&mut socket, Source::PeerDatagrams.into(), Interest::READABLE)
            .map_err(with_address)?;
        registry
            .register(&mut listener, Source::PeerListener.into(), Interest::READABLE)
            .map_err(with_address)?;
        let now = context.reactor.now();
        let (mut disk, stored) = match settings.dir.as_deref().map(Disk::open) {
            Some(Ok((disk, stored))) => (Some(disk), Some(stored)),
            Some(Err(fault)) => return Err(format!("peers.dir: {fault}")),
            None => (None, None),
        };
        let start = replication::disk::next_start(stored.as_ref(), now);
        if let Some(disk) = &mut disk {
            disk.write(&[replication::disk::Record::Start(start)]);
        }
        let zone = config.zones.get(config.settings.zone as usize).map_or("", String::as_str);
        let identity = Identity {
            name: replication::message::truncated_name(&config.name),
            zone: replication::message::truncated_name(zone),
            address: listen,
            start,
            renewal: 0,
        };
        let shortest_aim = effective.shortest_write_aim();
        let lease = (shortest_aim * LEASE_AIM_SHARE).clamp(0.01, MAX_LEASE);
        let node_config = NodeConfig {
            lease,
            majority_timeout: settings.patience_s,
            clock_error: settings.clock_error_s,
            seeds: settings.seeds.clone(),
            routes: settings.route.iter().map(|r| (r.name.as_str().into(), r.address)).collect(),
        };
        logging::info!(
            event = "peers.listening",
            start,
            seeds = settings.seeds.len(),
            "other instances reach {} at {listen}",
            identity.name
        );
        let node = Node::new(identity, keys, node_config, config.seed ^ start, now, stored);
        let max_hold = (MAX_HOLD_LEASES * lease).min(WRITE_HOLD_AIM_SHARE * shortest_aim);
        let mut peers = Peers {
            node,
            socket,
            streams: Streams::new(listener),
            disk,
            timer: EarliestTimer::default(),
            next_report: now,
            max_hold,
        };
        peers.on_timer(context);
        Ok(Some(peers))
    }

    /// Returns the maximum time that a write is held until it may be sent (seconds).
    pub fn max_write_hold(&self) -> f64 {
        self.max_hold
    }

    /// Reads datagrams.
    pub fn on_ready(&mut self, context: &mut Context) {
        let node = &mut self.node;
        let now = || context.reactor.now();
        if datagrams::receive(&self.socket, |_, bytes| node.receive(now(), bytes)) {
            context.reactor.continue_later(Source::PeerDatagrams);
        }
        self.send_pending(context);
    }

    /// Runs what is due.
    pub fn on_timer(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        self.timer.fired(now);
        self.node.tick(now);
        self.streams.on_timer(now, &mut self.node);
        self.on_ready(context);
    }

    pub fn accept(&mut self, context: &mut Context) {
        self.streams.accept(context);
    }

    pub fn on_stream_ready(&mut self, slot: Slot, context: &mut Context) {
        self.streams.on_ready(slot, &mut self.node, context);
        self.send_pending(context);
    }

    /// Sends pending datagrams, writes pending records and sets the timer.
    pub fn send_pending(&mut self, context: &mut Context) {
        for (name, to) in self.node.streams_to_open(context.reactor.now()) {
            self.streams.open(name, to, &mut self.node, context);
        }
        self.node.flush_due(context.reactor.now());
        for (to, bytes) in self.node.take_datagrams() {
            // A datagram that can't be sent is treated like a lost one.
            let _ = self.socket.send_to(&bytes, to);
        }
        let records = self.node.take_records();
        if let Some(disk) = self.disk.as_mut().filter(|_| !records.is_empty()) {
            disk.write(&records);
        }
        for notice in self.node.take_notices() {
            log_notice(&notice);
        }
        let due = self.node.next_due().min(self.next_report);
        self.timer.set(due, TimerKind::Peers, &mut context.reactor);
    }

    /// Returns true if observations of members are due to be sent.
    pub fn take_report_due(&mut self, now: f64) -> bool {
        let due = now >= self.next_report;
        if due {
            self.next_report = now + REPORT_INTERVAL;
        }
        due
    }

    /// Publishes what the list says about members.
    pub fn report_list<'a>(
        &mut self,
        now: f64,
        (source, version): (u64, u64),
        members: impl Iterator<Item = (&'a str, f64, Phase)>,
    ) {
        reports::report_list(&mut self.node, now, (source, version), members);
    }

    /// Sends how members look to this instance.
    pub fn report_observations(&mut self, now: f64, observations: &[Observation]) {
        reports::report_views(&mut self.node, now, observations);
    }

    /// Returns what peers report about members, for the routing policy.
    pub fn peer_reports(&self, now: f64, observations: &[Observation]) -> Vec<PeerReport> {
        reports::peer_reports(&self.node, now, observations)
    }

    /// Returns the position that a session's read requires; infinite if only the primary may serve it.
    pub fn required_position(&mut self, now: f64, session: &str) -> f64 {
        match self.node.read_requirement(now, session) {
            ReadRequirement::AtLeast(position) => position,
            ReadRequirement::Primary(_) => f64::INFINITY,
        }
    }

    /// Returns true if a write may be sent.
    pub fn may_send(&mut self, now: f64, ticket: Ticket) -> bool {
        self.node.may_send(now, ticket)
    }

    /// Answers an operator's query.
    pub fn answer(&mut self, now: f64, query: &::control::PeersQuery) -> Response {
        use ::control::PeersQuery;
        let response = |value: serde_json::Value, text: &str| Response {
            peers: Some(value),
            ..Response::new(Code::Ok, text)
        };
        match query {
            PeersQuery::Status => {
                let status = self.node.status(now);
                response(serde_json::to_value(&status).unwrap_or_default(), "instances of this installation")
            }
            PeersQuery::Digests => {
                let digests: BTreeMap<String, String> =
                    self.node.digests().into_iter().map(|(name, sum)| (name.to_string(), sum)).collect();
                response(
                    serde_json::json!({ "digest": self.node.digest(), "authors": digests }),
                    "digests by author",
                )
            }
            PeersQuery::Members => {
                let members: Vec<serde_json::Value> = self
                    .node
                    .aggregated_views(now)
                    .into_iter()
                    .map(|(member, all)| {
                        serde_json::json!({
                            "name": &*member, "seen_by": all.seen_by, "suspected_by": all.suspected_by,
                            "in_flight_elsewhere": all.in_flight, "position": all.position.map(|p| p.0),
                            "position_age_s": all.position.map(|p| p.1),
                        })
                    })
                    .collect();
                response(serde_json::json!({ "members": members }), "members as seen by other instances")
            }
            PeersQuery::Member(name) => {
                let views: Vec<serde_json::Value> = self
                    .node
                    .views_of(now, name)
                    .into_iter()
                    .map(|(observer, age, view)| {
                        serde_json::json!({ "by": &*observer, "age_s": age, "view": view })
                    })
                    .collect();
                let status = format!("{:?}", self.node.member_status(name, 0.0)).to_lowercase();
                response(
                    serde_json::json!({ "name": name, "told": status, "views": views }),
                    "reports about the member",
                )
            }
            PeersQuery::Session(name) => {
                let requirement = match self.node.read_requirement(now, name) {
                    ReadRequirement::AtLeast(position) => {
                        format!("a replica that has come to {position:.3}")
                    }
                    ReadRequirement::Primary(reason) => format!("the primary: {}", reason.description()),
                };
                let lines = self.node.explain(now, name);
                response(
                    serde_json::json!({ "session": name, "reads_need": requirement, "because": lines }),
                    "routing of the session's reads",
                )
            }
            PeersQuery::Forget(name) => {
                if self.node.forget_instance(now, name) {
                    logging::warn!(
                        event = "peers.written_off",
                        name,
                        "{name} was declared ended by an operator"
                    );
                    Response::new(
                        Code::Ok,
                        format!("{name} is over; if it still runs, it rejoins under a new start"),
                    )
                } else {
                    Response::new(
                        Code::Nothing,
                        format!("no instance {name} is running, and no unanswered seed has this address"),
                    )
                }
            }
        }
    }

    /// Announces the shutdown to peers and waits up to [`SHUTDOWN_TIMEOUT`] for them to read the last facts.
    pub fn announce_shutdown(&mut self, now: impl Fn() -> f64) {
        let started_at = Instant::now();
        let mut bytes = [0; datagrams::MAX_DATAGRAM_BYTES];
        loop {
            let done = self.node.leave(now());
            for (to, bytes) in self.node.take_datagrams() {
                let _ = self.socket.send_to(&bytes, to);
            }
            if done || started_at.elapsed() > SHUTDOWN_TIMEOUT {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
            while let Ok((count, _)) = self.socket.recv_from(&mut bytes) {
                self.node.receive(now(), &bytes[..count]);
            }
        }
    }
}

/// Logs a notice.
fn log_notice(notice: &Notice) {
    match notice {
        Notice::Joined(identity) => {
            let (name, zone, start) = (&*identity.name, &*identity.zone, identity.start);
            logging::info!(event = "peers.joined", name, zone, start, "instance {name} has joined");
        }
        Notice::Left(identity) => {
            logging::info!(
                event = "peers.left",
                name = &*identity.name,
                "instance {} has left",
                identity.name
            )
        }
        Notice::Ended(identity, known) => {
            let (name, start) = (&*identity.name, identity.start);
            logging::info!(
                event = "peers.ended",
                name,
                start,
                known,
                "start {start} of instance {name} has ended"
            );
        }
        Notice::Unreachable(name) => {
            logging::warn!(event = "peers.missing", name = &**name, "instance {name} does not answer")
        }
        Notice::Reachable(name) => {
            logging::info!(event = "peers.back", name = &**name, "instance {name} answers again")
        }
        Notice::Complete(true) => {
            logging::debug!(
                event = "peers.whole",
                "the state of all peers is known: reads of sessions may use replicas"
            )
        }
        Notice::Complete(false) => {
            logging::debug!(
                event = "peers.strict",
                "the state of peers is not completely known: reads of sessions go to the primary"
            )
        }
        Notice::WithoutMajority(true) => {
            logging::warn!(
                event = "peers.alone",
                "no majority of instances is reachable: writes are answered without one"
            )
        }
        Notice::WithoutMajority(false) => {
            logging::info!(event = "peers.together", "a majority of instances is reachable again")
        }
        Notice::Suspected(name) => {
            logging::info!(
                event = "peers.suspected",
                name = &**name,
                "membership declares instance {name} dead"
            )
        }
        Notice::Conflict(address) => logging::error!(
            event = "peers.conflict",
            "another process at {address} runs under this instance's name: writes of sessions are rejected here"
        ),
        Notice::TwoPrimaries(group, a, b) => logging::warn!(
            event = "peers.two_primaries",
            group,
            "members {a} and {b} both claim to be the primary of group {group}: neither is used before it \
             is asked"
        ),
        Notice::Renewed(start) => {
            logging::warn!(
                event = "peers.renewed",
                start,
                "other instances declared this one ended: it continues under start {start}"
            );
        }
    }
}
