//! Which instances there are, and which of them answer: SWIM with the crate `foca`. An instance that was slow
//! itself gives others more time before it suspects them. No I/O: datagrams and the time go in, datagrams and
//! notices come out. All times are seconds on one monotonic clock that the caller supplies.
#![warn(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::sync::Arc;
use std::time::Duration;

use foca::{AccumulatingRuntime, Config, Foca, OwnedNotification, PeriodicParams, PostcardCodec, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};

/// Maximum number of instances of one installation. Limits tables and datagrams; further instances are
/// rejected.
pub const MAX_INSTANCES: usize = 2_048;
/// Maximum size of a datagram of this package (bytes); the caller adds its header and seal.
pub const MAX_DATAGRAM_BYTES: usize = 1_000;
/// Interval of probes (seconds).
const PROBE_INTERVAL: f64 = 0.5;
/// Time limit for the answer to a probe (seconds).
const PROBE_TIMEOUT: f64 = 0.2;
/// Minimum time for a suspected instance to refute the suspicion (seconds).
const SUSPICION_TIMEOUT: f64 = 1.5;
/// A tick that is later than this (seconds) means that this instance was slow.
const LATE_TICK_THRESHOLD: f64 = 0.1;
/// Maximum local slowness, in steps; each step lengthens the suspicion timeout by [`SUSPICION_TIMEOUT`].
const MAX_SLOWNESS: u32 = 8;
/// Time without a late tick after which the slowness decreases by one step (seconds).
const SLOWNESS_RECOVERY_INTERVAL: f64 = 5.0;
/// How long an instance that was declared dead is remembered, so that outdated messages don't revive it
/// (seconds).
const DOWN_RETENTION: f64 = 120.0;
/// Number of name conflicts within a minute that this instance may survive before it steps down.
const MAX_NAME_CONFLICTS: usize = 3;

/// Identity of an instance. Two identities with one name are different starts of the same instance, or a
/// configuration error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Zone of the instance.
    pub zone: Arc<str>,
    /// Address that the instance announces.
    pub address: SocketAddr,
    /// Start number; a later start has a higher one.
    pub start: u64,
    /// Increased by the instance itself when it finds that it was declared dead.
    pub renewal: u32,
}

impl foca::Identity for Identity {
    // The name, not the address: an instance that restarts elsewhere is the same.
    type Addr = Arc<str>;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { renewal: self.renewal.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> Arc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Identity) -> bool {
        (self.start, self.renewal) > (adversary.start, adversary.renewal)
    }
}

/// State of an instance as seen by the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It answers.
    Alive,
    /// A probe was not answered; the instance may still refute the suspicion.
    Suspect,
    /// It has not refuted the suspicion in time, or has left.
    Dead,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An instance has joined, or is alive again.
    Up(Identity),
    /// An instance does not answer any more.
    Down(Identity),
    /// This instance was declared dead by others and has rejoined with a renewed identity.
    Rejoined,
    /// Another process runs under this instance's name, and this one has stepped down.
    Conflict,
}

/// A datagram to send, with its destination.
pub type Datagram = (Identity, Vec<u8>);

struct ScheduledTimer {
    at: f64,
    number: u64,
    timer: Timer<Identity>,
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &ScheduledTimer) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledTimer {}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &ScheduledTimer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &ScheduledTimer) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

/// The membership protocol of one instance.
pub struct Swim {
    foca: Foca<Identity, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    timer_count: u64,
    runtime: AccumulatingRuntime<Identity>,
    outgoing: Vec<Datagram>,
    notices: Vec<Notice>,
    /// Local slowness in steps.
    slowness: u32,
    /// When the last late tick was, or the slowness last decreased.
    last_late_at: f64,
    /// Times of recent conflicts over this instance's name.
    name_conflicts: Vec<f64>,
    stepped_down: bool,
}

fn config(slowness: u32) -> Config {
    let size = NonZeroU32::new(MAX_INSTANCES as u32).unwrap_or(NonZeroU32::MIN);
    let non_zero = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let seconds = Duration::from_secs_f64;
    let factor = f64::from(1 + slowness);
    Config {
        // Both are constant at run time; slowness lengthens only the time to refute a suspicion.
        probe_period: seconds(PROBE_INTERVAL),
        probe_rtt: seconds(PROBE_TIMEOUT),
        num_indirect_probes: non_zero(3),
        suspect_to_down_after: seconds(SUSPICION_TIMEOUT * factor),
        remove_down_after: Some(seconds(DOWN_RETENTION)),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: seconds(10.0), num_members: non_zero(1) }),
        // Instances declared dead are probed again, so that a network partition heals by itself.
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: seconds(1.0),
            num_members: non_zero(2),
        }),
        periodic_gossip: Some(PeriodicParams { frequency: seconds(0.2), num_members: non_zero(3) }),
        ..Config::new_lan(size)
    }
}

impl Swim {
    /// Creates an instance that knows no others. All its randomness comes from the seed.
    pub fn new(identity: Identity, seed: u64) -> Swim {
        Swim {
            foca: Foca::new(identity, config(0), SmallRng::seed_from_u64(seed), PostcardCodec),
            timers: BinaryHeap::new(),
            timer_count: 0,
            runtime: AccumulatingRuntime::new(),
            outgoing: Vec::new(),
            notices: Vec::new(),
            slowness: 0,
            last_late_at: f64::NEG_INFINITY,
            name_conflicts: Vec::new(),
            stepped_down: false,
        }
    }

