//! Who may go by whose log, and for how long: questions, grants, coverage of those that answer nobody, majorities.

use std::sync::Arc;

use super::*;

impl Node {
    /// Why reads of sessions may not go by what is known here; none where they may.
    pub(super) fn not_whole(&mut self, now: f64) -> Option<PrimaryReason> {
        if now < self.whole_until {
            return None;
        }
        let why = self.look_whole(now);
        let whole = why.is_none();
        if whole != self.was_whole {
            self.was_whole = whole;
            self.notices.push(Notice::Complete(whole));
        }
        why
    }

    pub(super) fn look_whole(&mut self, now: f64) -> Option<PrimaryReason> {
        if !self.unmet.is_empty() {
            return Some(PrimaryReason::SeedUnanswered);
        }
        let mut until = f64::INFINITY;
        for peer in self.here() {
            if now < peer.lease {
                until = until.min(peer.lease);
                continue;
            }
            if !self.covered(now, peer) {
                return Some(if peer.missing {
                    PrimaryReason::Unreachable
                } else {
                    PrimaryReason::CatchingUp
                });
            }
            let ends = peer.covers.values().flat_map(|cover| [cover.until, cover.long]).chain([peer.long]);
            until = ends.filter(|end| *end > now).fold(until, f64::min);
        }
        // What holds now holds until the first of these ends.
        self.whole_until = until;
        None
    }

    /// Whether all that an instance can have answered by now is known here: it says so itself, or all others that
    /// answer say that it answers nobody.
    pub(super) fn known_whole(&self, now: f64, name: &str) -> bool {
        let Some(peer) = self.peers.get(name) else { return true };
        now < peer.lease || self.covered(now, peer)
    }

    /// Whether all that answer cover one that does not, and they are a majority. [R3]
    pub(crate) fn covered(&self, now: f64, missing: &Peer) -> bool {
        if !missing.met || !self.unmet.is_empty() {
            return false;
        }
        let (mut lost, mut all, mut long) = (0, 1, missing.long);
        for other in self.here() {
            all += 1;
            if now >= other.lease {
                lost += 1;
                continue;
            }
            // Whoever it may have told of others has been told of them by the one who covers. [R4]
            let holds = |cover: &&Covering| {
                now < cover.until && missing.copy.sound() >= cover.upto && other.whom >= cover.whom
            };
            match missing.covers.get(&other.who.name).filter(holds) {
                Some(cover) => long = long.max(cover.long),
                None => return false,
            }
        }
        2 * lost < all && now < long
    }

    /// Looks whether all who go by leases from here know of another by now.
    pub(super) fn admit(&mut self, now: f64, name: &Arc<str>) {
        let Some(ticket) = self.peers.get(name).and_then(|peer| peer.admission) else { return };
        if self.all_know(now, ticket) {
            self.waiting.remove(&ticket);
            if let Some(peer) = self.peers.get_mut(name) {
                (peer.admission, peer.owed) = (None, true);
            }
        }
    }

    pub(super) fn ask(&mut self, now: f64, name: &Arc<str>) {
        self.admit(now, name);
        let jitter = 0.85 + 0.3 * self.draw();
        let (lease, count) = (self.terms.lease, self.peers.len() as f64);
        let wanted = now - self.wanted < WANTED || !self.admitted;
        // Leases that end soon: whoever does not answer is to be covered before.
        let missing: Vec<(Arc<str>, u64, u64)> = self
            .here()
            .filter(|p| wanted && p.who.name != *name && p.met && p.lease - now < lease * 0.6)
            .map(|p| (p.who.name.clone(), p.who.start, p.copy.upto()))
            .take(MOST_MISSING + 1)
            .collect();
        let missing = if missing.len() > MOST_MISSING { Vec::new() } else { missing };
        self.question += 1;
        let (question, own) = (self.question, self.whom());
        let Some(peer) = self.peers.get_mut(name) else { return };
        let every = (lease / ASKS_PER_LEASE).max(count / ASKS_PER_S);
        // One that has not answered for long is asked at the idle pace.
        let gone = peer.heard.is_finite() && now - peer.heard > 10.0 * lease.max(1.0);
        peer.next_ask = now + jitter * if wanted && !gone { every } else { IDLE_ASK };
        peer.asked.push_back((question, now));
        if peer.asked.len() > 32 {
            peer.asked.pop_front();
        }
        let silent = peer.heard.is_finite() && now - peer.heard > MISSING;
        if silent && !gone && peer.asked.len() > 1 {
            peer.next_ask = peer.next_ask.min(now + jitter * ASK_AGAIN.max(count / ASKS_PER_S));
        }
        if !peer.missing && silent && peer.asked.len() > UNANSWERED {
            peer.missing = true;
            self.notices.push(Notice::Unreachable(name.clone()));
        }
        let Some(peer) = self.peers.get(name) else { return };
        let read = peer.reading(now);
        self.send(now, name, &Body::LeaseRequest { question, read, own, lease: wanted, missing }, false);
    }

