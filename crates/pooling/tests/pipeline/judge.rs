//! Judges what a client receives by one promise: each query and each Sync gets its own answer in its place, or the
//! connection ends; and what is answered without an error was run.

use std::collections::{HashMap, VecDeque};

use pgwire::session as wire;

use super::client::{Answer, Form, NameUse, Part, Use};
use super::server::{CHAINED, FAILED_BEFORE_DATA};

/// Whether a statement is known under its name, as far as the client can tell.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Known {
    Yes,
    No,
}

/// A message that the client has received.
#[derive(Debug)]
struct Received {
    kind: u8,
    body: Vec<u8>,
}

/// What a client has received, compared with what it is owed.
pub struct Judge {
    answers: VecDeque<Answer>,
    /// Answers that have been received, and those to which the client has sent a message.
    received: usize,
    begun: usize,
    /// Bytes of a message that is not complete, and the messages of the answer that is not.
    bytes: Vec<u8>,
    current: Vec<Received>,
    /// Number of the last answer whose Sync has been sent, plus one.
    synced: usize,
    /// Whether the current answer's Sync is ignored by the COPY that has begun.
    sync_is_ignored: bool,
    /// How often each statement was run, less the answers that said so.
    executed: HashMap<String, i32>,
    names: HashMap<String, Known>,
    /// An error that no request had asked for: nothing but the end of the connection may follow.
    unsolicited: Option<String>,
    /// The transaction status of the last answer.
    status: u8,
    /// The first form that was not answered as promised.
    pub fault: Option<String>,
}

impl Judge {
    pub fn new(answers: Vec<Answer>) -> Judge {
        Judge {
            answers: answers.into(),
            received: 0,
            begun: 0,
            bytes: Vec::new(),
            current: Vec::new(),
            synced: 0,
            sync_is_ignored: false,
            executed: HashMap::new(),
            names: HashMap::new(),
            unsolicited: None,
            status: b'I',
            fault: None,
        }
    }

    /// Notes that the client sends a message that belongs to this answer.
    pub fn sent(&mut self, kind: u8, answer: usize) {
        self.begun = self.begun.max(answer + 1);
        if kind == b'S' {
            self.synced = answer + 1;
        }
    }

    pub fn executed(&mut self, statements: Vec<String>) {
        for sql in statements {
            *self.executed.entry(sql).or_default() += 1;
        }
    }

    /// Returns the form of the answer that is owed next, if the client has begun to ask for it.
    pub fn owed(&self) -> Option<Form> {
        (self.received < self.begun).then(|| self.answers.front().map(|answer| answer.form)).flatten()
    }

