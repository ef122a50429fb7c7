//! Cuts a stream of bytes into JSON documents, however they are laid out over lines.

/// What stands in a stream of documents.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// A line with nothing on it, between two documents.
    Blank,
    /// An object or an array from its first bracket to its last; or a line that begins as neither, or that ends amid
    /// a text, which no JSON does: reading it will fail.
    Document(Vec<u8>),
}

/// A document that does not end within the bound: what sends it is of no further use.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

/// Bytes of which whole documents are taken. Holds at most so many bytes.
pub struct Documents {
    bound: usize,
    pending: Vec<u8>,
    /// Up to here they have been taken ...
    taken: usize,
    /// ... and up to here looked at.
    looked: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// The document that has begun is no JSON and ends with its line.
    odd: bool,
    /// Something stands on this line already.
    used: bool,
}

impl Documents {
    /// Holds at most `bound` bytes.
    pub fn new(bound: usize) -> Documents {
        let (pending, taken, looked, depth) = (Vec::new(), 0, 0, 0);
        let (quoted, escaped, odd, used) = (false, false, false, false);
        Documents { bound, pending, taken, looked, depth, quoted, escaped, odd, used }
    }

    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.pending.len() - self.taken + bytes.len() > self.bound {
            return Err(TooLong);
        }
        let taken = std::mem::take(&mut self.taken);
        self.pending.drain(..taken);
        self.looked -= taken;
        self.pending.extend(bytes);
        Ok(())
    }

    /// Whether a document has begun and not ended.
    pub fn in_document(&self) -> bool {
        self.depth > 0 || self.odd
    }

    /// Takes the next piece that is whole.
    pub fn take(&mut self) -> Option<Piece> {
        while let Some(&byte) = self.pending.get(self.looked) {
            self.looked += 1;
            if !self.in_document() {
                match byte {
                    b'\n' => {
                        if !std::mem::replace(&mut self.used, false) {
                            return Some(Piece::Blank);
                        }
                    }
                    byte if byte.is_ascii_whitespace() => {}
                    byte => {
                        // What stands before it is white space.
                        self.taken = self.looked - 1;
                        self.used = true;
                        (self.odd, self.depth) = match byte {
                            b'{' | b'[' => (false, 1),
                            _ => (true, 0),
                        };
                    }
                }
                continue;
            }
            if byte == b'\n' && (self.odd || self.quoted) {
                (self.odd, self.depth, self.quoted, self.escaped, self.used) =
                    (false, 0, false, false, false);
                return Some(Piece::Document(self.cut()));
            }
            match byte {
                _ if self.odd => {}
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'{' | b'[' if !self.quoted => self.depth += 1,
                b'}' | b']' if !self.quoted => self.depth -= 1,
                _ => {}
            }
            if !self.in_document() {
                return Some(Piece::Document(self.cut()));
            }
        }
        if !self.in_document() {
            // White space between documents is not kept, nor is the room that a long document took.
            (self.pending, self.taken, self.looked) = (Vec::new(), 0, 0);
        }
        None
    }

    /// Takes off what has been looked at.
    fn cut(&mut self) -> Vec<u8> {
        let from = std::mem::replace(&mut self.taken, self.looked);
        self.pending[from..self.looked].to_vec()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The pieces of a stream that comes in parts of so many bytes.
    fn pieces(text: &str, part: usize) -> Vec<String> {
        let mut documents = Documents::new(1000);
        let mut seen = Vec::new();
        for part in text.as_bytes().chunks(part) {
            documents.push(part).unwrap();
            while let Some(piece) = documents.take() {
                seen.push(match piece {
                    Piece::Blank => String::from("-"),
                    Piece::Document(bytes) => String::from_utf8(bytes).unwrap(),
                });
            }
        }
        seen
    }

    #[test]
    fn documents_are_found_however_they_are_laid_out() {
        let indented = "{\n  \"a\": [\n    {\"b\": \"}\\\"{\"}\n  ]\n}";
        let stream = format!("\n{indented}\n\n  \r\n{{\"c\":1}}{{}}\nodd }}\n[\"cut\n\n{{}}\n");
        let expected = ["-", indented, "-", "-", "{\"c\":1}", "{}", "odd }\n", "[\"cut\n", "-", "{}"];
        for part in [1, 2, 3, 7, 1000] {
            assert_eq!(pieces(&stream, part), expected, "in parts of {part}");
        }
    }

    #[test]
    fn what_does_not_end_within_the_bound_is_turned_away() {
        let mut documents = Documents::new(10);
        documents.push(b"{\"12345").unwrap();
        assert_eq!((documents.take(), documents.in_document()), (None, true));
        assert_eq!(documents.push(b"6789"), Err(TooLong));
        // White space between documents takes no room.
        let mut documents = Documents::new(10);
        for _ in 0..10 {
            documents.push(b"    \t  ").unwrap();
            assert_eq!((documents.take(), documents.in_document()), (None, false));
        }
    }
}
