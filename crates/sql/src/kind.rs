//! Classifies the statements of a text.

use crate::functions::{calls, unknown_functions};
use crate::lexer::{Lexer, Token};

/// Why a statement is not classified that begins with no word that is known.
const UNKNOWN_STATEMENT: &str = "unknown statement";
/// Maximum number of statements in one text; a text with more is classified as one unknown statement.
const MAX_STATEMENTS: usize = 256;

/// A transaction control statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Control {
    /// Begins a transaction.
    Begin {
        /// `READ ONLY` or `READ WRITE`, where given.
        read_only: Option<bool>,
    },
    /// Commits a transaction.
    Commit {
        /// Whether another transaction begins at once (`AND CHAIN`).
        chain: bool,
    },
    /// Rolls back a transaction.
    Rollback {
        /// Whether another transaction begins at once (`AND CHAIN`).
        chain: bool,
    },
    /// Sets a savepoint of this name.
    Savepoint(String),
    /// Rolls back to a savepoint.
    RollbackTo(String),
    /// Releases a savepoint.
    Release(String),
    /// The first phase of a two-phase commit (`PREPARE TRANSACTION`).
    Prepare,
}

/// A change of session state that can be reproduced on another connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Sets a setting.
    Set {
        /// Its name in lower case.
        name: String,
        /// Its value as SQL text.
        value: String,
        /// Whether it applies to the current transaction only (`SET LOCAL`).
        local: bool,
    },
    /// Resets a setting to its value at the session's start.
    Reset(String),
    /// Resets all settings.
    ResetAll,
    /// Discards all state of the session.
    DiscardAll,
    /// Deallocates all prepared statements.
    DeallocateAll,
}

/// State that binds a session to its connection, since it cannot be reproduced on another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Pin {
    /// A temporary table.
    Temporary,
    /// A subscription to notifications.
    Listen,
    /// A session-level advisory lock.
    Advisory,
    /// A cursor that survives its transaction.
    HoldCursor,
    /// A statement prepared by the SQL command `PREPARE`.
    Prepared,
    /// The session's current value of a sequence.
    Sequence,
    /// A session-level role, session authorization, or setting changed in a way that is not tracked.
    Role,
    /// A loaded library.
    Load,
    /// A setting whose value is not understood.
    Setting,
    /// Whatever a statement leaves in the session whose effect is not known.
    Unknown,
}

impl Pin {
    /// Returns true if it is not known what state the session has.
    pub fn is_unknown(self) -> bool {
        matches!(self, Pin::Setting | Pin::Unknown)
    }

    /// Describes the reason for users.
    pub fn describe(self) -> &'static str {
        match self {
            Pin::Temporary => "a temporary table",
            Pin::Listen => "LISTEN",
            Pin::Advisory => "an advisory lock",
            Pin::HoldCursor => "a cursor WITH HOLD",
            Pin::Prepared => "PREPARE in SQL",
            Pin::Sequence => "a sequence's value",
            Pin::Role => "a session's role",
            Pin::Load => "LOAD",
            Pin::Setting => "a setting that is not understood",
            Pin::Unknown => "a function or a statement whose effect is not known",
        }
    }
}

/// The kind of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only reads.
    Read,
    /// May write.
    Write,
    /// Begins or ends a transaction, or sets, releases or returns to a savepoint.
    Control(Control),
    /// Changes the session's state.
    Session(Change),
    /// Cannot be classified, for this reason.
    Unknown(&'static str),
}

/// A classified statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Its kind.
    pub kind: Kind,
    /// State by which it binds the session to the connection.
    pub pins: Vec<Pin>,
    /// Functions that it calls, in lower case and without their schemas, of which it is unknown what they leave
    /// in the session.
    pub unknown_functions: Vec<String>,
    /// Whether it copies data from or to the client (`COPY ... FROM STDIN`, `TO STDOUT`).
    pub copies_data: bool,
}

impl Statement {
    /// Returns the memory that the classification takes (bytes); texts in it are counted with the statement's own.
    fn memory(&self) -> usize {
        let name = |name: &String| size_of::<String>() + name.len();
        size_of::<Statement>()
            + self.pins.len() * size_of::<Pin>()
            + self.unknown_functions.iter().map(name).sum::<usize>()
    }
}

