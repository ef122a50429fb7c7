//! The JSON form of etcd v3's gateway: keys and values in base64, 64-bit numbers as decimal strings, fields
//! of value zero omitted.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Deserializer, Serialize};

/// Path for range reads.
pub const RANGE: &str = "/v3/kv/range";
/// Path for transactions.
pub const TXN: &str = "/v3/kv/txn";
/// Path for watches.
pub const WATCH: &str = "/v3/watch";
/// Path for puts.
pub const PUT: &str = "/v3/kv/put";
/// Path for lease grants.
pub const GRANT: &str = "/v3/lease/grant";
/// Path for lease keep-alives.
pub const KEEP_ALIVE: &str = "/v3/lease/keepalive";
/// Path for lease revocations.
pub const REVOKE: &str = "/v3/lease/revoke";
/// Path for token requests.
pub const AUTHENTICATE: &str = "/v3/auth/authenticate";
/// Error code for a revision that has been compacted away (`OUT_OF_RANGE`).
const OUT_OF_RANGE: i64 = 11;
/// Error code for an invalid token (`UNAUTHENTICATED`).
const UNAUTHENTICATED: i64 = 16;

/// Texts of errors that a new token resolves, whatever their code: the registry sends some of them with the
/// code of an invalid argument, and cancels a watch with a text only.
const TOKEN_ERROR_TEXTS: [&str; 3] =
    ["invalid auth token", "revision of auth store is old", "user name is empty"];

/// Maximum length of a token (bytes); it is sent in the head of each request.
const MAX_TOKEN_BYTES: usize = 8 * 1024;

/// A revision of the registry; 0 for none.
pub type Revision = u64;

/// Deserializes a number written as a string or as a number.
fn number<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(String),
        Number(u64),
    }
    match Either::deserialize(from)? {
        Either::Number(number) => Ok(number),
        Either::Text(text) => {
            text.parse().map_err(|_| serde::de::Error::custom("string is not a decimal number"))
        }
    }
}

fn bytes<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    STANDARD.decode(text).map_err(|_| serde::de::Error::custom("not base64"))
}

/// The header of every response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The registry's cluster id; it changes when the data is restored into a new cluster.
    #[serde(deserialize_with = "number")]
    pub cluster_id: u64,
    /// The registry's revision when it made the response.
    #[serde(deserialize_with = "number")]
    pub revision: Revision,
}

/// A key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    /// The value; empty if the key was deleted.
    #[serde(deserialize_with = "bytes")]
    pub value: Vec<u8>,
    /// The revision that last changed the key.
    #[serde(deserialize_with = "number")]
    pub mod_revision: Revision,
}

/// One page of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Page {
    /// Its header.
    pub header: Header,
    /// Its keys, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether more keys follow.
    pub more: bool,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// Written.
    #[default]
    Put,
    /// Deleted, or expired with its lease.
    Delete,
}

/// A change of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Change {
    /// The kind.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The key, its value and the revision of the change.
    pub kv: KeyValue,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct WatchMessage {
    /// Its header.
    pub header: Header,
    /// The watch has been created.
    pub created: bool,
    /// The watch has been cancelled.
    pub canceled: bool,
    /// The oldest revision available, if the requested one has been compacted away.
    #[serde(deserialize_with = "number")]
    pub compact_revision: Revision,
    /// The registry's reason for the cancellation.
    pub cancel_reason: String,
    /// The message continues in the next one.
    pub fragment: bool,
    /// The changes, in order.
    pub events: Vec<Change>,
}

/// Error responses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The requested revision has been compacted away.
    Compacted,
    /// The token is missing, invalid or expired.
    Unauthenticated,
    /// Another error, with the registry's text.
    Other(String),
    /// A malformed response.
    Malformed(String),
}

/// An error as the gateway writes it; older versions write the text in `error`.
#[derive(Deserialize)]
struct Error {
    #[serde(default)]
    error: serde_json::Value,
    #[serde(default)]
    message: String,
    #[serde(default)]
    code: i64,
}

impl Error {
    fn refusal(self) -> Refusal {
        // In a watch the error is a nested object.
        if let serde_json::Value::Object(_) = &self.error {
            if let Ok(inner) = serde_json::from_value::<Error>(self.error.clone()) {
                return inner.refusal();
            }
        }
        let text =
            if self.message.is_empty() { self.error.as_str().unwrap_or_default() } else { &self.message };
        match self.code {
            OUT_OF_RANGE if text.contains("compacted") => Refusal::Compacted,
            UNAUTHENTICATED => Refusal::Unauthenticated,
            _ if needs_new_token(text) => Refusal::Unauthenticated,
            _ => Refusal::Other(text.chars().take(200).collect()),
        }
    }
}

/// Returns true if an error text means that a new token is needed.
pub fn needs_new_token(text: &str) -> bool {
    TOKEN_ERROR_TEXTS.iter().any(|error_text| text.contains(error_text))
}

/// Decodes a response; a response with an error is an error whatever its HTTP status.
fn decode<T: for<'de> Deserialize<'de>>(body: &[u8], wrapped: bool) -> Result<T, Refusal> {
    let malformed = |error: serde_json::Error| Refusal::Malformed(error.to_string());
    let value: serde_json::Value = serde_json::from_slice(body).map_err(malformed)?;
    // serde would decode an array as a struct whose fields are all absent.
    if !value.is_object() {
        return Err(Refusal::Malformed("not a JSON object".into()));
    }
    if value.get("error").is_some() || value.get("code").is_some() {
        return Err(serde_json::from_value::<Error>(value).map_err(malformed)?.refusal());
    }
    let value = match (wrapped, value) {
        (true, serde_json::Value::Object(mut object)) => {
            object.remove("result").ok_or_else(|| Refusal::Malformed("no field 'result'".into()))?
        }
        (_, value) => value,
    };
    serde_json::from_value(value).map_err(malformed)
}

