//! Messages between ordinary clients, the pooler and the servers: the full protocol as far as a pooler has to
//! interpret it.

use buffer::Ring;

use crate::{
    peek_header, push_string, take_message, take_untyped, FrameError, Message, CANCEL_REQUEST, GSS_REQUEST,
    PROTOCOL_VERSION, SSL_REQUEST,
};

/// Maximum length of a server's message that is buffered completely (bytes); rows and copied data are
/// forwarded in parts.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Maximum number of bytes of a message that are forwarded in one part. A message within this size is
/// forwarded as a whole.
const MAX_PART_BYTES: usize = 8 * 1024;
/// Maximum length of a message that is forwarded in parts (bytes): the protocol's own limit for a row.
const MAX_FORWARDED_MESSAGE_BYTES: usize = 1 << 30;
/// Length of a message's type and length fields (bytes).
const HEADER_BYTES: usize = 5;
/// Maximum number of options in a startup message.
const MAX_OPTIONS: usize = 64;

/// A client's first message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FirstMessage {
    /// Requests a session with these options (names and values).
    Session(Vec<(String, String)>),
    /// Requests encryption.
    Encryption,
    /// Requests the cancellation of a session's query: the session's number and secret.
    Cancel(u32, u32),
    /// Another protocol, or another version of this one.
    Unknown,
}

/// Takes a client's first message, which has no type byte.
pub fn read_startup(ring: &mut Ring) -> Result<Option<FirstMessage>, FrameError> {
    let Some(body) = take_untyped(ring)? else { return Ok(None) };
    let length = body.len();
    let word = |at: usize| body.get(at..at + 4).map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]));
    Ok(Some(match word(4) {
        Some(SSL_REQUEST | GSS_REQUEST) if length == 8 => FirstMessage::Encryption,
        Some(CANCEL_REQUEST) => match (word(8), word(12), length) {
            (Some(number), Some(secret), 16) => FirstMessage::Cancel(number, secret),
            _ => return Err(FrameError::Malformed),
        },
        Some(version) if version >> 16 == PROTOCOL_VERSION >> 16 => {
            FirstMessage::Session(options(&body[8..]).ok_or(FrameError::Malformed)?)
        }
        _ => FirstMessage::Unknown,
    }))
}

/// Parses null-terminated names and values, followed by one more null byte.
fn options(body: &[u8]) -> Option<Vec<(String, String)>> {
    let strings = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?;
    if strings.is_empty() {
        return Some(Vec::new());
    }
    let strings: Vec<&str> = strings.strip_suffix('\0')?.split('\0').collect();
    if !strings.len().is_multiple_of(2) || strings.len() > 2 * MAX_OPTIONS {
        return None;
    }
    Some(strings.chunks(2).map(|pair| (pair[0].to_string(), pair[1].to_string())).collect())
}

/// A unit of data from a server.
#[derive(Debug)]
pub enum Piece {
    /// A complete message.
    Message(Message),
    /// Bytes of a row or of copied data, including the message header at the beginning, to be forwarded
    /// unchanged.
    Part {
        /// The bytes.
        bytes: Vec<u8>,
        /// Whether the message is complete with them.
        is_last: bool,
    },
}

impl Piece {
    /// Returns the number of bytes that the piece takes on the wire.
    pub fn wire_length(&self) -> usize {
        match self {
            Piece::Message(message) => message.body.len() + HEADER_BYTES,
            Piece::Part { bytes, .. } => bytes.len(),
        }
    }
}

/// Splits a server's data into messages.
#[derive(Debug, Default)]
pub struct ServerMessageReader {
    /// Remaining bytes of a message that is forwarded in parts.
    remaining: usize,
}

