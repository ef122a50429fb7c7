//! The effective configuration: the platform's configuration, overridden by the operator's document.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use config::Config;
use listing::Listing;
use routing::interface::{Class, Consistency, Dedup, Effect, Phase, Settings};

use crate::document::{Access, ClassEdit, Document, MemberEntry, Override, Reads, Repeats, Scope};
use crate::peers;
use crate::schema::{self, Activation};

/// Why a valid document cannot be combined with a platform's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The key with the conflict; empty if it concerns no single key.
    pub key: String,
    /// Description of the conflict, with its figures.
    pub message: String,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.message)
    }
}

/// A value that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The key.
    pub key: String,
    /// The old value, if there was one.
    pub from: Option<String>,
    /// The new value, if there is one.
    pub to: Option<String>,
    /// Whether it can take effect while the daemon runs.
    pub activation: Activation,
}

/// All settings in force.
#[derive(Clone, Debug)]
pub struct EffectiveConfig {
    /// The operator's document that it was created from.
    pub document: Document,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// File descriptors that the process may use.
    pub sockets: usize,
    /// Memory that the process may use (bytes).
    pub memory: usize,
    /// How long a database server keeps an idle connection (seconds).
    pub keepalive: f64,
    /// Settings of the routing policy, with classes and tenants in the order of the names below.
    pub settings: Settings,
    /// Names of the classes, without retired ones.
    pub classes: Vec<String>,
    /// Names of the tenants, without retired ones.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The static list; empty if another source provides the list.
    pub members: Vec<Listing>,
}

