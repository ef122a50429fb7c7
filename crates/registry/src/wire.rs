//! The form of etcd v3's JSON gateway: keys and values in base64, 64-bit numbers as decimal strings, fields of
//! value zero left out.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Deserializer, Serialize};

/// Where a range is read.
pub const RANGE: &str = "/v3/kv/range";
/// Where a transaction is made.
pub const TXN: &str = "/v3/kv/txn";
/// Where a watch is made.
pub const WATCH: &str = "/v3/watch";
/// Where a key is put under a lease.
pub const PUT: &str = "/v3/kv/put";
/// Where a lease is asked for, kept alive and ended.
pub const GRANT: &str = "/v3/lease/grant";
/// See [`GRANT`].
pub const KEEP_ALIVE: &str = "/v3/lease/keepalive";
/// See [`GRANT`].
pub const REVOKE: &str = "/v3/lease/revoke";
/// Where a token is asked for.
pub const AUTHENTICATE: &str = "/v3/auth/authenticate";
/// Code of an error that says that a revision has been compacted away (`OUT_OF_RANGE`).
const OUT_OF_RANGE: i64 = 11;
/// Code of an error that says that a token is not valid (`UNAUTHENTICATED`).
const UNAUTHENTICATED: i64 = 16;

/// Words of errors that a new token sets right, whatever their code: the registry gives some of them with a code
/// that says only that the call was wrong, and a watch is ended with words alone.
const TOKEN_WORDS: [&str; 3] = ["invalid auth token", "revision of auth store is old", "user name is empty"];

/// Longest token that is sent with each call (bytes); it goes into a request's head.
const LONGEST_TOKEN: usize = 8 * 1024;

/// A revision of the registry; 0 is none.
pub type Revision = u64;

/// A number that is written as a text, or as a number.
fn number<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(String),
        Number(u64),
    }
    match Either::deserialize(from)? {
        Either::Number(number) => Ok(number),
        Either::Text(text) => text.parse().map_err(|_| serde::de::Error::custom("not a number in a text")),
    }
}

fn bytes<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    STANDARD.decode(text).map_err(|_| serde::de::Error::custom("not base64"))
}

/// What stands above every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Which registry it is; another number after a restore from elsewhere.
    #[serde(deserialize_with = "number")]
    pub cluster_id: u64,
    /// Its revision as the answer was made.
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
    /// The value; empty in the event of a deletion.
    #[serde(deserialize_with = "bytes")]
    pub value: Vec<u8>,
    /// The revision that wrote it last.
    #[serde(deserialize_with = "number")]
    pub mod_revision: Revision,
}

/// A page of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Page {
    /// Its header.
    pub header: Header,
    /// Its keys, in their order.
    pub kvs: Vec<KeyValue>,
    /// Whether there are more behind the last.
    pub more: bool,
}

/// What happened to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// Written.
    #[default]
    Put,
    /// Deleted, or its lease has run out.
    Delete,
}

/// One change of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Change {
    /// What happened.
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
    /// The watch is there.
    pub created: bool,
    /// The watch is over.
    pub canceled: bool,
    /// The oldest revision that is left, where what was asked for is not.
    #[serde(deserialize_with = "number")]
    pub compact_revision: Revision,
    /// Why it is over, in the registry's words.
    pub cancel_reason: String,
    /// More of the same revisions follows in the next message.
    pub fragment: bool,
    /// The changes, in their order.
    pub events: Vec<Change>,
}

/// What a registry answers in place of what was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The revision asked for has been compacted away.
    Compacted,
    /// The token is not valid (any more).
    Unauthenticated,
    /// Something else, in its words.
    Other(String),
    /// Not of the agreed form.
    Malformed(String),
}

/// An error as the gateway words it; older ones give the text in `error`.
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
        // In a watch the error is an object of its own.
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

/// Whether words of the registry's say that a new token is needed.
pub fn needs_new_token(text: &str) -> bool {
    TOKEN_WORDS.iter().any(|words| text.contains(words))
}

