//! Which rows of the table in docs/freshness.md were played.

use std::collections::BTreeMap;

/// What one read went through, and what became of it. Each variant is a row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Row {
    IdleConnection,
    LateConnection,
    PlaceInPool,
    RequestInPieces,
    ProcessHeldUp,
    Bounded,
    BoundedOnce,
    Session,
    Fresh,
    PositionInRequest,
    PositionOfPeers,
    TimeAlone,
    WriteAnsweredHere,
    WriteElsewhere,
    WriteUnknown,
    PrimaryChanges,
    ReplicaStops,
    PositionBecomesNewer,
    FirstAttempt,
    Retry,
    SecondCopy,
    Trial,
    StatesAll,
    StatesRole,
    StatesNothing,
    Spoilt,
    MembersServeStale,
    MembersRefuse,
    PlatformFront,
    OrdinaryFront,
    Withdrawn,
    TooOld,
    PassedOn,
    EndedAtPrimary,
}

pub const ROWS: [Row; 34] = [
    Row::IdleConnection,
    Row::LateConnection,
    Row::PlaceInPool,
    Row::RequestInPieces,
    Row::ProcessHeldUp,
    Row::Bounded,
    Row::BoundedOnce,
    Row::Session,
    Row::Fresh,
    Row::PositionInRequest,
    Row::PositionOfPeers,
    Row::TimeAlone,
    Row::WriteAnsweredHere,
    Row::WriteElsewhere,
    Row::WriteUnknown,
    Row::PrimaryChanges,
    Row::ReplicaStops,
    Row::PositionBecomesNewer,
    Row::FirstAttempt,
    Row::Retry,
    Row::SecondCopy,
    Row::Trial,
    Row::StatesAll,
    Row::StatesRole,
    Row::StatesNothing,
    Row::Spoilt,
    Row::MembersServeStale,
    Row::MembersRefuse,
    Row::PlatformFront,
    Row::OrdinaryFront,
    Row::Withdrawn,
    Row::TooOld,
    Row::PassedOn,
    Row::EndedAtPrimary,
];

/// How often each row was played.
#[derive(Debug, Default)]
pub struct Coverage(BTreeMap<Row, usize>);

impl Coverage {
    pub fn add(&mut self, row: Row) {
        *self.0.entry(row).or_default() += 1;
    }

    pub fn merge(&mut self, other: Coverage) {
        other.0.into_iter().for_each(|(row, count)| *self.0.entry(row).or_default() += count);
    }

    pub fn missing(&self) -> Vec<Row> {
        ROWS.into_iter().filter(|row| !self.0.contains_key(row)).collect()
    }
}
