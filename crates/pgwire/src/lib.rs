//! PostgreSQL's protocol, version 3: parses and serializes messages. This crate does no I/O and makes no
//! decisions; the connections do.

pub mod session;

use std::ops::Range;

use buffer::{Ring, MAX_BUFFER_BYTES};
use exchange::{Query, Statement};

/// Maximum length of a message body: the message with its header must fit into a buffer.
const MAX_BODY_BYTES: usize = MAX_BUFFER_BYTES - 5;
/// Maximum length of a value, of a name or command tag, and of any other text from a member (bytes).
const MAX_VALUE_BYTES: usize = 64 * 1024;
const MAX_NAME_BYTES: usize = 1024;
const MAX_TEXT_BYTES: usize = 8 * 1024;
/// Maximum length of a startup message (bytes), which contains a few names and values.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Maximum number of digits of a number in a statement's comment; such a number is represented exactly by a
/// float.
const MAX_DIGITS: usize = 15;

/// Length of a message's type and length fields, and of the length field of a first message (bytes).
const MESSAGE_HEADER_BYTES: usize = 5;
const STARTUP_HEADER_BYTES: usize = 4;

pub const PROTOCOL_VERSION: u32 = 3 << 16;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// SQLSTATE codes that the pooler sends or interprets.
pub mod sqlstate {
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const READ_ONLY_TRANSACTION: &str = "25006";
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    pub const SYSTEM_ERROR: &str = "58000";
    pub const SYNTAX_ERROR: &str = "42601";
    pub const INVALID_PARAMETER_VALUE: &str = "22023";
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
    pub const OUT_OF_MEMORY: &str = "53200";
    pub const CONNECTION_FAILURE: &str = "08006";
    pub const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";
    pub const INVALID_STATEMENT_NAME: &str = "26000";
    pub const DUPLICATE_STATEMENT: &str = "42P05";
    pub const IN_FAILED_TRANSACTION: &str = "25P02";
    pub const IDLE_IN_TRANSACTION_TIMEOUT: &str = "25P03";
    pub const QUERY_CANCELED: &str = "57014";
    pub const ADMIN_SHUTDOWN: &str = "57P01";
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    pub const CONFIGURATION_LIMIT_EXCEEDED: &str = "53400";
    pub const INVALID_PASSWORD: &str = "28P01";
    pub const INVALID_AUTHORIZATION: &str = "28000";
}

/// A message: its type and the body that follows the length.
#[derive(Debug)]
pub struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

/// Why bytes cannot be split into messages; the connection cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    Malformed,
    TooLong,
}

/// Takes the next message, if it is complete.
pub fn read_message(ring: &mut Ring) -> Result<Option<Message>, FrameError> {
    let Some((kind, body)) = peek_header(ring)? else { return Ok(None) };
    if body > MAX_BODY_BYTES {
        return Err(FrameError::TooLong);
    }
    Ok(take_message(ring, kind, body))
}

/// Returns the type of the next message and the length of its body.
fn peek_header(ring: &Ring) -> Result<Option<(u8, usize)>, FrameError> {
    let Some([kind, a, b, c, d]) = ring.peek() else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    let body = length.checked_sub(4).ok_or(FrameError::Malformed)?;
    Ok(Some((kind, body)))
}

/// Takes a message with that header, if it is complete.
fn take_message(ring: &mut Ring, kind: u8, body: usize) -> Option<Message> {
    (ring.len() >= body + 5).then(|| {
        ring.skip(5);
        Message { kind, body: ring.take(body) }
    })
}

/// Takes the next message of a member, if it is complete. A message that no member would send is rejected by
/// its header where possible, so that the pooler does not wait for the rest of a message that never
/// completes.
pub fn read_server_message(ring: &mut Ring) -> Result<Option<Message>, FrameError> {
    let first = ring.peek_up_to(1);
    let max_length = match first.first() {
        None => return Ok(None),
        Some(b'D') => MAX_VALUE_BYTES + 6,
        Some(b'E' | b'N' | b'S') => MAX_TEXT_BYTES,
        Some(b'T' | b'C') => MAX_NAME_BYTES,
        Some(b'R' | b'K') => 256,
        Some(b'Z') => 1,
        Some(_) => return Err(FrameError::Malformed),
    };
    let Some((kind, body)) = peek_header(ring)? else { return Ok(None) };
    if body > max_length {
        return Err(FrameError::TooLong);
    }
    if let (b'D', Some(row)) = (kind, ring.peek::<11>()) {
        check_single_column(&row[5..], body)?;
    }
    let Some(message) = take_message(ring, kind, body) else { return Ok(None) };
    let valid = match kind {
        b'T' => describes_single_column(&message.body),
        b'D' => read_single_column(&message.body).is_some(),
        b'C' => {
            parse_string(&message.body).is_some_and(|tag| tag.bytes().all(|b| (b' '..=b'~').contains(&b)))
        }
        b'S' => read_parameter_status(&message.body).is_some(),
        b'Z' => message.body == [b'I'],
        _ => true,
    };
    if valid {
        Ok(Some(message))
    } else {
        Err(FrameError::Malformed)
    }
}

