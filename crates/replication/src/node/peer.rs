//! Another instance, as this one keeps it.

use super::*;

/// How an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Over {
    Left,
    Ended,
}

/// What one says of another that answers neither him nor this one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Covering {
    /// How far he has read its log.
    pub upto: u64,
    /// How many he knew when he said so.
    pub whom: u64,
    /// The end of it, and of the longer promise that he has from it.
    pub until: f64,
    pub long: f64,
}

/// What another says to have read, under the condition that those whom it knew are known here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claimed {
    pub sound: u64,
    pub whom: u64,
    pub knew: u64,
}

/// Another instance.
#[derive(Debug)]
pub(crate) struct Peer {
    pub who: Identity,
    /// Its log, as far as it has been read.
    pub copy: Log,
    /// Promises that count once the copy and whom it knows have come so far: the numbers, the lease's end, the end of the
    /// longer promise.
    pub(super) promised: Vec<(u64, u64, f64, f64)>,
    /// End of the lease that counts.
    pub lease: f64,
    /// Until then it answers no write without a majority.
    pub long: f64,
    /// Coverage by others while it is missing.
    pub(super) covers: BTreeMap<Arc<str>, Covering>,
    /// It has once granted this one a lease: what it stated since is known here, or known to be missing.
    pub met: bool,
    /// The highest number that it is known to have stated.
    pub told: u64,
    /// When it was last heard, and when what it said last was asked for.
    pub heard: f64,
    pub contact: f64,
    /// Questions without an answer: number, time, whether a lease was asked for.
    pub(super) asked: VecDeque<(u64, f64)>,
    pub(super) next_ask: f64,
    pub(super) missing: bool,
    /// How far it has read this one's log, where the next piece for it begins, and what it says under conditions.
    pub read: u64,
    pub(super) got: u64,
    pub(super) claims: Vec<Claimed>,
    /// Its place among those that this one knows.
    pub(super) place: u64,
    /// Up to which number those that it knows are known here; and those that this one knows to it, as far as that counts
    /// and as far as it has been told.
    pub(super) whom: u64,
    pub(super) knows: u64,
    pub(super) met_got: u64,
    /// When it is told next whom this one knows, where it does not know it by itself.
    pub(super) tell_whom: f64,
    /// End of the lease that it has from this one, by this one's clock.
    pub(super) lent: f64,
    pub(super) pushed: u64,
    pub(super) pushed_at: f64,
    pub(super) again: f64,
    /// It is owed word of how far it has been read.
    pub(super) owed: bool,
    /// While this lasts its log counts as read only so far: others go by it.
    pub(super) held: Option<(f64, u64, u64)>,
    /// The ticket by which others get to know of it before it gets a lease.
    pub(super) admission: Option<Ticket>,
    /// It counts for majorities.
    pub counted: bool,
    pub over: Option<(Over, f64)>,
    /// Numbers of its messages: the highest, and which of the 64 below have come.
    pub(super) number: u64,
    pub(super) window: u64,
    pub(super) views_at: usize,
    /// Its log is read from a stream.
    pub(super) streams: bool,
}

impl Peer {
    pub(super) fn new(who: Identity, now: f64) -> Peer {
        let never = f64::NEG_INFINITY;
        Peer {
            who,
            copy: Log::default(),
            promised: Vec::new(),
            lease: never,
            long: never,
            covers: BTreeMap::new(),
            met: false,
            told: 0,
            heard: never,
            contact: never,
            asked: VecDeque::new(),
            next_ask: now,
            missing: false,
            read: 0,
            got: 0,
            claims: Vec::new(),
            place: 0,
            whom: 0,
            knows: 0,
            met_got: 0,
            tell_whom: never,
            lent: never,
            pushed: 0,
            pushed_at: never,
            again: AGAIN,
            owed: false,
            held: None,
            admission: None,
            counted: false,
            over: None,
            number: 0,
            window: 0,
            views_at: 0,
            streams: false,
        }
    }

    pub fn here(&self) -> bool {
        self.over.is_none()
    }

    /// How far it may be told that its log has been read, and that those whom it knows are known.
    pub(super) fn read_so_far(&self, now: f64) -> (u64, u64) {
        match self.held {
            // [R3] Who goes by leases from here has to know of it before its writes count on this one.
            _ if self.admission.is_some() => (0, 0),
            Some((until, upto, whom)) if now < until => (upto.min(self.copy.sound()), whom.min(self.whom)),
            _ => (self.copy.sound(), self.whom),
        }
    }

    pub(super) fn reading(&self, now: f64) -> ReadProgress {
        let (sound, whom) = self.read_so_far(now);
        ReadProgress { sound, got: self.copy.upto(), whom, met: self.whom }
    }

    /// Whether a message of this number has not come before.
    pub(super) fn fresh(&mut self, number: u64) -> bool {
        if number > self.number {
            let by = number - self.number;
            self.window = if by >= 64 { 0 } else { self.window << by } | 1;
            self.number = number;
            return true;
        }
        let back = self.number - number;
        if back >= 64 || self.window & (1 << back) != 0 {
            return false;
        }
        self.window |= 1 << back;
        true
    }
}
