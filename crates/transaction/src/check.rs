//! What a change would do to the members and the traffic of now. Each finding says why in figures.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use operator::schema::Activation;
use operator::{Difference, EffectiveConfig};
use routing::interface::Consistency;

/// How grave a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Worth knowing.
    Note,
    /// Refused unless its code is allowed by name.
    Guarded,
    /// Refused.
    Error,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Severity::Note => "note",
            Severity::Guarded => "guarded",
            Severity::Error => "error",
        })
    }
}

/// One thing that a check has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Names the kind of finding; stable.
    pub code: &'static str,
    /// How grave it is.
    pub severity: Severity,
    /// Why, in figures.
    pub what: String,
}

/// A member as the daemon sees it now.
#[derive(Clone, Debug)]
pub struct LiveMember {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: u32,
    /// Whether the list has it take new work (a fact).
    pub serving: bool,
    /// Share of its capacity that it has at present, from 0 to 1; below 1 while it is cold.
    pub warmth: f64,
    /// Whether the decisions take it for the primary of its group.
    pub primary: bool,
}

/// What a change is held against.
#[derive(Clone, Debug, Default)]
pub struct LiveState {
    /// The members on the list in force.
    pub members: Vec<LiveMember>,
    /// Requests of the last minutes, by class and group.
    pub traffic: BTreeMap<(String, u32), u64>,
    /// Requests in hand, by class.
    pub classes_in_flight: BTreeMap<String, u64>,
    /// Requests in hand, by tenant.
    pub tenants_in_flight: BTreeMap<String, u64>,
    /// Connections in use: of clients with a request, and to db machines with an attempt.
    pub clients_busy: usize,
    /// The same towards db machines.
    pub servers_busy: usize,
    /// Bytes of buffers, statements and values held.
    pub memory_in_use: usize,
}

/// Whether findings stand in the way of a change; a guarded one does not where its code is allowed.
pub fn is_refused(findings: &[Finding], allow: &[String]) -> bool {
    findings.iter().any(|finding| match finding.severity {
        Severity::Error => true,
        Severity::Guarded => !allow.iter().any(|code| code == finding.code),
        Severity::Note => false,
    })
}

/// Looks at what a change would do now; `differences` are those between the two.
pub fn check(
    old: &EffectiveConfig,
    new: &EffectiveConfig,
    differences: &[Difference],
    view: &LiveState,
) -> Vec<Finding> {
    let mut found = Findings(Vec::new());
    for difference in differences.iter().filter(|difference| difference.activation == Activation::Restart) {
        let absent = || "nothing".to_string();
        let (from, to) = (difference.from.clone(), difference.to.clone());
        let (from, to) = (from.unwrap_or_else(absent), to.unwrap_or_else(absent));
        found.error(
            "needs-restart",
            format!("{} would go from {from} to {to}: it holds from a start", difference.key),
        );
    }
    if old.document.change.require_signature && !new.document.change.require_signature {
        found.add("signature-lifted", Severity::Note, "signatures would no longer be required".into());
    }
    members(old, new, view, &mut found);
    requests(old, new, view, &mut found);
    budgets(new, view, &mut found);
    found.0.sort_by_key(|finding| std::cmp::Reverse(finding.severity));
    found.0
}

struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, code: &'static str, severity: Severity, what: String) {
        self.0.push(Finding { code, severity, what });
    }

    fn error(&mut self, code: &'static str, what: String) {
        self.add(code, Severity::Error, what);
    }
}

/// What one group has, before and after.
#[derive(Default)]
struct Group<'a> {
    /// On the list and serving, by name, with their warmth.
    serving: BTreeMap<&'a str, f64>,
    before: BTreeSet<&'a str>,
    after: BTreeSet<&'a str>,
    primary: Option<&'a str>,
}

impl Group<'_> {
    fn warmth(&self, names: &BTreeSet<&str>) -> f64 {
        names.iter().map(|name| self.serving.get(name).copied().unwrap_or(1.0)).sum()
    }
}

