//! Replies of control instances to heartbeats, and handovers between poolers.

use std::net::SocketAddr;

use super::Client;
use crate::channel::Fault;
use crate::identity::{Ballot, SessionKey};
use crate::lease::Term;
use crate::message::{Body, HandoverVerdict, Header, Revocation};
use crate::timing::{with_clock_margin, Millis};

impl Client {
    /// Handles a control instance's reply to a heartbeat.
    pub(super) fn handle_heartbeat_ack(
        &mut self,
        now: Millis,
        header: &Header,
        heartbeat: u64,
        term: u32,
        (revocations, complete): (&[Revocation], bool),
    ) -> Result<(), Fault> {
        let instance = self.placement.instance_index(header.from).ok_or(Fault::Sender)?;
        // Sessions are revoked before the lease counts as renewed, so that the renewal does not extend their
        // ownership.
        revocations.iter().for_each(|revocation| self.revoke(revocation));
        let term = Term { incarnation: header.from.incarnation, number: term };
        let current = self.leases[instance].heartbeat_acknowledged(heartbeat, term, complete, revocations);
        if current && !complete && !self.has_left {
            self.send_heartbeat(now, instance);
        }
        Ok(())
    }

    fn revoke(&mut self, revocation: &Revocation) {
        let me = self.channel.process_id();
        let Some(session) = self.sessions.get_mut(&revocation.session) else { return };
        session.highest_counter = session.highest_counter.max(revocation.below.counter);
        let ballot = session.claim.as_ref().map(|claim| Ballot { counter: claim.counter, owner: me });
        if ballot.is_some_and(|ballot| ballot < revocation.below) {
            session.drop_claim();
            self.counts.revoked += 1;
        }
    }

    /// Handles a handover request: another pooler has claimed a session, so ownership by this pooler ends.
    pub(super) fn handle_handover(
        &mut self,
        now: Millis,
        from: SocketAddr,
        key: SessionKey,
        ballot: Ballot,
        request: &Body,
    ) -> Result<(), Fault> {
        let Body::Handover { counter, former, .. } = *request else { return Err(Fault::Sender) };
        if former.owner != self.channel.process_id() {
            return Err(Fault::Sender);
        }
        let verdict = self.relinquish(now, key, ballot);
        let reply = Body::HandoverReply { session: key, counter, former, verdict };
        self.send(from, ballot.owner.incarnation, &reply);
        Ok(())
    }

    fn relinquish(&mut self, now: Millis, key: SessionKey, by: Ballot) -> HandoverVerdict {
        let Some(session) = self.sessions.get(&key) else {
            return HandoverVerdict::Relinquished { position: self.released_position, open_for: 0 };
        };
        let me = self.channel.process_id();
        let own_ballot = session.claim.as_ref().map(|claim| Ballot { counter: claim.counter, owner: me });
        if let Some(own) = own_ballot.filter(|own| *own > by) {
            return HandoverVerdict::Superseded { by: own };
        }
        let was_owner = self.owns(now, session);
        self.counts.handed_off += u64::from(own_ballot.is_some());
        let Some(session) = self.sessions.get_mut(&key) else {
            return HandoverVerdict::Relinquished { position: self.released_position, open_for: 0 };
        };
        session.drop_claim();
        session.highest_counter = session.highest_counter.max(by.counter);
        let mut open_until = session.watermark.open_until;
        for number in &session.writes {
            let Some(write) = self.writes.get_mut(number) else { continue };
            if was_owner {
                write.answerable_until = write.deadline;
            }
            open_until = open_until.max(write.deadline);
        }
        // Once the time in which writes may still commit is over, the end of that time stands in for their
        // position.
        let position = session.watermark.upper_bound(&self.timing);
        let open_over = session.watermark.open_until <= now;
        let position = if open_over { position } else { session.watermark.position };
        let open_for = open_until.saturating_sub(now).min(Millis::from(u32::MAX)) as u32;
        HandoverVerdict::Relinquished { position, open_for }
    }

    /// Handles a former owner's reply to a handover request.
    pub(super) fn handle_handover_reply(
        &mut self,
        now: Millis,
        header: &Header,
        key: SessionKey,
        (counter, former): (u64, Ballot),
        verdict: HandoverVerdict,
    ) -> Result<(), Fault> {
        // Guards against a later incarnation of the former owner, which does not know what the earlier one
        // wrote.
        if former.owner != header.from {
            return Err(Fault::Sender);
        }
        let Some(session) = self.sessions.get_mut(&key) else { return Ok(()) };
        let Some(claim) = session.claim.as_mut().filter(|claim| claim.counter == counter) else {
            return Ok(());
        };
        let Some(known) = claim.former_owners.iter_mut().find(|known| known.ballot == former) else {
            return Err(Fault::Sender);
        };
        match verdict {
            HandoverVerdict::Relinquished { position, open_for } => {
                self.counts.handovers += u64::from(!known.resolved);
                known.resolved = true;
                session.watermark.raise(position);
                if open_for > 0 {
                    session.watermark.extend_open(now + with_clock_margin(Millis::from(open_for)));
                }
            }
            HandoverVerdict::Superseded { by } => {
                session.highest_counter = session.highest_counter.max(by.counter);
                session.drop_claim();
                session.retry_at = now;
                self.counts.failed += 1;
            }
        }
        self.advance(now, key);
        Ok(())
    }
}
