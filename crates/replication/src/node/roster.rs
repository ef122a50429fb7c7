//! Who is there: what comes of messages, joins, ends, names that are taken, this one's own end.

use std::sync::Arc;

use super::*;

impl Node {
    /// Takes in who is there: from himself, or from what others have stated.
    pub(super) fn know(&mut self, now: f64, who: &Identity) {
        if who.name == self.me.name {
            self.namesake(now, who);
            return;
        }
        if let Some(peer) = self.peers.get_mut(&who.name) {
            if who.start < peer.who.start || (who.start == peer.who.start && !peer.here()) {
                return;
            }
            if who.start == peer.who.start {
                peer.who = who.clone();
                return;
            }
            let start = peer.who.start;
            self.end(now, &who.name, start, Over::Ended);
        } else if self.peers.len() >= MAX_INSTANCES {
            return;
        }
        let counted = self.peers.get(&who.name).is_some_and(|old| old.counted) || self.fresh;
        let place = self.place(now, who);
        let mut peer = Peer::new(who.clone(), now);
        (peer.place, peer.tell_whom) = (place, now + self.wait_to_tell());
        // [R4] Who joins counts once a majority knows of him; who has just started himself counts all that he hears
        // of. One that comes back under its name takes its own place.
        peer.counted = counted;
        if let Some(old) = self.peers.insert(who.name.clone(), peer) {
            self.places.remove(&old.place);
        }
        self.due = self.due.min(now);
        self.whole_until = f64::NEG_INFINITY;
        self.flush_later(now);
        // [R3]
        let admission = self.wait_for(now, Awaited::Place(place), None);
        if let Some(peer) = self.peers.get_mut(&who.name) {
            peer.admission = Some(admission);
        }
        self.notices.push(Notice::Joined(who.clone()));
        if self.keeps {
            self.records.push(crate::disk::Record::Seen(who.clone()));
        }
        self.swim.announce_to(now, who);
    }

    /// Gives one that has become known the next place among those that this one knows.
    fn place(&mut self, now: f64, who: &Identity) -> u64 {
        let (before, wait) = (self.roster, self.wait_to_tell());
        self.roster += 1;
        self.sum = self.sum.wrapping_add(message::identity_hash(who));
        self.places.insert(self.roster, who.name.clone());
        for peer in self.peers.values_mut().filter(|peer| peer.met_got >= before) {
            peer.tell_whom = now + wait;
        }
        self.roster
    }

    /// How long others have to come to know by themselves whom this one knows, before they are told by name. Where many
    /// start together all would name all to all; there membership spreads the word, and equal sums show that it has.
    fn wait_to_tell(&self) -> f64 {
        match self.peers.len() {
            few if few <= FEW => 0.0,
            many => WAIT_TO_TELL + WAIT_EACH * many as f64,
        }
    }

    /// Whom this one knows.
    pub(super) fn whom(&self) -> RosterDigest {
        RosterDigest { upto: self.roster, sum: self.sum }
    }

    /// Another has said whom it knows: with an equal sum they are the same.
    pub(super) fn knows(&mut self, now: f64, name: &Arc<str>, theirs: RosterDigest) {
        let same = theirs.sum == self.sum;
        if let Some(peer) = self.peers.get_mut(name).filter(|peer| same && peer.whom < theirs.upto) {
            peer.whom = theirs.upto;
            peer.owed = true;
            self.flush_later(now);
            self.count_leases(name);
            self.count_reads(now, name);
        }
    }

    /// Tells another whom this one knows, as far as it does not know them.
    pub(super) fn tell_whom(&mut self, now: f64, name: &Arc<str>) {
        let last = self.roster;
        let Some(peer) = self.peers.get_mut(name) else { return };
        if peer.met_got >= last || peer.heard == f64::NEG_INFINITY || now < peer.tell_whom {
            return;
        }
        let from = peer.met_got;
        peer.tell_whom = now + if peer.missing { AGAIN_LOST } else { AGAIN_MOST };
        let (mut who, mut upto, mut used) = (Vec::new(), last, 32);
        let mut before = from;
        for (place, known) in self.places.range(from + 1..) {
            let Some(peer) = self.peers.get(known).filter(|peer| peer.here()) else { continue };
            used += peer.who.name.len() + peer.who.zone.len() + 40;
            if used > MAX_BODY_BYTES {
                upto = before;
                break;
            }
            before = *place;
            who.push(peer.who.clone());
        }
        self.send(now, name, &Body::Roster { from, upto, instances: who }, true);
    }

