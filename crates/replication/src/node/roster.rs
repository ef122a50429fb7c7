//! The roster of instances: incoming messages, joins, ends, name conflicts and the shutdown of this instance.

use std::sync::Arc;

use super::*;

impl Node {
    /// Adds an instance, or a later start of one, to the roster: it was heard from directly, or reported by
    /// another instance.
    pub(super) fn add_instance(&mut self, now: f64, identity: &Identity) {
        if identity.name == self.identity.name {
            self.handle_name_conflict(now, identity);
            return;
        }
        if let Some(peer) = self.peers.get_mut(&identity.name) {
            if identity.start < peer.identity.start
                || (identity.start == peer.identity.start && !peer.is_active())
            {
                return;
            }
            if identity.start == peer.identity.start {
                peer.identity = identity.clone();
                return;
            }
            let start = peer.identity.start;
            self.end_instance(now, &identity.name, start, EndReason::Ended);
        } else if self.peers.len() >= MAX_INSTANCES {
            return;
        }
        let counted =
            self.peers.get(&identity.name).is_some_and(|previous| previous.counted) || self.never_admitted;
        let number = self.add_to_roster(now, identity);
        let mut peer = Peer::new(identity.clone(), now);
        (peer.roster_number, peer.next_roster_at) = (number, now + self.roster_delay());
        // [R4] A new instance counts once a majority knows of it. An instance that has just started counts
        // all that it hears of. A restarted instance keeps its place in the electorate.
        peer.counted = counted;
        if let Some(previous) = self.peers.insert(identity.name.clone(), peer) {
            self.roster_names.remove(&previous.roster_number);
        }
        self.next_tick = self.next_tick.min(now);
        self.complete_until = f64::NEG_INFINITY;
        self.flush_later(now);
        // [R3]
        let admission = self.issue_ticket(now, Awaited::RosterEntry(number), None);
        if let Some(peer) = self.peers.get_mut(&identity.name) {
            peer.admission = Some(admission);
        }
        self.notices.push(Notice::Joined(identity.clone()));
        if self.stores_records {
            self.records.push(crate::disk::Record::Seen(identity.clone()));
        }
        self.swim.announce_to(now, identity);
    }

    /// Gives an instance the next number on the roster.
    fn add_to_roster(&mut self, now: f64, identity: &Identity) -> u64 {
        let (before, wait) = (self.roster_upto, self.roster_delay());
        self.roster_upto += 1;
        self.roster_sum = self.roster_sum.wrapping_add(message::identity_hash(identity));
        self.roster_names.insert(self.roster_upto, identity.name.clone());
        for peer in self.peers.values_mut().filter(|peer| peer.received_roster >= before) {
            peer.next_roster_at = now + wait;
        }
        self.roster_upto
    }

    /// Returns the delay before peers are sent new roster entries by name (seconds). If many instances start
    /// together, each would name all others to all; within the delay the membership protocol spreads them,
    /// and equal digests show that it has.
    fn roster_delay(&self) -> f64 {
        match self.peers.len() {
            few if few <= SMALL_INSTALLATION => 0.0,
            many => ROSTER_DELAY + ROSTER_DELAY_PER_PEER * many as f64,
        }
    }

    /// Returns the digest of the roster.
    pub(super) fn roster_digest(&self) -> RosterDigest {
        RosterDigest { upto: self.roster_upto, sum: self.roster_sum }
    }

    /// Handles the roster digest of a peer: with equal sums both know the same instances.
    pub(super) fn compare_roster(&mut self, now: f64, name: &Arc<str>, theirs: RosterDigest) {
        let same = theirs.sum == self.roster_sum;
        if let Some(peer) = self.peers.get_mut(name).filter(|peer| same && peer.known_roster < theirs.upto) {
            peer.known_roster = theirs.upto;
            peer.ack_pending = true;
            self.flush_later(now);
            self.apply_grants(name);
            self.apply_acks(now, name);
        }
    }

    /// Sends a peer the entries of the roster that it does not know.
    pub(super) fn send_roster(&mut self, now: f64, name: &Arc<str>) {
        let last = self.roster_upto;
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.received_roster >= last
            || peer.last_heard_at == f64::NEG_INFINITY
            || now < peer.next_roster_at
        {
            return;
        }
        let from = peer.received_roster;
        peer.next_roster_at =
            now + if peer.unreachable { UNREACHABLE_RETRANSMIT_DELAY } else { MAX_RETRANSMIT_DELAY };
        let (mut instances, mut upto, mut used) = (Vec::new(), last, 32);
        let mut before = from;
        for (number, name) in self.roster_names.range(from + 1..) {
            let Some(peer) = self.peers.get(name).filter(|peer| peer.is_active()) else { continue };
            used += peer.identity.name.len() + peer.identity.zone.len() + 40;
            if used > MAX_BODY_BYTES {
                upto = before;
                break;
            }
            before = *number;
            instances.push(peer.identity.clone());
        }
        self.send(now, name, &Body::Roster { from, upto, instances }, true);
    }

