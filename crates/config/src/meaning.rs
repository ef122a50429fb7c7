//! What a platform's file means for the pooler, in words, for whoever puts it on a deployment.

use std::fmt;

use json::Node;
use routing::interface::{Consistency, Dedup, Effect, Settings, WhenBehind};

use crate::{Config, ListSource};

/// The kind of service whose settings the decisions are made for.
const DOMAIN: &str = "replicas";
/// What members must tell of themselves for a replica to be known fresh, and for a primary to be known at all.
const POSITION: &str = "x0";
const ROLE: &str = "x1";

/// How load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReports {
    /// Not at all.
    #[default]
    Absent,
    /// With each answer and with probes.
    WithAnswers,
    /// With probes alone.
    WithProbes,
}

/// What a platform's file says that no decision reads, but whoever sets a pooler up should know.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformFacts {
    /// The kind of service; empty where the file names none.
    pub domain: String,
    /// How load reports come.
    pub reports: LoadReports,
    /// Whether they tell a position and a role.
    pub reports_carry: (bool, bool),
    /// Whether every answer tells the position of who gave it.
    pub answers_carry_position: bool,
    /// How long something new may still go to a member after its drain was told (seconds), where the file says.
    pub drain_grace: Option<f64>,
    /// What the file says in words that are not known: the key, the word, and how it is taken.
    pub unknown_values: Vec<(String, String, &'static str)>,
}

impl PlatformFacts {
    pub(crate) fn of(info: Node) -> PlatformFacts {
        let (load, specifics) = (info.at("loadInfo"), info.at("specifics"));
        let mut unknown = Vec::new();
        let mut word = |node: Node, key: String, known: &[&str], taken: &'static str| {
            let text = node.text().unwrap_or_default();
            if !text.is_empty() && !known.contains(&text) {
                unknown.push((key, text.to_string(), taken));
            }
            text.to_string()
        };
        let reports = match &*word(
            load.at("how"),
            "loadInfo.how".into(),
            &["piggyback", "pull", "silent"],
            "no load reports",
        ) {
            "piggyback" => LoadReports::WithAnswers,
            "pull" => LoadReports::WithProbes,
            _ => LoadReports::Absent,
        };
        word(
            specifics.at("whenBehind"),
            "specifics.whenBehind".into(),
            &["silent", "refuse", "wait"],
            "members answer from what they have, however old",
        );
        word(
            specifics.at("writeMarks"),
            "specifics.writeMarks".into(),
            &["carried", "remembered"],
            "writes are remembered here, and what a request carries counts as well",
        );
        for (n, level) in specifics.at("consistency").items().unwrap_or_default().iter().enumerate() {
            let known = ["write", "fresh", "session", "bounded", "any"];
            word(
                Node::new(level),
                format!("specifics.consistency[{n}]"),
                &known,
                "only the primary serves the class",
            );
        }
        for (n, class) in info.at("classes").items().unwrap_or_default().iter().map(Node::new).enumerate() {
            let effects = ["read_like", "idempotency_key", "non_idempotent"];
            word(class.at("effect"), format!("classes[{n}].effect"), &effects, "never sent twice");
            let keyed = class.at("effect").text() == Some("idempotency_key");
            if keyed {
                word(class.at("group"), format!("classes[{n}].group"), &["cell", "all", "zone"], "one group");
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
            domain: info.at("domainType").text().unwrap_or_default().to_string(),
            reports,
            reports_carry: (fields.contains(&POSITION), fields.contains(&ROLE)),
            answers_carry_position: specifics.at("tellsPosition").flag(),
            drain_grace: info.at("invariants").at("drainGrace").number(),
            unknown_values: unknown,
        }
    }
}

/// What a configuration means, a line a matter, and what of it can't be honoured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigSummary {
    /// What holds: the matter and the words for it.
    pub lines: Vec<(&'static str, String)>,
    /// What deserves a second look, though the pooler copes with it.
    pub warnings: Vec<String>,
    /// What the pooler can't honour.
    pub errors: Vec<String>,
}