    pub(super) fn grant(
        &mut self,
        now: f64,
        name: &Arc<str>,
        question: u64,
        lease: bool,
        missing: &[(Arc<str>, u64, u64)],
    ) {
        let upto = self.log.upto();
        self.admit(now, name);
        let own = self.whom();
        let admitted = self.peers.get(name).is_some_and(|peer| peer.admission.is_none());
        let behind = self.peers.get(name).map_or(u64::MAX, |peer| upto - peer.read.min(upto));
        let lends = lease && admitted && behind <= LEASE_BEHIND && !self.stood_down;
        // [R5] Without a majority nothing is promised beyond the lease: nobody here can go by it.
        let long = if self.has_majority(now) { self.long() } else { 0.0 };
        let term = self.terms.lease;
        let mut covers = Vec::new();
        if lends {
            let until = lessor_end(now, term);
            self.free_at = self.free_at.max(lessor_end(now, long));
            if let Some(peer) = self.peers.get_mut(name) {
                peer.lent = peer.lent.max(until);
            }
            for (other, start, read) in missing.iter().take(MOST_MISSING) {
                covers.extend(self.cover(now, other, *start, until));
                self.pass_on(now, name, other, *start, *read);
            }
        }
        let milliseconds = |s: f64| (s * 1_000.0).clamp(0.0, f64::from(u32::MAX)) as u32;
        let lease_ms = if lends { milliseconds(term) } else { 0 };
        let body = Body::LeaseGrant { question, upto, own, lease_ms, long_ms: milliseconds(long), covers };
        self.send(now, name, &body, false);
    }

    /// Says of one that does not answer here either how far its log has been read, and holds to it: for as long as the asker
    /// goes by that, nothing further of it is acknowledged. [R3]
    pub(super) fn cover(&mut self, now: f64, name: &Arc<str>, start: u64, until: f64) -> Option<Coverage> {
        let peer = self.peers.get_mut(name).filter(|peer| peer.here() && peer.who.start == start)?;
        // One that was never met here may have stated anything.
        if !peer.met {
            return None;
        }
        if now - peer.heard > MISSING / 2.0 && peer.asked.is_empty() {
            peer.next_ask = now;
        }
        let unanswered = peer.asked.front().is_some_and(|(_, at)| now - at > MISSING * 2.0 / 3.0);
        if now - peer.heard <= MISSING || !unanswered {
            return None;
        }
        let (upto, whom) = peer.read_so_far(now);
        let kept = peer.held.map_or(until, |(held, _, _)| held.max(until));
        peer.held = Some((kept, upto, whom));
        let long_ms = ((peer.long - now).max(0.0) * 1_000.0) as u32;
        // One that has a part only does not know how far it knows.
        let sound = peer.copy.sound() == peer.copy.upto();
        sound.then(|| Coverage { name: name.clone(), start, upto: peer.copy.upto(), long_ms })
    }

    /// Passes on what the asker lacks of one that answers neither.
    pub(super) fn pass_on(&mut self, now: f64, to: &Arc<str>, of: &Arc<str>, start: u64, read: u64) {
        let missing = |peer: &&Peer| peer.here() && peer.who.start == start && now - peer.heard > MISSING;
        let Some(peer) = self.peers.get(of).filter(missing) else { return };
        let author = peer.who.clone();
        let Some((upto, facts)) =
            message::piece(read, peer.copy.upto(), peer.copy.after(read), MAX_BODY_BYTES - 64)
        else {
            return;
        };
        let end = peer.copy.end();
        self.send(now, to, &Body::Relayed { author, from: read, upto, end, facts }, true);
    }

