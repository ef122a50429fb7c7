//! The rules of docs/replication.md, checked over all orders of what can happen to three instances: A, which takes writes of
//! one session, B, which reads, and C. Messages are lost, come twice and in any order; C may lose its memory; time passes
//! at any moment. Each rule is taken away in turn, and the check finds what it was for.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};

use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

/// Ticks that a lease lasts for whoever has it, and for whoever gave it; the longer promise.
const LEASE: u8 = 2;
const LENT: u8 = LEASE + 1;
const PATIENCE: u8 = 4;
const B: usize = 0;
const C: usize = 1;

/// What is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// R2: an answer waits for nobody.
    AnswersAtOnce,
    /// R2: a lease is counted from its receipt.
    FromReceipt,
    /// R2: a lease counts before the log has been read as far as it says.
    Unread,
    /// R3: who covers acknowledges on.
    AcknowledgesOn,
    /// R3: one that lost its memory covers.
    Forgot,
    /// R5: A does not keep to its longer promise.
    Impatient,
    /// R5: the promise counts without what was stated by then.
    PromiseUnread,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Ask { by: usize, asked: u8 },
    Grant { to: usize, asked: u8, upto: u8 },
    Push { to: usize, upto: u8 },
    Read { by: usize, upto: u8 },
    AskC { asked: u8 },
    Cover { asked: u8, upto: u8, long: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    /// A: writes begun, sent, answered; who must be waited for until when, by write; what has been acknowledged.
    begun: u8,
    sent: u8,
    answered: u8,
    waits: [[u8; 2]; 2],
    acknowledged: [u8; 2],
    lent: [u8; 2],
    free_at: u8,
    /// B and C: how far they have read, whether they ever had a lease, until when, the longer promise.
    copy: [u8; 2],
    met: [bool; 2],
    lease: [u8; 2],
    long: [u8; 2],
    /// C: until when it acknowledges no more than this.
    held: (u8, u8),
    /// B: how far C covers A, until when, the longer promise that C knows of.
    cover: (u8, u8, u8),
    forgot: bool,
    /// All that was ever sent: each may be delivered again, or never.
    net: BTreeSet<Message>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Time,
    Begin,
    Send,
    Answer,
    Ask(usize),
    Push(usize),
    AskC,
    Pass,
    Forget,
    Deliver(Message),
}

struct Rules {
    fault: Fault,
    writes: u8,
    until: u8,
    /// What was seen: the rule broken, and a write answered while B goes by its copy.
    broken: AtomicBool,
    useful: AtomicBool,
}

