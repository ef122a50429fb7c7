//! What the pooler reads at its start: the configuration file, and in it the settings that the policy is
//! handed. The adapter decodes its settings here too.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use tinyjson::JsonValue;

use crate::interface::{Class, Consistency, Dedup, Effect, Settings, WhenBehind};
use crate::net::{discovery, News};

/// Deepest nesting of JSON that is read. Guards the stack: the parser calls itself once a level.
const DEEPEST: usize = 32;

/// Why a configuration cannot be used.
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

/// A JSON value that may be absent; what is not there reads as null.
#[derive(Clone, Copy)]
pub(crate) struct Node<'a>(Option<&'a JsonValue>);

impl<'a> Node<'a> {
    pub(crate) fn new(value: &'a JsonValue) -> Self {
        Node(Some(value))
    }

    pub(crate) fn at(self, name: &str) -> Node<'a> {
        Node(self.0.and_then(|value| value.get::<HashMap<String, JsonValue>>()?.get(name)))
    }

    pub(crate) fn items(self) -> Option<&'a [JsonValue]> {
        self.0?.get::<Vec<JsonValue>>().map(Vec::as_slice)
    }

    pub(crate) fn number(self) -> Option<f64> {
        self.0?.get::<f64>().copied()
    }

    pub(crate) fn text(self) -> Option<&'a str> {
        self.0?.get::<String>().map(String::as_str)
    }

    pub(crate) fn flag(self) -> bool {
        self.0.and_then(|value| value.get::<bool>()).copied().unwrap_or(false)
    }

    fn is_null(self) -> bool {
        self.0.is_none_or(|value| matches!(value, JsonValue::Null))
    }

    /// A number under that name; `absent` where there is none, a fault where it is something else.
    fn number_or(self, name: &str, absent: f64) -> Result<f64, ConfigError> {
        let value = self.at(name);
        match value.number() {
            Some(number) => Ok(number),
            None if value.is_null() => Ok(absent),
            None => Err(format!("'{name}' is not a number").into()),
        }
    }

    fn need_text(self, name: &str) -> Result<&'a str, ConfigError> {
        self.at(name).text().ok_or_else(|| format!("'{name}' is not a text").into())
    }
}

/// Parses JSON from anywhere: text nested so deeply that parsing it could exhaust the stack is refused.
pub(crate) fn json(text: &str) -> Result<JsonValue, ConfigError> {
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return Err(format!("JSON nested deeper than {DEEPEST} levels").into());
        }
    }
    text.parse().map_err(|error| format!("not JSON: {error}").into())
}

/// Decodes the settings from the JSON text of the settings object.
pub fn settings(text: &str) -> Result<Settings, ConfigError> {
    decode(Node::new(&json(text)?))
}

