//! Messages of ordinary clients and of servers behind them: the whole of the protocol, as far as a pooler in between
//! has to understand it.

use buffer::Ring;

use crate::{
    head, text, untyped, whole, FrameError, Message, CANCEL_REQUEST, GSS_REQUEST, PROTOCOL_VERSION,
    SSL_REQUEST,
};

/// Longest message of a server that is taken whole; rows and copied data are passed on in parts.
const LONGEST_WHOLE: usize = 128 * 1024;
/// Most bytes of a message that are passed on in one part.
const LONGEST_TAKEN: usize = 8 * 1024;
/// Longest message of a server at all: as long as the protocol's own bound on a row.
const LONGEST_PART: usize = 1 << 30;
/// Most names and values in a startup message.
const MOST_OPTIONS: usize = 64;

/// A client's first message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FirstMessage {
    /// It wants a session, with these names and values.
    Session(Vec<(String, String)>),
    /// It asks for encryption.
    Encryption,
    /// It wants what a session does to end: the session's number and its secret.
    Cancel(u32, u32),
    /// Another protocol, or another version of it.
    Unknown,
}

/// Takes a message without type, as clients send it first.
pub fn read_startup(ring: &mut Ring) -> Result<Option<FirstMessage>, FrameError> {
    let Some(body) = untyped(ring)? else { return Ok(None) };
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

/// Names and values, each with a zero behind it, and one more at the end.
fn options(body: &[u8]) -> Option<Vec<(String, String)>> {
    let words = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?;
    if words.is_empty() {
        return Some(Vec::new());
    }
    let words: Vec<&str> = words.strip_suffix('\0')?.split('\0').collect();
    if !words.len().is_multiple_of(2) || words.len() > 2 * MOST_OPTIONS {
        return None;
    }
    Some(words.chunks(2).map(|pair| (pair[0].to_string(), pair[1].to_string())).collect())
}

/// What comes from a server.
#[derive(Debug)]
pub enum Piece {
    /// A whole message.
    Message(Message),
    /// Bytes of a row or of copied data, with the head of it where it begins; to be passed on as they are.
    Part(Vec<u8>),
}

/// Takes a server's messages apart.
#[derive(Debug, Default)]
pub struct ServerMessageReader {
    /// Bytes left of a message that is passed on in parts.
    left: usize,
}

impl ServerMessageReader {
    /// The next piece that is there, if one is.
    pub fn next(&mut self, ring: &mut Ring) -> Result<Option<Piece>, FrameError> {
        if self.left == 0 {
            let Some((kind, body)) = head(ring)? else { return Ok(None) };
            match kind {
                b'D' | b'd' if body > LONGEST_PART => return Err(FrameError::TooLong),
                b'D' | b'd' => self.left = body + 5,
                b'R' | b'S' | b'K' | b'Z' | b'1' | b'2' | b'3' | b'C' | b'E' | b'N' | b'A' | b'G' | b'H'
                | b'W' | b'I' | b'n' | b's' | b't' | b'T' | b'V' | b'c' | b'v' => {
                    if body > LONGEST_WHOLE {
                        return Err(FrameError::TooLong);
                    }
                    return Ok(whole(ring, kind, body).map(Piece::Message));
                }
                _ => return Err(FrameError::Malformed),
            }
        }
        let bytes = ring.take(self.left.min(LONGEST_TAKEN));
        self.left -= bytes.len();
        Ok((!bytes.is_empty()).then_some(Piece::Part(bytes)))
    }

    /// Whether a message has begun to be passed on and is not whole.
    pub fn is_mid_message(&self) -> bool {
        self.left > 0
    }
}

/// Splits a text that ends with a zero off a body.
fn split(body: &[u8]) -> Option<(&str, &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    Some((std::str::from_utf8(&body[..end]).ok()?, &body[end + 1..]))
}

/// The text of a simple query.
pub fn read_query(body: &[u8]) -> Option<&str> {
    split(body).filter(|(_, rest)| rest.is_empty()).map(|(text, _)| text)
}

/// Name, text and the types of a Parse; the types are left as they are.
pub fn read_parse(body: &[u8]) -> Option<(&str, &str, &[u8])> {
    let (name, rest) = split(body)?;
    let (text, types) = split(rest)?;
    let count = usize::from(u16::from_be_bytes(*types.first_chunk()?));
    (types.len() == 2 + 4 * count).then_some((name, text, types))
}

/// Portal and statement of a Bind, and what follows them.
pub fn read_bind(body: &[u8]) -> Option<(&str, &str, &[u8])> {
    let (portal, rest) = split(body)?;
    let (statement, rest) = split(rest)?;
    (rest.len() >= 6).then_some((portal, statement, rest))
}

/// Kind (`S` or `P`) and name of a Describe or a Close.
pub fn read_target(body: &[u8]) -> Option<(u8, &str)> {
    let (kind, rest) = body.split_first()?;
    let name = read_query(rest)?;
    matches!(kind, b'S' | b'P').then_some((*kind, name))
}

/// The portal of an Execute.
pub fn read_execute(body: &[u8]) -> Option<&str> {
    split(body).filter(|(_, rest)| rest.len() == 4).map(|(portal, _)| portal)
}

/// The tag of a CommandComplete.
pub fn read_command_tag(body: &[u8]) -> &str {
    read_query(body).unwrap_or_default()
}

/// The message of an ErrorResponse.
pub fn read_error_text(body: &[u8]) -> String {
    let field = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'M'));
    field.map(|field| String::from_utf8_lossy(&field[1..]).into_owned()).unwrap_or_default()
}

