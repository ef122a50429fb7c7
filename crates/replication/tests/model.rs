//! Model check of the rules of docs/replication.md over the orders of events among three instances: A, which
//! takes writes of one session, B, which reads, and C. Messages are lost, duplicated and reordered; C may
//! lose its memory; time may pass at any moment. Each rule is disabled in turn, and the check must find the
//! violation that the rule prevents.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};

use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

/// Duration of a lease for the lessee and for the lessor, and of the lessor's promise to answer writes only
/// with a majority (ticks).
const LEASE: u8 = 2;
const LESSOR_LEASE: u8 = LEASE + 1;
const MAJORITY_PROMISE: u8 = 4;
const B: usize = 0;
const C: usize = 1;

/// The rule that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// R2: answers do not wait for lessees.
    AnswerWithoutWaiting,
    /// R2: a lease is counted from the receipt of the grant.
    LeaseFromReceipt,
    /// R2: a lease counts before the log has been read up to the granted number.
    LeaseWithoutReading,
    /// R3: a covering instance continues to acknowledge.
    AcknowledgeWhileCovering,
    /// R3: an instance that has lost its memory covers.
    CoverAfterMemoryLoss,
    /// R5: A does not keep its majority promise.
    NoMajorityPromise,
    /// R5: the promise counts without the facts published by then.
    PromiseWithoutReading,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    LeaseRequest { by: usize, sent_at: u8 },
    Grant { to: usize, sent_at: u8, upto: u8 },
    Push { to: usize, upto: u8 },
    ReadAck { by: usize, upto: u8 },
    CoverageRequest { sent_at: u8 },
    Coverage { sent_at: u8, upto: u8, majority_only_until: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    /// A: writes begun, sent and answered; by write, until when each peer must be awaited; what has been
    /// acknowledged.
    begun: u8,
    sent: u8,
    answered: u8,
    awaited_until: [[u8; 2]; 2],
    acked: [u8; 2],
    granted_until: [u8; 2],
    majority_required_until: u8,
    /// B and C: how far they have read, whether they ever had a lease, its end, the end of A's majority
    /// promise.
    copy: [u8; 2],
    had_lease: [bool; 2],
    lease_until: [u8; 2],
    majority_only_until: [u8; 2],
    /// C: until when it acknowledges no more than this number.
    ack_limit: (u8, u8),
    /// B: how far C covers A, until when, and the end of the majority promise that C knows of.
    coverage: (u8, u8, u8),
    lost_memory: bool,
    /// All messages ever sent: each may be delivered repeatedly, or never.
    network: BTreeSet<Message>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Tick,
    BeginWrite,
    SendWrite,
    AnswerWrite,
    RequestLease(usize),
    Push(usize),
    RequestCoverage,
    Relay,
    LoseMemory,
    Deliver(Message),
}

struct Rules {
    fault: Fault,
    writes: u8,
    max_time: u8,
    /// Observations of the run: the property was violated; a write was answered while B relied on its copy.
    violated: AtomicBool,
    made_progress: AtomicBool,
}

