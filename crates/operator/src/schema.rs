//! Every setting of the operator's file: its kind, unit, range and default, and whether it can change while
//! the daemon runs. The parser, `config defaults` and the documentation all derive from this list.

use std::fmt::Write;
use std::sync::LazyLock;

/// The kind of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A string of at most this many bytes.
    Text(usize),
    /// An IP address with a port.
    Address,
    /// At most this many IP addresses with ports.
    Addresses(usize),
    /// An absolute path.
    Path,
    /// At most this many absolute paths.
    Paths(usize),
    /// At most this many tables of a name and an address.
    Routes(usize),
    /// At most this many tables of a name, a region and an address.
    ControlInstances(usize),
    /// True or false.
    Flag,
    /// An integer in this range.
    Integer(u32, u32),
    /// A number in this range.
    Number(f64, f64),
    /// One of these words.
    Choice(&'static [&'static str]),
}

/// When a new value of a setting takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activation {
    /// While the daemon runs, through a configuration transaction.
    Live,
    /// At the next start; a transaction that would change the setting is rejected.
    Restart,
}

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Key; `*` stands for any name.
    pub key: &'static str,
    /// Kind of the value.
    pub kind: Kind,
    /// Unit; empty if there is none.
    pub unit: &'static str,
    /// Default value, or what applies if the setting is absent.
    pub default: DefaultValue,
    /// When a new value takes effect.
    pub activation: Activation,
    /// Help text.
    pub about: &'static str,
}

