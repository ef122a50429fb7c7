//! How attempts end: what was received, what is concluded from it, and what it proves. These are three types,
//! since a served answer that cannot be used has run all the same.

/// How an attempt or a probe ended: what its member answered, or what became of its connection. Conclusions
/// never change it; [`Evidence`] states what it proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; the request may have taken effect.
    Error,
    /// Rejected before it was examined.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never written to a connection.
    NotSent,
    /// Rejected without running: the member is not the primary, or is too far behind.
    Miss,
}

impl Outcome {
    /// Name in the log.
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
    /// The outcome is taken as received.
    AsReceived,
    /// Served, and therefore run, but from data that may be older than the class allows: the answer is not
    /// passed on.
    TooOld,
}

/// What is certain about whether an attempt has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The attempt is in flight.
    InFlight,
    /// No part of it has run or will run: the member stated this, or its last byte was never written.
    NeverRan,
    /// It may have run, or may yet run.
    MayHaveRun,
    /// The member has answered it, whether or not the answer is usable.
    Ran,
}

impl Evidence {
    /// What the end of an attempt proves. A conclusion does not change what has run.
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

    /// Returns true if it is certain that nothing has run.
    pub fn proves_not_run(self) -> bool {
        self == Evidence::NeverRan
    }
}
