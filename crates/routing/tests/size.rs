//! The module's engineers read all of it: its size and width are limited.

#[test]
fn policy_stays_within_its_size() {
    let text = include_str!("../src/policy.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 950, "policy.rs has {lines} non-blank lines");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", number + 1);
    }
    assert!(text.lines().take(3).any(|line| line.contains("src/interface.rs")));
}