/// The classified statements of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// Statements in order of the text.
    pub statements: Vec<Statement>,
    /// The content of the comment before the first statement.
    pub comment: Option<String>,
}

impl Scan {
    /// Returns the memory that the classification takes (bytes).
    pub fn memory(&self) -> usize {
        let comment = self.comment.as_ref().map_or(0, String::len);
        comment + self.statements.iter().map(Statement::memory).sum::<usize>()
    }

    /// Returns true if all statements only read.
    pub fn is_read_only(&self) -> bool {
        self.statements.iter().all(|statement| statement.kind == Kind::Read)
    }
}

/// Classifies the statements of a text.
pub fn scan(text: &str) -> Scan {
    let lead = text.trim_start();
    let comment = lead.strip_prefix("/*").and_then(|rest| rest.split_once("*/")).map(|(inside, _)| inside);
    let comment = comment.map(|inside| inside.trim().to_string());
    let (mut statements, mut tokens, mut lexer) = (Vec::new(), Vec::new(), Lexer::new(text));
    let mut depth = 0usize;
    for token in lexer.by_ref() {
        match token {
            Token::Symbol(';') if depth == 0 => {
                statements.extend(statement(&std::mem::take(&mut tokens)));
                if statements.len() > MAX_STATEMENTS {
                    return unknown("too many statements", comment);
                }
                continue;
            }
            Token::Symbol('(') => depth += 1,
            Token::Symbol(')') => depth = depth.saturating_sub(1),
            _ => {}
        }
        tokens.push(token);
    }
    if lexer.is_unterminated() {
        return unknown("unterminated quote or comment", comment);
    }
    statements.extend(statement(&tokens));
    Scan { statements, comment }
}

fn unknown(why: &'static str, comment: Option<String>) -> Scan {
    let statement = Statement {
        kind: Kind::Unknown(why),
        pins: vec![Pin::Unknown],
        unknown_functions: Vec::new(),
        copies_data: false,
    };
    Scan { statements: vec![statement], comment }
}

/// A cursor over the tokens of a statement.
struct TokenCursor<'a, 'b>(&'b [Token<'a>]);

impl<'a> TokenCursor<'a, '_> {
    /// Consumes the next token if it is this word.
    fn eat(&mut self, word: &str) -> bool {
        match self.0.first() {
            Some(Token::Word(w)) if w.eq_ignore_ascii_case(word) => {
                self.0 = &self.0[1..];
                true
            }
            _ => false,
        }
    }

    /// Consumes the next token if it is one of these words.
    fn eat_any(&mut self, words: &[&str]) -> bool {
        words.iter().any(|word| self.eat(word))
    }

    /// Consumes an identifier, quoted or not.
    fn take_name(&mut self) -> Option<String> {
        let name = match self.0.first()? {
            Token::Word(word) => word.to_lowercase(),
            Token::Name(name) => name.replace("\"\"", "\""),
            _ => return None,
        };
        self.0 = &self.0[1..];
        Some(name)
    }

    /// Returns true if these words occur in sequence anywhere in the remaining tokens.
    fn contains(&self, words: &[&str]) -> bool {
        self.0.windows(words.len()).any(|window| {
            window
                .iter()
                .zip(words)
                .all(|(token, word)| matches!(token, Token::Word(w) if w.eq_ignore_ascii_case(word)))
        })
    }
}

/// Classifies one statement; returns none if there are no tokens.
fn statement(tokens: &[Token]) -> Option<Statement> {
    let first = tokens.iter().find(|token| !matches!(token, Token::Symbol('(')))?;
    let mut words = TokenCursor(tokens);
    let (first_word, kind) = match first {
        Token::Word(word) => (word.to_lowercase(), statement_kind(&word.to_lowercase(), &mut words)),
        _ => (String::new(), Kind::Unknown("it does not begin with a word")),
    };
    let words = TokenCursor(tokens);
    let mut pins = session_pins(tokens);
    pins.extend(unknown_state(&first_word, &kind, &words).filter(|_| pins.is_empty()));
    let unknown_functions = unknown_functions(called_from(&first_word, &words));
    let copies_data = words.contains(&["from", "stdin"]) || words.contains(&["to", "stdout"]);
    let copies_data = copies_data && matches!(first, Token::Word(word) if word.eq_ignore_ascii_case("copy"));
    Some(Statement { kind, pins, unknown_functions, copies_data })
}

