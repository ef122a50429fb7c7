//! Every setting of the operator's file: what it holds, in which unit and range, its default, and whether it
//! can change while the daemon runs. The one source for reading, for `config defaults` and for the pages.

use std::fmt::Write;
use std::sync::LazyLock;

/// What a setting holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A text of at most so many bytes.
    Text(usize),
    /// An IP address with a port.
    Address,
    /// IP addresses with ports, at most so many.
    Addresses(usize),
    /// An absolute path.
    Path,
    /// Absolute paths, at most so many.
    Paths(usize),
    /// Tables of a name and an address, at most so many.
    Routes(usize),
    /// Tables of a name, a region and an address, at most so many.
    ControlInstances(usize),
    /// True or false.
    Flag,
    /// A whole number in this range.
    Integer(u32, u32),
    /// A number in this range.
    Number(f64, f64),
    /// One of these words.
    Choice(&'static [&'static str]),
}

/// When a new value of a setting comes into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activation {
    /// Through a config transaction, while the daemon runs.
    Live,
    /// With the next start; a transaction that would change it is refused.
    Restart,
}

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Where it stands; `*` is any name.
    pub key: &'static str,
    /// What it holds.
    pub kind: Kind,
    /// Its unit; empty where it has none.
    pub unit: &'static str,
    /// Its default as TOML, or what holds where it is absent.
    pub default: DefaultValue,
    /// When a new value holds.
    pub activation: Activation,
    /// What it does.
    pub about: &'static str,
}

