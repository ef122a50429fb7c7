//! The few forms of PostgreSQL's protocol that stand-ins and clients need.

/// A message: its kind, its length, its body.
pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A client's first message.
pub fn startup() -> Vec<u8> {
    let words = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    [&(words.len() as u32 + 4).to_be_bytes()[..], words].concat()
}

/// A query.
pub fn query(sql: &str) -> Vec<u8> {
    frame(b'Q', &[sql.as_bytes(), b"\0"].concat())
}

/// What a machine says to a startup message.
pub fn welcome() -> Vec<u8> {
    [frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat()
}

/// An error and the end of the exchange.
pub fn error(code: &str) -> Vec<u8> {
    let body = format!("SERROR\0VERROR\0C{code}\0Msoak\0\0");
    [frame(b'E', body.as_bytes()), frame(b'Z', b"I")].concat()
}

/// The description of the one column of a row.
pub fn description() -> Vec<u8> {
    frame(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01")
}

/// A row of one column and the end of its command.
pub fn row(value: &str) -> Vec<u8> {
    let column = [&(value.len() as u32).to_be_bytes()[..], value.as_bytes()].concat();
    [description(), frame(b'D', &[b"\0\x01", &column[..]].concat()), frame(b'C', b"SELECT 1\0")].concat()
}

/// A parameter that a machine tells.
pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    frame(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Takes the first whole message off a buffer.
pub fn take(buffer: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    let head: [u8; 5] = buffer.get(..5)?.try_into().ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize + 1;
    if buffer.len() < length {
        return None;
    }
    let message: Vec<u8> = buffer.drain(..length).collect();
    Some((head[0], message[5..].to_vec()))
}

/// Takes a startup message off a buffer; whether it was whole.
pub fn take_startup(buffer: &mut Vec<u8>) -> bool {
    let Some(length) = buffer.get(..4).and_then(|bytes| bytes.try_into().ok()).map(u32::from_be_bytes) else {
        return false;
    };
    let whole = buffer.len() >= length as usize;
    if whole {
        buffer.drain(..length as usize);
    }
    whole
}

/// The value of a name in a request's comment.
pub fn named<'a>(sql: &'a str, name: &str) -> Option<&'a str> {
    let comment = sql.strip_prefix("/* ")?.split(" */").next()?;
    comment.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// The quoted key of a statement.
pub fn key(sql: &str) -> &str {
    sql.split('\'').nth(1).unwrap_or_default()
}
