//! Parses an operator's file, and reports all its errors at once, each with its location and what would be
//! accepted.

use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;

use serde::Deserialize;
use toml::de::{DeTable, DeValue};

use crate::document::Document;
use crate::schema::{self, Kind};

/// Maximum file size (bytes): about 30,000 members. Guards against a file of another kind.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of errors reported; the rest are counted.
const MAX_ERRORS: usize = 20;
/// Maximum length of the name of a class, a tenant, a member and the like (bytes).
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of classes, of tenants and of routes. Bounds the tables that each request is looked up in.
const MAX_NAMED_ENTRIES: usize = 256;
/// Minimum similarity (Jaro-Winkler) of a known key to be suggested in place of an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// Line and column, from 1; none if the error has no single location.
    pub location: Option<(usize, usize)>,
    /// The key with the error; empty if the error concerns the entire file.
    pub key: String,
    /// Description of the error.
    pub message: String,
    /// What would be accepted; empty if nothing is known.
    pub accepted: String,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((line, column)) = self.location {
            write!(f, "line {line}, column {column}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)?;
        if !self.accepted.is_empty() {
            write!(f, "; accepted: {}", self.accepted)?;
        }
        Ok(())
    }
}

/// The errors of a file, at least one; those beyond a limit are only counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentErrors {
    /// The first errors, in the order of the file.
    pub list: Vec<DocumentError>,
    /// Number of further errors.
    pub more: usize,
}

impl fmt::Display for DocumentErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, error) in self.list.iter().enumerate() {
            write!(f, "{}{error}", if n == 0 { "" } else { "\n" })?;
        }
        if self.more > 0 {
            write!(f, "\nand {} more", self.more)?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentErrors {}

/// Parses a document from the bytes of a file.
pub fn parse(bytes: &[u8]) -> Result<Document, DocumentErrors> {
    let file_error = |location, message: String, accepted: &str| DocumentErrors {
        list: vec![DocumentError { location, key: String::new(), message, accepted: accepted.into() }],
        more: 0,
    };
    if bytes.len() > MAX_FILE_BYTES {
        let message = format!("the file has {} bytes", bytes.len());
        return Err(file_error(None, message, &format!("at most {MAX_FILE_BYTES} bytes")));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let before = &bytes[..error.valid_up_to()];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        let message = format!("the byte 0x{:02x} is not UTF-8", bytes[error.valid_up_to()]);
        file_error(Some((line, column)), message, "UTF-8 text")
    })?;
    let lines = Lines::new(text);
    let table = DeTable::parse(text).map_err(|error| {
        let message = error.message().lines().collect::<Vec<_>>().join(", ");
        file_error(error.span().map(|span| lines.location(span)), message, "TOML 1.0")
    })?;
    let mut reader = Reader { lines, errors: Vec::new(), more: 0 };
    reader.check_table(&mut Vec::new(), table.get_ref());
    if reader.errors.is_empty() {
        // The types accept what the checks have accepted; should they ever differ, the file is rejected.
        let document = Document::deserialize(toml::de::Deserializer::from(table));
        return document.map_err(|error| {
            file_error(error.span().map(|span| reader.lines.location(span)), error.message().to_string(), "")
        });
    }
    reader.errors.sort_by_key(|error| error.location);
    Err(DocumentErrors { list: reader.errors, more: reader.more })
}

/// The offsets at which the lines of a text begin, which convert offsets to locations.
struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(offset, _)| offset + 1);
        Lines { text, starts: std::iter::once(0).chain(ends).collect() }
    }

    /// Returns line and column, from 1, of the beginning of a span; columns count characters.
    fn location(&self, span: Range<usize>) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= span.start);
        let start = self.starts[line - 1];
        let before = self.text.get(start..span.start).unwrap_or_default();
        (line, before.chars().count() + 1)
    }
}

/// Checks a parsed file against the schema, and collects its errors.
struct Reader<'a> {
    lines: Lines<'a>,
    errors: Vec<DocumentError>,
    more: usize,
}

impl Reader<'_> {
    fn report(&mut self, span: Range<usize>, parts: &[String], message: String, accepted: String) {
        if self.errors.len() == MAX_ERRORS {
            self.more += 1;
            return;
        }
        let location = Some(self.lines.location(span));
        self.errors.push(DocumentError { location, key: parts.join("."), message, accepted });
    }

    fn check_table(&mut self, parts: &mut Vec<String>, table: &DeTable) {
        let known = schema::child_keys(parts);
        let any_name = known == ["*"];
        if any_name
            && parts.len() == 1
            && parts[0] != "member"
            && parts[0] != "override"
            && table.len() > MAX_NAMED_ENTRIES
        {
            let span = table.iter().next().map_or(0..0, |(key, _)| key.span());
            let message = format!("{} entries", table.len());
            return self.report(span, parts, message, format!("at most {MAX_NAMED_ENTRIES}"));
        }
        for (key, value) in table {
            let name: &str = key.get_ref();
            parts.push(name.to_string());
            if any_name && !is_valid_name(name) {
                let message = "not a name".to_string();
                let accepted =
                    format!("1 to {MAX_NAME_BYTES} letters, digits, dots, underscores and hyphens");
                self.report(key.span(), parts, message, accepted);
            } else if !any_name && !known.contains(&name) {
                let accepted = suggest_keys(parts, &known);
                self.report(key.span(), parts, "unknown key".into(), accepted);
            } else {
                self.check_value(parts, value.span(), value.get_ref());
            }
            parts.pop();
        }
        for (name, setting) in schema::required_settings(parts) {
            if !table.contains_key(name) {
                let span = table.iter().next().map_or(0..0, |(key, _)| key.span());
                parts.push(name.to_string());
                self.report(span, parts, "is missing".into(), setting.kind.describe_accepted());
                parts.pop();
            }
        }
    }

    fn check_value(&mut self, parts: &mut Vec<String>, span: Range<usize>, value: &DeValue) {
        let setting = schema::find(parts);
        match (setting, value) {
            (None, DeValue::Table(table)) => self.check_table(parts, table),
            (None, _) => {
                let names = schema::child_keys(parts).join(", ").replace('*', "any name");
                self.report(span, parts, "not a table".into(), format!("a table of {names}"));
            }
            (Some(setting), value) => {
                if let Err(message) = check_kind(setting.kind, value) {
                    self.report(span, parts, message, setting.kind.describe_accepted());
                }
            }
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_valid)
}

