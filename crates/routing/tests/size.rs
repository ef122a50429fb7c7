//! `policy.rs` is meant to be read as a whole: its size and width are limited.

#[test]
fn policy_rs_stays_within_its_limits() {
    let text = include_str!("../src/policy.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 950, "policy.rs has {lines} non-blank lines, more than 950");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} exceeds 110 characters", number + 1);
    }
    assert!(text.lines().take(3).any(|line| line.contains("src/interface.rs")));
}
