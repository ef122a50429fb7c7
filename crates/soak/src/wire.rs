//! The messages of PostgreSQL's protocol that the stand-in members and the clients use.

/// Encodes a message: its type, its length, its body.
pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Encodes a startup message.
pub fn startup() -> Vec<u8> {
    let parameters = b"\0\x03\0\0user\0app\0database\0shop\0\0";
    [&(parameters.len() as u32 + 4).to_be_bytes()[..], parameters].concat()
}

/// Encodes a simple query.
pub fn query(sql: &str) -> Vec<u8> {
    frame(b'Q', &[sql.as_bytes(), b"\0"].concat())
}

/// Encodes the answer to a startup message.
pub fn startup_response() -> Vec<u8> {
    [frame(b'R', &[0; 4]), frame(b'Z', b"I")].concat()
}

/// Encodes an error with this SQLSTATE, followed by ReadyForQuery.
pub fn error(code: &str) -> Vec<u8> {
    let body = format!("SERROR\0VERROR\0C{code}\0Msoak\0\0");
    [frame(b'E', body.as_bytes()), frame(b'Z', b"I")].concat()
}

/// Encodes the description of a row with one column.
pub fn row_description() -> Vec<u8> {
    frame(b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01")
}

/// Encodes a result of one row with one column, up to CommandComplete.
pub fn row(value: &str) -> Vec<u8> {
    let column = [&(value.len() as u32).to_be_bytes()[..], value.as_bytes()].concat();
    [row_description(), frame(b'D', &[b"\0\x01", &column[..]].concat()), frame(b'C', b"SELECT 1\0")].concat()
}

/// Encodes the report of a parameter.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    frame(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Removes and returns the first complete message of a buffer.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<(u8, Vec<u8>)> {
    let head: [u8; 5] = buffer.get(..5)?.try_into().ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize + 1;
    if buffer.len() < length {
        return None;
    }
    let message: Vec<u8> = buffer.drain(..length).collect();
    Some((head[0], message[5..].to_vec()))
}

/// Removes a startup message from a buffer. Returns false if it is not complete yet.
pub fn take_startup(buffer: &mut Vec<u8>) -> bool {
    let Some(length) = buffer.get(..4).and_then(|bytes| bytes.try_into().ok()).map(u32::from_be_bytes) else {
        return false;
    };
    let is_complete = buffer.len() >= length as usize;
    if is_complete {
        buffer.drain(..length as usize);
    }
    is_complete
}

/// Returns the value of a name in the comment of a request.
pub fn comment_value<'a>(sql: &'a str, name: &str) -> Option<&'a str> {
    let comment = sql.strip_prefix("/* ")?.split(" */").next()?;
    comment.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the first quoted string of a statement, which is its key.
pub fn key(sql: &str) -> &str {
    sql.split('\'').nth(1).unwrap_or_default()
}
