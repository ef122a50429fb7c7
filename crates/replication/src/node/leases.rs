//! Leases on logs: requests, grants, coverage of unreachable instances, majorities.

use std::sync::Arc;

use super::*;

impl Node {
    /// Returns why reads of sessions may not rely on the logs known here; `None` if they may.
    pub(super) fn incomplete_reason(&mut self, now: f64) -> Option<PrimaryReason> {
        if now < self.complete_until {
            return None;
        }
        let reason = self.check_complete(now);
        let complete = reason.is_none();
        if complete != self.was_complete {
            self.was_complete = complete;
            self.notices.push(Notice::Complete(complete));
        }
        reason
    }

    pub(super) fn check_complete(&mut self, now: f64) -> Option<PrimaryReason> {
        if !self.unanswered_seeds.is_empty() {
            return Some(PrimaryReason::SeedUnanswered);
        }
        let mut until = f64::INFINITY;
        for peer in self.active_peers() {
            if now < peer.lease_until {
                until = until.min(peer.lease_until);
                continue;
            }
            if !self.is_covered(now, peer) {
                return Some(if peer.unreachable {
                    PrimaryReason::Unreachable
                } else {
                    PrimaryReason::CatchingUp
                });
            }
            let ends = peer
                .coverage
                .values()
                .flat_map(|cover| [cover.until, cover.majority_only_until])
                .chain([peer.majority_only_until]);
            until = ends.filter(|end| *end > now).fold(until, f64::min);
        }
        // The result is valid until the first of these leases or promises ends.
        self.complete_until = until;
        None
    }

    /// Returns true if all that an instance can have answered by now is known here: its own lease is valid,
    /// or all instances with a valid lease cover it.
    pub(super) fn log_is_complete(&self, now: f64, name: &str) -> bool {
        let Some(peer) = self.peers.get(name) else { return true };
        now < peer.lease_until || self.is_covered(now, peer)
    }

    /// Returns true if every instance with a valid lease covers the unreachable one, these instances are a
    /// majority, and the unreachable instance still answers no write without a majority. [R3]
    pub(crate) fn is_covered(&self, now: f64, unreachable: &Peer) -> bool {
        if !unreachable.has_granted || !self.unanswered_seeds.is_empty() {
            return false;
        }
        let (mut without_lease, mut total, mut majority_only_until) = (0, 1, unreachable.majority_only_until);
        for other in self.active_peers() {
            total += 1;
            if now >= other.lease_until {
                without_lease += 1;
                continue;
            }
            // The roster of the covering instance has to be known here, so that instances that only the
            // unreachable one may have announced are known too. [R4]
            let is_valid = |cover: &&PeerCoverage| {
                now < cover.until
                    && unreachable.copy.complete_upto() >= cover.upto
                    && other.known_roster >= cover.roster
            };
            match unreachable.coverage.get(&other.identity.name).filter(is_valid) {
                Some(cover) => majority_only_until = majority_only_until.max(cover.majority_only_until),
                None => return false,
            }
        }
        2 * without_lease < total && now < majority_only_until
    }

    /// Admits a peer once all lessees of this instance know of it, or their leases have ended.
    pub(super) fn admit(&mut self, now: f64, name: &Arc<str>) {
        let Some(ticket) = self.peers.get(name).and_then(|peer| peer.admission) else { return };
        if self.known_to_lessees(now, ticket) {
            self.pending.remove(&ticket);
            if let Some(peer) = self.peers.get_mut(name) {
                (peer.admission, peer.ack_pending) = (None, true);
            }
        }
    }

    pub(super) fn request_lease(&mut self, now: f64, name: &Arc<str>) {
        self.admit(now, name);
        let jitter = 0.85 + 0.3 * self.random();
        let (lease, count) = (self.config.lease, self.peers.len() as f64);
        let wants_lease = now - self.last_read_at < READ_ACTIVITY_TIMEOUT || !self.admitted;
        // Leases that end soon: coverage is requested before they end, in case the lessor does not answer.
        let unreachable: Vec<(Arc<str>, u64, u64)> = self
            .active_peers()
            .filter(|p| {
                wants_lease && p.identity.name != *name && p.has_granted && p.lease_until - now < lease * 0.6
            })
            .map(|p| (p.identity.name.clone(), p.identity.start, p.copy.upto()))
            .take(MAX_UNREACHABLE + 1)
            .collect();
        let unreachable = if unreachable.len() > MAX_UNREACHABLE { Vec::new() } else { unreachable };
        self.last_request += 1;
        let (request, roster) = (self.last_request, self.roster_digest());
        let Some(peer) = self.peers.get_mut(name) else { return };
        let interval = (lease / REQUESTS_PER_LEASE).max(count / MAX_REQUESTS_PER_S);
        // A peer that has been silent for ten leases, and at least 10 s, is asked at the idle interval.
        let long_silent = peer.last_heard_at.is_finite() && now - peer.last_heard_at > 10.0 * lease.max(1.0);
        peer.next_request_at =
            now + jitter * if wants_lease && !long_silent { interval } else { IDLE_REQUEST_INTERVAL };
        peer.pending_requests.push_back((request, now));
        if peer.pending_requests.len() > 32 {
            peer.pending_requests.pop_front();
        }
        let silent = peer.last_heard_at.is_finite() && now - peer.last_heard_at > UNREACHABLE_TIMEOUT;
        if silent && !long_silent && peer.pending_requests.len() > 1 {
            peer.next_request_at = peer
                .next_request_at
                .min(now + jitter * REQUEST_RETRY_INTERVAL.max(count / MAX_REQUESTS_PER_S));
        }
        if !peer.unreachable && silent && peer.pending_requests.len() > MAX_UNANSWERED {
            peer.unreachable = true;
            self.notices.push(Notice::Unreachable(name.clone()));
        }
        let Some(peer) = self.peers.get(name) else { return };
        let read = peer.read_progress(now);
        self.send(
            now,
            name,
            &Body::LeaseRequest { request, read, roster, lease: wants_lease, unreachable },
            false,
        );
    }

