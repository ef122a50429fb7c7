//! The platform's configuration file, which a pooler reads at its start, and the routing settings in it. The
//! adapter uses the same decoder for its settings.

mod summary;

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use json::Node;
use listing::ListUpdate;
use routing::interface::{Class, Consistency, Dedup, Effect, Settings, WhenBehind};

pub use summary::{ConfigSummary, LoadReports, PlatformFacts};

/// Reason why a configuration cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

impl From<String> for ConfigError {
    fn from(text: String) -> Self {
        ConfigError(text)
    }
}

/// How a pooler receives the list of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Requested from one discovery service for all poolers. Requests are limited, since each one costs the
    /// service.
    Requested,
    /// Pushed without requests; in a deployment by an agent on the pooler's own host, which can be polled at
    /// no cost.
    Pushed,
}

impl ListSource {
    /// The source named by `registryMode`; without it, the list is pushed.
    fn of(settings_node: Node) -> Result<ListSource, ConfigError> {
        let mode = settings_node.at("registryMode");
        match mode.text() {
            Some("subscribe") => Ok(ListSource::Requested),
            Some("automatic") => Ok(ListSource::Pushed),
            Some(other) => Err(format!(
                "'registryMode' is \"{other}\"; accepted: \"subscribe\" (the list is asked for), \"automatic\" (it is pushed)"
            )
            .into()),
            None if mode.is_null() => Ok(ListSource::Pushed),
            None => Err("'registryMode' is not a text".to_string().into()),
        }
    }
}

/// Returns the number under `name`, or `default` if the key is missing or null; anything else is an error.
fn number_or(node: Node, name: &str, default: f64) -> Result<f64, ConfigError> {
    let value = node.at(name);
    match value.number() {
        Some(number) => Ok(number),
        None if value.is_null() => Ok(default),
        None => Err(format!("'{name}' is not a number").into()),
    }
}

fn required_text<'a>(node: Node<'a>, name: &str) -> Result<&'a str, ConfigError> {
    node.at(name).text().ok_or_else(|| format!("'{name}' is not a text").into())
}

/// Decodes the settings from the JSON text of the settings object.
pub fn parse_settings(text: &str) -> Result<Settings, ConfigError> {
    decode(Node::new(&json::parse(text)?))
}

