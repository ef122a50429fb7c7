//! Splits a byte stream into JSON documents, independent of their layout in lines.

/// An element of a stream of documents.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// An empty line between two documents.
    Blank,
    /// An object or an array, from its first bracket to its last. Also a line that begins with neither, or
    /// one that ends inside a string, which JSON does not allow: parsing it will fail.
    Document(Vec<u8>),
}

/// A document does not end within the limit; its sender must not be read from any more.
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

/// Collects bytes and returns complete documents; stores at most `bound` bytes.
pub struct Documents {
    bound: usize,
    pending: Vec<u8>,
    /// Up to this index the bytes have been returned.
    consumed: usize,
    /// Up to this index the bytes have been scanned.
    scanned: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// The current document is not JSON and ends with its line.
    malformed: bool,
    /// The current line has content.
    line_used: bool,
}

impl Documents {
    /// Stores at most `bound` bytes.
    pub fn new(bound: usize) -> Documents {
        let (pending, consumed, scanned, depth) = (Vec::new(), 0, 0, 0);
        let (quoted, escaped, malformed, line_used) = (false, false, false, false);
        Documents { bound, pending, consumed, scanned, depth, quoted, escaped, malformed, line_used }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.pending.len() - self.consumed + bytes.len() > self.bound {
            return Err(TooLong);
        }
        let consumed = std::mem::take(&mut self.consumed);
        self.pending.drain(..consumed);
        self.scanned -= consumed;
        self.pending.extend(bytes);
        Ok(())
    }

    /// Returns true if a document has begun and not ended.
    pub fn in_document(&self) -> bool {
        self.depth > 0 || self.malformed
    }

    /// Takes the next complete piece.
    pub fn take(&mut self) -> Option<Piece> {
        while let Some(&byte) = self.pending.get(self.scanned) {
            self.scanned += 1;
            if !self.in_document() {
                match byte {
                    b'\n' => {
                        if !std::mem::replace(&mut self.line_used, false) {
                            return Some(Piece::Blank);
                        }
                    }
                    byte if byte.is_ascii_whitespace() => {}
                    byte => {
                        // The bytes before this one are white space.
                        self.consumed = self.scanned - 1;
                        self.line_used = true;
                        (self.malformed, self.depth) = match byte {
                            b'{' | b'[' => (false, 1),
                            _ => (true, 0),
                        };
                    }
                }
                continue;
            }
            if byte == b'\n' && (self.malformed || self.quoted) {
                (self.malformed, self.depth, self.quoted, self.escaped, self.line_used) =
                    (false, 0, false, false, false);
                return Some(Piece::Document(self.take_document()));
            }
            match byte {
                _ if self.malformed => {}
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'{' | b'[' if !self.quoted => self.depth += 1,
                b'}' | b']' if !self.quoted => self.depth -= 1,
                _ => {}
            }
            if !self.in_document() {
                return Some(Piece::Document(self.take_document()));
            }
        }
        if !self.in_document() {
            // Neither white space between documents nor the memory of a long document is retained.
            (self.pending, self.consumed, self.scanned) = (Vec::new(), 0, 0);
        }
        None
    }

    /// Takes the bytes scanned since the last document.
    fn take_document(&mut self) -> Vec<u8> {
        let from = std::mem::replace(&mut self.consumed, self.scanned);
        self.pending[from..self.scanned].to_vec()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns the pieces of a stream that arrives in parts of `part` bytes.
    fn pieces(text: &str, part: usize) -> Vec<String> {
        let mut documents = Documents::new(1000);
        let mut found = Vec::new();
        for part in text.as_bytes().chunks(part) {
            documents.push(part).unwrap();
            while let Some(piece) = documents.take() {
                found.push(match piece {
                    Piece::Blank => String::from("-"),
                    Piece::Document(bytes) => String::from_utf8(bytes).unwrap(),
                });
            }
        }
        found
    }

    #[test]
    fn documents_are_split_independently_of_their_layout() {
        let indented = "{\n  \"a\": [\n    {\"b\": \"}\\\"{\"}\n  ]\n}";
        let stream = format!("\n{indented}\n\n  \r\n{{\"c\":1}}{{}}\nodd }}\n[\"cut\n\n{{}}\n");
        let expected = ["-", indented, "-", "-", "{\"c\":1}", "{}", "odd }\n", "[\"cut\n", "-", "{}"];
        for part in [1, 2, 3, 7, 1000] {
            assert_eq!(pieces(&stream, part), expected, "in parts of {part}");
        }
    }

    #[test]
    fn a_document_beyond_the_limit_is_rejected() {
        let mut documents = Documents::new(10);
        documents.push(b"{\"12345").unwrap();
        assert_eq!((documents.take(), documents.in_document()), (None, true));
        assert_eq!(documents.push(b"6789"), Err(TooLong));
        // White space between documents takes no memory.
        let mut documents = Documents::new(10);
        for _ in 0..10 {
            documents.push(b"    \t  ").unwrap();
            assert_eq!((documents.take(), documents.in_document()), (None, false));
        }
    }
}