/// What holds where a setting is absent.
#[derive(Clone, Copy, Debug)]
pub enum DefaultValue {
    /// This value, as TOML.
    Literal(&'static str),
    /// What these words say, with an example of a value.
    Described(&'static str, &'static str),
    /// It must be there.
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
    when: Activation,
    about: &'static str,
) -> Setting {
    Setting { key, kind, unit, default, activation: when, about }
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
        "where clients connect; the new address is bound before the old is let go, open connections live on",
    ),
    setting(
        "discovery",
        Address,
        "",
        Described(PLATFORM, "\"127.0.0.1:8500\""),
        Live,
        "where discovery is; goes before the platform's for as long as it stands here",
    ),
    setting(
        "limits.memory_mb",
        Number(8.0, 65_536.0),
        "MB",
        Described(PLATFORM, "64.0"),
        Live,
        "memory that the process may take; half of it is for buffers, statements and values",
    ),
    setting(
        "limits.sockets",
        Integer(64, 1_000_000),
        "descriptors",
        Described(PLATFORM, "512"),
        Live,
        "file descriptors that the process may hold; half are for clients",
    ),
    setting(
        "limits.keepalive_s",
        Number(0.1, 3_600.0),
        "s",
        Described(PLATFORM, "15.0"),
        Live,
        "how long a db machine keeps an idle connection; it is closed from here at 0.7 of that",
    ),
    setting(
        "limits.connect_timeout_s",
        Number(0.01, 60.0),
        "s",
        Described(PLATFORM, "0.25"),
        Live,
        "a connection to a db machine that is not made within this has failed",
    ),
    setting(
        "limits.max_attempts",
        Integer(1, 6),
        "attempts",
        Described(PLATFORM, "6"),
        Live,
        "most attempts for one request",
    ),
    setting(
        "limits.max_retry_after_s",
        Number(0.0, 60.0),
        "s",
        Described(PLATFORM, "1.0"),
        Live,
        "longest time that a refusal asks a client to stay away; 0 gives no advice",
    ),
    setting(
        "log.level",
        Choice(&["error", "warn", "info", "debug"]),
        "",
        Literal("\"info\""),
        Live,
        "how much is logged",
    ),
    setting(
        "log.format",
        Choice(&["human", "json"]),
        "",
        Literal("\"human\""),
        Restart,
        "a line for people, or one JSON object a line",
    ),
    setting(
        "change.confirm",
        Choice(&["auto", "manual"]),
        "",
        Literal("\"auto\""),
        Live,
        "auto: a change stands once its probation ends well; manual: it needs `config confirm` too",
    ),
    setting(
        "change.probation_s",
        Number(0.1, 3_600.0),
        "s",
        Literal("15.0"),
        Live,
        "how long health after a change is compared with health before it",
    ),
    setting(
        "change.confirm_within_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("60.0"),
        Live,
        "where confirm is manual: rolled back when no word has come by then",
    ),
    setting(
        "change.max_members_share",
        Number(0.0, 1.0),
        "share",
        Literal("0.34"),
        Live,
        "a change that takes more than this share of the listed members out of use is refused",
    ),
    setting(
        "change.max_capacity_share",
        Number(0.0, 1.0),
        "share",
        Literal("0.34"),
        Live,
        "the same for any one group's members",
    ),
    setting(
        "change.significance",
        Number(0.000_000_1, 0.05),
        "",
        Literal("0.001"),
        Live,
        "chance of a false alarm that a probation may take, over all its comparisons together",
    ),
    setting(
        "change.worse_by",
        Number(0.0, 1.0),
        "share",
        Literal("0.05"),
        Live,
        "least rise in the share of refused or failed requests that counts as worse",
    ),
    setting(
        "change.least_requests",
        Integer(5, 1_000_000),
        "requests",
        Literal("30"),
        Live,
        "a class in a group with fewer requests than this in either period is not compared",
    ),
    setting(
        "change.require_signature",
        Flag,
        "",
        Literal("false"),
        Live,
        "take only files with a valid signature under one of the keys; can only be lifted by a signed file",
    ),
    setting(
        "change.keys",
        Paths(4),
        "",
        Literal("[]"),
        Live,
        "key files for signatures, mode 0600 or stricter; two are valid during a rotation",
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
        "a control client that neither asks nor reads for so long is closed",
    ),
    setting(
        "state.dir",
        Path,
        "",
        Described("nothing is kept on disk", "\"/var/lib/dewferry\""),
        Restart,
        "folder for the history of changes; the daemon comes up on the last confirmed one",
    ),
    setting(
        "state.max_kb",
        Integer(64, 1_048_576),
        "KiB",
        Literal("16384"),
        Restart,
        "size at which the history is rewritten without what is no longer needed",
    ),
    setting(
        "daemon.drain_for_s",
        Number(0.0, 86_400.0),
        "s",
        Literal("30.0"),
        Live,
        "from the wish to end until what is still open is answered with what is known and cut off",
    ),
    setting(
        "daemon.last_call_s",
        Number(0.0, 3_600.0),
        "s",
        Literal("0.75"),
        Live,
        "from the wish to end until no more clients are taken in; those that wait for a server leave at once",
    ),
    setting(
        "daemon.pid_file",
        Path,
        "",
        Described("none is written", "\"/run/dewferry/pid\""),
        Restart,
        "the process's number, locked while it runs: a second daemon with the same file does not start",
    ),
    setting(
        "daemon.handover",
        Path,
        "",
        Described("no successor can take over", "\"/run/dewferry/handover\""),
        Restart,
        "Unix socket by which `dewferry serve --take-over` takes the listeners over from this daemon, mode 0600",
    ),
    setting(
        "daemon.trial_s",
        Number(0.1, 60.0),
        "s",
        Literal("3.0"),
        Restart,
        "a successor whose first seconds go badly hands back within this",
    ),
    setting(
        "peers.listen",
        Address,
        "",
        Described("this instance shares nothing with others", "\"127.0.0.1:7000\""),
        Restart,
        "where other instances reach this one, by UDP and TCP; what sessions wrote and more is shared with them",
    ),
    setting(
        "peers.seeds",
        Addresses(64),
        "",
        Literal("[]"),
        Restart,
        "instances that are asked for all others; the own address may be among them",
    ),
    setting(
        "peers.keys",
        Paths(2),
        "",
        Literal("[]"),
        Restart,
        "files of 64 hexadecimal digits, mode 0600, the same at all instances; the first signs, both are taken",
    ),
    setting(
        "peers.dir",
        Path,
        "",
        Described("nothing of it is kept on disk", "\"/var/lib/dewferry/peers\""),
        Restart,
        "folder for the number of the last start and for who was there",
    ),
    setting(
        "peers.patience_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("2.5"),
        Restart,
        "without a majority writes of sessions are turned away for so long, then answered; the same everywhere",
    ),
    setting(
        "peers.clock_error_s",
        Number(0.0, 60.0),
        "s",
        Literal("0.1"),
        Restart,
        "how far this machine's clock may be from that of the db machines' positions",
    ),
    setting(
        "peers.route",
        Routes(1_000),
        "",
        Described("where it says itself", "[{ name = \"n2\", address = \"127.0.0.1:7102\" }]"),
        Restart,
        "where an instance is reached, whatever it says itself; beside peers.control by the control instance's name, or by \
         the address that an instance says",
    ),
    setting(
        "peers.control",
        ControlInstances(64),
        "",
        Described(
            "instances share by themselves, each with every other",
            "[{ name = \"c1\", region = \"north\", address = \"127.0.0.1:7100\" }]",
        ),
        Restart,
        "control instances (`dewferry control`) that keep which instance owns a session; the same list everywhere",
    ),
    setting(
        "peers.control_group",
        Integer(1, 5),
        "",
        Literal("3"),
        Restart,
        "control instances that keep each session, 1, 3 or 5; most of them have to be there. The same everywhere",
    ),
    setting(
        "peers.write_bound_s",
        Number(0.1, 3_600.0),
        "s",
        Literal("3.0"),
        Restart,
        "beside peers.control, the longest time from the arrival of a write to its commit; the same everywhere",
    ),
    setting(
        "registry.endpoints",
        Addresses(16),
        "",
        Literal("[]"),
        Live,
        "endpoints of a key-value registry (etcd v3's JSON gateway) that holds the list, in place of discovery",
    ),
    setting(
        "registry.prefix",
        Text(200),
        "",
        Literal("\"/dewferry\""),
        Live,
        "members stand under PREFIX/members/NAME, operators' drains under PREFIX/drains/NAME",
    ),
    setting(
        "registry.serializable",
        Flag,
        "",
        Literal("false"),
        Live,
        "let an endpoint answer reads from what it has; one that lags is found out and passed over",
    ),
    setting(
        "registry.call_s",
        Number(0.1, 60.0),
        "s",
        Literal("5.0"),
        Live,
        "a call that is not answered within this has failed",
    ),
    setting(
        "registry.silence_s",
        Number(1.0, 3_600.0),
        "s",
        Literal("30.0"),
        Live,
        "a watch without a change or word of progress for so long is dead; more than the registry's notify interval",
    ),
    setting(
        "registry.guard_share",
        Number(0.0, 1.0),
        "share",
        Literal("0.5"),
        Live,
        "a step that takes more of the keys than this is asked about again before it is believed",
    ),
    setting(
        "registry.guard_s",
        Number(0.0, 600.0),
        "s",
        Literal("5.0"),
        Live,
        "for how long it must be still so, from another endpoint where there is one",
    ),
    setting(
        "registry.tls_ca",
        Path,
        "",
        Described("plain HTTP, for networks that can be trusted", "\"/etc/dewferry/registry-ca.pem\""),
        Live,
        "certificates (PEM) of whoever may vouch for the endpoints; they are then called over TLS alone",
    ),
    setting(
        "registry.tls_cert",
        Path,
        "",
        Described("no certificate is shown", "\"/etc/dewferry/registry.pem\""),
        Live,
        "the pooler's certificate and what stands above it (PEM); a renewed one goes into a file of a new name",
    ),
    setting(
        "registry.tls_key",
        Path,
        "",
        Described("no certificate is shown", "\"/etc/dewferry/registry.key\""),
        Live,
        "its key (PEM), mode 0600 or stricter",
    ),
    setting(
        "registry.tls_name",
        Text(253),
        "",
        Described("each endpoint's IP address", "\"registry.example\""),
        Live,
        "the name that the endpoints' certificates must be of",
    ),
    setting(
        "registry.tls_warn_days",
        Number(0.0, 3_650.0),
        "days",
        Literal("21.0"),
        Live,
        "a certificate in these files that runs out within this is warned of, once a day",
    ),
    setting(
        "registry.user",
        Text(64),
        "",
        Described("nobody logs in", "\"pooler\""),
        Live,
        "who logs in at the registry; needs password_file",
    ),
    setting(
        "registry.password_file",
        Path,
        "",
        Described("nobody logs in", "\"/etc/dewferry/registry.password\""),
        Live,
        "the user's password on one line, mode 0600 or stricter; read anew at each login",
    ),
    setting(
        "registry.register",
        Text(200),
        "",
        Described("the pooler has no key of its own there", "\"/dewferry-poolers\""),
        Live,
        "the pooler keeps a key REGISTER/NAME under a lease, beside the keys that are followed; gone when it ends",
    ),
    setting(
        "registry.lease_s",
        Integer(2, 3_600),
        "s",
        Literal("15"),
        Live,
        "that key is gone so long after the pooler's last word; kept alive three times as often",
    ),
    setting(
        "pool.listen",
        Address,
        "",
        Described("ordinary clients are not served", "\"127.0.0.1:6432\""),
        Restart,
        "where ordinary PostgreSQL clients connect, whose statements say nothing of class or time",
    ),
    setting(
        "pool.mode",
        Choice(&["statement", "transaction", "session"]),
        "",
        Literal("\"transaction\""),
        Restart,
        "for how long a client keeps a server connection; what binds it to one keeps it for longer",
    ),
    setting(
        "pool.write_class",
        Text(64),
        "",
        Described("needed beside pool.listen", "\"order-write\""),
        Live,
        "the class of what may write, and of what cannot be told; its reads must be write or fresh",
    ),
    setting(
        "pool.read_class",
        Text(64),
        "",
        Described("the same as write_class: all goes to the primary", "\"browse\""),
        Live,
        "the class of what is known to read only",
    ),
    setting(
        "pool.tenant",
        Text(64),
        "",
        Described("no tenant", "\"acme\""),
        Live,
        "the tenant of what no route gives one",
    ),
    setting(
        "pool.group",
        Integer(0, 4_294_967_295),
        "",
        Literal("0"),
        Live,
        "the group of what no route gives one",
    ),
    setting(
        "pool.clients",
        Integer(1, 100_000),
        "descriptors",
        Literal("100"),
        Restart,
        "most ordinary clients at a time, out of limits.sockets",
    ),
    setting(
        "pool.servers",
        Integer(1, 100_000),
        "descriptors",
        Literal("20"),
        Restart,
        "most server connections for them in all, out of limits.sockets",
    ),
    setting(
        "pool.servers_each",
        Integer(1, 100_000),
        "connections",
        Literal("10"),
        Restart,
        "most server connections of one member, user and database; who comes later waits, tenants in turn",
    ),
    setting(
        "pool.servers_reserve",
        Integer(0, 100_000),
        "connections",
        Literal("0"),
        Restart,
        "so many more than servers_each of each, for whoever has waited for reserve_after_s",
    ),
    setting(
        "pool.reserve_after_s",
        Number(0.0, 3_600.0),
        "s",
        Literal("0.5"),
        Restart,
        "how long somebody waits before the reserve is for him",
    ),
    setting(
        "pool.servers_least",
        Integer(0, 1_000),
        "connections",
        Literal("0"),
        Restart,
        "so many of each are kept though nobody uses them",
    ),
    setting(
        "pool.server_idle_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("30.0"),
        Restart,
        "a server connection that nobody uses for so long is closed",
    ),
    setting(
        "pool.server_lifetime_s",
        Number(1.0, 604_800.0),
        "s",
        Literal("3600.0"),
        Restart,
        "a server connection is not used again after this, less up to a tenth",
    ),
    setting(
        "pool.idle_in_transaction_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("60.0"),
        Restart,
        "a transaction that its client leaves idle for so long is undone",
    ),
    setting(
        "pool.statement_s",
        Number(0.1, 86_400.0),
        "s",
        Literal("300.0"),
        Restart,
        "a statement that takes longer is given up",
    ),
    setting(
        "pool.drain_s",
        Number(0.0, 3_600.0),
        "s",
        Literal("5.0"),
        Restart,
        "an open transaction on a member that is drained has so long to end",
    ),
    setting(
        "pool.statements",
        Integer(1, 100_000),
        "statements",
        Literal("200"),
        Restart,
        "most statements that a server connection keeps prepared; the one used longest ago goes",
    ),
    setting(
        "pool.users",
        Path,
        "",
        Described("nobody is asked for a password", "\"/etc/dewferry/users\""),
        Live,
        "file of those who may connect, written by `dewferry users`, mode 0600; read when it is named, and on SIGHUP",
    ),
    setting(
        "pool.tls_cert",
        Path,
        "",
        Described("clients are served without TLS", "\"/etc/dewferry/pool.pem\""),
        Live,
        "the certificate that ordinary clients are shown, with what stands above it (PEM)",
    ),
    setting(
        "pool.tls_key",
        Path,
        "",
        Described("clients are served without TLS", "\"/etc/dewferry/pool.key\""),
        Live,
        "its key (PEM), mode 0600 or stricter",
    ),
    setting(
        "pool.tls_client_ca",
        Path,
        "",
        Described("clients show no certificate", "\"/etc/dewferry/clients-ca.pem\""),
        Live,
        "certificates (PEM) of whoever may vouch for clients, who must then show one",
    ),
    setting(
        "pool.tls_required",
        Flag,
        "",
        Literal("false"),
        Live,
        "turn away clients that do not ask for TLS",
    ),
    setting(
        "pool.server_user",
        Text(63),
        "",
        Described("the client's own name", "\"pooler\""),
        Restart,
        "the user as whom servers are connected to",
    ),
    setting(
        "pool.server_tls_ca",
        Path,
        "",
        Described("servers are connected to without TLS", "\"/etc/dewferry/servers-ca.pem\""),
        Restart,
        "certificates (PEM) of whoever may vouch for servers, which are then connected to over TLS alone",
    ),
    setting(
        "pool.server_tls_name",
        Text(253),
        "",
        Described("each server's IP address", "\"db.example\""),
        Restart,
        "the name that the servers' certificates must be of",
    ),
    setting(
        "pool.server_tls_cert",
        Path,
        "",
        Described("no certificate is shown", "\"/etc/dewferry/server-client.pem\""),
        Restart,
        "the pooler's certificate towards servers and what stands above it (PEM)",
    ),
    setting(
        "pool.server_tls_key",
        Path,
        "",
        Described("no certificate is shown", "\"/etc/dewferry/server-client.key\""),
        Restart,
        "its key (PEM), mode 0600 or stricter",
    ),
    setting(
        "pool.server_password_file",
        Path,
        "",
        Described("servers that ask for a password are not connected to", "\"/etc/dewferry/server.password\""),
        Restart,
        "that user's password at the servers (SCRAM-SHA-256) on one line, mode 0600; read with each connection",
    ),
    setting(
        "route.*.rank",
        Integer(0, 1_000_000),
        "",
        Literal("100"),
        Live,
        "routes of a lower rank are looked at first, of one rank by name; the first that fits holds",
    ),
    setting(
        "route.*.user",
        Text(64),
        "",
        Described("any", "\"report*\""),
        Live,
        "the user; a * at the end stands for anything",
    ),
    setting(
        "route.*.database",
        Text(64),
        "",
        Described("any", "\"shop\""),
        Live,
        "the database, in the same way",
    ),
    setting(
        "route.*.application",
        Text(64),
        "",
        Described("any", "\"cron*\""),
        Live,
        "the application_name, in the same way",
    ),
    setting(
        "route.*.comment",
        Text(200),
        "",
        Described("any", "\"job=night\""),
        Live,
        "a text that the statement's leading comment holds",
    ),
    setting(
        "route.*.reads",
        Flag,
        "",
        Described("either", "true"),
        Live,
        "whether it is known to read only",
    ),
    setting(
        "route.*.class",
        Text(64),
        "",
        Described("read_class or write_class", "\"reports\""),
        Live,
        "the class; what may write never gets one that replicas serve",
    ),
    setting(
        "route.*.tenant",
        Text(64),
        "",
        Described("pool.tenant", "\"acme\""),
        Live,
        "the tenant",
    ),
    setting(
        "route.*.group",
        Integer(0, 4_294_967_295),
        "",
        Described("pool.group", "2"),
        Live,
        "the group",
    ),
    setting(
        "class.*.reads",
        Choice(&["any", "bounded", "session", "fresh", "write"]),
        "",
        Described(PLATFORM, "\"bounded\""),
        Live,
        "how recent its data must be; a new class must say",
    ),
    setting(
        "class.*.bound_s",
        Number(0.0, 3_600.0),
        "s",
        Described(PLATFORM, "1.0"),
        Live,
        "oldest data that a bounded read may see",
    ),
    setting(
        "class.*.repeats",
        Choice(&["safe", "keyed", "never"]),
        "",
        Described("the platform's; never for a new class", "\"safe\""),
        Live,
        "what a repeat can do: nothing, nothing within its window under its key, or harm",
    ),
    setting(
        "class.*.scope",
        Choice(&["group", "all"]),
        "",
        Described("the platform's; group for a new class", "\"group\""),
        Live,
        "where repeats of a keyed request are dropped",
    ),
    setting(
        "class.*.repeat_window_s",
        Number(0.0, 2.0),
        "s",
        Described("the platform's; 0 for a new class", "2.0"),
        Live,
        "how long repeats of a keyed request are dropped",
    ),
    setting(
        "class.*.aim_s",
        Number(0.001, 3_600.0),
        "s",
        Described(PLATFORM, "0.2"),
        Live,
        "an answer within this is worth its full value; at most deadline_s",
    ),
    setting(
        "class.*.deadline_s",
        Number(0.001, 3_600.0),
        "s",
        Described(PLATFORM, "0.8"),
        Live,
        "how long a client of the class waits at most",
    ),
    setting(
        "class.*.value",
        Number(0.0, 1_000_000.0),
        "",
        Described("the platform's; 1 for a new class", "1.0"),
        Live,
        "worth of one answer, against other classes",
    ),
    setting(
        "class.*.late_worth",
        Number(0.0, 1.0),
        "share",
        Described("the platform's; 0 for a new class", "0.0"),
        Live,
        "share of its worth that an answer past its aim still has",
    ),
    setting("class.*.retired", Flag, "", Literal("false"), Live, "new requests of the class are turned away"),
    setting(
        "tenant.*.quota_per_s",
        Number(0.0, 1_000_000_000.0),
        "requests/s",
        Described("the platform's; no limit for a new tenant", "1000.0"),
        Live,
        "requests within the tenant's share, over all poolers",
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
        Described("what the list says", "\"drain\""),
        Live,
        "what becomes of this member, whatever the list says of it",
    ),
    setting(
        "member.*.address",
        Address,
        "",
        Required("\"127.0.0.1:5501\""),
        Live,
        "where the member listens; a list here takes the place of discovery's",
    ),
    setting("member.*.zone", Text(64), "", Literal("\"\""), Live, "its zone"),
    setting(
        "member.*.group",
        Integer(0, 1_000_000),
        "",
        Literal("0"),
        Live,
        "its group: one primary and its replicas",
    ),
    setting(
        "member.*.status",
        Choice(&["serving", "draining"]),
        "",
        Literal("\"serving\""),
        Live,
        "whether it takes new work",
    ),
];