impl ServerMessageReader {
    /// Returns the next piece, if one is available.
    pub fn next(&mut self, ring: &mut Ring) -> Result<Option<Piece>, FrameError> {
        if self.remaining == 0 {
            let Some((kind, body)) = peek_header(ring)? else { return Ok(None) };
            match kind {
                b'D' | b'd' if body > MAX_FORWARDED_MESSAGE_BYTES => return Err(FrameError::TooLong),
                b'D' | b'd' if body + HEADER_BYTES <= MAX_PART_BYTES && ring.len() < body + HEADER_BYTES => {
                    return Ok(None);
                }
                b'D' | b'd' => self.remaining = body + HEADER_BYTES,
                b'R' | b'S' | b'K' | b'Z' | b'1' | b'2' | b'3' | b'C' | b'E' | b'N' | b'A' | b'G' | b'H'
                | b'W' | b'I' | b'n' | b's' | b't' | b'T' | b'V' | b'c' | b'v' => {
                    if body > MAX_MESSAGE_BYTES {
                        return Err(FrameError::TooLong);
                    }
                    return Ok(take_message(ring, kind, body).map(Piece::Message));
                }
                _ => return Err(FrameError::Malformed),
            }
        }
        let bytes = ring.take(self.remaining.min(MAX_PART_BYTES));
        self.remaining -= bytes.len();
        Ok((!bytes.is_empty()).then_some(Piece::Part { bytes, is_last: self.remaining == 0 }))
    }
}

/// Splits a null-terminated string off the front of a body.
fn split_string(body: &[u8]) -> Option<(&str, &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    Some((std::str::from_utf8(&body[..end]).ok()?, &body[end + 1..]))
}

/// Returns the text of a simple query.
pub fn read_query(body: &[u8]) -> Option<&str> {
    split_string(body).filter(|(_, rest)| rest.is_empty()).map(|(text, _)| text)
}

/// Returns the name, the text and the unparsed parameter types of a Parse message.
pub fn read_parse(body: &[u8]) -> Option<(&str, &str, &[u8])> {
    let (name, rest) = split_string(body)?;
    let (text, types) = split_string(rest)?;
    let count = usize::from(u16::from_be_bytes(*types.first_chunk()?));
    (types.len() == 2 + 4 * count).then_some((name, text, types))
}

/// Returns the portal and the statement of a Bind message, and the rest of it.
pub fn read_bind(body: &[u8]) -> Option<(&str, &str, &[u8])> {
    let (portal, rest) = split_string(body)?;
    let (statement, rest) = split_string(rest)?;
    (rest.len() >= 6).then_some((portal, statement, rest))
}

/// Returns the kind (`S` for statement or `P` for portal) and the name of a Describe or Close message.
pub fn read_target(body: &[u8]) -> Option<(u8, &str)> {
    let (kind, rest) = body.split_first()?;
    let name = read_query(rest)?;
    matches!(kind, b'S' | b'P').then_some((*kind, name))
}

/// Returns the portal of an Execute message.
pub fn read_execute(body: &[u8]) -> Option<&str> {
    split_string(body).filter(|(_, rest)| rest.len() == 4).map(|(portal, _)| portal)
}

/// Returns the tag of a CommandComplete message.
pub fn read_command_tag(body: &[u8]) -> &str {
    read_query(body).unwrap_or_default()
}

/// Returns the message text of an ErrorResponse.
pub fn read_error_text(body: &[u8]) -> String {
    let field = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'M'));
    field.map(|field| String::from_utf8_lossy(&field[1..]).into_owned()).unwrap_or_default()
}

/// Returns true if an ErrorResponse tells in which context, such as a function, the error occurred.
pub fn has_error_context(body: &[u8]) -> bool {
    body.split(|byte| *byte == 0).any(|field| field.first() == Some(&b'W'))
}

fn build_message(kind: u8, body: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    crate::frame(&mut out, kind, body);
    out
}

/// A message of null-terminated strings, followed by `rest`.
pub fn message_of_strings(kind: u8, texts: &[&str], rest: &[u8]) -> Vec<u8> {
    build_message(kind, |out| {
        texts.iter().for_each(|word| push_string(out, word));
        out.extend(rest);
    })
}

/// A Describe or Close message for a statement (`S`) or a portal (`P`).
pub fn target_message(kind: u8, of: u8, name: &str) -> Vec<u8> {
    build_message(kind, |out| {
        out.push(of);
        push_string(out, name);
    })
}

/// A message with an empty body, such as Sync, Flush or ParseComplete.
pub fn empty_message(kind: u8) -> Vec<u8> {
    vec![kind, 0, 0, 0, 4]
}

/// Serializes a received message unchanged.
pub fn copy_message(message: &Message) -> Vec<u8> {
    build_message(message.kind, |out| out.extend(&message.body))
}

/// ParameterDescription of a statement without parameters.
pub fn no_parameters() -> Vec<u8> {
    vec![b't', 0, 0, 0, 6, 0, 0]
}

