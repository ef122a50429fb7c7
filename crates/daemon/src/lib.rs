//! dewferry is a connection pooler that chooses a database server for each read and write of a replicated
//! database. [`cli`] is the entry point; the network code is private. [`routing`] makes every routing
//! decision.
#![warn(missing_docs)]

pub mod cli;
mod counters;
mod dial;
mod files;
mod memory;
mod net;
mod numbers;
mod store;

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
