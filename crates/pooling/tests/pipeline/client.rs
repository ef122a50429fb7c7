//! What a client sends in one go, and what it has to receive for that.

use fastrand::Rng;
use pgwire::Message;

use super::server::{CHAINED, COPY_THAT_FAILS};
use crate::messages::{message, text};

/// The forms in which a client may ask for something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    /// A simple query of one statement.
    Simple,
    /// A simple query of several statements.
    Several,
    /// A batch of the extended protocol.
    Extended,
    /// A batch that prepares, uses or closes a named statement.
    Prepared,
    /// COPY from the client by a simple query.
    Copy,
    /// COPY from the client by a batch.
    CopyExtended,
    /// A query that the session answers by itself.
    Own,
    /// A call of a function by its number.
    Function,
}

pub const FORMS: [Form; 8] = [
    Form::Simple,
    Form::Several,
    Form::Extended,
    Form::Prepared,
    Form::Copy,
    Form::CopyExtended,
    Form::Own,
    Form::Function,
];

/// A part of an answer without errors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A message of this type.
    Reply(u8),
    /// CommandComplete of a statement that a server has run.
    Statement(String),
    /// CommandComplete with this tag, of a statement that the session carries out.
    Own(&'static str),
    /// The result of a function that a server has called.
    Call(String),
}

/// What a message does with a prepared statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    Parse,
    Bind,
    Close,
}

/// A use of a prepared statement by its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameUse {
    /// The index of the part by which it is answered.
    pub part: usize,
    pub what: Use,
    pub name: String,
}

/// The answer that ends with one ReadyForQuery.
#[derive(Clone, Debug)]
pub struct Answer {
    pub form: Form,
    pub parts: Vec<Part>,
    pub names: Vec<NameUse>,
    /// Whether its Sync gets no answer once the COPY has begun; the next answer's Sync ends it then.
    pub ignored_in_copy: bool,
}

/// A message and the number of the answer that it belongs to.
pub struct Sent {
    pub message: Message,
    pub answer: usize,
}

/// Draws pipelines.
pub struct Generator<'a> {
    rng: &'a mut Rng,
    next_number: u32,
    /// Names of the statements prepared so far, each with its text.
    names: Vec<(String, String)>,
    pub messages: Vec<Sent>,
    pub answers: Vec<Answer>,
}

