//! The decisions ask for permission before each action: what is denied is not done, and told, since the decisions should not have
//! come to it.

use crate::interface::{Action, Phase, Reason, RequestId};
use crate::permission::{AttemptRules, Denial};
use crate::state::Policy;

impl Policy {
    /// What a request of a class may do whose client waits until then (seconds).
    pub fn attempt_rules(&self, class: usize, deadline: f64) -> AttemptRules {
        let class = &self.settings.classes[class];
        AttemptRules {
            effect: class.effect,
            dedup: class.dedup,
            dedup_window: class.dedup_window,
            connect_timeout: self.settings.connect_timeout,
            max_attempts: self.settings.max_attempts,
            allow_hedging: self.settings.allow_hedging,
            deadline,
        }
    }

    /// Whether anything new may go to a member at all (drains are kept from the moment they are told).
    pub(crate) fn usable(&self, m: usize) -> bool {
        let member = &self.members[m];
        match member.phase {
            Phase::Active => !member.reported.drained,
            Phase::Leaving => false,
            Phase::Left => self.settings.removal_is_advisory && !member.bound_gone,
        }
    }

    /// Whether an attempt of a request may be begun at a member now.
    pub(crate) fn may_send(&self, n: u64, m: usize) -> Result<(), Denial> {
        let request = self.requests.get(&n).filter(|request| !request.done).ok_or(Denial::Answered)?;
        if !self.usable(m) {
            return Err(Denial::Drained);
        }
        request.history.may_begin(self.now)
    }

    /// An attempt was about to be begun that may not be.
    pub(crate) fn deny(&mut self, n: u64, denial: Denial, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&n) else { return };
        out.push(Action::Denied { id: request.id.clone(), denial });
        if !request.done && request.attempts.iter().all(|attempt| !attempt.open) {
            self.conclude(n, Reason::Denied, out);
        }
    }

    /// Whether a request may be refused by whoever ends it: where it may have run, only if its class allows a
    /// repeat. One that is not known has reached no member.
    pub fn may_refuse(&self, id: &RequestId) -> bool {
        let request = self.numbers.get(id).and_then(|n| self.requests.get(n));
        request.is_none_or(|request| request.history.may_refuse().is_ok())
    }
}