impl Kind {
    /// What would be accepted, in words.
    pub fn describe_accepted(&self) -> String {
        match self {
            Text(most) => format!("a text of at most {most} bytes"),
            Address => "an IP address with a port, such as \"127.0.0.1:5432\"".into(),
            Addresses(most) => format!("at most {most} IP addresses with ports in []"),
            Path => "an absolute path".into(),
            Paths(most) => format!("at most {most} absolute paths in []"),
            Routes(most) => {
                format!("at most {most} tables, each of name, a text of at most 64 bytes, and address, an IP address with a port")
            }
            ControlInstances(most) => format!(
                "at most {most} tables, each of name and region, texts of at most 64 bytes, and address, an IP address with a port"
            ),
            Flag => "true or false".into(),
            Integer(least, most) => format!("a whole number from {least} to {most}"),
            Number(least, most) => format!("a number from {least} to {most}"),
            Choice(words) => format!("one of {}", words.join(", ")),
        }
    }
}

/// The settings with their keys taken apart, once: a file of thousands of members asks for them as often.
static TAKEN_APART: LazyLock<Vec<(Vec<&'static str>, &'static Setting)>> =
    LazyLock::new(|| SETTINGS.iter().map(|setting| (setting.key.split('.').collect(), setting)).collect());

/// Whether parts of a key are where a setting is, as far as there are any.
fn leads_to(parts: &[String], own: &[&str]) -> bool {
    own.len() >= parts.len() && parts.iter().zip(own).all(|(part, own)| *own == "*" || own == part)
}

