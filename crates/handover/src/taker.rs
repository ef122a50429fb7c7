//! The daemon that comes.

use crate::message::Say;
use crate::PATIENCE;

/// What its first seconds are judged by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// How long they last (seconds).
    pub seconds: f64,
    /// Answers below which nothing is said against it.
    pub least: u64,
    /// Share of them that may be refusals or failures.
    pub bad_share: f64,
}

impl Default for Trial {
    fn default() -> Self {
        Trial { seconds: 3.0, least: 20, bad_share: 0.5 }
    }
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// The old daemon says this.
    Said(Say),
    /// Its connection has ended: it is gone.
    Gone,
    /// All that is needed to serve is there.
    Up,
    /// Time passes; answers since clients are taken in, how many of them were refusals or failures (at most as many), and how many
    /// requests wait for a server now.
    Time(u64, u64, u64),
}

/// What the driver does, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Tell the old daemon.
    Say(Say),
    /// Take in clients.
    Accept,
    /// Take in no more, and come to an end: the old daemon does so again.
    Yield(String),
    /// It is the daemon now: what only one may have is taken over.
    Stand,
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
pub struct Taker {
    trial: Trial,
    stage: Stage,
    until: f64,
}

impl Taker {
    /// The offer has been taken.
    pub fn new(trial: Trial, now: f64, out: &mut Vec<Do>) -> Taker {
        out.push(Do::Timer(now + PATIENCE));
        Taker { trial, stage: Stage::Coming, until: now + PATIENCE }
    }

    /// Whether it is the daemon.
    pub fn stands(&self) -> bool {
        self.stage == Stage::Standing
    }

    /// Takes in what happens.
    pub fn handle(&mut self, now: f64, seen: Seen, out: &mut Vec<Do>) {
        match (self.stage, seen) {
            (Stage::Coming, Seen::Up) => {
                self.wait(Stage::Ready, now + PATIENCE, out);
                out.push(Do::Say(Say::Ready));
            }
            (Stage::Ready, Seen::Said(Say::Yours)) => {
                self.wait(Stage::Trial, now + self.trial.seconds, out);
                out.push(Do::Accept);
            }
            // Nobody is there any more to hand back to, and nobody else takes in clients.
            (Stage::Coming | Stage::Ready | Stage::Trial, Seen::Gone) => {
                if self.stage != Stage::Trial {
                    out.push(Do::Accept);
                }
                self.stage = Stage::Standing;
                out.push(Do::Stand);
            }
            (Stage::Trial, Seen::Time(answers, bad, waiting)) => {
                let worse = answers >= self.trial.least && bad as f64 > answers as f64 * self.trial.bad_share;
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
                    out.push(Do::Stand);
                    out.push(Do::Say(Say::Stands));
                } else {
                    // Looked at more often than once: harm ends sooner.
                    out.push(Do::Timer(self.until.min(now + 0.1)));
                }
            }
            (Stage::Coming, Seen::Time(..)) if now >= self.until => {
                self.gives_back("no list with a member that serves".into(), out);
            }
            (Stage::Ready, Seen::Time(..)) if now >= self.until => {
                self.gives_back("the old daemon does not answer".into(), out);
            }
            (Stage::Coming | Stage::Ready, Seen::Time(..)) => out.push(Do::Timer(self.until)),
            (Stage::Coming | Stage::Ready | Stage::Trial, Seen::Said(Say::Denied { why })) => {
                self.stage = Stage::Yielded;
                out.push(Do::Yield(format!("the old daemon does not wait: {why}")));
            }
            (Stage::Coming | Stage::Ready | Stage::Trial, Seen::Said(_)) => {
                self.gives_back("the old daemon says what makes no sense".into(), out);
            }
            (Stage::Trial | Stage::Ready | Stage::Standing | Stage::Yielded, _) => {}
        }
    }

    fn wait(&mut self, stage: Stage, until: f64, out: &mut Vec<Do>) {
        (self.stage, self.until) = (stage, until);
        out.push(Do::Timer(until.min(if stage == Stage::Trial {
            until - self.trial.seconds + 0.1
        } else {
            until
        })));
    }

    fn gives_back(&mut self, why: String, out: &mut Vec<Do>) {
        self.stage = Stage::Yielded;
        out.push(Do::Say(Say::Back { why: why.clone() }));
        out.push(Do::Yield(why));
    }
}
