//! What the live check finds, and what it lets pass.

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
    LiveMember { name: name.into(), group, serving: true, warmth: 1.0, primary: name.ends_with('1') }
}

/// Two groups of three, with traffic of both kinds.
fn view() -> LiveState {
    let members = (0..2).flat_map(|group| (1..=3).map(move |n| member(&format!("s-{group}{n}"), group)));
    let traffic = [("browse", 0), ("order", 0), ("browse", 1), ("order", 1)];
    LiveState {
        members: members.collect(),
        traffic: traffic.iter().map(|(class, group)| ((class.to_string(), *group), 100)).collect(),
        ..LiveState::default()
    }
}

fn found(old: &str, new: &str, view: &LiveState) -> Vec<Finding> {
    let (old, new) = (effective(old), effective(new));
    check(&old, &new, &old.differences(&new), view)
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
#[case::the_last_of_two_changes("[override]\ns-01 = \"drain\"\ns-02 = \"drain\"", ALL_OF_0, &["last-primary", "members-share"])]
#[case::half("", "[override]\ns-02 = \"drain\"\ns-03 = \"drain\"", &["capacity-share"])]
#[case::own_list_without_a_group("", "[member.s-01]\naddress = \"127.0.0.1:9\"\n[member.s-02]\naddress = \"127.0.0.1:8\"",
    &["last-primary", "members-share"])]
#[case::class_gone("", "[class.order]\nretired = true", &["class-in-use"])]
#[case::looser("", "[class.order]\nreads = \"any\"\nrepeats = \"safe\"", &["looser-reads", "looser-repeats"])]
#[case::start_only("", "[control]\nsocket = \"/elsewhere\"", &["needs-restart"])]
#[case::fewer_attempts("", "[limits]\nmax_attempts = 2", &[])]
fn a_change_is_held_against_the_members_and_the_traffic_of_now(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &[&str],
) {
    let findings = found(old, new, &view());
    let mut codes = codes(&findings);
    codes.sort();
    assert_eq!(codes, expected, "{findings:?}");
    assert!(findings.iter().all(|finding| !finding.what.is_empty()));
}

#[test]
fn nothing_allows_the_last_candidate_to_go() {
    let findings = found("", ALL_OF_0, &view());
    let last = findings.iter().find(|finding| finding.code == "last-primary").unwrap();
    assert!(last.what.contains("group 0") && last.what.contains("100 requests"), "{}", last.what);
    let allow: Vec<String> = findings.iter().map(|finding| finding.code.to_string()).collect();
    assert!(is_refused(&findings, &allow));
    // A group that nobody asks a primary of can be emptied, by name.
    let quiet = LiveState { traffic: Default::default(), ..view() };
    let findings = found("", ALL_OF_0, &quiet);
    assert!(codes(&findings).contains(&"group-emptied"));
    assert!(is_refused(&findings, &[]));
    assert!(!is_refused(&findings, &["group-emptied".to_string(), "members-share".to_string()]));
}

#[test]
fn a_member_that_drains_by_itself_counts_as_gone_already() {
    // Two of group 0 drain by the list's own word: the third is the last candidate.
    let mut view = view();
    view.members.iter_mut().filter(|m| m.name == "s-01" || m.name == "s-02").for_each(|m| m.serving = false);
    assert!(codes(&found("", "[override]\ns-03 = \"drain\"", &view)).contains(&"last-primary"));
    assert!(!codes(&found("", "[override]\ns-12 = \"drain\"", &view)).contains(&"last-primary"));
}

#[test]
fn cold_machines_are_not_left_to_carry_a_group() {
    let mut view = view();
    view.members.iter_mut().filter(|m| m.name == "s-02").for_each(|m| m.warmth = 0.3);
    let alone = "[override]\ns-01 = \"drain\"\ns-03 = \"drain\"";
    let findings = found("", alone, &view);
    let cold = findings
        .iter()
        .find(|finding| finding.code == "cold-alone")
        .unwrap_or_else(|| panic!("{findings:?}"));
    // 2.3 members' worth of capacity before, 0.3 after.
    assert!(cold.what.contains("7.7 times") && cold.severity == Severity::Error, "{}", cold.what);
    view.members.iter_mut().for_each(|m| m.warmth = 1.0);
    assert!(!codes(&found("", alone, &view)).contains(&"cold-alone"));
}

#[test]
fn nothing_in_hand_vanishes_unseen_and_no_budget_falls_below_its_use() {
    let mut view = view();
    view.tenants_in_flight.insert("acme".into(), 4);
    view.classes_in_flight.insert("order".into(), 3);
    let findings = found("", "[tenant.acme]\nretired = true\n[class.order]\nretired = true", &view);
    assert!(findings.iter().any(|f| f.code == "tenant-in-use" && f.what.contains("4 requests in hand")));
    assert!(findings
        .iter()
        .any(|f| f.code == "class-in-use" && f.what.contains("3 requests in hand and 200 lately")));
    (view.clients_busy, view.memory_in_use) = (30, 9_000_000);
    let findings = found("", "[limits]\nsockets = 64\nmemory_mb = 16", &view);
    assert!(findings
        .iter()
        .any(|f| f.code == "sockets-in-use" && f.what.contains("64 descriptors leave 24")));
    assert!(findings.iter().any(|f| f.code == "memory-in-use" && f.what.contains("9.0 MB are in use")));
}