/// The setting at a key, given by its parts.
pub fn find(parts: &[String]) -> Option<&'static Setting> {
    let at = |(own, _): &&(Vec<&str>, _)| own.len() == parts.len() && leads_to(parts, own);
    TAKEN_APART.iter().find(at).map(|(_, setting)| *setting)
}

/// The names that may stand under a table, given by its parts; `*` where any may.
pub fn child_keys(parts: &[String]) -> Vec<&'static str> {
    let mut names = Vec::new();
    for (own, _) in TAKEN_APART.iter() {
        if own.len() > parts.len() && leads_to(parts, own) && !names.contains(&own[parts.len()]) {
            names.push(own[parts.len()]);
        }
    }
    names
}

/// The settings that must stand in a table, given by its parts, and their names there.
pub fn required_settings(parts: &[String]) -> Vec<(&'static str, &'static Setting)> {
    let needed = TAKEN_APART.iter().filter(|(_, setting)| matches!(setting.default, Required(_)));
    let here = needed.filter(|(own, _)| own.len() == parts.len() + 1 && leads_to(parts, own));
    here.map(|(own, setting)| (own[own.len() - 1], *setting)).collect()
}

/// A commented file that holds every setting and parses to the defaults: what has no value of its own, and what
/// needs a name, stands in comments.
pub fn defaults() -> String {
    let mut out = String::from(
        "# dewferry's operator file. Every setting stands here with its default, or in a comment with an example\n\
         # where the platform's value holds unless one is given. Units: s seconds, MB 1,000,000 bytes.\n",
    );
    let mut table = "";
    for setting in SETTINGS {
        let (head, name) = setting.key.rsplit_once('.').unwrap_or(("", setting.key));
        let named = setting.key.contains('*');
        let head_shown = head.replace('*', "NAME");
        if head != table {
            let mark = if named { "# " } else { "" };
            let _ = writeln!(out, "\n{mark}[{head_shown}]");
            table = head;
        }
        let unit = if setting.unit.is_empty() { String::new() } else { format!("; unit: {}", setting.unit) };
        let start = if setting.activation == Restart { "; needs a restart" } else { "" };
        let _ = writeln!(out, "# {}.", setting.about);
        let _ = writeln!(out, "# {}{unit}{start}.", setting.kind.describe_accepted());
        let name = if name == "*" { "NAME" } else { name };
        let _ = match setting.default {
            Literal(value) if named => writeln!(out, "# {name} = {value}"),
            Literal(value) => writeln!(out, "{name} = {value}"),
            Described(what, example) => writeln!(out, "# Absent: {what}.\n# {name} = {example}"),
            Required(example) => writeln!(out, "# Must be given.\n# {name} = {example}"),
        };
    }
    out
}