/// Whether an answer is an error, whatever its status says; else the thing itself.
fn decode<T: for<'de> Deserialize<'de>>(body: &[u8], wrapped: bool) -> Result<T, Refusal> {
    let malformed = |error: serde_json::Error| Refusal::Malformed(error.to_string());
    let value: serde_json::Value = serde_json::from_slice(body).map_err(malformed)?;
    // Decoding a struct would take an array for one whose fields are all absent.
    if !value.is_object() {
        return Err(Refusal::Malformed("not an object".into()));
    }
    if value.get("error").is_some() || value.get("code").is_some() {
        return Err(serde_json::from_value::<Error>(value).map_err(malformed)?.refusal());
    }
    let value = match (wrapped, value) {
        (true, serde_json::Value::Object(mut object)) => {
            object.remove("result").ok_or_else(|| Refusal::Malformed("no result".into()))?
        }
        (_, value) => value,
    };
    serde_json::from_value(value).map_err(malformed)
}

/// Reads the answer to a range.
pub fn parse_page(body: &[u8]) -> Result<Page, Refusal> {
    decode(body, false)
}

/// Reads one line of a watch.
pub fn parse_watch_message(line: &[u8]) -> Result<WatchMessage, Refusal> {
    decode(line, true)
}

/// A range to be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// From this key on ...
    pub from: Vec<u8>,
    /// ... up to, and without, this one.
    pub to: Vec<u8>,
    /// As of this revision; the present one where it is 0.
    pub revision: Revision,
    /// Most keys in the answer.
    pub limit: u64,
    /// Whether an endpoint may answer from what it has, without asking the others.
    pub serializable: bool,
}

impl Range {
    /// The call's body.
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

/// One key to be written, if nobody else has done so meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Vec<u8>,
    /// The revision that wrote it last, as far as is known; 0 where it was not there.
    pub revision: Revision,
    /// Its new value; deleted where there is none.
    pub value: Option<Vec<u8>>,
}

/// The body of a transaction that makes all of these writes, or none where one of the keys is not as its revision
/// left it.
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

/// Reads the answer to a transaction: whether it was carried out.
pub fn parse_transaction(body: &[u8]) -> Result<bool, Refusal> {
    #[derive(Default, Deserialize)]
    #[serde(default)]
    struct Written {
        succeeded: bool,
    }
    decode::<Written>(body, false).map(|written| written.succeeded)
}

/// The body of a call for a token.
pub fn login_body(user: &str, password: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({"name": user, "password": password})).unwrap_or_default()
}

/// Reads the answer to a call for a token.
pub fn parse_token(body: &[u8]) -> Result<String, Refusal> {
    #[derive(Default, Deserialize)]
    #[serde(default)]
    struct Given {
        token: String,
    }
    match decode::<Given>(body, false)?.token {
        token if token.is_empty() => Err(Refusal::Malformed("no token".into())),
        token if token.len() > LONGEST_TOKEN => Err(Refusal::Malformed("a token far too long".into())),
        token => Ok(token),
    }
}

/// A lease as the registry tells of it; all zero in the answer to a call that only says that it was done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LeaseGrant {
    /// Its number.
    #[serde(rename = "ID", deserialize_with = "number")]
    pub id: u64,
    /// Its length, or what is left of it (seconds); 0 for one that is over.
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub length: u64,
}

/// The body of a call for a lease of so many seconds.
pub fn grant_body(length: u64) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({"TTL": length.to_string()})).unwrap_or_default()
}

/// The body of a call about a lease.
pub fn lease_body(id: u64) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({"ID": id.to_string()})).unwrap_or_default()
}

/// The body of a call that puts a key under a lease.
pub fn put_body(key: &[u8], value: &[u8], lease: u64) -> Vec<u8> {
    let body = serde_json::json!({"key": STANDARD.encode(key), "value": STANDARD.encode(value),
        "lease": lease.to_string()});
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Reads the answer to a call about a lease, or to one that only says that it was done. That to a call which keeps
/// one alive is a line of a stream, like a watch's.
pub fn parse_lease(body: &[u8], stream: bool) -> Result<LeaseGrant, Refusal> {
    decode(body, stream)
}

/// The body of a call that watches all keys from one up to another, from a revision on.
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

/// The end of a range of all keys that begin with a prefix.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    // All keys there are.
    vec![0]
}