    /// Another has told whom it knows.
    fn told_whom(&mut self, now: f64, name: &Arc<str>, from: u64, upto: u64, who: &[Identity]) {
        if self.peers.get(name).is_none_or(|peer| peer.whom < from) {
            return;
        }
        who.iter().for_each(|who| self.know(now, who));
        if let Some(peer) = self.peers.get_mut(name) {
            peer.whom = peer.whom.max(upto);
            peer.owed = true;
        }
        self.flush_later(now);
        self.count_leases(name);
        self.count_reads(now, name);
    }

    /// Somebody has this one's name. Of an earlier start it is old word; a later one, elsewhere, has taken the name.
    pub(super) fn namesake(&mut self, now: f64, who: &Identity) {
        if who.start == self.me.start {
            return;
        }
        if who.start > self.me.start && !self.stood_down {
            self.swim.resolve_name_conflict(now, who);
            self.stood_down = true;
            self.notices.push(Notice::Conflict(who.address));
        }
    }

    /// An instance, or an earlier start of it, is over.
    pub(super) fn end(&mut self, now: f64, name: &Arc<str>, start: u64, how: Over) {
        // Looked at first: what is known now of what it stated decides what becomes of it.
        let known = self.known_whole(now, name);
        let Some(peer) = self.peers.get_mut(name).filter(|peer| peer.here() && peer.who.start == start)
        else {
            return;
        };
        peer.over = Some((how, now));
        let copy = std::mem::take(&mut peer.copy);
        let who = peer.who.clone();
        // [R7] What it may have answered and this one has not read raises the floor: for the sessions that it had
        // writes of under way, where all that it stated is known, else for all.
        let until_now = now + self.terms.clock_error;
        let mut unread = !known;
        for (_, fact) in copy.facts() {
            if let Fact::Written { session, open, position } = fact {
                self.unlist(session, name);
                let position = if *open { Some(until_now) } else { *position };
                if let (true, Some(position)) = (known, position) {
                    unread |= !self.remember_past(now, session.clone(), position);
                }
            }
        }
        for words in self.standings.values_mut() {
            words.remove(name);
        }
        for words in self.roles.values_mut() {
            words.remove(name);
        }
        self.standings.retain(|_, words| !words.is_empty());
        self.roles.retain(|_, words| !words.is_empty());
        if let Some(floor) = copy.floor() {
            self.floor = self.floor.max(floor);
        }
        if unread {
            self.floor = self.floor.max(until_now);
        }
        self.whole_until = f64::NEG_INFINITY;
        self.views.remove_observer(name);
        self.news = true;
        self.sum = self.sum.wrapping_sub(message::identity_hash(&who));
        self.state(now, Fact::Ended { who: who.clone() });
        if self.keeps {
            self.records.push(crate::disk::Record::Ended(who.clone()));
        }
        self.notices.push(if how == Over::Left { Notice::Left(who) } else { Notice::Ended(who, !unread) });
    }

    pub(super) fn remember_past(&mut self, now: f64, session: Arc<str>, position: f64) -> bool {
        while self.past_order.front().is_some_and(|(until, _)| *until <= now) {
            let Some((until, old)) = self.past_order.pop_front() else { break };
            if self.past.get(&old).is_some_and(|(_, kept)| *kept <= until) {
                self.past.remove(&old);
            }
        }
        if self.past.len() >= PAST {
            return false;
        }
        let until = now + LIFE;
        let kept = self.past.entry(session.clone()).or_insert((position, until));
        *kept = (kept.0.max(position), until);
        self.past_order.push_back((until, session));
        true
    }

    pub(super) fn unlist(&mut self, session: &Arc<str>, author: &Arc<str>) {
        if let Some(marks) = self.sessions.get_mut(session) {
            marks.retain(|(name, _)| name != author);
            if marks.is_empty() {
                self.sessions.remove(session);
            }
        }
    }

