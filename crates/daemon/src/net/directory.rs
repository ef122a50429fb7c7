//! The pooler's side of the session directory: a socket towards the control instances and towards the poolers that sessions
//! come from. What is claimed, owned and proven is decided in the package `directory`.

mod settings;

use std::io;

use ::control::{Code, PeersQuery as Question, Response};
use config::Config;
use directory::{
    Client, PrimaryReason, ProcessId, ReadRequirement, SessionKey, Status, Ticket, Timing, WriteOutcome,
};
use mio::net::UdpSocket;
use mio::Interest;
use operator::EffectiveConfig;

use super::event_loop::{EarliestTimer, Source, TimerKind};
use super::{datagrams, Context, WRITE_HOLD_AIM_SHARE};
use crate::files;
pub(crate) use settings::{millis, placement, terms, DropLog, Routes};

/// The session directory, as the daemon holds it.
pub(crate) struct Directory {
    client: Client,
    socket: UdpSocket,
    routes: Routes,
    timer: EarliestTimer,
    hold: f64,
    begun: f64,
    drops: DropLog,
    terms: Timing,
    /// Groups of control instances, and how many of them had a quorum when that was last looked at.
    groups: usize,
    with_quorum: usize,
}

impl Directory {
    /// Listens, where the operator's file names control instances.
    pub fn new(
        effective: &EffectiveConfig,
        config: &Config,
        context: &mut Context,
    ) -> Result<Option<Directory>, String> {
        let settings = &effective.document.peers;
        let Some(listen) = settings.listen.filter(|_| !settings.control.is_empty()) else { return Ok(None) };
        let keys = files::read_peer_keys(&settings.keys)?;
        let placement = placement(settings)?;
        let now = context.reactor.now();
        let named = |error: io::Error| format!("peers.listen: {listen}: {error}");
        let mut socket = UdpSocket::bind(listen).map_err(named)?;
        let registry = &context.reactor.registry;
        registry.register(&mut socket, Source::PeerDatagrams.into(), Interest::READABLE).map_err(named)?;
        let me = ProcessId::new(&config.name, millis(now));
        let groups = placement.groups();
        logging::info!(
            event = "directory.following",
            start = me.incarnation,
            control = settings.control.len(),
            "sessions are kept by {} control instances; others reach {} at {listen}",
            settings.control.len(),
            config.name
        );
        let terms = terms(settings);
        let client = Client::new(me, listen, keys, terms, placement, millis(now));
        let mut directory = Directory {
            client,
            socket,
            routes: Routes::new(settings),
            timer: EarliestTimer::default(),
            hold: WRITE_HOLD_AIM_SHARE * effective.shortest_write_aim(),
            begun: now,
            drops: DropLog::default(),
            terms,
            groups,
            with_quorum: 0,
        };
        directory.on_timer(context);
        Ok(Some(directory))
    }

    /// How long a write waits for leave to be sent (seconds).
    pub fn max_write_hold(&self) -> f64 {
        self.hold
    }

    /// Datagrams may be read.
    pub fn on_ready(&mut self, context: &mut Context) {
        let client = &mut self.client;
        let now = || millis(context.reactor.now());
        // What is dropped is counted by the client, and logged from there.
        let mut take = |from, bytes: &[u8]| {
            let _ = client.receive(now(), from, bytes);
        };
        if datagrams::receive(&self.socket, &mut take) {
            // The rest is read once the others have had their turn.
            context.reactor.set_timer(context.reactor.now(), TimerKind::Peers);
        }
        self.send_pending(context);
    }

    /// The time has come for something.
    pub fn on_timer(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        self.timer.fired(now);
        self.client.tick(millis(now));
        self.report(now);
        self.on_ready(context);
    }

    /// Sends what there is to send, and sets the timer.
    pub fn send_pending(&mut self, context: &mut Context) {
        self.send();
        let due = self.client.next_due() as f64 / settings::MILLIS_PER_SECOND;
        self.timer.set(due, TimerKind::Peers, &mut context.reactor);
    }

    fn send(&mut self) {
        for (to, bytes) in self.client.take_datagrams() {
            // What does not go out is as lost as what does not arrive.
            let _ = self.socket.send_to(&bytes, self.routes.resolve(to));
        }
    }

    /// What a session's read needs, as a position (Unix seconds); infinite where only the primary will do.
    pub fn required_position(&mut self, now: f64, session: &str) -> f64 {
        match self.client.read_requirement(millis(now), SessionKey::new(session)) {
            ReadRequirement::AtLeast(position) => position as f64 / settings::MILLIS_PER_SECOND,
            ReadRequirement::Primary(_) => f64::INFINITY,
        }
    }

    /// A write of a session has come, with so much time left (seconds). None at a bound: it must not be sent.
    pub fn begin_write(&mut self, now: f64, session: &str, left: f64) -> Option<Ticket> {
        self.client.begin_write(millis(now), SessionKey::new(session), millis(left))
    }

