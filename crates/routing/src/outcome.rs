//! How attempts end: what was received, what is concluded from it, and what it proves. Three types, so that none is taken for
//! another: a served answer that is of no use has run all the same.

/// How an attempt or a probe ended: what its member said, or what became of its connection. It is never changed by what is
/// concluded from it; what it proves is told by [`Evidence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; an effect is possible.
    Error,
    /// Turned away unexamined.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
}

impl Outcome {
    /// Its name in the log.
    pub fn log_name(self) -> &'static str {
        match self {
            Outcome::Ok => "Ok",
            Outcome::Error => "Error",
            Outcome::Full => "Full",
            Outcome::Timeout => "Timeout",
            Outcome::ConnectFailed => "ConnectFailed",
            Outcome::Reset => "Reset",
            Outcome::Cancelled => "Cancelled",
            Outcome::NotSent => "Moot",
            Outcome::Miss => "Miss",
        }
    }
}

/// What is concluded from an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// It is what it says.
    AsReceived,
    /// It was served and has therefore run, but from data that may be older than its class allows: it is not passed on.
    TooOld,
}

/// What is certain about whether an attempt took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It is out.
    InFlight,
    /// Nothing of it was or will be carried out: its member said so, or its last byte was never written.
    NeverRan,
    /// It may have run, or may yet.
    MayHaveRun,
    /// Its member has answered it, whatever the answer is worth.
    Ran,
}

impl Evidence {
    /// What the end of an attempt proves. A conclusion changes nothing of what has run.
    pub fn of(outcome: Outcome, conclusion: Conclusion) -> Evidence {
        match (outcome, conclusion) {
            (_, Conclusion::TooOld) | (Outcome::Ok, _) => Evidence::Ran,
            (Outcome::Full | Outcome::Miss | Outcome::ConnectFailed | Outcome::NotSent, _) => {
                Evidence::NeverRan
            }
            (Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled, _) => {
                Evidence::MayHaveRun
            }
        }
    }

    /// Whether nothing can have come of it.
    pub fn proves_not_run(self) -> bool {
        self == Evidence::NeverRan
    }
}