    /// Whether a message's number is new; takes in who speaks.
    pub(super) fn numbered(&mut self, now: f64, head: &Header) -> bool {
        if head.from.name == self.me.name {
            self.namesake(now, &head.from);
            return false;
        }
        let earlier = self.peers.get(&head.from.name).is_some_and(|peer| {
            head.from.start < peer.who.start || (head.from.start == peer.who.start && !peer.here())
        });
        if earlier {
            // One that has been written off and lives has to hear of it: it goes on under a new start.
            let ended = |p: &&Peer| {
                p.who.start == head.from.start && p.over.is_some_and(|(how, _)| how == Over::Ended)
            };
            if self.peers.get(&head.from.name).filter(ended).is_some() && head.number.is_multiple_of(4) {
                let name = head.from.name.clone();
                self.send(now, &name, &Body::Ended { start: head.from.start }, true);
            }
            return false;
        }
        self.know(now, &head.from);
        let Some(peer) = self.peers.get_mut(&head.from.name) else { return false };
        if !peer.fresh(head.number) {
            return false;
        }
        peer.heard = now;
        if std::mem::take(&mut peer.missing) {
            self.notices.push(Notice::Reachable(head.from.name.clone()));
            if let Some(peer) = self.peers.get_mut(&head.from.name) {
                (peer.again, peer.next_ask) = (AGAIN, peer.next_ask.min(now));
            }
        }
        true
    }

    pub(super) fn hear(&mut self, now: f64, head: Header, body: Body) {
        // A seed that is this one itself answers to no question.
        if head.from.name == self.me.name && head.from.start == self.me.start {
            if let Body::LeaseRequest { question, .. } = body {
                if let Some((_, seed)) = self.seed_asked.iter().find(|(asked, _)| *asked == question).copied()
                {
                    self.unmet.remove(&seed);
                    self.admitted |= self.unmet.is_empty() && self.peers.is_empty();
                }
            }
            return;
        }
        if (head.to != 0 && head.to != self.me.start) || !self.numbered(now, &head) {
            self.counts.replayed += 1;
            return;
        }
        let name = head.from.name.clone();
        match body {
            Body::LeaseRequest { question, read, own, lease, missing } => {
                self.knows(now, &name, own);
                if head.to == self.me.start {
                    self.has_read(now, &name, read, own.upto);
                }
                self.grant(now, &name, question, lease, &missing);
            }
            Body::LeaseGrant { question, upto, own, lease_ms, long_ms, covers } => {
                self.knows(now, &name, own);
                self.granted(now, &name, question, (upto, own.upto, lease_ms, long_ms), covers);
            }
            Body::Roster { from, upto, instances: who } => self.told_whom(now, &name, from, upto, &who),
            Body::Push { from, upto, end, facts } => {
                self.read(now, &name, (from, upto, end), facts);
                if let Some(peer) = self.peers.get_mut(&name) {
                    peer.owed = true;
                }
                self.flush_soon(now);
            }
            Body::Relayed { author, from, upto, end, facts } => {
                // Only of the start that is known, and never what this one could read itself.
                let fits = |p: &Peer| p.who.start == author.start && p.here() && now >= p.lease;
                if self.peers.get(&author.name).is_some_and(fits) {
                    self.read(now, &author.name, (from, upto, end), facts);
                }
            }
            Body::ReadAck { read, own } => {
                self.knows(now, &name, own);
                self.has_read(now, &name, read, own.upto);
            }
            Body::Views { round, views, usage: uses } => {
                let start = head.from.start;
                self.views.record(now, &name, start, round, views);
                self.views.record_usage(now, &name, start, round, uses);
            }
            Body::Swim(bytes) => self.swim.receive(now, &bytes),
            Body::Leave { upto } => {
                let whole = self.peers.get(&name).is_some_and(|peer| peer.copy.sound() >= upto);
                // It says so again until all is read; who goes without waiting leaves the rest to the floor.
                if whole {
                    let start = head.from.start;
                    if let Some(peer) = self.peers.get_mut(&name) {
                        peer.lease = f64::INFINITY;
                    }
                    let own = self.whom();
                    let read = ReadProgress { sound: upto, got: upto, ..ReadProgress::default() };
                    self.send(now, &name, &Body::ReadAck { read, own }, false);
                    self.end(now, &name, start, Over::Left);
                }
            }
            Body::Ended { start } if start == self.me.start => self.renew(now),
            Body::Ended { .. } | Body::Fetch { .. } => {}
        }
    }