/// Returns the length of the next message with its header, or of the header while that is incomplete (bytes).
pub fn message_length(ring: &Ring) -> usize {
    ring.peek().map_or(MESSAGE_HEADER_BYTES, |[_, a, b, c, d]| 1 + u32::from_be_bytes([a, b, c, d]) as usize)
}

/// Returns the length of a first message, which has no type byte, or of its length field while that is incomplete
/// (bytes).
pub fn startup_length(ring: &Ring) -> usize {
    ring.peek().map_or(STARTUP_HEADER_BYTES, |bytes| u32::from_be_bytes(bytes) as usize)
}

/// What a client requests in its first message.
#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    Session,
    Encryption,
    /// Cancel the request of another connection, identified by its key.
    Cancel((u32, u32)),
    Unknown,
}

/// Takes a client's first message, which has no type byte.
pub fn read_startup(ring: &mut Ring) -> Result<Option<Startup>, FrameError> {
    let Some(body) = take_untyped(ring)? else { return Ok(None) };
    Ok(Some(match u32::from_be_bytes([body[4], body[5], body[6], body[7]]) {
        SSL_REQUEST | GSS_REQUEST => Startup::Encryption,
        CANCEL_REQUEST => Startup::Cancel(session::read_backend_key(&body[8..]).unwrap_or_default()),
        version if version >> 16 == PROTOCOL_VERSION >> 16 => Startup::Session,
        _ => Startup::Unknown,
    }))
}

/// Takes a complete message without a type byte. It has at least eight bytes, including its length.
fn take_untyped(ring: &mut Ring) -> Result<Option<Vec<u8>>, FrameError> {
    let Some([a, b, c, d]) = ring.peek() else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length < 8 {
        return Err(FrameError::Malformed);
    }
    if length > MAX_STARTUP_BYTES {
        return Err(FrameError::TooLong);
    }
    Ok((ring.len() >= length).then(|| ring.take(length)))
}

/// Writes a message: the type, the length and the body that `body` appends.
fn frame(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend([0; 4]);
    body(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn push_string(out: &mut Vec<u8>, text: &str) {
    out.extend(text.as_bytes());
    out.push(0);
}

/// Returns the startup message to a member.
pub fn startup_message(user: &str, database: &str) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend(PROTOCOL_VERSION.to_be_bytes());
    for word in ["user", user, "database", database] {
        push_string(&mut out, word);
    }
    out.push(0);
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// Returns the response to a client's startup message, up to and including ReadyForQuery; with `key` the
/// client may request the cancellation of its query.
pub fn startup_response(key: (u32, u32)) -> Vec<u8> {
    let mut out = Vec::new();
    frame(&mut out, b'R', |out| out.extend([0; 4]));
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        frame(&mut out, b'S', |out| {
            push_string(out, name);
            push_string(out, value);
        });
    }
    out.extend(session::backend_key_data(key));
    out.extend(ready_for_query());
    out
}

pub fn ready_for_query() -> Vec<u8> {
    vec![b'Z', 0, 0, 0, 5, b'I']
}

pub fn empty_response() -> Vec<u8> {
    vec![b'I', 0, 0, 0, 4]
}

pub fn query(sql: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(sql.len() + 6);
    frame(&mut out, b'Q', |out| {
        out.extend(sql);
        out.push(0);
    });
    out
}

/// An ErrorResponse; `detail` is sent in the field D.
pub fn error_response(severity: &str, code: &str, what: &str, detail: Option<&str>) -> Vec<u8> {
    let mut out = Vec::new();
    frame(&mut out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', what)] {
            out.push(field);
            push_string(out, value);
        }
        if let Some(detail) = detail {
            out.push(b'D');
            push_string(out, detail);
        }
        out.push(0);
    });
    out
}

/// Appends a received message unchanged.
pub fn append_message(out: &mut Vec<u8>, message: &Message) {
    frame(out, message.kind, |out| out.extend(&message.body));
}

/// Returns the text of a body that is a single null-terminated string, without the terminator.
fn parse_string(body: &[u8]) -> Option<&str> {
    let (last, rest) = body.split_last()?;
    let text = std::str::from_utf8(rest).ok()?;
    (*last == 0 && !text.contains('\0')).then_some(text)
}

