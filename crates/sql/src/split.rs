//! Separates the first statement of a text from the others.

use std::ops::Range;

use crate::lexer::{Lexer, Token};

/// Returns the text with spaces in place of its first statement, or none if nothing follows that statement. All else
/// keeps its position, since the errors of a server name positions in the text.
pub fn blank_first_statement(text: &str) -> Option<String> {
    let Range { start, end } = first_statement(text)?;
    let spaces = " ".repeat(text[start..end].chars().count());
    Some([&text[..start], &spaces, &text[end..]].concat())
}

/// Returns where the first statement stands that a semicolon ends.
fn first_statement(text: &str) -> Option<Range<usize>> {
    let (mut lexer, mut start, mut depth) = (Lexer::new(text), None, 0usize);
    loop {
        lexer.skip_blank();
        let offset = lexer.offset();
        match (lexer.next()?, start) {
            // An empty statement.
            (Token::Symbol(';'), None) => continue,
            (Token::Symbol(';'), Some(start)) if depth == 0 => return Some(start..offset),
            (Token::Symbol('('), _) => depth += 1,
            (Token::Symbol(')'), _) => depth = depth.saturating_sub(1),
            _ => {}
        }
        start = start.or(Some(offset));
    }
}