fn decode(info: Node) -> Result<Settings, ConfigError> {
    let (limits, rules, specifics) = (info.at("limits"), info.at("invariants"), info.at("specifics"));
    let list = info.at("classes").items().ok_or_else(|| "'classes' is not an array".to_string())?;
    let levels = specifics.at("consistency").items().unwrap_or_default();
    if list.len() != levels.len() {
        return Err("'classes' and 'consistency' differ in length".to_string().into());
    }
    let bounds = specifics.at("stalenessBound").items().unwrap_or_default();
    let bound = |index: usize| bounds.get(index).and_then(|b| Node::new(b).number()).unwrap_or(0.0);
    let mut classes = Vec::new();
    for (index, class) in list.iter().map(Node::new).enumerate() {
        classes.push(Class {
            aim: class.number_or("aim", 1.0)?,
            aim_stretch: class.number_or("aimStretch", 0.0)?,
            deadline: class.number_or("deadline", 1.0)?,
            dedup_window: class.number_or("dedupWindow", 0.0)?,
            effect: match class.at("effect").text() {
                Some("read_like") => Effect::Safe,
                // A scope that is no part of the interface: never repeated.
                Some("idempotency_key") if class.at("group").text() == Some("zone") => Effect::Unsafe,
                Some("idempotency_key") => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            dedup: match class.at("group").text() {
                Some("all") => Dedup::All,
                _ => Dedup::Cell,
            },
            late_worth: class.number_or("lateWorth", 0.0)?,
            value: class.number_or("value", 1.0)?,
            consistency: match Node::new(&levels[index]).text() {
                Some("write") => Consistency::Write,
                Some("session") => Consistency::Session,
                Some("bounded") => Consistency::Bounded(bound(index)),
                Some("any") => Consistency::Any,
                _ => Consistency::Fresh,
            },
        });
    }
    let tenants = info.at("customers").items().unwrap_or_default().iter();
    let quota = |tenant| Node::new(tenant).number_or("quotaPerS", f64::INFINITY);
    Ok(Settings {
        classes,
        tenant_quota: tenants.map(quota).collect::<Result<_, _>>()?,
        over_share_worth: info.number_or("overShareWorth", 1.0)?,
        fleet_size: info.number_or("fleetSize", 1.0)? as u32,
        zone: info.number_or("zone", 0.0)? as u32,
        tick: info.number_or("tick", 0.005)?,
        probes: limits.at("probes").flag(),
        cancel: limits.at("cancel").flag(),
        may_duplicate: limits.at("mayDuplicate").flag(),
        max_attempts: limits.number_or("maxAttempts", 1.0)? as u32,
        retry_after: limits.at("retryAfter").flag(),
        max_retry_after: limits.number_or("maxRetryAfter", 0.0)?,
        connect_timeout: limits.number_or("connectTimeout", 0.25)?,
        subscribe: info.at("registryMode").text() == Some("subscribe"),
        ask_within: rules.number_or("askWithin", 10.0)?,
        cold_from: rules.number_or("coldFrom", 1.0)?,
        warm_up: rules.number_or("warmUp", 0.0)?,
        tip_multiple: rules.number_or("tipMultiple", f64::INFINITY)?,
        fall: rules.number_or("fall", 1.0)?,
        gone_is_advice: rules.at("goneIsAdvice").flag(),
        when_behind: match specifics.at("whenBehind").text() {
            Some("refuse") => WhenBehind::Refuse,
            Some("wait") => WhenBehind::Wait(specifics.number_or("wait", 0.0)?),
            _ => WhenBehind::Silent,
        },
        tokens_carried: specifics.at("writeMarks").text() == Some("carried"),
    })
}

/// All that one pooler is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Most file descriptors that the process may hold.
    pub sockets: usize,
    /// Most memory that the process may take (bytes).
    pub memory: usize,
    /// What the policy is handed.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// How long a db machine keeps an idle connection (seconds).
    pub keepalive: f64,
    /// The list of db machines as last held.
    pub(crate) known: News,
}

impl Config {
    /// Reads a configuration file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let named = |fault: &dyn fmt::Display| ConfigError(format!("{}: {fault}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| named(&error))?;
        Config::parse(&text).map_err(|error| named(&error))
    }

    /// Decodes the text of a configuration file.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let value = json(text)?;
        let root = Node::new(&value);
        let info = root.at("settings");
        let address = |name| -> Result<SocketAddr, ConfigError> {
            let text = root.need_text(name)?;
            text.parse().map_err(|_| format!("'{name}' is not an address with a port: '{text}'").into())
        };
        let names = |list: &str| -> Result<Vec<String>, ConfigError> {
            let items = info.at(list).items().unwrap_or_default().iter().map(Node::new);
            items
                .map(|item| item.text().or(item.at("name").text()).map(String::from))
                .map(|name| name.ok_or_else(|| format!("an entry of '{list}' has no name").into()))
                .collect()
        };
        let seed = root.need_text("seed")?;
        let settings = decode(info).map_err(|ConfigError(fault)| format!("in 'settings': {fault}"))?;
        crate::check::check(&settings).map_err(|fault| format!("in 'settings': {fault}"))?;
        let keepalive = info.at("limits").number_or("keepalive", 15.0)?;
        if !(keepalive > 0.0 && keepalive.is_finite()) {
            return Err("'keepalive' must be a finite time above 0".to_string().into());
        }
        Ok(Config {
            name: root.at("name").text().unwrap_or("dewferry").to_string(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| format!("'seed' is not hexadecimal: '{seed}'"))?,
            sockets: root.at("limits").number_or("sockets", 1024.0)? as usize,
            memory: (root.at("limits").number_or("memory_mb", 192.0)? * 1e6) as usize,
            settings,
            classes: names("classes")?,
            tenants: names("customers")?,
            zones: names("zones")?,
            keepalive,
            // An old list that cannot be read is worth no more than none: discovery has a new one.
            known: discovery::news(root.at("known")).unwrap_or_default(),
        })
    }
}
