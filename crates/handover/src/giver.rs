//! The daemon that runs.

use crate::message::Say;
use crate::PATIENCE;

/// How long a successor's first seconds may last (seconds): longer than any trial that is configured.
const TRIAL: f64 = 120.0;

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// The successor says this.
    Said(Say),
    /// Its connection has ended: it is gone.
    Gone,
    /// Time passes.
    Time,
}

/// What the driver does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Tell the successor.
    Say(Say),
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
    Hang,
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
pub struct Giver {
    stage: Stage,
    until: f64,
}

impl Default for Giver {
    fn default() -> Self {
        Giver { stage: Stage::Idle, until: f64::INFINITY }
    }
}

impl Giver {
    /// Whether a successor is at it: nothing that both would do is begun meanwhile.
    pub fn is_busy(&self) -> bool {
        matches!(self.stage, Stage::Offered | Stage::Given)
    }

    /// Takes in what happens. `hindrance` says why there can be no hand-over now.
    pub fn handle(&mut self, now: f64, heard: Heard, hindrance: Option<&str>, out: &mut Vec<Act>) {
        match (self.stage, heard) {
            (Stage::Idle, Heard::Said(Say::Ask { oldest, version, .. })) => match hindrance {
                Some(why) => {
                    out.push(Act::Say(Say::Denied { why: why.into() }));
                    out.push(Act::Hang);
                }
                None => {
                    out.push(Act::Offer { versions: (oldest, version) });
                    self.wait(Stage::Offered, now + PATIENCE, out);
                }
            },
            // Also where it was told to end meanwhile: the successor goes on alone.
            (Stage::Offered, Heard::Said(Say::Ready)) => {
                out.push(Act::Pause);
                out.push(Act::Say(Say::Yours));
                self.wait(Stage::Given, now + TRIAL, out);
            }
            (Stage::Given, Heard::Said(Say::Stands)) => {
                self.stage = Stage::Over;
                out.push(Act::Succeeded);
            }
            (Stage::Given, Heard::Said(Say::Back { why })) => {
                self.fails(format!("it hands back: {why}"), out)
            }
            (Stage::Offered, Heard::Said(Say::Back { why })) => {
                self.fails(format!("it gives up: {why}"), out)
            }
            (Stage::Given, Heard::Gone) => self.fails("it is gone".into(), out),
            (Stage::Offered, Heard::Gone) => self.fails("it is gone".into(), out),
            (Stage::Given, Heard::Time) if now >= self.until => {
                self.fails("it does not say how it goes".into(), out)
            }
            (Stage::Offered, Heard::Time) if now >= self.until => {
                self.fails("it does not come up in time".into(), out);
            }
            (Stage::Offered | Stage::Given, Heard::Time) => out.push(Act::Timer(self.until)),
            (Stage::Given, Heard::Said(_)) => self.fails("it says what makes no sense".into(), out),
            (Stage::Offered, Heard::Said(_)) => self.fails("it says what makes no sense".into(), out),
            (Stage::Idle, Heard::Said(_)) => out.push(Act::Hang),
            (Stage::Idle | Stage::Over, _) => {}
        }
    }

    fn wait(&mut self, stage: Stage, until: f64, out: &mut Vec<Act>) {
        (self.stage, self.until) = (stage, until);
        out.push(Act::Timer(until));
    }

    /// It is given up, whether or not it has taken in clients.
    fn fails(&mut self, why: String, out: &mut Vec<Act>) {
        *self = Giver::default();
        // Said before the end: a successor that sees the end alone takes this daemon for dead and goes on.
        out.push(Act::Say(Say::Denied { why: why.clone() }));
        out.push(Act::Resume(why));
        out.push(Act::Hang);
    }
}
