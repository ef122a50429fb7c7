//! The daemon that runs.

use crate::message::Message;
use crate::ANSWER_TIMEOUT;

/// How long a successor's first seconds may last (seconds): longer than any trial that is configured.
const TRIAL: f64 = 120.0;

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorEvent {
    /// The successor says this.
    Received(Message),
    /// Its connection has ended: it is gone.
    Disconnected,
    /// Time passes.
    Time,
}

/// What the driver does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorAction {
    /// Tell the successor.
    Send(Message),
    /// Send the descriptors and the snapshot, which a reader of these versions can use.
    Offer {
        /// The oldest and the newest version that it reads.
        versions: (u32, u32),
    },
    /// Take in no clients; the listener is kept.
    Pause,
    /// Take in clients again: the successor has failed, for this reason.
    Resume(String),
    /// The successor stands: come to an end.
    Succeeded,
    /// End the connection.
    Disconnect,
    /// Come again then.
    Timer(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    /// The successor has what it needs, and comes up.
    Offered,
    /// The successor takes in clients, on trial.
    Given,
    /// It stands.
    Over,
}

/// The daemon's side.
#[derive(Debug)]
pub struct Predecessor {
    stage: Stage,
    until: f64,
}

impl Default for Predecessor {
    fn default() -> Self {
        Predecessor { stage: Stage::Idle, until: f64::INFINITY }
    }
}

impl Predecessor {
    /// Whether a successor is at it: nothing that both would do is begun meanwhile.
    pub fn is_busy(&self) -> bool {
        matches!(self.stage, Stage::Offered | Stage::Given)
    }

    /// Takes in what happens. `hindrance` says why there can be no hand-over now.
    pub fn handle(
        &mut self,
        now: f64,
        heard: PredecessorEvent,
        hindrance: Option<&str>,
        out: &mut Vec<PredecessorAction>,
    ) {
        match (self.stage, heard) {
            (Stage::Idle, PredecessorEvent::Received(Message::Ask { oldest, version, .. })) => {
                match hindrance {
                    Some(why) => {
                        out.push(PredecessorAction::Send(Message::Denied { why: why.into() }));
                        out.push(PredecessorAction::Disconnect);
                    }
                    None => {
                        out.push(PredecessorAction::Offer { versions: (oldest, version) });
                        self.wait(Stage::Offered, now + ANSWER_TIMEOUT, out);
                    }
                }
            }
            // Also where it was told to end meanwhile: the successor goes on alone.
            (Stage::Offered, PredecessorEvent::Received(Message::Ready)) => {
                out.push(PredecessorAction::Pause);
                out.push(PredecessorAction::Send(Message::AcceptClients));
                self.wait(Stage::Given, now + TRIAL, out);
            }
            (Stage::Given, PredecessorEvent::Received(Message::Confirmed)) => {
                self.stage = Stage::Over;
                out.push(PredecessorAction::Succeeded);
            }
            (Stage::Given, PredecessorEvent::Received(Message::HandBack { why })) => {
                self.fails(format!("it hands back: {why}"), out)
            }
            (Stage::Offered, PredecessorEvent::Received(Message::HandBack { why })) => {
                self.fails(format!("it gives up: {why}"), out)
            }
            (Stage::Given, PredecessorEvent::Disconnected) => self.fails("it is gone".into(), out),
            (Stage::Offered, PredecessorEvent::Disconnected) => self.fails("it is gone".into(), out),
            (Stage::Given, PredecessorEvent::Time) if now >= self.until => {
                self.fails("it does not say how it goes".into(), out)
            }
            (Stage::Offered, PredecessorEvent::Time) if now >= self.until => {
                self.fails("it does not come up in time".into(), out);
            }
            (Stage::Offered | Stage::Given, PredecessorEvent::Time) => {
                out.push(PredecessorAction::Timer(self.until))
            }
            (Stage::Given, PredecessorEvent::Received(_)) => {
                self.fails("it says what makes no sense".into(), out)
            }
            (Stage::Offered, PredecessorEvent::Received(_)) => {
                self.fails("it says what makes no sense".into(), out)
            }
            (Stage::Idle, PredecessorEvent::Received(_)) => out.push(PredecessorAction::Disconnect),
            (Stage::Idle | Stage::Over, _) => {}
        }
    }

    fn wait(&mut self, stage: Stage, until: f64, out: &mut Vec<PredecessorAction>) {
        (self.stage, self.until) = (stage, until);
        out.push(PredecessorAction::Timer(until));
    }

    /// It is given up, whether or not it has taken in clients.
    fn fails(&mut self, why: String, out: &mut Vec<PredecessorAction>) {
        *self = Predecessor::default();
        // Said before the end: a successor that sees the end alone takes this daemon for dead and goes on.
        out.push(PredecessorAction::Send(Message::Denied { why: why.clone() }));
        out.push(PredecessorAction::Resume(why));
        out.push(PredecessorAction::Disconnect);
    }
}