impl EffectiveConfig {
    /// Combines a document with the platform's configuration. Returns all conflicts if there are any.
    pub fn new(platform: &Config, document: Document) -> Result<EffectiveConfig, Vec<Conflict>> {
        let mut conflicts = Vec::new();
        let mut conflict = |key: String, message: String| conflicts.push(Conflict { key, message });
        let limits = &document.limits;
        let sockets = limits.sockets.map_or(platform.max_descriptors, |sockets| sockets as usize);
        if sockets > platform.max_descriptors {
            let message = format!("{sockets} descriptors; the process may use {}", platform.max_descriptors);
            conflict("limits.sockets".into(), message);
        }
        let memory = limits.memory_mb.map_or(platform.max_memory, |mb| (mb * 1e6) as usize);
        if memory > platform.max_memory {
            let (requested, available) = (memory as f64 / 1e6, platform.max_memory as f64 / 1e6);
            conflict("limits.memory_mb".into(), format!("{requested} MB; the process may use {available}"));
        }
        let mut settings = platform.settings.clone();
        settings.connect_timeout = limits.connect_timeout_s.unwrap_or(settings.connect_timeout);
        settings.max_attempts = limits.max_attempts.unwrap_or(settings.max_attempts);
        settings.max_retry_after = limits.max_retry_after_s.unwrap_or(settings.max_retry_after);
        let named = platform.classes.iter().cloned().zip(settings.classes);
        let (mut classes, mut list): (Vec<String>, Vec<Class>) = named.unzip();
        for (name, edit) in &document.class {
            let index = classes.iter().position(|known| known == name);
            if index.is_none() && !edit.retired && edit.reads.is_none() {
                conflict(
                    format!("class.{name}.reads"),
                    "missing for a class that the platform does not define".into(),
                );
                continue;
            }
            let mut class = index.map_or_else(new_class, |index| list[index].clone());
            apply_edit(edit, &mut class);
            if class.aim > class.deadline {
                let message = format!("aim_s {} exceeds deadline_s {}", class.aim, class.deadline);
                conflict(format!("class.{name}"), message);
            }
            if class.effect == Effect::Keyed && class.dedup_window <= 0.0 {
                conflict(format!("class.{name}.repeat_window_s"), "0 for a class with keyed repeats".into());
            }
            match index {
                Some(index) => list[index] = class,
                None => {
                    classes.push(name.clone());
                    list.push(class);
                }
            }
        }
        let retired = |name: &String| document.class.get(name).is_some_and(|edit| edit.retired);
        let remaining: (Vec<String>, Vec<Class>) =
            classes.into_iter().zip(list).filter(|(name, _)| !retired(name)).unzip();
        let classes = remaining.0;
        settings.classes = remaining.1;
        if classes.is_empty() {
            conflict("class".into(), "no class is left".into());
        }
        let quotas = settings.tenant_quota.iter().copied().chain(std::iter::repeat(f64::INFINITY));
        let mut tenants: Vec<(String, f64)> = platform.tenants.iter().cloned().zip(quotas).collect();
        for (name, edit) in &document.tenant {
            match tenants.iter_mut().find(|(known, _)| known == name) {
                Some((_, quota)) => *quota = edit.quota_per_s.unwrap_or(*quota),
                None => tenants.push((name.clone(), edit.quota_per_s.unwrap_or(f64::INFINITY))),
            }
        }
        let retired = |name: &String| document.tenant.get(name).is_some_and(|edit| edit.retired);
        tenants.retain(|(name, _)| !retired(name));
        let (tenants, quotas): (Vec<String>, Vec<f64>) = tenants.into_iter().unzip();
        // Without tenants no quotas apply.
        settings.tenant_quota = quotas;
        if let Err(error) = routing::check(&settings) {
            conflict(String::new(), error.to_string());
        }
        let mut addresses = BTreeSet::new();
        for (name, member) in &document.member {
            if !addresses.insert(member.address) {
                conflict(
                    format!("member.{name}.address"),
                    format!("{} is also the address of another member", member.address),
                );
            }
        }
        if document.change.require_signature && document.change.keys.is_empty() {
            conflict(
                "change.keys".into(),
                "empty although signatures are required: no change could be accepted".into(),
            );
        }
        let registry = &document.registry;
        if !registry.endpoints.is_empty() && !document.member.is_empty() {
            conflict("registry.endpoints".into(), "cannot be combined with a static list of members".into());
        }
        // The first setting of each entry has no effect without the second.
        let pairs = [
            ("tls_cert", registry.tls_cert.is_some(), "tls_key", registry.tls_key.is_some()),
            ("tls_key", registry.tls_key.is_some(), "tls_cert", registry.tls_cert.is_some()),
            ("tls_cert", registry.tls_cert.is_some(), "tls_ca", registry.tls_ca.is_some()),
            ("tls_name", registry.tls_name.is_some(), "tls_ca", registry.tls_ca.is_some()),
            ("user", registry.user.is_some(), "password_file", registry.password_file.is_some()),
            ("password_file", registry.password_file.is_some(), "user", registry.user.is_some()),
        ];
        for (given, is_given, required, has_required) in pairs {
            if is_given && !has_required {
                conflict(format!("registry.{given}"), format!("given without registry.{required}"));
            }
        }
        if !registry.prefix.starts_with('/') || registry.prefix.ends_with('/') {
            conflict(
                "registry.prefix".into(),
                format!("{:?} must begin with a slash and must not end with one", registry.prefix),
            );
        }
        let is_inside =
            |register: &String| format!("{register}/").starts_with(&format!("{}/", registry.prefix));
        if let Some(register) =
            registry.register.as_ref().filter(|register| !register.starts_with('/') || is_inside(register))
        {
            let message =
                format!("{register:?} must begin with a slash and must not be within registry.prefix");
            conflict("registry.register".into(), message);
        }
        check_pool(&document, &classes, &settings, sockets, &mut conflict);
        peers::check(&document, &settings, &mut conflict);
        let members = document.member.iter().map(|(name, member)| Listing {
            name: name.as_str().into(),
            address: member.address,
            zone: member.zone.clone(),
            group: member.group,
            phase: if member.status == Access::Draining { Phase::Leaving } else { Phase::Active },
            started_at: 0.0,
        });
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        Ok(EffectiveConfig {
            listen: document.listen.unwrap_or(platform.listen),
            discovery: document.discovery.unwrap_or(platform.discovery),
            sockets,
            memory,
            keepalive: limits.keepalive_s.unwrap_or(platform.keepalive),
            settings,
            classes,
            tenants,
            zones: platform.zones.clone(),
            members: members.collect(),
            document,
        })
    }

