//! What each statement of a text is.

use crate::lexer::{Lexer, Token};

/// Most statements of one text that are told apart; a text with more is of one unknown kind.
const MOST: usize = 256;

/// Functions that neither write nor keep anything, of those that are used most. A read that calls any other is of
/// an unknown kind: what a function does, its name does not say.
const PURE: &[&str] = &[
    "abs",
    "age",
    "array_agg",
    "array_length",
    "array_to_string",
    "avg",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "ceil",
    "ceiling",
    "char_length",
    "clock_timestamp",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "cume_dist",
    "current_database",
    "current_schema",
    "current_setting",
    "date_part",
    "date_trunc",
    "dense_rank",
    "encode",
    "every",
    "exists",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "format_type",
    "generate_series",
    "greatest",
    "has_schema_privilege",
    "has_table_privilege",
    "initcap",
    "json_agg",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "make_date",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "nth_value",
    "ntile",
    "nullif",
    "obj_description",
    "octet_length",
    "overlay",
    "percent_rank",
    "pg_backend_pid",
    "pg_encoding_to_char",
    "pg_get_constraintdef",
    "pg_get_expr",
    "pg_get_indexdef",
    "pg_get_userbyid",
    "pg_is_in_recovery",
    "pg_last_wal_replay_lsn",
    "pg_table_is_visible",
    "position",
    "power",
    "quote_ident",
    "quote_literal",
    "rank",
    "regexp_matches",
    "regexp_replace",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "statement_timestamp",
    "stddev",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "timezone",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "transaction_timestamp",
    "translate",
    "trim",
    "trunc",
    "unnest",
    "upper",
    "variance",
    "version",
    "width_bucket",
];

/// Words that may stand before a parenthesis without being functions.
const GRAMMAR: &[&str] = &[
    "all",
    "and",
    "any",
    "array",
    "as",
    "between",
    "by",
    "case",
    "cast",
    "char",
    "cross",
    "cube",
    "decimal",
    "distinct",
    "else",
    "end",
    "except",
    "exists",
    "filter",
    "from",
    "full",
    "group",
    "grouping",
    "having",
    "ilike",
    "in",
    "inner",
    "intersect",
    "interval",
    "is",
    "join",
    "lateral",
    "left",
    "like",
    "limit",
    "materialized",
    "natural",
    "not",
    "numeric",
    "offset",
    "on",
    "only",
    "or",
    "order",
    "outer",
    "over",
    "partition",
    "recursive",
    "right",
    "rollup",
    "select",
    "sets",
    "similar",
    "some",
    "then",
    "time",
    "timestamp",
    "timestamptz",
    "to",
    "union",
    "using",
    "values",
    "varchar",
    "when",
    "where",
    "window",
    "with",
    "within",
];

/// Control of transactions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Control {
    /// Begins one; whether it says of itself that it only reads.
    Begin {
        /// `READ ONLY` or `READ WRITE`, where given.
        read_only: Option<bool>,
    },
    /// Ends one and keeps what it did.
    Commit,
    /// Ends one and undoes what it did.
    Rollback,
    /// Sets a mark of this name.
    Savepoint(String),
    /// Undoes what came after a mark.
    RollbackTo(String),
    /// Forgets a mark.
    Release(String),
    /// The first phase of two.
    Prepare,
}

/// What a statement changes of its session, in a way that can be carried over to another connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A setting, in lower case; its value as written, without the quotes of a single quoted text.
    Set {
        /// Its name.
        name: String,
        /// Its value as SQL.
        value: String,
        /// Whether it lasts for the transaction alone.
        local: bool,
    },
    /// A setting goes back to what it was at the session's start.
    Reset(String),
    /// All settings do.
    ResetAll,
    /// All that the session has goes.
    DiscardAll,
    /// All prepared statements go.
    DeallocateAll,
}

/// What binds a session to its connection: it cannot be carried over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Pin {
    /// A temporary table.
    Temporary,
    /// It listens to notifications.
    Listen,
    /// An advisory lock of the session's.
    Advisory,
    /// A cursor that outlives its transaction.
    HoldCursor,
    /// A statement prepared by SQL.
    Prepared,
    /// The present value of a sequence.
    Sequence,
    /// A role or an authorization of the session's.
    Role,
    /// A library that was loaded.
    Load,
}

