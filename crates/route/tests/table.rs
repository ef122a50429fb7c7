//! How rules route requests.

use route::{Route, RouteRequest, Rule, Table};
use rstest::rstest;

fn table() -> Table {
    let rule = |name: &str, priority| Rule { name: name.into(), priority, ..Rule::default() };
    let rules = vec![
        Rule { class: Some("late".into()), ..rule("z-last", 9) },
        Rule {
            user: Some("report*".into()),
            class: Some("reports".into()),
            group: Some(4),
            ..rule("reports", 1)
        },
        Rule { comment: Some("job=night".into()), tenant: Some("night".into()), ..rule("night", 1) },
        Rule {
            application: Some("shop".into()),
            read_only: Some(true),
            class: Some("browse".into()),
            ..rule("shop", 0)
        },
    ];
    let classes = [("late", false), ("reports", false), ("browse", false), ("order", true), ("read", false)];
    let classes = classes.map(|(name, primary)| (name.to_string(), primary));
    Table::new(rules, classes, ("read".into(), "order".into()), ("acme".into(), 2))
}

fn request<'a>(user: &'a str, application: &'a str, read_only: bool) -> RouteRequest<'a> {
    RouteRequest { user, database: "shop", application, read_only, ..RouteRequest::default() }
}

#[rstest]
#[case(request("reporter", "", true), "reports", "acme", 4)]
#[case(request("reporter", "shop", true), "browse", "acme", 2)]
#[case(request("reporter", "shop", false), "order", "acme", 4)]
#[case(request("clerk", "", true), "late", "acme", 2)]
#[case(request("clerk", "", false), "order", "acme", 2)]
#[case(RouteRequest { comment: Some("job=night,x=1"), ..request("clerk", "", true) }, "read", "night", 2)]
#[case(RouteRequest { class: Some("browse"), ..request("clerk", "", true) }, "browse", "acme", 2)]
#[case(RouteRequest { class: Some("browse"), ..request("clerk", "", false) }, "order", "acme", 2)]
#[case(RouteRequest { class: Some("nothing"), ..request("reporter", "", true) }, "reports", "acme", 4)]
fn the_first_matching_rule_applies(
    #[case] request: RouteRequest,
    #[case] class: &str,
    #[case] tenant: &str,
    #[case] group: u32,
) {
    let Route { class: routed_class, tenant: routed_tenant, group: routed_group, primary_only, reasons } =
        table().route(&request);
    assert_eq!(primary_only, routed_class == "order", "{reasons:?}");
    assert_eq!((&*routed_class, &*routed_tenant, routed_group), (class, tenant, group), "{reasons:?}");
    assert!(!reasons.is_empty());
}

#[test]
fn without_rules_the_defaults_apply() {
    let table = Table::new(Vec::new(), [("w".into(), true)], ("w".into(), "w".into()), (String::new(), 0));
    let Route { class, tenant, group, .. } = table.route(&request("a", "b", true));
    assert_eq!((&*class, &*tenant, group), ("w", "", 0));
}