    pub(super) fn answer_request(
        &mut self,
        now: f64,
        name: &Arc<str>,
        request: u64,
        wants_lease: bool,
        unreachable: &[(Arc<str>, u64, u64)],
    ) {
        let upto = self.log.upto();
        self.admit(now, name);
        let roster = self.roster_digest();
        let admitted = self.peers.get(name).is_some_and(|peer| peer.admission.is_none());
        let lag = self.peers.get(name).map_or(u64::MAX, |peer| upto - peer.acked_upto.min(upto));
        let grants = wants_lease && admitted && lag <= MAX_LEASE_LAG && !self.stepped_down;
        // [R5] Without a majority nothing is promised beyond the lease: no peer could rely on it.
        let majority_only = if self.has_majority(now) { self.majority_only_time() } else { 0.0 };
        let duration = self.config.lease;
        let mut coverage = Vec::new();
        if grants {
            let until = lessor_end(now, duration);
            self.majority_required_until = self.majority_required_until.max(lessor_end(now, majority_only));
            if let Some(peer) = self.peers.get_mut(name) {
                peer.granted_until = peer.granted_until.max(until);
            }
            for (other, start, read) in unreachable.iter().take(MAX_UNREACHABLE) {
                coverage.extend(self.cover(now, other, *start, until));
                self.relay(now, name, other, *start, *read);
            }
        }
        let millis = |s: f64| (s * 1_000.0).clamp(0.0, f64::from(u32::MAX)) as u32;
        let lease_ms = if grants { millis(duration) } else { 0 };
        let body = Body::LeaseGrant {
            request,
            upto,
            roster,
            lease_ms,
            majority_only_ms: millis(majority_only),
            coverage,
        };
        self.send(now, name, &body, false);
    }

    /// Reports how far the log of an instance that does not answer here either has been read. As long as the
    /// requester may rely on that, no further facts of that log are acknowledged. [R3]
    pub(super) fn cover(&mut self, now: f64, name: &Arc<str>, start: u64, until: f64) -> Option<Coverage> {
        let peer =
            self.peers.get_mut(name).filter(|peer| peer.is_active() && peer.identity.start == start)?;
        // An instance that has never granted a lease here may have published facts that are unknown here.
        if !peer.has_granted {
            return None;
        }
        if now - peer.last_heard_at > UNREACHABLE_TIMEOUT / 2.0 && peer.pending_requests.is_empty() {
            peer.next_request_at = now;
        }
        let unanswered =
            peer.pending_requests.front().is_some_and(|(_, at)| now - at > UNREACHABLE_TIMEOUT * 2.0 / 3.0);
        if now - peer.last_heard_at <= UNREACHABLE_TIMEOUT || !unanswered {
            return None;
        }
        let (upto, roster) = peer.ackable_upto(now);
        let limit_until = peer.ack_limit.map_or(until, |(current, _, _)| current.max(until));
        peer.ack_limit = Some((limit_until, upto, roster));
        let majority_only_ms = ((peer.majority_only_until - now).max(0.0) * 1_000.0) as u32;
        // An incomplete copy does not show up to which number it is complete.
        let complete = peer.copy.complete_upto() == peer.copy.upto();
        complete.then(|| Coverage { name: name.clone(), start, upto: peer.copy.upto(), majority_only_ms })
    }

    /// Relays facts that the requester lacks of an instance that answers neither.
    pub(super) fn relay(&mut self, now: f64, to: &Arc<str>, author_name: &Arc<str>, start: u64, read: u64) {
        let unreachable = |peer: &&Peer| {
            peer.is_active() && peer.identity.start == start && now - peer.last_heard_at > UNREACHABLE_TIMEOUT
        };
        let Some(peer) = self.peers.get(author_name).filter(unreachable) else { return };
        let author = peer.identity.clone();
        let Some((upto, facts)) =
            message::piece(read, peer.copy.upto(), peer.copy.after(read), MAX_BODY_BYTES - 64)
        else {
            return;
        };
        let end = peer.copy.end();
        self.send(now, to, &Body::Relayed { author, from: read, upto, end, facts }, true);
    }

