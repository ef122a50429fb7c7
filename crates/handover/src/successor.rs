//! The side of the new process.

use crate::message::Message;
use crate::ANSWER_TIMEOUT;

/// Conditions under which the successor passes its trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// Length of the trial (seconds).
    pub seconds: f64,
    /// Minimum number of answers before the share of unsuccessful ones is evaluated.
    pub min_answers: u64,
    /// Maximum share of answers that are refusals or failures.
    pub max_unsuccessful_share: f64,
}

impl Default for Trial {
    fn default() -> Self {
        Trial { seconds: 3.0, min_answers: 20, max_unsuccessful_share: 0.5 }
    }
}

/// Input events.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorEvent {
    /// A message of the predecessor.
    Received(Message),
    /// The predecessor's connection has ended.
    Disconnected,
    /// Everything that is needed to serve clients is available.
    ReadyToServe,
    /// Time has passed. Carries the number of answers since clients are accepted, the number of refusals and
    /// failures among them (at most as many), and the number of requests that wait for a server now.
    Time(u64, u64, u64),
}

/// Actions for the driver, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorAction {
    /// Send a message to the predecessor.
    Send(Message),
    /// Accept clients.
    Accept,
    /// Stop accepting clients and shut down, for this reason: the predecessor accepts clients again.
    Yield(String),
    /// The takeover is complete: acquire the resources that only one process may hold.
    TakeOver,
    /// Call again with [`SuccessorEvent::Time`] at this time.
    Timer(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The offer has been received; the process is starting.
    Starting,
    /// [`Message::Ready`] has been sent.
    Ready,
    /// Accepting clients, on trial.
    Trial,
    /// The takeover is complete.
    TakenOver,
    /// Handed back, or refused by the predecessor.
    Yielded,
}

/// The successor's side of a handover, from the offer on.
#[derive(Debug)]
pub struct Successor {
    trial: Trial,
    stage: Stage,
    deadline: f64,
}

impl Successor {
    /// Starts when the offer has been received.
    pub fn new(trial: Trial, now: f64, out: &mut Vec<SuccessorAction>) -> Successor {
        out.push(SuccessorAction::Timer(now + ANSWER_TIMEOUT));
        Successor { trial, stage: Stage::Starting, deadline: now + ANSWER_TIMEOUT }
    }

    /// Returns true once the takeover is complete.
    pub fn has_taken_over(&self) -> bool {
        self.stage == Stage::TakenOver
    }

    /// Handles one event at the time `now`.
    pub fn handle(&mut self, now: f64, event: SuccessorEvent, out: &mut Vec<SuccessorAction>) {
        match (self.stage, event) {
            (Stage::Starting, SuccessorEvent::ReadyToServe) => {
                self.enter(Stage::Ready, now + ANSWER_TIMEOUT, out);
                out.push(SuccessorAction::Send(Message::Ready));
            }
            (Stage::Ready, SuccessorEvent::Received(Message::AcceptClients)) => {
                self.enter(Stage::Trial, now + self.trial.seconds, out);
                out.push(SuccessorAction::Accept);
            }
            // The predecessor is gone: it cannot take clients back, and no other process accepts them.
            (Stage::Starting | Stage::Ready | Stage::Trial, SuccessorEvent::Disconnected) => {
                if self.stage != Stage::Trial {
                    out.push(SuccessorAction::Accept);
                }
                self.stage = Stage::TakenOver;
                out.push(SuccessorAction::TakeOver);
            }
            (Stage::Trial, SuccessorEvent::Time(answers, unsuccessful, waiting)) => {
                let too_many_unsuccessful = answers >= self.trial.min_answers
                    && unsuccessful as f64 > answers as f64 * self.trial.max_unsuccessful_share;
                if too_many_unsuccessful {
                    self.hand_back(
                        format!("{unsuccessful} of {answers} answers are refusals or failures"),
                        out,
                    );
                } else if now >= self.deadline && waiting > answers - unsuccessful {
                    // Requests are not refused yet, but more of them wait than were served.
                    self.hand_back(
                        format!(
                            "{waiting} requests wait for a server, {} were served",
                            answers - unsuccessful
                        ),
                        out,
                    );
                } else if now >= self.deadline {
                    self.stage = Stage::TakenOver;
                    // Sent last: on shutdown the predecessor removes the paths that it still owns, and would
                    // remove a path that this process takes between the predecessor's check and the removal.
                    out.push(SuccessorAction::TakeOver);
                    out.push(SuccessorAction::Send(Message::Confirmed));
                } else {
                    // Checked repeatedly, so that a failed trial ends early.
                    out.push(SuccessorAction::Timer(self.deadline.min(now + 0.1)));
                }
            }
            (Stage::Starting, SuccessorEvent::Time(..)) if now >= self.deadline => {
                self.hand_back("no list with a serving member was received in time".into(), out);
            }
            (Stage::Ready, SuccessorEvent::Time(..)) if now >= self.deadline => {
                self.hand_back("the predecessor does not answer".into(), out);
            }
            (Stage::Starting | Stage::Ready, SuccessorEvent::Time(..)) => {
                out.push(SuccessorAction::Timer(self.deadline))
            }
            (
                Stage::Starting | Stage::Ready | Stage::Trial,
                SuccessorEvent::Received(Message::Denied { why }),
            ) => {
                self.stage = Stage::Yielded;
                out.push(SuccessorAction::Yield(format!("the predecessor has ended the handover: {why}")));
            }
            (Stage::Starting | Stage::Ready | Stage::Trial, SuccessorEvent::Received(_)) => {
                self.hand_back("unexpected message from the predecessor".into(), out);
            }
            (Stage::Trial | Stage::Ready | Stage::TakenOver | Stage::Yielded, _) => {}
        }
    }

    fn enter(&mut self, stage: Stage, deadline: f64, out: &mut Vec<SuccessorAction>) {
        (self.stage, self.deadline) = (stage, deadline);
        out.push(SuccessorAction::Timer(deadline.min(if stage == Stage::Trial {
            deadline - self.trial.seconds + 0.1
        } else {
            deadline
        })));
    }

    fn hand_back(&mut self, why: String, out: &mut Vec<SuccessorAction>) {
        self.stage = Stage::Yielded;
        out.push(SuccessorAction::Send(Message::HandBack { why: why.clone() }));
        out.push(SuccessorAction::Yield(why));
    }
}
