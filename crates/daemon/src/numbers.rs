//! Assigns classes and tenants the numbers that the policy uses for them, across configuration changes: a
//! class that has unfinished requests keeps its number and fields until these have ended, even if its name
//! gets other fields.

use operator::EffectiveConfig;
use routing::interface::{Class, Consistency, Effect, Settings};

/// Maximum number of classes at the policy (those in force and those with unfinished requests), and of class
/// names since the start.
const MAX_CLASSES: usize = 1_024;

/// A class of the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ActiveClass {
    pub name: String,
    /// Number of the class at the policy.
    pub number: usize,
    /// Number of the class's name while the daemon runs; independent of the class's fields.
    pub stable_id: u16,
    pub consistency: Consistency,
    pub effect: Effect,
}

/// The assigned numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Numbers {
    /// Name and fields of the class by its number at the policy; the name is empty if the number is free.
    classes: Vec<(String, Class)>,
    tenants: Vec<String>,
    /// Names of classes by stable id.
    class_names: Vec<String>,
}

/// The policy's settings for a configuration, with the numbers of its classes and tenants.
#[derive(Clone, Debug)]
pub(crate) struct NumberedSettings {
    pub settings: Settings,
    pub classes: Vec<ActiveClass>,
    /// Names and numbers of the tenants in force.
    pub tenants: Vec<(String, usize)>,
}

impl Numbers {
    /// Name of the class with this number at the policy; empty if the number is free.
    pub fn class_name(&self, number: usize) -> &str {
        self.classes.get(number).map_or("", |(name, _)| name)
    }

    /// Assigns numbers to the classes and tenants of a configuration. `has_requests` returns true for the
    /// number of a class with unfinished requests.
    pub fn assign(
        &mut self,
        effective: &EffectiveConfig,
        has_requests: impl Fn(usize) -> bool,
    ) -> Result<NumberedSettings, String> {
        let mut settings = effective.settings.clone();
        let configured = || effective.classes.iter().zip(&effective.settings.classes);
        for (number, (name, class)) in self.classes.iter_mut().enumerate() {
            let unchanged = configured().any(|(n, c)| n == name && c == class);
            if !unchanged && !has_requests(number) {
                // The number is free; the class counts for nothing at the policy.
                (*name, *class) = (String::new(), Class { value: 0.0, ..Class::default() });
            }
        }
        let mut classes = Vec::new();
        for (name, class) in configured() {
            let known = self.classes.iter().position(|(n, c)| n == name && c == class);
            let free = || self.classes.iter().position(|(n, _)| n.is_empty());
            let number = known.or_else(free).unwrap_or(self.classes.len());
            if number == MAX_CLASSES {
                return Err(format!("{MAX_CLASSES} classes are in use or have unfinished requests"));
            }
            let entry = (name.clone(), class.clone());
            match self.classes.get_mut(number) {
                Some(old) => *old = entry,
                None => self.classes.push(entry),
            }
            let id =
                self.class_names.iter().position(|known| known == name).unwrap_or(self.class_names.len());
            if id == MAX_CLASSES {
                return Err(format!("{MAX_CLASSES} class names have been in use since the start"));
            }
            if id == self.class_names.len() {
                self.class_names.push(name.clone());
            }
            let Class { consistency, effect, .. } = *class;
            classes.push(ActiveClass {
                name: name.clone(),
                number,
                stable_id: id as u16,
                consistency,
                effect,
            });
        }
        settings.classes = self.classes.iter().map(|(_, class)| class.clone()).collect();
        // The number of a removed tenant can be reused at once: unfinished requests do not depend on it.
        let mut quotas = vec![f64::INFINITY; self.tenants.len()];
        for tenant in &mut self.tenants {
            if !effective.tenants.contains(tenant) {
                tenant.clear();
            }
        }
        let mut tenants = Vec::new();
        for (name, quota) in effective.tenants.iter().zip(&effective.settings.tenant_quota) {
            let known = self.tenants.iter().position(|tenant| tenant == name);
            let free = || self.tenants.iter().position(String::is_empty);
            let number = known.or_else(free).unwrap_or(self.tenants.len());
            if number == self.tenants.len() {
                self.tenants.push(String::new());
                quotas.push(f64::INFINITY);
            }
            self.tenants[number].clone_from(name);
            quotas[number] = *quota;
            tenants.push((name.clone(), number));
        }
        settings.tenant_quota = quotas;
        Ok(NumberedSettings { settings, classes, tenants })
    }

    /// Name of a class by its stable id.
    pub fn class_name_by_stable_id(&self, id: u16) -> &str {
        self.class_names.get(usize::from(id)).map_or("", String::as_str)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use config::Config;

    const PLATFORM: &str = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f","settings":{
        "classes":[{"name":"a","aim":1,"deadline":2},{"name":"b","aim":1,"deadline":2}],
        "customers":[{"name":"t","quotaPerS":10}],"specifics":{"consistency":["any","any"]},
        "invariants":{"tipMultiple":2}}}"#;

    fn effective(text: &str) -> EffectiveConfig {
        let platform = Config::parse(PLATFORM).unwrap();
        EffectiveConfig::new(&platform, operator::parse(text.as_bytes()).unwrap()).unwrap()
    }

    #[test]
    fn class_with_unfinished_requests_keeps_its_number_and_fields() {
        let mut numbers = Numbers::default();
        let first = numbers.assign(&effective(""), |_| false).unwrap();
        assert_eq!(
            first.classes.iter().map(|c| (c.number, c.stable_id)).collect::<Vec<_>>(),
            [(0, 0), (1, 1)]
        );
        // Class b changes while it has an unfinished request: the old class remains beside the new one.
        let changed = effective("[class.b]\naim_s = 0.5\n[tenant.u]\nquota_per_s = 5");
        let second = numbers.assign(&changed, |number| number == 1).unwrap();
        assert_eq!(
            second.classes.iter().map(|c| (c.number, c.stable_id)).collect::<Vec<_>>(),
            [(0, 0), (2, 1)]
        );
        assert_eq!(second.settings.classes[1], first.settings.classes[1]);
        assert_eq!(second.settings.classes[2].aim, 0.5);
        assert_eq!(second.settings.tenant_quota, [10.0, 5.0]);
        // Class b gets its old fields again: its old number is still assigned, and the other one is freed.
        let back = numbers.assign(&effective(""), |number| number == 1).unwrap();
        assert_eq!(back.classes, first.classes);
        assert_eq!(back.settings.classes[2].value, 0.0);
        let again = numbers.assign(&changed, |_| false).unwrap();
        assert_eq!(again.settings.classes.len(), 3);
        assert_eq!(numbers.class_name_by_stable_id(1), "b");
    }
}
