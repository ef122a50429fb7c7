//! The side of the running process.

use crate::message::Message;
use crate::ANSWER_TIMEOUT;

/// Time limit of the successor's trial (seconds): longer than any trial that can be configured.
const TRIAL_TIMEOUT: f64 = 120.0;

/// Input events.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorEvent {
    /// A message of the successor.
    Received(Message),
    /// The successor's connection has ended.
    Disconnected,
    /// Time has passed.
    Time,
}

/// Actions for the driver, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorAction {
    /// Send a message to the successor.
    Send(Message),
    /// Send the descriptors, and a snapshot if the successor can read it.
    Offer {
        /// Oldest and newest snapshot version that the successor can read.
        versions: (u32, u32),
    },
    /// Stop accepting clients, but keep the listener open.
    Pause,
    /// Accept clients again: the successor has failed, for this reason.
    Resume(String),
    /// The successor has taken over: shut down.
    Succeeded,
    /// Close the connection to the successor.
    Disconnect,
    /// Call again with [`PredecessorEvent::Time`] at this time.
    Timer(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    /// The offer has been sent; the successor is starting.
    Offered,
    /// The successor accepts clients, on trial.
    Given,
    /// The successor has taken over.
    Over,
}

/// The predecessor's side of a handover.
#[derive(Debug)]
pub struct Predecessor {
    stage: Stage,
    deadline: f64,
}

impl Default for Predecessor {
    fn default() -> Self {
        Predecessor { stage: Stage::Idle, deadline: f64::INFINITY }
    }
}

impl Predecessor {
    /// Returns true during a handover. The pooler starts nothing meanwhile that both processes would then do.
    pub fn is_busy(&self) -> bool {
        matches!(self.stage, Stage::Offered | Stage::Given)
    }

    /// Handles one event at the time `now`. `obstacle` is the reason why no handover can begin now, if there
    /// is one.
    pub fn handle(
        &mut self,
        now: f64,
        event: PredecessorEvent,
        obstacle: Option<&str>,
        out: &mut Vec<PredecessorAction>,
    ) {
        match (self.stage, event) {
            (Stage::Idle, PredecessorEvent::Received(Message::Ask { oldest, version, .. })) => match obstacle
            {
                Some(why) => {
                    out.push(PredecessorAction::Send(Message::Denied { why: why.into() }));
                    out.push(PredecessorAction::Disconnect);
                }
                None => {
                    out.push(PredecessorAction::Offer { versions: (oldest, version) });
                    self.enter(Stage::Offered, now + ANSWER_TIMEOUT, out);
                }
            },
            // Applies even if this process was asked to shut down meanwhile: the successor continues alone.
            (Stage::Offered, PredecessorEvent::Received(Message::Ready)) => {
                out.push(PredecessorAction::Pause);
                out.push(PredecessorAction::Send(Message::AcceptClients));
                self.enter(Stage::Given, now + TRIAL_TIMEOUT, out);
            }
            (Stage::Given, PredecessorEvent::Received(Message::Confirmed)) => {
                self.stage = Stage::Over;
                out.push(PredecessorAction::Succeeded);
            }
            (Stage::Given, PredecessorEvent::Received(Message::HandBack { why })) => {
                self.fail(format!("the successor hands back: {why}"), out)
            }
            (Stage::Offered, PredecessorEvent::Received(Message::HandBack { why })) => {
                self.fail(format!("the successor gives up: {why}"), out)
            }
            (Stage::Given, PredecessorEvent::Disconnected) => {
                self.fail("the successor has disconnected".into(), out)
            }
            (Stage::Offered, PredecessorEvent::Disconnected) => {
                self.fail("the successor has disconnected".into(), out)
            }
            (Stage::Given, PredecessorEvent::Time) if now >= self.deadline => {
                self.fail("the successor has not reported the result of its trial in time".into(), out)
            }
            (Stage::Offered, PredecessorEvent::Time) if now >= self.deadline => {
                self.fail("the successor was not ready in time".into(), out);
            }
            (Stage::Offered | Stage::Given, PredecessorEvent::Time) => {
                out.push(PredecessorAction::Timer(self.deadline))
            }
            (Stage::Given, PredecessorEvent::Received(_)) => {
                self.fail("unexpected message from the successor".into(), out)
            }
            (Stage::Offered, PredecessorEvent::Received(_)) => {
                self.fail("unexpected message from the successor".into(), out)
            }
            (Stage::Idle, PredecessorEvent::Received(_)) => out.push(PredecessorAction::Disconnect),
            (Stage::Idle | Stage::Over, _) => {}
        }
    }

    fn enter(&mut self, stage: Stage, deadline: f64, out: &mut Vec<PredecessorAction>) {
        (self.stage, self.deadline) = (stage, deadline);
        out.push(PredecessorAction::Timer(deadline));
    }

    /// Ends the handover as failed, whether or not the successor has accepted clients.
    fn fail(&mut self, why: String, out: &mut Vec<PredecessorAction>) {
        *self = Predecessor::default();
        // Sent before disconnecting: a successor that sees only the disconnect regards this process as
        // dead and continues.
        out.push(PredecessorAction::Send(Message::Denied { why: why.clone() }));
        out.push(PredecessorAction::Resume(why));
        out.push(PredecessorAction::Disconnect);
    }
}
