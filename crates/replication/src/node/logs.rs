//! Logs on their way: what is pushed, read, acknowledged, streamed, and swept once it has aged.

use std::sync::Arc;

use super::*;

impl Node {
    /// Instances whose logs are better read from a stream than by datagrams, and where they are.
    pub fn streams_to_open(&mut self, now: f64) -> Vec<(Arc<str>, SocketAddr)> {
        let terms = &self.terms;
        let far = |p: &&mut Peer| {
            p.here()
                && !p.streams
                && !p.missing
                && now - p.heard < MISSING
                && p.told > p.copy.upto() + MIN_FACTS_TO_STREAM
        };
        let mut all = Vec::new();
        for peer in self.peers.values_mut().filter(far) {
            peer.streams = true;
            let to = terms.routes.get(&peer.who.name).copied().unwrap_or(peer.who.address);
            all.push((peer.who.name.clone(), to));
        }
        all
    }

    /// The first message on a stream to an instance: it goes on from what has been read.
    pub fn stream_request(&mut self, name: &str) -> Option<Vec<u8>> {
        let (start, from) = self.peers.get(name).map(|peer| (peer.who.start, peer.copy.upto()))?;
        let head = self.head(start);
        Some(self.keys.seal(message::encode(&head, &Body::Fetch { from })))
    }

