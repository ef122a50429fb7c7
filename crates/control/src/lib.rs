//! Messages of the control socket: one JSON object per line in each direction, one call at a time. No I/O.
#![warn(missing_docs)]

use operator::schema::Activation;
use operator::Difference;
use serde::{Deserialize, Serialize};
use transaction::{Entry, Finding, Severity};

/// The version of these messages; calls of other versions are rejected.
pub const VERSION: u32 = 1;
/// Maximum length of a line (bytes): an operator's file of the maximum size as a JSON string, and the other
/// fields of the call.
pub const MAX_LINE_BYTES: usize = operator::MAX_FILE_BYTES + operator::MAX_FILE_BYTES / 4;
/// Maximum number of differences that a response lists; the rest are counted.
pub const MAX_CHANGES: usize = 200;
/// Maximum number of sessions that a response lists; the rest are counted.
pub const MAX_SESSIONS: usize = 1_000;

/// A call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// [`VERSION`].
    pub v: u32,
    /// The call itself.
    #[serde(flatten)]
    pub call: Call,
}

/// The calls that a pooler accepts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Call {
    /// What a file would change, and findings that prevent it; changes nothing.
    Plan {
        /// The file's text.
        text: String,
    },
    /// Apply a file.
    Apply {
        /// The file's text.
        text: String,
        /// The operator's comment on the change.
        #[serde(default)]
        note: String,
        /// Time within which the operator must confirm the change (seconds).
        #[serde(default)]
        confirm_within_s: Option<f64>,
        /// Codes of guarded findings to be allowed.
        #[serde(default)]
        allow: Vec<String>,
    },
    /// Confirm the change on probation.
    Confirm {
        /// Only if the change on probation is this generation.
        #[serde(default)]
        generation: Option<u64>,
    },
    /// Undo the change on probation, or return to an earlier generation by a new change.
    Rollback {
        /// The generation to return to; by default the one before the latest.
        #[serde(default)]
        to: Option<u64>,
        /// Codes of guarded findings to be allowed.
        #[serde(default)]
        allow: Vec<String>,
    },
    /// The configuration in force and the state of the pooler.
    Status {},
    /// The history of changes.
    History {},
    /// The document in force, as a file.
    Show {},
    /// The sessions of ordinary clients.
    Sessions {},
    /// Queries about other instances.
    Peers {
        /// The query.
        what: PeersQuery,
    },
}

/// Queries about other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeersQuery {
    /// The instances that are present, and how far behind each is.
    Status,
    /// The state of members as each instance reports it.
    Members,
    /// What each instance has reported, as checksums for comparison with another instance.
    Digests,
    /// What is known of a member, with the evidence.
    Member(String),
    /// What is known of a session's writes, and why its reads are routed as they are.
    Session(String),
    /// Declares that an instance, or a seed given by its address, has ended for good.
    Forget(String),
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// Done; the response holds what was requested.
    Ok,
    /// The change is in force, on probation.
    Applied,
    /// The change is confirmed.
    Confirmed,
    /// The file equals the configuration in force.
    Unchanged,
    /// Findings of the check prevent the change.
    Refused,
    /// Another change is in progress.
    Busy,
    /// The change was undone.
    RolledBack,
    /// The change could not be applied; nothing has changed.
    NotTaken,
    /// There is nothing to confirm or to undo.
    Nothing,
    /// The file cannot be parsed, or its signature is not accepted.
    Unreadable,
    /// The call is malformed or of another version.
    Malformed,
}

impl Code {
    /// Returns the exit code of a command with this result: 0 done, 1 refused, 2 usage or unreadable, 3
    /// rolled back.
    pub fn exit_code(self) -> u8 {
        match self {
            Code::Ok | Code::Applied | Code::Confirmed | Code::Unchanged => 0,
            Code::Refused | Code::Busy | Code::NotTaken | Code::Nothing => 1,
            Code::Unreadable | Code::Malformed => 2,
            Code::RolledBack => 3,
        }
    }
}

/// A finding of the check, as in responses.
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
    /// Returns true if the finding prevents the change unless it is allowed by its code.
    pub fn is_guarded(&self) -> bool {
        self.severity == Severity::Guarded.to_string()
    }
}

/// A difference, as in responses.
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
        let Difference { key, from, to, activation } = difference.clone();
        Change { key, from, to, needs_restart: activation == Activation::Restart }
    }
}

/// The configuration in force, the change in progress and the state of the pooler.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // Fields are named for their content; times are Unix seconds.
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
    /// Lifecycle stage of the pooler: `starting`, `ready`, `reloading`, `draining`, `closing` or `cutting`.
    #[serde(default)]
    pub life: String,
    #[serde(default)]
    pub pid: u32,
    /// Requests answered, refused and failed since the start of the pooler.
    #[serde(default)]
    pub served: u64,
    #[serde(default)]
    pub refused: u64,
    #[serde(default)]
    pub failed: u64,
    pub members: usize,
    pub requests: usize,
    pub overrides: usize,
    /// Whether the steps of a change are persisted on disk.
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
    /// Time in this state (seconds).
    pub lasts_s: f64,
    /// The member to which the session is connected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<String>,
    /// What binds the session to its server connection.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bound_by: Vec<String>,
}

/// The sessions of ordinary clients.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sessions {
    /// The listed sessions; those longest in their state come first.
    pub list: Vec<Session>,
    /// Number of sessions that are not listed.
    pub more: usize,
    /// Number of server connections.
    pub servers: usize,
    /// Number of sessions waiting for a server connection.
    pub waiting: usize,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// [`VERSION`].
    pub v: u32,
    /// The result of the call.
    pub code: Code,
    /// The result as text.
    pub message: String,
    /// The generation that the call concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
    /// The end of the generation's probation (Unix seconds).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until: Option<f64>,
    /// Findings of the check.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Found>,
    /// Differences that the change would make or has made.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
    /// Number of differences that are not listed.
    #[serde(default)]
    pub more_changes: usize,
    /// The status.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
    /// The history, the newest entry last.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub history: Option<Vec<Entry>>,
    /// A document.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The sessions of ordinary clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sessions: Option<Sessions>,
    /// The answer to a query about other instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<serde_json::Value>,
}

impl Response {
    /// A response with only a code and a message.
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

    /// Adds the findings of a check.
    pub fn with_findings(mut self, findings: &[Finding]) -> Response {
        self.findings = findings.iter().map(Found::from).collect();
        self
    }

    /// Adds differences, at most [`MAX_CHANGES`]; the rest are counted.
    pub fn with_changes(mut self, differences: &[Difference]) -> Response {
        self.changes = differences.iter().take(MAX_CHANGES).map(Change::from).collect();
        self.more_changes = differences.len() - self.changes.len();
        self
    }

    /// Returns the response as a line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

impl Request {
    /// A request of this version.
    pub fn new(call: Call) -> Request {
        Request { v: VERSION, call }
    }

    /// Returns the request as a line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Parses a line; the error describes why it is not a call of this version.
    pub fn parse(line: &[u8]) -> Result<Request, String> {
        let request: Request =
            serde_json::from_slice(line).map_err(|error| format!("not a call: {error}"))?;
        match request.v {
            VERSION => Ok(request),
            other => Err(format!("version {other}; accepted: {VERSION}")),
        }
    }
}
