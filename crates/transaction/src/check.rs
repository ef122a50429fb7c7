//! Effect of a change on the current members and traffic. Each finding states its reason in figures.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use operator::schema::Activation;
use operator::{Difference, EffectiveConfig};
use routing::interface::Consistency;

use crate::memory::buffer_bytes;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// For information only.
    Note,
    /// Refuses the change unless the finding's code is allowed explicitly.
    Guarded,
    /// Refuses the change.
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

/// A finding of the check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Stable code of the kind of finding.
    pub code: &'static str,
    /// Severity.
    pub severity: Severity,
    /// Reason, with figures.
    pub what: String,
}

/// Current state of a member.
#[derive(Clone, Debug)]
pub struct LiveMember {
    /// Name of the member.
    pub name: String,
    /// Group of the member.
    pub group: u32,
    /// Whether the member accepts new work according to the list, overrides aside.
    pub serving: bool,
    /// Share of its full capacity that the member has now, from 0 to 1; below 1 while it is cold.
    pub capacity_share: f64,
    /// Whether routing regards the member as the primary of its group.
    pub primary: bool,
}

/// Current state that a change is checked against.
#[derive(Clone, Debug, Default)]
pub struct LiveState {
    /// The members on the list in force.
    pub members: Vec<LiveMember>,
    /// Number of recent requests (last minutes), by class and group.
    pub traffic: BTreeMap<(String, u32), u64>,
    /// Requests in flight, by class.
    pub classes_in_flight: BTreeMap<String, u64>,
    /// Requests in flight, by tenant.
    pub tenants_in_flight: BTreeMap<String, u64>,
    /// Client connections with a request in flight.
    pub clients_busy: usize,
    /// Server connections with an attempt in flight.
    pub servers_busy: usize,
    /// Memory in use by buffers, statements and values (bytes).
    pub memory_in_use: usize,
    /// Memory that the process held before it served anybody (bytes).
    pub memory_at_start: usize,
}

/// Returns true if the findings refuse a change: an error always does, a guarded finding unless its code is
/// in `allow`.
pub fn is_refused(findings: &[Finding], allow: &[String]) -> bool {
    findings.iter().any(|finding| match finding.severity {
        Severity::Error => true,
        Severity::Guarded => !allow.iter().any(|code| code == finding.code),
        Severity::Note => false,
    })
}

/// Checks a change from `old` to `new` against the current state; `differences` are those between the two.
pub fn check(
    old: &EffectiveConfig,
    new: &EffectiveConfig,
    differences: &[Difference],
    live: &LiveState,
) -> Vec<Finding> {
    let mut findings = FindingList(Vec::new());
    for difference in differences.iter().filter(|difference| difference.activation == Activation::Restart) {
        let absent = || "nothing".to_string();
        let (from, to) = (difference.from.clone(), difference.to.clone());
        let (from, to) = (from.unwrap_or_else(absent), to.unwrap_or_else(absent));
        findings.error(
            "needs-restart",
            format!(
                "{} would change from {from} to {to}, which takes effect at a restart only",
                difference.key
            ),
        );
    }
    if old.document.change.require_signature && !new.document.change.require_signature {
        findings.add("signature-lifted", Severity::Note, "signatures would no longer be required".into());
    }
    members(old, new, live, &mut findings);
    requests(old, new, live, &mut findings);
    budgets(new, live, &mut findings);
    findings.0.sort_by_key(|finding| std::cmp::Reverse(finding.severity));
    findings.0
}

struct FindingList(Vec<Finding>);

impl FindingList {
    fn add(&mut self, code: &'static str, severity: Severity, what: String) {
        self.0.push(Finding { code, severity, what });
    }

    fn error(&mut self, code: &'static str, what: String) {
        self.add(code, Severity::Error, what);
    }
}

/// Members of one group before and after the change.
#[derive(Default)]
struct Group<'a> {
    /// Members that serve according to the list, by name, with their share of capacity.
    serving: BTreeMap<&'a str, f64>,
    before: BTreeSet<&'a str>,
    after: BTreeSet<&'a str>,
    primary: Option<&'a str>,
}

impl Group<'_> {
    fn capacity_share(&self, names: &BTreeSet<&str>) -> f64 {
        names.iter().map(|name| self.serving.get(name).copied().unwrap_or(1.0)).sum()
    }
}

