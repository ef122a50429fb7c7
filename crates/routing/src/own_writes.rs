//! Read your writes: the position that reads of a session must see. It is the commit of the session's last
//! answered write. For a write that may have run without an answer it is the time at which the attempt ended.

use std::sync::Arc;

use crate::interface::{Consistency, Evidence};
use crate::state::{Policy, Request};

/// Maximum number of sessions whose last write is remembered. A forgotten session may have written up to the
/// latest position forgotten.
const MAX_SESSIONS: usize = 20_000;
/// Retention of a session's last write (seconds), far longer than the lag of any replica.
const SESSION_RETENTION: f64 = 60.0;
/// An answer counts as known to the client this long after the write was sent (seconds): a younger commit is
/// not required of any read yet.
const ANSWER_DELAY: f64 = 0.1;

impl Policy {
    /// Returns the position that a session read must see if its last byte is written at `at`. A write of the session
    /// may have been answered, or lost, while the read waited.
    pub(crate) fn required_session_position(&self, request: &Request, at: f64) -> f64 {
        if self.settings.requests_carry_position {
            return request.required_position;
        }
        let known = request.session.as_ref().and_then(|session| self.sessions.get(session));
        let known = known.copied().unwrap_or(self.unknown_session_position).max(request.required_position);
        // Guards against a commit whose answer got lost: until the write ends, it may be as recent as this.
        if self.has_uncertain_write(request, at) {
            return known.max(at - ANSWER_DELAY);
        }
        known
    }

    /// Returns true if a session read that is written at `at` may have to see a write of its session that is still
    /// in flight.
    pub(crate) fn has_uncertain_write(&self, request: &Request, at: f64) -> bool {
        let session = self.settings.classes[request.class].consistency == Consistency::Session;
        session
            && !self.settings.requests_carry_position
            && request.session.as_ref().is_some_and(|session| self.may_have_committed(session, at))
    }

    /// Returns true if a write of the session is in flight for so long at `at` that its commit may be known.
    fn may_have_committed(&self, session: &Arc<str>, at: f64) -> bool {
        self.requests.values().any(|request| {
            let write = self.settings.classes[request.class].consistency == Consistency::Write;
            write
                && request.session.as_ref() == Some(session)
                && request.attempts.iter().any(|a| a.open && at - a.sent_at >= ANSWER_DELAY)
        })
    }

    /// Records the end of a write: if it has run, or may have, the session's reads must see it from now on.
    pub(crate) fn record_session_write(
        &mut self,
        session: Arc<str>,
        evidence: Evidence,
        commit: Option<f64>,
    ) {
        if evidence.proves_not_run() {
            return;
        }
        // If the answer states no plausible commit, or there is none, any commit was made before now.
        let stated = commit.filter(|commit| evidence == Evidence::Ran && *commit <= self.now);
        self.retain_session_write(session, stated.unwrap_or(self.now));
    }

    /// Remembers a session's last commit. Forgotten ones raise the position required of all unknown sessions.
    pub(crate) fn retain_session_write(&mut self, session: Arc<str>, commit: f64) {
        if self.settings.requests_carry_position {
            return;
        }
        let known = self.sessions.entry(session.clone()).or_insert(commit);
        *known = known.max(commit);
        self.session_order.push_back((session, commit));
        let over = |(n, commit): (usize, f64)| n > MAX_SESSIONS || commit < self.now - SESSION_RETENTION;
        while self.session_order.front().is_some_and(|(_, commit)| over((self.session_order.len(), *commit)))
        {
            let Some((session, commit)) = self.session_order.pop_front() else { break };
            if self.sessions.get(&session).is_some_and(|last| *last <= commit) {
                self.sessions.remove(&session);
                self.unknown_session_position = self.unknown_session_position.max(commit);
            }
        }
    }
}
