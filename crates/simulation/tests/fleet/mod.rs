//! Settings shared by the tests of large fleets.

use routing::interface::*;

/// Settings with four classes: bounded, session and any reads, and keyed writes.
pub fn settings(fleet_size: u32) -> Settings {
    let class = |consistency, effect| Class {
        consistency,
        effect,
        deadline: 1.5,
        dedup_window: 1.0,
        ..Class::default()
    };
    let classes = vec![
        class(Consistency::Bounded(3.0), Effect::Safe),
        class(Consistency::Session, Effect::Safe),
        class(Consistency::Any, Effect::Safe),
        class(Consistency::Write, Effect::Keyed),
    ];
    Settings {
        classes,
        fleet_size,
        probes: true,
        subscribe: true,
        when_behind: WhenBehind::ServeStale,
        requests_carry_position: false,
        overload_factor: 2.5,
        ..Settings::default()
    }
}