/// Describes the accepted keys in place of an unknown one, the most similar one first.
fn suggest_keys(parts: &[String], known: &[&str]) -> String {
    let name = parts.last().map(String::as_str).unwrap_or_default();
    let similarity = |known: &&&str| strsim::jaro_winkler(name, known);
    let best = known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    let best = best.filter(|best| similarity(best) >= MIN_SIMILARITY);
    let all = known.join(", ");
    best.map_or_else(|| format!("one of {all}"), |best| format!("did you mean {best}? One of {all}"))
}

/// Checks that a value is of a kind. The error describes why it is not.
fn check_kind(kind: Kind, value: &DeValue) -> Result<(), String> {
    let number = match value {
        DeValue::Integer(integer) => {
            let digits = integer.as_str().replace('_', "");
            i64::from_str_radix(&digits, integer.radix()).ok().map(|integer| integer as f64)
        }
        DeValue::Float(float) => float.as_str().replace('_', "").parse().ok(),
        _ => None,
    };
    match (kind, value) {
        (Kind::Number(min, max), DeValue::Integer(_) | DeValue::Float(_)) => match number {
            Some(number) if (min..=max).contains(&number) => Ok(()),
            _ => Err(format!("{} is out of range", number.unwrap_or(f64::NAN))),
        },
        (Kind::Integer(min, max), DeValue::Integer(_)) => match number {
            Some(number) if (f64::from(min)..=f64::from(max)).contains(&number) => Ok(()),
            _ => Err(format!("{} is out of range", number.unwrap_or(f64::NAN))),
        },
        (Kind::Flag, DeValue::Boolean(_)) => Ok(()),
        (Kind::Text(max), DeValue::String(text)) if text.len() > max => {
            Err(format!("a text of {} bytes", text.len()))
        }
        (Kind::Text(_), DeValue::String(_)) => Ok(()),
        (Kind::Address, DeValue::String(text)) => match text.parse::<SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => Err(format!("\"{text}\" is not an IP address with a port; names are not resolved")),
        },
        (Kind::Addresses(max), DeValue::Array(items)) if items.len() > max => {
            Err(format!("{} addresses", items.len()))
        }
        (Kind::Addresses(_), DeValue::Array(items)) => {
            items.iter().try_for_each(|item| check_kind(Kind::Address, item.get_ref()))
        }
        (Kind::Routes(max) | Kind::ControlInstances(max), DeValue::Array(items)) if items.len() > max => {
            Err(format!("{} tables", items.len()))
        }
        (Kind::Routes(_), DeValue::Array(items)) => {
            items.iter().try_for_each(|item| check_table_fields(&ROUTE, item.get_ref()))
        }
        (Kind::ControlInstances(_), DeValue::Array(items)) => {
            items.iter().try_for_each(|item| check_table_fields(&CONTROL_INSTANCE, item.get_ref()))
        }
        (Kind::Path, DeValue::String(text)) if Path::new(&**text).is_absolute() => Ok(()),
        (Kind::Path, DeValue::String(text)) => Err(format!("\"{text}\" is not absolute")),
        (Kind::Paths(max), DeValue::Array(items)) if items.len() > max => {
            Err(format!("{} paths", items.len()))
        }
        (Kind::Paths(_), DeValue::Array(items)) => {
            items.iter().try_for_each(|item| check_kind(Kind::Path, item.get_ref()))
        }
        (Kind::Choice(words), DeValue::String(text)) if words.contains(&&**text) => Ok(()),
        (Kind::Choice(_), DeValue::String(text)) => Err(format!("\"{text}\" is not one of the choices")),
        (_, other) => Err(format!("is {}", type_name(other))),
    }
}

/// The keys of a table in an array, with the kind of each.
type Fields = [(&'static str, Kind)];

const ROUTE: [(&str, Kind); 2] = [("name", Kind::Text(64)), ("address", Kind::Address)];
const CONTROL_INSTANCE: [(&str, Kind); 3] =
    [("name", Kind::Text(64)), ("region", Kind::Text(64)), ("address", Kind::Address)];

/// Checks that a value is a table of exactly these fields.
fn check_table_fields(fields: &Fields, value: &DeValue) -> Result<(), String> {
    let DeValue::Table(table) = value else { return Err(format!("holds {}", type_name(value))) };
    for (key, kind) in fields {
        let value = table.get(*key).ok_or_else(|| format!("{key} is missing"))?;
        check_kind(*kind, value.get_ref()).map_err(|message| format!("{key}: {message}"))?;
    }
    match table.keys().find(|key| !fields.iter().any(|(known, _)| **known == **key.get_ref())) {
        Some(other) => Err(format!("unknown key {}", other.get_ref())),
        None => Ok(()),
    }
}

fn type_name(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number with a point",
        DeValue::Boolean(_) => "a truth value",
        DeValue::Datetime(_) => "a date or a time",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}