fn members(old: &EffectiveConfig, new: &EffectiveConfig, view: &LiveState, found: &mut Findings) {
    let mut groups: BTreeMap<u32, Group> = BTreeMap::new();
    for member in &view.members {
        let group = groups.entry(member.group).or_default();
        if member.serving {
            group.serving.insert(&member.name, member.warmth);
            if old.member_override(&member.name).is_none() {
                group.before.insert(&member.name);
            }
        }
        if member.primary {
            group.primary = Some(&member.name);
        }
    }
    let known: BTreeSet<&str> = view.members.iter().map(|member| member.name.as_str()).collect();
    let (from, to) = (&old.document.registry, &new.document.registry);
    if (&from.endpoints, &from.prefix) != (&to.endpoints, &to.prefix) && new.members.is_empty() {
        // The list of now holds until the other source has told a whole one, which nothing is known of yet.
        let source = if to.endpoints.is_empty() { "discovery" } else { "a registry" };
        let what = format!("{} members would give way to what {source} lists", view.members.len());
        found.add("list-unknown", Severity::Guarded, what);
    }
    if to.user.is_some() && to.tls_ca.is_none() && (from.user.is_none() || from.tls_ca.is_some()) {
        let what = "the registry's password would cross the network in the clear, without registry.tls_ca";
        found.add("registry-clear", Severity::Guarded, what.into());
    }
    if new.members.is_empty() && old.members.is_empty() {
        for group in groups.values_mut() {
            let usable = group.serving.keys().copied().filter(|name| new.member_override(name).is_none());
            group.after = usable.collect();
        }
    } else if new.members.is_empty() {
        // From the own list to discovery's, which nothing is known of yet.
        let what = format!("{} members of the file would give way to discovery's list", old.members.len());
        found.add("list-unknown", Severity::Guarded, what);
        return;
    } else {
        for listing in &new.members {
            let group = groups.entry(listing.group).or_default();
            let usable = listing.phase == routing::interface::Phase::Active
                && new.member_override(&listing.name).is_none();
            if usable {
                group.after.insert(&listing.name);
            }
        }
    }
    for name in new.document.overrides.keys().filter(|name| !known.contains(name.as_str())) {
        let listed = new.members.iter().any(|listing| &*listing.name == name.as_str());
        if !listed {
            found.add(
                "unknown-member",
                Severity::Note,
                format!("override.{name}: no member of that name is listed"),
            );
        }
    }
    let needing = |effective: &EffectiveConfig| -> BTreeSet<String> {
        let names = effective.classes.iter().zip(&effective.settings.classes);
        let needs = names.filter(|(_, c)| matches!(c.consistency, Consistency::Write | Consistency::Fresh));
        needs.map(|(name, _)| name.clone()).collect()
    };
    let needing: BTreeSet<String> = needing(old).union(&needing(new)).cloned().collect();
    let policy = &new.document.change;
    let (mut serving, mut out, mut newly) = (0usize, 0usize, 0usize);
    for (number, group) in &groups {
        let gone: Vec<&str> = group.before.difference(&group.after).copied().collect();
        serving += group.serving.len();
        out += group.serving.keys().filter(|name| !group.after.contains(*name)).count();
        newly += gone.len();
        if gone.is_empty() {
            continue;
        }
        let traffic = |needs: bool| -> u64 {
            let of = view
                .traffic
                .iter()
                .filter(|((class, g), _)| g == number && (!needs || needing.contains(class)));
            of.map(|(_, count)| count).sum()
        };
        if group.after.is_empty() {
            let (needs, all) = (traffic(true), traffic(false));
            if needs > 0 {
                let what = format!(
                    "group {number} would lose its last candidate for primary ({}), with {needs} requests lately that need one",
                    gone.join(", ")
                );
                found.error("last-primary", what);
            } else {
                let what =
                    format!("group {number} would lose all of its members; it had {all} requests lately");
                found.add("group-emptied", Severity::Guarded, what);
            }
            continue;
        }
        if let Some(primary) = group.primary.filter(|primary| gone.contains(primary)) {
            let what = format!(
                "group {number}: {primary}, its primary, would take nothing new until another is one"
            );
            found.add("primary-moves", Severity::Guarded, what);
        }
        // A group of one or two loses a large share with any member: what counts there is the rules above.
        let share = gone_share(group);
        if group.serving.len() > 2 && share > policy.max_capacity_share {
            let what = format!(
                "group {number} would be without {:.0}% of its capacity; {:.0}% is the most",
                share * 100.0,
                policy.max_capacity_share * 100.0
            );
            found.add("capacity-share", Severity::Guarded, what);
        }
        let (before, after) = (group.warmth(&group.before), group.warmth(&group.after));
        let cold =
            group.after.iter().filter(|name| group.serving.get(*name).is_some_and(|w| *w < 1.0)).count();
        let most = new.settings.overload_factor;
        if cold == group.after.len() && after > 0.0 && before / after > most {
            let what = format!(
                "group {number} would be left to {cold} cold member(s) with {after:.2} of a member's capacity, {:.1} times as much work for each part of it as now; {most:.1} is the most",
                before / after
            );
            found.error("cold-alone", what);
        }
    }
    if newly > 0 && serving > 2 && out as f64 > policy.max_members_share * serving as f64 {
        let what = format!(
            "{out} of {serving} serving members would be out of use; {:.0}% is the most",
            policy.max_members_share * 100.0
        );
        found.add("members-share", Severity::Guarded, what);
    }
}

