//! PostgreSQL's wire protocol, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn cstr(text: &str) -> Vec<u8> {
    [text.as_bytes(), &[0]].concat()
}

pub fn error(severity: &str, code: &str, text: &str) -> Vec<u8> {
    frame(b'E', format!("S{severity}\0V{severity}\0C{code}\0M{text}\0\0").as_bytes())
}

pub fn row_description(column: &str) -> Vec<u8> {
    let mut body = 1u16.to_be_bytes().to_vec();
    body.extend(cstr(column));
    body.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0]);
    frame(b'T', &body)
}

pub fn data_row(value: &str) -> Vec<u8> {
    let mut body = 1u16.to_be_bytes().to_vec();
    body.extend((value.len() as u32).to_be_bytes());
    body.extend(value.as_bytes());
    frame(b'D', &body)
}

pub fn complete(tag: &str) -> Vec<u8> {
    frame(b'C', &cstr(tag))
}

pub fn ready(status: u8) -> Vec<u8> {
    frame(b'Z', &[status])
}

pub fn status(name: &str, value: &str) -> Vec<u8> {
    frame(b'S', &[cstr(name), cstr(value)].concat())
}

/// Reads one message.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=1 << 24).contains(&length) {
        return Err(io::Error::other("malformed message"));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads the first message of a connection, without its length.
pub fn read_first(stream: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if !(8..=10_000).contains(&length) {
        return Err(io::Error::other("malformed first message"));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// The answer to one query.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub rows: Vec<String>,
    pub tags: Vec<String>,
    /// SQLSTATE and text.
    pub error: Option<(String, String)>,
    /// Transaction status of ReadyForQuery; 0 if none came.
    pub status: u8,
    /// The connection ended.
    pub closed: bool,
    /// Nothing more came within the time.
    pub silent: bool,
}

impl Answer {
    pub fn short(&self) -> String {
        if self.silent {
            return "no answer".into();
        }
        let mut parts = Vec::new();
        match self.rows.len() {
            0 => {}
            1..=2 => parts.push(format!("rows {:?}", self.rows)),
            n => parts.push(format!("{n} rows")),
        }
        if !self.tags.is_empty() {
            parts.push(format!("complete {:?}", self.tags));
        }
        if let Some((code, text)) = &self.error {
            parts.push(format!("error {code}: {text}"));
        }
        if self.status != 0 {
            parts.push(format!("ready {}", self.status as char));
        }
        if self.closed {
            parts.push("connection closed".into());
        }
        parts.join(", ")
    }

    pub fn code(&self) -> &str {
        self.error.as_ref().map_or("", |(code, _)| code)
    }
}

/// An ordinary client.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, user: &str, database: &str) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let body = [
            &196_608u32.to_be_bytes()[..],
            &cstr("user"),
            &cstr(user),
            &cstr("database"),
            &cstr(database),
            &[0],
        ]
        .concat();
        stream.write_all(&(body.len() as u32 + 4).to_be_bytes())?;
        stream.write_all(&body)?;
        loop {
            match read_message(&mut stream)? {
                (b'Z', _) => return Ok(Client { stream }),
                (b'E', body) => return Err(io::Error::other(String::from_utf8_lossy(&body).into_owned())),
                _ => {}
            }
        }
    }

    /// Sends a simple query and reads its answer up to ReadyForQuery.
    pub fn query(&mut self, sql: &str, patience: Duration) -> Answer {
        let mut answer = Answer::default();
        if self.stream.write_all(&frame(b'Q', &cstr(sql))).is_err() {
            answer.closed = true;
            return answer;
        }
        let until = Instant::now() + patience;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                answer.silent = true;
                return answer;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match read_message(&mut self.stream) {
                Ok((b'D', body)) => {
                    answer.rows.push(String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned())
                }
                Ok((b'C', body)) => {
                    answer.tags.push(String::from_utf8_lossy(&body).trim_end_matches('\0').into())
                }
                Ok((b'E', body)) => {
                    let field = |kind: u8| {
                        body.split(|byte| *byte == 0)
                            .find(|field| field.first() == Some(&kind))
                            .map(|field| String::from_utf8_lossy(&field[1..]).into_owned())
                            .unwrap_or_default()
                    };
                    answer.error = Some((field(b'C'), field(b'M')));
                }
                Ok((b'Z', body)) => {
                    answer.status = body.first().copied().unwrap_or(b'?');
                    return answer;
                }
                Ok(_) => {}
                Err(error) => {
                    let timed_out =
                        matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
                    (answer.silent, answer.closed) = (timed_out, !timed_out);
                    return answer;
                }
            }
        }
    }
}
