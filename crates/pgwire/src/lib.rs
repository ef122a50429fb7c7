//! The form of PostgreSQL's protocol, version 3: bytes to messages and back. Nothing is decided here, and
//! nothing is read or written: that is the connections' part.

pub mod session;

use std::ops::Range;

use buffer::{Ring, MAX_BUFFER_BYTES};
use exchange::{Query, Statement};

/// Longest body of a message: its frame must fit a buffer together with it.
const LONGEST: usize = MAX_BUFFER_BYTES - 5;
/// Longest value, and the longest message of a db machine that holds a name or a tag, or any other text.
const LONGEST_VALUE: usize = 64 * 1024;
const LONGEST_NAME: usize = 1024;
const LONGEST_TEXT: usize = 8 * 1024;
/// Longest startup message: it holds a handful of names.
const LONGEST_STARTUP: usize = 10_000;
/// Most digits of a number in a statement's comment; keeps it far inside what a float holds exactly.
const MOST_DIGITS: usize = 15;

pub const PROTOCOL_VERSION: u32 = 3 << 16;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// SQLSTATE codes that are spoken or understood.
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
    pub const CONFIGURATION_LIMIT_EXCEEDED: &str = "53400";
    pub const INVALID_PASSWORD: &str = "28P01";
    pub const INVALID_AUTHORIZATION: &str = "28000";
}

/// One message, its type and what follows the length.
#[derive(Debug)]
pub struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

/// Why the bytes cannot be cut into messages; the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    Malformed,
    TooLong,
}

/// Takes the next whole message, if it is there.
pub fn read_message(ring: &mut Ring) -> Result<Option<Message>, FrameError> {
    let Some((kind, body)) = head(ring)? else { return Ok(None) };
    if body > LONGEST {
        return Err(FrameError::TooLong);
    }
    Ok(whole(ring, kind, body))
}

/// The type of the next message and the length of its body.
fn head(ring: &Ring) -> Result<Option<(u8, usize)>, FrameError> {
    let Some([kind, a, b, c, d]) = ring.peek() else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    let body = length.checked_sub(4).ok_or(FrameError::Malformed)?;
    Ok(Some((kind, body)))
}

/// Takes a message of that head, if all of it is there.
fn whole(ring: &mut Ring, kind: u8, body: usize) -> Option<Message> {
    (ring.len() >= body + 5).then(|| {
        ring.skip(5);
        Message { kind, body: ring.take(body) }
    })
}

/// Takes the next whole message of a db machine, if it is there. One that no db machine would send is found
/// out by its head, so far as that shows it: nobody waits for the rest of what will never be whole.
pub fn read_server_message(ring: &mut Ring) -> Result<Option<Message>, FrameError> {
    let first = ring.peek_up_to(1);
    let longest = match first.first() {
        None => return Ok(None),
        Some(b'D') => LONGEST_VALUE + 6,
        Some(b'E' | b'N' | b'S') => LONGEST_TEXT,
        Some(b'T' | b'C') => LONGEST_NAME,
        Some(b'R' | b'K') => 256,
        Some(b'Z') => 1,
        Some(_) => return Err(FrameError::Malformed),
    };
    let Some((kind, body)) = head(ring)? else { return Ok(None) };
    if body > longest {
        return Err(FrameError::TooLong);
    }
    if let (b'D', Some(row)) = (kind, ring.peek::<11>()) {
        column_length(&row[5..], body)?;
    }
    let Some(message) = whole(ring, kind, body) else { return Ok(None) };
    let sound = match kind {
        b'T' => described(&message.body),
        b'D' => read_single_column(&message.body).is_some(),
        b'C' => terminated(&message.body).is_some_and(|tag| tag.bytes().all(|b| (b' '..=b'~').contains(&b))),
        b'S' => read_parameter_status(&message.body).is_some(),
        b'Z' => message.body == [b'I'],
        _ => true,
    };
    if sound {
        Ok(Some(message))
    } else {
        Err(FrameError::Malformed)
    }
}

/// What a client's first message wants.
#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    Session,
    Encryption,
    /// What another connection does is to be ended, by that one's key.
    Cancel((u32, u32)),
    Unknown,
}

/// Takes a message without type, as clients send it first.
pub fn read_startup(ring: &mut Ring) -> Result<Option<Startup>, FrameError> {
    let Some(body) = untyped(ring)? else { return Ok(None) };
    Ok(Some(match u32::from_be_bytes([body[4], body[5], body[6], body[7]]) {
        SSL_REQUEST | GSS_REQUEST => Startup::Encryption,
        CANCEL_REQUEST => Startup::Cancel(session::read_backend_key(&body[8..]).unwrap_or_default()),
        version if version >> 16 == PROTOCOL_VERSION >> 16 => Startup::Session,
        _ => Startup::Unknown,
    }))
}

/// Takes a whole message without type: eight bytes at least, its length among them.
fn untyped(ring: &mut Ring) -> Result<Option<Vec<u8>>, FrameError> {
    let Some([a, b, c, d]) = ring.peek() else { return Ok(None) };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length < 8 {
        return Err(FrameError::Malformed);
    }
    if length > LONGEST_STARTUP {
        return Err(FrameError::TooLong);
    }
    Ok((ring.len() >= length).then(|| ring.take(length)))
}

/// Writes one message: its type, then whatever `body` appends.
fn frame(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend([0; 4]);
    body(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.as_bytes());
    out.push(0);
}

