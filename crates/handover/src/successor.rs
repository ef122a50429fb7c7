//! The daemon that comes.

use crate::message::Message;
use crate::ANSWER_TIMEOUT;

/// What its first seconds are judged by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// How long they last (seconds).
    pub seconds: f64,
    /// Answers below which nothing is said against it.
    pub min_answers: u64,
    /// Share of them that may be refusals or failures.
    pub bad_share: f64,
}

impl Default for Trial {
    fn default() -> Self {
        Trial { seconds: 3.0, min_answers: 20, bad_share: 0.5 }
    }
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorEvent {
    /// The old daemon says this.
    Received(Message),
    /// Its connection has ended: it is gone.
    Disconnected,
    /// All that is needed to serve is there.
    ReadyToServe,
    /// Time passes; answers since clients are taken in, how many of them were refusals or failures (at most as many), and how many
    /// requests wait for a server now.
    Time(u64, u64, u64),
}

/// What the driver does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorAction {
    /// Tell the old daemon.
    Send(Message),
    /// Take in clients.
    Accept,
    /// Take in no more, and come to an end: the old daemon does so again.
    Yield(String),
    /// It is the daemon now: what only one may have is taken over.
    TakeOver,
    /// Come again then.
    Timer(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It has what the old one knows, and comes up.
    Coming,
    /// It has said that it could.
    Ready,
    /// It takes in clients, on trial.
    Trial,
    Standing,
    Yielded,
}

/// The successor's side, from the offer on.
#[derive(Debug)]
pub struct Successor {
    trial: Trial,
    stage: Stage,
    until: f64,
}

impl Successor {
    /// The offer has been taken.
    pub fn new(trial: Trial, now: f64, out: &mut Vec<SuccessorAction>) -> Successor {
        out.push(SuccessorAction::Timer(now + ANSWER_TIMEOUT));
        Successor { trial, stage: Stage::Coming, until: now + ANSWER_TIMEOUT }
    }

    /// Whether it is the daemon.
    pub fn has_taken_over(&self) -> bool {
        self.stage == Stage::Standing
    }

    /// Takes in what happens.
    pub fn handle(&mut self, now: f64, seen: SuccessorEvent, out: &mut Vec<SuccessorAction>) {
        match (self.stage, seen) {
            (Stage::Coming, SuccessorEvent::ReadyToServe) => {
                self.wait(Stage::Ready, now + ANSWER_TIMEOUT, out);
                out.push(SuccessorAction::Send(Message::Ready));
            }
            (Stage::Ready, SuccessorEvent::Received(Message::AcceptClients)) => {
                self.wait(Stage::Trial, now + self.trial.seconds, out);
                out.push(SuccessorAction::Accept);
            }
            // Nobody is there any more to hand back to, and nobody else takes in clients.
            (Stage::Coming | Stage::Ready | Stage::Trial, SuccessorEvent::Disconnected) => {
                if self.stage != Stage::Trial {
                    out.push(SuccessorAction::Accept);
                }
                self.stage = Stage::Standing;
                out.push(SuccessorAction::TakeOver);
            }
            (Stage::Trial, SuccessorEvent::Time(answers, bad, waiting)) => {
                let worse =
                    answers >= self.trial.min_answers && bad as f64 > answers as f64 * self.trial.bad_share;
                if worse {
                    self.gives_back(format!("{bad} of {answers} answers are refusals or failures"), out);
                } else if now >= self.until && waiting > answers - bad {
                    // Nobody is refused yet, and hardly anybody is served.
                    self.gives_back(
                        format!("{waiting} requests wait for a server, {} were served", answers - bad),
                        out,
                    );
                } else if now >= self.until {
                    self.stage = Stage::Standing;
                    // Told last: an old daemon at its end removes the paths that are still its own, and would remove
                    // one that this daemon takes between its look and its removal.
                    out.push(SuccessorAction::TakeOver);
                    out.push(SuccessorAction::Send(Message::Confirmed));
                } else {
                    // Looked at more often than once: harm ends sooner.
                    out.push(SuccessorAction::Timer(self.until.min(now + 0.1)));
                }
            }
            (Stage::Coming, SuccessorEvent::Time(..)) if now >= self.until => {
                self.gives_back("no list with a member that serves".into(), out);
            }
            (Stage::Ready, SuccessorEvent::Time(..)) if now >= self.until => {
                self.gives_back("the old daemon does not answer".into(), out);
            }
            (Stage::Coming | Stage::Ready, SuccessorEvent::Time(..)) => {
                out.push(SuccessorAction::Timer(self.until))
            }
            (
                Stage::Coming | Stage::Ready | Stage::Trial,
                SuccessorEvent::Received(Message::Denied { why }),
            ) => {
                self.stage = Stage::Yielded;
                out.push(SuccessorAction::Yield(format!("the old daemon does not wait: {why}")));
            }
            (Stage::Coming | Stage::Ready | Stage::Trial, SuccessorEvent::Received(_)) => {
                self.gives_back("the old daemon says what makes no sense".into(), out);
            }
            (Stage::Trial | Stage::Ready | Stage::Standing | Stage::Yielded, _) => {}
        }
    }

    fn wait(&mut self, stage: Stage, until: f64, out: &mut Vec<SuccessorAction>) {
        (self.stage, self.until) = (stage, until);
        out.push(SuccessorAction::Timer(until.min(if stage == Stage::Trial {
            until - self.trial.seconds + 0.1
        } else {
            until
        })));
    }

    fn gives_back(&mut self, why: String, out: &mut Vec<SuccessorAction>) {
        self.stage = Stage::Yielded;
        out.push(SuccessorAction::Send(Message::HandBack { why: why.clone() }));
        out.push(SuccessorAction::Yield(why));
    }
}
