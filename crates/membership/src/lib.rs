//! Which instances there are, and which of them answer: SWIM by the crate `foca`, with an own slowness that is
//! doubted before others are. No I/O: datagrams and the time go in, datagrams and notices come out. All times are
//! seconds on one monotonic clock that the caller supplies.
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

/// Most instances of one installation. Guards the tables and the datagrams; further ones are turned away.
pub const MAX_INSTANCES: usize = 2_048;
/// Longest datagram of this package (bytes), below what its caller may send with its own head and signature.
pub const MAX_DATAGRAM_BYTES: usize = 1_000;
/// Time between two probes, and how long an answer may take (seconds).
const PERIOD: f64 = 0.5;
const ANSWER: f64 = 0.2;
/// How long one that is suspected has to say that it lives, at the least (seconds).
const SUSPECT: f64 = 1.5;
/// A turn that comes so late (seconds) tells of an own slowness: it, not the others, is doubted.
const LATE: f64 = 0.1;
/// Own slowness at most, in steps that each lengthen how long others may take by once what is usual.
const SLOWEST: u32 = 8;
/// Time without a late turn after which one step is taken back (seconds).
const CALM: f64 = 5.0;
/// How long one that is called dead is remembered, so that old word of it is not believed (seconds).
const REMEMBERED: f64 = 120.0;
/// Times that a name may be fought for within a minute, before this one stands down.
const FIGHTS: usize = 3;

/// Who an instance is. Two of one name are the same instance at different starts, or a fault of the operator's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it says that it listens.
    pub address: SocketAddr,
    /// The number of its start: a later start has a higher one.
    pub start: u64,
    /// Raised by itself when it hears that it is called dead.
    pub renewal: u32,
}

impl foca::Identity for Identity {
    // The name, not the address: who comes back elsewhere is the same.
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

/// How an instance is thought to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It answers.
    Alive,
    /// Somebody has had no answer; it may still say that it lives.
    Suspect,
    /// It has not said so in time, or has left.
    Dead,
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An instance is there, or there again.
    Up(Identity),
    /// An instance does not answer any more.
    Down(Identity),
    /// The others called this one dead; it has come back under a renewed identity.
    Rejoined,
    /// Another process runs under this one's name and has won it.
    Conflict,
}

/// What the caller is to send.
pub type Datagram = (Identity, Vec<u8>);

struct Due {
    at: f64,
    number: u64,
    timer: Timer<Identity>,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

/// Membership as one instance sees it.
pub struct Swim {
    foca: Foca<Identity, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    timers: BinaryHeap<Reverse<Due>>,
    set: u64,
    runtime: AccumulatingRuntime<Identity>,
    out: Vec<Datagram>,
    notices: Vec<Notice>,
    /// Steps of own slowness, and when the last late turn was.
    slow: u32,
    late_at: f64,
    /// When this one's name was fought for lately.
    fights: Vec<f64>,
    stood_down: bool,
}

fn config(slow: u32) -> Config {
    let size = NonZeroU32::new(MAX_INSTANCES as u32).unwrap_or(NonZeroU32::MIN);
    let few = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let seconds = Duration::from_secs_f64;
    let each = f64::from(1 + slow);
    Config {
        // Both stay as they are while it runs; the time to refute is what slowness lengthens.
        probe_period: seconds(PERIOD),
        probe_rtt: seconds(ANSWER),
        num_indirect_probes: few(3),
        suspect_to_down_after: seconds(SUSPECT * each),
        remove_down_after: Some(seconds(REMEMBERED)),
        max_packet_size: few(MAX_DATAGRAM_BYTES),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: seconds(10.0), num_members: few(1) }),
        // Those called dead are tried again, so that a cut heals by itself.
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: seconds(1.0),
            num_members: few(2),
        }),
        periodic_gossip: Some(PeriodicParams { frequency: seconds(0.2), num_members: few(3) }),
        ..Config::new_lan(size)
    }
}

impl Swim {
    /// An instance that knows of nobody yet. All its randomness comes from the seed.
    pub fn new(own: Identity, seed: u64) -> Swim {
        Swim {
            foca: Foca::new(own, config(0), SmallRng::seed_from_u64(seed), PostcardCodec),
            timers: BinaryHeap::new(),
            set: 0,
            runtime: AccumulatingRuntime::new(),
            out: Vec::new(),
            notices: Vec::new(),
            slow: 0,
            late_at: f64::NEG_INFINITY,
            fights: Vec::new(),
            stood_down: false,
        }
    }

    /// This instance, as it is renewed at present.
    pub fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    /// Whether another process has won this one's name.
    pub fn has_stepped_down(&self) -> bool {
        self.stood_down
    }

    /// Own slowness, in steps.
    pub fn slowness(&self) -> u32 {
        self.slow
    }