impl State {
    /// Whether B goes by what it has read of A.
    fn goes_by(&self) -> bool {
        let (upto, until, long) = self.cover;
        let covered = self.met[B] && self.now < until && self.copy[B] >= upto;
        self.now < self.lease[B] || (covered && self.now < long.max(self.long[B]))
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
            waits: [[0; 2]; 2],
            acknowledged: [0; 2],
            lent: [0; 2],
            free_at: 1 + PATIENCE + 1,
            copy: [0; 2],
            met: [false; 2],
            lease: [0; 2],
            long: [0; 2],
            held: (0, 0),
            cover: (0, 0, 0),
            forgot: false,
            net: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < self.until {
            steps.push(Step::Time);
        }
        if state.begun < self.writes && state.answered == state.begun {
            steps.push(Step::Begin);
        }
        steps.extend([Step::Send, Step::Answer, Step::Ask(B), Step::Ask(C), Step::AskC, Step::Pass]);
        steps.extend([Step::Push(B), Step::Push(C)]);
        if !state.forgot {
            steps.push(Step::Forget);
        }
        steps.extend(state.net.iter().copied().map(Step::Deliver));
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        let fault = self.fault;
        match step {
            Step::Time => s.now += 1,
            Step::Begin => {
                let write = usize::from(s.begun);
                s.begun += 1;
                for who in [B, C] {
                    s.waits[write][who] = if s.lent[who] > s.now { s.lent[who] } else { 0 };
                }
            }
            Step::Send => {
                let majority = s.acknowledged.iter().any(|read| *read >= s.begun);
                if s.sent == s.begun || !(majority || s.now >= s.free_at) {
                    return None;
                }
                s.sent = s.begun;
            }
            Step::Answer => {
                let waits = s.begun.checked_sub(1).map(|write| s.waits[usize::from(write)])?;
                let known = |who: usize| s.now >= waits[who] || s.acknowledged[who] >= s.begun;
                let may = fault == Fault::AnswersAtOnce || (known(B) && known(C));
                if s.answered == s.sent || !may {
                    return None;
                }
                s.answered = s.sent;
            }
            Step::Ask(by) => drop(s.net.insert(Message::Ask { by, asked: s.now })),
            Step::Push(to) if s.begun > 0 => drop(s.net.insert(Message::Push { to, upto: s.begun })),
            Step::AskC => drop(s.net.insert(Message::AskC { asked: s.now })),
            Step::Pass if s.copy[C] > 0 => drop(s.net.insert(Message::Push { to: B, upto: s.copy[C] })),
            Step::Push(_) | Step::Pass => return None,
            Step::Forget => {
                s.forgot = true;
                (s.copy[C], s.met[C], s.lease[C], s.long[C], s.held) = (0, false, 0, 0, (0, 0));
            }
            Step::Deliver(message) => match message {
                Message::Ask { by, asked } => {
                    s.lent[by] = s.lent[by].max(s.now + LENT);
                    if fault != Fault::Impatient {
                        s.free_at = s.free_at.max(s.now + PATIENCE + 1);
                    }
                    s.net.insert(Message::Grant { to: by, asked, upto: s.begun });
                }
                Message::Grant { to, asked, upto } => {
                    let read = s.copy[to] >= upto;
                    if read || fault == Fault::Unread {
                        let from = if fault == Fault::FromReceipt { s.now } else { asked };
                        s.lease[to] = s.lease[to].max(from + LEASE);
                        s.met[to] = true;
                    }
                    if read || fault == Fault::PromiseUnread {
                        s.long[to] = s.long[to].max(asked + PATIENCE);
                    }
                }
                Message::Push { to, upto } => {
                    s.copy[to] = s.copy[to].max(upto);
                    let holds = to == C && s.now < s.held.0 && fault != Fault::AcknowledgesOn;
                    let read = if holds { s.copy[to].min(s.held.1) } else { s.copy[to] };
                    s.net.insert(Message::Read { by: to, upto: read });
                }
                Message::Read { by, upto } => s.acknowledged[by] = s.acknowledged[by].max(upto),
                Message::AskC { asked } => {
                    if !s.met[C] && fault != Fault::Forgot {
                        return None;
                    }
                    let read = if s.now < s.held.0 { s.copy[C].min(s.held.1) } else { s.copy[C] };
                    s.held = (s.held.0.max(s.now + LENT), read);
                    let long = if fault == Fault::Forgot { s.long[C].max(asked + LEASE) } else { s.long[C] };
                    s.net.insert(Message::Cover { asked, upto: s.copy[C], long });
                }
                Message::Cover { asked, upto, long } => {
                    if asked + LEASE >= s.cover.1 {
                        s.cover = (upto, asked + LEASE, long);
                    }
                }
            },
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(RULE, |rules: &Rules, state: &State| {
            let holds = !state.goes_by() || state.copy[B] >= state.answered;
            rules.broken.fetch_or(!holds, Ordering::Relaxed);
            rules.useful.fetch_or(state.goes_by() && state.answered > 0, Ordering::Relaxed);
            holds
        })]
    }
}

/// States that the check in breadth looks at at the most, and steps that random runs take: one thread, so that every run of the
/// test looks at the same.
const STATES: usize = 2_000_000;
const STEPS: usize = 3_000_000;
const RULE: &str = "B knows of all that was answered";

fn rules(fault: Fault) -> Rules {
    Rules { fault, writes: 2, until: 10, broken: AtomicBool::new(false), useful: AtomicBool::new(false) }
}

/// Whether the rule was broken.
fn broken<C: Checker<Rules>>(checker: &C) -> bool {
    checker.model().broken.load(Ordering::Relaxed)
}

#[test]
fn no_order_of_events_hides_an_answered_write() {
    let checker = rules(Fault::None).checker().target_state_count(STATES).spawn_bfs().join();
    let (all, unique, depth) = (checker.state_count(), checker.unique_state_count(), checker.max_depth());
    println!("in breadth: {all} states, {unique} different, all orders of up to {} steps", depth - 1);
    assert!(!broken(&checker));
    let checker =
        rules(Fault::None).checker().target_state_count(STEPS).spawn_simulation(7, UniformChooser).join();
    println!("at random: {} steps, runs of up to {}", checker.state_count(), checker.max_depth());
    assert!(!broken(&checker));
    // The rules leave something to be seen: a write is answered while B goes by its copy.
    assert!(checker.model().useful.load(Ordering::Relaxed));
}

#[rstest]
#[case(Fault::AnswersAtOnce)]
#[case(Fault::FromReceipt)]
#[case(Fault::Unread)]
#[case(Fault::AcknowledgesOn)]
#[case(Fault::Forgot)]
#[case(Fault::Impatient)]
#[case(Fault::PromiseUnread)]
fn without_a_rule_a_write_is_hidden(#[case] fault: Fault) {
    let checker =
        rules(fault).checker().finish_when(HasDiscoveries::AnyFailures).target_state_count(10 * STEPS);
    let checker = checker.spawn_simulation(7, UniformChooser).join();
    println!("{fault:?}: {} steps", checker.state_count());
    assert!(broken(&checker), "{fault:?} is not found");
}