/// What applies if a setting is absent.
#[derive(Clone, Copy, Debug)]
pub enum DefaultValue {
    /// This value, as TOML.
    Literal(&'static str),
    /// A description of what applies, and an example of a value.
    Described(&'static str, &'static str),
    /// The setting is required; an example of a value.
    Required(&'static str),
}

use Activation::{Live, Restart};
use DefaultValue::{Described, Literal, Required};
use Kind::{Address, Addresses, Choice, ControlInstances, Flag, Integer, Number, Path, Paths, Routes, Text};

const fn setting(
    key: &'static str,
    kind: Kind,
    unit: &'static str,
    default: DefaultValue,
    activation: Activation,
    about: &'static str,
) -> Setting {
    Setting { key, kind, unit, default, activation, about }
}

const PLATFORM: &str = "the platform's value";

/// All settings, in the order in which they are printed.
pub const SETTINGS: &[Setting] = &[
    setting(
        "listen",
        Address,
        "",
        Described(PLATFORM, "\"127.0.0.1:5432\""),
        Live,
        "address that clients connect to; a new one is bound before the old is closed; open connections stay",
    ),
    setting(
        "discovery",
        Address,
        "",
        Described(PLATFORM, "\"127.0.0.1:8500\""),
        Live,
        "address of discovery; takes precedence over the platform's",
    ),
    setting(
        "limits.memory_mb",
        Number(8.0, 65_536.0),
        "MB",
        Described(PLATFORM, "64.0"),
        Live,
        "memory that the process may use; half of it is for buffers, statements and values",
    ),
    setting(
        "limits.sockets",
        Integer(64, 1_000_000),
        "descriptors",
        Described(PLATFORM, "512"),
        Live,
        "file descriptors that the process may use; half are for clients",
    ),
    setting(
        "limits.keepalive_s",
        Number(0.1, 3_600.0),
        "s",
        Described(PLATFORM, "15.0"),
        Live,
        "how long a database server keeps an idle connection; the pooler closes it after 0.7 of this time",
    ),
    setting(
        "limits.connect_timeout_s",
        Number(0.01, 60.0),
        "s",
        Described(PLATFORM, "0.25"),
        Live,
        "time limit for opening a connection to a database server",
    ),
    setting(
        "limits.max_attempts",
        Integer(1, 6),
        "attempts",
        Described(PLATFORM, "6"),
        Live,
        "maximum number of attempts for one request",
    ),
    setting(
        "limits.max_retry_after_s",
        Number(0.0, 60.0),
        "s",
        Described(PLATFORM, "1.0"),
        Live,
        "longest time after which a refusal advises a client to retry; 0 gives no advice",
    ),
    setting(
        "log.level",
        Choice(&["error", "warn", "info", "debug"]),
        "",
        Literal("\"info\""),
        Live,
        "lowest severity that is logged",
    ),
    setting(
        "log.format",
        Choice(&["human", "json"]),
        "",
        Literal("\"human\""),
        Restart,
        "log format: readable lines, or one JSON object per line",
    ),
    setting(
        "change.confirm",
        Choice(&["auto", "manual"]),
        "",
        Literal("\"auto\""),
        Live,
        "auto: a change is confirmed when its probation ends well; manual: it also needs `config confirm`",
    ),
    setting(
        "change.probation_s",
        Number(0.1, 3_600.0),
        "s",
        Literal("15.0"),
        Live,
        "time after a change during which health is compared with that before the change",
    ),
    setting(
        "change.confirm_within_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("60.0"),
        Live,
        "if confirm is manual, a change that is not confirmed within this time is rolled back",
    ),
    setting(
        "change.max_members_share",
        Number(0.0, 1.0),
        "share",
        Literal("0.34"),
        Live,
        "a change that takes more than this share of the listed members out of use is rejected",
    ),
    setting(
        "change.max_capacity_share",
        Number(0.0, 1.0),
        "share",
        Literal("0.34"),
        Live,
        "the same limit for the members of each group",
    ),
    setting(
        "change.significance",
        Number(0.000_000_1, 0.05),
        "",
        Literal("0.001"),
        Live,
        "probability of a false alarm in a probation, over all its comparisons",
    ),
    setting(
        "change.worse_by",
        Number(0.0, 1.0),
        "share",
        Literal("0.05"),
        Live,
        "minimum increase of the share of refused or failed requests that counts as worse",
    ),
    setting(
        "change.least_requests",
        Integer(5, 1_000_000),
        "requests",
        Literal("30"),
        Live,
        "a class is not compared in a group where either period has fewer requests than this",
    ),
    setting(
        "change.require_signature",
        Flag,
        "",
        Literal("false"),
        Live,
        "accept only files with a valid signature by one of the keys; only a signed file can turn this off",
    ),
    setting(
        "change.keys",
        Paths(4),
        "",
        Literal("[]"),
        Live,
        "key files for signatures, mode 0600 or stricter; several are valid at once, for key rotation",
    ),
    setting(
        "control.socket",
        Path,
        "",
        Described("no control socket", "\"/run/dewferry/control\""),
        Restart,
        "Unix socket for `dewferry config plan|apply|confirm|rollback|status|history`, mode 0600",
    ),
    setting(
        "control.idle_s",
        Number(0.5, 60.0),
        "s",
        Literal("10.0"),
        Live,
        "a control connection that is idle or does not read for this long is closed",
    ),
    setting(
        "state.dir",
        Path,
        "",
        Described("nothing is stored on disk", "\"/var/lib/dewferry\""),
        Restart,
        "folder for the history of changes; the daemon starts with the last confirmed one",
    ),
    setting(
        "state.max_kb",
        Integer(64, 1_048_576),
        "KiB",
        Literal("16384"),
        Restart,
        "size at which the history is compacted",
    ),
    setting(
        "daemon.drain_for_s",
        Number(0.0, 86_400.0),
        "s",
        Literal("30.0"),
        Live,
        "time from the request to stop until pending requests are answered and connections closed",
    ),
    setting(
        "daemon.last_call_s",
        Number(0.0, 3_600.0),
        "s",
        Literal("0.75"),
        Live,
        "time from the request to stop until clients are no longer accepted; those waiting for a server are refused",
    ),
    setting(
        "daemon.pid_file",
        Path,
        "",
        Described("no file is written", "\"/run/dewferry/pid\""),
        Restart,
        "file with the process ID, locked while the daemon runs: a second one with the same file does not start",
    ),
    setting(
        "daemon.handover",
        Path,
        "",
        Described("no successor can take over", "\"/run/dewferry/handover\""),
        Restart,
        "Unix socket through which `dewferry serve --take-over` takes over this daemon's listeners, mode 0600",
    ),
    setting(
        "daemon.trial_s",
        Number(0.1, 60.0),
        "s",
        Literal("3.0"),
        Restart,
        "trial period of a successor, within which it hands back if too many requests fail",
    ),
    setting(
        "peers.listen",
        Address,
        "",
        Described("this instance exchanges no state with others", "\"127.0.0.1:7000\""),
        Restart,
        "address for other instances, by UDP and TCP, with which session writes and other state are exchanged",
    ),
    setting(
        "peers.seeds",
        Addresses(64),
        "",
        Literal("[]"),
        Restart,
        "instances that are asked for all other instances; this instance's own address may be included",
    ),
    setting(
        "peers.keys",
        Paths(2),
        "",
        Literal("[]"),
        Restart,
        "files of 64 hexadecimal digits, mode 0600, the same on all instances; the first signs, both are accepted",
    ),
    setting(
        "peers.dir",
        Path,
        "",
        Described("nothing is stored on disk", "\"/var/lib/dewferry/peers\""),
        Restart,
        "folder for the counter of starts and the last known instances",
    ),
    setting(
        "peers.patience_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("2.5"),
        Restart,
        "without a majority, session writes are refused for this long, then accepted; the same on all instances",
    ),
    setting(
        "peers.clock_error_s",
        Number(0.0, 60.0),
        "s",
        Literal("0.1"),
        Restart,
        "maximum error of this host's clock relative to the clock of the database servers' positions",
    ),
    setting(
        "peers.route",
        Routes(1_000),
        "",
        Described("the address that the instance announces", "[{ name = \"n2\", address = \"127.0.0.1:7102\" }]"),
        Restart,
        "address of an instance in place of the one that it announces; with peers.control, name is the control \
         instance's name or the address that an instance announces",
    ),
    setting(
        "peers.control",
        ControlInstances(64),
        "",
        Described(
            "each instance exchanges state with every other",
            "[{ name = \"c1\", region = \"north\", address = \"127.0.0.1:7100\" }]",
        ),
        Restart,
        "control instances (`dewferry control`) that store the owners of sessions; the same list on all instances",
    ),
    setting(
        "peers.control_group",
        Integer(1, 5),
        "",
        Literal("3"),
        Restart,
        "control instances that store each session, 1, 3 or 5; a majority must be reachable; the same everywhere",
    ),
    setting(
        "peers.write_bound_s",
        Number(0.1, 3_600.0),
        "s",
        Literal("3.0"),
        Restart,
        "with peers.control, the longest time from a write's arrival to its commit; the same on all instances",
    ),
    setting(
        "registry.endpoints",
        Addresses(16),
        "",
        Literal("[]"),
        Live,
        "endpoints of a key-value registry (etcd v3's JSON gateway) that provides the list instead of discovery",
    ),
    setting(
        "registry.prefix",
        Text(200),
        "",
        Literal("\"/dewferry\""),
        Live,
        "members are stored at PREFIX/members/NAME, operators' drains at PREFIX/drains/NAME",
    ),
    setting(
        "registry.serializable",
        Flag,
        "",
        Literal("false"),
        Live,
        "let an endpoint answer reads from its own state; a lagging one is detected and skipped",
    ),
    setting(
        "registry.call_s",
        Number(0.1, 60.0),
        "s",
        Literal("5.0"),
        Live,
        "time limit of a call",
    ),
    setting(
        "registry.silence_s",
        Number(1.0, 3_600.0),
        "s",
        Literal("30.0"),
        Live,
        "a watch without a change or progress message for this long has failed; must exceed the notify interval",
    ),
    setting(
        "registry.guard_share",
        Number(0.0, 1.0),
        "share",
        Literal("0.5"),
        Live,
        "an update that removes more than this share of the keys is applied only after another read confirms it",
    ),
    setting(
        "registry.guard_s",
        Number(0.0, 600.0),
        "s",
        Literal("5.0"),
        Live,
        "time after which such an update is confirmed, by another endpoint if there is one",
    ),
    setting(
        "registry.tls_ca",
        Path,
        "",
        Described("plain HTTP, for trusted networks only", "\"/etc/dewferry/registry-ca.pem\""),
        Live,
        "CA certificates (PEM) for the endpoints, which are then called over TLS only",
    ),
    setting(
        "registry.tls_cert",
        Path,
        "",
        Described("no certificate is presented", "\"/etc/dewferry/registry.pem\""),
        Live,
        "the pooler's certificate chain (PEM); a renewed one needs a new file name",
    ),
    setting(
        "registry.tls_key",
        Path,
        "",
        Described("no certificate is presented", "\"/etc/dewferry/registry.key\""),
        Live,
        "key of that certificate (PEM), mode 0600 or stricter",
    ),
    setting(
        "registry.tls_name",
        Text(253),
        "",
        Described("each endpoint's IP address", "\"registry.example\""),
        Live,
        "name that the endpoints' certificates must be issued for",
    ),
    setting(
        "registry.tls_warn_days",
        Number(0.0, 3_650.0),
        "days",
        Literal("21.0"),
        Live,
        "time before the expiry of a certificate in these files from which a daily warning is logged",
    ),
    setting(
        "registry.user",
        Text(64),
        "",
        Described("no login", "\"pooler\""),
        Live,
        "user name for the registry; needs password_file",
    ),
    setting(
        "registry.password_file",
        Path,
        "",
        Described("no login", "\"/etc/dewferry/registry.password\""),
        Live,
        "file with the user's password on one line, mode 0600 or stricter; read at each login",
    ),
    setting(
        "registry.register",
        Text(200),
        "",
        Described("the pooler registers no key", "\"/dewferry-poolers\""),
        Live,
        "the pooler registers a key REGISTER/NAME under a lease, outside the prefix; removed when it stops",
    ),
    setting(
        "registry.lease_s",
        Integer(2, 3_600),
        "s",
        Literal("15"),
        Live,
        "that key expires this long after the last keep-alive; keep-alives are sent three times as often",
    ),
    setting(
        "pool.listen",
        Address,
        "",
        Described("ordinary clients are not served", "\"127.0.0.1:6432\""),
        Restart,
        "address for ordinary PostgreSQL clients, whose statements name no class and no deadline",
    ),
    setting(
        "pool.mode",
        Choice(&["statement", "transaction", "session"]),
        "",
        Literal("\"transaction\""),
        Restart,
        "how long a client keeps a server connection; longer if session state binds it to the connection",
    ),
    setting(
        "pool.write_class",
        Text(64),
        "",
        Described("required with pool.listen", "\"order-write\""),
        Live,
        "class of requests that may write or cannot be classified; its reads must be write or fresh",
    ),
    setting(
        "pool.read_class",
        Text(64),
        "",
        Described("write_class, so that all requests go to the primary", "\"browse\""),
        Live,
        "class of requests that are known to be read-only",
    ),
    setting(
        "pool.tenant",
        Text(64),
        "",
        Described("no tenant", "\"acme\""),
        Live,
        "tenant of requests to which no route assigns one",
    ),
    setting(
        "pool.group",
        Integer(0, 4_294_967_295),
        "",
        Literal("0"),
        Live,
        "group of requests to which no route assigns one",
    ),
    setting(
        "pool.clients",
        Integer(1, 100_000),
        "descriptors",
        Literal("100"),
        Restart,
        "maximum number of ordinary clients; counted against limits.sockets",
    ),
    setting(
        "pool.servers",
        Integer(1, 100_000),
        "descriptors",
        Literal("20"),
        Restart,
        "maximum number of server connections for them; counted against limits.sockets",
    ),
    setting(
        "pool.servers_each",
        Integer(1, 100_000),
        "connections",
        Literal("10"),
        Restart,
        "maximum number of server connections per member, user and database; others wait, tenants round-robin",
    ),
    setting(
        "pool.servers_reserve",
        Integer(0, 100_000),
        "connections",
        Literal("0"),
        Restart,
        "additional connections beyond servers_each, for requests that have waited for reserve_after_s",
    ),
    setting(
        "pool.reserve_after_s",
        Number(0.0, 3_600.0),
        "s",
        Literal("0.5"),
        Restart,
        "how long a request waits before it may use the reserve",
    ),
    setting(
        "pool.servers_least",
        Integer(0, 1_000),
        "connections",
        Literal("0"),
        Restart,
        "connections per member, user and database that are kept open even if idle",
    ),
    setting(
        "pool.server_idle_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("30.0"),
        Restart,
        "a server connection that is idle for this long is closed",
    ),
    setting(
        "pool.server_lifetime_s",
        Number(1.0, 604_800.0),
        "s",
        Literal("3600.0"),
        Restart,
        "a server connection is not reused after this time, reduced at random by up to a tenth",
    ),
    setting(
        "pool.idle_in_transaction_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("60.0"),
        Restart,
        "a transaction that is idle for this long is rolled back",
    ),
    setting(
        "pool.statement_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("300.0"),
        Restart,
        "time limit of a statement; a longer one is aborted",
    ),
    setting(
        "pool.drain_s",
        Number(0.0, 3_600.0),
        "s",
        Literal("5.0"),
        Restart,
        "time that open transactions have to end on a member that is being drained",
    ),
    setting(
        "pool.statements",
        Integer(1, 100_000),
        "statements",
        Literal("200"),
        Restart,
        "maximum number of prepared statements of a server connection; the least recently used one is closed",
    ),
    setting(
        "pool.stateless_functions",
        Text(4_000),
        "",
        Described("a call of any function that is not known binds its session", "\"take_order, price_of\""),
        Live,
        "functions, without schemas, that leave nothing in the session, or \"*\" for all; for new sessions",
    ),
    setting(
        "pool.users",
        Path,
        "",
        Described("no password is required", "\"/etc/dewferry/users\""),
        Live,
        "file of users who may connect, written by `dewferry users`, mode 0600; read when set, and on SIGHUP",
    ),
    setting(
        "pool.tls_cert",
        Path,
        "",
        Described("clients are served without TLS", "\"/etc/dewferry/pool.pem\""),
        Live,
        "certificate chain presented to ordinary clients (PEM)",
    ),
    setting(
        "pool.tls_key",
        Path,
        "",
        Described("clients are served without TLS", "\"/etc/dewferry/pool.key\""),
        Live,
        "key of that certificate (PEM), mode 0600 or stricter",
    ),
    setting(
        "pool.tls_client_ca",
        Path,
        "",
        Described("clients present no certificate", "\"/etc/dewferry/clients-ca.pem\""),
        Live,
        "CA certificates (PEM) for client certificates, which clients must then present",
    ),
    setting(
        "pool.tls_required",
        Flag,
        "",
        Literal("false"),
        Live,
        "reject clients that do not request TLS",
    ),
    setting(
        "pool.server_user",
        Text(63),
        "",
        Described("the client's own name", "\"pooler\""),
        Restart,
        "user name for server connections",
    ),
    setting(
        "pool.server_tls_ca",
        Path,
        "",
        Described("servers are connected to without TLS", "\"/etc/dewferry/servers-ca.pem\""),
        Restart,
        "CA certificates (PEM) for servers, which are then connected to over TLS only",
    ),
    setting(
        "pool.server_tls_name",
        Text(253),
        "",
        Described("each server's IP address", "\"db.example\""),
        Restart,
        "name that the servers' certificates must be issued for",
    ),
    setting(
        "pool.server_tls_cert",
        Path,
        "",
        Described("no certificate is presented", "\"/etc/dewferry/server-client.pem\""),
        Restart,
        "the pooler's certificate chain presented to servers (PEM)",
    ),
    setting(
        "pool.server_tls_key",
        Path,
        "",
        Described("no certificate is presented", "\"/etc/dewferry/server-client.key\""),
        Restart,
        "key of that certificate (PEM), mode 0600 or stricter",
    ),
    setting(
        "pool.server_password_file",
        Path,
        "",
        Described("servers that require a password are not connected to", "\"/etc/dewferry/server.password\""),
        Restart,
        "file with that user's password (SCRAM-SHA-256) on one line, mode 0600; read for each connection",
    ),
    setting(
        "route.*.rank",
        Integer(0, 1_000_000),
        "",
        Literal("100"),
        Live,
        "routes are tried in ascending order of rank, then by name; the first match applies",
    ),
    setting(
        "route.*.user",
        Text(64),
        "",
        Described("any", "\"report*\""),
        Live,
        "user that the route matches; a * at the end matches any suffix",
    ),
    setting(
        "route.*.database",
        Text(64),
        "",
        Described("any", "\"shop\""),
        Live,
        "database that the route matches, with the same wildcard",
    ),
    setting(
        "route.*.application",
        Text(64),
        "",
        Described("any", "\"cron*\""),
        Live,
        "application_name that the route matches, with the same wildcard",
    ),
    setting(
        "route.*.comment",
        Text(200),
        "",
        Described("any", "\"job=night\""),
        Live,
        "text that the statement's leading comment must contain",
    ),
    setting(
        "route.*.reads",
        Flag,
        "",
        Described("either", "true"),
        Live,
        "whether the route matches requests known to be read-only, or all others",
    ),
    setting(
        "route.*.class",
        Text(64),
        "",
        Described("read_class or write_class", "\"reports\""),
        Live,
        "assigned class; requests that may write never get one that replicas serve",
    ),
    setting(
        "route.*.tenant",
        Text(64),
        "",
        Described("pool.tenant", "\"acme\""),
        Live,
        "assigned tenant",
    ),
    setting(
        "route.*.group",
        Integer(0, 4_294_967_295),
        "",
        Described("pool.group", "2"),
        Live,
        "assigned group",
    ),
    setting(
        "class.*.reads",
        Choice(&["any", "bounded", "session", "fresh", "write"]),
        "",
        Described(PLATFORM, "\"bounded\""),
        Live,
        "how recent the data must be; required for a new class",
    ),
    setting(
        "class.*.bound_s",
        Number(0.0, 3_600.0),
        "s",
        Described(PLATFORM, "1.0"),
        Live,
        "maximum staleness of the data for a bounded read",
    ),
    setting(
        "class.*.repeats",
        Choice(&["safe", "keyed", "never"]),
        "",
        Described("the platform's; never for a new class", "\"safe\""),
        Live,
        "whether requests may be repeated: safely, safely under a key within repeat_window_s, or never",
    ),
    setting(
        "class.*.scope",
        Choice(&["group", "all"]),
        "",
        Described("the platform's; group for a new class", "\"group\""),
        Live,
        "members among which repeats of a keyed request are dropped",
    ),
    setting(
        "class.*.repeat_window_s",
        Number(0.0, 2.0),
        "s",
        Described("the platform's; 0 for a new class", "2.0"),
        Live,
        "time during which repeats of a keyed request are dropped",
    ),
    setting(
        "class.*.aim_s",
        Number(0.001, 3_600.0),
        "s",
        Described(PLATFORM, "0.2"),
        Live,
        "an answer within this time has its full value; at most deadline_s",
    ),
    setting(
        "class.*.deadline_s",
        Number(0.001, 3_600.0),
        "s",
        Described(PLATFORM, "0.8"),
        Live,
        "time limit of the class's clients",
    ),
    setting(
        "class.*.value",
        Number(0.0, 1_000_000.0),
        "",
        Described("the platform's; 1 for a new class", "1.0"),
        Live,
        "value of one answer relative to other classes",
    ),
    setting(
        "class.*.late_worth",
        Number(0.0, 1.0),
        "share",
        Described("the platform's; 0 for a new class", "0.0"),
        Live,
        "share of its value that an answer after its aim retains",
    ),
    setting("class.*.retired", Flag, "", Literal("false"), Live, "new requests of the class are refused"),
    setting(
        "tenant.*.quota_per_s",
        Number(0.0, 1_000_000_000.0),
        "requests/s",
        Described("the platform's; no limit for a new tenant", "1000.0"),
        Live,
        "request rate within the tenant's quota, over all poolers",
    ),
    setting(
        "tenant.*.retired",
        Flag,
        "",
        Literal("false"),
        Live,
        "its requests count as those of an unknown tenant",
    ),
    setting(
        "override.*",
        Choice(&["drain", "exclude"]),
        "",
        Described("the status in the list", "\"drain\""),
        Live,
        "status of this member, which overrides that in the list",
    ),
    setting(
        "member.*.address",
        Address,
        "",
        Required("\"127.0.0.1:5501\""),
        Live,
        "address of the member; a list here replaces discovery's",
    ),
    setting("member.*.zone", Text(64), "", Literal("\"\""), Live, "zone of the member"),
    setting(
        "member.*.group",
        Integer(0, 1_000_000),
        "",
        Literal("0"),
        Live,
        "group of the member: one primary and its replicas",
    ),
    setting(
        "member.*.status",
        Choice(&["serving", "draining"]),
        "",
        Literal("\"serving\""),
        Live,
        "whether the member accepts new requests",
    ),
];

impl Kind {
    /// Describes the accepted values.
    pub fn describe_accepted(&self) -> String {
        match self {
            Text(max) => format!("a text of at most {max} bytes"),
            Address => "an IP address with a port, such as \"127.0.0.1:5432\"".into(),
            Addresses(max) => format!("at most {max} IP addresses with ports in []"),
            Path => "an absolute path".into(),
            Paths(max) => format!("at most {max} absolute paths in []"),
            Routes(max) => {
                format!("at most {max} tables, each of name, a text of at most 64 bytes, and address, an IP address with a port")
            }
            ControlInstances(max) => format!(
                "at most {max} tables, each of name and region, texts of at most 64 bytes, and address, an IP address with a port"
            ),
            Flag => "true or false".into(),
            Integer(min, max) => format!("a whole number from {min} to {max}"),
            Number(min, max) => format!("a number from {min} to {max}"),
            Choice(values) => format!("one of {}", values.join(", ")),
        }
    }
}

/// The settings with their keys split into parts. Split only once, since a file of thousands of members looks
/// up as many keys.
static SETTINGS_BY_PARTS: LazyLock<Vec<(Vec<&'static str>, &'static Setting)>> =
    LazyLock::new(|| SETTINGS.iter().map(|setting| (setting.key.split('.').collect(), setting)).collect());

/// Returns true if `parts` match the beginning of a setting's key.
fn is_prefix(parts: &[String], setting_parts: &[&str]) -> bool {
    setting_parts.len() >= parts.len()
        && parts.iter().zip(setting_parts).all(|(part, expected)| *expected == "*" || expected == part)
}

/// Returns the setting at a key, given by its parts.
pub fn find(parts: &[String]) -> Option<&'static Setting> {
    let is_at = |(setting_parts, _): &&(Vec<&str>, _)| {
        setting_parts.len() == parts.len() && is_prefix(parts, setting_parts)
    };
    SETTINGS_BY_PARTS.iter().find(is_at).map(|(_, setting)| *setting)
}

/// Returns the names that a table, given by the parts of its key, may contain; `*` if any name is permitted.
pub fn child_keys(parts: &[String]) -> Vec<&'static str> {
    let mut names = Vec::new();
    for (setting_parts, _) in SETTINGS_BY_PARTS.iter() {
        if setting_parts.len() > parts.len()
            && is_prefix(parts, setting_parts)
            && !names.contains(&setting_parts[parts.len()])
        {
            names.push(setting_parts[parts.len()]);
        }
    }
    names
}

