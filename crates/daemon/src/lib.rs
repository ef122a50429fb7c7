//! dewferry is a pooler that decides where each read and write of a replicated database goes, and sends it
//! there. [`cli`] runs it; the network code behind that is private. Every decision is taken by [`routing`].
#![warn(missing_docs)]

pub mod cli;
mod counters;
mod dial;
mod files;
mod net;
mod numbers;
mod store;

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
