//! Stand-ins for services that poolers use.

pub mod discovery;
mod list;
