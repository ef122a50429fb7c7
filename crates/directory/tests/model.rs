//! Model checking of the rules of docs/session-directory.md over the possible orders of events for one
//! session, three poolers and one group of three control instances. Messages are lost, delayed, duplicated
//! and reordered; control instances and poolers lose their memory; time passes at any moment. Each rule is also
//! broken by an injected fault, which the check must find.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};

use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

const MEMBERS: usize = 3;
const QUORUM: usize = 2;
const POOLERS: usize = 3;
/// Durations in ticks: a lease as its pooler counts it, a lease as the control instance counts it, the
/// silence of a control instance after a start, and the longest time of a write.
const LEASE: u8 = 2;
const GRANTED_LEASE: u8 = LEASE + 1;
const SILENCE: u8 = GRANTED_LEASE + 1;
const WRITE_BOUND: u8 = 2;

/// A fault in the model that breaks one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// A lease is counted from its acknowledgement, not from the sending of the heartbeat.
    LeaseFromAcknowledgement,
    /// After a start a control instance assumes that sessions without a record were never written.
    NoFloor,
    /// The former owner continues to serve after a handover.
    KeepsServing,
    /// The former owner does not report a write in flight.
    OmitsOpenWrite,
    /// The new owner accepts the answer of a later incarnation of the former owner.
    AcceptsLaterIncarnation,
    /// The new owner serves before the lease of an unresponsive former owner is over.
    SkipsLeaseWait,
    /// Leases are renewed without revoking sessions that others have claimed.
    NoRevocation,
    /// A claim counts even if it was recorded under a lease that has ended.
    AcceptsEndedLease,
}