/// ReadyForQuery with the transaction status `I`, `T` or `E`.
pub fn ready_for_query(status: u8) -> Vec<u8> {
    vec![b'Z', 0, 0, 0, 5, status]
}

/// Requests TLS of a server, which answers with one byte, `S` or `N`.
pub fn ssl_request() -> Vec<u8> {
    [8, SSL_REQUEST].iter().flat_map(|word: &u32| word.to_be_bytes()).collect()
}

/// Returns the startup message to a server, with options (names and values).
pub fn startup_message(options: &[(&str, &str)]) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend(PROTOCOL_VERSION.to_be_bytes());
    for (name, value) in options {
        push_string(&mut out, name);
        push_string(&mut out, value);
    }
    out.push(0);
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// Requests the cancellation of a connection's query.
pub fn cancel_request((number, secret): (u32, u32)) -> Vec<u8> {
    [16, CANCEL_REQUEST, number, secret].iter().flat_map(|word| word.to_be_bytes()).collect()
}

/// Returns the key with which a connection's query can be cancelled.
pub fn backend_key_data((number, secret): (u32, u32)) -> Vec<u8> {
    build_message(b'K', |out| [number, secret].iter().for_each(|word| out.extend(word.to_be_bytes())))
}

/// Parses the body of a BackendKeyData message.
pub fn read_backend_key(body: &[u8]) -> Option<(u32, u32)> {
    let (number, rest) = body.split_first_chunk()?;
    let secret = rest.first_chunk()?;
    Some((u32::from_be_bytes(*number), u32::from_be_bytes(*secret)))
}

/// The authentication that a server requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authentication<'a> {
    /// None, or no further step.
    Complete,
    /// One of these mechanisms (a list of null-terminated names).
    Mechanisms(&'a [u8]),
    /// A response to this SASL challenge.
    SaslContinue(&'a str),
    /// The server's final SASL message, which needs no response.
    SaslFinal(&'a str),
    /// A method that is not supported.
    Other,
}

impl Authentication<'_> {
    /// Returns true if the server offers `mechanism`.
    pub fn offers(&self, mechanism: &str) -> bool {
        matches!(
            self,
            Authentication::Mechanisms(list)
                if list.split(|byte| *byte == 0).any(|m| m == mechanism.as_bytes())
        )
    }
}

/// Parses the body of an Authentication message.
pub fn read_authentication(body: &[u8]) -> Authentication<'_> {
    let Some((code, rest)) = body.split_first_chunk() else { return Authentication::Other };
    let utf8 = |rest| std::str::from_utf8(rest);
    match (u32::from_be_bytes(*code), rest) {
        (0, []) => Authentication::Complete,
        (10, list) => Authentication::Mechanisms(list),
        (11, step) => utf8(step).map_or(Authentication::Other, Authentication::SaslContinue),
        (12, last) => utf8(last).map_or(Authentication::Other, Authentication::SaslFinal),
        _ => Authentication::Other,
    }
}

/// Requests SASL authentication with one of these mechanisms.
pub fn authentication_sasl(mechanisms: &[&str]) -> Vec<u8> {
    let list: String = mechanisms.iter().map(|mechanism| format!("{mechanism}\0")).collect();
    message_of_strings(b'R', &[], &[&10u32.to_be_bytes()[..], list.as_bytes(), b"\0"].concat())
}

/// A SASL challenge of the server, or its final message.
pub fn authentication_sasl_step(last: bool, step: &str) -> Vec<u8> {
    message_of_strings(
        b'R',
        &[],
        &[&(if last { 12u32 } else { 11 }).to_be_bytes()[..], step.as_bytes()].concat(),
    )
}

/// Returns the client's initial SASL response.
pub fn sasl_initial_response(mechanism: &str, step: &str) -> Vec<u8> {
    message_of_strings(
        b'p',
        &[mechanism],
        &[&(step.len() as u32).to_be_bytes()[..], step.as_bytes()].concat(),
    )
}

/// Returns the mechanism and the initial response of a client.
pub fn read_sasl_initial_response(body: &[u8]) -> Option<(&str, &str)> {
    let (mechanism, rest) = split_string(body)?;
    let (length, step) = rest.split_first_chunk()?;
    (u32::from_be_bytes(*length) as usize == step.len()).then_some(())?;
    Some((mechanism, std::str::from_utf8(step).ok()?))
}