    /// Word of an instance that the caller has heard from itself; to be said again now and then, since the greeting that
    /// follows may get lost. Nothing is sent to who is known already.
    pub fn announce_to(&mut self, now: f64, who: &Identity) {
        let known = self.foca.iter_membership_state().any(|member| member.id() == who);
        if !known
            && who.name != self.identity().name
            && self.foca.num_members() < MAX_INSTANCES
            && !self.stood_down
        {
            let _ = self.foca.announce(who.clone(), &mut self.runtime);
            self.settle(now);
        }
    }

    /// Others that are there; those that membership has lost sight of are met anew.
    pub fn announce_to_unknown(&mut self, now: f64, all: &[Identity]) {
        let key = |who: &Identity| (who.name.clone(), who.start);
        let known: HashSet<_> = self.foca.iter_membership_state().map(|member| key(member.id())).collect();
        all.iter().filter(|who| !known.contains(&key(who))).for_each(|who| self.announce_to(now, who));
    }

    /// A datagram of another's.
    pub fn receive(&mut self, now: f64, bytes: &[u8]) {
        if self.stood_down {
            return;
        }
        // What came while this one slept is looked at before anybody is called dead for not having answered.
        self.notice_lateness(now);
        let _ = self.foca.handle_data(bytes, &mut self.runtime);
        self.settle(now);
    }

    /// When [`Swim::tick`] is due next.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.peek().map(|Reverse(due)| due.at)
    }

    /// Time passes.
    pub fn tick(&mut self, now: f64) {
        self.notice_lateness(now);
        while self.timers.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            if !self.stood_down {
                let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
                self.settle(now);
            }
        }
        if self.slow > 0 && now - self.late_at > CALM {
            (self.slow, self.late_at) = (self.slow - 1, now);
            let _ = self.foca.set_config(config(self.slow));
        }
    }

    /// A turn that comes late pushes all that is due back by as much: an instance that was stopped has heard nobody,
    /// which says nothing of the others (Lifeguard's local health).
    fn notice_lateness(&mut self, now: f64) {
        let Some(first) = self.next_due() else { return };
        let late = now - first;
        if late <= LATE {
            return;
        }
        let timers = std::mem::take(&mut self.timers).into_iter();
        self.timers = timers.map(|Reverse(due)| Reverse(Due { at: due.at + late, ..due })).collect();
        (self.slow, self.late_at) = ((self.slow + 1).min(SLOWEST), now);
        let _ = self.foca.set_config(config(self.slow));
    }

    /// Tells the others that this one leaves.
    pub fn leave(&mut self, now: f64) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.settle(now);
        self.stood_down = true;
    }

    fn settle(&mut self, now: f64) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.set += 1;
            let due = Due { at: now + after.as_secs_f64(), number: self.set, timer };
            self.timers.push(Reverse(due));
        }
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.out.push((to, bytes.to_vec()));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(who) => self.notices.push(Notice::Up(who)),
                OwnedNotification::MemberDown(who) => self.notices.push(Notice::Down(who)),
                OwnedNotification::Rename(_, who) => self.notices.push(Notice::Up(who)),
                OwnedNotification::Rejoin(_) => self.notices.push(Notice::Rejoined),
                OwnedNotification::Defunct => self.notices.push(Notice::Conflict),
                OwnedNotification::Active | OwnedNotification::Idle => {}
            }
        }
    }

    /// Another process under this name is heard of. A later start wins; that one goes on, this one stands down, unless it
    /// is the same start whose numbers were copied: then it may renew itself, a few times a minute.
    pub fn resolve_name_conflict(&mut self, now: f64, other: &Identity) {
        let own = self.identity().clone();
        if other.name != own.name || (other.start, other.address) == (own.start, own.address) {
            return;
        }
        self.fights.retain(|at| now - at < 60.0);
        self.fights.push(now);
        if other.start > own.start || self.fights.len() > FIGHTS {
            self.stood_down = true;
            self.notices.push(Notice::Conflict);
        }
    }

    /// All that are known, by name, with how they are thought to be.
    pub fn instances(&self) -> BTreeMap<Arc<str>, (Identity, State)> {
        let state = |member: &foca::Member<Identity>| match member.state() {
            foca::State::Alive => State::Alive,
            foca::State::Suspect => State::Suspect,
            foca::State::Down => State::Dead,
        };
        let mut known: BTreeMap<Arc<str>, (Identity, State)> = BTreeMap::new();
        for member in self.foca.iter_membership_state() {
            let (who, state) = (member.id().clone(), state(member));
            let newer = |other: &Identity| (who.start, who.renewal) > (other.start, other.renewal);
            if known.get(&who.name).is_none_or(|(other, _)| newer(other)) {
                known.insert(who.name.clone(), (who, state));
            }
        }
        known
    }

    /// What is to be sent, and what has changed, since the last call.
    pub fn take_output(&mut self) -> (Vec<Datagram>, Vec<Notice>) {
        (std::mem::take(&mut self.out), std::mem::take(&mut self.notices))
    }
}
