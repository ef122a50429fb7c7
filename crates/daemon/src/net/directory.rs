//! The pooler's side of the session directory: a socket for messages with the control instances and with
//! other poolers that own sessions. The protocol itself is in the package `directory`.

mod settings;

use std::io;

use ::control::{Code, PeersQuery, Response};
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
pub(crate) use settings::{millis, placement, timing, DropLog, Routes};

/// The client of the session directory.
pub(crate) struct Directory {
    client: Client,
    socket: UdpSocket,
    routes: Routes,
    timer: EarliestTimer,
    max_hold: f64,
    started_at: f64,
    drops: DropLog,
    timing: Timing,
    /// Number of groups of control instances, and how many of them had a quorum at the last check.
    groups: usize,
    with_quorum: usize,
}

impl Directory {
    /// Binds the socket, if the operator's file names control instances.
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
        let with_address = |error: io::Error| format!("peers.listen: {listen}: {error}");
        let mut socket = UdpSocket::bind(listen).map_err(with_address)?;
        let registry = &context.reactor.registry;
        registry
            .register(&mut socket, Source::PeerDatagrams.into(), Interest::READABLE)
            .map_err(with_address)?;
        let process_id = ProcessId::new(&config.name, millis(now));
        let groups = placement.groups();
        logging::info!(
            event = "directory.following",
            start = process_id.incarnation,
            control = settings.control.len(),
            "{} control instances store the owners of sessions; other poolers reach {} at {listen}",
            settings.control.len(),
            config.name
        );
        let timing = timing(settings);
        let client = Client::new(process_id, listen, keys, timing, placement, millis(now));
        let mut directory = Directory {
            client,
            socket,
            routes: Routes::new(settings),
            timer: EarliestTimer::default(),
            max_hold: WRITE_HOLD_AIM_SHARE * effective.shortest_write_aim(),
            started_at: now,
            drops: DropLog::default(),
            timing,
            groups,
            with_quorum: 0,
        };
        directory.on_timer(context);
        Ok(Some(directory))
    }

    /// Returns the maximum time that a write is held until it may be sent (seconds).
    pub fn max_write_hold(&self) -> f64 {
        self.max_hold
    }

    /// Reads datagrams.
    pub fn on_ready(&mut self, context: &mut Context) {
        let client = &mut self.client;
        let now = || millis(context.reactor.now());
        // The client counts dropped datagrams; `report` logs them.
        let mut take = |from, bytes: &[u8]| {
            let _ = client.receive(now(), from, bytes);
        };
        if datagrams::receive(&self.socket, &mut take) {
            context.reactor.continue_later(Source::PeerDatagrams);
        }
        self.send_pending(context);
    }

    /// Runs what is due.
    pub fn on_timer(&mut self, context: &mut Context) {
        let now = context.reactor.now();
        self.timer.fired(now);
        self.client.tick(millis(now));
        self.report(now);
        self.on_ready(context);
    }

    /// Sends pending datagrams and sets the timer.
    pub fn send_pending(&mut self, context: &mut Context) {
        self.send();
        let due = self.client.next_due() as f64 / settings::MILLIS_PER_SECOND;
        self.timer.set(due, TimerKind::Peers, &mut context.reactor);
    }

    fn send(&mut self) {
        for (to, bytes) in self.client.take_datagrams() {
            // A datagram that can't be sent is treated like a lost one.
            let _ = self.socket.send_to(&bytes, self.routes.resolve(to));
        }
    }

    /// Returns the position (Unix seconds) that a session's read requires; infinite if only the primary may
    /// serve it.
    pub fn required_position(&mut self, now: f64, session: &str) -> f64 {
        match self.client.read_requirement(millis(now), SessionKey::new(session)) {
            ReadRequirement::AtLeast(position) => position as f64 / settings::MILLIS_PER_SECOND,
            ReadRequirement::Primary(_) => f64::INFINITY,
        }
    }

    /// Begins a write of a session with `time_left` (seconds). Returns `None` if a limit is reached: the
    /// write must not be sent.
    pub fn begin_write(&mut self, now: f64, session: &str, time_left: f64) -> Option<Ticket> {
        self.client.begin_write(millis(now), SessionKey::new(session), millis(time_left))
    }

    /// Returns true if a write may be sent.
    pub fn may_send(&mut self, now: f64, ticket: Ticket) -> bool {
        self.client.may_send(millis(now), ticket)
    }

    /// Returns true if a held write has no prospect of being sent soon: the group of its session has no
    /// quorum, and the time that a start takes is over.
    pub fn cannot_be_sent(&mut self, now: f64, ticket: Ticket) -> bool {
        let starting = now < self.started_at + self.timing.lease as f64 / settings::MILLIS_PER_SECOND;
        !starting && self.client.write_blocked_by(millis(now), ticket) == Some(PrimaryReason::NoQuorum)
    }

    /// Records that a write was committed at a position (Unix seconds).
    pub fn record_commit(&mut self, now: f64, ticket: Ticket, position: f64) {
        // Rounded up: with a position truncated to milliseconds a read could miss the write.
        let position = (position * settings::MILLIS_PER_SECOND).ceil() as u64;
        self.client.end_write(millis(now), ticket, WriteOutcome::Committed(position));
    }

    /// Returns true if a committed write may be answered.
    pub fn may_answer(&mut self, now: f64, ticket: Ticket) -> bool {
        self.client.may_answer(millis(now), ticket)
    }

    /// Returns when a write can no longer be answered (Unix seconds).
    pub fn answer_deadline(&self, ticket: Ticket) -> f64 {
        self.client.deadline(ticket) as f64 / settings::MILLIS_PER_SECOND
    }

    /// Ends a write.
    pub fn end_write(&mut self, now: f64, ticket: Ticket) {
        self.client.forget(millis(now), ticket);
    }

    /// Answers an operator's query.
    pub fn answer(&mut self, now: f64, query: &PeersQuery) -> Response {
        let response = |value: serde_json::Value, text: &str| Response {
            peers: Some(value),
            ..Response::new(Code::Ok, text)
        };
        match query {
            PeersQuery::Status => response(self.status(now), "the session directory"),
            PeersQuery::Session(name) => {
                let requirement = match self.client.read_requirement(millis(now), SessionKey::new(name)) {
                    ReadRequirement::AtLeast(position) => {
                        format!(
                            "a replica that has come to {:.3}",
                            position as f64 / settings::MILLIS_PER_SECOND
                        )
                    }
                    ReadRequirement::Primary(reason) => format!("the primary: {}", describe(reason)),
                };
                let owner = self.client.is_owner(millis(now), SessionKey::new(name));
                let value =
                    serde_json::json!({ "session": name, "reads_need": requirement, "owned_here": owner });
                response(value, "routing of the session's reads")
            }
            _ => Response::new(
                Code::Nothing,
                "with peers.control only the state of sessions is shared; accepted: status, explain session",
            ),
        }
    }

    fn status(&self, now: f64) -> serde_json::Value {
        let Status { sessions, claiming, writes, groups, instances } = self.client.status(millis(now));
        let counts = self.client.counts();
        let dropped: std::collections::BTreeMap<String, u64> =
            self.client.faults().iter().map(|(fault, count)| (fault.to_string(), *count)).collect();
        serde_json::json!({
            "sessions": sessions, "claiming": claiming, "writes": writes,
            "groups_with_quorum": groups, "groups": self.groups, "control_instances": instances,
            "claims": counts.claims, "claims_completed": counts.completed, "claims_given_up": counts.failed,
            "handovers": counts.handovers, "outwaited": counts.expired_owners, "given": counts.handed_off,
            "revoked": counts.revoked, "dropped": dropped,
        })
    }

    /// Logs the loss and the return of quorums, and dropped datagrams.
    fn report(&mut self, now: f64) {
        let with_quorum = self.client.status(millis(now)).groups;
        let previous = std::mem::replace(&mut self.with_quorum, with_quorum);
        if with_quorum < previous {
            logging::warn!(
                event = "directory.lost",
                groups = self.groups,
                with_quorum,
                "only {with_quorum} groups of control instances have a quorum: sessions of the other groups read \
                 at the primary, and their writes are rejected"
            );
        } else if with_quorum > previous && with_quorum == self.groups {
            logging::info!(event = "directory.whole", "every group of control instances has a quorum");
        }
        self.drops.report(now, self.client.faults());
    }

    /// Releases the leases of this pooler at shutdown, unless a write is in progress.
    pub fn announce_shutdown(&mut self) {
        if self.client.leave() {
            self.send();
        }
    }
}

/// Describes why a read goes to the primary.
fn describe(reason: PrimaryReason) -> &'static str {
    match reason {
        PrimaryReason::Claiming => "the session's group has not answered yet",
        PrimaryReason::FormerOwner => "a former owner has not answered yet, and its lease is not over",
        PrimaryReason::OpenWrite => "a write that was sent may commit still",
        PrimaryReason::NoQuorum => "there is no quorum of the session's group",
        PrimaryReason::LimitReached => "a bound is reached",
        PrimaryReason::Left => "this pooler ends",
    }
}
