//! The control socket's messages: one JSON object a line in each direction, one call at a time. No I/O.
#![warn(missing_docs)]

use operator::schema::Activation;
use operator::Difference;
use serde::{Deserialize, Serialize};
use transaction::{Entry, Finding, Severity};

/// The version of these messages; a call of another is turned down.
pub const VERSION: u32 = 1;
/// Longest line (bytes): an operator's file of the longest that is read, as JSON, with what goes with it.
pub const MAX_LINE_BYTES: usize = operator::MAX_FILE_BYTES + operator::MAX_FILE_BYTES / 4;
/// Most differences that an answer lists; the rest are counted.
pub const MAX_CHANGES: usize = 200;
/// Most sessions that an answer lists; the rest are counted.
pub const MAX_SESSIONS: usize = 1_000;

/// A call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// [`VERSION`].
    pub v: u32,
    /// What is asked.
    #[serde(flatten)]
    pub call: Call,
}

/// What can be asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Call {
    /// What a file would change, and what stands in its way; nothing is changed.
    Plan {
        /// The file's text.
        text: String,
    },
    /// Take a file.
    Apply {
        /// The file's text.
        text: String,
        /// What its author says of it.
        #[serde(default)]
        note: String,
        /// Needs the operator's confirmation within so long (seconds).
        #[serde(default)]
        confirm_within_s: Option<f64>,
        /// Guarded findings that may stand, by code.
        #[serde(default)]
        allow: Vec<String>,
    },
    /// The change on probation shall stand.
    Confirm {
        /// Only where it is this one.
        #[serde(default)]
        generation: Option<u64>,
    },
    /// Undo the change on probation, or go back to an earlier generation by a change of its own.
    Rollback {
        /// The generation; the one before the last where not given.
        #[serde(default)]
        to: Option<u64>,
        /// Guarded findings that may stand, by code.
        #[serde(default)]
        allow: Vec<String>,
    },
    /// What is in force.
    Status {},
    /// What has been.
    History {},
    /// The document in force, as a file.
    Show {},
    /// The sessions of ordinary clients.
    Sessions {},
    /// Other instances.
    Peers {
        /// What is asked of them.
        what: PeersQuery,
    },
}

/// What can be asked of other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeersQuery {
    /// Who is there, and how far behind each is.
    Status,
    /// How members look to all.
    Members,
    /// What each instance has stated, as sums to be held against another's.
    Digests,
    /// What is known of a member, and why it is believed.
    Member(String),
    /// What is known of a session's writes, and why its reads go where they go.
    Session(String),
    /// An instance, or a seed by its address, is over and does not come back.
    Forget(String),
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// Done, or told.
    Ok,
    /// In force, on probation.
    Applied,
    /// It stands.
    Confirmed,
    /// It says what is in force already.
    Unchanged,
    /// The check stands in the way.
    Refused,
    /// Another change is not done with.
    Busy,
    /// Undone.
    RolledBack,
    /// It could not be taken: nothing has changed.
    NotTaken,
    /// There is nothing to confirm or to undo.
    Nothing,
    /// The file cannot be read, or its signature is not taken.
    Unreadable,
    /// The call is not of the agreed form.
    Malformed,
}

impl Code {
    /// The exit code of a command that ends so: 0 done, 1 refused, 2 usage or unreadable, 3 rolled back.
    pub fn exit_code(self) -> u8 {
        match self {
            Code::Ok | Code::Applied | Code::Confirmed | Code::Unchanged => 0,
            Code::Refused | Code::Busy | Code::NotTaken | Code::Nothing => 1,
            Code::Unreadable | Code::Malformed => 2,
            Code::RolledBack => 3,
        }
    }
}

/// A finding, as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Found {
    pub code: String,
    pub severity: String,
    pub what: String,
}

impl From<&Finding> for Found {
    fn from(finding: &Finding) -> Found {
        let (code, severity) = (finding.code.to_string(), finding.severity.to_string());
        Found { code, severity, what: finding.what.clone() }
    }
}

impl Found {
    /// Whether it stands in the way unless it is allowed by name.
    pub fn is_guarded(&self) -> bool {
        self.severity == Severity::Guarded.to_string()
    }
}

