//! Checks of the policy before each action. An action that is denied is not carried out, and is reported,
//! since the policy should not have decided on it.

use crate::interface::{Action, Phase, Reason, RequestId};
use crate::permission::{AttemptRules, Denial};
use crate::state::Policy;

impl Policy {
    /// Returns the rules for a request of a class whose client waits until `deadline` (seconds).
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

    /// Returns the deadline of a class (seconds): no request of it has more time, whatever its client states.
    pub fn class_deadline(&self, class: usize) -> f64 {
        self.settings.classes[class].deadline
    }

    /// Returns true if the member may get new work. A drain holds from the moment at which it is reported.
    pub(crate) fn usable(&self, m: usize) -> bool {
        let member = &self.members[m];
        match member.phase {
            Phase::Active => !member.reported.drained,
            Phase::Leaving => false,
            Phase::Left => self.settings.removal_is_advisory && !member.leaving_listed,
        }
    }

    /// Checks whether an attempt of a request may be begun at a member now.
    pub(crate) fn may_send(&self, n: u64, m: usize) -> Result<(), Denial> {
        let request = self.requests.get(&n).filter(|request| !request.done).ok_or(Denial::Answered)?;
        if !self.usable(m) {
            return Err(Denial::Drained);
        }
        request.history.may_begin(self.now)
    }

    /// Reports an attempt that was not permitted, and ends its request if no other attempt is in flight.
    pub(crate) fn deny(&mut self, n: u64, denial: Denial, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&n) else { return };
        out.push(Action::Denied { id: request.id.clone(), denial });
        if !request.done && request.attempts.iter().all(|attempt| !attempt.open) {
            self.give_up(n, Reason::Denied, out);
        }
    }

    /// Returns true if a request may be refused: after it may have run, only if its class allows a repeat. An
    /// unknown request has reached no member.
    pub fn may_refuse(&self, id: &RequestId) -> bool {
        let request = self.request_numbers.get(id).and_then(|n| self.requests.get(n));
        request.is_none_or(|request| request.history.may_refuse().is_ok())
    }
}