    /// Returns the shortest aim of the classes of writes (seconds), or infinity if there are none.
    pub fn shortest_write_aim(&self) -> f64 {
        let writes = self.settings.classes.iter().filter(|class| class.consistency == Consistency::Write);
        writes.map(|class| class.aim).fold(f64::INFINITY, f64::min)
    }

    /// Returns the routing rules for requests of ordinary clients.
    pub fn route_table(&self) -> route::Table {
        let pool = &self.document.pool;
        let rules = self.document.route.iter().map(|(name, entry)| route::Rule {
            name: name.clone(),
            priority: entry.rank,
            user: entry.user.clone(),
            database: entry.database.clone(),
            application: entry.application.clone(),
            comment: entry.comment.clone(),
            read_only: entry.reads,
            class: entry.class.clone(),
            tenant: entry.tenant.clone(),
            group: entry.group,
        });
        let classes = self.classes.iter().cloned().zip(self.settings.classes.iter().map(is_primary_only));
        let write = pool.write_class.clone().unwrap_or_default();
        let read = pool.read_class.clone().unwrap_or_else(|| write.clone());
        let tenant = pool.tenant.clone().unwrap_or_default();
        route::Table::new(rules.collect(), classes, (read, write), (tenant, pool.group))
    }

    /// Returns the settings of a class.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().position(|known| known == name).map(|index| &self.settings.classes[index])
    }

    /// Returns the operator's override for a member.
    pub fn member_override(&self, member: &str) -> Option<Override> {
        self.document.overrides.get(member).copied()
    }

    /// Returns all values in force by key, as texts, except members and overrides.
    fn values(&self) -> BTreeMap<String, String> {
        let mut values = self.document.values();
        let mut insert = |key: String, value: String| drop(values.insert(key, value));
        insert("listen".into(), self.listen.to_string());
        insert("discovery".into(), self.discovery.to_string());
        insert("limits.memory_mb".into(), (self.memory as f64 / 1e6).to_string());
        insert("limits.sockets".into(), self.sockets.to_string());
        insert("limits.keepalive_s".into(), self.keepalive.to_string());
        let settings = &self.settings;
        insert("limits.connect_timeout_s".into(), settings.connect_timeout.to_string());
        insert("limits.max_attempts".into(), settings.max_attempts.to_string());
        insert("limits.max_retry_after_s".into(), settings.max_retry_after.to_string());
        for (name, class) in self.classes.iter().zip(&settings.classes) {
            for (field, value) in class_values(class) {
                insert(format!("class.{name}.{field}"), value);
            }
        }
        for (name, quota) in self.tenants.iter().zip(&settings.tenant_quota) {
            insert(format!("tenant.{name}.quota_per_s"), quota.to_string());
        }
        values
    }

    /// Returns the differences to another configuration, by key.
    pub fn differences(&self, other: &EffectiveConfig) -> Vec<Difference> {
        let mut found = differences(&self.values(), &other.values());
        self.document.add_member_differences(&other.document, &mut found);
        found
    }
}

fn difference(key: String, from: Option<String>, to: Option<String>) -> Difference {
    let parts: Vec<String> = key.split('.').map(String::from).collect();
    let activation = schema::find(&parts).map_or(Activation::Live, |setting| setting.activation);
    Difference { key, from, to, activation }
}

/// Returns the differences between two sets of values, by key.
fn differences(old: &BTreeMap<String, String>, new: &BTreeMap<String, String>) -> Vec<Difference> {
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let differ = keys.into_iter().filter(|key| old.get(*key) != new.get(*key));
    differ.map(|key| difference(key.clone(), old.get(key).cloned(), new.get(key).cloned())).collect()
}

impl Document {
    /// Returns the differences to another document, by key, defaults included.
    pub fn differences(&self, other: &Document) -> Vec<Difference> {
        let mut found = differences(&self.values(), &other.values());
        self.add_member_differences(other, &mut found);
        found
    }

