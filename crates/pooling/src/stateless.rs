//! The functions of which the operator says that they leave nothing in the session.

use std::collections::BTreeSet;

/// Stands for all functions.
const ALL: &str = "*";

/// Functions that leave nothing in the session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatelessFunctions {
    /// Names in lower case, without schemas.
    names: BTreeSet<String>,
    includes_all: bool,
}

impl StatelessFunctions {
    /// Reads a list of names that are separated by commas; a schema before a name is ignored. `*` stands for all
    /// functions.
    pub fn parse(list: &str) -> StatelessFunctions {
        let names = list.split(',').map(str::trim).filter(|name| !name.is_empty());
        let unqualified = |name: &str| name.rsplit('.').next().unwrap_or_default().to_lowercase();
        let names: BTreeSet<String> = names.map(unqualified).collect();
        StatelessFunctions { includes_all: names.contains(ALL), names }
    }

    /// Returns true if all of these functions, given in lower case and without schemas, are among them.
    pub fn contain_all(&self, functions: &[String]) -> bool {
        self.includes_all || functions.iter().all(|name| self.names.contains(name))
    }
}
