//! The functions that a statement calls, and what is known of them.

use crate::lexer::Token;

/// Common functions that neither write nor change the session, in alphabetical order. A query that calls any
/// other function is of an unknown kind, since a function's name does not tell what it does.
const READ_ONLY_FUNCTIONS: &[&str] = &[
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

/// Keywords that may precede a parenthesis without being function names.
const KEYWORDS_BEFORE_PARENTHESIS: &[&str] = &[
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

/// Common functions that may write, or whose result varies, but that leave nothing in the session, in alphabetical
/// order; and those whose effect on the session has a [`crate::Pin`] of its own.
const UNDERSTOOD_FUNCTIONS: &[&str] = &[
    "array_append",
    "array_position",
    "array_remove",
    "array_to_json",
    "bit_length",
    "bool_or",
    "chr",
    "cos",
    "currval",
    "date_bin",
    "decode",
    "div",
    "gen_random_bytes",
    "gen_random_uuid",
    "gen_salt",
    "hashtext",
    "hmac",
    "isfinite",
    "json_array_elements",
    "json_array_elements_text",
    "json_array_length",
    "json_build_array",
    "json_each",
    "json_each_text",
    "json_extract_path_text",
    "json_object_agg",
    "json_object_keys",
    "json_populate_record",
    "json_populate_recordset",
    "json_to_record",
    "json_to_recordset",
    "json_typeof",
    "jsonb_array_elements",
    "jsonb_array_elements_text",
    "jsonb_array_length",
    "jsonb_build_array",
    "jsonb_each",
    "jsonb_each_text",
    "jsonb_extract_path_text",
    "jsonb_insert",
    "jsonb_object_agg",
    "jsonb_object_keys",
    "jsonb_path_exists",
    "jsonb_path_query",
    "jsonb_populate_record",
    "jsonb_populate_recordset",
    "jsonb_pretty",
    "jsonb_set",
    "jsonb_strip_nulls",
    "jsonb_to_record",
    "jsonb_to_recordset",
    "jsonb_typeof",
    "justify_interval",
    "lastval",
    "localtime",
    "localtimestamp",
    "make_interval",
    "make_time",
    "make_timestamp",
    "make_timestamptz",
    "nextval",
    "num_nonnulls",
    "num_nulls",
    "percentile_cont",
    "percentile_disc",
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_advisory_xact_lock",
    "pg_advisory_xact_lock_shared",
    "pg_cancel_backend",
    "pg_column_size",
    "pg_current_wal_lsn",
    "pg_database_size",
    "pg_get_functiondef",
    "pg_get_serial_sequence",
    "pg_get_triggerdef",
    "pg_get_viewdef",
    "pg_notify",
    "pg_relation_size",
    "pg_size_pretty",
    "pg_sleep",
    "pg_stat_get_activity",
    "pg_terminate_backend",
    "pg_total_relation_size",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "pg_try_advisory_xact_lock",
    "pg_try_advisory_xact_lock_shared",
    "pg_typeof",
    "pi",
    "plainto_tsquery",
    "quote_nullable",
    "random",
    "regexp_count",
    "regexp_match",
    "regexp_split_to_array",
    "regexp_split_to_table",
    "set_config",
    "setval",
    "sha256",
    "sin",
    "starts_with",
    "stddev_pop",
    "stddev_samp",
    "string_to_array",
    "string_to_table",
    "to_hex",
    "to_tsquery",
    "to_tsvector",
    "ts_headline",
    "ts_rank",
    "txid_current",
    "uuid_generate_v4",
    "var_pop",
    "var_samp",
    "websearch_to_tsquery",
];

/// Words before a parenthesis in statements that write, beside [`KEYWORDS_BEFORE_PARENTHESIS`].
const WRITING_KEYWORDS: &[&str] = &[
    "analyze",
    "bit",
    "bpchar",
    "check",
    "conflict",
    "copy",
    "explain",
    "float",
    "insert",
    "into",
    "key",
    "matched",
    "returning",
    "set",
    "table",
    "update",
    "varbit",
    "varying",
    "view",
];

/// Words after which a name with a parenthesis is that of a table, a column list or an alias.
const WORDS_BEFORE_NAMES: &[&str] = &["as", "copy", "into", "ordinality", "recursive", "table", "with"];

/// Maximum length of a table expression that is recognized before its alias (tokens). It bounds the work for nested
/// parentheses.
const MAX_EXPRESSION_TOKENS: usize = 500;

/// A name that is followed by a parenthesis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Call<'a> {
    /// The name as written, without its schema and its quotes.
    name: &'a str,
    is_quoted: bool,
    /// Index of the name's token.
    index: usize,
}

impl Call<'_> {
    /// Returns true if the name is quoted.
    pub(crate) fn is_quoted(&self) -> bool {
        self.is_quoted
    }

    /// Returns true if the call is known neither to write nor to change the session.
    pub(crate) fn is_read_only(&self) -> bool {
        let name = self.name.to_lowercase();
        !self.is_quoted
            && (READ_ONLY_FUNCTIONS.binary_search(&name.as_str()).is_ok()
                || KEYWORDS_BEFORE_PARENTHESIS.contains(&name.as_str()))
    }

    /// Returns true if what the call leaves in the session is known.
    fn is_understood(&self) -> bool {
        let name = self.name.to_lowercase();
        let listed = UNDERSTOOD_FUNCTIONS.binary_search(&name.as_str()).is_ok()
            || WRITING_KEYWORDS.contains(&name.as_str());
        self.is_read_only() || listed && !self.is_quoted
    }
}