    /// Handles roster entries from a peer.
    fn handle_roster(&mut self, now: f64, name: &Arc<str>, from: u64, upto: u64, instances: &[Identity]) {
        if self.peers.get(name).is_none_or(|peer| peer.known_roster < from) {
            return;
        }
        instances.iter().for_each(|identity| self.add_instance(now, identity));
        if let Some(peer) = self.peers.get_mut(name) {
            peer.known_roster = peer.known_roster.max(upto);
            peer.ack_pending = true;
        }
        self.flush_later(now);
        self.apply_grants(name);
        self.apply_acks(now, name);
    }

    /// Handles an identity with this instance's name. An earlier start is outdated information; a later start
    /// has taken over the name.
    pub(super) fn handle_name_conflict(&mut self, now: f64, identity: &Identity) {
        if identity.start == self.identity.start {
            return;
        }
        if identity.start > self.identity.start && !self.stepped_down {
            self.swim.resolve_name_conflict(now, identity);
            self.stepped_down = true;
            self.notices.push(Notice::Conflict(identity.address));
        }
    }

    /// Ends an instance, or an earlier start of it.
    pub(super) fn end_instance(&mut self, now: f64, name: &Arc<str>, start: u64, reason: EndReason) {
        // Evaluated first: what is known of the instance's log now decides how its writes are retained.
        let complete = self.log_is_complete(now, name);
        let Some(peer) =
            self.peers.get_mut(name).filter(|peer| peer.is_active() && peer.identity.start == start)
        else {
            return;
        };
        peer.ended = Some((reason, now));
        let copy = std::mem::take(&mut peer.copy);
        let identity = peer.identity.clone();
        // [R7] Writes that it may have answered and that have not been read here raise the floor. If its log
        // is completely known, that is limited to the sessions with writes in progress there; else it applies
        // to all sessions.
        let until_now = now + self.config.clock_error;
        let mut raise_floor = !complete;
        for (_, fact) in copy.facts() {
            if let Fact::Written { session, open, position } = fact {
                self.remove_mark(session, name);
                let position = if *open { Some(until_now) } else { *position };
                if let (true, Some(position)) = (complete, position) {
                    raise_floor |= !self.retain_mark(now, session.clone(), position);
                }
            }
        }
        for reports in self.member_statuses.values_mut() {
            reports.remove(name);
        }
        for reports in self.claims.values_mut() {
            reports.remove(name);
        }
        self.member_statuses.retain(|_, reports| !reports.is_empty());
        self.claims.retain(|_, reports| !reports.is_empty());
        if let Some(floor) = copy.floor() {
            self.floor = self.floor.max(floor);
        }
        if raise_floor {
            self.floor = self.floor.max(until_now);
        }
        self.complete_until = f64::NEG_INFINITY;
        self.views.remove_observer(name);
        self.changed = true;
        self.roster_sum = self.roster_sum.wrapping_sub(message::identity_hash(&identity));
        self.publish(now, Fact::Ended { identity: identity.clone() });
        if self.stores_records {
            self.records.push(crate::disk::Record::Ended(identity.clone()));
        }
        self.notices.push(if reason == EndReason::Left {
            Notice::Left(identity)
        } else {
            Notice::Ended(identity, !raise_floor)
        });
    }

    /// Retains a write mark of an ended instance; returns false if there is no space for it.
    pub(super) fn retain_mark(&mut self, now: f64, session: Arc<str>, position: f64) -> bool {
        while self.ended_marks_expiry.front().is_some_and(|(until, _)| *until <= now) {
            let Some((until, expired)) = self.ended_marks_expiry.pop_front() else { break };
            if self.ended_marks.get(&expired).is_some_and(|(_, expires_at)| *expires_at <= until) {
                self.ended_marks.remove(&expired);
            }
        }
        if self.ended_marks.len() >= MAX_ENDED_MARKS {
            return false;
        }
        let until = now + WRITE_MARK_RETENTION;
        let mark = self.ended_marks.entry(session.clone()).or_insert((position, until));
        *mark = (mark.0.max(position), until);
        self.ended_marks_expiry.push_back((until, session));
        true
    }

    /// Removes the write mark of an author for a session.
    pub(super) fn remove_mark(&mut self, session: &Arc<str>, author: &Arc<str>) {
        if let Some(marks) = self.write_marks.get_mut(session) {
            marks.retain(|(name, _)| name != author);
            if marks.is_empty() {
                self.write_marks.remove(session);
            }
        }
    }

