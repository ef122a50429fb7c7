//! What SQL statements are, as far as their text shows. A scanner, not a parser: it knows PostgreSQL's lexical form
//! (quotes, comments, dollar quotes) and the words that tell kinds of statements apart. What it cannot place is
//! [`Kind::Unknown`], which whoever routes takes for a write. It never fails and never recurses.
#![warn(missing_docs)]

mod kind;
mod lexer;

pub use kind::{scan, Change, Control, Kind, Pin, Scan, Statement};
pub use lexer::{Lexer, Token};
