//! A client's side of HTTP/1.1: requests to bytes, bytes to the pieces of answers. No I/O: bytes come in a ring
//! buffer, pieces are taken out as they are there, so that an answer that never ends can be followed and a long
//! one need not be held.
#![warn(missing_docs)]

use buffer::{Charge, Ring};

/// Most header fields of an answer that are looked at.
const FIELDS: usize = 64;
/// Longest head of an answer, and longest line that gives a chunk's size (bytes).
const LONGEST_HEAD: usize = 8 * 1024;
const LONGEST_SIZE: usize = 256;
/// Most informational heads (1xx) before an answer. Guards against a server that sends nothing else.
const MOST_INFORMATIONAL: u32 = 8;
/// Most bytes of a body that are handed out in one piece.
const PIECE: usize = 64 * 1024;

/// A request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Its method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// What goes into the field Host.
    pub host: &'a str,
    /// What goes into the field Authorization, if anything.
    pub authorization: Option<&'a str>,
    /// A JSON body; a request without one has no length either.
    pub json_body: Option<&'a [u8]>,
}

impl Request<'_> {
    /// Its bytes. What would break out of its field is left out of it: a line end ends a field.
    pub fn to_bytes(&self) -> Vec<u8> {
        let clean = |text: &str| text.chars().filter(|c| !c.is_ascii_control()).collect::<String>();
        let (method, target, host) =
            (clean(self.method), clean(self.target).replace(' ', "%20"), clean(self.host));
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n");
        if let Some(token) = self.authorization {
            head += &format!("Authorization: {}\r\n", clean(token));
        }
        if let Some(body) = self.json_body {
            head += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        [head.as_bytes(), self.json_body.unwrap_or_default()].concat()
    }
}

/// The head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// Whether the body comes in chunks, so that it may go on for as long as the connection lives.
    pub chunked: bool,
    /// Whether the connection can be used for another request once the answer is whole.
    pub keep_alive: bool,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Its head.
    Head(Head),
    /// Some bytes of its body.
    Body(Vec<u8>),
    /// It is whole; what comes next is the head of another.
    End,
}

/// Why bytes are no answer; the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No head of HTTP/1.1, or one that is too long.
    InvalidHead,
    /// Lengths that contradict each other, or are no lengths.
    InvalidLength,
    /// No chunk.
    InvalidChunk,
    /// The connection ended within it.
    Truncated,
    /// A body that is longer than is read, or than there is memory for.
    TooLong,
}

impl Fault {
    /// The fault in words.
    pub fn description(self) -> &'static str {
        match self {
            Fault::InvalidHead => "not HTTP",
            Fault::InvalidLength => "an answer without a sound length",
            Fault::InvalidChunk => "not a chunk",
            Fault::Truncated => "an answer cut off",
            Fault::TooLong => "an answer too long",
        }
    }
}

/// Where in an answer the next byte stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    #[default]
    Head,
    /// So many bytes of a body of known length.
    Sized(u64),
    /// The line that gives a chunk's size.
    Size,
    /// So many bytes of a chunk.
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    /// The fields behind the last chunk, up to an empty line.
    Trailer,
    /// All until the connection ends.
    Rest,
}

/// Takes answers apart, one after the other.
#[derive(Debug, Default)]
pub struct ResponseReader {
    part: Part,
    informational: u32,
}

impl ResponseReader {
    /// The next piece that is there, if one is.
    pub fn next(&mut self, inbox: &mut Ring) -> Result<Option<Piece>, Fault> {
        loop {
            match self.part {
                Part::Head => return self.head(inbox),
                Part::Sized(0) => {
                    self.part = Part::Head;
                    return Ok(Some(Piece::End));
                }
                Part::Sized(left) => {
                    let Some((bytes, left)) = body(inbox, left) else { return Ok(None) };
                    self.part = Part::Sized(left);
                    return Ok(Some(Piece::Body(bytes)));
                }
                Part::Rest => return Ok(body(inbox, u64::MAX).map(|(bytes, _)| Piece::Body(bytes))),
                Part::Size => {
                    let size = inbox.peek_up_to(LONGEST_SIZE);
                    match httparse::parse_chunk_size(&size) {
                        Ok(httparse::Status::Complete((length, size))) => {
                            inbox.skip(length);
                            self.part = if size == 0 { Part::Trailer } else { Part::Chunk(size) };
                        }
                        Ok(httparse::Status::Partial) if size.len() < LONGEST_SIZE => return Ok(None),
                        _ => return Err(Fault::InvalidChunk),
                    }
                }
                Part::Chunk(left) => {
                    let Some((bytes, left)) = body(inbox, left) else { return Ok(None) };
                    self.part = if left == 0 { Part::ChunkEnd } else { Part::Chunk(left) };
                    return Ok(Some(Piece::Body(bytes)));
                }
                Part::ChunkEnd => match inbox.peek() {
                    None => return Ok(None),
                    Some([b'\r', b'\n']) => {
                        inbox.skip(2);
                        self.part = Part::Size;
                    }
                    Some(_) => return Err(Fault::InvalidChunk),
                },
                Part::Trailer => {
                    // Nothing that stands there is needed: each line is passed over, an empty one ends it.
                    let bytes = inbox.peek_up_to(LONGEST_HEAD);
                    match bytes.windows(2).position(|pair| pair == b"\r\n") {
                        Some(0) => {
                            inbox.skip(2);
                            self.part = Part::Head;
                            return Ok(Some(Piece::End));
                        }
                        Some(end) => inbox.skip(end + 2),
                        None if bytes.len() < LONGEST_HEAD => return Ok(None),
                        None => return Err(Fault::InvalidChunk),
                    }
                }
            }
        }
    }

