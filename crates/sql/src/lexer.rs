//! PostgreSQL's lexical structure: splits a text into words, quoted items and symbols.

/// A token. Comments and white space yield none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token<'a> {
    /// A keyword or an unquoted identifier, as written.
    Word(&'a str),
    /// A quoted identifier without its quotes; doubled quotes in it stay doubled.
    Name(&'a str),
    /// A string or bit string constant.
    Text {
        /// Its content without the quotes; escapes are not decoded.
        content: &'a str,
        /// The constant as written, with its quotes and prefix.
        source: &'a str,
    },
    /// A number, or a parameter such as `$1`.
    Number(&'a str),
    /// Any other single character.
    Symbol(char),
}

/// Splits a text into tokens.
#[derive(Clone, Debug)]
pub struct Lexer<'a> {
    text: &'a str,
    /// Byte offset of the next token or the white space before it.
    offset: usize,
    /// Whether a quote or a comment is not terminated.
    unterminated: bool,
}

impl<'a> Lexer<'a> {
    /// Creates a lexer at the beginning of a text.
    pub fn new(text: &'a str) -> Lexer<'a> {
        Lexer { text, offset: 0, unterminated: false }
    }

    /// Returns the byte offset from which the next token is read.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Returns true if a quote or comment was not terminated by the end of the text.
    pub fn is_unterminated(&self) -> bool {
        self.unterminated
    }

    fn rest(&self) -> &'a str {
        &self.text[self.offset..]
    }

    /// Skips white space and comments.
    pub(crate) fn skip_blank(&mut self) {
        loop {
            let rest = self.rest();
            let trimmed = rest.trim_start();
            self.offset += rest.len() - trimmed.len();
            if trimmed.starts_with("--") {
                self.offset += trimmed.find('\n').map_or(trimmed.len(), |end| end + 1);
            } else if trimmed.starts_with("/*") {
                self.offset += self.comment_length(trimmed);
            } else {
                return;
            }
        }
    }

    /// Returns the length of a comment, which may contain nested comments.
    fn comment_length(&mut self, text: &str) -> usize {
        let (mut depth, mut at) = (0usize, 0);
        let bytes = text.as_bytes();
        while at < bytes.len() {
            match bytes.get(at..at + 2) {
                Some(b"/*") => (depth, at) = (depth + 1, at + 2),
                Some(b"*/") => {
                    (depth, at) = (depth - 1, at + 2);
                    if depth == 0 {
                        return at;
                    }
                }
                _ => at += 1,
            }
        }
        self.unterminated = true;
        text.len()
    }

    /// Returns the text up to the closing quote, and consumes that quote.
    fn take_quoted(&mut self, quote: u8, escapes: bool) -> &'a str {
        let (start, bytes) = (self.offset, self.text.as_bytes());
        let mut at = start;
        while at < bytes.len() {
            match bytes[at] {
                b'\\' if escapes => at += 2,
                byte if byte == quote && bytes.get(at + 1) == Some(&quote) => at += 2,
                byte if byte == quote => {
                    self.offset = at + 1;
                    return &self.text[start..at];
                }
                _ => at += 1,
            }
        }
        (self.offset, self.unterminated) = (self.text.len(), true);
        &self.text[start..]
    }

    /// Consumes the rest of a string constant that began at `start`.
    fn take_text(&mut self, start: usize, escapes: bool) -> Token<'a> {
        let content = self.take_quoted(b'\'', escapes);
        Token::Text { content, source: &self.text[start..self.offset] }
    }

    /// Returns the content of a dollar-quoted string if one begins here, and consumes it.
    fn take_dollar_quoted(&mut self) -> Option<&'a str> {
        let rest = self.rest();
        let tag = rest[1..].find('$')?;
        let name = &rest[1..=tag];
        let valid = !name.starts_with(|c: char| c.is_ascii_digit())
            && name.chars().all(|c| c.is_alphanumeric() || c == '_');
        if !valid {
            return None;
        }
        let delimiter = &rest[..tag + 2];
        let body = &rest[delimiter.len()..];
        match body.find(delimiter) {
            Some(end) => {
                self.offset += 2 * delimiter.len() + end;
                Some(&body[..end])
            }
            None => {
                (self.offset, self.unterminated) = (self.text.len(), true);
                Some(body)
            }
        }
    }

    /// Consumes and returns the characters up to the first that does not match.
    fn take_while_matching(&mut self, matches: impl Fn(char) -> bool) -> &'a str {
        let rest = self.rest();
        let end = rest.find(|c| !matches(c)).unwrap_or(rest.len());
        self.offset += end;
        &rest[..end]
    }
}

impl<'a> Iterator for Lexer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        self.skip_blank();
        let start = self.offset;
        let first = self.rest().chars().next()?;
        let second = self.rest().as_bytes().get(1).copied();
        match first {
            '\'' => {
                self.offset += 1;
                Some(self.take_text(start, false))
            }
            '"' => {
                self.offset += 1;
                Some(Token::Name(self.take_quoted(b'"', false)))
            }
            'e' | 'E' if second == Some(b'\'') => {
                self.offset += 2;
                Some(self.take_text(start, true))
            }
            'b' | 'B' | 'x' | 'X' | 'n' | 'N' if second == Some(b'\'') => {
                self.offset += 2;
                Some(self.take_text(start, false))
            }
            '$' if second.is_some_and(|byte| byte.is_ascii_digit()) => {
                self.offset += 1;
                Some(Token::Number(self.take_while_matching(|c| c.is_ascii_digit())))
            }
            '$' => match self.take_dollar_quoted() {
                Some(content) => Some(Token::Text { content, source: &self.text[start..self.offset] }),
                None => {
                    self.offset += 1;
                    Some(Token::Symbol('$'))
                }
            },
            c if c.is_ascii_digit() => Some(Token::Number(
                self.take_while_matching(|c| c.is_ascii_alphanumeric() || c == '.' || c == '_'),
            )),
            c if c.is_alphabetic() || c == '_' => {
                Some(Token::Word(self.take_while_matching(|c| c.is_alphanumeric() || c == '_' || c == '$')))
            }
            c => {
                self.offset += c.len_utf8();
                Some(Token::Symbol(c))
            }
        }
    }
}