fn decode(settings_node: Node) -> Result<Settings, ConfigError> {
    let (limits, rules, specifics) =
        (settings_node.at("limits"), settings_node.at("invariants"), settings_node.at("specifics"));
    let class_nodes =
        settings_node.at("classes").items().ok_or_else(|| "'classes' is not an array".to_string())?;
    let consistency_levels = specifics.at("consistency").items().unwrap_or_default();
    if class_nodes.len() != consistency_levels.len() {
        return Err("'classes' and 'consistency' differ in length".to_string().into());
    }
    let staleness_bounds = specifics.at("stalenessBound").items().unwrap_or_default();
    let staleness_bound =
        |index: usize| staleness_bounds.get(index).and_then(|b| Node::new(b).number()).unwrap_or(0.0);
    let mut classes = Vec::new();
    for (index, class) in class_nodes.iter().map(Node::new).enumerate() {
        classes.push(Class {
            aim: number_or(class, "aim", 1.0)?,
            aim_stretch: number_or(class, "aimStretch", 0.0)?,
            deadline: number_or(class, "deadline", 1.0)?,
            dedup_window: number_or(class, "dedupWindow", 0.0)?,
            effect: match class.at("effect").text() {
                Some("read_like") => Effect::Safe,
                // This scope is not part of the interface, so the class is never repeated.
                Some("idempotency_key") if class.at("group").text() == Some("zone") => Effect::Unsafe,
                Some("idempotency_key") => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            dedup: match class.at("group").text() {
                Some("all") => Dedup::All,
                _ => Dedup::Group,
            },
            late_worth: number_or(class, "lateWorth", 0.0)?,
            value: number_or(class, "value", 1.0)?,
            consistency: match Node::new(&consistency_levels[index]).text() {
                Some("write") => Consistency::Write,
                Some("session") => Consistency::Session,
                Some("bounded") => Consistency::Bounded(staleness_bound(index)),
                Some("any") => Consistency::Any,
                _ => Consistency::Fresh,
            },
        });
    }
    let tenants = settings_node.at("customers").items().unwrap_or_default().iter();
    let quota = |tenant| number_or(Node::new(tenant), "quotaPerS", f64::INFINITY);
    Ok(Settings {
        classes,
        tenant_quota: tenants.map(quota).collect::<Result<_, _>>()?,
        over_share_worth: number_or(settings_node, "overShareWorth", 1.0)?,
        fleet_size: number_or(settings_node, "fleetSize", 1.0)? as u32,
        zone: number_or(settings_node, "zone", 0.0)? as u32,
        tick: number_or(settings_node, "tick", 0.005)?,
        probes: limits.at("probes").flag(),
        cancel: limits.at("cancel").flag(),
        allow_hedging: limits.at("mayDuplicate").flag(),
        max_attempts: number_or(limits, "maxAttempts", 1.0)? as u32,
        retry_after: limits.at("retryAfter").flag(),
        max_retry_after: number_or(limits, "maxRetryAfter", 0.0)?,
        connect_timeout: number_or(limits, "connectTimeout", 0.25)?,
        subscribe: ListSource::of(settings_node)? == ListSource::Requested,
        max_list_age: number_or(rules, "askWithin", 10.0)?,
        cold_start_capacity: number_or(rules, "coldFrom", 1.0)?,
        warm_up: number_or(rules, "warmUp", 0.0)?,
        overload_factor: number_or(rules, "tipMultiple", f64::INFINITY)?,
        overload_window: number_or(rules, "fall", 1.0)?,
        removal_is_advisory: rules.at("goneIsAdvice").flag(),
        when_behind: match specifics.at("whenBehind").text() {
            Some("refuse") => WhenBehind::Refuse,
            Some("wait") => WhenBehind::Wait(number_or(specifics, "wait", 0.0)?),
            _ => WhenBehind::ServeStale,
        },
        requests_carry_position: specifics.at("writeMarks").text() == Some("carried"),
    })
}

/// Configuration of one pooler.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the pooler, for the log.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random numbers; the platform sets a new one for each start.
    pub seed: u64,
    /// Maximum number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum memory use of the process (bytes).
    pub max_memory: usize,
    /// Settings of the routing policy.
    pub settings: Settings,
    /// How the pooler receives the list.
    pub list_source: ListSource,
    /// Further statements of the platform about the deployment.
    pub facts: PlatformFacts,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// How long a member keeps an idle connection open (seconds).
    pub keepalive: f64,
    /// The list as last saved.
    pub saved_list: ListUpdate,
}

impl Config {
    /// Reads a configuration file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let with_path = |error: &dyn fmt::Display| ConfigError(format!("{}: {error}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| with_path(&error))?;
        Config::parse(&text).map_err(|error| with_path(&error))
    }

    /// Decodes the text of a configuration file.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let value = json::parse(text)?;
        let root = Node::new(&value);
        let settings_node = root.at("settings");
        let address = |name| -> Result<SocketAddr, ConfigError> {
            let text = required_text(root, name)?;
            text.parse().map_err(|_| format!("'{name}' is not an address with a port: '{text}'").into())
        };
        let names = |list: &str| -> Result<Vec<String>, ConfigError> {
            let items = settings_node.at(list).items().unwrap_or_default().iter().map(Node::new);
            items
                .map(|item| item.text().or(item.at("name").text()).map(String::from))
                .map(|name| name.ok_or_else(|| format!("an entry of '{list}' has no name").into()))
                .collect()
        };
        let seed = required_text(root, "seed")?;
        let settings =
            decode(settings_node).map_err(|ConfigError(error)| format!("in 'settings': {error}"))?;
        routing::check(&settings).map_err(|error| format!("in 'settings': {error}"))?;
        let keepalive = number_or(settings_node.at("limits"), "keepalive", 15.0)?;
        if !(keepalive > 0.0 && keepalive.is_finite()) {
            return Err("'keepalive' must be a finite time above 0".to_string().into());
        }
        Ok(Config {
            name: root.at("name").text().unwrap_or("dewferry").to_string(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| format!("'seed' is not hexadecimal: '{seed}'"))?,
            max_descriptors: number_or(root.at("limits"), "sockets", 1024.0)? as usize,
            max_memory: (number_or(root.at("limits"), "memory_mb", 192.0)? * 1e6) as usize,
            settings,
            list_source: ListSource::of(settings_node)?,
            facts: PlatformFacts::of(settings_node),
            classes: names("classes")?,
            tenants: names("customers")?,
            zones: names("zones")?,
            keepalive,
            // A saved list that cannot be read is ignored: discovery has a newer one.
            saved_list: listing::parse_update(root.at("known")).unwrap_or_default(),
        })
    }
}
