//! How long a member takes, against what its like takes elsewhere. At many proxies each sees an answer of a member now
//! and then, and the load behind it is all others': few answers have to tell, and those that nobody waited for
//! to the end tell as much.

use crate::state::{Policy, Request};

/// What is assumed of a member counts as so many answers.
const PRIOR: f64 = 2.0;
/// Answers that count at the most, so that a change shows within about ten.
const MOST: f64 = 8.0;
/// Longest multiple that one answer counts for: a few are out for very long by themselves.
const LONGEST: f64 = 10.0;
/// Half-life of what an answer tells, in multiples of the connect time-out: what was slow a while ago may not be now.
const HALVES: f64 = 8.0;
/// A read goes to a replica of which the answers take so many times less ...
const SLOWER: f64 = 2.0;
/// ... once they take this share of its aim: of times that fall off exponentially one in twenty is over three times the mean.
const OF_AIM: f64 = 1.0 / 3.0;
/// Requests in flight at a member, from all proxies together, that one proxy's own have to be held against.
pub(crate) const TRICKLE: f64 = 8.0;

/// Time to answer over what the class takes elsewhere, by the answers of late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pace {
    mean: f64,
    /// Answers that it stands on.
    answers: f64,
    at: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { mean: 1.0, answers: 0.0, at: f64::NEG_INFINITY }
    }
}

impl Pace {
    fn answers(&self, now: f64, half_life: f64) -> f64 {
        self.answers * 0.5f64.powf((now - self.at).max(0.0) / half_life)
    }

    /// The multiple to expect now; 1 where nothing has been heard for long.
    pub fn ratio(&self, now: f64, half_life: f64) -> f64 {
        let answers = self.answers(now, half_life);
        (PRIOR + answers * self.mean) / (PRIOR + answers)
    }

    /// An answer took so many times as long as its like does.
    fn take(&mut self, now: f64, half_life: f64, multiple: f64) {
        let answers = self.answers(now, half_life);
        let mean = (self.mean * answers + multiple.min(LONGEST)) / (answers + 1.0);
        *self = Pace { mean, answers: (answers + 1.0).min(MOST), at: now };
    }
}

impl Policy {
    /// Half-life of what is heard of a member's health and load (seconds).
    fn half_life(&self) -> f64 {
        self.settings.connect_timeout * HALVES
    }

    /// How many times as long as elsewhere a member takes.
    pub(crate) fn slowness(&self, m: usize) -> f64 {
        self.members[m].pace.ratio(self.now, self.half_life())
    }

    /// A request of a class was answered after `elapsed` seconds, or, where it was not `ended` by its member, had had no
    /// answer by then: that tells of a member which is slower, never of one that is quick.
    pub(crate) fn timed(&mut self, m: usize, class: usize, elapsed: f64, ended: bool) {
        let multiple = elapsed / self.latency[class].mean;
        if ended || multiple > self.slowness(m) {
            let half_life = self.half_life();
            self.members[m].pace.take(self.now, half_life, multiple);
        }
    }

    /// Whether a member takes so long that it would hardly answer a request in time. Own requests in flight are not looked
    /// at: they have an exit of their own (design).
    pub(crate) fn crowded(&self, request: &Request, m: usize) -> bool {
        let late = (request.aim_at - self.now).max(0.0) * OF_AIM;
        self.latency[request.class].mean * self.slowness(m) > late
    }

    /// Whether a read goes to another replica than the choice, which takes twice as long at the least and is crowded.
    pub(crate) fn relieves(&self, request: &Request, choice: usize, other: usize) -> bool {
        let (here, there) = (self.slowness(choice), self.slowness(other).max(1.0));
        here > SLOWER * there && self.crowded(request, choice)
    }

    /// Own requests at a member, those given up on that may still run there included.
    pub(crate) fn load(&self, m: usize) -> u32 {
        let member = &self.members[m];
        member.in_flight + member.ghosts.iter().filter(|until| **until > self.now).count() as u32
    }

    /// How many times more requests of the fleet are at a member than this proxy can judge it by: at TRICKLE
    /// proxies or fewer each sees enough of them, at a hundred hardly one.
    pub(crate) fn unseen(&self) -> f64 {
        (f64::from(self.settings.fleet_size) / TRICKLE).max(1.0)
    }

    /// Latency to expect of one more request at a member, from what its like took lately and its load.
    pub(crate) fn predicted(&self, m: usize, class: usize) -> f64 {
        let member = &self.members[m];
        // Of a member's load this proxy sees its own part only: at many proxies one request more or less says
        // next to nothing of the whole.
        let unseen = self.unseen();
        let crowd = (f64::from(self.load(m)) + unseen) / (member.usual_load + unseen);
        self.latency[class].mean * self.slowness(m).max(0.5) * crowd.max(1.0)
    }
}