/// Returns the pin of a statement that may leave something in the session that its text does not tell. Functions
/// that it calls are not considered.
fn unknown_state(first: &str, kind: &Kind, words: &TokenCursor) -> Option<Pin> {
    let Kind::Unknown(why) = kind else { return None };
    let is_local = matches!(words.0.get(1), Some(Token::Word(word)) if word.eq_ignore_ascii_case("local"));
    match first {
        "set" if !is_local => Some(Pin::Setting),
        "do" | "" => Some(Pin::Unknown),
        _ if *why == UNKNOWN_STATEMENT => Some(Pin::Unknown),
        _ => None,
    }
}

/// Returns the part of a statement whose functions are called when it is run.
fn called_from<'a, 'b>(first: &str, words: &TokenCursor<'a, 'b>) -> &'b [Token<'a>] {
    let is_as = |token: &Token| matches!(token, Token::Word(word) if word.eq_ignore_ascii_case("as"));
    match first {
        "select" | "values" | "table" | "with" | "insert" | "update" | "delete" | "merge" | "copy"
        | "call" | "declare" | "execute" => words.0,
        "explain" if words.contains(&["analyze"]) || words.contains(&["analyse"]) => words.0,
        "create" if words.contains(&["table"]) => {
            words.0.iter().position(is_as).map_or(&[], |at| &words.0[at + 1..])
        }
        _ => &[],
    }
}

fn statement_kind(first: &str, words: &mut TokenCursor) -> Kind {
    match first {
        "select" | "values" | "table" | "with" => query_kind(words.0),
        "show" => Kind::Read,
        "explain" => {
            let executes = words.contains(&["analyze"]) || words.contains(&["analyse"]);
            if executes {
                Kind::Unknown("EXPLAIN ANALYZE runs its statement")
            } else {
                Kind::Read
            }
        }
        "copy" if words.contains(&["to", "stdout"]) => query_kind(&words.0[1..]),
        "insert" | "update" | "delete" | "merge" | "truncate" | "create" | "alter" | "drop" | "grant"
        | "revoke" | "vacuum" | "analyze" | "reindex" | "cluster" | "comment" | "copy" | "refresh"
        | "import" | "security" | "reassign" | "lock" | "notify" | "checkpoint" => Kind::Write,
        "begin" | "start" | "commit" | "end" | "rollback" | "abort" | "savepoint" | "release" => {
            control_kind(words)
        }
        "prepare" => {
            words.eat("prepare");
            if words.eat("transaction") {
                Kind::Control(Control::Prepare)
            } else {
                Kind::Unknown("PREPARE in SQL")
            }
        }
        "set" | "reset" | "discard" | "deallocate" => session_kind(words),
        "listen" | "unlisten" | "load" | "fetch" | "move" | "close" | "declare" | "execute" => {
            Kind::Unknown("it depends on the session's state")
        }
        "call" | "do" => Kind::Unknown("it is unknown what a procedure does"),
        _ => Kind::Unknown(UNKNOWN_STATEMENT),
    }
}

/// Classifies a query as a read unless it may write.
fn query_kind(tokens: &[Token]) -> Kind {
    let words = TokenCursor(tokens);
    for write in ["insert", "update", "delete", "merge"] {
        // Inside a WITH each of these words begins a statement. A column of the same name is not
        // distinguished from that.
        if words.contains(&[write]) {
            return if words.contains(&["for", write]) { Kind::Write } else { Kind::Unknown("it may write") };
        }
    }
    if words.contains(&["into"]) {
        return Kind::Write;
    }
    if words.contains(&["for", "share"]) || words.contains(&["for", "key"]) || words.contains(&["for", "no"])
    {
        return Kind::Write;
    }
    match calls(tokens).find(|call| !call.is_read_only()) {
        Some(call) if call.is_quoted() => Kind::Unknown("it calls a function with a quoted name"),
        Some(_) => Kind::Unknown("it calls a function that may write"),
        None => Kind::Read,
    }
}

