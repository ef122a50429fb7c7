//! What is known of a read and its member when the read is written and when it is answered. [`freshness`] decides
//! by that.
//!
//! [`freshness`]: crate::freshness

use crate::effect::Effect;
use crate::freshness::{Knowledge, ReadAtWrite, Requirement, Stated};
use crate::interface::{Conclusion, Consistency, Outcome, RequestId, WhenBehind};
use crate::permission::{Denial, MAX_PROCESS_PAUSE};
use crate::state::{Policy, Request};

impl Policy {
    /// Returns what a read must reflect if its last byte is written at `at`.
    fn requirement(&self, request: &Request, at: f64) -> Requirement {
        let position = match self.settings.classes[request.class].consistency {
            Consistency::Bounded(bound) => request.required_position.max(at - bound),
            Consistency::Session => self.required_session_position(request, at),
            Consistency::Any => request.required_position,
            Consistency::Write | Consistency::Fresh => f64::INFINITY,
        };
        Requirement { position, unchecked_position: request.session_position }
    }

    /// Returns the position that a replica must have reached to serve the read now.
    pub(crate) fn required_read_position(&self, request: &Request) -> f64 {
        self.requirement(request, self.now).position
    }

    /// Returns the position that a replica must have reached for the read to be written to it. A read that cannot be
    /// sent again keeps a distance from its bound, since the process may be delayed before it writes.
    pub(crate) fn required_write_position(&self, request: &Request) -> f64 {
        self.requirement_at_write(request).position
    }

    fn requirement_at_write(&self, request: &Request) -> Requirement {
        let pause = if self.can_be_sent_again(request) { 0.0 } else { MAX_PROCESS_PAUSE };
        self.requirement(request, self.now + pause)
    }

    /// Returns true if an answer that is too old can be withheld, and the read sent to another member.
    fn can_be_sent_again(&self, request: &Request) -> bool {
        self.settings.classes[request.class].effect != Effect::Unsafe && !request.streams_answer
    }

    /// Returns true if members turn away the reads of a request for which they are behind. They do not know what the
    /// statements of ordinary clients require, whose answers are streamed.
    fn is_checked_by_members(&self, request: &Request) -> bool {
        let checks = self.settings.when_behind != WhenBehind::ServeStale;
        checks && !request.position_unknown() && !request.streams_answer
    }

    /// Returns true if a member that checks positions may be fresh enough although it is not known to be: its last
    /// known lag meets the requirement, or it has had time to catch up since it was last heard, or it was never
    /// heard. What other instances require it cannot check: such a read shows its position, and is sent again if that
    /// was not known before.
    pub(crate) fn may_be_fresh(&self, request: &Request, m: usize, required: f64) -> bool {
        let member = &self.members[m];
        let lag = member.position_at - member.position;
        let plausible = self.now - lag >= required || self.now - member.position_at > lag || lag.is_nan();
        let may_try = member.position >= request.session_position || self.can_be_sent_again(request);
        self.is_checked_by_members(request) && may_try && plausible && self.now >= member.catch_up_until
    }

    fn is_primary(&self, request: &Request, m: usize) -> bool {
        self.groups.get(&request.group).is_some_and(|group| group.primary == Some(m))
    }

    /// Returns what is known of a read and its member now.
    pub(crate) fn read_at_write(&self, request: &Request, m: usize) -> ReadAtWrite {
        ReadAtWrite {
            at: self.now,
            requirement: self.requirement(request, self.now),
            primary: self.is_primary(request, m),
            position: self.members[m].position,
        }
    }

    /// Checks whether an attempt may be written to its member now. Returns until when another read of the request's
    /// class could be written on what is known (seconds). The caller reports a denial by
    /// [`Event::WriteDenied`](crate::interface::Event::WriteDenied).
    pub fn may_write(&mut self, id: &RequestId, attempt: usize, now: f64) -> Result<f64, Denial> {
        self.now = self.now.max(now);
        let request = self.request_numbers.get(id).and_then(|n| self.requests.get(n));
        let Some(request) = request else { return Ok(f64::INFINITY) };
        let Some(m) = request.attempts.get(attempt).map(|attempt| attempt.member) else {
            return Ok(f64::INFINITY);
        };
        let consistency = self.settings.classes[request.class].consistency;
        if consistency == Consistency::Write {
            return Ok(f64::INFINITY);
        }
        let requirement = self.requirement_at_write(request);
        let knowledge = Knowledge {
            primary: self.is_primary(request, m),
            position: self.members[m].position,
            may_be_fresh: self.may_be_fresh(request, m, requirement.position),
        };
        requirement.may_write(knowledge)?;
        Ok(match consistency {
            Consistency::Bounded(bound) if !knowledge.primary => {
                knowledge.position + bound - MAX_PROCESS_PAUSE
            }
            _ => f64::INFINITY,
        })
    }

    /// Records that the last byte of an attempt was written at `at`. Returns the position that its answer must
    /// reflect, and the one that its member is known to have reached.
    pub fn record_written(&mut self, id: &RequestId, attempt: usize, at: f64) -> Option<(f64, f64)> {
        self.now = self.now.max(at);
        let n = *self.request_numbers.get(id)?;
        let request = self.requests.get(&n)?;
        let m = request.attempts.get(attempt)?.member;
        let read = ReadAtWrite { at, ..self.read_at_write(request, m) };
        self.requests.get_mut(&n)?.attempts[attempt].read = read;
        Some((read.requirement.position, read.position))
    }

    /// Compares an answer, `elapsed` seconds after the attempt was begun, with what it had to reflect at the last
    /// byte. If it is too old, the request has run all the same. Guards against bounds that passed while the
    /// attempt waited to be written, against a primary that was deposed without this pooler's knowledge, and
    /// against one that has fallen behind since it reported its role.
    pub fn assess_answer(
        &self,
        id: &RequestId,
        (attempt, elapsed): (usize, f64),
        outcome: Outcome,
        (position, primary): (Option<f64>, Option<bool>),
    ) -> Conclusion {
        let request = self.request_numbers.get(id).and_then(|n| self.requests.get(n));
        let Some(request) = request.filter(|_| outcome == Outcome::Ok) else { return Conclusion::AsReceived };
        let is_read = self.settings.classes[request.class].consistency != Consistency::Write;
        let Some(attempt) = request.attempts.get(attempt).filter(|_| is_read) else {
            return Conclusion::AsReceived;
        };
        let elapsed = elapsed - (attempt.read.at - attempt.sent_at).max(0.0);
        let (is_checked, is_primary) =
            (self.is_checked_by_members(request), self.is_primary(request, attempt.member));
        attempt.read.assess(Stated { position, primary }, elapsed, is_checked, is_primary)
    }

    /// Raises the position that a request's answer must reflect, as other instances have reported it.
    pub fn raise_session_position(&mut self, id: &RequestId, position: f64) {
        let request = self.request_numbers.get(id).and_then(|n| self.requests.get_mut(n));
        if let Some(request) = request {
            request.required_position = request.required_position.max(position);
            request.session_position = request.session_position.max(position);
        }
    }
}