    /// Returns true if the number of a message is new; adds the sender to the roster.
    pub(super) fn accept_header(&mut self, now: f64, header: &Header) -> bool {
        if header.from.name == self.identity.name {
            self.handle_name_conflict(now, &header.from);
            return false;
        }
        let earlier = self.peers.get(&header.from.name).is_some_and(|peer| {
            header.from.start < peer.identity.start
                || (header.from.start == peer.identity.start && !peer.is_active())
        });
        if earlier {
            // An instance that was declared ended but is running has to be notified, so that it continues
            // under a new start.
            let ended = |p: &&Peer| {
                p.identity.start == header.from.start
                    && p.ended.is_some_and(|(reason, _)| reason == EndReason::Ended)
            };
            if self.peers.get(&header.from.name).filter(ended).is_some() && header.number.is_multiple_of(4) {
                let name = header.from.name.clone();
                self.send(now, &name, &Body::Ended { start: header.from.start }, true);
            }
            return false;
        }
        self.add_instance(now, &header.from);
        let Some(peer) = self.peers.get_mut(&header.from.name) else { return false };
        if !peer.accept_number(header.number) {
            return false;
        }
        peer.last_heard_at = now;
        if std::mem::take(&mut peer.unreachable) {
            self.notices.push(Notice::Reachable(header.from.name.clone()));
            if let Some(peer) = self.peers.get_mut(&header.from.name) {
                (peer.retransmit_delay, peer.next_request_at) =
                    (RETRANSMIT_DELAY, peer.next_request_at.min(now));
            }
        }
        true
    }