fn control_kind(words: &mut TokenCursor) -> Kind {
    if words.eat("begin") || words.eat("start") {
        let read_only = match (words.contains(&["read", "only"]), words.contains(&["read", "write"])) {
            (true, false) => Some(true),
            (false, true) => Some(false),
            _ => None,
        };
        return Kind::Control(Control::Begin { read_only });
    }
    let chain = words.contains(&["and", "chain"]);
    if words.eat_any(&["commit", "end"]) {
        return if words.eat("prepared") { Kind::Write } else { Kind::Control(Control::Commit { chain }) };
    }
    if words.eat_any(&["rollback", "abort"]) {
        if words.eat("prepared") {
            return Kind::Write;
        }
        let _ = words.eat_any(&["work", "transaction"]);
        if !words.eat("to") {
            return Kind::Control(Control::Rollback { chain });
        }
        words.eat("savepoint");
        return match words.take_name() {
            Some(name) => Kind::Control(Control::RollbackTo(name)),
            None => Kind::Unknown("a savepoint without a name"),
        };
    }
    let release = words.eat("release");
    words.eat("savepoint");
    match words.take_name() {
        Some(name) if release => Kind::Control(Control::Release(name)),
        Some(name) => Kind::Control(Control::Savepoint(name)),
        None => Kind::Unknown("a savepoint without a name"),
    }
}

fn session_kind(words: &mut TokenCursor) -> Kind {
    if words.eat("discard") {
        return if words.eat("all") {
            Kind::Session(Change::DiscardAll)
        } else {
            // DISCARD of plans, sequences or temporary tables affects the connection only.
            Kind::Write
        };
    }
    if words.eat("deallocate") {
        words.eat("prepare");
        return if words.eat("all") {
            Kind::Session(Change::DeallocateAll)
        } else {
            Kind::Unknown("it depends on the session's state")
        };
    }
    if words.eat("reset") {
        if words.eat("all") {
            return Kind::Session(Change::ResetAll);
        }
        if words.eat("session") {
            return Kind::Unknown("a session's role");
        }
        let name = if words.eat("time") && words.eat("zone") {
            Some("timezone".into())
        } else {
            take_dotted_name(words)
        };
        return name.map_or(Kind::Unknown("RESET without a name"), |name| Kind::Session(Change::Reset(name)));
    }
    words.eat("set");
    let local = words.eat("local");
    if !local {
        words.eat("session");
    }
    if words.eat_any(&["transaction", "characteristics", "constraints"]) {
        // Applies to the current transaction; with SESSION CHARACTERISTICS, to all later ones through another
        // setting.
        return if words.contains(&["as", "transaction"]) {
            Kind::Unknown("characteristics of the session")
        } else {
            Kind::Write
        };
    }
    if words.eat_any(&["authorization", "role"]) {
        return Kind::Unknown("a session's role");
    }
    if words.eat("time") {
        words.eat("zone");
        return match words.0 {
            [Token::Word(word)] if word.eq_ignore_ascii_case("local") && !local => {
                Kind::Session(Change::Reset("timezone".into()))
            }
            // Only SET TIME ZONE accepts an interval.
            [Token::Word(word), ..] if word.eq_ignore_ascii_case("interval") => {
                Kind::Unknown("a time zone that is an interval")
            }
            value => set_kind("timezone".into(), value, local),
        };
    }
    if words.eat("names") {
        return set_kind("client_encoding".into(), words.0, local);
    }
    let Some(name) = take_dotted_name(words) else { return Kind::Unknown("SET without a name") };
    if !words.eat("to") {
        match words.0.split_first() {
            Some((Token::Symbol('='), rest)) => words.0 = rest,
            _ => return Kind::Unknown("SET without a value"),
        }
    }
    set_kind(name, words.0, local)
}

