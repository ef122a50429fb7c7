//! Settings that make no sense are refused before anything is decided on them.

use crate::interface::{Consistency, Settings, WhenBehind};
use std::fmt;

/// A setting out of its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, by its settings key in snake case; one of a class with its number.
    pub field: String,
    /// What it must be.
    pub requirement: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' must be {}", self.field, self.requirement)
    }
}

impl std::error::Error for SettingsError {}

/// Checks every figure that the policy divides by, waits for or draws shares from.
pub fn check(settings: &Settings) -> Result<(), SettingsError> {
    let s = settings;
    let time = |t: f64| t.is_finite() && t > 0.0;
    let part = |p: f64| (0.0..=1.0).contains(&p);
    let some = |t: f64| t.is_finite() && t >= 0.0;
    let (a_time, a_part, a_span) = ("a finite time above 0", "from 0 to 1", "finite and not negative");
    let waits = match s.when_behind {
        WhenBehind::Wait(wait) => some(wait),
        WhenBehind::Refuse | WhenBehind::ServeStale => true,
    };
    let mut rules = vec![
        (!s.classes.is_empty(), "classes".to_string(), "at least one class"),
        (s.fleet_size > 0, "fleet_size".into(), "at least 1"),
        (s.max_attempts > 0, "max_attempts".into(), "at least 1"),
        (time(s.tick), "tick".into(), a_time),
        (time(s.connect_timeout), "connect_timeout".into(), a_time),
        (time(s.max_list_age), "ask_within".into(), a_time),
        (time(s.overload_window), "fall".into(), a_time),
        (some(s.warm_up), "warm_up".into(), a_span),
        (some(s.max_retry_after), "max_retry_after".into(), a_span),
        (
            s.cold_start_capacity > 0.0 && part(s.cold_start_capacity),
            "cold_from".into(),
            "above 0 and at most 1",
        ),
        (s.overload_factor > 0.0, "tip_multiple".into(), "above 0"),
        (part(s.over_share_worth), "over_share_worth".into(), a_part),
        (waits, "when_behind".into(), a_span),
    ];
    for (n, quota) in s.tenant_quota.iter().enumerate() {
        rules.push((*quota >= 0.0, format!("tenant_quota[{n}]"), "not negative"));
    }
    for (n, class) in s.classes.iter().enumerate() {
        let bound = match class.consistency {
            Consistency::Bounded(bound) => some(bound),
            _ => true,
        };
        let mut rule = |holds, field: &str, must| rules.push((holds, format!("classes[{n}].{field}"), must));
        rule(time(class.aim), "aim", a_time);
        rule(time(class.deadline), "deadline", a_time);
        rule(some(class.aim_stretch), "aim_stretch", a_span);
        rule(some(class.dedup_window), "dedup_window", a_span);
        rule(part(class.late_worth), "late_worth", a_part);
        rule(some(class.value), "value", a_span);
        rule(bound, "consistency", a_span);
    }
    match rules.into_iter().find(|(holds, ..)| !holds) {
        Some((_, field, must)) => Err(SettingsError { field, requirement: must }),
        None => Ok(()),
    }
}
