//! Reads an operator's file: all faults at once, each with its place and what would be accepted there.

use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;

use serde::Deserialize;
use toml::de::{DeTable, DeValue};

use crate::document::Document;
use crate::schema::{self, Kind};

/// Longest file that is read (bytes): some 30,000 members. Guards against a file that is none of ours.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Most faults that are told at once; the rest are counted.
const MOST_FAULTS: usize = 20;
/// Longest name of a class, a tenant or a member (bytes).
const LONGEST_NAME: usize = 64;
/// Most classes, and most tenants. Guards the tables that each request is looked up in.
const MOST_NAMED: usize = 256;
/// Least likeness of a known key to be named as the one that was meant.
const LIKE: f64 = 0.6;

/// One thing wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// Line and column, from 1; none where the fault has no single place.
    pub location: Option<(usize, usize)>,
    /// The key at fault; empty where it is the file as a whole.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What would be accepted; empty where nothing more can be said.
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

/// All that is wrong with a file, at least one thing; those past the bound are only counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentErrors {
    /// The first of them, in the order of the file.
    pub list: Vec<DocumentError>,
    /// How many more there are.
    pub more: usize,
}

impl fmt::Display for DocumentErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.list.iter().enumerate() {
            write!(f, "{}{fault}", if n == 0 { "" } else { "\n" })?;
        }
        if self.more > 0 {
            write!(f, "\nand {} more", self.more)?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentErrors {}

/// Reads a document from the bytes of a file.
pub fn parse(bytes: &[u8]) -> Result<Document, DocumentErrors> {
    let whole = |place, what: String, accepted: &str| DocumentErrors {
        list: vec![DocumentError {
            location: place,
            key: String::new(),
            message: what,
            accepted: accepted.into(),
        }],
        more: 0,
    };
    if bytes.len() > MAX_FILE_BYTES {
        let what = format!("the file has {} bytes", bytes.len());
        return Err(whole(None, what, &format!("at most {MAX_FILE_BYTES} bytes")));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let before = &bytes[..error.valid_up_to()];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        let what = format!("the byte 0x{:02x} is not UTF-8", bytes[error.valid_up_to()]);
        whole(Some((line, column)), what, "UTF-8 text")
    })?;
    let lines = Lines::new(text);
    let table = DeTable::parse(text).map_err(|error| {
        let what = error.message().lines().collect::<Vec<_>>().join(", ");
        whole(error.span().map(|span| lines.place(span)), what, "TOML 1.0")
    })?;
    let mut reader = Reader { lines, faults: Vec::new(), more: 0 };
    reader.table(&mut Vec::new(), table.get_ref());
    if reader.faults.is_empty() {
        // What the walk has let through, the types must too; should they ever differ, the file is refused.
        let document = Document::deserialize(toml::de::Deserializer::from(table));
        return document.map_err(|error| {
            whole(error.span().map(|span| reader.lines.place(span)), error.message().to_string(), "")
        });
    }
    reader.faults.sort_by_key(|fault| fault.location);
    Err(DocumentErrors { list: reader.faults, more: reader.more })
}

/// Where each line of a text begins, to tell places from offsets.
struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        Lines { text, starts: std::iter::once(0).chain(ends).collect() }
    }

    /// Line and column, from 1, of where a span begins; columns count characters.
    fn place(&self, span: Range<usize>) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= span.start);
        let start = self.starts[line - 1];
        let before = self.text.get(start..span.start).unwrap_or_default();
        (line, before.chars().count() + 1)
    }
}

struct Reader<'a> {
    lines: Lines<'a>,
    faults: Vec<DocumentError>,
    more: usize,
}

impl Reader<'_> {
    fn fault(&mut self, span: Range<usize>, parts: &[String], what: String, accepted: String) {
        if self.faults.len() == MOST_FAULTS {
            self.more += 1;
            return;
        }
        let place = Some(self.lines.place(span));
        self.faults.push(DocumentError { location: place, key: parts.join("."), message: what, accepted });
    }

    fn table(&mut self, parts: &mut Vec<String>, table: &DeTable) {
        let known = schema::child_keys(parts);
        let any = known == ["*"];
        if any
            && parts.len() == 1
            && parts[0] != "member"
            && parts[0] != "override"
            && table.len() > MOST_NAMED
        {
            let span = table.iter().next().map_or(0..0, |(key, _)| key.span());
            let what = format!("{} entries", table.len());
            return self.fault(span, parts, what, format!("at most {MOST_NAMED}"));
        }
        for (key, value) in table {
            let name: &str = key.get_ref();
            parts.push(name.to_string());
            if any && !is_name(name) {
                let what = "not a name".to_string();
                let accepted = format!("1 to {LONGEST_NAME} letters, digits, dots, underscores and hyphens");
                self.fault(key.span(), parts, what, accepted);
            } else if !any && !known.contains(&name) {
                let accepted = nearest(parts, &known);
                self.fault(key.span(), parts, "unknown key".into(), accepted);
            } else {
                self.value(parts, value.span(), value.get_ref());
            }
            parts.pop();
        }
        for (name, setting) in schema::required_settings(parts) {
            if !table.contains_key(name) {
                let span = table.iter().next().map_or(0..0, |(key, _)| key.span());
                parts.push(name.to_string());
                self.fault(span, parts, "is missing".into(), setting.kind.describe_accepted());
                parts.pop();
            }
        }
    }

    fn value(&mut self, parts: &mut Vec<String>, span: Range<usize>, value: &DeValue) {
        let setting = schema::find(parts);
        match (setting, value) {
            (None, DeValue::Table(table)) => self.table(parts, table),
            (None, _) => {
                let names = schema::child_keys(parts).join(", ").replace('*', "any name");
                self.fault(span, parts, "not a table".into(), format!("a table of {names}"));
            }
            (Some(setting), value) => {
                if let Err(what) = fits(setting.kind, value) {
                    self.fault(span, parts, what, setting.kind.describe_accepted());
                }
            }
        }
    }
}

