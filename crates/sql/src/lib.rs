//! Classifies SQL statements by their text. It is a scanner, not a parser: it knows PostgreSQL's lexical
//! structure (quotes, comments, dollar quotes) and the keywords that distinguish kinds of statements. A
//! statement that it cannot classify is [`Kind::Unknown`], which routing treats as a write. It never fails
//! and never recurses.
#![warn(missing_docs)]

mod functions;
mod kind;
mod lexer;
mod split;

pub use kind::{scan, Change, Control, Kind, Pin, Scan, Statement};
pub use lexer::{Lexer, Token};
pub use split::blank_first_statement;