/// A ballot: counter and pooler, compared in this order.
type Ballot = (u8, usize);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Heartbeat {
        by: usize,
        at: usize,
        sent: u8,
        incarnation: u8,
    },
    Ack {
        by: usize,
        at: usize,
        sent: u8,
        incarnation: u8,
        term: u8,
        revoked: Ballot,
    },
    Claim {
        ballot: Ballot,
        incarnation: u8,
    },
    ClaimRecorded {
        at: usize,
        ballot: Ballot,
        incarnation: u8,
        term: u8,
        former_owners: Vec<(Ballot, u8, u8)>,
        floor: u8,
    },
    Handover {
        ballot: Ballot,
        to: usize,
        to_incarnation: u8,
    },
    Relinquished {
        ballot: Ballot,
        from: usize,
        from_incarnation: u8,
        position: u8,
        open: u8,
    },
    Completed {
        ballot: Ballot,
        at: usize,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    silent_until: u8,
    floor: u8,
    last_term: u8,
    /// By pooler: number of the lease, its end, the pooler's incarnation; and the highest ballot that
    /// displaced one of its claims.
    leases: [(u8, u8, u8); POOLERS],
    revoked: [Ballot; POOLERS],
    /// Claims, each with the number of the lease under which it was recorded; the latest is the last.
    claims: Vec<(Ballot, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FormerOwner {
    ballot: Ballot,
    incarnation: u8,
    lease_ends_at: u8,
    resolved: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Pooler {
    incarnation: u8,
    highest_counter: u8,
    /// By member: number of the lease, and when the latest acknowledged heartbeat was sent.
    leases: [(u8, u8); MEMBERS],
    /// The counter of its claim, 0 for none; by member the lease under which it is recorded, and the floor.
    claim: u8,
    recorded: [u8; MEMBERS],
    floors: [u8; MEMBERS],
    former_owners: Vec<FormerOwner>,
    completed: bool,
    floor: u8,
    position: u8,
    /// Writes sent by former owners may be answered until this time.
    open_until: u8,
    /// Until when a write is in flight; whether it may be answered although the session was handed over.
    write_until: u8,
    may_answer: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    members: Vec<Member>,
    poolers: Vec<Pooler>,
    /// When the last answered write was committed.
    answered: u8,
    /// Number of restarts so far.
    member_restarts: u8,
    pooler_restarts: u8,
    /// All messages sent so far; each may be delivered any number of times, or never.
    messages: BTreeSet<Message>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Time,
    Heartbeat(usize),
    Claim(usize),
    RequestHandover(usize),
    WaitOutLeases(usize),
    Complete(usize),
    Send(usize),
    Answer(usize),
    RestartMember(usize),
    RestartPooler(usize),
    Deliver(Message, usize),
}

struct Rules {
    fault: InjectedFault,
    until: u8,
    claims: u8,
    /// Poolers that take part, and the allowed restarts of control instances and of poolers.
    poolers: usize,
    member_restarts: u8,
    pooler_restarts: u8,
    /// Observed: a violation of the property, and a session that moved after a write and is served by its new
    /// owner.
    violated: AtomicBool,
    session_moved: AtomicBool,
}

impl Member {
    fn is_live(&self, claim: &(Ballot, u8)) -> bool {
        let (term, _, _) = self.leases[claim.0 .1];
        claim.1 == term && term > 0
    }

    /// Ends expired leases.
    fn expire(&mut self, now: u8) {
        for lease in &mut self.leases {
            if lease.0 > 0 && lease.1 <= now {
                self.floor = self.floor.max(lease.1 + WRITE_BOUND);
                *lease = (0, 0, 0);
            }
        }
    }
}

impl Pooler {
    /// Until when a quorum holds its claim, and the floor that these members reported.
    fn quorum_state(&self, fault: InjectedFault) -> (u8, u8) {
        let holds = |m: &usize| {
            self.recorded[*m] > 0
                && (self.recorded[*m] == self.leases[*m].0 || fault == InjectedFault::AcceptsEndedLease)
        };
        let mut holders: Vec<(u8, u8)> =
            (0..MEMBERS).filter(holds).map(|m| (self.leases[m].1 + LEASE, self.floors[m])).collect();
        holders.sort_unstable_by(|a, b| b.cmp(a));
        let until = holders.get(QUORUM - 1).map_or(0, |holder| holder.0);
        holders.truncate(QUORUM);
        (until, holders.iter().map(|holder| holder.1).max().unwrap_or(0))
    }

    fn owns(&self, now: u8, fault: InjectedFault) -> bool {
        let resolved = self.former_owners.iter().all(|former| former.resolved);
        self.claim > 0 && self.completed && resolved && now < self.quorum_state(fault).0
    }

    /// The position that its reads require; none for the primary.
    fn required_position(&self, now: u8) -> Option<u8> {
        (now >= self.open_until).then(|| self.position.max(self.floor).max(self.open_until))
    }

    fn drop_claim(&mut self) {
        if self.completed {
            self.position = self.position.max(self.floor);
        }
        (self.claim, self.completed, self.floor) = (0, false, 0);
        (self.recorded, self.floors) = ([0; MEMBERS], [0; MEMBERS]);
        self.former_owners.clear();
    }
}

impl Rules {
    fn deliver(&self, s: &mut State, message: &Message, to: usize) {
        match message {
            Message::Heartbeat { by, at, sent, incarnation } => {
                self.handle_heartbeat(s, (*by, *at), *sent, *incarnation)
            }
            Message::Ack { by, at, sent, incarnation, term, revoked } => {
                let now = s.now;
                let pooler = &mut s.poolers[*by];
                if pooler.incarnation != *incarnation || pooler.leases[*at].0 > *term {
                    return;
                }
                if pooler.claim > 0
                    && (pooler.claim, *by) < *revoked
                    && self.fault != InjectedFault::NoRevocation
                {
                    pooler.drop_claim();
                }
                pooler.highest_counter = pooler.highest_counter.max(revoked.0);
                if pooler.leases[*at].0 != *term {
                    pooler.leases[*at] = (*term, 0);
                }
                let from = if self.fault == InjectedFault::LeaseFromAcknowledgement { now } else { *sent };
                pooler.leases[*at].1 = pooler.leases[*at].1.max(from);
            }
            Message::Claim { ballot, incarnation } => self.record_claim(s, *ballot, *incarnation, to),
            Message::ClaimRecorded { at, ballot, incarnation, term, former_owners, floor } => {
                let now = s.now;
                let pooler = &mut s.poolers[ballot.1];
                if pooler.incarnation != *incarnation || pooler.claim != ballot.0 {
                    return;
                }
                pooler.recorded[*at] = *term;
                pooler.floors[*at] = *floor;
                for (former, incarnation, left) in former_owners {
                    let lease_ends_at = now + left;
                    match pooler.former_owners.iter_mut().find(|known| known.ballot == *former) {
                        Some(known) => known.lease_ends_at = known.lease_ends_at.max(lease_ends_at),
                        None => {
                            let incarnation = *incarnation;
                            pooler.former_owners.push(FormerOwner {
                                ballot: *former,
                                incarnation,
                                lease_ends_at,
                                resolved: false,
                            });
                        }
                    }
                }
            }
            Message::Handover { ballot, to, to_incarnation } => {
                self.handle_handover(s, *ballot, *to, *to_incarnation)
            }
            Message::Relinquished { ballot, from, from_incarnation, position, open } => {
                let now = s.now;
                let pooler = &mut s.poolers[ballot.1];
                if pooler.claim == 0 || pooler.claim != ballot.0 {
                    return;
                }
                let same = |former: &FormerOwner| {
                    former.ballot.1 == *from
                        && (former.incarnation == *from_incarnation
                            || self.fault == InjectedFault::AcceptsLaterIncarnation)
                };
                for former in pooler.former_owners.iter_mut().filter(|former| same(former)) {
                    former.resolved = true;
                    pooler.position = pooler.position.max(*position);
                    if *open > 0 {
                        pooler.open_until = pooler.open_until.max(now + open);
                    }
                }
            }
            Message::Completed { ballot, at } => {
                let member = &mut s.members[*at];
                let Some((latest, _)) = member.claims.last().copied() else { return };
                member.claims.retain(|(b, _)| *b == latest || *b >= *ballot);
            }
        }
    }

    fn handle_heartbeat(&self, s: &mut State, (by, at): (usize, usize), sent: u8, incarnation: u8) {
        let now = s.now;
        let member = &mut s.members[at];
        if now < member.silent_until {
            return;
        }
        let (term, _, known) = member.leases[by];
        if term == 0 || known < incarnation {
            if term > 0 {
                // An earlier incarnation: its claims end with its lease.
                return;
            }
            member.last_term += 1;
            member.leases[by] = (member.last_term, 0, incarnation);
            member.revoked[by] = (0, 0);
        } else if known > incarnation {
            return;
        }
        member.leases[by].1 = now + GRANTED_LEASE;
        let term = member.leases[by].0;
        let revoked = member.revoked[by];
        s.messages.insert(Message::Ack { by, at, sent, incarnation, term, revoked });
    }

    fn record_claim(&self, s: &mut State, ballot: Ballot, incarnation: u8, at: usize) {
        let now = s.now;
        let member = &mut s.members[at];
        let (term, _, known) = member.leases[ballot.1];
        if now < member.silent_until || term == 0 || known != incarnation {
            return;
        }
        let mut live = member.claims.clone();
        live.retain(|claim| member.is_live(claim));
        if live.iter().any(|(later, _)| *later > ballot) {
            return;
        }
        if let Some((displaced, _)) = live.last().filter(|(last, _)| last.1 != ballot.1) {
            member.revoked[displaced.1] = member.revoked[displaced.1].max(ballot);
        }
        live.retain(|(earlier, _)| earlier.1 != ballot.1);
        let former_owners: Vec<(Ballot, u8, u8)> = live
            .iter()
            .map(|(former, _)| (*former, member.leases[former.1].2, member.leases[former.1].1 - now))
            .collect();
        live.push((ballot, term));
        member.claims = live;
        let floor = member.floor;
        s.messages.insert(Message::ClaimRecorded { at, ballot, incarnation, term, former_owners, floor });
    }

    fn handle_handover(&self, s: &mut State, ballot: Ballot, to: usize, to_incarnation: u8) {
        let (now, fault) = (s.now, self.fault);
        let pooler = &mut s.poolers[to];
        if pooler.incarnation != to_incarnation && fault != InjectedFault::AcceptsLaterIncarnation {
            return;
        }
        if pooler.claim > 0 && (pooler.claim, to) > ballot {
            return;
        }
        let owned = pooler.owns(now, fault);
        if fault != InjectedFault::KeepsServing {
            pooler.drop_claim();
        }
        pooler.highest_counter = pooler.highest_counter.max(ballot.0);
        let mut open = pooler.open_until;
        if pooler.write_until > now {
            pooler.may_answer |= owned;
            if fault != InjectedFault::OmitsOpenWrite {
                open = open.max(pooler.write_until);
            }
        }
        let position = pooler.position.max(if pooler.open_until <= now { pooler.open_until } else { 0 });
        let open = open.saturating_sub(now);
        s.messages.insert(Message::Relinquished {
            ballot,
            from: to,
            from_incarnation: pooler.incarnation,
            position,
            open,
        });
    }
}

impl Model for Rules {
    type State = State;
    type Action = Step;

    /// All poolers have leases; the first owns the session, recorded by a quorum or by all members.
    fn init_states(&self) -> Vec<State> {
        let state = |holders: usize| {
            let lease = |p: usize| (p as u8 + 1, 1 + GRANTED_LEASE, 1);
            let member = |m: usize| Member {
                last_term: POOLERS as u8,
                leases: [lease(0), lease(1), lease(2)],
                claims: if m < holders { vec![((1, 0), 1)] } else { Vec::new() },
                ..Member::default()
            };
            let pooler = |p: usize| Pooler {
                incarnation: 1,
                leases: [(p as u8 + 1, 1); MEMBERS],
                ..Pooler::default()
            };
            let mut poolers: Vec<Pooler> = (0..POOLERS).map(pooler).collect();
            (poolers[0].claim, poolers[0].completed, poolers[0].highest_counter) = (1, true, 1);
            (0..holders).for_each(|m| poolers[0].recorded[m] = 1);
            let members = (0..MEMBERS).map(member).collect();
            State {
                now: 1,
                members,
                poolers,
                answered: 0,
                member_restarts: 0,
                pooler_restarts: 0,
                messages: BTreeSet::new(),
            }
        };
        vec![state(QUORUM), state(MEMBERS)]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < self.until {
            steps.push(Step::Time);
        }
        for p in 0..self.poolers {
            steps.push(Step::Heartbeat(p));
            let pooler = &state.poolers[p];
            steps.push(Step::Claim(p));
            if pooler.claim > 0 {
                steps.extend([
                    Step::RequestHandover(p),
                    Step::WaitOutLeases(p),
                    Step::Complete(p),
                    Step::Send(p),
                ]);
            }
            if pooler.write_until > 0 {
                steps.push(Step::Answer(p));
            }
            if state.pooler_restarts < self.pooler_restarts {
                steps.push(Step::RestartPooler(p));
            }
        }
        if state.member_restarts < self.member_restarts {
            steps.extend((0..MEMBERS).map(Step::RestartMember));
        }
        for message in &state.messages {
            let to = if matches!(message, Message::Claim { .. }) { MEMBERS } else { 1 };
            steps.extend((0..to).map(|m| Step::Deliver(message.clone(), m)));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        let (now, fault) = (s.now, self.fault);
        match step {
            Step::Time => {
                s.now += 1;
                let now = s.now;
                s.members.iter_mut().for_each(|member| member.expire(now));
            }
            Step::Heartbeat(by) => {
                let incarnation = s.poolers[by].incarnation;
                s.messages.extend((0..MEMBERS).map(|at| Message::Heartbeat {
                    by,
                    at,
                    sent: now,
                    incarnation,
                }));
            }
            Step::Claim(p) => {
                let pooler = &mut s.poolers[p];
                if pooler.owns(now, fault) || pooler.highest_counter >= self.claims {
                    return None;
                }
                pooler.drop_claim();
                pooler.highest_counter += 1;
                pooler.claim = pooler.highest_counter;
                let incarnation = pooler.incarnation;
                s.messages.insert(Message::Claim { ballot: (s.poolers[p].claim, p), incarnation });
            }
            Step::RequestHandover(p) => {
                let ballot = (s.poolers[p].claim, p);
                for former in s.poolers[p].former_owners.iter().filter(|former| !former.resolved) {
                    let to = former.ballot.1;
                    s.messages.insert(Message::Handover { ballot, to, to_incarnation: former.incarnation });
                }
            }
            Step::WaitOutLeases(p) => {
                let pooler = &mut s.poolers[p];
                for former in pooler.former_owners.iter_mut().filter(|former| !former.resolved) {
                    if former.lease_ends_at <= now || fault == InjectedFault::SkipsLeaseWait {
                        former.resolved = true;
                        pooler.open_until = pooler.open_until.max(former.lease_ends_at + WRITE_BOUND);
                    }
                }
            }
            Step::Complete(p) => {
                let pooler = &mut s.poolers[p];
                let (until, floor) = pooler.quorum_state(fault);
                if pooler.completed
                    || now >= until
                    || pooler.former_owners.iter().any(|former| !former.resolved)
                {
                    return None;
                }
                (pooler.completed, pooler.floor) = (true, floor);
                let ballot = (pooler.claim, p);
                let recorded = pooler.recorded;
                for at in (0..MEMBERS).filter(|m| recorded[*m] > 0) {
                    s.messages.insert(Message::Completed { ballot, at });
                }
            }
            Step::Send(p) => {
                let pooler = &mut s.poolers[p];
                if !pooler.owns(now, fault) || pooler.write_until > now {
                    return None;
                }
                (pooler.write_until, pooler.may_answer) = (now + WRITE_BOUND, false);
            }
            Step::Answer(p) => {
                let pooler = &mut s.poolers[p];
                if now >= pooler.write_until || !(pooler.may_answer || pooler.owns(now, fault)) {
                    return None;
                }
                (pooler.write_until, pooler.may_answer) = (0, false);
                pooler.position = pooler.position.max(now);
                s.answered = now;
            }
            Step::RestartMember(m) => {
                s.member_restarts += 1;
                let last_term = s.members[m].last_term + 10;
                let floor = if fault == InjectedFault::NoFloor { 0 } else { now + SILENCE + WRITE_BOUND };
                s.members[m] = Member { silent_until: now + SILENCE, floor, last_term, ..Member::default() };
            }
            Step::RestartPooler(p) => {
                s.pooler_restarts += 1;
                let incarnation = s.poolers[p].incarnation + 1;
                s.poolers[p] = Pooler { incarnation, ..Pooler::default() };
            }
            Step::Deliver(message, to) => self.deliver(&mut s, &message, to),
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(PROPERTY, |rules: &Rules, state: &State| {
            let owners = state.poolers.iter().enumerate();
            let mut holds = true;
            for (p, pooler) in owners.filter(|(_, pooler)| pooler.owns(state.now, rules.fault)) {
                let Some(required_position) = pooler.required_position(state.now) else { continue };
                holds &= required_position >= state.answered;
                rules.session_moved.fetch_or(p > 0 && state.answered > 0, Ordering::Relaxed);
            }
            rules.violated.fetch_or(!holds, Ordering::Relaxed);
            holds
        })]
    }
}

/// Most states that the breadth-first check visits, and steps of random runs.
const STATES: usize = 600_000;
const STEPS: usize = 1_500_000;
/// Steps within which a violation must be found when a fault is injected.
const STEPS_TO_VIOLATION: usize = 10_000_000;
const PROPERTY: &str = "an owner's reads require every answered write";

fn rules(fault: InjectedFault, poolers: usize, (member_restarts, pooler_restarts): (u8, u8)) -> Rules {
    let seen = || AtomicBool::new(false);
    Rules {
        fault,
        until: 14,
        claims: 4,
        poolers,
        member_restarts,
        pooler_restarts,
        violated: seen(),
        session_moved: seen(),
    }
}

fn violated<C: Checker<Rules>>(checker: &C) -> bool {
    checker.model().violated.load(Ordering::Relaxed)
}

#[test]
fn no_order_of_events_loses_an_answered_write() {
    let all = rules(InjectedFault::None, POOLERS, (2, 2));
    let checker = all.checker().target_state_count(STATES).spawn_bfs().join();
    let (all, unique, depth) = (checker.state_count(), checker.unique_state_count(), checker.max_depth());
    println!("breadth-first: {all} states, {unique} distinct, all orders of up to {} steps", depth - 1);
    assert!(!violated(&checker));
}

#[rstest]
#[case(2, (0, 0))]
#[case(2, (2, 0))]
#[case(2, (1, 1))]
#[case(3, (0, 0))]
#[case(3, (2, 1))]
fn no_random_run_loses_an_answered_write(#[case] poolers: usize, #[case] restarts: (u8, u8)) {
    let rules = rules(InjectedFault::None, poolers, restarts);
    let checker = rules.checker().target_state_count(STEPS).spawn_simulation(7, UniformChooser).join();
    println!("random: {} steps, runs of up to {}", checker.state_count(), checker.max_depth());
    assert!(!violated(&checker));
    // Guards against a model in which nothing happens: a written session must move, and its new owner must
    // serve it.
    assert!(checker.model().session_moved.load(Ordering::Relaxed));
}

#[rstest]
#[case(InjectedFault::LeaseFromAcknowledgement, 3, (2, 2))]
#[case(InjectedFault::NoFloor, 2, (2, 0))]
#[case(InjectedFault::KeepsServing, 2, (0, 0))]
#[case(InjectedFault::OmitsOpenWrite, 2, (0, 0))]
#[case(InjectedFault::AcceptsLaterIncarnation, 2, (0, 1))]
#[case(InjectedFault::SkipsLeaseWait, 2, (0, 0))]
#[case(InjectedFault::NoRevocation, 2, (0, 0))]
#[case(InjectedFault::AcceptsEndedLease, 2, (0, 0))]
fn each_injected_fault_loses_an_answered_write(
    #[case] fault: InjectedFault,
    #[case] poolers: usize,
    #[case] restarts: (u8, u8),
) {
    let checker = rules(fault, poolers, restarts).checker().finish_when(HasDiscoveries::AnyFailures);
    let checker = checker.target_state_count(STEPS_TO_VIOLATION).spawn_simulation(7, UniformChooser).join();
    println!("{fault:?}: {} steps", checker.state_count());
    assert!(violated(&checker), "violation not found: {fault:?}");
}