impl State {
    /// Returns true if B may rely on what it has read of A.
    fn relies_on_copy(&self) -> bool {
        let (upto, until, majority_only_until) = self.coverage;
        let covered = self.had_lease[B] && self.now < until && self.copy[B] >= upto;
        self.now < self.lease_until[B]
            || (covered && self.now < majority_only_until.max(self.majority_only_until[B]))
    }
}

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 1,
            begun: 0,
            sent: 0,
            answered: 0,
            awaited_until: [[0; 2]; 2],
            acked: [0; 2],
            granted_until: [0; 2],
            majority_required_until: 1 + MAJORITY_PROMISE + 1,
            copy: [0; 2],
            had_lease: [false; 2],
            lease_until: [0; 2],
            majority_only_until: [0; 2],
            ack_limit: (0, 0),
            coverage: (0, 0, 0),
            lost_memory: false,
            network: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < self.max_time {
            steps.push(Step::Tick);
        }
        if state.begun < self.writes && state.answered == state.begun {
            steps.push(Step::BeginWrite);
        }
        steps.extend([
            Step::SendWrite,
            Step::AnswerWrite,
            Step::RequestLease(B),
            Step::RequestLease(C),
            Step::RequestCoverage,
            Step::Relay,
        ]);
        steps.extend([Step::Push(B), Step::Push(C)]);
        if !state.lost_memory {
            steps.push(Step::LoseMemory);
        }
        steps.extend(state.network.iter().copied().map(Step::Deliver));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        let fault = self.fault;
        match step {
            Step::Tick => s.now += 1,
            Step::BeginWrite => {
                let write = usize::from(s.begun);
                s.begun += 1;
                for peer in [B, C] {
                    s.awaited_until[write][peer] =
                        if s.granted_until[peer] > s.now { s.granted_until[peer] } else { 0 };
                }
            }
            Step::SendWrite => {
                let majority = s.acked.iter().any(|read| *read >= s.begun);
                if s.sent == s.begun || !(majority || s.now >= s.majority_required_until) {
                    return None;
                }
                s.sent = s.begun;
            }
            Step::AnswerWrite => {
                let awaited_until =
                    s.begun.checked_sub(1).map(|write| s.awaited_until[usize::from(write)])?;
                let known = |peer: usize| s.now >= awaited_until[peer] || s.acked[peer] >= s.begun;
                let may = fault == Fault::AnswerWithoutWaiting || (known(B) && known(C));
                if s.answered == s.sent || !may {
                    return None;
                }
                s.answered = s.sent;
            }
            Step::RequestLease(by) => drop(s.network.insert(Message::LeaseRequest { by, sent_at: s.now })),
            Step::Push(to) if s.begun > 0 => drop(s.network.insert(Message::Push { to, upto: s.begun })),
            Step::RequestCoverage => drop(s.network.insert(Message::CoverageRequest { sent_at: s.now })),
            Step::Relay if s.copy[C] > 0 => drop(s.network.insert(Message::Push { to: B, upto: s.copy[C] })),
            Step::Push(_) | Step::Relay => return None,
            Step::LoseMemory => {
                s.lost_memory = true;
                (s.copy[C], s.had_lease[C], s.lease_until[C], s.majority_only_until[C], s.ack_limit) =
                    (0, false, 0, 0, (0, 0));
            }
            Step::Deliver(message) => match message {
                Message::LeaseRequest { by, sent_at } => {
                    s.granted_until[by] = s.granted_until[by].max(s.now + LESSOR_LEASE);
                    if fault != Fault::NoMajorityPromise {
                        s.majority_required_until =
                            s.majority_required_until.max(s.now + MAJORITY_PROMISE + 1);
                    }
                    s.network.insert(Message::Grant { to: by, sent_at, upto: s.begun });
                }
                Message::Grant { to, sent_at, upto } => {
                    let read = s.copy[to] >= upto;
                    if read || fault == Fault::LeaseWithoutReading {
                        let from = if fault == Fault::LeaseFromReceipt { s.now } else { sent_at };
                        s.lease_until[to] = s.lease_until[to].max(from + LEASE);
                        s.had_lease[to] = true;
                    }
                    if read || fault == Fault::PromiseWithoutReading {
                        s.majority_only_until[to] = s.majority_only_until[to].max(sent_at + MAJORITY_PROMISE);
                    }
                }
                Message::Push { to, upto } => {
                    s.copy[to] = s.copy[to].max(upto);
                    let holds = to == C && s.now < s.ack_limit.0 && fault != Fault::AcknowledgeWhileCovering;
                    let read = if holds { s.copy[to].min(s.ack_limit.1) } else { s.copy[to] };
                    s.network.insert(Message::ReadAck { by: to, upto: read });
                }
                Message::ReadAck { by, upto } => s.acked[by] = s.acked[by].max(upto),
                Message::CoverageRequest { sent_at } => {
                    if !s.had_lease[C] && fault != Fault::CoverAfterMemoryLoss {
                        return None;
                    }
                    let read = if s.now < s.ack_limit.0 { s.copy[C].min(s.ack_limit.1) } else { s.copy[C] };
                    s.ack_limit = (s.ack_limit.0.max(s.now + LESSOR_LEASE), read);
                    let majority_only_until = if fault == Fault::CoverAfterMemoryLoss {
                        s.majority_only_until[C].max(sent_at + LEASE)
                    } else {
                        s.majority_only_until[C]
                    };
                    s.network.insert(Message::Coverage { sent_at, upto: s.copy[C], majority_only_until });
                }
                Message::Coverage { sent_at, upto, majority_only_until } => {
                    if sent_at + LEASE >= s.coverage.1 {
                        s.coverage = (upto, sent_at + LEASE, majority_only_until);
                    }
                }
            },
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(PROPERTY, |rules: &Rules, state: &State| {
            let holds = !state.relies_on_copy() || state.copy[B] >= state.answered;
            rules.violated.fetch_or(!holds, Ordering::Relaxed);
            rules.made_progress.fetch_or(state.relies_on_copy() && state.answered > 0, Ordering::Relaxed);
            holds
        })]
    }
}

/// Limits on the states that the breadth-first search visits and on the steps of the random runs. Both use
/// one thread, so that every run of the test visits the same states.
const MAX_STATES: usize = 2_000_000;
const MAX_STEPS: usize = 3_000_000;
const PROPERTY: &str = "B knows all answered writes while it relies on its copy";

fn rules(fault: Fault) -> Rules {
    Rules {
        fault,
        writes: 2,
        max_time: 10,
        violated: AtomicBool::new(false),
        made_progress: AtomicBool::new(false),
    }
}

/// Returns true if the property was violated.
fn violated<C: Checker<Rules>>(checker: &C) -> bool {
    checker.model().violated.load(Ordering::Relaxed)
}

#[test]
fn no_event_order_hides_an_answered_write() {
    let checker = rules(Fault::None).checker().target_state_count(MAX_STATES).spawn_bfs().join();
    let (all, unique, depth) = (checker.state_count(), checker.unique_state_count(), checker.max_depth());
    println!("breadth-first: {all} states, {unique} unique, all orders of up to {} steps", depth - 1);
    assert!(!violated(&checker));
    let checker =
        rules(Fault::None).checker().target_state_count(MAX_STEPS).spawn_simulation(7, UniformChooser).join();
    println!("random: {} steps, runs of up to {} steps", checker.state_count(), checker.max_depth());
    assert!(!violated(&checker));
    // The rules still permit progress: a write is answered while B relies on its copy.
    assert!(checker.model().made_progress.load(Ordering::Relaxed));
}

#[rstest]
#[case(Fault::AnswerWithoutWaiting)]
#[case(Fault::LeaseFromReceipt)]
#[case(Fault::LeaseWithoutReading)]
#[case(Fault::AcknowledgeWhileCovering)]
#[case(Fault::CoverAfterMemoryLoss)]
#[case(Fault::NoMajorityPromise)]
#[case(Fault::PromiseWithoutReading)]
fn disabling_a_rule_hides_an_answered_write(#[case] fault: Fault) {
    let checker =
        rules(fault).checker().finish_when(HasDiscoveries::AnyFailures).target_state_count(10 * MAX_STEPS);
    let checker = checker.spawn_simulation(7, UniformChooser).join();
    println!("{fault:?}: {} steps", checker.state_count());
    assert!(violated(&checker), "no violation found with {fault:?}");
}
