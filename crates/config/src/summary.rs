//! Describes the effect of a platform's file on the pooler, for the operator of a deployment.

use std::fmt;

use json::Node;
use routing::interface::{Consistency, Dedup, Effect, Settings, WhenBehind};

use crate::{Config, ListSource};

/// Kind of service that routing supports.
const DOMAIN: &str = "replicas";
/// Field of load reports with a member's log position, which is needed to know the freshness of a replica.
const POSITION: &str = "x0";
/// Field of load reports with a member's role, which is needed to find the primary.
const ROLE: &str = "x1";

/// How a pooler receives load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReports {
    /// No load reports.
    #[default]
    Absent,
    /// With each answer and with probes.
    WithAnswers,
    /// With probes only.
    WithProbes,
}

/// Statements of a platform's file that routing does not use, but that an operator should know.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformFacts {
    /// Kind of service; empty if the file names none.
    pub domain: String,
    /// How the pooler receives load reports.
    pub reports: LoadReports,
    /// Whether load reports carry a position, and a role.
    pub reports_carry: (bool, bool),
    /// Whether every answer carries the position of its member.
    pub answers_carry_position: bool,
    /// How long new requests may still go to a member after its drain was reported (seconds), if the file
    /// states it.
    pub drain_grace: Option<f64>,
    /// Unknown values in the file: the key, the value, and how it is interpreted.
    pub unknown_values: Vec<(String, String, &'static str)>,
}

impl PlatformFacts {
    pub(crate) fn of(settings_node: Node) -> PlatformFacts {
        let (load, specifics) = (settings_node.at("loadInfo"), settings_node.at("specifics"));
        let mut unknown_values = Vec::new();
        let mut check_value =
            |node: Node, key: String, known_values: &[&str], interpretation: &'static str| {
                let text = node.text().unwrap_or_default();
                if !text.is_empty() && !known_values.contains(&text) {
                    unknown_values.push((key, text.to_string(), interpretation));
                }
                text.to_string()
            };
        let reports = match &*check_value(
            load.at("how"),
            "loadInfo.how".into(),
            &["piggyback", "pull", "silent"],
            "no load reports",
        ) {
            "piggyback" => LoadReports::WithAnswers,
            "pull" => LoadReports::WithProbes,
            _ => LoadReports::Absent,
        };
        check_value(
            specifics.at("whenBehind"),
            "specifics.whenBehind".into(),
            &["silent", "refuse", "wait"],
            "members answer with any data, however old",
        );
        check_value(
            specifics.at("writeMarks"),
            "specifics.writeMarks".into(),
            &["carried", "remembered"],
            "the pooler remembers writes, and a position in a request counts as well",
        );
        for (n, level) in specifics.at("consistency").items().unwrap_or_default().iter().enumerate() {
            let known_values = ["write", "fresh", "session", "bounded", "any"];
            check_value(
                Node::new(level),
                format!("specifics.consistency[{n}]"),
                &known_values,
                "only the primary serves the class",
            );
        }
        for (n, class) in
            settings_node.at("classes").items().unwrap_or_default().iter().map(Node::new).enumerate()
        {
            let effects = ["read_like", "idempotency_key", "non_idempotent"];
            check_value(class.at("effect"), format!("classes[{n}].effect"), &effects, "never sent twice");
            let has_key = class.at("effect").text() == Some("idempotency_key");
            if has_key {
                check_value(
                    class.at("group"),
                    format!("classes[{n}].group"),
                    &["cell", "all", "zone"],
                    "one group",
                );
            }
        }
        let fields: Vec<&str> = load
            .at("fields")
            .items()
            .unwrap_or_default()
            .iter()
            .filter_map(|f| Node::new(f).text())
            .collect();
        PlatformFacts {
            domain: settings_node.at("domainType").text().unwrap_or_default().to_string(),
            reports,
            reports_carry: (fields.contains(&POSITION), fields.contains(&ROLE)),
            answers_carry_position: specifics.at("tellsPosition").flag(),
            drain_grace: settings_node.at("invariants").at("drainGrace").number(),
            unknown_values,
        }
    }
}

/// Summary of a configuration: its effect, warnings and errors.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigSummary {
    /// Effect of the configuration: topic and description.
    pub lines: Vec<(&'static str, String)>,
    /// Statements that the pooler accepts, but that should be checked.
    pub warnings: Vec<String>,
    /// Statements that the pooler does not support.
    pub errors: Vec<String>,
}