fn message(kind: u8, body: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    crate::frame(&mut out, kind, body);
    out
}

/// A message of texts, each with a zero behind it, and of what follows them.
pub fn message_of_strings(kind: u8, texts: &[&str], rest: &[u8]) -> Vec<u8> {
    message(kind, |out| {
        texts.iter().for_each(|word| text(out, word));
        out.extend(rest);
    })
}

/// A Describe or a Close of a statement (`S`) or a portal (`P`).
pub fn target_message(kind: u8, of: u8, name: &str) -> Vec<u8> {
    message(kind, |out| {
        out.push(of);
        text(out, name);
    })
}

/// A message with nothing in it: Sync, Flush, ParseComplete and such.
pub fn empty_message(kind: u8) -> Vec<u8> {
    vec![kind, 0, 0, 0, 4]
}

/// A message as it came.
pub fn copy_message(came: &Message) -> Vec<u8> {
    message(came.kind, |out| out.extend(&came.body))
}

/// ReadyForQuery in a state of the transaction: `I`, `T` or `E`.
pub fn ready_for_query(status: u8) -> Vec<u8> {
    vec![b'Z', 0, 0, 0, 5, status]
}

/// Asks a server for TLS; it answers with one byte, `S` or `N`.
pub fn ssl_request() -> Vec<u8> {
    [8, SSL_REQUEST].iter().flat_map(|word: &u32| word.to_be_bytes()).collect()
}

/// The first message to a server, with names and values.
pub fn startup_message(options: &[(&str, &str)]) -> Vec<u8> {
    let mut out = vec![0; 4];
    out.extend(PROTOCOL_VERSION.to_be_bytes());
    for (name, value) in options {
        text(&mut out, name);
        text(&mut out, value);
    }
    out.push(0);
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// A request that what a connection does end.
pub fn cancel_request((number, secret): (u32, u32)) -> Vec<u8> {
    [16, CANCEL_REQUEST, number, secret].iter().flat_map(|word| word.to_be_bytes()).collect()
}

/// The key by which what a connection does can be ended.
pub fn backend_key_data((number, secret): (u32, u32)) -> Vec<u8> {
    message(b'K', |out| [number, secret].iter().for_each(|word| out.extend(word.to_be_bytes())))
}

/// Reads such a key.
pub fn read_backend_key(body: &[u8]) -> Option<(u32, u32)> {
    let (number, rest) = body.split_first_chunk()?;
    let secret = rest.first_chunk()?;
    Some((u32::from_be_bytes(*number), u32::from_be_bytes(*secret)))
}

/// What a server asks of whoever connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authentication<'a> {
    /// Nothing (more).
    Complete,
    /// One of these mechanisms, each with a zero behind it.
    Mechanisms(&'a [u8]),
    /// An answer to this step of the mechanism.
    SaslContinue(&'a str),
    /// Nothing but to take its last word.
    SaslFinal(&'a str),
    /// Something else.
    Other,
}

impl Authentication<'_> {
    /// Whether a mechanism is among those that are asked for.
    pub fn offers(&self, mechanism: &str) -> bool {
        matches!(self, Authentication::Mechanisms(list) if list.split(|byte| *byte == 0).any(|m| m == mechanism.as_bytes()))
    }
}

/// Reads the body of an Authentication message.
pub fn read_authentication(body: &[u8]) -> Authentication<'_> {
    let Some((code, rest)) = body.split_first_chunk() else { return Authentication::Other };
    let text = |rest| std::str::from_utf8(rest);
    match (u32::from_be_bytes(*code), rest) {
        (0, []) => Authentication::Complete,
        (10, list) => Authentication::Mechanisms(list),
        (11, step) => text(step).map_or(Authentication::Other, Authentication::SaslContinue),
        (12, last) => text(last).map_or(Authentication::Other, Authentication::SaslFinal),
        _ => Authentication::Other,
    }
}

/// Asks for a password by a mechanism.
pub fn authentication_sasl(mechanisms: &[&str]) -> Vec<u8> {
    let list: String = mechanisms.iter().map(|mechanism| format!("{mechanism}\0")).collect();
    message_of_strings(b'R', &[], &[&10u32.to_be_bytes()[..], list.as_bytes(), b"\0"].concat())
}

/// A step of the mechanism from the server's side, or the last word of it.
pub fn authentication_sasl_step(last: bool, step: &str) -> Vec<u8> {
    message_of_strings(
        b'R',
        &[],
        &[&(if last { 12u32 } else { 11 }).to_be_bytes()[..], step.as_bytes()].concat(),
    )
}

/// The client's first step by a mechanism.
pub fn sasl_initial_response(mechanism: &str, step: &str) -> Vec<u8> {
    message_of_strings(
        b'p',
        &[mechanism],
        &[&(step.len() as u32).to_be_bytes()[..], step.as_bytes()].concat(),
    )
}

/// Mechanism and first step of a client.
pub fn read_sasl_initial_response(body: &[u8]) -> Option<(&str, &str)> {
    let (mechanism, rest) = split(body)?;
    let (length, step) = rest.split_first_chunk()?;
    (u32::from_be_bytes(*length) as usize == step.len()).then_some(())?;
    Some((mechanism, std::str::from_utf8(step).ok()?))
}