fn is_name(name: &str) -> bool {
    let sound = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(sound)
}

/// Words on what may stand in place of an unknown key, the nearest known one first.
fn nearest(parts: &[String], known: &[&str]) -> String {
    let name = parts.last().map(String::as_str).unwrap_or_default();
    let likeness = |known: &&&str| strsim::jaro_winkler(name, known);
    let best = known.iter().max_by(|a, b| likeness(a).total_cmp(&likeness(b)));
    let best = best.filter(|best| likeness(best) >= LIKE);
    let all = known.join(", ");
    best.map_or_else(|| format!("one of {all}"), |best| format!("did you mean {best}? One of {all}"))
}

/// Whether a value is of a kind; what is wrong where it is not.
fn fits(kind: Kind, value: &DeValue) -> Result<(), String> {
    let number = match value {
        DeValue::Integer(integer) => {
            let digits = integer.as_str().replace('_', "");
            i64::from_str_radix(&digits, integer.radix()).ok().map(|whole| whole as f64)
        }
        DeValue::Float(float) => float.as_str().replace('_', "").parse().ok(),
        _ => None,
    };
    match (kind, value) {
        (Kind::Number(least, most), DeValue::Integer(_) | DeValue::Float(_)) => match number {
            Some(number) if (least..=most).contains(&number) => Ok(()),
            _ => Err(format!("{} is out of range", number.unwrap_or(f64::NAN))),
        },
        (Kind::Integer(least, most), DeValue::Integer(_)) => match number {
            Some(number) if (f64::from(least)..=f64::from(most)).contains(&number) => Ok(()),
            _ => Err(format!("{} is out of range", number.unwrap_or(f64::NAN))),
        },
        (Kind::Flag, DeValue::Boolean(_)) => Ok(()),
        (Kind::Text(most), DeValue::String(text)) if text.len() > most => {
            Err(format!("a text of {} bytes", text.len()))
        }
        (Kind::Text(_), DeValue::String(_)) => Ok(()),
        (Kind::Address, DeValue::String(text)) => match text.parse::<SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => Err(format!("\"{text}\" is no such address; names are not resolved")),
        },
        (Kind::Addresses(most), DeValue::Array(items)) if items.len() > most => {
            Err(format!("{} addresses", items.len()))
        }
        (Kind::Addresses(_), DeValue::Array(items)) => {
            items.iter().try_for_each(|item| fits(Kind::Address, item.get_ref()))
        }
        (Kind::Routes(most) | Kind::ControlInstances(most), DeValue::Array(items)) if items.len() > most => {
            Err(format!("{} tables", items.len()))
        }
        (Kind::Routes(_), DeValue::Array(items)) => {
            items.iter().try_for_each(|item| is_table_of(&ROUTE, item.get_ref()))
        }
        (Kind::ControlInstances(_), DeValue::Array(items)) => {
            items.iter().try_for_each(|item| is_table_of(&CONTROL_INSTANCE, item.get_ref()))
        }
        (Kind::Path, DeValue::String(text)) if Path::new(&**text).is_absolute() => Ok(()),
        (Kind::Path, DeValue::String(text)) => Err(format!("\"{text}\" is not absolute")),
        (Kind::Paths(most), DeValue::Array(items)) if items.len() > most => {
            Err(format!("{} paths", items.len()))
        }
        (Kind::Paths(_), DeValue::Array(items)) => {
            items.iter().try_for_each(|item| fits(Kind::Path, item.get_ref()))
        }
        (Kind::Choice(words), DeValue::String(text)) if words.contains(&&**text) => Ok(()),
        (Kind::Choice(_), DeValue::String(text)) => Err(format!("\"{text}\" is none of the choices")),
        (_, other) => Err(format!("is {}", name_of(other))),
    }
}

/// The keys of a table in an array, with what each holds.
type Fields = [(&'static str, Kind)];

const ROUTE: [(&str, Kind); 2] = [("name", Kind::Text(64)), ("address", Kind::Address)];
const CONTROL_INSTANCE: [(&str, Kind); 3] =
    [("name", Kind::Text(64)), ("region", Kind::Text(64)), ("address", Kind::Address)];

/// Whether a value is a table of these fields, and of nothing else.
fn is_table_of(fields: &Fields, value: &DeValue) -> Result<(), String> {
    let DeValue::Table(table) = value else { return Err(format!("holds {}", name_of(value))) };
    for (key, kind) in fields {
        let value = table.get(*key).ok_or_else(|| format!("{key} is missing"))?;
        fits(*kind, value.get_ref()).map_err(|what| format!("{key}: {what}"))?;
    }
    match table.keys().find(|key| !fields.iter().any(|(known, _)| **known == **key.get_ref())) {
        Some(other) => Err(format!("unknown key {}", other.get_ref())),
        None => Ok(()),
    }
}

fn name_of(value: &DeValue) -> &'static str {
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