    /// Whether a write may be sent.
    pub fn may_send(&mut self, now: f64, ticket: Ticket) -> bool {
        self.client.may_send(millis(now), ticket)
    }

    /// Whether a write that may not be sent will not be in a while: its session's group has had no quorum for longer than a
    /// start takes.
    pub fn cannot_be_sent(&mut self, now: f64, ticket: Ticket) -> bool {
        let starts = now < self.begun + self.terms.lease as f64 / settings::MILLIS_PER_SECOND;
        !starts && self.client.write_blocked_by(millis(now), ticket) == Some(PrimaryReason::NoQuorum)
    }

    /// A write was committed at that position (Unix seconds).
    pub fn record_commit(&mut self, now: f64, ticket: Ticket, position: f64) {
        // A position that is cut off to milliseconds would let a read see less than the write.
        let position = (position * settings::MILLIS_PER_SECOND).ceil() as u64;
        self.client.end_write(millis(now), ticket, WriteOutcome::Committed(position));
    }

    /// Whether a write that was committed may be answered.
    pub fn may_answer(&mut self, now: f64, ticket: Ticket) -> bool {
        self.client.may_answer(millis(now), ticket)
    }

    /// When a write can no longer be answered (Unix seconds).
    pub fn answer_deadline(&self, ticket: Ticket) -> f64 {
        self.client.deadline(ticket) as f64 / settings::MILLIS_PER_SECOND
    }

    /// A write is done with.
    pub fn end_write(&mut self, now: f64, ticket: Ticket) {
        self.client.forget(millis(now), ticket);
    }

    /// Answers what people ask.
    pub fn answer(&mut self, now: f64, question: &Question) -> Response {
        let told = |value: serde_json::Value, words: &str| Response {
            peers: Some(value),
            ..Response::new(Code::Ok, words)
        };
        match question {
            Question::Status => told(self.status(now), "the session directory"),
            Question::Session(name) => {
                let need = match self.client.read_requirement(millis(now), SessionKey::new(name)) {
                    ReadRequirement::AtLeast(position) => {
                        format!("a replica that has come to {:.3}", position as f64 / settings::MILLIS_PER_SECOND)
                    }
                    ReadRequirement::Primary(why) => format!("the primary: {}", words(why)),
                };
                let owner = self.client.is_owner(millis(now), SessionKey::new(name));
                let value = serde_json::json!({ "session": name, "reads_need": need, "owned_here": owner });
                told(value, "why")
            }
            _ => Response::new(
                Code::Nothing,
                "beside peers.control instances share only what sessions wrote; accepted: status, explain session",
            ),
        }
    }

    fn status(&self, now: f64) -> serde_json::Value {
        let Status { sessions, claiming, writes, groups, instances: machines } =
            self.client.status(millis(now));
        let counts = self.client.counts();
        let dropped: std::collections::BTreeMap<String, u64> =
            self.client.faults().iter().map(|(fault, count)| (fault.to_string(), *count)).collect();
        serde_json::json!({
            "sessions": sessions, "claiming": claiming, "writes": writes,
            "groups_with_quorum": groups, "groups": self.groups, "control_instances": machines,
            "claims": counts.claims, "claims_completed": counts.completed, "claims_given_up": counts.failed,
            "handovers": counts.handovers, "outwaited": counts.expired_owners, "given": counts.handed_off,
            "revoked": counts.revoked, "dropped": dropped,
        })
    }

    /// Tells the log of groups without a quorum, and of datagrams that were dropped.
    fn report(&mut self, now: f64) {
        let with_quorum = self.client.status(millis(now)).groups;
        let before = std::mem::replace(&mut self.with_quorum, with_quorum);
        if with_quorum < before {
            logging::warn!(
                event = "directory.lost",
                groups = self.groups,
                with_quorum,
                "sessions of the other groups read at the primary, and their writes are refused"
            );
        } else if with_quorum > before && with_quorum == self.groups {
            logging::info!(event = "directory.whole", "every group of control instances has a quorum");
        }
        self.drops.report(now, self.client.faults());
    }

    /// This pooler ends: its leases are given back, unless a write is under way.
    pub fn announce_shutdown(&mut self) {
        if self.client.leave() {
            self.send();
        }
    }
}

/// Why a read goes to the primary, in words.
fn words(why: PrimaryReason) -> &'static str {
    match why {
        PrimaryReason::Claiming => "the session's group has not answered yet",
        PrimaryReason::FormerOwner => "a former owner has not answered yet, and its lease is not over",
        PrimaryReason::OpenWrite => "a write that was sent may commit still",
        PrimaryReason::NoQuorum => "there is no quorum of the session's group",
        PrimaryReason::LimitReached => "a bound is reached",
        PrimaryReason::Left => "this pooler ends",
    }
}