/// Returns the SQLSTATE code of an ErrorResponse, and true if its severity is FATAL or PANIC.
pub fn error_code(body: &[u8]) -> (String, bool) {
    let (mut code, mut fatal) = (String::new(), false);
    for field in body.split(|byte| *byte == 0).filter(|field| !field.is_empty()) {
        let value = String::from_utf8_lossy(&field[1..]);
        match field[0] {
            b'C' => code = value.into_owned(),
            b'S' | b'V' => fatal |= matches!(&*value, "FATAL" | "PANIC"),
            _ => {}
        }
    }
    (code, fatal)
}

/// Returns the name and the value of a ParameterStatus.
pub fn read_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    std::str::from_utf8(body)
        .ok()?
        .strip_suffix('\0')?
        .split_once('\0')
        .filter(|(_, value)| !value.contains('\0'))
}

/// Returns true if a RowDescription describes exactly one column: a null-terminated name and 18 bytes of
/// numbers.
fn describes_single_column(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).and_then(|field| field.get(..field.len().checked_sub(18)?));
    name.and_then(parse_string).is_some()
}

/// Returns the only column of a DataRow; `None` if the column's length does not match that of the message.
pub fn read_single_column(body: &[u8]) -> Option<&[u8]> {
    check_single_column(body, body.len()).ok()?;
    body.get(6..)
}

/// Checks that the header of a DataRow's body describes one column that fills the entire body.
fn check_single_column(header: &[u8], body: usize) -> Result<(), FrameError> {
    match header.first_chunk() {
        Some([0, 1, a, b, c, d]) if u32::from_be_bytes([*a, *b, *c, *d]) as usize + 6 == body => Ok(()),
        _ => Err(FrameError::Malformed),
    }
}

/// A client's query message.
#[derive(Debug)]
pub enum ClientQuery {
    Empty,
    Query(Box<Query>),
}

/// Parses the body of a query message; returns what is wrong with a malformed one.
pub fn parse_client_query(body: &[u8]) -> Result<ClientQuery, &'static str> {
    let sql = parse_string(body).ok_or("a query must be UTF-8 and end with its only zero")?;
    if sql.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() {
        return Ok(ClientQuery::Empty);
    }
    let start = sql.find("/*").filter(|at| sql[..*at].trim().is_empty()).ok_or("no leading comment")?;
    let end = sql.find("*/").filter(|at| *at >= start + 2).ok_or("the comment does not end")?;
    let rest = &sql[end + 2..];
    if rest.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() {
        return Err("no statement behind the comment");
    }
    let (mut id, mut class, mut tenant, mut group, mut timeout) = (None, None, None, None, None);
    let (mut idempotency_key, mut repeat, mut required_position) = (None, None, None);
    let mut at = start + 2;
    for pair in sql[start + 2..end].split(',') {
        let (name, value) = pair.split_once('=').ok_or("the comment is not made of names and values")?;
        let from = at + name.len() + 1;
        at += pair.len() + 1;
        let lead = value.len() - value.trim_start().len();
        let (name, value) = (name.trim(), value.trim());
        let range = from + lead..from + lead + value.len();
        let slot = match name {
            "id" => &mut id,
            "c" => &mut class,
            "t" => &mut tenant,
            "cluster" => &mut group,
            "d" => &mut timeout,
            "k" => &mut idempotency_key,
            "r" => &mut repeat,
            "after" => &mut required_position,
            _ => continue,
        };
        if value.is_empty() || slot.replace((value, range)).is_some() {
            return Err("a value of the comment is empty or there twice");
        }
    }
    let owned = |value: Option<(&str, Range<usize>)>| value.map(|(value, _)| value.to_string());
    let (timeout, range) = timeout.ok_or("no d in the comment")?;
    let millis = |text: &str| {
        let text = Some(text).filter(|d| d.len() <= MAX_DIGITS && d.bytes().all(|b| b.is_ascii_digit()));
        text.and_then(|digits| digits.parse::<u64>().ok()).map(|millis| millis as f64 / 1000.0)
    };
    // A position that cannot be parsed must not count as none: the read could miss the client's own write.
    let required_position = match required_position {
        Some((position, _)) => Some(millis(position).ok_or("after is not a position in milliseconds")?),
        None => None,
    };
    let group = group.and_then(|(group, _)| group.parse().ok()).ok_or("no group number in the comment")?;
    Ok(ClientQuery::Query(Box::new(Query {
        id: owned(id).ok_or("no id in the comment")?,
        class: owned(class).ok_or("no class in the comment")?,
        tenant: owned(tenant).unwrap_or_default(),
        group,
        timeout: millis(timeout)
            .filter(|seconds| *seconds > 0.0)
            .ok_or("d is not a number of milliseconds above 0")?,
        has_idempotency_key: idempotency_key.is_some(),
        repeat: repeat.is_some_and(|(value, _)| value == "1"),
        required_position,
        session_key: rest.split('\'').nth(1).filter(|_| rest.matches('\'').count() >= 2).map(String::from),
        statement: Statement::new(sql.into(), range),
    })))
}
