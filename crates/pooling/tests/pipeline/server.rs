//! A server's side of one connection, as far as the pipelines use it. It keeps to PostgreSQL's protocol.

use std::collections::{HashMap, VecDeque};

use pgwire::session::{self as wire, Piece};
use pgwire::{error_response, Message};

/// Ends a transaction and begins another.
pub const CHAINED: &str = "ROLLBACK AND CHAIN";

/// A COPY from the client that fails before its data is read begins so.
pub const COPY_THAT_FAILS: &str = "COPY view";
/// The SQLSTATE with which it fails.
pub const FAILED_BEFORE_DATA: &str = "42809";

/// The COPY from the client that is in progress.
struct CopyIn {
    statement: String,
    /// The statements behind it in the same simple query, or none for a COPY of an Execute.
    rest: Option<Vec<String>>,
}

/// A connection to a server.
#[derive(Default)]
pub struct Server {
    status: u8,
    skipping: bool,
    copy_in: Option<CopyIn>,
    statements: HashMap<String, String>,
    portals: HashMap<String, String>,
    /// Replies that the pooler has not read yet.
    pub replies: VecDeque<Piece>,
    /// Whether the server ends the connection after its replies.
    pub has_ended: bool,
    /// The statements that were run since they were last taken.
    pub executed: Vec<String>,
}

impl Server {
    pub fn new() -> Server {
        Server { status: b'I', ..Server::default() }
    }

    /// Returns true if nothing is open or unread on the connection.
    pub fn is_at_rest(&self) -> bool {
        self.status == b'I' && !self.skipping && self.copy_in.is_none() && self.replies.is_empty()
    }