    /// Adds the differences of members and overrides. There can be thousands of members, so only those that
    /// differ are formatted.
    fn add_member_differences(&self, other: &Document, found: &mut Vec<Difference>) {
        let names: BTreeSet<&String> = self.overrides.keys().chain(other.overrides.keys()).collect();
        for name in names {
            let (old, new) = (self.overrides.get(name), other.overrides.get(name));
            if old != new {
                let describe = |status: &Override| format!("{status:?}").to_lowercase();
                found.push(difference(format!("override.{name}"), old.map(describe), new.map(describe)));
            }
        }
        let describe = |m: &MemberEntry| {
            let MemberEntry { address, zone, group, status } = m;
            format!("{address} zone {zone:?} group {group} {}", format!("{status:?}").to_lowercase())
        };
        for (name, old) in &self.member {
            let new = other.member.get(name);
            if new != Some(old) {
                found.push(difference(format!("member.{name}"), Some(describe(old)), new.map(describe)));
            }
        }
        for (name, new) in other.member.iter().filter(|(name, _)| !self.member.contains_key(*name)) {
            found.push(difference(format!("member.{name}"), None, Some(describe(new))));
        }
    }

    /// Returns the document's values by key, except members, overrides, and settings left to the platform.
    fn values(&self) -> BTreeMap<String, String> {
        fn flatten(prefix: &str, value: &toml::Value, out: &mut BTreeMap<String, String>) {
            match value {
                toml::Value::Table(table) => {
                    for (name, value) in table {
                        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
                        flatten(&key, value, out);
                    }
                }
                toml::Value::String(text) => drop(out.insert(prefix.to_string(), text.clone())),
                other => drop(out.insert(prefix.to_string(), other.to_string())),
            }
        }
        let mut out = BTreeMap::new();
        let without_members =
            Document { overrides: BTreeMap::new(), member: BTreeMap::new(), ..self.clone() };
        if let Ok(value) = toml::Value::try_from(without_members) {
            flatten("", &value, &mut out);
        }
        out
    }
}

/// Returns true if only the primary serves a class.
fn is_primary_only(class: &Class) -> bool {
    matches!(class.consistency, Consistency::Write | Consistency::Fresh)
}

/// Checks the settings for ordinary clients.
fn check_pool(
    document: &Document,
    classes: &[String],
    settings: &Settings,
    sockets: usize,
    conflict: &mut impl FnMut(String, String),
) {
    let class =
        |name: &String| classes.iter().position(|known| known == name).map(|index| &settings.classes[index]);
    let pool = &document.pool;
    let named = document
        .route
        .iter()
        .filter_map(|(name, entry)| Some((format!("route.{name}.class"), entry.class.as_ref()?)));
    let named = named.chain(pool.read_class.iter().map(|name| ("pool.read_class".to_string(), name)));
    for (key, name) in named.chain(pool.write_class.iter().map(|name| ("pool.write_class".to_string(), name)))
    {
        if class(name).is_none() {
            conflict(key, format!("unknown class {name:?}"));
        }
    }
    if pool.listen.is_none() {
        return;
    }
    match pool.write_class.as_ref().map(|name| (name, class(name))) {
        None => conflict("pool.write_class".into(), "missing; required with pool.listen".into()),
        Some((name, Some(class))) if !is_primary_only(class) => {
            conflict("pool.write_class".into(), format!("{name:?} may be served by a replica"));
        }
        _ => {}
    }
    let pairs = [
        ("tls_cert", pool.tls_cert.is_some(), "tls_key", pool.tls_key.is_some()),
        ("tls_key", pool.tls_key.is_some(), "tls_cert", pool.tls_cert.is_some()),
        ("tls_client_ca", pool.tls_client_ca.is_some(), "tls_cert", pool.tls_cert.is_some()),
        ("tls_required", pool.tls_required, "tls_cert", pool.tls_cert.is_some()),
        ("server_tls_name", pool.server_tls_name.is_some(), "server_tls_ca", pool.server_tls_ca.is_some()),
        ("server_tls_cert", pool.server_tls_cert.is_some(), "server_tls_ca", pool.server_tls_ca.is_some()),
        ("server_tls_cert", pool.server_tls_cert.is_some(), "server_tls_key", pool.server_tls_key.is_some()),
        ("server_tls_key", pool.server_tls_key.is_some(), "server_tls_cert", pool.server_tls_cert.is_some()),
        (
            "server_password_file",
            pool.server_password_file.is_some(),
            "server_user",
            pool.server_user.is_some(),
        ),
    ];
    for (given, is_given, required, has_required) in pairs {
        if is_given && !has_required {
            conflict(format!("pool.{given}"), format!("given without pool.{required}"));
        }
    }
    let required = (pool.clients + pool.servers) as usize;
    if required + RESERVED_SOCKETS > sockets {
        let message = format!(
            "{required} descriptors with pool.servers; {sockets} less {RESERVED_SOCKETS} are available"
        );
        conflict("pool.clients".into(), message);
    }
}

