//! How databases look to an instance, told to the others and heard from them: between the decisions and the node.

use std::collections::BTreeMap;
use std::sync::Arc;

use routing::interface::Phase;
use routing::peer_reports::{Observation, PeerReport};

use crate::fact::MemberStatus;
use crate::view::View;
use crate::Node;

/// Longest age that is told (seconds).
const OLDEST: f64 = 1e6;

/// States what a version of the list of that source says of databases: the name, the time of its start and the phase of each.
pub fn report_list<'a>(
    node: &mut Node,
    now: f64,
    (source, version): (u64, u64),
    databases: impl Iterator<Item = (&'a str, f64, Phase)>,
) {
    for (database, since, phase) in databases {
        let stand = match phase {
            Phase::Active => MemberStatus::Serving,
            Phase::Leaving => MemberStatus::Draining,
            Phase::Left => MemberStatus::Gone,
        };
        node.report_member_status(now, database, since, source, version, stand);
    }
}

/// Tells how databases look to this instance.
pub fn report_views(node: &mut Node, now: f64, found: &[Observation]) {
    let age = |at: f64| (now - at).clamp(0.0, OLDEST) as f32;
    let views = found.iter().map(|found| View {
        member: crate::message::truncated_name(&found.observed.member),
        since: found.started_at,
        position: found.observed.position.map(|position| (position, age(found.position_at))),
        primary: found.observed.primary.map(|(primary, at)| (primary, age(at))),
        in_flight: found.in_flight.min(u32::from(u16::MAX)) as u16,
        suspected: found.suspected,
        slowness: found.slowness as f32,
        cold: found.observed.cold_since.map(age),
    });
    node.publish_views(now, views.collect(), Vec::new());
    for found in found {
        if let (Some((true, _)), Some(position)) = (found.observed.primary, found.observed.position) {
            node.record_primary_claim(now, found.group, &found.observed.member, position);
        }
    }
}

/// What the others say of databases, for the decisions.
pub fn peer_reports(node: &Node, now: f64, found: &[Observation]) -> Vec<PeerReport> {
    let since: BTreeMap<&str, f64> = found.iter().map(|f| (&*f.observed.member, f.started_at)).collect();
    let mut heard: BTreeMap<Arc<str>, PeerReport> = BTreeMap::new();
    let named = |member: &Arc<str>| PeerReport { member: member.clone(), ..PeerReport::default() };
    for (member, together) in node.aggregated_views(now) {
        // Of an earlier start than the list's it says nothing.
        if since.get(&*member).is_none_or(|since| together.since < *since) {
            continue;
        }
        let word = heard.entry(member.clone()).or_insert_with(|| named(&member));
        (word.in_flight, word.suspected_by) = (together.in_flight, together.suspected_by);
        word.cold_since = together.cold_since;
    }
    for member in node.members_with_status() {
        let Some(since) = since.get(&**member) else { continue };
        if node.member_status(member, *since) != MemberStatus::Serving {
            heard.entry(member.clone()).or_insert_with(|| named(member)).drained = true;
        }
    }
    for claim in node.primary_claims().values() {
        if let Some(member) = claim.only() {
            heard.entry(member.clone()).or_insert_with(|| named(member)).primary = true;
        }
    }
    heard.into_values().collect()
}
