//! New settings for a policy that is at work: the one way in, and what a change must leave alone.

use crate::check::{check, SettingsError};
use crate::interface::{MemberId, Phase, Settings};
use crate::Policy;

impl Policy {
    /// Goes on under other settings: requests that arrive from now on are taken in under them, and those in
    /// hand end under the limits and the class that they came with. Therefore a class with requests in hand
    /// keeps its number and all of its fields; a class that is gone keeps its number until
    /// [`class_has_requests`](Policy::class_has_requests) is false, and a new one takes a number of its own.
    /// Tenants keep what they have saved up by number. What is known of members stays.
    ///
    /// Refuses settings out of range, and those that would change a class under its requests; then nothing
    /// has changed.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), SettingsError> {
        check(&settings)?;
        let old = &self.settings.classes;
        for request in self.requests.values() {
            if settings.classes.get(request.class) != old.get(request.class) {
                let field = format!("classes[{}]", request.class);
                return Err(SettingsError {
                    field,
                    requirement: "as it was while requests of it are in hand",
                });
            }
        }
        // A number that another class has taken over knows nothing of that one's latency yet: it, and what
        // comes behind it, is learnt again only where the class differs.
        let learnt = std::mem::take(&mut self.latency);
        let old = std::mem::replace(&mut self.settings, settings).classes;
        self.derive();
        for (number, learnt) in learnt.into_iter().enumerate() {
            if self.settings.classes.get(number).is_some_and(|class| old.get(number) == Some(class)) {
                self.latency[number] = learnt;
            }
        }
        Ok(())
    }

    /// Whether any request of a class is not done with.
    pub fn class_has_requests(&self, class: usize) -> bool {
        self.requests.values().any(|request| request.class == class)
    }

    /// What is known of each member that is not gone: its name, its group, the share of its capacity that it
    /// has at present (below 1 while it is cold) and whether it is taken for its group's primary.
    pub fn members(&self) -> impl Iterator<Item = (&MemberId, u32, f64, bool)> + '_ {
        let listed = self.by_id.iter().filter(|(_, m)| self.members[**m].phase != Phase::Left);
        listed.map(|(id, &m)| {
            let group = self.members[m].group;
            let primary = self.groups.get(&group).is_some_and(|g| g.primary == Some(m));
            (id, group, self.warmth(m), primary)
        })
    }
}