/// Returns the settings that a table, given by the parts of its key, must contain, with their names.
pub fn required_settings(parts: &[String]) -> Vec<(&'static str, &'static Setting)> {
    let required = SETTINGS_BY_PARTS.iter().filter(|(_, setting)| matches!(setting.default, Required(_)));
    let in_table = required.filter(|(setting_parts, _)| {
        setting_parts.len() == parts.len() + 1 && is_prefix(parts, setting_parts)
    });
    in_table.map(|(setting_parts, setting)| (setting_parts[setting_parts.len() - 1], *setting)).collect()
}

/// Returns a commented file that contains every setting and parses to the defaults. Settings without a
/// default value, and those under a name, are commented out.
pub fn defaults() -> String {
    let mut out = String::from(
        "# dewferry's operator file. It contains every setting with its default. Settings without one are commented\n\
         # out with an example; the text after \"Absent\" says what applies. Units: s seconds, MB 1,000,000 bytes.\n",
    );
    let mut current_table = "";
    for setting in SETTINGS {
        let (table, name) = setting.key.rsplit_once('.').unwrap_or(("", setting.key));
        let has_name = setting.key.contains('*');
        let table_shown = table.replace('*', "NAME");
        if table != current_table {
            let prefix = if has_name { "# " } else { "" };
            let _ = writeln!(out, "\n{prefix}[{table_shown}]");
            current_table = table;
        }
        let unit = if setting.unit.is_empty() { String::new() } else { format!("; unit: {}", setting.unit) };
        let restart = if setting.activation == Restart { "; needs a restart" } else { "" };
        let _ = writeln!(out, "# {}.", setting.about);
        let _ = writeln!(out, "# {}{unit}{restart}.", setting.kind.describe_accepted());
        let name = if name == "*" { "NAME" } else { name };
        let _ = match setting.default {
            Literal(value) if has_name => writeln!(out, "# {name} = {value}"),
            Literal(value) => writeln!(out, "{name} = {value}"),
            Described(description, example) => {
                writeln!(out, "# Absent: {description}.\n# {name} = {example}")
            }
            Required(example) => writeln!(out, "# Must be given.\n# {name} = {example}"),
        };
    }
    out
}
