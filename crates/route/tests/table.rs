//! Rules and what they place where.

use route::{Route, RouteRequest, Rule, Table};
use rstest::rstest;

fn table() -> Table {
    let rule = |name: &str, rank| Rule { name: name.into(), priority: rank, ..Rule::default() };
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

fn ask<'a>(user: &'a str, application: &'a str, reads: bool) -> RouteRequest<'a> {
    RouteRequest { user, database: "shop", application, read_only: reads, ..RouteRequest::default() }
}

#[rstest]
#[case(ask("reporter", "", true), "reports", "acme", 4)]
#[case(ask("reporter", "shop", true), "browse", "acme", 2)]
#[case(ask("reporter", "shop", false), "order", "acme", 4)]
#[case(ask("clerk", "", true), "late", "acme", 2)]
#[case(ask("clerk", "", false), "order", "acme", 2)]
#[case(RouteRequest { comment: Some("job=night,x=1"), ..ask("clerk", "", true) }, "read", "night", 2)]
#[case(RouteRequest { class: Some("browse"), ..ask("clerk", "", true) }, "browse", "acme", 2)]
#[case(RouteRequest { class: Some("browse"), ..ask("clerk", "", false) }, "order", "acme", 2)]
#[case(RouteRequest { class: Some("nothing"), ..ask("reporter", "", true) }, "reports", "acme", 4)]
fn the_first_rule_that_fits_holds(
    #[case] ask: RouteRequest,
    #[case] class: &str,
    #[case] tenant: &str,
    #[case] group: u32,
) {
    let Route { class: is, tenant: of, group: at, primary_only: primary, reasons: because } =
        table().route(&ask);
    assert_eq!(primary, is == "order", "{because:?}");
    assert_eq!((&*is, &*of, at), (class, tenant, group), "{because:?}");
    assert!(!because.is_empty());
}

#[test]
fn without_rules_the_defaults_hold() {
    let table = Table::new(Vec::new(), [("w".into(), true)], ("w".into(), "w".into()), (String::new(), 0));
    let Route { class, tenant, group, .. } = table.route(&ask("a", "b", true));
    assert_eq!((&*class, &*tenant, group), ("w", "", 0));
}
