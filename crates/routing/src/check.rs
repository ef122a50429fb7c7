//! Checks settings before the policy uses them.

use crate::interface::{Consistency, Settings, WhenBehind};
use std::fmt;

/// A setting out of its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field's settings key in snake case, with the index for a field of a class.
    pub field: String,
    /// The requirement that the value does not meet.
    pub requirement: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' must be {}", self.field, self.requirement)
    }
}

impl std::error::Error for SettingsError {}

/// Checks every setting that the policy uses as a divisor, a time or a share.
pub fn check(settings: &Settings) -> Result<(), SettingsError> {
    let s = settings;
    let is_positive_time = |t: f64| t.is_finite() && t > 0.0;
    let is_share = |p: f64| (0.0..=1.0).contains(&p);
    let is_not_negative = |t: f64| t.is_finite() && t >= 0.0;
    let (positive_time, unit_range, not_negative) =
        ("a finite time above 0", "from 0 to 1", "finite and not negative");
    let waits = match s.when_behind {
        WhenBehind::Wait(wait) => is_not_negative(wait),
        WhenBehind::Refuse | WhenBehind::ServeStale => true,
    };
    let mut rules = vec![
        (!s.classes.is_empty(), "classes".to_string(), "at least one class"),
        (s.fleet_size > 0, "fleet_size".into(), "at least 1"),
        (s.max_attempts > 0, "max_attempts".into(), "at least 1"),
        (is_positive_time(s.tick), "tick".into(), positive_time),
        (is_positive_time(s.connect_timeout), "connect_timeout".into(), positive_time),
        (is_positive_time(s.max_list_age), "ask_within".into(), positive_time),
        (is_positive_time(s.overload_window), "fall".into(), positive_time),
        (is_not_negative(s.warm_up), "warm_up".into(), not_negative),
        (is_not_negative(s.max_retry_after), "max_retry_after".into(), not_negative),
        (
            s.cold_start_capacity > 0.0 && is_share(s.cold_start_capacity),
            "cold_from".into(),
            "above 0 and at most 1",
        ),
        (s.overload_factor > 0.0, "tip_multiple".into(), "above 0"),
        (is_share(s.over_share_worth), "over_share_worth".into(), unit_range),
        (waits, "when_behind".into(), not_negative),
    ];
    for (n, quota) in s.tenant_quota.iter().enumerate() {
        rules.push((*quota >= 0.0, format!("tenant_quota[{n}]"), "not negative"));
    }
    for (n, class) in s.classes.iter().enumerate() {
        let bound = match class.consistency {
            Consistency::Bounded(bound) => is_not_negative(bound),
            _ => true,
        };
        let mut rule = |holds, field: &str, requirement| {
            rules.push((holds, format!("classes[{n}].{field}"), requirement))
        };
        rule(is_positive_time(class.aim), "aim", positive_time);
        rule(is_positive_time(class.deadline), "deadline", positive_time);
        rule(is_not_negative(class.aim_stretch), "aim_stretch", not_negative);
        rule(is_not_negative(class.dedup_window), "dedup_window", not_negative);
        rule(is_share(class.late_worth), "late_worth", unit_range);
        rule(is_not_negative(class.value), "value", not_negative);
        rule(bound, "consistency", not_negative);
    }
    match rules.into_iter().find(|(holds, ..)| !holds) {
        Some((_, field, requirement)) => Err(SettingsError { field, requirement }),
        None => Ok(()),
    }
}