    /// Whether all who go by an older copy know of a fact, or go by it no more.
    pub(super) fn all_know(&mut self, now: f64, ticket: Ticket) -> bool {
        let Some(waiting) = self.waiting.get_mut(&ticket) else { return true };
        let awaited = waiting.awaited;
        // Who knows it, or whose lease is over, need not be looked at again: each is passed once.
        while let Some((name, until)) = waiting.lessees.last() {
            let knows = self.peers.get(name).is_none_or(|peer| !peer.here() || awaited.known_to(peer));
            if now < *until && !knows {
                return false;
            }
            waiting.lessees.pop();
        }
        true
    }

    pub(super) fn granted(
        &mut self,
        now: f64,
        name: &Arc<str>,
        question: u64,
        (upto, whom, lease_ms, long_ms): (u64, u64, u32, u32),
        covers: Vec<Coverage>,
    ) {
        if let Some(at) = self.seed_asked.iter().position(|(asked, _)| *asked == question) {
            // Who answers at a seed takes its place among those that count.
            if let Some((_, seed)) = self.seed_asked.remove(at) {
                if self.unmet.remove(&seed) {
                    if let Some(peer) = self.peers.get_mut(name) {
                        peer.counted = true;
                        peer.next_ask = now;
                    }
                }
            }
            return;
        }
        let seconds = |ms: u32| f64::from(ms) / 1_000.0;
        let own = self.terms.lease;
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(at) = peer.asked.iter().position(|(asked, _)| *asked == question) else { return };
        let Some((_, asked)) = peer.asked.remove(at) else { return };
        // Older questions are answered by this as well: only the newest counts for being missing.
        peer.asked.drain(..at);
        peer.contact = peer.contact.max(asked);
        peer.told = peer.told.max(upto);
        if lease_ms == 0 {
            return;
        }
        // [R2] From the moment of the question, by this one's own clock.
        let until = asked + seconds(lease_ms).min(own);
        peer.promised.push((upto, whom, until, asked + seconds(long_ms)));
        if peer.promised.len() > 8 {
            peer.promised.remove(0);
        }
        for Coverage { name: other, start, upto, long_ms } in covers {
            let fits = |p: &&mut Peer| p.who.start == start && p.here();
            if let Some(missing) = self.peers.get_mut(&other).filter(fits) {
                let long = asked + seconds(long_ms);
                missing.covers.insert(name.clone(), Covering { upto, whom, until, long });
                missing.told = missing.told.max(upto);
            }
        }
        self.count_leases(name);
    }

    pub(super) fn count_leases(&mut self, name: &Arc<str>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let (read, known) = (peer.copy.sound(), peer.whom);
        let (counts, waits): (Vec<_>, Vec<_>) = std::mem::take(&mut peer.promised)
            .into_iter()
            .partition(|(upto, whom, _, _)| read >= *upto && known >= *whom);
        peer.promised = waits;
        for (_, _, until, long) in counts {
            peer.met = true;
            peer.lease = peer.lease.max(until);
            // Only with what it had stated by then: what it answered alone before is no part of the promise.
            peer.long = peer.long.max(long);
            // Whom that one knows of is known here by now. [R4]
            (self.admitted, self.fresh) = (true, false);
        }
    }

    /// Whether a majority has been heard lately.
    pub(super) fn has_majority(&self, now: f64) -> bool {
        1 + self.here().filter(|p| p.counted && now - p.heard < HEARD).count() >= self.majority()
    }

    /// Whether writes may be answered without a majority: nobody has been promised otherwise. [R5]
    pub(super) fn free(&self, now: f64) -> bool {
        now >= self.free_at
    }

    /// Tells when a majority is lost for good, and when it is back.
    pub(super) fn notice_alone(&mut self, now: f64) {
        let alone = self.free(now) && !self.has_majority(now);
        if alone != self.alone {
            self.alone = alone;
            self.notices.push(Notice::WithoutMajority(alone));
        }
    }
}
