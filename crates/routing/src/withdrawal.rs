//! Attempts that were not written, since their members may no longer answer them. Such an attempt was never sent:
//! it counts neither as an attempt nor against its member, and its request goes elsewhere at once.

use crate::interface::{Action, Conclusion, Outcome, RequestId};
use crate::state::Policy;
use crate::thresholds::MAX_RETRY_BUDGET;

impl Policy {
    /// Handles an attempt whose write was denied.
    pub(crate) fn on_write_denied(&mut self, id: &RequestId, attempt: usize, out: &mut Vec<Action>) {
        let Some(&n) = self.request_numbers.get(id) else { return };
        let Some(request) = self.requests.get_mut(&n) else { return };
        let Some(a) = request.attempts.get_mut(attempt).filter(|a| a.open) else { return };
        (a.open, a.unsent, a.withdrawn) = (false, true, true);
        a.ended = Some((Outcome::NotSent, Conclusion::AsReceived));
        let (m, cost) = (a.member, std::mem::take(&mut a.hedging_cost));
        request.history.withdraw(attempt);
        let member = &mut self.members[m];
        member.in_flight = member.in_flight.saturating_sub(1);
        member.trial_in_flight = false;
        self.retry_budget = (self.retry_budget + cost).min(MAX_RETRY_BUDGET);
        if request.done {
            return self.finish(n, out);
        }
        self.advance(n, out);
    }
}