impl Pin {
    /// The reason in words.
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
        }
    }
}

/// What a statement is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It only reads.
    Read,
    /// It may write.
    Write,
    /// It begins, ends or marks a transaction.
    Control(Control),
    /// It changes what the session has.
    Session(Change),
    /// What it is cannot be told; for this reason.
    Unknown(&'static str),
}

/// One statement of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// What it is.
    pub kind: Kind,
    /// What it binds the session by.
    pub pins: Vec<Pin>,
    /// Whether it moves data between the client and a table (`COPY ... FROM STDIN`, `TO STDOUT`).
    pub copies_data: bool,
}

/// All statements of a text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// In their order; none for a text without any.
    pub statements: Vec<Statement>,
    /// What the comment before the first of them says.
    pub comment: Option<String>,
}

impl Scan {
    /// Whether all of it only reads.
    pub fn is_read_only(&self) -> bool {
        self.statements.iter().all(|statement| statement.kind == Kind::Read)
    }
}

/// Tells what the statements of a text are.
pub fn scan(text: &str) -> Scan {
    let lead = text.trim_start();
    let comment = lead.strip_prefix("/*").and_then(|rest| rest.split_once("*/")).map(|(inside, _)| inside);
    let comment = comment.map(|inside| inside.trim().to_string());
    let (mut statements, mut tokens, mut lexer) = (Vec::new(), Vec::new(), Lexer::new(text));
    let mut depth = 0usize;
    for token in lexer.by_ref() {
        match token {
            Token::Symbol(';') if depth == 0 => {
                statements.extend(one(&std::mem::take(&mut tokens)));
                if statements.len() > MOST {
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
        return unknown("a quote or a comment does not end", comment);
    }
    statements.extend(one(&tokens));
    Scan { statements, comment }
}

fn unknown(why: &'static str, comment: Option<String>) -> Scan {
    Scan {
        statements: vec![Statement { kind: Kind::Unknown(why), pins: Vec::new(), copies_data: false }],
        comment,
    }
}

/// The words of a statement, for looking at one after the other.
struct Words<'a, 'b>(&'b [Token<'a>]);

impl<'a> Words<'a, '_> {
    /// Takes the next word where it is this one.
    fn eat(&mut self, word: &str) -> bool {
        match self.0.first() {
            Some(Token::Word(w)) if w.eq_ignore_ascii_case(word) => {
                self.0 = &self.0[1..];
                true
            }
            _ => false,
        }
    }

    fn any(&mut self, words: &[&str]) -> bool {
        words.iter().any(|word| self.eat(word))
    }

    /// Takes a name, quoted or not.
    fn name(&mut self) -> Option<String> {
        let name = match self.0.first()? {
            Token::Word(word) => word.to_lowercase(),
            Token::Name(name) => name.replace("\"\"", "\""),
            _ => return None,
        };
        self.0 = &self.0[1..];
        Some(name)
    }

    fn has(&self, words: &[&str]) -> bool {
        self.0.windows(words.len()).any(|window| {
            window
                .iter()
                .zip(words)
                .all(|(token, word)| matches!(token, Token::Word(w) if w.eq_ignore_ascii_case(word)))
        })
    }
}

/// What one statement is; none where there is nothing.
fn one(tokens: &[Token]) -> Option<Statement> {
    let first = tokens.iter().find(|token| !matches!(token, Token::Symbol('(')))?;
    let pins = pins(tokens);
    let mut words = Words(tokens);
    let kind = match first {
        Token::Word(word) => kind(&word.to_lowercase(), &mut words),
        _ => Kind::Unknown("it does not begin with a word"),
    };
    let copies = words.has(&["from", "stdin"]) || words.has(&["to", "stdout"]);
    let copies = copies && matches!(first, Token::Word(word) if word.eq_ignore_ascii_case("copy"));
    Some(Statement { kind, pins, copies_data: copies })
}

fn kind(first: &str, words: &mut Words) -> Kind {
    match first {
        "select" | "values" | "table" | "with" => query(words.0),
        "show" => Kind::Read,
        "explain" => {
            let runs = words.has(&["analyze"]) || words.has(&["analyse"]);
            if runs {
                Kind::Unknown("EXPLAIN ANALYZE runs its statement")
            } else {
                Kind::Read
            }
        }
        "copy" if words.has(&["to", "stdout"]) => query(&words.0[1..]),
        "insert" | "update" | "delete" | "merge" | "truncate" | "create" | "alter" | "drop" | "grant"
        | "revoke" | "vacuum" | "analyze" | "reindex" | "cluster" | "comment" | "copy" | "refresh"
        | "import" | "security" | "reassign" | "lock" | "notify" | "checkpoint" => Kind::Write,
        "begin" | "start" | "commit" | "end" | "rollback" | "abort" | "savepoint" | "release" => {
            control(words)
        }
        "prepare" => {
            words.eat("prepare");
            if words.eat("transaction") {
                Kind::Control(Control::Prepare)
            } else {
                Kind::Unknown("PREPARE in SQL")
            }
        }
        "set" | "reset" | "discard" | "deallocate" => session(words),
        "listen" | "unlisten" | "load" | "fetch" | "move" | "close" | "declare" | "execute" => {
            Kind::Unknown("it depends on what the session has")
        }
        "call" | "do" => Kind::Unknown("what a procedure does is not known"),
        _ => Kind::Unknown("no statement that is known"),
    }
}

/// Whether a query only reads.
fn query(tokens: &[Token]) -> Kind {
    let words = Words(tokens);
    for write in ["insert", "update", "delete", "merge"] {
        // In a WITH each of them is a statement; `FOR UPDATE` and a column of the name are not told apart here.
        if words.has(&[write]) {
            return if words.has(&["for", write]) { Kind::Write } else { Kind::Unknown("it may write") };
        }
    }
    if words.has(&["into"]) {
        return Kind::Write;
    }
    if words.has(&["for", "share"]) || words.has(&["for", "key"]) || words.has(&["for", "no"]) {
        return Kind::Write;
    }
    for pair in tokens.windows(2) {
        let (name, called) = match pair {
            [Token::Word(word), Token::Symbol('(')] => (word.to_lowercase(), true),
            [Token::Name(_), Token::Symbol('(')] => {
                return Kind::Unknown("it calls a function of a quoted name")
            }
            _ => (String::new(), false),
        };
        if called && PURE.binary_search(&name.as_str()).is_err() && !GRAMMAR.contains(&name.as_str()) {
            return Kind::Unknown("it calls a function that may write");
        }
    }
    Kind::Read
}

fn control(words: &mut Words) -> Kind {
    if words.eat("begin") || words.eat("start") {
        let read_only = match (words.has(&["read", "only"]), words.has(&["read", "write"])) {
            (true, false) => Some(true),
            (false, true) => Some(false),
            _ => None,
        };
        return Kind::Control(Control::Begin { read_only });
    }
    if words.any(&["commit", "end"]) {
        return if words.eat("prepared") { Kind::Write } else { Kind::Control(Control::Commit) };
    }
    if words.any(&["rollback", "abort"]) {
        if words.eat("prepared") {
            return Kind::Write;
        }
        let _ = words.any(&["work", "transaction"]);
        if !words.eat("to") {
            return Kind::Control(Control::Rollback);
        }
        words.eat("savepoint");
        return match words.name() {
            Some(name) => Kind::Control(Control::RollbackTo(name)),
            None => Kind::Unknown("a savepoint without a name"),
        };
    }
    let release = words.eat("release");
    words.eat("savepoint");
    match words.name() {
        Some(name) if release => Kind::Control(Control::Release(name)),
        Some(name) => Kind::Control(Control::Savepoint(name)),
        None => Kind::Unknown("a savepoint without a name"),
    }
}

fn session(words: &mut Words) -> Kind {
    if words.eat("discard") {
        return if words.eat("all") {
            Kind::Session(Change::DiscardAll)
        } else {
            // Of plans, sequences or temporary tables: the connection's alone.
            Kind::Write
        };
    }
    if words.eat("deallocate") {
        words.eat("prepare");
        return if words.eat("all") {
            Kind::Session(Change::DeallocateAll)
        } else {
            Kind::Unknown("it depends on what the session has")
        };
    }
    if words.eat("reset") {
        if words.eat("all") {
            return Kind::Session(Change::ResetAll);
        }
        if words.eat("session") {
            return Kind::Unknown("a session's role");
        }
        let name =
            if words.eat("time") && words.eat("zone") { Some("timezone".into()) } else { dotted(words) };
        return name.map_or(Kind::Unknown("RESET without a name"), |name| Kind::Session(Change::Reset(name)));
    }
    words.eat("set");
    let local = words.eat("local");
    if !local {
        words.eat("session");
    }
    if words.any(&["transaction", "characteristics", "constraints"]) {
        // Of the transaction, or of each one to come, which is a setting of another name.
        return if words.has(&["as", "transaction"]) {
            Kind::Unknown("characteristics of the session")
        } else {
            Kind::Write
        };
    }
    if words.any(&["authorization", "role"]) {
        return Kind::Unknown("a session's role");
    }
    if words.eat("time") {
        words.eat("zone");
        return set("timezone".into(), words.0, local);
    }
    if words.eat("names") {
        return set("client_encoding".into(), words.0, local);
    }
    let Some(name) = dotted(words) else { return Kind::Unknown("SET without a name") };
    if !words.eat("to") {
        match words.0.split_first() {
            Some((Token::Symbol('='), rest)) => words.0 = rest,
            _ => return Kind::Unknown("SET without a value"),
        }
    }
    set(name, words.0, local)
}

/// A name with dots in it.
fn dotted(words: &mut Words) -> Option<String> {
    let mut name = words.name()?.to_lowercase();
    while let Some((Token::Symbol('.'), rest)) = words.0.split_first() {
        words.0 = rest;
        name = format!("{name}.{}", words.name()?.to_lowercase());
    }
    Some(name)
}

/// A setting with the value that these pieces are.
fn set(name: String, value: &[Token], local: bool) -> Kind {
    if let [Token::Word(word)] = value {
        if word.eq_ignore_ascii_case("default") && !local {
            return Kind::Session(Change::Reset(name));
        }
    }
    let mut text = String::new();
    for token in value {
        let piece = match token {
            Token::Word(word) | Token::Number(word) => word.to_string(),
            Token::Name(name) => format!("\"{name}\""),
            // An escape that only E'' undoes is not carried over.
            Token::Text(inside) if inside.contains('\\') => return Kind::Unknown("a value with escapes"),
            Token::Text(inside) => format!("'{inside}'"),
            Token::Symbol(sign @ (',' | '-' | '+' | '.')) => sign.to_string(),
            Token::Symbol(_) => return Kind::Unknown("a value that is no constant"),
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

/// What a statement binds its session by.
fn pins(tokens: &[Token]) -> Vec<Pin> {
    let words = Words(tokens);
    let first = |word: &str| matches!(tokens.first(), Some(Token::Word(w)) if w.eq_ignore_ascii_case(word));
    let calls = |prefix: &str| {
        tokens.windows(2).any(|pair| match pair {
            [Token::Word(word), Token::Symbol('(')] => word.to_lowercase().starts_with(prefix),
            _ => false,
        })
    };
    let temporary = words.has(&["temp"]) || words.has(&["temporary"]);
    let advisory = calls("pg_advisory_lock") || calls("pg_try_advisory_lock");
    let role = first("set") && (words.has(&["role"]) || words.has(&["authorization"]));
    let found = [
        (first("create") && temporary, Pin::Temporary),
        ((first("select") || first("with")) && words.has(&["into"]) && temporary, Pin::Temporary),
        (first("listen"), Pin::Listen),
        (advisory, Pin::Advisory),
        (first("declare") && words.has(&["with", "hold"]), Pin::HoldCursor),
        (first("prepare") && !words.has(&["prepare", "transaction"]), Pin::Prepared),
        (calls("nextval") || calls("setval") || calls("currval") || calls("lastval"), Pin::Sequence),
        (role || words.has(&["characteristics", "as", "transaction"]), Pin::Role),
        (calls("set_config"), Pin::Role),
        (first("load"), Pin::Load),
    ];
    found.into_iter().filter(|(is, _)| *is).map(|(_, pin)| pin).collect()
}

#[cfg(test)]
mod tests {
    use super::PURE;

    #[test]
    fn the_list_of_functions_can_be_searched() {
        assert!(PURE.is_sorted());
    }
}
