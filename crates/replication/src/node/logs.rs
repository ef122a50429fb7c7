//! Replication of logs: pushes, acknowledgements, streams, and the sweep of expired facts.

use std::sync::Arc;

use super::*;

impl Node {
    /// Returns the peers whose logs are too far ahead to read by datagrams, with their addresses; the caller
    /// opens streams to them.
    pub fn streams_to_open(&mut self, now: f64) -> Vec<(Arc<str>, SocketAddr)> {
        let config = &self.config;
        let far_behind = |p: &&mut Peer| {
            p.is_active()
                && !p.has_stream
                && !p.unreachable
                && now - p.last_heard_at < UNREACHABLE_TIMEOUT
                && p.announced_upto > p.copy.upto() + MIN_FACTS_TO_STREAM
        };
        let mut all = Vec::new();
        for peer in self.peers.values_mut().filter(far_behind) {
            peer.has_stream = true;
            let to = config.routes.get(&peer.identity.name).copied().unwrap_or(peer.identity.address);
            all.push((peer.identity.name.clone(), to));
        }
        all
    }

    /// Returns the first message on a stream to a peer: it requests the log after what has been read.
    pub fn stream_request(&mut self, name: &str) -> Option<Vec<u8>> {
        let (start, from) = self.peers.get(name).map(|peer| (peer.identity.start, peer.copy.upto()))?;
        let header = self.next_header(start);
        Some(self.keys.seal(message::encode(&header, &Body::Fetch { from })))
    }

