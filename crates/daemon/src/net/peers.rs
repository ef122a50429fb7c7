//! The sockets towards other instances: datagrams for all that is small, streams for logs that are far behind, a folder
//! for what outlasts a start. What is said and believed is decided in `replication`.

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

/// Time between two tellings of how members look (seconds).
const BEAT: f64 = 0.25;
/// Share of the shortest aim of a write for which others go by what they have read: a write waits no longer for them.
const LEASE_OF_AIM: f64 = 0.45;
/// Longest lease (seconds).
const LEASE: f64 = 0.5;
/// Multiple of a lease for which a write waits for leave to be sent at the most.
const HOLD_OF_LEASE: f64 = 1.2;
/// How long an instance that ends waits until the others have read that it does.
const FAREWELL: Duration = Duration::from_millis(300);

/// Other instances, as the daemon holds them.
pub(crate) struct Peers {
    pub node: Node,
    socket: UdpSocket,
    streams: Streams,
    disk: Option<Disk>,
    timer: EarliestTimer,
    next_beat: f64,
    hold: f64,
}

impl Peers {
    /// Listens, where the operator's file says so.
    pub fn new(
        effective: &EffectiveConfig,
        config: &Config,
        context: &mut Context,
    ) -> Result<Option<Peers>, String> {
        let settings = &effective.document.peers;
        let Some(listen) = settings.listen else { return Ok(None) };
        let keys = files::read_peer_keys(&settings.keys)?;
        let named = |error: io::Error| format!("peers.listen: {listen}: {error}");
        let mut socket = UdpSocket::bind(listen).map_err(named)?;
        let mut listener = TcpListener::bind(listen).map_err(named)?;
        let registry = &context.reactor.registry;
        registry.register(&mut socket, Source::PeerDatagrams.into(), Interest::READABLE).map_err(named)?;
        registry.register(&mut listener, Source::PeerListener.into(), Interest::READABLE).map_err(named)?;
        let now = context.reactor.now();
        let (mut disk, kept) = match settings.dir.as_deref().map(Disk::open) {
            Some(Ok((disk, kept))) => (Some(disk), Some(kept)),
            Some(Err(fault)) => return Err(format!("peers.dir: {fault}")),
            None => (None, None),
        };
        let start = replication::disk::next_start(kept.as_ref(), now);
        if let Some(disk) = &mut disk {
            disk.write(&[replication::disk::Record::Start(start)]);
        }
        let zone = config.zones.get(config.settings.zone as usize).map_or("", String::as_str);
        let me = Identity {
            name: replication::message::truncated_name(&config.name),
            zone: replication::message::truncated_name(zone),
            address: listen,
            start,
            renewal: 0,
        };
        let aim = effective.shortest_write_aim();
        let lease = (aim * LEASE_OF_AIM).clamp(0.01, LEASE);
        let terms = NodeConfig {
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
            me.name
        );
        let node = Node::new(me, keys, terms, config.seed ^ start, now, kept);
        let hold = (HOLD_OF_LEASE * lease).min(WRITE_HOLD_AIM_SHARE * aim);
        let mut peers = Peers {
            node,
            socket,
            streams: Streams::new(listener),
            disk,
            timer: EarliestTimer::default(),
            next_beat: now,
            hold,
        };
        peers.on_timer(context);
        Ok(Some(peers))
    }

    /// How long a write waits for leave to be sent (seconds).
    pub fn max_write_hold(&self) -> f64 {
        self.hold
    }

    /// Datagrams may be read.
    pub fn on_ready(&mut self, context: &mut Context) {
        let node = &mut self.node;
        let now = || context.reactor.now();
        if datagrams::receive(&self.socket, |_, bytes| node.receive(now(), bytes)) {
            // The rest is read once the others have had their turn.
            context.reactor.set_timer(context.reactor.now(), TimerKind::Peers);
        }
        self.send_pending(context);
    }

    /// The time has come for something.
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

    /// Sends what there is to send, writes what there is to write, and sets the timer.
    pub fn send_pending(&mut self, context: &mut Context) {
        for (name, to) in self.node.streams_to_open(context.reactor.now()) {
            self.streams.open(name, to, &mut self.node, context);
        }
        self.node.flush_due(context.reactor.now());
        for (to, bytes) in self.node.take_datagrams() {
            // What does not go out is as lost as what does not arrive.
            let _ = self.socket.send_to(&bytes, to);
        }
        let records = self.node.take_records();
        if let Some(disk) = self.disk.as_mut().filter(|_| !records.is_empty()) {
            disk.write(&records);
        }
        for notice in self.node.take_notices() {
            noticed(&notice);
        }
        let due = self.node.next_due().min(self.next_beat);
        self.timer.set(due, TimerKind::Peers, &mut context.reactor);
    }

    /// Whether it is time to tell how members look.
    pub fn take_report_due(&mut self, now: f64) -> bool {
        let beats = now >= self.next_beat;
        if beats {
            self.next_beat = now + BEAT;
        }
        beats
    }

    /// What the list says of members.
    pub fn report_list<'a>(
        &mut self,
        now: f64,
        (source, version): (u64, u64),
        members: impl Iterator<Item = (&'a str, f64, Phase)>,
    ) {
        reports::report_list(&mut self.node, now, (source, version), members);
    }

    /// Tells how members look to this instance.
    pub fn report_observations(&mut self, now: f64, found: &[Observation]) {
        reports::report_views(&mut self.node, now, found);
    }