fn members(old: &EffectiveConfig, new: &EffectiveConfig, live: &LiveState, findings: &mut FindingList) {
    let mut groups: BTreeMap<u32, Group> = BTreeMap::new();
    for member in &live.members {
        let group = groups.entry(member.group).or_default();
        if member.serving {
            group.serving.insert(&member.name, member.capacity_share);
            if old.member_override(&member.name).is_none() {
                group.before.insert(&member.name);
            }
        }
        if member.primary {
            group.primary = Some(&member.name);
        }
    }
    let listed_names: BTreeSet<&str> = live.members.iter().map(|member| member.name.as_str()).collect();
    let (from, to) = (&old.document.registry, &new.document.registry);
    if (&from.endpoints, &from.prefix) != (&to.endpoints, &to.prefix) && new.members.is_empty() {
        // The current list stays in force until the new source has sent a full list, whose content is not
        // known yet.
        let source = if to.endpoints.is_empty() { "discovery" } else { "a registry" };
        let what = format!(
            "{} members would be replaced by the list of {source}, which is not known yet",
            live.members.len()
        );
        findings.add("list-unknown", Severity::Guarded, what);
    }
    if to.user.is_some() && to.tls_ca.is_none() && (from.user.is_none() || from.tls_ca.is_some()) {
        let what = "the registry's password would be sent unencrypted, since registry.tls_ca is not set";
        findings.add("registry-clear", Severity::Guarded, what.into());
    }
    if new.members.is_empty() && old.members.is_empty() {
        for group in groups.values_mut() {
            let usable = group.serving.keys().copied().filter(|name| new.member_override(name).is_none());
            group.after = usable.collect();
        }
    } else if new.members.is_empty() {
        // The file's list gives way to discovery's, whose content is not known yet.
        let what = format!(
            "{} members of the file would be replaced by discovery's list, which is not known yet",
            old.members.len()
        );
        findings.add("list-unknown", Severity::Guarded, what);
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
    for name in new.document.overrides.keys().filter(|name| !listed_names.contains(name.as_str())) {
        let listed = new.members.iter().any(|listing| &*listing.name == name.as_str());
        if !listed {
            findings.add(
                "unknown-member",
                Severity::Note,
                format!("override.{name}: no member of that name is listed"),
            );
        }
    }
    let primary_classes = |effective: &EffectiveConfig| -> BTreeSet<String> {
        let names = effective.classes.iter().zip(&effective.settings.classes);
        let needs_primary =
            names.filter(|(_, c)| matches!(c.consistency, Consistency::Write | Consistency::Fresh));
        needs_primary.map(|(name, _)| name.clone()).collect()
    };
    let primary_classes: BTreeSet<String> =
        primary_classes(old).union(&primary_classes(new)).cloned().collect();
    let policy = &new.document.change;
    let (mut serving, mut unused, mut newly_unused) = (0usize, 0usize, 0usize);
    for (number, group) in &groups {
        let removed: Vec<&str> = group.before.difference(&group.after).copied().collect();
        serving += group.serving.len();
        unused += group.serving.keys().filter(|name| !group.after.contains(*name)).count();
        newly_unused += removed.len();
        if removed.is_empty() {
            continue;
        }
        let traffic = |needs_primary: bool| -> u64 {
            let counts = live
                .traffic
                .iter()
                .filter(|((class, g), _)| g == number && (!needs_primary || primary_classes.contains(class)));
            counts.map(|(_, count)| count).sum()
        };
        if group.after.is_empty() {
            let (needing_primary, all) = (traffic(true), traffic(false));
            if needing_primary > 0 {
                let what = format!(
                    "group {number} would lose its last candidate for primary ({}), with {needing_primary} requests lately that need a primary",
                    removed.join(", ")
                );
                findings.error("last-primary", what);
            } else {
                let what =
                    format!("group {number} would lose all of its members; it had {all} requests lately");
                findings.add("group-emptied", Severity::Guarded, what);
            }
            continue;
        }
        if let Some(primary) = group.primary.filter(|primary| removed.contains(primary)) {
            let what = format!(
                "group {number}: {primary}, its primary, would get no new requests; writes wait for another primary"
            );
            findings.add("primary-moves", Severity::Guarded, what);
        }
        // A group of one or two members loses a large share with any member: only the rules above apply to
        // it.
        let share = lost_capacity_share(group);
        if group.serving.len() > 2 && share > policy.max_capacity_share {
            let what = format!(
                "group {number} would lose {:.0}% of its capacity; at most {:.0}% is allowed",
                share * 100.0,
                policy.max_capacity_share * 100.0
            );
            findings.add("capacity-share", Severity::Guarded, what);
        }
        let (before, after) = (group.capacity_share(&group.before), group.capacity_share(&group.after));
        let cold =
            group.after.iter().filter(|name| group.serving.get(*name).is_some_and(|w| *w < 1.0)).count();
        let limit = new.settings.overload_factor;
        if cold == group.after.len() && after > 0.0 && before / after > limit {
            let what = format!(
                "group {number} would be left with {cold} cold member(s) that have {after:.2} of one member's capacity, {:.1} times the current load on each part of it; at most {limit:.1} times is allowed",
                before / after
            );
            findings.error("cold-alone", what);
        }
    }
    if newly_unused > 0 && serving > 2 && unused as f64 > policy.max_members_share * serving as f64 {
        let what = format!(
            "{unused} of {serving} serving members would be out of use; at most {:.0}% is allowed",
            policy.max_members_share * 100.0
        );
        findings.add("members-share", Severity::Guarded, what);
    }
}

/// Share of a group's capacity that would be lost.
fn lost_capacity_share(group: &Group) -> f64 {
    let all: f64 = group.serving.values().sum();
    let unused = group.serving.iter().filter(|(name, _)| !group.after.contains(*name));
    unused.map(|(_, capacity_share)| capacity_share).sum::<f64>() / all.max(1e-9)
}

fn requests(old: &EffectiveConfig, new: &EffectiveConfig, live: &LiveState, findings: &mut FindingList) {
    for class in old.classes.iter().filter(|class| !new.classes.contains(class)) {
        let in_flight = live.classes_in_flight.get(class).copied().unwrap_or(0);
        let recent: u64 = live.traffic.iter().filter(|((c, _), _)| c == class).map(|(_, n)| n).sum();
        if in_flight + recent > 0 {
            let what = format!(
                "class {class} would be removed, with {in_flight} requests in flight and {recent} lately"
            );
            findings.add("class-in-use", Severity::Guarded, what);
        }
    }
    for tenant in old.tenants.iter().filter(|tenant| !new.tenants.contains(tenant)) {
        let in_flight = live.tenants_in_flight.get(tenant).copied().unwrap_or(0);
        if in_flight > 0 {
            let what = format!("tenant {tenant} would be removed, with {in_flight} requests in flight");
            findings.add("tenant-in-use", Severity::Guarded, what);
        }
    }
    for (name, class) in new.classes.iter().zip(&new.settings.classes) {
        let Some(before) = old.class(name) else { continue };
        let needs_primary = |c: Consistency| matches!(c, Consistency::Write | Consistency::Fresh);
        let loses_primary = needs_primary(before.consistency) && !needs_primary(class.consistency);
        if loses_primary {
            let what = format!("class {name} would no longer go to the primary alone");
            findings.add("looser-reads", Severity::Guarded, what);
        }
        let becomes_repeatable =
            before.effect != class.effect && class.effect == routing::interface::Effect::Safe;
        if becomes_repeatable {
            let what = format!("requests of class {name} would be repeated freely, which they are not now");
            findings.add("looser-repeats", Severity::Guarded, what);
        }
    }
}

fn budgets(new: &EffectiveConfig, live: &LiveState, findings: &mut FindingList) {
    // The same division as in the pooler: 16 descriptors are reserved, half of the rest is for clients and
    // half for servers; a part of the memory is for buffers.
    let half = new.sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    for (side, busy) in [("clients", live.clients_busy), ("database servers", live.servers_busy)] {
        if busy > half {
            let what = format!(
                "{busy} connections of {side} are busy; {} descriptors leave {half} for them",
                new.sockets
            );
            findings.error("sockets-in-use", what);
        }
    }
    let available = buffer_bytes(new.memory, live.memory_at_start);
    if live.memory_in_use > available {
        let (used, left) = (live.memory_in_use as f64 / 1e6, available as f64 / 1e6);
        findings
            .error("memory-in-use", format!("{used:.1} MB are in use; the new budget leaves {left:.1} MB"));
    }
}

/// Descriptors reserved for the listener, the poll, signals, the log, discovery's watch, and a margin.
pub const RESERVED_DESCRIPTORS: usize = 16;