    /// The stream to a peer has ended; what was received is retained.
    pub fn stream_ended(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.has_stream = false;
        }
    }

    /// Parses the first message on a stream that a peer has opened: its name and the number after which it
    /// requests the log. Returns `None` if the message is not authentic or is no such request.
    pub fn parse_stream_request(&mut self, now: f64, bytes: &[u8]) -> Option<(Arc<str>, u64)> {
        let Some(opened) = self.keys.open(bytes) else {
            self.counts.forged += 1;
            return None;
        };
        let (header, body) = message::decode(opened)?;
        // A replayed request would make this instance send its log to a host that has no use for it.
        let valid = header.to == self.identity.start && self.accept_header(now, &header);
        match body {
            Some(Body::Fetch { from }) if valid => Some((header.from.name, from)),
            _ => None,
        }
    }

    /// Returns the next piece of the own log for a stream, and the last number that it covers. Returns `None`
    /// if the peer has the full log, or the byte budget is used up.
    pub fn stream_piece(&mut self, now: f64, name: &str, from: u64) -> Option<(Vec<u8>, u64)> {
        let start = self.peers.get(name).filter(|peer| peer.is_active())?.identity.start;
        if !self.take_from_budget(now, MAX_STREAM_MESSAGE_BYTES) {
            return None;
        }
        let room = MAX_STREAM_MESSAGE_BYTES - SEAL_BYTES - message::MAX_HEADER_BYTES;
        let (upto, facts) = message::piece(from, self.log.upto(), self.log.after(from), room)?;
        let header = self.next_header(start);
        let sealed =
            self.keys.seal(message::encode(&header, &Body::Push { from, upto, end: self.log.upto(), facts }));
        self.counts.sent_bytes += sealed.len() as u64;
        Some((sealed, upto))
    }

    /// Returns the highest number of the own log.
    pub fn upto(&self) -> u64 {
        self.log.upto()
    }

    /// Pushes new facts to peers that have not read them, and sends pending acknowledgements.
    pub fn flush(&mut self, now: f64) {
        (self.next_flush, self.last_flush_at) = (None, now);
        let (end, last) = (self.log.upto(), self.roster_upto);
        let needs_flush = |peer: &&Peer| {
            let roster_pending = peer.received_roster < last && now >= peer.next_roster_at;
            peer.received_upto < end
                || roster_pending
                || peer.admission.is_some()
                || peer.ack_pending
                || peer.ack_limit.is_some()
        };
        let names: Vec<Arc<str>> =
            self.active_peers().filter(needs_flush).map(|peer| peer.identity.name.clone()).collect();
        for name in names {
            self.admit(now, &name);
            self.push(now, &name);
            self.send_roster(now, &name);
            let roster = self.roster_digest();
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            if peer.ack_limit.is_some_and(|(until, _, _)| now >= until) {
                (peer.ack_limit, peer.ack_pending) = (None, true);
            }
            if std::mem::take(&mut peer.ack_pending) {
                let read = peer.read_progress(now);
                self.send(now, &name, &Body::ReadAck { read, roster }, false);
            }
        }
    }

    /// Flushes if the collection delay is over.
    pub fn flush_due(&mut self, now: f64) {
        if self.next_flush.is_some_and(|at| at <= now) {
            self.flush(now);
        }
    }

    /// Schedules a flush. Facts are collected for [`FLUSH_DELAY`], so that many writes share few datagrams.
    pub(super) fn flush_soon(&mut self, now: f64) {
        self.flush_by(now.max(self.last_flush_at + FLUSH_DELAY));
    }

    /// Schedules a flush after a roster change. In larger installations such changes are collected for
    /// longer, since many instances that start together each change the roster of all.
    pub(super) fn flush_later(&mut self, now: f64) {
        if self.peers.len() <= SMALL_INSTALLATION {
            self.flush_soon(now);
        } else {
            self.flush_by(now + ROSTER_FLUSH_DELAY);
        }
    }

    fn flush_by(&mut self, at: f64) {
        self.next_flush = Some(self.next_flush.map_or(at, |next| next.min(at)));
    }

    pub(super) fn push(&mut self, now: f64, name: &Arc<str>) {
        let end = self.log.upto();
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.received_upto >= end || peer.last_heard_at == f64::NEG_INFINITY {
            return;
        }
        // A silent peer is sent one piece at a time at long intervals; requests to it continue separately.
        let silent = peer.unreachable || now - peer.last_heard_at > 1.0;
        if peer.pushed_upto > peer.received_upto && now >= peer.pushed_at + peer.retransmit_delay {
            peer.retransmit_delay = (peer.retransmit_delay * 2.0).min(if silent {
                UNREACHABLE_RETRANSMIT_DELAY
            } else {
                MAX_RETRANSMIT_DELAY
            });
            peer.pushed_upto = peer.received_upto;
        } else if silent && now < peer.pushed_at + UNREACHABLE_RETRANSMIT_DELAY {
            return;
        }
        // A peer that lags far reads from a stream; one datagram at a time is enough here.
        let far_behind = end - peer.received_upto > MIN_FACTS_TO_STREAM;
        let window = if silent || far_behind { 1 } else { PUSH_WINDOW };
        let mut from = peer.pushed_upto.max(peer.received_upto);
        let mut sent = false;
        for _ in 0..window {
            let Some((upto, facts)) = message::piece(from, end, self.log.after(from), MAX_BODY_BYTES) else {
                break;
            };
            // New facts are sent at once; catch-up traffic is charged to the byte budget.
            let catching_up = end - from > MAX_LEASE_LAG;
            if !self.send(now, name, &Body::Push { from, upto, end, facts }, catching_up) {
                break;
            }
            (from, sent) = (upto, true);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.pushed_upto = from;
            if sent {
                peer.pushed_at = now;
            }
        }
    }

    /// Records how far a peer has read this instance's log.
    pub(super) fn record_ack(&mut self, now: f64, name: &Arc<str>, read: ReadProgress, required_roster: u64) {
        let (end, last) = (self.log.upto(), self.roster_upto);
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.received_roster = peer.received_roster.max(read.received_roster.min(last));
        if read.received_upto.min(end) > peer.received_upto {
            (peer.received_upto, peer.retransmit_delay) = (read.received_upto.min(end), RETRANSMIT_DELAY);
            peer.pushed_upto = peer.pushed_upto.max(peer.received_upto);
        }
        peer.pending_acks.push(PendingAck {
            log: read.acked_upto.min(end),
            roster: read.acked_roster.min(last),
            required_roster,
        });
        if peer.pending_acks.len() > 64 {
            peer.pending_acks.remove(0);
        }
        self.apply_acks(now, name);
    }

    /// Counts the acknowledgements of a peer once this instance knows the peer's roster of that time. [R4]
    pub(super) fn apply_acks(&mut self, now: f64, name: &Arc<str>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let known = peer.known_roster;
        let (mut acked_upto, mut acked_roster) = (peer.acked_upto, peer.acked_roster);
        peer.pending_acks.retain(|ack| {
            if known >= ack.required_roster {
                (acked_upto, acked_roster) = (acked_upto.max(ack.log), acked_roster.max(ack.roster));
            }
            known < ack.required_roster
        });
        if (acked_upto, acked_roster) == (peer.acked_upto, peer.acked_roster) {
            return;
        }
        let log_advanced = acked_upto > std::mem::replace(&mut peer.acked_upto, acked_upto);
        peer.acked_roster = acked_roster;
        if log_advanced {
            self.flush_soon(now);
        } else {
            self.flush_later(now);
        }
        self.extend_electorate();
    }

    /// Counts new instances for majorities, one after another, once a majority knows of each. [R4]
    pub(super) fn extend_electorate(&mut self) {
        while self.active_peers().any(|peer| !peer.counted) {
            let mut acked: Vec<u64> =
                self.active_peers().filter(|peer| peer.counted).map(|peer| peer.acked_roster).collect();
            acked.sort_unstable_by(|a, b| b.cmp(a));
            // This instance knows every entry of its own roster.
            let others = self.majority() - 1;
            let Some(known_to_majority) =
                others.checked_sub(1).map_or(Some(u64::MAX), |last| acked.get(last).copied())
            else {
                return;
            };
            let known = |peer: &&mut Peer| {
                peer.is_active() && !peer.counted && peer.roster_number <= known_to_majority
            };
            let Some(peer) = self.peers.values_mut().find(known) else { return };
            peer.counted = true;
        }
    }

    /// Applies facts of a peer's log.
    pub(super) fn apply_facts(
        &mut self,
        now: f64,
        name: &Arc<str>,
        (from, upto, end): (u64, u64, u64),
        facts: message::Facts,
    ) {
        let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.is_active()) else { return };
        peer.announced_upto = peer.announced_upto.max(end);
        let mut changed = BTreeSet::new();
        let mut copy = std::mem::take(&mut peer.copy);
        let applied = copy.apply((from, upto, end), message::facts(facts), |key| {
            changed.insert(key);
        });
        if let Some(floor) = copy.floor() {
            self.floor = self.floor.max(floor);
        }
        let (mut ended, mut claims_changed) = (Vec::new(), false);
        for key in &changed {
            match (key, copy.get(key)) {
                (Key::Written(session), Some(Fact::Written { open, position, .. })) => {
                    let mark = WriteMark { open: *open, position: *position };
                    self.remove_mark(session, name);
                    self.write_marks.entry(session.clone()).or_default().push((name.clone(), mark));
                }
                (Key::Written(session), _) => self.remove_mark(session, name),
                (Key::Ended(_), Some(Fact::Ended { identity })) => ended.push(identity.clone()),
                (Key::MemberStatus(member), fact) => {
                    let report = match fact {
                        Some(Fact::MemberStatus { since, source, version, status, .. }) => {
                            Some(MergedStatus::from_list(*source, *since, *version, *status))
                        }
                        _ => None,
                    };
                    set_report(&mut self.member_statuses, member.clone(), name, report);
                    self.changed = true;
                }
                (Key::Role(group), fact) => {
                    let report = match fact {
                        Some(Fact::Role { member, position, .. }) => {
                            Some(PrimaryClaim::new(member.clone(), *position))
                        }
                        _ => None,
                    };
                    set_report(&mut self.claims, *group, name, report);
                    (self.changed, claims_changed) = (true, true);
                }
                _ => {}
            }
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.copy = copy;
        }
        for identity in ended {
            if identity.name == self.identity.name && identity.start == self.identity.start {
                self.renew(now);
            } else if identity.name != self.identity.name {
                let earlier =
                    self.peers.get(&identity.name).is_some_and(|peer| peer.identity.start <= identity.start);
                if earlier {
                    let start = self.peers.get(&identity.name).map_or(0, |peer| peer.identity.start);
                    self.end_instance(now, &identity.name, start, EndReason::Ended);
                }
            }
        }
        if applied {
            self.apply_grants(name);
            self.apply_acks(now, name);
        }
        if claims_changed {
            self.notice_conflicts();
        }
    }

    /// Adds a notice for each group in which two members claim to be the primary.
    pub(super) fn notice_conflicts(&mut self) {
        for (group, claim) in self.primary_claims() {
            if let [(first, _), (second, _), ..] = claim.all()[..] {
                let notice = Notice::TwoPrimaries(group, first.clone(), second.clone());
                if !self.notices.contains(&notice) {
                    self.notices.push(notice);
                }
            }
        }
    }

    /// Removes expired facts: sessions are no longer published, facts that still hold are published again.
    pub(super) fn sweep(&mut self, now: f64) {
        self.views.expire(now);
        let known: Vec<Identity> = self.active_peers().map(|peer| peer.identity.clone()).collect();
        self.swim.announce_to_unknown(now, &known);
        let mut position = f64::NEG_INFINITY;
        let mut below = 0;
        while let Some((number, at)) = self.published.front().copied() {
            let crowded = self.log.len() > MAX_SESSIONS + MAX_INSTANCES;
            if now - at < WRITE_MARK_RETENTION && !crowded {
                break;
            }
            self.published.pop_front();
            let fact =
                self.log.after(number - 1).next().filter(|(n, _)| *n == number).map(|(_, f)| f.clone());
            below = number;
            match fact {
                Some(Fact::Written { open: false, position: written, .. }) => {
                    position = written.map_or(position, |written| position.max(written));
                }
                Some(Fact::MemberStatus { status: MemberStatus::Serving, .. })
                | Some(Fact::Floor { .. })
                | None => {}
                Some(Fact::Ended { identity }) if !self.is_listed(now, &identity.name) => {}
                Some(fact) => {
                    self.publish(now, fact);
                }
            }
        }
        if below > 0 {
            let known = self.log.floor().unwrap_or(f64::NEG_INFINITY);
            self.publish(now, Fact::Floor { below, position: position.max(known) });
            self.floor = self.floor.max(position);
        }
        let old: Vec<Arc<str>> = self
            .peers
            .values()
            .filter(|peer| peer.ended.is_some_and(|(_, at)| now - at > ENDED_RETENTION))
            .map(|peer| peer.identity.name.clone())
            .collect();
        for name in old {
            if let Some(peer) = self.peers.remove(&name) {
                self.roster_names.remove(&peer.roster_number);
            }
        }
    }

    pub(super) fn is_listed(&self, now: f64, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.ended.is_some_and(|(_, at)| now - at <= ENDED_RETENTION))
    }
}