    /// Returns the forms of all answers that are owed.
    pub fn all_owed(&self) -> impl Iterator<Item = Form> + '_ {
        self.answers.iter().take(self.begun - self.received).map(|answer| answer.form)
    }

    /// Returns the form that the client asks for next.
    pub fn next(&self) -> Option<Form> {
        self.answers.get(self.begun - self.received).map(|answer| answer.form)
    }

    pub fn receive(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
        while self.bytes.len() >= 5 {
            let length = u32::from_be_bytes(self.bytes[1..5].try_into().unwrap()) as usize + 1;
            if self.bytes.len() < length {
                return;
            }
            let rest = self.bytes.split_off(length);
            let message = std::mem::replace(&mut self.bytes, rest);
            self.message(Received { kind: message[0], body: message[5..].to_vec() });
        }
    }

    /// Notes that the actions of one event have been carried out.
    pub fn event_ended(&mut self, closed: bool) {
        if let Some(text) = self.unsolicited.take().filter(|_| !closed) {
            self.report(text);
        }
    }

    fn report(&mut self, text: String) {
        self.fault.get_or_insert(text);
    }

    fn message(&mut self, message: Received) {
        if matches!(message.kind, b'S' | b'A' | b'N') {
            return;
        }
        if self.owed().is_none() {
            let text = format!("{} to a client that is owed nothing", message.kind as char);
            self.unsolicited.get_or_insert(text);
            return;
        }
        match message.kind {
            b'G' => self.sync_is_ignored = true,
            // It is sent, or read by the server, after the COPY has failed.
            b'E' if self.synced <= self.received => self.sync_is_ignored = false,
            b'E' if pgwire::error_code(&message.body).0 == FAILED_BEFORE_DATA => self.sync_is_ignored = false,
            _ => {}
        }
        if message.kind != b'Z' {
            return self.current.push(message);
        }
        let answer = self.answers.pop_front().unwrap();
        let received = std::mem::take(&mut self.current);
        let checked =
            self.check_status(&received, message.body[0]).and_then(|()| self.check(&answer, &received));
        if let Err(text) = checked {
            self.report(format!("answer {} ({:?}): {text}", self.received, answer.form));
        }
        self.received += 1;
        if std::mem::take(&mut self.sync_is_ignored) && answer.ignored_in_copy {
            self.answers.pop_front();
            self.received += 1;
        }
    }

    fn check(&mut self, answer: &Answer, received: &[Received]) -> Result<(), String> {
        let replies = received.iter().filter(|message| !matches!(message.kind, b'D' | b'd'));
        let mut replies = replies.peekable();
        let mut parts = answer.parts.iter();
        while let Some(reply) = replies.next_if(|reply| reply.kind != b'E') {
            let Some(part) = parts.next() else { return Err(format!("{reply:?} was not asked for")) };
            self.check_part(part, reply)?;
        }
        let answered = answer.parts.len() - parts.len();
        let Some(error) = replies.next() else {
            self.check_names(&answer.names, answered, "")?;
            return parts.next().map_or(Ok(()), |part| Err(format!("{part:?} is missing, without an error")));
        };
        let (code, _) = pgwire::error_code(&error.body);
        self.check_names(&answer.names, answered, &code)?;
        let behind = replies.find(|reply| reply.kind != b'E');
        behind.map_or(Ok(()), |reply| Err(format!("{reply:?} behind an error")))
    }

    /// Checks that a transaction ends, or begins, by a statement that says so, or by an error.
    fn check_status(&mut self, received: &[Received], status: u8) -> Result<(), String> {
        let before = std::mem::replace(&mut self.status, status);
        let tells = |reply: &Received| {
            let tag = (reply.kind == b'C').then(|| wire::read_command_tag(&reply.body));
            reply.kind == b'E' || matches!(tag, Some("BEGIN" | "COMMIT" | "ROLLBACK" | CHAINED))
        };
        if (before == b'I') == (status == b'I') || received.iter().any(tells) {
            return Ok(());
        }
        Err(format!("status {} after {}, by nothing", status as char, before as char))
    }

    fn check_part(&mut self, part: &Part, reply: &Received) -> Result<(), String> {
        let fits = match part {
            Part::Reply(kind) => reply.kind == *kind,
            Part::Own(tag) => reply.kind == b'C' && wire::read_command_tag(&reply.body) == *tag,
            Part::Call(name) => reply.kind == b'V' && self.claim(name),
            Part::Statement(sql) => {
                let tag = wire::read_command_tag(&reply.body).to_string();
                let rolled_back = tag == "ROLLBACK" && matches!(sql.as_str(), "COMMIT" | "ROLLBACK");
                reply.kind == b'C' && (rolled_back || tag == *sql && self.claim(sql))
            }
        };
        if fits {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        Err(format!("{} {text:?} in the place of {part:?}, or that was not run", reply.kind as char))
    }

    /// Counts an answer that says that a statement was run. Returns false if it was not.
    fn claim(&mut self, sql: &str) -> bool {
        let left = self.executed.entry(sql.to_string()).or_default();
        *left -= 1;
        *left >= 0
    }

    /// Checks an error, if there is one, by what the client can tell of its statements' names, and notes what it can
    /// tell after an answer with so many parts.
    fn check_names(&mut self, names: &[NameUse], answered: usize, code: &str) -> Result<(), String> {
        for NameUse { part, what, name } in names {
            let known = self.names.get(name).copied();
            if *part == answered {
                match (what, code) {
                    (Use::Bind, "26000") if known == Some(Known::Yes) => {
                        return Err(format!("{name} was prepared without an error"));
                    }
                    (Use::Parse, "42P05") if known == Some(Known::No) => {
                        return Err(format!("{name} was closed without an error"));
                    }
                    _ => {}
                }
            }
            match what {
                Use::Bind => {}
                // It was not asked for, or is not told whether it was done.
                _ if *part >= answered => drop(self.names.remove(name)),
                Use::Parse => drop(self.names.insert(name.clone(), Known::Yes)),
                Use::Close => drop(self.names.insert(name.clone(), Known::No)),
            }
        }
        Ok(())
    }

    /// Judges a play that has come to its end.
    pub fn finish(mut self, closed: bool) -> Result<(), String> {
        if !closed && !self.answers.is_empty() {
            let forms: Vec<Form> = self.answers.iter().map(|answer| answer.form).collect();
            self.report(format!("never answered: {forms:?}, so far {:?}", self.current));
        }
        self.fault.map_or(Ok(()), Err)
    }
}
