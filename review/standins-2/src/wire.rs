//! PostgreSQL's protocol, as far as the stand-ins speak it.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

pub type Message = (u8, Vec<u8>);

pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

pub fn strings(kind: u8, texts: &[&str]) -> Vec<u8> {
    let body: Vec<u8> = texts.iter().flat_map(|text| [text.as_bytes(), b"\0"].concat()).collect();
    frame(kind, &body)
}

pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let body: Vec<u8> = [
        &196_608u32.to_be_bytes()[..],
        b"user\0",
        user.as_bytes(),
        b"\0database\0",
        database.as_bytes(),
        b"\0\0",
    ]
    .concat();
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

pub fn query(sql: &str) -> Vec<u8> {
    strings(b'Q', &[sql])
}

pub fn error(severity: &str, code: &str, text: &str) -> Vec<u8> {
    let fields = format!("S{severity}\0V{severity}\0C{code}\0M{text}\0\0");
    frame(b'E', fields.as_bytes())
}

pub fn row_description(column: &str, oid: u32, binary: bool) -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend([column.as_bytes(), b"\0"].concat());
    body.extend([0; 6]);
    body.extend(oid.to_be_bytes());
    body.extend([255, 255, 255, 255, 255, 255, 0, u8::from(binary)]);
    frame(b'T', &body)
}

pub fn data_row(value: &[u8]) -> Vec<u8> {
    frame(b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat())
}

/// Reads the length and the body of a startup message.
pub fn read_startup(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if !(8..10_000).contains(&length) {
        return Err(Error::new(ErrorKind::InvalidData, "startup"));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok(body)
}

pub fn read_message(stream: &mut TcpStream) -> Result<Message> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..1_000_000).contains(&length) {
        return Err(Error::new(ErrorKind::InvalidData, "message"));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Splits a text that ends with a zero byte from the rest.
pub fn cut_string(bytes: &[u8]) -> (String, &[u8]) {
    let end = bytes.iter().position(|byte| *byte == 0).unwrap_or(bytes.len());
    (String::from_utf8_lossy(&bytes[..end]).into_owned(), &bytes[(end + 1).min(bytes.len())..])
}

/// Returns the code and the text of an error.
pub fn read_error(body: &[u8]) -> (String, String) {
    let (mut code, mut text, mut rest) = (String::new(), String::new(), body);
    while let Some((&kind, after)) = rest.split_first().filter(|(kind, _)| **kind != 0) {
        let (value, next) = cut_string(after);
        match kind {
            b'C' => code = value,
            b'M' => text = value,
            _ => {}
        }
        rest = next;
    }
    (code, text)
}

pub fn write_all(stream: &mut TcpStream, bytes: &[u8]) -> Result<()> {
    stream.write_all(bytes)
}