/// Share of a group's capacity that would be out of use.
fn gone_share(group: &Group) -> f64 {
    let all: f64 = group.serving.values().sum();
    let out = group.serving.iter().filter(|(name, _)| !group.after.contains(*name));
    out.map(|(_, warmth)| warmth).sum::<f64>() / all.max(1e-9)
}

fn requests(old: &EffectiveConfig, new: &EffectiveConfig, view: &LiveState, found: &mut Findings) {
    for class in old.classes.iter().filter(|class| !new.classes.contains(class)) {
        let hand = view.classes_in_flight.get(class).copied().unwrap_or(0);
        let lately: u64 = view.traffic.iter().filter(|((c, _), _)| c == class).map(|(_, n)| n).sum();
        if hand + lately > 0 {
            let what =
                format!("class {class} would be gone, with {hand} requests in hand and {lately} lately");
            found.add("class-in-use", Severity::Guarded, what);
        }
    }
    for tenant in old.tenants.iter().filter(|tenant| !new.tenants.contains(tenant)) {
        let hand = view.tenants_in_flight.get(tenant).copied().unwrap_or(0);
        if hand > 0 {
            let what = format!("tenant {tenant} would be gone, with {hand} requests in hand");
            found.add("tenant-in-use", Severity::Guarded, what);
        }
    }
    for (name, class) in new.classes.iter().zip(&new.settings.classes) {
        let Some(before) = old.class(name) else { continue };
        let needs = |c: Consistency| matches!(c, Consistency::Write | Consistency::Fresh);
        let looser = needs(before.consistency) && !needs(class.consistency);
        if looser {
            let what = format!("class {name} would no longer go to the primary alone");
            found.add("looser-reads", Severity::Guarded, what);
        }
        let repeats = before.effect != class.effect && class.effect == routing::interface::Effect::Safe;
        if repeats {
            let what = format!("class {name} would be sent again freely, which it was not");
            found.add("looser-repeats", Severity::Guarded, what);
        }
    }
}

fn budgets(new: &EffectiveConfig, view: &LiveState, found: &mut Findings) {
    // As the daemon divides them: 16 spares, half of the rest for clients, half of the memory for buffers.
    let half = new.sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    for (side, busy) in [("clients", view.clients_busy), ("db machines", view.servers_busy)] {
        if busy > half {
            let what =
                format!("{busy} connections of {side} are busy; {} descriptors leave {half}", new.sockets);
            found.error("sockets-in-use", what);
        }
    }
    if view.memory_in_use > new.memory / 2 {
        let (used, half) = (view.memory_in_use as f64 / 1e6, new.memory as f64 / 2e6);
        found.error("memory-in-use", format!("{used:.1} MB are in use; the new budget leaves {half:.1}"));
    }
}

/// Descriptors kept for the listener, the poll, signals, the log, discovery's watch and surprises.
pub const RESERVED_DESCRIPTORS: usize = 16;
