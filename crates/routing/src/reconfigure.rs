//! Change of settings while the policy is in use.

use crate::check::{check, SettingsError};
use crate::interface::{MemberId, Phase, Settings};
use crate::Policy;

impl Policy {
    /// Changes the settings: requests that arrive from now on are handled under them, and those in flight end
    /// under the limits and the class that they arrived with. Therefore a class with requests keeps its index
    /// and all of its fields. A removed class keeps its index until
    /// [`class_has_requests`](Policy::class_has_requests) is false, and a new class needs an index of its
    /// own. Tenants keep the saved part of their share by index. What is known of members stays.
    ///
    /// Returns an error, and changes nothing, for settings out of range and for settings that would change a
    /// class with requests.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), SettingsError> {
        check(&settings)?;
        let old = &self.settings.classes;
        for request in self.requests.values() {
            if settings.classes.get(request.class) != old.get(request.class) {
                let field = format!("classes[{}]", request.class);
                return Err(SettingsError {
                    field,
                    requirement: "unchanged while requests of this class are in flight",
                });
            }
        }
        // The latency of a class is kept only if the class at its index is unchanged: the latency of the
        // class that had the index before says nothing about a new one.
        let latency = std::mem::take(&mut self.latency);
        let old = std::mem::replace(&mut self.settings, settings).classes;
        self.derive();
        for (number, latency) in latency.into_iter().enumerate() {
            if self.settings.classes.get(number).is_some_and(|class| old.get(number) == Some(class)) {
                self.latency[number] = latency;
            }
        }
        Ok(())
    }

    /// Returns true if any request of the class is unfinished or has attempts in flight.
    pub fn class_has_requests(&self, class: usize) -> bool {
        self.requests.values().any(|request| request.class == class)
    }

    /// Returns each listed member: its name, its group, the present share of its capacity (below 1 while it
    /// is cold), and whether it is its group's primary.
    pub fn members(&self) -> impl Iterator<Item = (&MemberId, u32, f64, bool)> + '_ {
        let listed = self.by_id.iter().filter(|(_, m)| self.members[**m].phase != Phase::Left);
        listed.map(|(id, &m)| {
            let group = self.members[m].group;
            let primary = self.groups.get(&group).is_some_and(|g| g.primary == Some(m));
            (id, group, self.capacity_share(m), primary)
        })
    }
}
