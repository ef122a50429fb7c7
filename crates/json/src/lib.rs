//! JSON from anywhere, read within bounds: text nested so deeply that parsing it could exhaust the stack is
//! refused, and what is not there reads as null.
#![warn(missing_docs)]

mod documents;

pub use documents::{Documents, Piece, TooLong};

use std::collections::HashMap;

use tinyjson::JsonValue;

/// Deepest nesting of JSON that is read. Guards the stack: the parser calls itself once a level.
pub const MAX_DEPTH: usize = 32;

/// A JSON value that may be absent; what is not there reads as null.
#[derive(Clone, Copy)]
pub struct Node<'a>(Option<&'a JsonValue>);

impl<'a> Node<'a> {
    /// The value itself.
    pub fn new(value: &'a JsonValue) -> Self {
        Node(Some(value))
    }

    /// What an object holds under a name.
    pub fn at(self, name: &str) -> Node<'a> {
        Node(self.0.and_then(|value| value.get::<HashMap<String, JsonValue>>()?.get(name)))
    }

    /// The items of an array.
    pub fn items(self) -> Option<&'a [JsonValue]> {
        self.0?.get::<Vec<JsonValue>>().map(Vec::as_slice)
    }

    /// A number.
    pub fn number(self) -> Option<f64> {
        self.0?.get::<f64>().copied()
    }

    /// A text.
    pub fn text(self) -> Option<&'a str> {
        self.0?.get::<String>().map(String::as_str)
    }

    /// A truth value; false where there is none.
    pub fn flag(self) -> bool {
        self.0.and_then(|value| value.get::<bool>()).copied().unwrap_or(false)
    }

    /// Whether there is nothing, or null.
    pub fn is_null(self) -> bool {
        self.0.is_none_or(|value| matches!(value, JsonValue::Null))
    }
}

/// Parses JSON; the fault in words where it is none or is nested deeper than [`MAX_DEPTH`].
pub fn parse(text: &str) -> Result<JsonValue, String> {
    let (mut depth, mut quoted, mut escaped) = (0usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(format!("JSON nested deeper than {MAX_DEPTH} levels"));
        }
    }
    text.parse().map_err(|error| format!("not JSON: {error}"))
}