    /// Handles bytes that hold complete messages.
    pub fn receive(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let length = u32::from_be_bytes(bytes[1..5].try_into().unwrap()) as usize;
            self.handle(bytes[0], &bytes[5..length + 1]);
            bytes = &bytes[length + 1..];
        }
    }

    fn handle(&mut self, kind: u8, body: &[u8]) {
        if self.has_ended {
            return;
        }
        if self.copy_in.is_some() {
            return self.handle_in_copy(kind);
        }
        match kind {
            b'S' => {
                self.skipping = false;
                self.ready();
            }
            _ if self.skipping => {}
            b'H' | b'd' | b'c' | b'f' => {}
            b'Q' => {
                let sql = wire::read_query(body).unwrap();
                let statements = sql.split(';').map(|part| part.trim().to_string());
                let statements: Vec<String> = statements.filter(|part| !part.is_empty()).collect();
                if statements.is_empty() {
                    self.reply(b'I', b"");
                }
                self.run_query(statements);
            }
            b'F' => {
                let number = u32::from_be_bytes(*body.first_chunk().unwrap());
                self.call(&format!("CALL {number}"));
                self.ready();
            }
            b'P' => {
                let (name, sql, _) = wire::read_parse(body).unwrap();
                let exits = ends_transaction(sql);
                if !name.is_empty() && self.statements.contains_key(name) {
                    return self.fail_batch("42P05");
                }
                if self.status == b'E' && !exits {
                    return self.fail_batch("25P02");
                }
                if sql.starts_with("SELEC ") {
                    return self.fail_batch("42601");
                }
                self.statements.insert(name.into(), sql.into());
                self.reply(b'1', b"");
            }
            b'B' => {
                let (portal, name, _) = wire::read_bind(body).unwrap();
                let Some(sql) = self.statements.get(name).cloned() else { return self.fail_batch("26000") };
                self.portals.insert(portal.into(), sql);
                self.reply(b'2', b"");
            }
            b'D' => {
                let (of, name) = wire::read_target(body).unwrap();
                let known = if of == b'S' { &self.statements } else { &self.portals };
                let Some(sql) = known.get(name).cloned() else { return self.fail_batch("26000") };
                if of == b'S' {
                    self.reply(b't', b"\0\0");
                }
                self.reply(if sql.starts_with("SELECT") { b'T' } else { b'n' }, b"\0\0");
            }
            b'C' => {
                let (of, name) = wire::read_target(body).unwrap();
                let known = if of == b'S' { &mut self.statements } else { &mut self.portals };
                known.remove(name);
                self.reply(b'3', b"");
            }
            b'E' => {
                let portal = self.portals.get(wire::read_execute(body).unwrap()).cloned();
                let Some(sql) = portal else { return self.fail_batch("34000") };
                if sql.ends_with("FROM STDIN") && self.status != b'E' {
                    return self.begin_copy(sql, None);
                }
                self.skipping = !self.run(&sql);
            }
            other => panic!("the server got {}", other as char),
        }
    }

    fn handle_in_copy(&mut self, kind: u8) {
        match kind {
            b'd' | b'S' | b'H' => {}
            b'c' | b'f' => {
                let CopyIn { statement, rest } = self.copy_in.take().unwrap();
                let copied = kind == b'c';
                if copied {
                    self.complete(&statement);
                } else {
                    self.error("57014");
                }
                match rest {
                    Some(rest) if copied => self.run_query(rest),
                    Some(_) => self.ready(),
                    None => self.skipping = !copied,
                }
            }
            _ => {
                self.error("08P01");
                self.has_ended = true;
            }
        }
    }

    fn begin_copy(&mut self, statement: String, rest: Option<Vec<String>>) {
        self.reply(b'G', b"\0\0\0");
        if statement.starts_with(COPY_THAT_FAILS) {
            self.error(FAILED_BEFORE_DATA);
            return match rest {
                Some(_) => self.ready(),
                None => self.skipping = true,
            };
        }
        self.copy_in = Some(CopyIn { statement, rest });
    }

    fn run_query(&mut self, statements: Vec<String>) {
        for (at, sql) in statements.iter().enumerate() {
            if sql.ends_with("FROM STDIN") && self.status != b'E' {
                return self.begin_copy(sql.clone(), Some(statements[at + 1..].to_vec()));
            }
            if !self.run(sql) {
                break;
            }
        }
        self.ready();
    }

    /// Runs a statement. Returns false if it fails.
    fn run(&mut self, sql: &str) -> bool {
        if self.status == b'E' && !ends_transaction(sql) {
            self.error("25P02");
            return false;
        }
        match sql {
            "BEGIN" => self.status = b'T',
            "COMMIT" if self.status == b'E' => {
                self.status = b'I';
                self.replies.push_back(tag("ROLLBACK"));
                return true;
            }
            "COMMIT" | "ROLLBACK" => self.status = b'I',
            CHAINED if self.status == b'I' => {
                self.error("25P01");
                return false;
            }
            CHAINED => self.status = b'T',
            _ if sql.starts_with("FAIL") => {
                self.error("22012");
                return false;
            }
            _ if sql.starts_with("SELECT") => self.row(),
            _ if sql.ends_with("TO STDOUT") => {
                self.reply(b'H', b"\0\0\0");
                self.part(b"d\0\0\0\x06ab", true);
                self.reply(b'c', b"");
            }
            _ => {}
        }
        self.complete(sql);
        true
    }

    /// Calls a function by its number.
    fn call(&mut self, name: &str) {
        if self.status == b'E' {
            return self.error("25P02");
        }
        self.executed.push(name.to_string());
        self.reply(b'V', b"\0\0\0\0");
    }

    fn complete(&mut self, sql: &str) {
        self.executed.push(sql.to_string());
        self.replies.push_back(tag(sql));
    }

    /// A row that is passed on in two parts.
    fn row(&mut self) {
        self.part(b"D\0\0\0\x08", false);
        self.part(b"abcd", true);
    }

    fn part(&mut self, bytes: &[u8], is_last: bool) {
        self.replies.push_back(Piece::Part { bytes: bytes.to_vec(), is_last });
    }

    fn reply(&mut self, kind: u8, body: &[u8]) {
        self.replies.push_back(Piece::Message(Message { kind, body: body.to_vec() }));
    }

    fn fail_batch(&mut self, code: &str) {
        self.skipping = true;
        self.error(code);
    }

    fn error(&mut self, code: &str) {
        let bytes = error_response("ERROR", code, "no", None);
        self.reply(b'E', &bytes[5..]);
        if self.status == b'T' {
            self.status = b'E';
        }
    }

    fn ready(&mut self) {
        if self.status == b'I' {
            self.portals.clear();
        }
        self.reply(b'Z', &[self.status]);
    }
}

fn ends_transaction(sql: &str) -> bool {
    matches!(sql, "COMMIT" | "ROLLBACK" | CHAINED)
}

/// CommandComplete with the statement's own text as its tag.
fn tag(sql: &str) -> Piece {
    Piece::Message(Message { kind: b'C', body: [sql.as_bytes(), b"\0"].concat() })
}
