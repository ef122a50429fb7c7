//! What a pooler knows of one session: its claim, the former owners that are to be settled, and what the session wrote.

use std::net::SocketAddr;

use crate::identity::Ballot;
use crate::lease::Term;
use crate::message::FormerOwner;
use crate::placement::MAX_GROUP_MEMBERS;
use crate::timing::{stretched, Millis, Timing};

/// What a session has written, as its owner knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Marks {
    /// The commit of its last write (Unix ms); 0 for none.
    pub position: Millis,
    /// Writes that others have sent may commit until then: reads go to the primary, and afterwards it is the position.
    pub open_until: Millis,
}

impl Marks {
    /// What reads need at a time; none where only the primary will do.
    pub fn needed(&mut self, now: Millis, terms: &Timing) -> Option<Millis> {
        if now < self.open_until {
            return None;
        }
        if self.open_until > 0 {
            self.raise(self.open_until + terms.clock_error);
            self.open_until = 0;
        }
        Some(self.position)
    }

    /// A write was committed, or a position stands in for one.
    pub fn raise(&mut self, position: Millis) {
        self.position = self.position.max(position);
    }

    /// Writes may commit until then.
    pub fn open(&mut self, until: Millis) {
        self.open_until = self.open_until.max(until);
    }

    /// The position by which all of it is covered.
    pub fn bound(&self, terms: &Timing) -> Millis {
        let open = if self.open_until > 0 { self.open_until + terms.clock_error } else { 0 };
        self.position.max(open)
    }
}

/// A former owner that has to have stopped before the new one serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FormerOwnerState {
    /// Its claim.
    pub ballot: Ballot,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its lease is over then.
    pub over_at: Millis,
    /// It has handed the session over, or its lease has been outwaited.
    pub settled: bool,
}

/// A claim of this pooler, pending or complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The counter of its ballot.
    pub counter: u64,
    /// When it was begun.
    pub begun: Millis,
    /// By member of the group: the lease under which it is recorded there.
    pub recorded: [Option<Term>; MAX_GROUP_MEMBERS],
    /// By member that has recorded it: sessions of which it knew no claimant wrote before this time.
    pub floors: [Millis; MAX_GROUP_MEMBERS],
    /// The least of the floors that a quorum came to, all members of which held the claim at a time.
    pub floor: Millis,
    /// By member: whether it turned the claim down.
    pub refused: [bool; MAX_GROUP_MEMBERS],
    /// Former owners that members named.
    pub formers: Vec<FormerOwnerState>,
    /// When what is open is asked again, and after how long the time after that.
    pub repeat_at: Millis,
    /// See above.
    pub repeat_after: Millis,
    /// It was complete at some time.
    pub completed: bool,
    /// How many former owners its members were told to be settled.
    pub reported: usize,
}

impl Claim {
    /// A claim that nobody has answered.
    pub fn new(now: Millis, counter: u64, repeat_after: Millis) -> Claim {
        Claim {
            counter,
            begun: now,
            recorded: [None; MAX_GROUP_MEMBERS],
            floors: [0; MAX_GROUP_MEMBERS],
            floor: Millis::MAX,
            refused: [false; MAX_GROUP_MEMBERS],
            formers: Vec::new(),
            repeat_at: now + repeat_after,
            repeat_after,
            completed: false,
            reported: 0,
        }
    }

    /// Takes in a former owner that a member named; whether it has to be asked.
    pub fn add_former(&mut self, now: Millis, former: &FormerOwner) -> bool {
        let over_at = now + stretched(Millis::from(former.lease));
        if let Some(known) = self.formers.iter_mut().find(|known| known.ballot == former.ballot) {
            known.over_at = known.over_at.max(over_at);
            return false;
        }
        self.formers.push(FormerOwnerState {
            ballot: former.ballot,
            address: former.address,
            over_at,
            settled: false,
        });
        true
    }

    /// Whether all former owners are settled.
    pub fn is_settled(&self) -> bool {
        self.formers.iter().all(|former| former.settled)
    }

    /// When all former owners are settled at the latest.
    pub fn settled_at(&self) -> Millis {
        let open = self.formers.iter().filter(|former| !former.settled);
        open.map(|former| former.over_at).max().unwrap_or(0)
    }

    /// Settles the former owners whose leases are over; whether there were any. What they have sent may commit for a
    /// while still.
    pub fn settle_expired(&mut self, now: Millis, terms: &Timing, marks: &mut Marks) -> bool {
        let mut any = false;
        for former in self.formers.iter_mut().filter(|former| !former.settled && former.over_at <= now) {
            former.settled = true;
            marks.open(former.over_at + terms.write_bound);
            any = true;
        }
        any
    }
}

/// A session as a pooler knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Session {
    /// Its group.
    pub group: usize,
    /// The highest counter of a ballot that was heard of.
    pub highest: u64,
    /// The own claim; none where it was given up, revoked, or handed over.
    pub claim: Option<Claim>,
    /// A new claim is not begun before.
    pub retry_at: Millis,
    /// Claims given up since the last that was complete.
    pub failures: u32,
    /// What it wrote.
    pub marks: Marks,
    /// When it was last asked for.
    pub used: Millis,
    /// Its writes that are not done with.
    pub writes: Vec<u64>,
}

impl Session {
    /// Gives the claim up, and keeps what it has taught.
    pub fn drop_claim(&mut self) -> Option<Claim> {
        let claim = self.claim.take()?;
        if claim.completed {
            self.marks.raise(claim.floor);
        }
        Some(claim)
    }
}

impl Session {
    /// A session that nothing is known of.
    pub fn new(now: Millis, group: usize) -> Session {
        Session {
            group,
            highest: 0,
            claim: None,
            retry_at: 0,
            failures: 0,
            marks: Marks::default(),
            used: now,
            writes: Vec::new(),
        }
    }
}
