//! The content of an operator's file. For an absent setting the platform's value applies, or the default.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A complete file. [`crate::schema`] describes every key with its unit, range and default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Address that clients connect to; the platform's if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    /// Address of discovery; the platform's if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<SocketAddr>,
    /// Time limits and budgets.
    pub limits: Limits,
    /// Settings of the log.
    pub log: Log,
    /// How changes of this file are checked and confirmed.
    pub change: ChangePolicy,
    /// The control socket.
    pub control: Control,
    /// State stored on disk.
    pub state: State,
    /// Startup and shutdown of the daemon.
    pub daemon: Daemon,
    /// The state exchange with other instances; none if no address is given.
    pub peers: Peers,
    /// The registry that provides the list; discovery provides it if no endpoints are given.
    pub registry: Registry,
    /// Pooling for ordinary clients.
    pub pool: Pool,
    /// Routing rules for requests of ordinary clients, by name.
    pub route: BTreeMap<String, RouteEntry>,
    /// Classes of requests by name: changes to the platform's, or new ones.
    pub class: BTreeMap<String, ClassEdit>,
    /// Tenants by name: changes to the platform's, or new ones.
    pub tenant: BTreeMap<String, TenantEdit>,
    /// Operator's overrides of single members' status, which take precedence over the list.
    #[serde(rename = "override")]
    pub overrides: BTreeMap<String, Override>,
    /// The static list of members by name, in place of discovery's list; discovery is used if it is empty.
    pub member: BTreeMap<String, MemberEntry>,
}

/// Time limits and budgets; the platform's if absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)] // The schema describes each setting.
pub struct Limits {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sockets: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keepalive_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub connect_timeout_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_retry_after_s: Option<f64>,
}

/// Minimum severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum LogLevel {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum LogFormat {
    #[default]
    Human,
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Log {
    pub level: LogLevel,
    pub format: LogFormat,
}

/// Who confirms a change that has been applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Confirm {
    /// Confirmed automatically at the end of a probation in which health has not worsened.
    #[default]
    Auto,
    /// Confirmed by the operator in time; otherwise rolled back.
    Manual,
}

/// Startup and shutdown of the daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Daemon {
    pub drain_for_s: f64,
    pub last_call_s: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pid_file: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handover: Option<PathBuf>,
    pub trial_s: f64,
}

impl Default for Daemon {
    fn default() -> Self {
        Daemon { drain_for_s: 30.0, last_call_s: 0.75, pid_file: None, handover: None, trial_s: 3.0 }
    }
}

/// How changes are checked and confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ChangePolicy {
    pub confirm: Confirm,
    pub probation_s: f64,
    pub confirm_within_s: f64,
    pub max_members_share: f64,
    pub max_capacity_share: f64,
    pub significance: f64,
    pub worse_by: f64,
    pub least_requests: u32,
    pub require_signature: bool,
    pub keys: Vec<PathBuf>,
}

impl Default for ChangePolicy {
    fn default() -> Self {
        ChangePolicy {
            confirm: Confirm::Auto,
            probation_s: 15.0,
            confirm_within_s: 60.0,
            max_members_share: 0.34,
            max_capacity_share: 0.34,
            significance: 0.001,
            worse_by: 0.05,
            least_requests: 30,
            require_signature: false,
            keys: Vec::new(),
        }
    }
}

/// The control socket; none if no path is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Control {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub socket: Option<PathBuf>,
    pub idle_s: f64,
}

impl Default for Control {
    fn default() -> Self {
        Control { socket: None, idle_s: 10.0 }
    }
}

/// State stored on disk; nothing is stored if no folder is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct State {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dir: Option<PathBuf>,
    pub max_kb: u32,
}

impl Default for State {
    fn default() -> Self {
        State { dir: None, max_kb: 16_384 }
    }
}

/// The state exchange with other instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Peers {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    pub seeds: Vec<SocketAddr>,
    pub keys: Vec<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dir: Option<PathBuf>,
    pub patience_s: f64,
    pub clock_error_s: f64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub route: Vec<PeerRoute>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub control: Vec<ControlInstance>,
    pub control_group: usize,
    pub write_bound_s: f64,
}

/// A control instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ControlInstance {
    pub name: String,
    pub region: String,
    pub address: SocketAddr,
}

/// The address at which an instance is reached.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct PeerRoute {
    pub name: String,
    pub address: SocketAddr,
}

impl Default for Peers {
    fn default() -> Self {
        Peers {
            listen: None,
            seeds: Vec::new(),
            keys: Vec::new(),
            dir: None,
            patience_s: 2.5,
            clock_error_s: 0.1,
            route: Vec::new(),
            control: Vec::new(),
            control_group: 3,
            write_bound_s: 3.0,
        }
    }
}

