//! What a client is owed: the replies that its server still has to give, those of the session itself that wait for
//! their turn behind them, and how far its current batch has come.
//!
//! Each query and each Sync of the client gets one answer, which ends with ReadyForQuery, in the order in which they
//! were sent. This module alone decides which message an answer belongs to, and what is left to answer when the
//! server is lost.

use std::collections::VecDeque;

use crate::expected::{ExpectedReplies, ExpectedReply, OwedAnswer, PendingStatement};
use crate::server_state::StatementDigest;

/// The messages that ReadyForQuery ends the answer to.
#[derive(Debug)]
pub(crate) enum Answered {
    /// The SQL by which the session has synchronized its settings, or another query of its own.
    Setup,
    /// A query, with the statements whose completion was not reported one by one.
    Query(VecDeque<PendingStatement>),
    Sync,
}

/// What a client is owed when its server is lost.
#[derive(Debug)]
pub(crate) struct Loss {
    /// The answers that end with ReadyForQuery, in order.
    pub answers: Vec<OwedAnswer>,
    /// Whether a batch is open behind them whose client has received no error yet.
    pub fails_batch: bool,
    /// Whether it is not known how many answers the server has still owed.
    pub is_ambiguous: bool,
}

/// A message that the server has not carried out, since it fails or stands behind an error.
pub(crate) enum Skipped {
    /// A Parse of the unnamed statement.
    ParseUnnamed,
    /// A Parse or a Close of a named statement.
    Statement(StatementDigest),
}

/// What a client is owed.
#[derive(Default)]
pub(crate) struct Owed {
    /// The replies that are expected, in order.
    pub replies: ExpectedReplies,
    /// Whether a batch has begun that no Sync has ended yet.
    in_batch: bool,
    /// Whether an error makes the server skip all messages up to the next Sync.
    skipping: bool,
    /// Whether the server is receiving COPY data, during which it ignores Sync.
    copying: bool,
    /// Syncs of a COPY that the server ignores, unless the COPY fails before it reads them.
    ignored_syncs: usize,
    /// Syncs of a COPY that has failed, of which it is not known whether the server has ignored them.
    unresolved_syncs: usize,
}

impl Owed {
    pub fn is_in_batch(&self) -> bool {
        self.in_batch
    }

    pub fn is_skipping(&self) -> bool {
        self.skipping
    }

    pub fn is_copying(&self) -> bool {
        self.copying
    }

    /// Returns true if it is not known whether the server still answers a Sync that it was expected to ignore.
    pub fn is_ambiguous(&self) -> bool {
        self.unresolved_syncs > 0
    }

    /// Returns true if a query of the session's own has to tell such an answer from those to later messages.
    pub fn needs_empty_query(&self) -> bool {
        let is_sent = self.replies.iter().any(|reply| matches!(reply, ExpectedReply::EmptyQuery));
        self.is_ambiguous() && !is_sent
    }

    /// Returns true if nothing is expected and no batch is open.
    pub fn is_settled(&self) -> bool {
        self.replies.is_empty() && !self.in_batch
    }

    /// Handles a message of a batch.
    pub fn begin_batch(&mut self) {
        self.in_batch = true;
    }

    /// Handles the end of a batch that no server has to answer.
    pub fn end_batch(&mut self) {
        (self.in_batch, self.skipping) = (false, false);
    }

    /// Handles an error of the session itself: the rest of the batch is skipped.
    pub fn skip_batch(&mut self) {
        (self.in_batch, self.skipping) = (true, true);
    }

    /// Handles a Sync that is sent to the server.
    pub fn sync_sent(&mut self) {
        self.skipping = false;
        if self.copying {
            // The server ignores it, and the batch goes on.
            self.ignored_syncs += 1;
            return;
        }
        self.in_batch = false;
        self.replies.push_back(ExpectedReply::Sync);
    }

    /// Handles a query, or a function call, that is sent to the server. It ends a batch that has no Sync.
    pub fn query_sent(&mut self, statements: VecDeque<PendingStatement>) {
        self.in_batch = false;
        self.replies.push_back(ExpectedReply::Query(statements));
    }

    /// Handles the end of COPY data that is sent to the server.
    pub fn data_end_sent(&mut self) {
        self.copying = false;
        self.replies.push_back(ExpectedReply::DataEnd);
    }