impl<'a> Generator<'a> {
    pub fn new(rng: &'a mut Rng) -> Generator<'a> {
        Generator { rng, next_number: 1, names: Vec::new(), messages: Vec::new(), answers: Vec::new() }
    }

    pub fn draw(&mut self, requests: usize) {
        for _ in 0..requests {
            // A function binds the session, so that the next loss ends the client's connection.
            let form = match self.rng.u32(..40) {
                0 => Form::Function,
                1..=8 => Form::Simple,
                9..=14 => Form::Several,
                15..=20 => Form::Extended,
                21..=27 => Form::Prepared,
                28..=30 => Form::Copy,
                31..=36 => Form::CopyExtended,
                _ => Form::Own,
            };
            match form {
                Form::Simple => self.simple(),
                Form::Several => self.several(),
                Form::Extended => self.extended(),
                Form::Prepared => self.prepared(),
                Form::Copy => self.copy(),
                Form::CopyExtended => self.copy_extended(),
                Form::Own => self.own(),
                Form::Function => self.function(),
            }
        }
    }

    fn number(&mut self) -> u32 {
        self.next_number += 1;
        self.next_number
    }

    fn send(&mut self, message: Message) {
        self.messages.push(Sent { message, answer: self.answers.len() });
    }

    fn answer(&mut self, form: Form, parts: Vec<Part>) {
        self.answers.push(Answer { form, parts, names: Vec::new(), ignored_in_copy: false });
    }

    fn statement(&mut self) -> String {
        let number = self.number();
        match self.rng.u32(..17) {
            16 => CHAINED.into(),
            0..=1 => "BEGIN".into(),
            2..=3 => "COMMIT".into(),
            4 => "ROLLBACK".into(),
            5 => format!("FAIL {number}"),
            6 => format!("SET app.a TO '{number}'"),
            7 => format!("COPY {number} TO STDOUT"),
            8..=11 => format!("INSERT {number}"),
            _ => format!("SELECT {number}"),
        }
    }

    fn simple(&mut self) {
        if self.rng.u32(..12) == 0 {
            self.send(text(b'Q', " ; "));
            return self.answer(Form::Simple, vec![Part::Reply(b'I')]);
        }
        let sql = self.statement();
        self.send(text(b'Q', &sql));
        self.answer(Form::Simple, parts_of(&sql));
    }

    fn several(&mut self) {
        let mut statements: Vec<String> = (0..self.rng.usize(2..5)).map(|_| self.statement()).collect();
        if self.rng.bool() {
            let end = if self.rng.bool() { "ROLLBACK" } else { "COMMIT" };
            statements.insert(0, end.to_string());
        }
        let copies = self.rng.u32(..4) == 0;
        if copies {
            let number = self.number();
            statements.insert(self.rng.usize(..=statements.len()), format!("COPY {number} FROM STDIN"));
        }
        self.send(text(b'Q', &statements.join("; ")));
        if copies {
            self.send_data();
        }
        self.answer(Form::Several, statements.iter().flat_map(|sql| parts_of(sql)).collect());
    }

    fn send_data(&mut self) {
        for _ in 0..self.rng.u32(..3) {
            self.send(message(b'd', b"data"));
        }
        let end = if self.rng.u32(..6) == 0 { text(b'f', "no") } else { message(b'c', b"") };
        self.send(end);
    }

    /// Adds a Parse, a Bind and an Execute of the unnamed statement.
    fn unnamed(&mut self, sql: &str, parts: &mut Vec<Part>) {
        self.send(message(b'P', &[b"\0", sql.as_bytes(), b"\0\0\0"].concat()));
        parts.push(Part::Reply(b'1'));
        if self.rng.u32(..4) == 0 {
            self.send(message(b'D', b"S\0"));
            parts.extend([Part::Reply(b't'), Part::Reply(description_of(sql))]);
        }
        self.send(message(b'B', b"\0\0\0\0\0\0\0\0"));
        parts.push(Part::Reply(b'2'));
        if self.rng.u32(..4) == 0 {
            self.send(message(b'D', b"P\0"));
            parts.push(Part::Reply(description_of(sql)));
        }
        self.send(message(b'E', b"\0\0\0\0\0"));
        parts.extend(parts_of(sql));
    }

    fn extended(&mut self) {
        let mut parts = Vec::new();
        for _ in 0..self.rng.u32(..4) {
            let sql = self.statement();
            self.unnamed(&sql, &mut parts);
            if self.rng.u32(..4) == 0 {
                self.send(message(b'H', b""));
            }
        }
        self.send(message(b'S', b""));
        self.answer(Form::Extended, parts);
    }

    fn prepared(&mut self) {
        let (mut parts, mut names) = (Vec::new(), Vec::new());
        for _ in 0..self.rng.u32(1..4) {
            match self.rng.u32(..7) {
                0..=1 => self.prepare(&mut parts, &mut names),
                2 if !self.names.is_empty() => {
                    let (name, _) = self.any_name();
                    self.send(message(b'C', &[b"S", name.as_bytes(), b"\0"].concat()));
                    names.push(NameUse { part: parts.len(), what: Use::Close, name });
                    parts.push(Part::Reply(b'3'));
                }
                3..=6 if !self.names.is_empty() => {
                    let (name, sql) = self.any_name();
                    self.send(message(b'B', &[b"\0", name.as_bytes(), b"\0\0\0\0\0\0\0"].concat()));
                    self.send(message(b'E', b"\0\0\0\0\0"));
                    names.push(NameUse { part: parts.len(), what: Use::Bind, name });
                    parts.push(Part::Reply(b'2'));
                    parts.extend(parts_of(&sql));
                }
                _ => {
                    let sql = self.statement();
                    self.unnamed(&sql, &mut parts);
                }
            }
        }
        self.send(message(b'S', b""));
        self.answers.push(Answer { form: Form::Prepared, parts, names, ignored_in_copy: false });
    }

    /// Returns a name that has been prepared, rather one of the last, and its text.
    fn any_name(&mut self) -> (String, String) {
        let first = self.names.len().saturating_sub(2);
        self.names[self.rng.usize(first..self.names.len())].clone()
    }

    /// Prepares a statement under a new name, or again under that of one that may have been closed.
    fn prepare(&mut self, parts: &mut Vec<Part>, names: &mut Vec<NameUse>) {
        let again = !self.names.is_empty() && self.rng.bool();
        let (name, sql) = if again {
            self.any_name()
        } else {
            let sql = match self.rng.u32(..4) {
                0 => "ROLLBACK".to_string(),
                _ => self.statement(),
            };
            (format!("s{}", self.number()), sql)
        };
        names.push(NameUse { part: parts.len(), what: Use::Parse, name: name.clone() });
        self.send(message(b'P', &[name.as_bytes(), b"\0", sql.as_bytes(), b"\0\0\0"].concat()));
        parts.push(Part::Reply(b'1'));
        if self.rng.bool() {
            self.send(message(b'D', &[b"S", name.as_bytes(), b"\0"].concat()));
            parts.extend([Part::Reply(b't'), Part::Reply(description_of(&sql))]);
        }
        if !again {
            self.names.push((name, sql));
        }
    }

    fn copy_statement(&mut self) -> String {
        match self.rng.u32(..4) {
            0 => format!("{COPY_THAT_FAILS} {} FROM STDIN", self.number()),
            _ => format!("COPY {} FROM STDIN", self.number()),
        }
    }

    fn copy(&mut self) {
        let sql = self.copy_statement();
        self.send(text(b'Q', &sql));
        self.send_data();
        self.answer(Form::Copy, parts_of(&sql));
    }

    fn copy_extended(&mut self) {
        let sql = self.copy_statement();
        let mut parts = Vec::new();
        self.unnamed(&sql, &mut parts);
        // Most drivers send a Sync before they know that the server copies; it ignores that then.
        if self.rng.bool() {
            self.send(message(b'S', b""));
            self.answers.push(Answer {
                form: Form::CopyExtended,
                parts: std::mem::take(&mut parts),
                names: Vec::new(),
                ignored_in_copy: true,
            });
        }
        self.send_data();
        self.send(message(b'S', b""));
        self.answer(Form::CopyExtended, parts);
    }

    fn own(&mut self) {
        let (sql, tag) = match self.rng.u32(..3) {
            0 => ("RESET dewferry.class", "RESET"),
            _ => ("SET dewferry.class = 'a'", "SET"),
        };
        self.send(text(b'Q', sql));
        self.answer(Form::Own, vec![Part::Own(tag)]);
    }

    fn function(&mut self) {
        let number = self.number();
        self.send(message(b'F', &[&number.to_be_bytes()[..], b"\0\0\0\0\0\0"].concat()));
        self.answer(Form::Function, vec![Part::Call(format!("CALL {number}"))]);
    }
}

fn description_of(sql: &str) -> u8 {
    if sql.starts_with("SELECT") {
        b'T'
    } else {
        b'n'
    }
}

/// Returns the replies to a statement that is run, but for its rows.
fn parts_of(sql: &str) -> Vec<Part> {
    let mut parts = Vec::new();
    if sql.ends_with("FROM STDIN") {
        parts.push(Part::Reply(b'G'));
    }
    if sql.ends_with("TO STDOUT") {
        parts.extend([Part::Reply(b'H'), Part::Reply(b'c')]);
    }
    parts.push(Part::Statement(sql.to_string()));
    parts
}