/// A key-value registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Registry {
    pub endpoints: Vec<SocketAddr>,
    pub prefix: String,
    pub serializable: bool,
    pub call_s: f64,
    pub silence_s: f64,
    pub guard_share: f64,
    pub guard_s: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_ca: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_cert: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_key: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_name: Option<String>,
    pub tls_warn_days: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub password_file: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub register: Option<String>,
    pub lease_s: u32,
}

impl Default for Registry {
    fn default() -> Self {
        Registry {
            endpoints: Vec::new(),
            prefix: "/dewferry".into(),
            serializable: false,
            call_s: 5.0,
            silence_s: 30.0,
            guard_share: 0.5,
            guard_s: 5.0,
            tls_ca: None,
            tls_cert: None,
            tls_key: None,
            tls_name: None,
            tls_warn_days: 21.0,
            user: None,
            password_file: None,
            register: None,
            lease_s: 15,
        }
    }
}

/// Pooling for ordinary PostgreSQL clients; disabled if no address is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Pool {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
    pub mode: PoolMode,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub write_class: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub read_class: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    pub group: u32,
    pub clients: u32,
    pub servers: u32,
    pub servers_each: u32,
    pub servers_reserve: u32,
    pub reserve_after_s: f64,
    pub servers_least: u32,
    pub server_idle_s: f64,
    pub server_lifetime_s: f64,
    pub idle_in_transaction_s: f64,
    pub statement_s: f64,
    pub drain_s: f64,
    pub statements: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stateless_functions: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub users: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_cert: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_key: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls_client_ca: Option<PathBuf>,
    pub tls_required: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_user: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_tls_ca: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_tls_name: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_tls_cert: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_tls_key: Option<PathBuf>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server_password_file: Option<PathBuf>,
}

impl Default for Pool {
    fn default() -> Self {
        Pool {
            listen: None,
            mode: PoolMode::Transaction,
            write_class: None,
            read_class: None,
            tenant: None,
            group: 0,
            clients: 100,
            servers: 20,
            servers_each: 10,
            servers_reserve: 0,
            reserve_after_s: 0.5,
            servers_least: 0,
            server_idle_s: 30.0,
            server_lifetime_s: 3_600.0,
            idle_in_transaction_s: 60.0,
            statement_s: 300.0,
            drain_s: 5.0,
            statements: 200,
            stateless_functions: None,
            users: None,
            tls_cert: None,
            tls_key: None,
            tls_client_ca: None,
            tls_required: false,
            server_user: None,
            server_tls_ca: None,
            server_tls_name: None,
            server_tls_cert: None,
            server_tls_key: None,
            server_password_file: None,
        }
    }
}

/// How long an ordinary client keeps a server connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum PoolMode {
    Statement,
    #[default]
    Transaction,
    Session,
}

/// A routing rule for requests of ordinary clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct RouteEntry {
    pub rank: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub database: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub application: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub comment: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reads: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<u32>,
}

impl Default for RouteEntry {
    fn default() -> Self {
        RouteEntry {
            rank: 100,
            user: None,
            database: None,
            application: None,
            comment: None,
            reads: None,
            class: None,
            tenant: None,
            group: None,
        }
    }
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Reads {
    Any,
    Bounded,
    Session,
    Fresh,
    Write,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Repeats {
    Safe,
    Keyed,
    Never,
}

/// The members among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Scope {
    Group,
    All,
}

/// A class. Of a class that the platform defines, only the given settings change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ClassEdit {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reads: Option<Reads>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bound_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeats: Option<Repeats>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub scope: Option<Scope>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeat_window_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub aim_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_worth: Option<f64>,
    pub retired: bool,
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(missing_docs)]
pub struct TenantEdit {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota_per_s: Option<f64>,
    pub retired: bool,
}

/// An operator's override of a member's status. A stricter status in the list still applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Override {
    /// The member completes its work and gets no new requests.
    Drain,
    /// The member gets no new requests, its idle connections are closed, and it does not count as capacity.
    Exclude,
}

/// Status of a member of the static list. It is a separate type, since the static list may gain protocols.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Accepts reads and writes.
    #[default]
    Serving,
    /// Completes its work and gets no new requests.
    Draining,
}

/// A member of the static list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct MemberEntry {
    pub address: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub group: u32,
    #[serde(default)]
    pub status: Access,
}

/// The SHA-256 of a document in canonical form; files with the same settings have the same digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(Sha256::digest(bytes).into())
    }

    /// Returns the first twelve hexadecimal digits, for display.
    pub fn abbreviated(&self) -> String {
        self.to_string()[..12].to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.abbreviated())
    }
}

impl Document {
    /// Returns the canonical text: TOML without comments, with tables and keys in a fixed order. It parses to
    /// the same document.
    pub fn canonical_toml(&self) -> String {
        // Only a map whose keys are not strings could fail, and the document has none.
        toml::to_string(self).unwrap_or_default()
    }

    /// Returns the digest of the canonical text.
    pub fn digest(&self) -> Digest {
        Digest::of(self.canonical_toml().as_bytes())
    }
}