    fn head(&mut self, inbox: &mut Ring) -> Result<Option<Piece>, Fault> {
        loop {
            let bytes = inbox.peek_up_to(LONGEST_HEAD);
            let mut fields = [httparse::EMPTY_HEADER; FIELDS];
            let mut response = httparse::Response::new(&mut fields);
            let length = match response.parse(&bytes) {
                Ok(httparse::Status::Complete(length)) => length,
                Ok(httparse::Status::Partial) if bytes.len() < LONGEST_HEAD => return Ok(None),
                _ => return Err(Fault::InvalidHead),
            };
            let (status, version) = (response.code.ok_or(Fault::InvalidHead)?, response.version.unwrap_or(0));
            let (mut chunked, mut sized, mut keep) = (false, None, version == 1);
            for field in response.headers.iter() {
                let value = std::str::from_utf8(field.value).map(str::trim).unwrap_or_default();
                let has = |word: &str| value.split(',').any(|w| w.trim().eq_ignore_ascii_case(word));
                if field.name.eq_ignore_ascii_case("transfer-encoding") {
                    // Of several codings only this one, by itself, can be undone here.
                    if !value.eq_ignore_ascii_case("chunked") || chunked {
                        return Err(Fault::InvalidLength);
                    }
                    chunked = true;
                } else if field.name.eq_ignore_ascii_case("content-length") {
                    let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
                    let length = value.parse::<u64>().ok().filter(|_| digits).ok_or(Fault::InvalidLength)?;
                    if sized.is_some_and(|known| known != length) {
                        return Err(Fault::InvalidLength);
                    }
                    sized = Some(length);
                } else if field.name.eq_ignore_ascii_case("connection") {
                    keep = if keep { !has("close") } else { has("keep-alive") };
                }
            }
            inbox.skip(length);
            if (100..200).contains(&status) {
                self.informational += 1;
                if self.informational > MOST_INFORMATIONAL {
                    return Err(Fault::InvalidHead);
                }
                continue;
            }
            self.informational = 0;
            // Both would let two readers see two different ends of the same answer.
            if chunked && sized.is_some() {
                return Err(Fault::InvalidLength);
            }
            let bare = matches!(status, 204 | 304);
            self.part = match (bare, chunked, sized) {
                (true, ..) => Part::Sized(0),
                (_, true, _) => Part::Size,
                (_, _, Some(length)) => Part::Sized(length),
                _ => Part::Rest,
            };
            let keep = keep && self.part != Part::Rest;
            return Ok(Some(Piece::Head(Head { status, chunked, keep_alive: keep })));
        }
    }

    /// The connection has ended: whether that was the end of the answer, for one whose length nothing else
    /// tells, or between two.
    pub fn connection_closed(&self) -> Result<(), Fault> {
        match self.part {
            Part::Head | Part::Rest | Part::Sized(0) => Ok(()),
            _ => Err(Fault::Truncated),
        }
    }
}

/// Takes one answer whole, whatever its status: some servers put an error into the body of a 200.
#[derive(Debug)]
pub struct FullResponse {
    answer: ResponseReader,
    head: Option<Head>,
    body: Vec<u8>,
    most: usize,
    charge: Charge,
}

impl FullResponse {
    /// An answer whose body has so many bytes at the most; they are charged to a budget while they are held.
    pub fn new(most: usize, charge: Charge) -> FullResponse {
        FullResponse { answer: ResponseReader::default(), head: None, body: Vec::new(), most, charge }
    }

    /// Takes what is there; the head and the body once both are whole.
    pub fn next(&mut self, inbox: &mut Ring) -> Result<Option<(Head, Vec<u8>)>, Fault> {
        while let Some(piece) = self.answer.next(inbox)? {
            match piece {
                Piece::Head(head) => self.head = Some(head),
                Piece::Body(bytes) => {
                    let length = self.body.len() + bytes.len();
                    if length > self.most || self.charge.set(length).is_err() {
                        return Err(Fault::TooLong);
                    }
                    self.body.extend(bytes);
                }
                Piece::End => return self.finish().map(Some),
            }
        }
        Ok(None)
    }

    /// The connection has ended: what is there, where that was the end of the answer.
    pub fn connection_closed(&mut self) -> Result<(Head, Vec<u8>), Fault> {
        self.answer.connection_closed()?;
        self.finish()
    }

    fn finish(&mut self) -> Result<(Head, Vec<u8>), Fault> {
        let _ = self.charge.set(0);
        Ok((self.head.take().ok_or(Fault::Truncated)?, std::mem::take(&mut self.body)))
    }
}

/// Some bytes of a body of which so many are left, and how many are left then; none while there are none.
fn body(inbox: &mut Ring, left: u64) -> Option<(Vec<u8>, u64)> {
    let most = usize::try_from(left).unwrap_or(usize::MAX).min(PIECE);
    let bytes = inbox.take(most);
    let left = left - bytes.len() as u64;
    (!bytes.is_empty()).then_some((bytes, left))
}