    /// What the others say of members, for the decisions.
    pub fn peer_reports(&self, now: f64, found: &[Observation]) -> Vec<PeerReport> {
        reports::peer_reports(&self.node, now, found)
    }

    /// What a session's read needs, as a position; infinite where only the primary will do.
    pub fn required_position(&mut self, now: f64, session: &str) -> f64 {
        match self.node.read_requirement(now, session) {
            ReadRequirement::AtLeast(position) => position,
            ReadRequirement::Primary(_) => f64::INFINITY,
        }
    }

    /// Whether a write may be sent.
    pub fn may_send(&mut self, now: f64, ticket: Ticket) -> bool {
        self.node.may_send(now, ticket)
    }

    /// Answers what people ask.
    pub fn answer(&mut self, now: f64, what: &::control::PeersQuery) -> Response {
        use ::control::PeersQuery as Ask;
        let told = |value: serde_json::Value, words: &str| Response {
            peers: Some(value),
            ..Response::new(Code::Ok, words)
        };
        match what {
            Ask::Status => {
                let status = self.node.status(now);
                told(serde_json::to_value(&status).unwrap_or_default(), "who is there")
            }
            Ask::Digests => {
                let digests: BTreeMap<String, String> =
                    self.node.digests().into_iter().map(|(name, sum)| (name.to_string(), sum)).collect();
                told(serde_json::json!({ "digest": self.node.digest(), "authors": digests }), "by author")
            }
            Ask::Members => {
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
                told(serde_json::json!({ "members": members }), "as the others see them")
            }
            Ask::Member(name) => {
                let views: Vec<serde_json::Value> = self
                    .node
                    .views_of(now, name)
                    .into_iter()
                    .map(|(by, age, view)| serde_json::json!({ "by": &*by, "age_s": age, "view": view }))
                    .collect();
                let stand = format!("{:?}", self.node.member_status(name, 0.0)).to_lowercase();
                told(
                    serde_json::json!({ "name": name, "told": stand, "views": views }),
                    "who says what of it",
                )
            }
            Ask::Session(name) => {
                let need = match self.node.read_requirement(now, name) {
                    ReadRequirement::AtLeast(position) => format!("a replica that has come to {position:.3}"),
                    ReadRequirement::Primary(why) => format!("the primary: {}", why.description()),
                };
                let lines = self.node.explain(now, name);
                told(serde_json::json!({ "session": name, "reads_need": need, "because": lines }), "why")
            }
            Ask::Forget(name) => {
                if self.node.forget_instance(now, name) {
                    logging::warn!(event = "peers.written_off", name, "written off by an operator");
                    Response::new(Code::Ok, format!("{name} is over; should it live, it comes back anew"))
                } else {
                    Response::new(Code::Nothing, format!("no instance {name}, and no such seed, is missed"))
                }
            }
        }
    }

    /// This instance ends: the others are told, and given a moment to read what it stated last.
    pub fn announce_shutdown(&mut self, now: impl Fn() -> f64) {
        let begun = Instant::now();
        let mut bytes = [0; datagrams::MAX_DATAGRAM_BYTES];
        loop {
            let done = self.node.leave(now());
            for (to, bytes) in self.node.take_datagrams() {
                let _ = self.socket.send_to(&bytes, to);
            }
            if done || begun.elapsed() > FAREWELL {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
            while let Ok((count, _)) = self.socket.recv_from(&mut bytes) {
                self.node.receive(now(), &bytes[..count]);
            }
        }
    }
}

/// Tells the log what has happened.
fn noticed(notice: &Notice) {
    match notice {
        Notice::Joined(who) => {
            let (name, zone, start) = (&*who.name, &*who.zone, who.start);
            logging::info!(event = "peers.joined", name, zone, start, "{name} is there");
        }
        Notice::Left(who) => logging::info!(event = "peers.left", name = &*who.name, "{} has left", who.name),
        Notice::Ended(who, known) => {
            let (name, start) = (&*who.name, who.start);
            logging::info!(event = "peers.ended", name, start, known, "{name} is over at that start");
        }
        Notice::Unreachable(name) => {
            logging::warn!(event = "peers.missing", name = &**name, "{name} does not answer")
        }
        Notice::Reachable(name) => {
            logging::info!(event = "peers.back", name = &**name, "{name} answers again")
        }
        Notice::Complete(true) => {
            logging::debug!(event = "peers.whole", "sessions' reads go by what is known")
        }
        Notice::Complete(false) => {
            logging::debug!(event = "peers.strict", "sessions' reads go to the primary")
        }
        Notice::WithoutMajority(true) => {
            logging::warn!(event = "peers.alone", "no majority: writes are answered without it")
        }
        Notice::WithoutMajority(false) => {
            logging::info!(event = "peers.together", "a majority is there again")
        }
        Notice::Suspected(name) => {
            logging::info!(event = "peers.suspected", name = &**name, "{name} is called dead")
        }
        Notice::Conflict(address) => logging::error!(
            event = "peers.conflict",
            "another process at {address} runs under this one's name: writes of sessions are turned away here"
        ),
        Notice::TwoPrimaries(group, a, b) => logging::warn!(
            event = "peers.two_primaries",
            group,
            "{a} and {b} both claim group {group}: neither is believed unasked"
        ),
        Notice::Renewed(start) => {
            logging::warn!(
                event = "peers.renewed",
                start,
                "was called over by others: goes on as a new start"
            );
        }
    }
}
