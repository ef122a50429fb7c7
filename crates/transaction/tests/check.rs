//! Findings of the check against the current members and traffic.

use config::Config;
use operator::{parse, EffectiveConfig};
use rstest::rstest;
use transaction::{check, is_refused, Finding, LiveMember, LiveState, Severity};

const PLATFORM: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f",
    "limits":{"memory_mb":64,"sockets":512},"settings":{"classes":[
    {"name":"browse","aim":1,"deadline":2,"effect":"read_like"},
    {"name":"order","aim":1,"deadline":2,"effect":"idempotency_key","dedupWindow":2}],
    "customers":[{"name":"acme","quotaPerS":10}],"specifics":{"consistency":["any","write"]},
    "invariants":{"tipMultiple":2.5,"coldFrom":0.2,"warmUp":10}}}"#;

fn effective(text: &str) -> EffectiveConfig {
    let document = parse(text.as_bytes()).unwrap_or_else(|faults| panic!("{faults}"));
    EffectiveConfig::new(&Config::parse(PLATFORM).unwrap(), document).unwrap()
}

fn member(name: &str, group: u32) -> LiveMember {
    LiveMember { name: name.into(), group, serving: true, capacity_share: 1.0, primary: name.ends_with('1') }
}

/// Two groups of three members, each with requests of both classes.
fn live() -> LiveState {
    let members = (0..2).flat_map(|group| (1..=3).map(move |n| member(&format!("s-{group}{n}"), group)));
    let traffic = [("browse", 0), ("order", 0), ("browse", 1), ("order", 1)];
    LiveState {
        members: members.collect(),
        traffic: traffic.iter().map(|(class, group)| ((class.to_string(), *group), 100)).collect(),
        ..LiveState::default()
    }
}

fn findings_of(old: &str, new: &str, live: &LiveState) -> Vec<Finding> {
    let (old, new) = (effective(old), effective(new));
    check(&old, &new, &old.differences(&new), live)
}

fn codes(findings: &[Finding]) -> Vec<&'static str> {
    findings.iter().filter(|f| f.severity > Severity::Note).map(|f| f.code).collect()
}

const ALL_OF_0: &str = "[override]\ns-01 = \"drain\"\ns-02 = \"exclude\"\ns-03 = \"drain\"";

#[rstest]
#[case::nothing("", "", &[])]
#[case::a_replica("", "[override]\ns-02 = \"drain\"", &[])]
#[case::the_primary("", "[override]\ns-01 = \"drain\"", &["primary-moves"])]
#[case::all_candidates("", ALL_OF_0, &["last-primary", "members-share"])]
#[case::last_candidate_after_an_earlier_change("[override]\ns-01 = \"drain\"\ns-02 = \"drain\"", ALL_OF_0, &["last-primary", "members-share"])]
#[case::half("", "[override]\ns-02 = \"drain\"\ns-03 = \"drain\"", &["capacity-share"])]
#[case::static_list_without_a_group("", "[member.s-01]\naddress = \"127.0.0.1:9\"\n[member.s-02]\naddress = \"127.0.0.1:8\"",
    &["last-primary", "members-share"])]
#[case::retired_class("", "[class.order]\nretired = true", &["class-in-use"])]
#[case::looser("", "[class.order]\nreads = \"any\"\nrepeats = \"safe\"", &["looser-reads", "looser-repeats"])]
#[case::setting_of_the_start("", "[control]\nsocket = \"/elsewhere\"", &["needs-restart"])]
#[case::fewer_attempts("", "[limits]\nmax_attempts = 2", &[])]
fn change_is_checked_against_current_members_and_traffic(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &[&str],
) {
    let findings = findings_of(old, new, &live());
    let mut codes = codes(&findings);
    codes.sort();
    assert_eq!(codes, expected, "{findings:?}");
    assert!(findings.iter().all(|finding| !finding.what.is_empty()));
}

#[test]
fn loss_of_the_last_candidate_for_primary_cannot_be_allowed() {
    let findings = findings_of("", ALL_OF_0, &live());
    let last_primary = findings.iter().find(|finding| finding.code == "last-primary").unwrap();
    assert!(
        last_primary.what.contains("group 0") && last_primary.what.contains("100 requests"),
        "{}",
        last_primary.what
    );
    let allow: Vec<String> = findings.iter().map(|finding| finding.code.to_string()).collect();
    assert!(is_refused(&findings, &allow));
    // A group without requests that need a primary can be emptied if the finding is allowed.
    let without_traffic = LiveState { traffic: Default::default(), ..live() };
    let findings = findings_of("", ALL_OF_0, &without_traffic);
    assert!(codes(&findings).contains(&"group-emptied"));
    assert!(is_refused(&findings, &[]));
    assert!(!is_refused(&findings, &["group-emptied".to_string(), "members-share".to_string()]));
}

#[test]
fn member_that_drains_in_the_list_counts_as_removed() {
    // Two members of group 0 drain in the list, so the third is the last candidate.
    let mut live = live();
    live.members.iter_mut().filter(|m| m.name == "s-01" || m.name == "s-02").for_each(|m| m.serving = false);
    assert!(codes(&findings_of("", "[override]\ns-03 = \"drain\"", &live)).contains(&"last-primary"));
    assert!(!codes(&findings_of("", "[override]\ns-12 = \"drain\"", &live)).contains(&"last-primary"));
}

#[test]
fn group_is_not_left_to_cold_members() {
    let mut live = live();
    live.members.iter_mut().filter(|m| m.name == "s-02").for_each(|m| m.capacity_share = 0.3);
    let only_cold_left = "[override]\ns-01 = \"drain\"\ns-03 = \"drain\"";
    let findings = findings_of("", only_cold_left, &live);
    let cold = findings
        .iter()
        .find(|finding| finding.code == "cold-alone")
        .unwrap_or_else(|| panic!("{findings:?}"));
    // The group has the capacity of 2.3 members before, and of 0.3 after.
    assert!(cold.what.contains("7.7 times") && cold.severity == Severity::Error, "{}", cold.what);
    live.members.iter_mut().for_each(|m| m.capacity_share = 1.0);
    assert!(!codes(&findings_of("", only_cold_left, &live)).contains(&"cold-alone"));
}

#[test]
fn retired_classes_in_use_and_exceeded_budgets_are_found() {
    let mut live = live();
    live.tenants_in_flight.insert("acme".into(), 4);
    live.classes_in_flight.insert("order".into(), 3);
    let findings = findings_of("", "[tenant.acme]\nretired = true\n[class.order]\nretired = true", &live);
    assert!(findings.iter().any(|f| f.code == "tenant-in-use" && f.what.contains("4 requests in flight")));
    assert!(findings
        .iter()
        .any(|f| f.code == "class-in-use" && f.what.contains("3 requests in flight and 200 lately")));
    (live.clients_busy, live.memory_in_use) = (30, 9_000_000);
    let findings = findings_of("", "[limits]\nsockets = 64\nmemory_mb = 16", &live);
    assert!(findings
        .iter()
        .any(|f| f.code == "sockets-in-use" && f.what.contains("64 descriptors leave 24")));
    assert!(findings.iter().any(|f| f.code == "memory-in-use" && f.what.contains("9.0 MB are in use")));
}
