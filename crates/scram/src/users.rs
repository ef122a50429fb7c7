//! A file of users, one per line: the name, a space, and the verifier. Empty lines and lines that begin with
//! `#` are ignored.

use std::collections::BTreeMap;

use crate::verifier::Verifier;

/// Maximum file size (bytes): about 7,000 users.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Maximum length of a name (bytes); the same as PostgreSQL's.
const MAX_NAME_BYTES: usize = 63;

/// The users of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Users(BTreeMap<String, Verifier>);

impl Users {
    /// Parses the text of a file. The error names the line and its fault.
    pub fn parse(text: &str) -> Result<Users, String> {
        let mut users = BTreeMap::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let at_line = |what: &dyn std::fmt::Display| format!("line {}: {what}", number + 1);
            let (name, verifier) =
                line.rsplit_once(' ').ok_or_else(|| at_line(&"accepted: NAME VERIFIER"))?;
            let name = name.trim_end();
            if !is_valid_name(name) {
                return Err(at_line(&format!(
                    "invalid name; accepted: 1 to {MAX_NAME_BYTES} bytes without control characters"
                )));
            }
            let verifier = verifier.parse().map_err(|fault| at_line(&fault))?;
            if users.insert(name.to_string(), verifier).is_some() {
                return Err(at_line(&format!("duplicate user {name}")));
            }
        }
        Ok(Users(users))
    }

    /// Returns the text of a file with these users.
    pub fn to_text(&self) -> String {
        self.0.iter().map(|(name, verifier)| format!("{name} {verifier}\n")).collect()
    }

    /// Returns the verifier of a user's password.
    pub fn get(&self, name: &str) -> Option<&Verifier> {
        self.0.get(name)
    }

    /// Adds a user or changes the password of one. Returns false if the name is invalid.
    pub fn insert(&mut self, name: &str, verifier: Verifier) -> bool {
        let valid = is_valid_name(name) && !name.starts_with('#') && name.trim() == name;
        if valid {
            self.0.insert(name.to_string(), verifier);
        }
        valid
    }

    /// Removes a user. Returns false if there was none.
    pub fn remove(&mut self, name: &str) -> bool {
        self.0.remove(name).is_some()
    }

    /// Returns all names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}
