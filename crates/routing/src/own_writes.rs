//! Read your writes: the position that a session's reads must see. It is the commit of its last write that was answered,
//! and, where a write of it may have run without an answer, the moment at which that was found out.

use std::sync::Arc;

use crate::interface::{Conclusion, Consistency, Evidence, Outcome, RequestId};
use crate::state::{Policy, Request};

/// Sessions whose last write is remembered; older ones are assumed to have written as late as any forgotten.
const SESSIONS: usize = 20_000;
/// ... and so are those that wrote so long ago (seconds), far past what a replica lags by.
const SESSION_AGE: f64 = 60.0;
/// What an answer tells counts as known so long after it was written (seconds): a commit that is younger binds nobody yet.
const KNOWN_AFTER: f64 = 0.1;

impl Policy {
    /// The position that a session read must see now. Looked up whenever one is sent: a write of its session may have been
    /// answered, or lost, while it waited.
    pub(crate) fn own_writes(&self, request: &Request) -> f64 {
        if self.settings.requests_carry_position {
            return request.token;
        }
        let known = request.session.as_ref().and_then(|session| self.sessions.get(session));
        let known = known.copied().unwrap_or(self.forgotten).max(request.token);
        // Guards against a commit whose answer got lost on the way: until the write has ended, it may be as late as that.
        if self.has_write_in_doubt(request) {
            return known.max(self.now - KNOWN_AFTER);
        }
        known
    }

    /// Whether a session read may have to see a write of its session that is out.
    pub(crate) fn has_write_in_doubt(&self, request: &Request) -> bool {
        let session = self.settings.classes[request.class].consistency == Consistency::Session;
        session
            && !self.settings.requests_carry_position
            && request.session.as_ref().is_some_and(|session| self.is_writing(session))
    }

    /// What is concluded from an answer once it is held against what it must have seen: one of a member that says itself that
    /// it is no primary, or where it stands, and has seen less, is too old. It has run all the same. Guards against a primary that was deposed without this
    /// proxy having heard of it, and one that has fallen behind since its role was told.
    pub fn assess_answer(
        &self,
        id: &RequestId,
        (attempt, elapsed): (usize, f64),
        outcome: Outcome,
        (position, primary): (Option<f64>, Option<bool>),
    ) -> Conclusion {
        let request = self.numbers.get(id).and_then(|n| self.requests.get(n));
        let Some(request) = request.filter(|_| outcome == Outcome::Ok) else { return Conclusion::AsReceived };
        let read = self.settings.classes[request.class].consistency != Consistency::Write;
        let told = position.is_some() || primary.is_some();
        match request.attempts.get(attempt).and_then(|attempt| attempt.needed) {
            Some(needed) if read && told => Policy::assess_freshness(primary, position, needed, elapsed),
            _ => Conclusion::AsReceived,
        }
    }

    /// Whether a write of the session is at a member, its answer still to come though it might be known by now.
    fn is_writing(&self, session: &Arc<str>) -> bool {
        self.requests.values().any(|request| {
            let write = self.settings.classes[request.class].consistency == Consistency::Write;
            write
                && request.session.as_ref() == Some(session)
                && request.attempts.iter().any(|a| a.open && self.now - a.sent >= KNOWN_AFTER)
        })
    }

    /// An attempt of a session's write has ended: the session's reads must see it from now on if it has run, or may have.
    pub(crate) fn record_session_write(
        &mut self,
        session: Arc<str>,
        evidence: Evidence,
        commit: Option<f64>,
    ) {
        if evidence.proves_not_run() {
            return;
        }
        // An answer that does not tell the commit, or none at all, leaves no doubt that it was before now.
        let told = commit.filter(|commit| evidence == Evidence::Ran && *commit <= self.now);
        self.remember(session, told.unwrap_or(self.now));
    }

    /// Remembers a session's last commit; what is forgotten raises the floor for all unknown sessions.
    pub(crate) fn remember(&mut self, session: Arc<str>, commit: f64) {
        if self.settings.requests_carry_position {
            return;
        }
        let known = self.sessions.entry(session.clone()).or_insert(commit);
        *known = known.max(commit);
        self.session_order.push_back((session, commit));
        let over = |(n, commit): (usize, f64)| n > SESSIONS || commit < self.now - SESSION_AGE;
        while self.session_order.front().is_some_and(|(_, commit)| over((self.session_order.len(), *commit)))
        {
            let Some((old, commit)) = self.session_order.pop_front() else { break };
            if self.sessions.get(&old).is_some_and(|last| *last <= commit) {
                self.sessions.remove(&old);
                self.forgotten = self.forgotten.max(commit);
            }
        }
    }
}
