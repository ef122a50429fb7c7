//! The replies that a session expects from its server, in order, within a bound of memory.

use std::collections::VecDeque;

use sql::Pin;

use crate::server_state::StatementDigest;
use crate::settings::Effect;

/// Memory of expected replies from which on a session takes no further messages of its client (bytes), and below
/// which it takes them again. Guards against a client that sends faster than its server answers: what the server's
/// connection takes in is no measure, since a short message may lead to much that is kept here.
const MAX_BYTES: usize = 64 * 1024;
const RESUME_BYTES: usize = MAX_BYTES / 2;

/// A statement whose reply is pending.
#[derive(Debug, Default)]
pub(crate) struct PendingStatement {
    pub effect: Effect,
    /// The state that it leaves in the server's session if it runs.
    pub pins: Vec<Pin>,
}

impl PendingStatement {
    /// Returns the memory that it takes (bytes).
    fn memory(&self) -> usize {
        size_of::<PendingStatement>() + self.effect.text_bytes() + self.pins.len() * size_of::<Pin>()
    }
}

/// A pending reply of the server, or an entry that keeps replies of the session itself in order.
#[derive(Debug)]
pub(crate) enum ExpectedReply {
    /// All replies to the SQL that synchronizes the settings.
    Setup,
    /// EmptyQueryResponse, and what follows it, to a query that the session has sent by itself.
    EmptyQuery,
    /// ParseComplete; `forward` if the client receives it, `named` unless it is the unnamed statement.
    Parse {
        digest: StatementDigest,
        forward: bool,
        named: bool,
    },
    /// CloseComplete of a portal, which the client receives.
    Close,
    /// CloseComplete of a statement that the session closes by itself, which the client does not receive.
    CloseStatement(StatementDigest),
    Bind,
    Describe,
    Execute(PendingStatement),
    /// ReadyForQuery at the end of a batch.
    Sync,
    /// All replies to a simple query, with its statements.
    Query(VecDeque<PendingStatement>),
    /// No reply: marks where the client ended its COPY data.
    DataEnd,
    /// No reply: these bytes are sent to the client in turn.
    LocalReply(Vec<u8>),
    /// No reply: this error is sent to the client in turn; the rest of its batch is skipped.
    LocalError(Vec<u8>),
    /// No reply: these bytes, followed by ReadyForQuery, are sent to the client in turn.
    LocalAnswer(Vec<u8>),
}

impl ExpectedReply {
    /// Returns the memory that it takes (bytes).
    fn memory(&self) -> usize {
        let more = match self {
            ExpectedReply::LocalReply(bytes)
            | ExpectedReply::LocalError(bytes)
            | ExpectedReply::LocalAnswer(bytes) => bytes.len(),
            ExpectedReply::Execute(statement) => statement.memory(),
            ExpectedReply::Query(statements) => statements.iter().map(PendingStatement::memory).sum(),
            _ => 0,
        };
        size_of::<Entry>() + more
    }
}

/// An answer that a client is owed when its server is lost.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum OwedAnswer {
    /// The answer to a query or a batch that the server has not answered completely.
    FromServer,
    /// The session's own answer to a query, without its ReadyForQuery.
    Local(Vec<u8>),
}

/// A reply, and the memory that is counted for it until it is removed (bytes).
type Entry = (ExpectedReply, usize);

/// The replies that are expected, in order.
#[derive(Default)]
pub(crate) struct ExpectedReplies {
    entries: VecDeque<Entry>,
    bytes: usize,
    full: bool,
}

impl ExpectedReplies {
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns true while the client's further messages have to wait.
    pub fn is_full(&self) -> bool {
        self.full
    }

    /// Returns the memory that the replies take (bytes).
    pub fn memory(&self) -> usize {
        self.bytes
    }

    pub fn front(&self) -> Option<&ExpectedReply> {
        self.entries.front().map(|(reply, _)| reply)
    }

    pub fn front_mut(&mut self) -> Option<&mut ExpectedReply> {
        self.entries.front_mut().map(|(reply, _)| reply)
    }

    /// Returns true if the next reply is to a query that the session has sent by itself.
    pub fn front_is_empty_query(&self) -> bool {
        matches!(self.front(), Some(ExpectedReply::EmptyQuery))
    }