/// Consumes a name that may contain dots, and returns it in lower case.
fn take_dotted_name(words: &mut TokenCursor) -> Option<String> {
    let mut name = words.take_name()?.to_lowercase();
    while let Some((Token::Symbol('.'), rest)) = words.0.split_first() {
        words.0 = rest;
        name = format!("{name}.{}", words.take_name()?.to_lowercase());
    }
    Some(name)
}

/// Classifies a SET with the value given by these tokens.
fn set_kind(name: String, value: &[Token], local: bool) -> Kind {
    if let [Token::Word(word)] = value {
        if word.eq_ignore_ascii_case("default") && !local {
            return Kind::Session(Change::Reset(name));
        }
    }
    let mut text = String::new();
    for (index, token) in value.iter().enumerate() {
        let follows_text = index > 0 && matches!(value[index - 1], Token::Text { .. });
        let piece = match token {
            Token::Word(word) | Token::Number(word) => word.to_string(),
            Token::Name(name) => format!("\"{name}\""),
            // Constants that are continued on a further line are one constant there only.
            Token::Text { .. } if follows_text => return Kind::Unknown("a value of several constants"),
            Token::Text { content, source } => match reproduced_constant(content, source) {
                Some(constant) => constant,
                None => return Kind::Unknown("a value with a backslash"),
            },
            Token::Symbol(sign @ (',' | '-' | '+' | '.')) => sign.to_string(),
            Token::Symbol(_) => return Kind::Unknown("a value that is not a constant"),
        };
        if !text.is_empty() && !matches!(token, Token::Symbol(_)) && !text.ends_with(['-', '+', '.']) {
            text.push(' ');
        }
        text += &piece;
    }
    if text.is_empty() {
        return Kind::Unknown("SET without a value");
    }
    Kind::Session(Change::Set { name, value: text, local })
}

/// Returns a string constant that means the same on every connection. There is none for a plain constant with a
/// backslash, whose meaning depends on `standard_conforming_strings`.
fn reproduced_constant(content: &str, source: &str) -> Option<String> {
    let has_escapes = source.starts_with(['e', 'E']) && content.contains('\\');
    let is_dollar_quoted = source.starts_with('$') && content.contains(['\\', '\'']);
    if has_escapes || is_dollar_quoted {
        return Some(source.to_string());
    }
    (!content.contains('\\')).then(|| format!("'{content}'"))
}

/// Returns the state by which a statement binds its session to the connection.
fn session_pins(tokens: &[Token]) -> Vec<Pin> {
    let words = TokenCursor(tokens);
    let first = |word: &str| matches!(tokens.first(), Some(Token::Word(w)) if w.eq_ignore_ascii_case(word));
    let calls = |prefix: &str| {
        tokens.windows(2).any(|pair| match pair {
            [Token::Word(word), Token::Symbol('(')] => word.to_lowercase().starts_with(prefix),
            _ => false,
        })
    };
    let temporary = ["temp", "temporary", "pg_temp"].iter().any(|word| words.contains(&[word]));
    let advisory = calls("pg_advisory_lock") || calls("pg_try_advisory_lock");
    let role = first("set") && (words.contains(&["role"]) || words.contains(&["authorization"]));
    let found = [
        (first("create") && temporary, Pin::Temporary),
        ((first("select") || first("with")) && words.contains(&["into"]) && temporary, Pin::Temporary),
        (first("listen"), Pin::Listen),
        (advisory, Pin::Advisory),
        (first("declare") && words.contains(&["with", "hold"]), Pin::HoldCursor),
        (first("prepare") && !words.contains(&["prepare", "transaction"]), Pin::Prepared),
        (calls("nextval") || calls("setval") || calls("currval") || calls("lastval"), Pin::Sequence),
        (role || words.contains(&["characteristics", "as", "transaction"]), Pin::Role),
        (calls("set_config"), Pin::Role),
        (first("load"), Pin::Load),
    ];
    found.into_iter().filter(|(applies, _)| *applies).map(|(_, pin)| pin).collect()
}
