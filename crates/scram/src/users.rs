//! A file of users, a line each: the name, a space, the verifier. Empty lines and those that begin with `#` are for
//! people.

use std::collections::BTreeMap;

use crate::verifier::Verifier;

/// Longest file that is read (bytes): some 7,000 users.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Longest name (bytes); PostgreSQL's own bound.
const LONGEST_NAME: usize = 63;

/// The users of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Users(BTreeMap<String, Verifier>);

impl Users {
    /// Reads the text of a file; what is wrong with which line.
    pub fn parse(text: &str) -> Result<Users, String> {
        let mut users = BTreeMap::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let named = |what: &dyn std::fmt::Display| format!("line {}: {what}", number + 1);
            let (name, verifier) = line.rsplit_once(' ').ok_or_else(|| named(&"accepted: NAME VERIFIER"))?;
            let name = name.trim_end();
            if !is_name(name) {
                return Err(named(&format!(
                    "not a name; accepted: 1 to {LONGEST_NAME} bytes, none of control"
                )));
            }
            let verifier = verifier.parse().map_err(|fault| named(&fault))?;
            if users.insert(name.to_string(), verifier).is_some() {
                return Err(named(&format!("{name} stands there twice")));
            }
        }
        Ok(Users(users))
    }

    /// The text of a file.
    pub fn to_text(&self) -> String {
        self.0.iter().map(|(name, verifier)| format!("{name} {verifier}\n")).collect()
    }

    /// What is kept of a user's password.
    pub fn get(&self, name: &str) -> Option<&Verifier> {
        self.0.get(name)
    }

    /// Adds a user, or gives one another password; whether the name is one.
    pub fn insert(&mut self, name: &str, verifier: Verifier) -> bool {
        let sound = is_name(name) && !name.starts_with('#') && name.trim() == name;
        if sound {
            self.0.insert(name.to_string(), verifier);
        }
        sound
    }

    /// Takes a user away; whether there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        self.0.remove(name).is_some()
    }

    /// All names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }
}

fn is_name(name: &str) -> bool {
    (1..=LONGEST_NAME).contains(&name.len()) && !name.chars().any(char::is_control)
}