/// Returns the names that are followed by a parenthesis.
pub(crate) fn calls<'a>(tokens: &'a [Token<'a>]) -> impl Iterator<Item = Call<'a>> {
    tokens.windows(2).enumerate().filter_map(|(index, pair)| match pair {
        [Token::Word(name), Token::Symbol('(')] => Some(Call { name, is_quoted: false, index }),
        [Token::Name(name), Token::Symbol('(')] => Some(Call { name, is_quoted: true, index }),
        _ => None,
    })
}

/// Returns the functions that a statement calls and of which it is unknown what they leave in the session, in
/// lower case and without their schemas.
pub(crate) fn unknown_functions(tokens: &[Token]) -> Vec<String> {
    let unknown = calls(tokens).filter(|call| !call.is_understood() && !names_no_function(tokens, call));
    let mut names: Vec<String> = unknown.map(|call| call.name.to_lowercase()).collect();
    names.sort();
    names.dedup();
    names
}

/// Returns true if the name is that of a table or an alias with a list of columns.
fn names_no_function(tokens: &[Token], call: &Call) -> bool {
    let mut start = call.index;
    while let Some([Token::Word(_) | Token::Name(_), Token::Symbol('.')]) =
        start.checked_sub(2).map(|from| &tokens[from..start])
    {
        start -= 2;
    }
    match start.checked_sub(1).map(|before| &tokens[before]) {
        Some(Token::Word(word)) => WORDS_BEFORE_NAMES.iter().any(|name| word.eq_ignore_ascii_case(name)),
        Some(Token::Symbol(')')) => follows_table_expression(&tokens[..start]),
        _ => false,
    }
}

/// Returns true if these tokens end in a parenthesis that may be a table expression, whose alias follows. That of
/// `DISTINCT ON (...)` is none.
fn follows_table_expression(tokens: &[Token]) -> bool {
    let tokens = &tokens[tokens.len().saturating_sub(MAX_EXPRESSION_TOKENS)..];
    let mut depth = 0usize;
    let opening = tokens.iter().rposition(|token| {
        match token {
            Token::Symbol(')') => depth += 1,
            Token::Symbol('(') => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth == 0
    });
    match opening.and_then(|index| index.checked_sub(1)).map(|before| &tokens[before]) {
        Some(Token::Word(word)) => !word.eq_ignore_ascii_case("on"),
        Some(Token::Name(_)) => true,
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::{READ_ONLY_FUNCTIONS, UNDERSTOOD_FUNCTIONS};

    #[test]
    fn the_lists_of_functions_are_sorted_for_binary_search() {
        assert!(READ_ONLY_FUNCTIONS.is_sorted());
        assert!(UNDERSTOOD_FUNCTIONS.is_sorted());
    }
}