    /// Returns the current identity of this instance.
    pub fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// Returns true if this instance no longer takes part: another process has won its name, or it has left.
    pub fn has_stepped_down(&self) -> bool {
        self.stepped_down
    }

    /// Returns the local slowness in steps.
    pub fn slowness(&self) -> u32 {
        self.slowness
    }

    /// Announces this instance to one that the caller has heard from. To be called repeatedly, since the
    /// announcement may be lost. Nothing is sent to an instance that is known already.
    pub fn announce_to(&mut self, now: f64, identity: &Identity) {
        let known = self.foca.iter_membership_state().any(|member| member.id() == identity);
        if !known
            && identity.name != self.identity().name
            && self.foca.num_members() < MAX_INSTANCES
            && !self.stepped_down
        {
            let _ = self.foca.announce(identity.clone(), &mut self.runtime);
            self.collect_output(now);
        }
    }

    /// Announces this instance to those of `all` that the membership protocol does not know, or has lost.
    pub fn announce_to_unknown(&mut self, now: f64, all: &[Identity]) {
        let key = |identity: &Identity| (identity.name.clone(), identity.start);
        let known: HashSet<_> = self.foca.iter_membership_state().map(|member| key(member.id())).collect();
        all.iter()
            .filter(|identity| !known.contains(&key(identity)))
            .for_each(|identity| self.announce_to(now, identity));
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: f64, bytes: &[u8]) {
        if self.stepped_down {
            return;
        }
        // Lateness is handled first, so that messages that arrived during a pause count before anyone is
        // declared dead.
        self.handle_lateness(now);
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.collect_output(now);
    }

    /// Returns when [`Swim::tick`] is due next.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.peek().map(|Reverse(due)| due.at)
    }

    /// Runs all timers that are due at `now`.
    pub fn tick(&mut self, now: f64) {
        self.handle_lateness(now);
        while self.timers.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            if !self.stepped_down {
                let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
                self.collect_output(now);
            }
        }
        if self.slowness > 0 && now - self.last_late_at > SLOWNESS_RECOVERY_INTERVAL {
            (self.slowness, self.last_late_at) = (self.slowness - 1, now);
            let _ = self.foca.set_config(config(self.slowness));
        }
    }

    /// Postpones all timers if the tick is late, by as much: an instance that was stopped has received no
    /// messages, which is no sign of failed peers (Lifeguard's local health).
    fn handle_lateness(&mut self, now: f64) {
        let Some(first) = self.next_due() else { return };
        let lateness = now - first;
        if lateness <= LATE_TICK_THRESHOLD {
            return;
        }
        let timers = std::mem::take(&mut self.timers).into_iter();
        self.timers =
            timers.map(|Reverse(due)| Reverse(ScheduledTimer { at: due.at + lateness, ..due })).collect();
        (self.slowness, self.last_late_at) = ((self.slowness + 1).min(MAX_SLOWNESS), now);
        let _ = self.foca.set_config(config(self.slowness));
    }

    /// Announces that this instance leaves.
    pub fn leave(&mut self, now: f64) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect_output(now);
        self.stepped_down = true;
    }

    fn collect_output(&mut self, now: f64) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_count += 1;
            let due = ScheduledTimer { at: now + after.as_secs_f64(), number: self.timer_count, timer };
            self.timers.push(Reverse(due));
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.outgoing.push((to, bytes.to_vec()));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(identity) => self.notices.push(Notice::Up(identity)),
                OwnedNotification::MemberDown(identity) => self.notices.push(Notice::Down(identity)),
                OwnedNotification::Rename(_, identity) => self.notices.push(Notice::Up(identity)),
                OwnedNotification::Rejoin(_) => self.notices.push(Notice::Rejoined),
                OwnedNotification::Defunct => self.notices.push(Notice::Conflict),
                OwnedNotification::Active | OwnedNotification::Idle => {}
            }
        }
    }

    /// Handles another process with this instance's name. If its start is later, this instance steps down.
    /// Otherwise this one continues, unless that has happened more than `MAX_NAME_CONFLICTS` times within a
    /// minute.
    pub fn resolve_name_conflict(&mut self, now: f64, other: &Identity) {
        let identity = self.identity().clone();
        if other.name != identity.name || (other.start, other.address) == (identity.start, identity.address) {
            return;
        }
        self.name_conflicts.retain(|at| now - at < 60.0);
        self.name_conflicts.push(now);
        if other.start > identity.start || self.name_conflicts.len() > MAX_NAME_CONFLICTS {
            self.stepped_down = true;
            self.notices.push(Notice::Conflict);
        }
    }

    /// Returns all known instances by name, with their state.
    pub fn instances(&self) -> BTreeMap<Arc<str>, (Identity, State)> {
        let state = |member: &foca::Member<Identity>| match member.state() {
            foca::State::Alive => State::Alive,
            foca::State::Suspect => State::Suspect,
            foca::State::Down => State::Dead,
        };
        let mut known: BTreeMap<Arc<str>, (Identity, State)> = BTreeMap::new();
        for member in self.foca.iter_membership_state() {
            let (identity, state) = (member.id().clone(), state(member));
            let newer = |other: &Identity| (identity.start, identity.renewal) > (other.start, other.renewal);
            if known.get(&identity.name).is_none_or(|(other, _)| newer(other)) {
                known.insert(identity.name.clone(), (identity, state));
            }
        }
        known
    }

    /// Returns the datagrams to send and the changes since the last call.
    pub fn take_output(&mut self) -> (Vec<Datagram>, Vec<Notice>) {
        (std::mem::take(&mut self.outgoing), std::mem::take(&mut self.notices))
    }
}