    /// The stream to an instance has ended; what came of it stays.
    pub fn stream_ended(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.streams = false;
        }
    }

    /// A message on a stream that another has opened: from which number on it wants the log. None where it is not
    /// authentic, or asks for something else.
    pub fn parse_stream_request(&mut self, now: f64, bytes: &[u8]) -> Option<(Arc<str>, u64)> {
        let Some(opened) = self.keys.open(bytes) else {
            self.counts.forged += 1;
            return None;
        };
        let (head, body) = message::decode(opened)?;
        // A replayed one would make this one write its log to a stranger who can't make use of it.
        let fresh = head.to == self.me.start && self.numbered(now, &head);
        match body {
            Some(Body::Fetch { from }) if fresh => Some((head.from.name, from)),
            _ => None,
        }
    }

    /// The next piece of the own log for a stream, and up to which number it goes; none where it has all, or where the
    /// bound of bytes has no room for now.
    pub fn stream_piece(&mut self, now: f64, name: &str, from: u64) -> Option<(Vec<u8>, u64)> {
        let start = self.peers.get(name).filter(|peer| peer.here())?.who.start;
        if !self.room(now, MAX_STREAM_MESSAGE_BYTES) {
            return None;
        }
        let room = MAX_STREAM_MESSAGE_BYTES - SEAL_BYTES - message::MAX_HEADER_BYTES;
        let (upto, facts) = message::piece(from, self.log.upto(), self.log.after(from), room)?;
        let head = self.head(start);
        let sealed =
            self.keys.seal(message::encode(&head, &Body::Push { from, upto, end: self.log.upto(), facts }));
        self.counts.sent_bytes += sealed.len() as u64;
        Some((sealed, upto))
    }

    /// The highest number of the own log.
    pub fn upto(&self) -> u64 {
        self.log.upto()
    }

    /// Pushes what is new to those who have not read it, and says how far they have been read.
    pub fn flush(&mut self, now: f64) {
        (self.next_flush, self.flushed) = (None, now);
        let (end, last) = (self.log.upto(), self.roster);
        let wants = |peer: &&Peer| {
            let untold = peer.met_got < last && now >= peer.tell_whom;
            peer.got < end || untold || peer.admission.is_some() || peer.owed || peer.held.is_some()
        };
        let names: Vec<Arc<str>> = self.here().filter(wants).map(|peer| peer.who.name.clone()).collect();
        for name in names {
            self.admit(now, &name);
            self.push(now, &name);
            self.tell_whom(now, &name);
            let own = self.whom();
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            if peer.held.is_some_and(|(until, _, _)| now >= until) {
                (peer.held, peer.owed) = (None, true);
            }
            if std::mem::take(&mut peer.owed) {
                let read = peer.reading(now);
                self.send(now, &name, &Body::ReadAck { read, own }, false);
            }
        }
    }

    /// Pushes what has gathered for long enough.
    pub fn flush_due(&mut self, now: f64) {
        if self.next_flush.is_some_and(|at| at <= now) {
            self.flush(now);
        }
    }

    /// Facts gather for a moment, so that many writes go in few datagrams.
    pub(super) fn flush_soon(&mut self, now: f64) {
        self.flush_by(now.max(self.flushed + GATHER));
    }

    /// Word of who is there may gather for longer among many: where many start together each changes what all know.
    pub(super) fn flush_later(&mut self, now: f64) {
        if self.peers.len() <= FEW {
            self.flush_soon(now);
        } else {
            self.flush_by(now + GATHER_WHOM);
        }
    }

    fn flush_by(&mut self, at: f64) {
        self.next_flush = Some(self.next_flush.map_or(at, |next| next.min(at)));
    }

    pub(super) fn push(&mut self, now: f64, name: &Arc<str>) {
        let end = self.log.upto();
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.got >= end || peer.heard == f64::NEG_INFINITY {
            return;
        }
        // To one that does not answer a piece is sent now and then; questions go on beside it.
        let lost = peer.missing || now - peer.heard > 1.0;
        if peer.pushed > peer.got && now >= peer.pushed_at + peer.again {
            peer.again = (peer.again * 2.0).min(if lost { AGAIN_LOST } else { AGAIN_MOST });
            peer.pushed = peer.got;
        } else if lost && now < peer.pushed_at + AGAIN_LOST {
            return;
        }
        // Far behind: it reads from a stream, and is asked of nothing here but what keeps a lease.
        let far = end - peer.got > MIN_FACTS_TO_STREAM;
        let window = if lost || far { 1 } else { WINDOW };
        let mut from = peer.pushed.max(peer.got);
        let mut sent = false;
        for _ in 0..window {
            let Some((upto, facts)) = message::piece(from, end, self.log.after(from), MAX_BODY_BYTES) else {
                break;
            };
            // What is strict and new goes at once; what is caught up with keeps to the bound.
            let old = end - from > LEASE_BEHIND;
            if !self.send(now, name, &Body::Push { from, upto, end, facts }, old) {
                break;
            }
            (from, sent) = (upto, true);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.pushed = from;
            if sent {
                peer.pushed_at = now;
            }
        }
    }

    /// Another has read this one's log so far.
    pub(super) fn has_read(&mut self, now: f64, name: &Arc<str>, read: ReadProgress, knew: u64) {
        let (end, last) = (self.log.upto(), self.roster);
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.met_got = peer.met_got.max(read.met.min(last));
        if read.got.min(end) > peer.got {
            (peer.got, peer.again) = (read.got.min(end), AGAIN);
            peer.pushed = peer.pushed.max(peer.got);
        }
        peer.claims.push(Claimed { sound: read.sound.min(end), whom: read.whom.min(last), knew });
        if peer.claims.len() > 64 {
            peer.claims.remove(0);
        }
        self.count_reads(now, name);
    }

    /// What another says to have read counts once this one knows whom that one knows of. [R4]
    pub(super) fn count_reads(&mut self, now: f64, name: &Arc<str>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        let known = peer.whom;
        let (mut read, mut knows) = (peer.read, peer.knows);
        peer.claims.retain(|claim| {
            if known >= claim.knew {
                (read, knows) = (read.max(claim.sound), knows.max(claim.whom));
            }
            known < claim.knew
        });
        if (read, knows) == (peer.read, peer.knows) {
            return;
        }
        let reads = read > std::mem::replace(&mut peer.read, read);
        peer.knows = knows;
        if reads {
            self.flush_soon(now);
        } else {
            self.flush_later(now);
        }
        self.count_joined();
    }

    /// Who has joined counts for majorities once one knows of him, one after another. [R4]
    pub(super) fn count_joined(&mut self) {
        while self.here().any(|peer| !peer.counted) {
            let mut knows: Vec<u64> =
                self.here().filter(|peer| peer.counted).map(|peer| peer.knows).collect();
            knows.sort_unstable_by(|a, b| b.cmp(a));
            // This one knows them all.
            let others = self.majority() - 1;
            let Some(most) = others.checked_sub(1).map_or(Some(u64::MAX), |last| knows.get(last).copied())
            else {
                return;
            };
            let known = |peer: &&mut Peer| peer.here() && !peer.counted && peer.place <= most;
            let Some(peer) = self.peers.values_mut().find(known) else { return };
            peer.counted = true;
        }
    }

    /// Takes in facts of another's log.
    pub(super) fn read(
        &mut self,
        now: f64,
        name: &Arc<str>,
        (from, upto, end): (u64, u64, u64),
        facts: message::Facts,
    ) {
        let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.here()) else { return };
        peer.told = peer.told.max(end);
        let mut changed = BTreeSet::new();
        let mut copy = std::mem::take(&mut peer.copy);
        let taken = copy.take((from, upto, end), message::facts(facts), |key| {
            changed.insert(key);
        });
        if let Some(floor) = copy.floor() {
            self.floor = self.floor.max(floor);
        }
        let (mut over, mut roles) = (Vec::new(), false);
        for key in &changed {
            match (key, copy.get(key)) {
                (Key::Written(session), Some(Fact::Written { open, position, .. })) => {
                    let mark = WriteMark { open: *open, position: *position };
                    self.unlist(session, name);
                    self.sessions.entry(session.clone()).or_default().push((name.clone(), mark));
                }
                (Key::Written(session), _) => self.unlist(session, name),
                (Key::Ended(_), Some(Fact::Ended { who })) => over.push(who.clone()),
                (Key::MemberStatus(member), fact) => {
                    let word = match fact {
                        Some(Fact::MemberStatus { since, source, version, stand, .. }) => {
                            Some(MergedStatus::of(*source, *since, *version, *stand))
                        }
                        _ => None,
                    };
                    place(&mut self.standings, member.clone(), name, word);
                    self.news = true;
                }
                (Key::Role(group), fact) => {
                    let word = match fact {
                        Some(Fact::Role { member, position, .. }) => {
                            Some(PrimaryClaim::of(member.clone(), *position))
                        }
                        _ => None,
                    };
                    place(&mut self.roles, *group, name, word);
                    (self.news, roles) = (true, true);
                }
                _ => {}
            }
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.copy = copy;
        }
        for who in over {
            if who.name == self.me.name && who.start == self.me.start {
                self.renew(now);
            } else if who.name != self.me.name {
                let earlier = self.peers.get(&who.name).is_some_and(|peer| peer.who.start <= who.start);
                if earlier {
                    let start = self.peers.get(&who.name).map_or(0, |peer| peer.who.start);
                    self.end(now, &who.name, start, Over::Ended);
                }
            }
        }
        if taken {
            self.count_leases(name);
            self.count_reads(now, name);
        }
        if roles {
            self.conflicts();
        }
    }

    /// Two members that claim to be one group's primary are told of.
    pub(super) fn conflicts(&mut self) {
        for (group, claim) in self.primary_claims() {
            if let [(first, _), (second, _), ..] = claim.all()[..] {
                let notice = Notice::TwoPrimaries(group, first.clone(), second.clone());
                if !self.notices.contains(&notice) {
                    self.notices.push(notice);
                }
            }
        }
    }

    /// Facts that have aged: sessions are no longer stated, what still holds is stated anew.
    pub(super) fn sweep(&mut self, now: f64) {
        self.views.expire(now);
        let known: Vec<Identity> = self.here().map(|peer| peer.who.clone()).collect();
        self.swim.announce_to_unknown(now, &known);
        let mut position = f64::NEG_INFINITY;
        let mut below = 0;
        while let Some((number, at)) = self.stated.front().copied() {
            let crowded = self.log.len() > MAX_SESSIONS + MAX_INSTANCES;
            if now - at < LIFE && !crowded {
                break;
            }
            self.stated.pop_front();
            let fact =
                self.log.after(number - 1).next().filter(|(n, _)| *n == number).map(|(_, f)| f.clone());
            below = number;
            match fact {
                Some(Fact::Written { open: false, position: written, .. }) => {
                    position = written.map_or(position, |written| position.max(written));
                }
                Some(Fact::MemberStatus { stand: MemberStatus::Serving, .. })
                | Some(Fact::Floor { .. })
                | None => {}
                Some(Fact::Ended { who }) if !self.shown(now, &who.name) => {}
                Some(fact) => {
                    self.state(now, fact);
                }
            }
        }
        if below > 0 {
            let known = self.log.floor().unwrap_or(f64::NEG_INFINITY);
            self.state(now, Fact::Floor { below, position: position.max(known) });
            self.floor = self.floor.max(position);
        }
        let old: Vec<Arc<str>> = self
            .peers
            .values()
            .filter(|peer| peer.over.is_some_and(|(_, at)| now - at > SHOWN))
            .map(|peer| peer.who.name.clone())
            .collect();
        for name in old {
            if let Some(peer) = self.peers.remove(&name) {
                self.places.remove(&peer.place);
            }
        }
    }

    pub(super) fn shown(&self, now: f64, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.over.is_some_and(|(_, at)| now - at <= SHOWN))
    }
}