    /// Returns true if every peer that relied on an older copy knows the entry, or its lease has ended.
    pub(super) fn known_to_lessees(&mut self, now: f64, ticket: Ticket) -> bool {
        let Some(pending) = self.pending.get_mut(&ticket) else { return true };
        let awaited = pending.awaited;
        // A peer that knows the entry, or whose lease has ended, is removed and not checked again.
        while let Some((name, until)) = pending.lessees.last() {
            let knows = self.peers.get(name).is_none_or(|peer| !peer.is_active() || awaited.known_to(peer));
            if now < *until && !knows {
                return false;
            }
            pending.lessees.pop();
        }
        true
    }

    pub(super) fn handle_grant(
        &mut self,
        now: f64,
        name: &Arc<str>,
        request: u64,
        (upto, roster, lease_ms, majority_only_ms): (u64, u64, u32, u32),
        coverage: Vec<Coverage>,
    ) {
        if let Some(at) = self.seed_requests.iter().position(|(number, _)| *number == request) {
            // The instance that answers at a seed's address replaces the seed in the electorate.
            if let Some((_, seed)) = self.seed_requests.remove(at) {
                if self.unanswered_seeds.remove(&seed) {
                    if let Some(peer) = self.peers.get_mut(name) {
                        peer.counted = true;
                        peer.next_request_at = now;
                    }
                }
            }
            return;
        }
        let seconds = |ms: u32| f64::from(ms) / 1_000.0;
        let own_lease = self.config.lease;
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(at) = peer.pending_requests.iter().position(|(number, _)| *number == request) else {
            return;
        };
        let Some((_, sent_at)) = peer.pending_requests.remove(at) else { return };
        // This also answers all older requests: only newer ones count for failure detection.
        peer.pending_requests.drain(..at);
        peer.confirmed_at = peer.confirmed_at.max(sent_at);
        peer.announced_upto = peer.announced_upto.max(upto);
        if lease_ms == 0 {
            return;
        }
        // [R2] The lease is counted from the time of the request, on this instance's own clock.
        let until = sent_at + seconds(lease_ms).min(own_lease);
        peer.pending_grants.push((upto, roster, until, sent_at + seconds(majority_only_ms)));
        if peer.pending_grants.len() > 8 {
            peer.pending_grants.remove(0);
        }
        for Coverage { name: other, start, upto, majority_only_ms } in coverage {
            let matches = |p: &&mut Peer| p.identity.start == start && p.is_active();
            if let Some(unreachable) = self.peers.get_mut(&other).filter(matches) {
                let majority_only_until = sent_at + seconds(majority_only_ms);
                unreachable
                    .coverage
                    .insert(name.clone(), PeerCoverage { upto, roster, until, majority_only_until });
                unreachable.announced_upto = unreachable.announced_upto.max(upto);
            }
        }
        self.apply_grants(name);
    }

    pub(super) fn apply_grants(&mut self, name: &Arc<str>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let (read, known) = (peer.copy.complete_upto(), peer.known_roster);
        let (effective, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut peer.pending_grants)
            .into_iter()
            .partition(|(upto, roster, _, _)| read >= *upto && known >= *roster);
        peer.pending_grants = pending;
        for (_, _, until, majority_only_until) in effective {
            peer.has_granted = true;
            peer.lease_until = peer.lease_until.max(until);
            // Valid only with the facts of that time: the promise does not cover writes that the peer had
            // answered without a majority before.
            peer.majority_only_until = peer.majority_only_until.max(majority_only_until);
            // All instances on the peer's roster are known here by now. [R4]
            (self.admitted, self.never_admitted) = (true, false);
        }
    }

    /// Returns true if a majority of the electorate has been active recently.
    pub(super) fn has_majority(&self, now: f64) -> bool {
        1 + self.active_peers().filter(|p| p.counted && now - p.last_heard_at < PEER_ACTIVITY_TIMEOUT).count()
            >= self.majority()
    }

    /// Returns true if writes may be answered without a majority: no promise to a peer is valid any more.
    /// [R5]
    pub(super) fn needs_no_majority(&self, now: f64) -> bool {
        now >= self.majority_required_until
    }

    /// Adds a notice when writes begin to be answered without a majority, and when a majority is back.
    pub(super) fn notice_majority(&mut self, now: f64) {
        let without_majority = self.needs_no_majority(now) && !self.has_majority(now);
        if without_majority != self.without_majority {
            self.without_majority = without_majority;
            self.notices.push(Notice::WithoutMajority(without_majority));
        }
    }
}