/// The first message to a db machine.
pub fn startup_message(user: &str, database: &str) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend(PROTOCOL_VERSION.to_be_bytes());
    for word in ["user", user, "database", database] {
        text(&mut out, word);
    }
    out.push(0);
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// The answer to a client's startup message, up to and with ReadyForQuery; the key is that by which it may ask for its request to
/// be cancelled.
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
            text(out, name);
            text(out, value);
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

/// An ErrorResponse; `detail` goes into the field D.
pub fn error_response(severity: &str, code: &str, what: &str, detail: Option<&str>) -> Vec<u8> {
    let mut out = Vec::new();
    frame(&mut out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', what)] {
            out.push(field);
            text(out, value);
        }
        if let Some(detail) = detail {
            out.push(b'D');
            text(out, detail);
        }
        out.push(0);
    });
    out
}

/// Appends a message as it came.
pub fn append_message(out: &mut Vec<u8>, message: &Message) {
    frame(out, message.kind, |out| out.extend(&message.body));
}

/// A message that ends with a zero, without it.
fn terminated(body: &[u8]) -> Option<&str> {
    let (last, rest) = body.split_last()?;
    let text = std::str::from_utf8(rest).ok()?;
    (*last == 0 && !text.contains('\0')).then_some(text)
}

/// The code and the severity of an ErrorResponse.
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

/// Name and value of a ParameterStatus.
pub fn read_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    std::str::from_utf8(body)
        .ok()?
        .strip_suffix('\0')?
        .split_once('\0')
        .filter(|(_, value)| !value.contains('\0'))
}

/// Whether a RowDescription tells of one column: a name that ends, and 18 bytes of numbers.
fn described(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).and_then(|field| field.get(..field.len().checked_sub(18)?));
    name.and_then(terminated).is_some()
}

/// The only column of a DataRow; none where its length is not that of the message.
pub fn read_single_column(body: &[u8]) -> Option<&[u8]> {
    column_length(body, body.len()).ok()?;
    body.get(6..)
}

/// Looks whether the head of a DataRow's body tells of one column that fills all of it.
fn column_length(head: &[u8], body: usize) -> Result<(), FrameError> {
    match head.first_chunk() {
        Some([0, 1, a, b, c, d]) if u32::from_be_bytes([*a, *b, *c, *d]) as usize + 6 == body => Ok(()),
        _ => Err(FrameError::Malformed),
    }
}

/// A query message of a client.
#[derive(Debug)]
pub enum ClientQuery {
    Empty,
    Query(Box<Query>),
}

/// Reads the body of a query message; what is wrong with it where it is not of the agreed form.
pub fn parse_client_query(body: &[u8]) -> Result<ClientQuery, &'static str> {
    let sql = terminated(body).ok_or("a query must be UTF-8 and end with its only zero")?;
    if sql.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() {
        return Ok(ClientQuery::Empty);
    }
    let start = sql.find("/*").filter(|at| sql[..*at].trim().is_empty()).ok_or("no leading comment")?;
    let end = sql.find("*/").filter(|at| *at >= start + 2).ok_or("the comment does not end")?;
    let rest = &sql[end + 2..];
    if rest.trim_matches([' ', '\t', '\r', '\n', ';']).is_empty() {
        return Err("no statement behind the comment");
    }
    let (mut id, mut class, mut tenant, mut group, mut patience) = (None, None, None, None, None);
    let (mut keyed, mut repeat, mut after) = (None, None, None);
    let mut at = start + 2;
    for pair in sql[start + 2..end].split(',') {
        let (name, value) = pair.split_once('=').ok_or("the comment is not made of names and values")?;
        let from = at + name.len() + 1;
        at += pair.len() + 1;
        let lead = value.len() - value.trim_start().len();
        let (name, value) = (name.trim(), value.trim());
        let place = from + lead..from + lead + value.len();
        let slot = match name {
            "id" => &mut id,
            "c" => &mut class,
            "t" => &mut tenant,
            "cluster" => &mut group,
            "d" => &mut patience,
            "k" => &mut keyed,
            "r" => &mut repeat,
            "after" => &mut after,
            _ => continue,
        };
        if value.is_empty() || slot.replace((value, place)).is_some() {
            return Err("a value of the comment is empty or there twice");
        }
    }
    let need = |value: Option<(&str, Range<usize>)>| value.map(|(value, _)| value.to_string());
    let (patience, place) = patience.ok_or("no d in the comment")?;
    let millis = |text: &str| {
        let text = Some(text).filter(|d| d.len() <= MOST_DIGITS && d.bytes().all(|b| b.is_ascii_digit()));
        text.and_then(|digits| digits.parse::<u64>().ok()).map(|millis| millis as f64 / 1000.0)
    };
    // One that cannot be read must not pass for none: the read would be answered from behind its own write.
    let after = match after {
        Some((position, _)) => Some(millis(position).ok_or("after is not a position in milliseconds")?),
        None => None,
    };
    let group = group.and_then(|(group, _)| group.parse().ok()).ok_or("no group number in the comment")?;
    Ok(ClientQuery::Query(Box::new(Query {
        id: need(id).ok_or("no id in the comment")?,
        class: need(class).ok_or("no class in the comment")?,
        tenant: need(tenant).unwrap_or_default(),
        group,
        timeout: millis(patience)
            .filter(|seconds| *seconds > 0.0)
            .ok_or("d is not a number of milliseconds above 0")?,
        has_idempotency_key: keyed.is_some(),
        repeat: repeat.is_some_and(|(value, _)| value == "1"),
        required_position: after,
        session_key: rest.split('\'').nth(1).filter(|_| rest.matches('\'').count() >= 2).map(String::from),
        statement: Statement::new(sql.into(), place),
    })))
}
