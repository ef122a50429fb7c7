//! The numbers under which the policy knows classes and tenants, over changes of configuration: a class that
//! has requests in hand keeps its number and its fields until they are done, whatever its name comes to mean.

use operator::EffectiveConfig;
use routing::interface::{Class, Consistency, Effect, Settings};

/// Most numbers of classes, and of tenants: those in force, and those with requests in hand still.
const MOST: usize = 1_024;

/// A class in force.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ActiveClass {
    pub name: String,
    /// Its number at the policy.
    pub number: usize,
    /// Its number for as long as the daemon lives, whatever its fields become.
    pub stable_id: u16,
    pub consistency: Consistency,
    pub effect: Effect,
}

/// Who has which number.
#[derive(Clone, Debug, Default)]
pub(crate) struct Numbers {
    /// Under each number, the name and the fields of its class; no name where it is free.
    classes: Vec<(String, Class)>,
    tenants: Vec<String>,
    /// Names of classes by their lasting numbers.
    ids: Vec<String>,
}

/// What a configuration comes to at the policy.
#[derive(Clone, Debug)]
pub(crate) struct NumberedSettings {
    pub settings: Settings,
    pub classes: Vec<ActiveClass>,
    /// Names of the tenants in force, and their numbers.
    pub tenants: Vec<(String, usize)>,
}

impl Numbers {
    /// The name of the class that has a number at the policy; empty where none has.
    pub fn class_name(&self, number: usize) -> &str {
        self.classes.get(number).map_or("", |(name, _)| name)
    }

    /// Gives the classes and tenants of a configuration their numbers.
    pub fn assign(
        &mut self,
        effective: &EffectiveConfig,
        in_hand: impl Fn(usize) -> bool,
    ) -> Result<NumberedSettings, String> {
        let mut settings = effective.settings.clone();
        let wanted = || effective.classes.iter().zip(&effective.settings.classes);
        for (number, (name, class)) in self.classes.iter_mut().enumerate() {
            let stays = wanted().any(|(n, c)| n == name && c == class);
            if !stays && !in_hand(number) {
                // Free, and of no weight with the policy.
                (*name, *class) = (String::new(), Class { value: 0.0, ..Class::default() });
            }
        }
        let mut classes = Vec::new();
        for (name, class) in wanted() {
            let known = self.classes.iter().position(|(n, c)| n == name && c == class);
            let free = || self.classes.iter().position(|(n, _)| n.is_empty());
            let number = known.or_else(free).unwrap_or(self.classes.len());
            if number == MOST {
                return Err(format!("{MOST} classes are in use or have requests in hand"));
            }
            let place = (name.clone(), class.clone());
            match self.classes.get_mut(number) {
                Some(old) => *old = place,
                None => self.classes.push(place),
            }
            let id = self.ids.iter().position(|known| known == name).unwrap_or(self.ids.len());
            if id == MOST {
                return Err(format!("{MOST} names of classes have been in use since the start"));
            }
            if id == self.ids.len() {
                self.ids.push(name.clone());
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
        // A tenant's number stays its own until another needs it: nothing in hand depends on it.
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

    /// The name of a class by its lasting number.
    pub fn class_name_by_stable_id(&self, id: u16) -> &str {
        self.ids.get(usize::from(id)).map_or("", String::as_str)
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
    fn a_class_in_hand_keeps_its_number_and_fields_until_it_is_done() {
        let mut numbers = Numbers::default();
        let first = numbers.assign(&effective(""), |_| false).unwrap();
        assert_eq!(
            first.classes.iter().map(|c| (c.number, c.stable_id)).collect::<Vec<_>>(),
            [(0, 0), (1, 1)]
        );
        // b changes while a request of it is in hand: the old one stays beside the new.
        let changed = effective("[class.b]\naim_s = 0.5\n[tenant.u]\nquota_per_s = 5");
        let second = numbers.assign(&changed, |number| number == 1).unwrap();
        assert_eq!(
            second.classes.iter().map(|c| (c.number, c.stable_id)).collect::<Vec<_>>(),
            [(0, 0), (2, 1)]
        );
        assert_eq!(second.settings.classes[1], first.settings.classes[1]);
        assert_eq!(second.settings.classes[2].aim, 0.5);
        assert_eq!(second.settings.tenant_quota, [10.0, 5.0]);
        // Back again: the number that it had is still there, and the other is freed.
        let back = numbers.assign(&effective(""), |number| number == 1).unwrap();
        assert_eq!(back.classes, first.classes);
        assert_eq!(back.settings.classes[2].value, 0.0);
        let again = numbers.assign(&changed, |_| false).unwrap();
        assert_eq!(again.settings.classes.len(), 3);
        assert_eq!(numbers.class_name_by_stable_id(1), "b");
    }
}