    /// Replaces the next reply by one that takes no more memory.
    pub fn replace_front(&mut self, reply: ExpectedReply) {
        if let Some(front) = self.front_mut() {
            *front = reply;
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &ExpectedReply> {
        self.entries.iter().map(|(reply, _)| reply)
    }

    /// Returns true if the reply to the Parse of a named statement is expected.
    pub fn contains_parse(&self, digest: &StatementDigest) -> bool {
        self.iter().any(|reply| is_parse_of(reply, digest))
    }

    /// Returns true if the reply to the Parse of a named statement is expected in a batch before the current one.
    pub fn earlier_batch_contains_parse(&self, digest: &StatementDigest) -> bool {
        self.of_earlier_batches().any(|reply| is_parse_of(reply, digest))
    }

    /// Returns true if the last Parse of an unnamed statement whose reply is expected is of a batch before the current
    /// one.
    pub fn last_unnamed_parse_is_of_earlier_batch(&self) -> bool {
        let is_unnamed = |reply: &ExpectedReply| matches!(reply, ExpectedReply::Parse { named: false, .. });
        let mut of_current_batch = self.iter_back().take_while(|reply| !ends_batch(reply));
        !of_current_batch.any(is_unnamed) && self.of_earlier_batches().any(is_unnamed)
    }

    /// Returns the replies that are expected up to the end of the last batch or query that has ended.
    fn of_earlier_batches(&self) -> impl Iterator<Item = &ExpectedReply> {
        self.iter_back().skip_while(|reply| !ends_batch(reply))
    }

    /// Returns the replies that are expected, the last one first.
    fn iter_back(&self) -> impl Iterator<Item = &ExpectedReply> {
        self.entries.iter().rev().map(|(reply, _)| reply)
    }

    /// Returns true if the reply to a Sync is expected.
    pub fn contains_sync(&self) -> bool {
        self.iter().any(|reply| matches!(reply, ExpectedReply::Sync))
    }

    /// Returns true if an error of the session itself waits for its turn in the batch that has no end yet.
    pub fn last_batch_contains_error(&self) -> bool {
        let ends =
            |reply: &ExpectedReply| ends_batch(reply) || matches!(reply, ExpectedReply::LocalAnswer(_));
        let mut last_batch = self.iter_back().take_while(|reply| !ends(reply));
        last_batch.any(|reply| matches!(reply, ExpectedReply::LocalError(_)))
    }

    pub fn push_back(&mut self, reply: ExpectedReply) {
        let bytes = reply.memory();
        self.entries.push_back((reply, bytes));
        self.bytes += bytes;
        self.full |= self.bytes >= MAX_BYTES;
    }

    pub fn pop_front(&mut self) -> Option<ExpectedReply> {
        let (reply, bytes) = self.entries.pop_front()?;
        self.count_removed(bytes);
        Some(reply)
    }

    /// Removes the next entry if it waits for no reply of the server.
    pub fn pop_front_local(&mut self) -> Option<ExpectedReply> {
        let is_local = matches!(
            self.front(),
            Some(
                ExpectedReply::LocalReply(_)
                    | ExpectedReply::LocalError(_)
                    | ExpectedReply::LocalAnswer(_)
                    | ExpectedReply::DataEnd
            )
        );
        is_local.then(|| self.pop_front()).flatten()
    }

    /// Removes all replies. Returns the answers, each of which ends with ReadyForQuery, that the client is owed in
    /// their place, in order.
    pub fn take_owed_answers(&mut self) -> Vec<OwedAnswer> {
        let replies = std::mem::take(self);
        let owed = replies.entries.into_iter().filter_map(|(reply, _)| match reply {
            ExpectedReply::Query(_) | ExpectedReply::Sync => Some(OwedAnswer::FromServer),
            ExpectedReply::LocalAnswer(answer) => Some(OwedAnswer::Local(answer)),
            _ => None,
        });
        owed.collect()
    }

    /// Returns true if nothing but the reply to a Sync is expected.
    pub fn is_one_sync(&self) -> bool {
        self.entries.len() == 1 && matches!(self.front(), Some(ExpectedReply::Sync))
    }

    /// Returns true if an entry marks where the client has ended its COPY data.
    pub fn contains_data_end(&self) -> bool {
        self.iter().any(|reply| matches!(reply, ExpectedReply::DataEnd))
    }

    /// Handles the start of a COPY from the client in a batch: the server ignores each Sync before the end of the
    /// data. Returns the number of those that have been sent.
    pub fn remove_ignored_syncs(&mut self) -> usize {
        let end = self.entries.iter().position(|(reply, _)| matches!(reply, ExpectedReply::DataEnd));
        let (mut index, mut removed, mut syncs) = (0, 0, 0);
        self.entries.retain(|(reply, bytes)| {
            index += 1;
            let keep = !matches!(reply, ExpectedReply::Sync) || end.is_some_and(|end| index > end);
            removed += if keep { 0 } else { *bytes };
            syncs += usize::from(!keep);
            keep
        });
        self.count_removed(removed);
        syncs
    }

    fn count_removed(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.full &= self.bytes > RESUME_BYTES;
    }
}

fn is_parse_of(reply: &ExpectedReply, expected: &StatementDigest) -> bool {
    matches!(reply, ExpectedReply::Parse { digest, named: true, .. } if digest == expected)
}

/// Returns true if a reply is the last to a batch, or to a query that ends one.
fn ends_batch(reply: &ExpectedReply) -> bool {
    matches!(reply, ExpectedReply::Sync | ExpectedReply::Query(_))
}