    /// Handles the start of a COPY from the client in a batch: the server ignores each Sync before the end of the
    /// data, so that the batch may be open again.
    pub fn copy_started(&mut self) {
        self.ignored_syncs = self.replies.remove_ignored_syncs();
        self.copying = !self.replies.contains_data_end();
        self.in_batch |= !self.replies.contains_sync();
    }

    /// Handles the completion of a statement. Removes what it leaves to expect, and returns it.
    pub fn statement_completed(&mut self) -> Option<PendingStatement> {
        self.ignored_syncs = 0;
        if let Some(ExpectedReply::Query(statements)) = self.replies.front_mut() {
            return Some(statements.pop_front().unwrap_or_default());
        }
        self.execute_ended()
    }

    /// Handles the last reply to an Execute. Returns its statement.
    pub fn execute_ended(&mut self) -> Option<PendingStatement> {
        if !matches!(self.replies.front(), Some(ExpectedReply::Execute(_))) {
            return None;
        }
        match self.replies.pop_front() {
            Some(ExpectedReply::Execute(statement)) => Some(statement),
            _ => None,
        }
    }

    /// Handles an error: what is expected up to the next Sync does not come, unless the error is that of a query.
    /// Returns the messages that the server has not carried out.
    pub fn failed(&mut self) -> Vec<Skipped> {
        self.copying = false;
        if matches!(self.replies.front(), Some(ExpectedReply::Query(_))) {
            return Vec::new();
        }
        self.unresolved_syncs += std::mem::take(&mut self.ignored_syncs);
        let mut skipped = Vec::new();
        while let Some(reply) = self.replies.front() {
            match reply {
                ExpectedReply::Sync => return skipped,
                ExpectedReply::Parse { named: false, .. } => skipped.push(Skipped::ParseUnnamed),
                ExpectedReply::Parse { digest, .. } | ExpectedReply::CloseStatement(digest) => {
                    skipped.push(Skipped::Statement(*digest))
                }
                _ => {}
            }
            self.replies.pop_front();
        }
        self.skipping = true;
        skipped
    }

    /// Handles ReadyForQuery. Returns what it ends the answer to, or none if it answers nothing.
    pub fn ready(&mut self) -> Option<Answered> {
        match self.replies.front() {
            Some(ExpectedReply::Setup | ExpectedReply::Sync | ExpectedReply::Query(_)) => {}
            // A COPY has failed before the server read a Sync, which so was not ignored.
            None if self.is_ambiguous() => {
                self.unresolved_syncs -= 1;
                self.end_batch();
                return Some(Answered::Sync);
            }
            Some(ExpectedReply::EmptyQuery) if self.is_ambiguous() => {
                self.unresolved_syncs -= 1;
                return Some(Answered::Sync);
            }
            _ => return None,
        }
        match self.replies.pop_front()? {
            ExpectedReply::Setup => Some(Answered::Setup),
            ExpectedReply::Query(statements) => Some(Answered::Query(statements)),
            _ => Some(Answered::Sync),
        }
    }

    /// Handles a query of the session's own, whose answer comes behind all that the server still says to earlier
    /// messages.
    pub fn empty_query_sent(&mut self) {
        self.replies.push_back(ExpectedReply::EmptyQuery);
    }

    /// Handles the answer to that: all that came before it is answered.
    pub fn empty_query_answered(&mut self) {
        self.unresolved_syncs = 0;
        self.replies.replace_front(ExpectedReply::Setup);
    }

    /// Forgets all that is expected, since the server is lost. Returns what the client is owed in its place. A batch
    /// that is open is skipped from then on.
    pub fn lose(&mut self) -> Loss {
        let has_error = self.skipping && !self.replies.last_batch_contains_error();
        let fails_batch = self.in_batch && !has_error;
        let loss = Loss {
            answers: self.replies.take_owed_answers(),
            fails_batch,
            is_ambiguous: self.is_ambiguous(),
        };
        let skipping = self.skipping || fails_batch;
        *self = Owed { skipping, ..Owed::default() };
        loss
    }

    /// Forgets all that is expected.
    pub fn clear(&mut self) {
        *self = Owed { skipping: self.skipping, ..Owed::default() };
    }
}