/// A difference, as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Change {
    pub key: String,
    pub from: Option<String>,
    pub to: Option<String>,
    pub needs_restart: bool,
}

impl From<&Difference> for Change {
    fn from(difference: &Difference) -> Change {
        let Difference { key, from, to, activation: when } = difference.clone();
        Change { key, from, to, needs_restart: when == Activation::Restart }
    }
}

/// What is in force, and what is under way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // Named for what they hold; times are Unix seconds.
pub struct Status {
    pub name: String,
    pub version: String,
    pub generation: u64,
    pub digest: String,
    pub note: String,
    pub since: f64,
    pub confirmed: u64,
    /// `idle`, `staging`, `applying`, `probation`, `confirming` or `reverting`.
    pub stage: String,
    /// The end of the probation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<f64>,
    /// Where the daemon is in its life: `starting`, `ready`, `reloading`, `draining`, `closing` or `cutting`.
    #[serde(default)]
    pub life: String,
    #[serde(default)]
    pub pid: u32,
    /// Final answers since its start.
    #[serde(default)]
    pub served: u64,
    #[serde(default)]
    pub refused: u64,
    #[serde(default)]
    pub failed: u64,
    pub members: usize,
    pub requests: usize,
    pub overrides: usize,
    /// Whether steps are kept on disk.
    pub lasting: bool,
    /// How the last change ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last: Option<Entry>,
}

/// A session of an ordinary client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Session {
    pub user: String,
    pub database: String,
    /// The client's address.
    pub from: String,
    /// `login`, `idle`, `waiting`, `busy`, `transaction` or `ending`.
    pub state: String,
    /// For how long it has been so (seconds).
    pub lasts_s: f64,
    /// The member that it is on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<String>,
    /// What binds it to its server connection.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bound_by: Vec<String>,
}

/// The sessions of ordinary clients.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sessions {
    /// Those that have lasted longest in their state come first.
    pub list: Vec<Session>,
    /// How many more there are than listed.
    pub more: usize,
    /// Server connections, and sessions that wait for one.
    pub servers: usize,
    /// See above.
    pub waiting: usize,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// [`VERSION`].
    pub v: u32,
    /// How the call ended.
    pub code: Code,
    /// The same in words.
    pub message: String,
    /// The generation that it is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
    /// The end of its probation (Unix seconds).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<f64>,
    /// What the check has found.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Found>,
    /// What would change, or has.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
    /// How many more differences there are than listed.
    #[serde(default)]
    pub more_changes: usize,
    /// What is in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
    /// What has been, the newest last.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub history: Option<Vec<Entry>>,
    /// A document.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The sessions of ordinary clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sessions: Option<Sessions>,
    /// What is known of other instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<serde_json::Value>,
}

impl Response {
    /// An answer that says no more than this.
    pub fn new(code: Code, message: impl Into<String>) -> Response {
        Response {
            v: VERSION,
            code,
            message: message.into(),
            generation: None,
            until: None,
            findings: Vec::new(),
            changes: Vec::new(),
            more_changes: 0,
            status: None,
            history: None,
            text: None,
            sessions: None,
            peers: None,
        }
    }

    /// The same with what has been found.
    pub fn with_findings(mut self, findings: &[Finding]) -> Response {
        self.findings = findings.iter().map(Found::from).collect();
        self
    }

    /// The same with what differs, as far as the bound admits.
    pub fn with_changes(mut self, differences: &[Difference]) -> Response {
        self.changes = differences.iter().take(MAX_CHANGES).map(Change::from).collect();
        self.more_changes = differences.len() - self.changes.len();
        self
    }

    /// Its line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

impl Request {
    /// A call of this version.
    pub fn new(call: Call) -> Request {
        Request { v: VERSION, call }
    }

    /// Its line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Reads a line; what is wrong with it where it is no call of this version.
    pub fn parse(line: &[u8]) -> Result<Request, String> {
        let request: Request =
            serde_json::from_slice(line).map_err(|error| format!("not a call: {error}"))?;
        match request.v {
            VERSION => Ok(request),
            other => Err(format!("version {other}; accepted: {VERSION}")),
        }
    }
}
