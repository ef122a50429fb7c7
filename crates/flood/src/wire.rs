//! The messages of PostgreSQL's protocol that floods and probes send.

/// The protocol version of a startup message.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// The code of a cancel request.
const CANCEL_REQUEST: u32 = 80_877_102;

/// Appends a message: its type, its length, its body.
pub(crate) fn push_message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
}

/// Encodes a simple query.
pub fn query(sql: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(sql.len() + 6);
    push_message(&mut out, b'Q', &[sql.as_bytes(), b"\0"].concat());
    out
}

/// Encodes a startup message.
pub fn startup(user: &str) -> Vec<u8> {
    let options = format!("user\0{user}\0database\0shop\0\0");
    let length = (options.len() + 8) as u32;
    [&length.to_be_bytes()[..], &PROTOCOL_VERSION.to_be_bytes(), options.as_bytes()].concat()
}

/// Encodes a cancel request with this key.
pub(crate) fn cancel_request(number: u32, secret: u32) -> Vec<u8> {
    [16, CANCEL_REQUEST, number, secret].iter().flat_map(|word| word.to_be_bytes()).collect()
}
