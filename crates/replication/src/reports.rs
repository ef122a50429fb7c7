//! Converts between the routing policy and the node: what this instance observes of members is reported to
//! peers, and what peers report is passed to the policy.

use std::collections::BTreeMap;
use std::sync::Arc;

use routing::interface::Phase;
use routing::peer_reports::{Observation, PeerReport};

use crate::fact::MemberStatus;
use crate::view::View;
use crate::Node;

/// Maximum age that is reported (seconds).
const MAX_AGE: f64 = 1e6;

/// Publishes what a version of a list says about members; per member the name, the time of its start and the
/// phase.
pub fn report_list<'a>(
    node: &mut Node,
    now: f64,
    (source, version): (u64, u64),
    members: impl Iterator<Item = (&'a str, f64, Phase)>,
) {
    for (member, since, phase) in members {
        let status = match phase {
            Phase::Active => MemberStatus::Serving,
            Phase::Leaving => MemberStatus::Draining,
            Phase::Left => MemberStatus::Gone,
        };
        node.report_member_status(now, member, since, source, version, status);
    }
}

/// Sends how members look to this instance.
pub fn report_views(node: &mut Node, now: f64, observations: &[Observation]) {
    let age = |at: f64| (now - at).clamp(0.0, MAX_AGE) as f32;
    let views = observations.iter().map(|observation| View {
        member: crate::message::truncated_name(&observation.observed.member),
        since: observation.started_at,
        position: observation.observed.position.map(|position| (position, age(observation.position_at))),
        primary: observation.observed.primary.map(|(primary, at)| (primary, age(at))),
        in_flight: observation.in_flight.min(u32::from(u16::MAX)) as u16,
        suspected: observation.suspected,
        slowness: observation.slowness as f32,
        cold: observation.observed.cold_since.map(age),
    });
    node.publish_views(now, views.collect(), Vec::new());
    for observation in observations {
        if let (Some((true, _)), Some(position)) =
            (observation.observed.primary, observation.observed.position)
        {
            node.record_primary_claim(now, observation.group, &observation.observed.member, position);
        }
    }
}

/// Returns what peers report about members, for the routing policy.
pub fn peer_reports(node: &Node, now: f64, observations: &[Observation]) -> Vec<PeerReport> {
    let since: BTreeMap<&str, f64> = observations
        .iter()
        .map(|observation| (&*observation.observed.member, observation.started_at))
        .collect();
    let mut reports: BTreeMap<Arc<str>, PeerReport> = BTreeMap::new();
    let empty_report = |member: &Arc<str>| PeerReport { member: member.clone(), ..PeerReport::default() };
    for (member, view) in node.aggregated_views(now) {
        // Reports about an earlier start than the listed one are ignored.
        if since.get(&*member).is_none_or(|since| view.since < *since) {
            continue;
        }
        let report = reports.entry(member.clone()).or_insert_with(|| empty_report(&member));
        (report.in_flight, report.suspected_by) = (view.in_flight, view.suspected_by);
        report.cold_since = view.cold_since;
    }
    for member in node.members_with_status() {
        let Some(since) = since.get(&**member) else { continue };
        if node.member_status(member, *since) != MemberStatus::Serving {
            reports.entry(member.clone()).or_insert_with(|| empty_report(member)).drained = true;
        }
    }
    for claim in node.primary_claims().values() {
        if let Some(member) = claim.only() {
            reports.entry(member.clone()).or_insert_with(|| empty_report(member)).primary = true;
        }
    }
    reports.into_values().collect()
}