impl ConfigSummary {
    /// What this configuration means.
    pub fn of(config: &Config) -> ConfigSummary {
        let (s, facts) = (&config.settings, &config.facts);
        let mut meaning = ConfigSummary::default();
        let mut say = |matter, words: String| meaning.lines.push((matter, words));
        say(
            "list",
            match config.list_source {
                ListSource::Requested => format!(
                    "one service for all poolers at {}, watched; without a watch it is asked again within {} s",
                    config.discovery, s.max_list_age
                ),
                ListSource::Pushed => format!(
                    "pushed: the agent at {} is followed, and asked again {} s after it was lost",
                    config.discovery, listing::follow::AGENT_RETRY_DELAY
                ),
            },
        );
        let grace = facts.drain_grace.map_or("is not stated".into(), |grace| format!("is {grace} s"));
        say("drains", format!("kept from the moment they are told; the grace {grace}"));
        say("members", known_of_members(s, facts));
        say(
            "second copies",
            match (s.allow_hedging, s.cancel) {
                (false, _) => "never: one attempt of a request is out at a time".into(),
                (true, true) => {
                    "of safe reads whose member says nothing; the one that loses is withdrawn".into()
                }
                (true, false) => "of safe reads whose member says nothing; the one that loses runs on".into(),
            },
        );
        let named = |which: &dyn Fn(&Effect) -> bool| {
            let classes = s.classes.iter().zip(&config.classes).filter(|(class, _)| which(&class.effect));
            let names: Vec<&str> = classes.map(|(_, name)| &**name).collect();
            if names.is_empty() {
                "none".to_string()
            } else {
                names.join(", ")
            }
        };
        say("repeated freely", named(&|effect| *effect == Effect::Safe));
        say("repeated under a key", keyed(config));
        say("never sent twice", named(&|effect| *effect == Effect::Unsafe));
        say("positions of sessions", sessions(config));
        let back_off = match s.retry_after {
            true => format!("tell the client when to come back, {} s at most", s.max_retry_after),
            false => "tell no time".into(),
        };
        say("refusals", format!("{back_off}; {} attempts for a request at most", s.max_attempts));
        say(
            "cold members",
            format!(
                "from {} of their capacity, warm after {} s; {} poolers together stay under {} times what one can do, over {} s",
                s.cold_start_capacity, s.warm_up, s.fleet_size, s.overload_factor, s.overload_window
            ),
        );
        meaning.warnings = doubts(config);
        if !facts.domain.is_empty() && facts.domain != DOMAIN {
            meaning.errors.push(format!(
                "settings.domainType is \"{}\"; accepted: \"{DOMAIN}\" (sets of one primary and its replicas)",
                facts.domain
            ));
        }
        meaning
    }
}

impl fmt::Display for ConfigSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = self.lines.iter().map(|(matter, _)| matter.len()).max().unwrap_or(0);
        for (matter, words) in &self.lines {
            writeln!(f, "  {matter:width$}  {words}")?;
        }
        for doubt in &self.warnings {
            writeln!(f, "look at: {doubt}")?;
        }
        for fault in &self.errors {
            writeln!(f, "can't be honoured: {fault}")?;
        }
        Ok(())
    }
}

/// Whether the position of a replica that nobody sends to can be learnt.
fn probes_tell(s: &Settings, facts: &PlatformFacts) -> bool {
    s.probes && facts.reports != LoadReports::Absent && facts.reports_carry.0
}

fn known_of_members(s: &Settings, facts: &PlatformFacts) -> String {
    let answers = match (facts.answers_carry_position, facts.reports == LoadReports::WithAnswers) {
        (true, true) => "answers tell role and position, and carry load reports",
        (true, false) => "answers tell role and position",
        (false, true) => "answers carry load reports",
        (false, false) => "answers tell their role alone",
    };
    let probes = match (s.probes, probes_tell(s, facts)) {
        (true, true) => "a member that nobody sends to is probed for its position",
        (true, false) => "probes are allowed and tell no position",
        (false, _) => "probes are not allowed: a member that nobody sends to is not known to be fresh",
    };
    format!("{answers}; {probes}")
}

fn keyed(config: &Config) -> String {
    let classes = config.settings.classes.iter().zip(&config.classes);
    let words = classes.filter(|(class, _)| class.effect == Effect::Keyed).map(|(class, name)| {
        let scope = if class.dedup == Dedup::All { "any member" } else { "its group" };
        format!("{name} (at {scope}, for {} s)", class.dedup_window)
    });
    let words: Vec<String> = words.collect();
    if words.is_empty() {
        "none".into()
    } else {
        words.join(", ")
    }
}

fn sessions(config: &Config) -> String {
    let s = &config.settings;
    let any = s.classes.iter().any(|class| class.consistency == Consistency::Session);
    match (any, s.requests_carry_position) {
        (false, _) => "no class reads by session; an 'after' in a request is honoured".into(),
        (true, true) => "carried: a read says in 'after' what it must see".into(),
        (true, false) => "remembered by the pooler that answered the write; an 'after' counts as well".into(),
    }
}

fn doubts(config: &Config) -> Vec<String> {
    let (s, facts) = (&config.settings, &config.facts);
    let mut doubts = Vec::new();
    for (key, word, taken) in &facts.unknown_values {
        doubts.push(format!("settings.{key} is \"{word}\", which is not known; taken as: {taken}"));
    }
    let by_position = |class: &&routing::interface::Class| {
        matches!(class.consistency, Consistency::Bounded(_) | Consistency::Session)
    };
    let told =
        facts.answers_carry_position || facts.reports == LoadReports::WithAnswers && facts.reports_carry.0;
    if s.when_behind == WhenBehind::ServeStale && !told && !probes_tell(s, facts) {
        let names = s.classes.iter().zip(&config.classes).filter(|(class, _)| by_position(class));
        let names: Vec<&str> = names.map(|(_, name)| &**name).collect();
        if !names.is_empty() {
            doubts.push(format!(
                "nothing tells how fresh a replica is, so the primaries serve all of: {}",
                names.join(", ")
            ));
        }
    }
    for (class, name) in s.classes.iter().zip(&config.classes) {
        if class.aim > class.deadline {
            doubts.push(format!("class {name}: its aim of {} s is past its deadline", class.aim));
        }
        if class.effect == Effect::Keyed && class.dedup_window == 0.0 {
            doubts.push(format!("class {name}: repeats are dropped for 0 s, so none is ever sent"));
        }
        if let Consistency::Bounded(bound) = class.consistency {
            if bound == 0.0 {
                doubts.push(format!("class {name}: a bound of 0 s leaves nothing but the primary"));
            }
        }
    }
    doubts
}