/// Descriptors reserved for everything but ordinary clients and their server connections.
const RESERVED_SOCKETS: usize = 48;

/// Returns the initial settings of a class that the platform does not define: never repeated, with a value of
/// 1.
fn new_class() -> Class {
    Class { effect: Effect::Unsafe, ..Class::default() }
}

/// Applies the settings given for a class.
fn apply_edit(edit: &ClassEdit, class: &mut Class) {
    let bound = match class.consistency {
        Consistency::Bounded(bound) => bound,
        _ => 1.0,
    };
    class.consistency = match edit.reads {
        None => match class.consistency {
            Consistency::Bounded(bound) => Consistency::Bounded(edit.bound_s.unwrap_or(bound)),
            other => other,
        },
        Some(Reads::Any) => Consistency::Any,
        Some(Reads::Bounded) => Consistency::Bounded(edit.bound_s.unwrap_or(bound)),
        Some(Reads::Session) => Consistency::Session,
        Some(Reads::Fresh) => Consistency::Fresh,
        Some(Reads::Write) => Consistency::Write,
    };
    class.effect = match edit.repeats {
        None => class.effect,
        Some(Repeats::Safe) => Effect::Safe,
        Some(Repeats::Keyed) => Effect::Keyed,
        Some(Repeats::Never) => Effect::Unsafe,
    };
    class.dedup = match edit.scope {
        None => class.dedup,
        Some(Scope::Group) => Dedup::Group,
        Some(Scope::All) => Dedup::All,
    };
    class.dedup_window = edit.repeat_window_s.unwrap_or(class.dedup_window);
    class.aim = edit.aim_s.unwrap_or(class.aim);
    class.deadline = edit.deadline_s.unwrap_or(class.deadline);
    class.value = edit.value.unwrap_or(class.value);
    class.late_worth = edit.late_worth.unwrap_or(class.late_worth);
}

fn class_values(class: &Class) -> Vec<(&'static str, String)> {
    let (reads, bound) = match class.consistency {
        Consistency::Any => ("any", None),
        Consistency::Bounded(bound) => ("bounded", Some(bound)),
        Consistency::Session => ("session", None),
        Consistency::Fresh => ("fresh", None),
        Consistency::Write => ("write", None),
    };
    let repeats = match class.effect {
        Effect::Safe => "safe",
        Effect::Keyed => "keyed",
        Effect::Unsafe => "never",
    };
    let mut values = vec![
        ("reads", reads.to_string()),
        ("repeats", repeats.into()),
        ("scope", if class.dedup == Dedup::All { "all" } else { "group" }.into()),
        ("repeat_window_s", class.dedup_window.to_string()),
        ("aim_s", class.aim.to_string()),
        ("deadline_s", class.deadline.to_string()),
        ("value", class.value.to_string()),
        ("late_worth", class.late_worth.to_string()),
    ];
    values.extend(bound.map(|bound| ("bound_s", bound.to_string())));
    values
}