    /// Others have called this start over: it goes on as a new one, whose writes wait until they know of it.
    pub(super) fn renew(&mut self, now: f64) {
        self.sum = self.sum.wrapping_sub(message::identity_hash(&self.me));
        self.me.start += 1;
        self.sum = self.sum.wrapping_add(message::identity_hash(&self.me));
        let own = Identity { renewal: 0, ..self.me.clone() };
        self.swim = Swim::new(own, self.rng);
        (self.admitted, self.admit_by) = (false, now + self.terms.lease);
        self.free_at = self.free_at.max(lessor_end(now, self.long()));
        for peer in self.peers.values_mut() {
            (peer.read, peer.got, peer.pushed) = (0, 0, 0);
            (peer.knows, peer.met_got) = (0, 0);
            (peer.lent, peer.next_ask) = (f64::NEG_INFINITY, now);
            peer.claims.clear();
            peer.asked.clear();
        }
        let until = lessor_end(now, self.terms.lease);
        let lessees: Vec<(Arc<str>, f64)> = self.here().map(|p| (p.who.name.clone(), until)).collect();
        // All that is under way is stated anew: who knew it of the earlier start has dropped it.
        let open: Vec<Arc<str>> = self.open.keys().cloned().collect();
        for session in open {
            let position = self.own_mark(&Key::Written(session.clone())).position;
            let number = self.state(now, Fact::Written { session: session.clone(), open: true, position });
            for waiting in self.waiting.values_mut().filter(|w| w.session.as_ref() == Some(&session)) {
                waiting.awaited = Awaited::Fact(number);
                // Who knew it of the earlier start has to read it of this one.
                waiting.lessees = lessees.clone();
            }
        }
        let known: Vec<Identity> = self.here().map(|peer| peer.who.clone()).collect();
        self.swim.announce_to_unknown(now, &known);
        self.notices.push(Notice::Renewed(self.me.start));
        if self.keeps {
            self.records.push(crate::disk::Record::Start(self.me.start));
        }
    }

    /// Carries out what membership wants.
    pub(super) fn settle(&mut self, now: f64) {
        let (out, notices) = self.swim.take_output();
        for (to, bytes) in out {
            let name = to.name.clone();
            if self.peers.contains_key(&name) {
                self.send(now, &name, &Body::Swim(bytes), false);
            }
        }
        for notice in notices {
            match notice {
                membership::Notice::Up(who) => self.know(now, &who),
                membership::Notice::Down(who) => self.notices.push(Notice::Suspected(who.name)),
                membership::Notice::Rejoined => {}
                membership::Notice::Conflict => {}
            }
        }
    }

    /// An operator says that an instance is over and does not come back: by its name, or the address of a seed that never
    /// answered. Whether there is one.
    pub fn forget_instance(&mut self, now: f64, name: &str) -> bool {
        if let Some(seed) = name.parse().ok().filter(|seed| self.unmet.contains(seed)) {
            self.unmet.remove(&seed);
            return true;
        }
        match self.peers.get(name).filter(|peer| peer.here()) {
            Some(peer) => {
                let (name, start) = (peer.who.name.clone(), peer.who.start);
                self.end(now, &name, start, Over::Ended);
                true
            }
            None => false,
        }
    }

    /// This instance ends: all its writes are answered. Said to all, and to be called again until it returns true or
    /// patience ends.
    pub fn leave(&mut self, now: f64) -> bool {
        self.turn(now);
        let upto = self.log.upto();
        let names: Vec<Arc<str>> = self.here().map(|peer| peer.who.name.clone()).collect();
        let mut all = true;
        for name in names {
            let lags = self.peers.get(&name).is_some_and(|peer| peer.read < upto && !peer.missing);
            all &= !lags;
            self.send(now, &name, &Body::Leave { upto }, false);
        }
        self.flush(now);
        if all {
            self.swim.leave(now);
        }
        all
    }
}