    pub(super) fn handle_message(&mut self, now: f64, header: Header, body: Body) {
        // A seed that is this instance's own address answers no request.
        if header.from.name == self.identity.name && header.from.start == self.identity.start {
            if let Body::LeaseRequest { request, .. } = body {
                if let Some((_, seed)) =
                    self.seed_requests.iter().find(|(number, _)| *number == request).copied()
                {
                    self.unanswered_seeds.remove(&seed);
                    self.admitted |= self.unanswered_seeds.is_empty() && self.peers.is_empty();
                }
            }
            return;
        }
        if (header.to != 0 && header.to != self.identity.start) || !self.accept_header(now, &header) {
            self.counts.replayed += 1;
            return;
        }
        let name = header.from.name.clone();
        match body {
            Body::LeaseRequest { request, read, roster, lease, unreachable } => {
                self.compare_roster(now, &name, roster);
                if header.to == self.identity.start {
                    self.record_ack(now, &name, read, roster.upto);
                }
                self.answer_request(now, &name, request, lease, &unreachable);
            }
            Body::LeaseGrant { request, upto, roster, lease_ms, majority_only_ms, coverage } => {
                self.compare_roster(now, &name, roster);
                self.handle_grant(
                    now,
                    &name,
                    request,
                    (upto, roster.upto, lease_ms, majority_only_ms),
                    coverage,
                );
            }
            Body::Roster { from, upto, instances } => self.handle_roster(now, &name, from, upto, &instances),
            Body::Push { from, upto, end, facts } => {
                self.apply_facts(now, &name, (from, upto, end), facts);
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.ack_pending = true;
                }
                self.flush_soon(now);
            }
            Body::Relayed { author, from, upto, end, facts } => {
                // Only for the known start, and only while this instance has no valid lease on that log itself.
                let usable =
                    |p: &Peer| p.identity.start == author.start && p.is_active() && now >= p.lease_until;
                if self.peers.get(&author.name).is_some_and(usable) {
                    self.apply_facts(now, &author.name, (from, upto, end), facts);
                }
            }
            Body::ReadAck { read, roster } => {
                self.compare_roster(now, &name, roster);
                self.record_ack(now, &name, read, roster.upto);
            }
            Body::Views { round, views, usage } => {
                let start = header.from.start;
                self.views.record(now, &name, start, round, views);
                self.views.record_usage(now, &name, start, round, usage);
            }
            Body::Swim(bytes) => self.swim.receive(now, &bytes),
            Body::Leave { upto } => {
                let complete = self.peers.get(&name).is_some_and(|peer| peer.copy.complete_upto() >= upto);
                // The leaving instance repeats this until its log has been read; if it exits without waiting,
                // the floor covers the rest.
                if complete {
                    let start = header.from.start;
                    if let Some(peer) = self.peers.get_mut(&name) {
                        peer.lease_until = f64::INFINITY;
                    }
                    let roster = self.roster_digest();
                    let read =
                        ReadProgress { acked_upto: upto, received_upto: upto, ..ReadProgress::default() };
                    self.send(now, &name, &Body::ReadAck { read, roster }, false);
                    self.end_instance(now, &name, start, EndReason::Left);
                }
            }
            Body::Ended { start } if start == self.identity.start => self.renew(now),
            Body::Ended { .. } | Body::Fetch { .. } => {}
        }
    }

    /// Continues under a new start after peers have declared this one ended. Its writes wait until peers know
    /// the new start.
    pub(super) fn renew(&mut self, now: f64) {
        self.roster_sum = self.roster_sum.wrapping_sub(message::identity_hash(&self.identity));
        self.identity.start += 1;
        self.roster_sum = self.roster_sum.wrapping_add(message::identity_hash(&self.identity));
        let own = Identity { renewal: 0, ..self.identity.clone() };
        self.swim = Swim::new(own, self.rng);
        (self.admitted, self.admit_by) = (false, now + self.config.lease);
        self.majority_required_until =
            self.majority_required_until.max(lessor_end(now, self.majority_only_time()));
        for peer in self.peers.values_mut() {
            (peer.acked_upto, peer.received_upto, peer.pushed_upto) = (0, 0, 0);
            (peer.acked_roster, peer.received_roster) = (0, 0);
            (peer.granted_until, peer.next_request_at) = (f64::NEG_INFINITY, now);
            peer.pending_acks.clear();
            peer.pending_requests.clear();
        }
        let until = lessor_end(now, self.config.lease);
        let lessees: Vec<(Arc<str>, f64)> =
            self.active_peers().map(|p| (p.identity.name.clone(), until)).collect();
        // All writes in progress are published again, since peers have dropped the facts of the earlier
        // start.
        let open: Vec<Arc<str>> = self.open_writes.keys().cloned().collect();
        for session in open {
            let position = self.own_mark(&Key::Written(session.clone())).position;
            let number = self.publish(now, Fact::Written { session: session.clone(), open: true, position });
            for pending in self.pending.values_mut().filter(|w| w.session.as_ref() == Some(&session)) {
                pending.awaited = Awaited::Fact(number);
                // Peers that knew the fact from the earlier start have to read it from this one.
                pending.lessees = lessees.clone();
            }
        }
        let known: Vec<Identity> = self.active_peers().map(|peer| peer.identity.clone()).collect();
        self.swim.announce_to_unknown(now, &known);
        self.notices.push(Notice::Renewed(self.identity.start));
        if self.stores_records {
            self.records.push(crate::disk::Record::Start(self.identity.start));
        }
    }

    /// Carries out the output of the membership protocol.
    pub(super) fn apply_membership_output(&mut self, now: f64) {
        let (datagrams, notices) = self.swim.take_output();
        for (to, bytes) in datagrams {
            let name = to.name.clone();
            if self.peers.contains_key(&name) {
                self.send(now, &name, &Body::Swim(bytes), false);
            }
        }
        for notice in notices {
            match notice {
                membership::Notice::Up(identity) => self.add_instance(now, &identity),
                membership::Notice::Down(identity) => self.notices.push(Notice::Suspected(identity.name)),
                membership::Notice::Rejoined => {}
                membership::Notice::Conflict => {}
            }
        }
    }

    /// Declares an instance ended for good on behalf of an operator: by its name, or by the address of a seed
    /// that never answered. Returns false if there is none.
    pub fn forget_instance(&mut self, now: f64, name: &str) -> bool {
        if let Some(seed) = name.parse().ok().filter(|seed| self.unanswered_seeds.contains(seed)) {
            self.unanswered_seeds.remove(&seed);
            return true;
        }
        match self.peers.get(name).filter(|peer| peer.is_active()) {
            Some(peer) => {
                let (name, start) = (peer.identity.name.clone(), peer.identity.start);
                self.end_instance(now, &name, start, EndReason::Ended);
                true
            }
            None => false,
        }
    }

    /// Announces to all peers that this instance shuts down after all its writes have been answered. To be
    /// called repeatedly until it returns true or the caller's time limit is over.
    pub fn leave(&mut self, now: f64) -> bool {
        self.begin_call(now);
        let upto = self.log.upto();
        let names: Vec<Arc<str>> = self.active_peers().map(|peer| peer.identity.name.clone()).collect();
        let mut all_read = true;
        for name in names {
            let lags = self.peers.get(&name).is_some_and(|peer| peer.acked_upto < upto && !peer.unreachable);
            all_read &= !lags;
            self.send(now, &name, &Body::Leave { upto }, false);
        }
        self.flush(now);
        if all_read {
            self.swim.leave(now);
        }
        all_read
    }
}
