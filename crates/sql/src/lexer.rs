//! PostgreSQL's lexical form: a text cut into words, quoted things and signs.

/// A piece of a text. Comments and white space are no pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token<'a> {
    /// A key word or a name, as written.
    Word(&'a str),
    /// A quoted name, without its quotes; doubled quotes in it stay doubled.
    Name(&'a str),
    /// A quoted text or bit string, without its quotes; nothing in it is undone.
    Text(&'a str),
    /// A number, or a parameter such as `$1`.
    Number(&'a str),
    /// One character of anything else.
    Symbol(char),
}

/// Cuts a text into pieces.
#[derive(Clone, Debug)]
pub struct Lexer<'a> {
    text: &'a str,
    at: usize,
    /// Whether a quote or a comment has not ended.
    open: bool,
}

impl<'a> Lexer<'a> {
    /// At the beginning of a text.
    pub fn new(text: &'a str) -> Lexer<'a> {
        Lexer { text, at: 0, open: false }
    }

    /// Where the next piece is looked for (bytes from the beginning).
    pub fn offset(&self) -> usize {
        self.at
    }

    /// Whether something that began has not ended by the end of the text.
    pub fn is_unterminated(&self) -> bool {
        self.open
    }

    fn rest(&self) -> &'a str {
        &self.text[self.at..]
    }

    /// Passes over white space and comments.
    fn blank(&mut self) {
        loop {
            let rest = self.rest();
            let trimmed = rest.trim_start();
            self.at += rest.len() - trimmed.len();
            if trimmed.starts_with("--") {
                self.at += trimmed.find('\n').map_or(trimmed.len(), |end| end + 1);
            } else if trimmed.starts_with("/*") {
                self.at += self.comment(trimmed);
            } else {
                return;
            }
        }
    }

    /// Length of a comment, which may hold others.
    fn comment(&mut self, text: &str) -> usize {
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
        self.open = true;
        text.len()
    }

    /// What stands in a quote from here on, up to its end; takes the closing quote as well.
    fn quoted(&mut self, quote: u8, escapes: bool) -> &'a str {
        let (start, bytes) = (self.at, self.text.as_bytes());
        let mut at = start;
        while at < bytes.len() {
            match bytes[at] {
                b'\\' if escapes => at += 2,
                byte if byte == quote && bytes.get(at + 1) == Some(&quote) => at += 2,
                byte if byte == quote => {
                    self.at = at + 1;
                    return &self.text[start..at];
                }
                _ => at += 1,
            }
        }
        (self.at, self.open) = (self.text.len(), true);
        &self.text[start..]
    }

    /// A dollar quote, where one begins here.
    fn dollar(&mut self) -> Option<&'a str> {
        let rest = self.rest();
        let tag = rest[1..].find('$')?;
        let name = &rest[1..=tag];
        let sound = !name.starts_with(|c: char| c.is_ascii_digit())
            && name.chars().all(|c| c.is_alphanumeric() || c == '_');
        if !sound {
            return None;
        }
        let mark = &rest[..tag + 2];
        let body = &rest[mark.len()..];
        match body.find(mark) {
            Some(end) => {
                self.at += 2 * mark.len() + end;
                Some(&body[..end])
            }
            None => {
                (self.at, self.open) = (self.text.len(), true);
                Some(body)
            }
        }
    }

    /// Takes as many characters as fit.
    fn take(&mut self, fits: impl Fn(char) -> bool) -> &'a str {
        let rest = self.rest();
        let end = rest.find(|c| !fits(c)).unwrap_or(rest.len());
        self.at += end;
        &rest[..end]
    }
}

impl<'a> Iterator for Lexer<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        self.blank();
        let first = self.rest().chars().next()?;
        let second = self.rest().as_bytes().get(1).copied();
        match first {
            '\'' => {
                self.at += 1;
                Some(Token::Text(self.quoted(b'\'', false)))
            }
            '"' => {
                self.at += 1;
                Some(Token::Name(self.quoted(b'"', false)))
            }
            'e' | 'E' if second == Some(b'\'') => {
                self.at += 2;
                Some(Token::Text(self.quoted(b'\'', true)))
            }
            'b' | 'B' | 'x' | 'X' | 'n' | 'N' if second == Some(b'\'') => {
                self.at += 2;
                Some(Token::Text(self.quoted(b'\'', false)))
            }
            '$' if second.is_some_and(|byte| byte.is_ascii_digit()) => {
                self.at += 1;
                Some(Token::Number(self.take(|c| c.is_ascii_digit())))
            }
            '$' => match self.dollar() {
                Some(text) => Some(Token::Text(text)),
                None => {
                    self.at += 1;
                    Some(Token::Symbol('$'))
                }
            },
            c if c.is_ascii_digit() => {
                Some(Token::Number(self.take(|c| c.is_ascii_alphanumeric() || c == '.' || c == '_')))
            }
            c if c.is_alphabetic() || c == '_' => {
                Some(Token::Word(self.take(|c| c.is_alphanumeric() || c == '_' || c == '$')))
            }
            c => {
                self.at += c.len_utf8();
                Some(Token::Symbol(c))
            }
        }
    }
}
