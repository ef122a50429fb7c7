//! Parses JSON of any origin within limits: text nested so deeply that parsing it could exhaust the stack is
//! rejected. Missing values read as null.
#![warn(missing_docs)]

mod documents;

pub use documents::{Documents, Piece, TooLong};

use std::collections::HashMap;

use tinyjson::JsonValue;

/// Maximum nesting of JSON. Guards the stack: the parser recurses once per level.
pub const MAX_DEPTH: usize = 32;

/// A JSON value that may be absent; an absent value reads as null.
#[derive(Clone, Copy)]
pub struct Node<'a>(Option<&'a JsonValue>);

impl<'a> Node<'a> {
    /// Wraps a value.
    pub fn new(value: &'a JsonValue) -> Self {
        Node(Some(value))
    }

    /// Returns the value of an object's key.
    pub fn at(self, name: &str) -> Node<'a> {
        Node(self.0.and_then(|value| value.get::<HashMap<String, JsonValue>>()?.get(name)))
    }

    /// Returns the items of an array.
    pub fn items(self) -> Option<&'a [JsonValue]> {
        self.0?.get::<Vec<JsonValue>>().map(Vec::as_slice)
    }

    /// Returns a number.
    pub fn number(self) -> Option<f64> {
        self.0?.get::<f64>().copied()
    }

    /// Returns a string.
    pub fn text(self) -> Option<&'a str> {
        self.0?.get::<String>().map(String::as_str)
    }

    /// Returns a boolean; false if there is none.
    pub fn flag(self) -> bool {
        self.0.and_then(|value| value.get::<bool>()).copied().unwrap_or(false)
    }

    /// Returns true if the value is absent or null.
    pub fn is_null(self) -> bool {
        self.0.is_none_or(|value| matches!(value, JsonValue::Null))
    }
}

/// Parses JSON; returns a description of the error if the text is not JSON or is nested deeper than
/// [`MAX_DEPTH`].
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