/// Parses the response to a range read.
pub fn parse_page(body: &[u8]) -> Result<Page, Refusal> {
    decode(body, false)
}

/// Parses one line of a watch.
pub fn parse_watch_message(line: &[u8]) -> Result<WatchMessage, Refusal> {
    decode(line, true)
}

/// A range read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub from: Vec<u8>,
    /// End of the range (exclusive).
    pub to: Vec<u8>,
    /// The revision to read at; 0 for the present one.
    pub revision: Revision,
    /// Maximum number of keys in the response.
    pub limit: u64,
    /// Whether an endpoint may answer from its own state, without a quorum.
    pub serializable: bool,
}

impl Range {
    /// Returns the request body.
    pub fn body(&self) -> Vec<u8> {
        #[derive(Serialize)]
        struct Body {
            key: String,
            range_end: String,
            revision: String,
            limit: String,
            serializable: bool,
        }
        let body = Body {
            key: STANDARD.encode(&self.from),
            range_end: STANDARD.encode(&self.to),
            revision: self.revision.to_string(),
            limit: self.limit.to_string(),
            serializable: self.serializable,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

/// A conditional write of one key: it fails if another client has changed the key meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Vec<u8>,
    /// The revision that last changed the key, as far as is known; 0 if the key did not exist.
    pub revision: Revision,
    /// The new value; none deletes the key.
    pub value: Option<Vec<u8>>,
}

/// Returns the request body of a transaction that makes all of these writes, or none if one of the keys has
/// changed since its revision.
pub fn transaction_body(writes: &[Write]) -> Vec<u8> {
    let compare = |write: &Write| {
        serde_json::json!({"key": STANDARD.encode(&write.key), "target": "MOD", "result": "EQUAL",
            "mod_revision": write.revision.to_string()})
    };
    let step = |write: &Write| {
        let key = STANDARD.encode(&write.key);
        match &write.value {
            Some(value) => serde_json::json!({"request_put": {"key": key, "value": STANDARD.encode(value)}}),
            None => serde_json::json!({"request_delete_range": {"key": key}}),
        }
    };
    let compares: Vec<_> = writes.iter().map(compare).collect();
    let steps: Vec<_> = writes.iter().map(step).collect();
    serde_json::to_vec(&serde_json::json!({"compare": compares, "success": steps})).unwrap_or_default()
}

/// Parses the response to a transaction: whether it was carried out.
pub fn parse_transaction(body: &[u8]) -> Result<bool, Refusal> {
    #[derive(Default, Deserialize)]
    #[serde(default)]
    struct TransactionResponse {
        succeeded: bool,
    }
    decode::<TransactionResponse>(body, false).map(|response| response.succeeded)
}

/// Returns the request body for a token.
pub fn login_body(user: &str, password: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({"name": user, "password": password})).unwrap_or_default()
}

/// Parses the response to a token request.
pub fn parse_token(body: &[u8]) -> Result<String, Refusal> {
    #[derive(Default, Deserialize)]
    #[serde(default)]
    struct TokenResponse {
        token: String,
    }
    match decode::<TokenResponse>(body, false)?.token {
        token if token.is_empty() => Err(Refusal::Malformed("no token in the response".into())),
        token if token.len() > MAX_TOKEN_BYTES => Err(Refusal::Malformed("token too long".into())),
        token => Ok(token),
    }
}

/// A lease in a response; all zero in responses that only acknowledge a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LeaseGrant {
    /// The lease's id.
    #[serde(rename = "ID", deserialize_with = "number")]
    pub id: u64,
    /// Its TTL, or what is left of it (seconds); 0 if it has expired.
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub ttl: u64,
}

/// Returns the request body for a lease of `ttl` seconds.
pub fn grant_body(ttl: u64) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({"TTL": ttl.to_string()})).unwrap_or_default()
}

/// Returns the request body of a call about a lease.
pub fn lease_body(id: u64) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({"ID": id.to_string()})).unwrap_or_default()
}

/// Returns the request body that puts a key under a lease.
pub fn put_body(key: &[u8], value: &[u8], lease: u64) -> Vec<u8> {
    let body = serde_json::json!({"key": STANDARD.encode(key), "value": STANDARD.encode(value),
        "lease": lease.to_string()});
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Parses the response to a lease call, or to a call that is only acknowledged. The response to a keep-alive
/// is a line of a stream, like that of a watch.
pub fn parse_lease(body: &[u8], stream: bool) -> Result<LeaseGrant, Refusal> {
    decode(body, stream)
}

/// Returns the request body of a watch on all keys from `from` to `to` (exclusive), starting with a revision.
pub fn watch_body(from: &[u8], to: &[u8], revision: Revision) -> Vec<u8> {
    let create = serde_json::json!({"create_request": {
        "key": STANDARD.encode(from),
        "range_end": STANDARD.encode(to),
        "start_revision": revision.to_string(),
        "progress_notify": true,
        "fragment": true,
    }});
    serde_json::to_vec(&create).unwrap_or_default()
}

/// Returns the end of the range of all keys that begin with a prefix.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    // No upper bound.
    vec![0]
}
