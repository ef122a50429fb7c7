//! What control instances tell of leases, and what poolers ask of each other.

use std::net::SocketAddr;

use super::Client;
use crate::channel::Fault;
use crate::identity::{Ballot, SessionKey};
use crate::lease::Term;
use crate::message::{Body, HandoverVerdict, Header, Revocation};
use crate::timing::{stretched, Millis};

impl Client {
    /// A control instance has answered a heartbeat.
    pub(super) fn acknowledged(
        &mut self,
        now: Millis,
        header: &Header,
        heartbeat: u64,
        term: u32,
        (revocations, complete): (&[Revocation], bool),
    ) -> Result<(), Fault> {
        let machine = self.placement.instance_index(header.from).ok_or(Fault::Sender)?;
        // Before the lease counts as renewed: sessions that are revoked are not renewed with it.
        revocations.iter().for_each(|revocation| self.revoke(revocation));
        let term = Term { incarnation: header.from.incarnation, number: term };
        let taken = self.leases[machine].acknowledged(heartbeat, term, complete, revocations);
        if taken && !complete && !self.left {
            self.send_heartbeat(now, machine);
        }
        Ok(())
    }

    fn revoke(&mut self, revocation: &Revocation) {
        let me = self.channel.process_id();
        let Some(session) = self.sessions.get_mut(&revocation.session) else { return };
        session.highest = session.highest.max(revocation.below.counter);
        let ballot = session.claim.as_ref().map(|claim| Ballot { counter: claim.counter, owner: me });
        if ballot.is_some_and(|ballot| ballot < revocation.below) {
            session.drop_claim();
            self.counts.revoked += 1;
        }
    }

    /// Another pooler has claimed a session: whatever this one owned of it ends here.
    pub(super) fn hand_over(
        &mut self,
        now: Millis,
        from: SocketAddr,
        key: SessionKey,
        ballot: Ballot,
        asked: &Body,
    ) -> Result<(), Fault> {
        let Body::Handover { counter, former, .. } = *asked else { return Err(Fault::Sender) };
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
            return HandoverVerdict::Marks { position: self.forgotten, open: 0 };
        };
        let me = self.channel.process_id();
        let own = session.claim.as_ref().map(|claim| Ballot { counter: claim.counter, owner: me });
        if let Some(own) = own.filter(|own| *own > by) {
            return HandoverVerdict::Superseded { by: own };
        }
        let owned = self.owns(now, session);
        self.counts.handed_off += u64::from(own.is_some());
        let Some(session) = self.sessions.get_mut(&key) else {
            return HandoverVerdict::Marks { position: self.forgotten, open: 0 };
        };
        session.drop_claim();
        session.highest = session.highest.max(by.counter);
        let mut open_until = session.marks.open_until;
        for number in &session.writes {
            let Some(write) = self.writes.get_mut(number) else { continue };
            if owned {
                write.covered_until = write.deadline;
            }
            open_until = open_until.max(write.deadline);
        }
        // The time of a doubt that is over stands in for its position.
        let position = session.marks.bound(&self.terms);
        let over = session.marks.open_until <= now;
        let position = if over { position } else { session.marks.position };
        let open = open_until.saturating_sub(now).min(Millis::from(u32::MAX)) as u32;
        HandoverVerdict::Marks { position, open }
    }

    /// A former owner has answered.
    pub(super) fn handed_over(
        &mut self,
        now: Millis,
        header: &Header,
        key: SessionKey,
        (counter, former): (u64, Ballot),
        verdict: HandoverVerdict,
    ) -> Result<(), Fault> {
        // Guards against a later start of the former owner, which does not know what the earlier one did.
        if former.owner != header.from {
            return Err(Fault::Sender);
        }
        let Some(session) = self.sessions.get_mut(&key) else { return Ok(()) };
        let Some(claim) = session.claim.as_mut().filter(|claim| claim.counter == counter) else {
            return Ok(());
        };
        let Some(known) = claim.formers.iter_mut().find(|known| known.ballot == former) else {
            return Err(Fault::Sender);
        };
        match verdict {
            HandoverVerdict::Marks { position, open } => {
                self.counts.handovers += u64::from(!known.settled);
                known.settled = true;
                session.marks.raise(position);
                if open > 0 {
                    session.marks.open(now + stretched(Millis::from(open)));
                }
            }
            HandoverVerdict::Superseded { by } => {
                session.highest = session.highest.max(by.counter);
                session.drop_claim();
                session.retry_at = now;
                self.counts.failed += 1;
            }
        }
        self.advance(now, key);
        Ok(())
    }
}