impl ConfigSummary {
    /// Summarizes a configuration.
    pub fn of(config: &Config) -> ConfigSummary {
        let (s, facts) = (&config.settings, &config.facts);
        let mut summary = ConfigSummary::default();
        let mut add = |topic, description: String| summary.lines.push((topic, description));
        add(
            "list",
            match config.list_source {
                ListSource::Requested => format!(
                    "watched at one service for all poolers, {}; without a watch it is polled within {} s",
                    config.discovery, s.max_list_age
                ),
                ListSource::Pushed => format!(
                    "pushed: the agent at {} is followed; after a lost connection it is called again in {} s",
                    config.discovery,
                    listing::follow::AGENT_RETRY_DELAY
                ),
            },
        );
        let grace = facts.drain_grace.map_or("is not stated".into(), |grace| format!("is {grace} s"));
        add("drains", format!("applied as soon as they are reported; the grace {grace}"));
        add("members", describe_members(s, facts));
        add(
            "second copies",
            match (s.allow_hedging, s.cancel) {
                (false, _) => "never: a request has one attempt in flight at a time".into(),
                (true, true) => {
                    "of safe reads whose member does not answer; the one that loses is withdrawn".into()
                }
                (true, false) => {
                    "of safe reads whose member does not answer; the one that loses runs to its end".into()
                }
            },
        );
        let names_of = |which: &dyn Fn(&Effect) -> bool| {
            let classes = s.classes.iter().zip(&config.classes).filter(|(class, _)| which(&class.effect));
            let names: Vec<&str> = classes.map(|(_, name)| &**name).collect();
            if names.is_empty() {
                "none".to_string()
            } else {
                names.join(", ")
            }
        };
        add("repeated freely", names_of(&|effect| *effect == Effect::Safe));
        add("repeated under a key", describe_keyed(config));
        add("never sent twice", names_of(&|effect| *effect == Effect::Unsafe));
        add("positions of sessions", describe_sessions(config));
        let retry_time = match s.retry_after {
            true => format!("tell the client when to retry, {} s at most", s.max_retry_after),
            false => "carry no retry time".into(),
        };
        add("refusals", format!("{retry_time}; {} attempts for a request at most", s.max_attempts));
        add(
            "cold members",
            format!(
                "from {} of their capacity, warm after {} s; {} poolers together stay under {} times what one can do, over {} s",
                s.cold_start_capacity, s.warm_up, s.fleet_size, s.overload_factor, s.overload_window
            ),
        );
        summary.warnings = warnings(config);
        if !facts.domain.is_empty() && facts.domain != DOMAIN {
            summary.errors.push(format!(
                "settings.domainType is \"{}\"; accepted: \"{DOMAIN}\" (sets of one primary and its replicas)",
                facts.domain
            ));
        }
        summary
    }
}

impl fmt::Display for ConfigSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = self.lines.iter().map(|(topic, _)| topic.len()).max().unwrap_or(0);
        for (topic, description) in &self.lines {
            writeln!(f, "  {topic:width$}  {description}")?;
        }
        for warning in &self.warnings {
            writeln!(f, "look at: {warning}")?;
        }
        for error in &self.errors {
            writeln!(f, "can't be honoured: {error}")?;
        }
        Ok(())
    }
}

/// Returns true if probes report the position of a replica that gets no requests.
fn probes_carry_position(s: &Settings, facts: &PlatformFacts) -> bool {
    s.probes && facts.reports != LoadReports::Absent && facts.reports_carry.0
}

fn describe_members(s: &Settings, facts: &PlatformFacts) -> String {
    let answers = match (facts.answers_carry_position, facts.reports == LoadReports::WithAnswers) {
        (true, true) => "answers tell role and position, and carry load reports",
        (true, false) => "answers tell role and position",
        (false, true) => "answers carry load reports",
        (false, false) => "answers tell the role only",
    };
    let probes = match (s.probes, probes_carry_position(s, facts)) {
        (true, true) => "a member that nobody sends to is probed for its position",
        (true, false) => "probes are allowed, but carry no position",
        (false, _) => "probes are not allowed: the freshness of a member that nobody sends to is unknown",
    };
    format!("{answers}; {probes}")
}

fn describe_keyed(config: &Config) -> String {
    let classes = config.settings.classes.iter().zip(&config.classes);
    let described = classes.filter(|(class, _)| class.effect == Effect::Keyed).map(|(class, name)| {
        let scope = if class.dedup == Dedup::All { "any member" } else { "its group" };
        format!("{name} (at {scope}, for {} s)", class.dedup_window)
    });
    let described: Vec<String> = described.collect();
    if described.is_empty() {
        "none".into()
    } else {
        described.join(", ")
    }
}

fn describe_sessions(config: &Config) -> String {
    let s = &config.settings;
    let has_session_reads = s.classes.iter().any(|class| class.consistency == Consistency::Session);
    match (has_session_reads, s.requests_carry_position) {
        (false, _) => "no class reads by session; the position in a request's 'after' is honoured".into(),
        (true, true) => "carried: a read names the required position in 'after'".into(),
        (true, false) => "remembered by the pooler that answered the write; an 'after' counts as well".into(),
    }
}

fn warnings(config: &Config) -> Vec<String> {
    let (s, facts) = (&config.settings, &config.facts);
    let mut warnings = Vec::new();
    for (key, value, interpretation) in &facts.unknown_values {
        warnings
            .push(format!("settings.{key} is \"{value}\", which is not known; taken as: {interpretation}"));
    }
    let by_position = |class: &&routing::interface::Class| {
        matches!(class.consistency, Consistency::Bounded(_) | Consistency::Session)
    };
    let answers_report =
        facts.answers_carry_position || facts.reports == LoadReports::WithAnswers && facts.reports_carry.0;
    if s.when_behind == WhenBehind::ServeStale && !answers_report && !probes_carry_position(s, facts) {
        let names = s.classes.iter().zip(&config.classes).filter(|(class, _)| by_position(class));
        let names: Vec<&str> = names.map(|(_, name)| &**name).collect();
        if !names.is_empty() {
            warnings.push(format!(
                "no source reports the freshness of replicas, so the primaries serve all of: {}",
                names.join(", ")
            ));
        }
    }
    for (class, name) in s.classes.iter().zip(&config.classes) {
        if class.aim > class.deadline {
            warnings.push(format!("class {name}: its aim of {} s is past its deadline", class.aim));
        }
        if class.effect == Effect::Keyed && class.dedup_window == 0.0 {
            warnings
                .push(format!("class {name}: its deduplication window is 0 s, so no repeat is ever sent"));
        }
        if let Consistency::Bounded(bound) = class.consistency {
            if bound == 0.0 {
                warnings.push(format!("class {name}: a bound of 0 s leaves only the primary"));
            }
        }
    }
    warnings
}
