//! The pending replies of a connection, in the order of its commands. A client may pipeline commands: they
//! are carried out concurrently, and each reply waits until all earlier ones have been written.

use std::collections::VecDeque;

use buffer::Charge;

/// Maximum number of commands of a connection that have no reply yet or whose reply waits for an earlier one.
/// Guards against a client that sends without end: further commands stay unread, and the TCP window closes.
pub(super) const MAX_COMMANDS: usize = 64;

/// The number of a command on its connection; numbers grow and are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CommandNumber(u64);

impl From<u64> for CommandNumber {
    fn from(number: u64) -> CommandNumber {
        CommandNumber(number)
    }
}

/// What happens to the connection after a reply is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterReply {
    /// It stays open.
    Continue,
    /// It is closed after the client has had time to read the reply.
    Linger,
    /// It is closed at once.
    Close,
}

/// A reply that can be written.
pub(super) struct Reply {
    pub bytes: Vec<u8>,
    pub after: AfterReply,
    /// The memory charged for the bytes while they wait.
    charge: Option<Charge>,
}

/// The state of a command's reply.
enum ReplyState {
    /// The command is being carried out.
    Running,
    /// The command is an empty query, which is answered once the pooler can serve.
    Unready,
    Ready(Reply),
}

/// The pending replies of a connection, the oldest first.
#[derive(Default)]
pub(super) struct Pipeline {
    replies: VecDeque<(CommandNumber, ReplyState)>,
    next: u64,
    /// The last reply of the connection has been queued: no further command is read.
    closing: bool,
}

impl Pipeline {
    /// Returns true if no reply is pending.
    pub fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// Returns true if another command may be read.
    pub fn takes_commands(&self) -> bool {
        !self.closing && self.replies.len() < MAX_COMMANDS
    }

    /// Returns true if a command is being carried out, or waits until the pooler can serve.
    pub fn is_waiting(&self) -> bool {
        self.replies.iter().any(|(_, state)| !matches!(state, ReplyState::Ready(_)))
    }

    /// Returns true if a command is being carried out.
    pub fn is_running(&self) -> bool {
        self.replies.iter().any(|(_, state)| matches!(state, ReplyState::Running))
    }

    /// Returns true if an empty query waits until the pooler can serve.
    pub fn is_unready(&self) -> bool {
        self.replies.iter().any(|(_, state)| matches!(state, ReplyState::Unready))
    }

    /// Adds a command that is to be carried out; its reply is given by [`Pipeline::finish`].
    pub fn begin(&mut self) -> CommandNumber {
        self.push(ReplyState::Running)
    }

    /// Adds an empty query that waits until the pooler can serve.
    pub fn begin_unready(&mut self) {
        self.push(ReplyState::Unready);
    }

    /// Queues a reply that is available at once.
    pub fn reply(&mut self, bytes: Vec<u8>) {
        self.push(ReplyState::Ready(Reply { bytes, after: AfterReply::Continue, charge: None }));
    }

    /// Queues the last reply of the connection.
    pub fn reply_last(&mut self, bytes: Vec<u8>, after: AfterReply) {
        self.closing = true;
        self.push(ReplyState::Ready(Reply { bytes, after, charge: None }));
    }

    /// Returns true if the reply to this command, once available, can be written without waiting for another.
    pub fn is_first(&self, number: CommandNumber) -> bool {
        self.replies.front().is_some_and(|(first, _)| *first == number)
    }

    /// Gives the reply to a command; returns false if the command is not being carried out.
    pub fn finish(&mut self, number: CommandNumber, bytes: Vec<u8>, charge: Option<Charge>) -> bool {
        let state = self.replies.iter_mut().find(|(of, _)| *of == number).map(|(_, state)| state);
        let Some(state) = state.filter(|state| matches!(state, ReplyState::Running)) else { return false };
        *state = ReplyState::Ready(Reply { bytes, after: AfterReply::Continue, charge });
        true
    }

    /// Gives the same reply to every command that is being carried out.
    pub fn finish_running(&mut self, bytes: &[u8]) {
        self.replace(bytes, |state| matches!(state, ReplyState::Running));
    }

    /// Gives the reply to every waiting empty query.
    pub fn finish_unready(&mut self, bytes: &[u8]) {
        self.replace(bytes, |state| matches!(state, ReplyState::Unready));
    }

    /// Returns the length of the oldest reply, if it is available (bytes).
    pub fn next_reply_length(&self) -> Option<usize> {
        match self.replies.front() {
            Some((_, ReplyState::Ready(reply))) => Some(reply.bytes.len()),
            _ => None,
        }
    }

    /// Takes the oldest reply, if it is available.
    pub fn next_reply(&mut self) -> Option<Reply> {
        if !matches!(self.replies.front(), Some((_, ReplyState::Ready(_)))) {
            return None;
        }
        match self.replies.pop_front() {
            Some((_, ReplyState::Ready(mut reply))) => {
                // The buffer that the reply is written to is charged from here on.
                reply.charge = None;
                Some(reply)
            }
            _ => None,
        }
    }

    fn push(&mut self, state: ReplyState) -> CommandNumber {
        let number = CommandNumber::from(self.next);
        self.next += 1;
        self.replies.push_back((number, state));
        number
    }

    fn replace(&mut self, bytes: &[u8], which: impl Fn(&ReplyState) -> bool) {
        for (_, state) in self.replies.iter_mut().filter(|(_, state)| which(state)) {
            let bytes = bytes.to_vec();
            *state = ReplyState::Ready(Reply { bytes, after: AfterReply::Continue, charge: None });
        }
    }
}

#[cfg(test)]
mod tests;
