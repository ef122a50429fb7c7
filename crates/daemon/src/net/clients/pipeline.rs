//! The replies that a connection owes, in the order of its commands. A client may send commands ahead of the replies to earlier
//! ones; they are carried out side by side, and each reply waits here until all before it have been written.

use std::collections::VecDeque;

use buffer::Charge;

/// Most commands of a connection that have no reply yet or whose reply waits for an earlier one. Guards against a client that
/// sends without end: what it sends beyond that stays unread, and the system's window closes.
pub(super) const MAX_COMMANDS: usize = 64;

/// The number of a command on its connection; numbers grow and are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CommandNumber(u64);

impl From<u64> for CommandNumber {
    fn from(number: u64) -> CommandNumber {
        CommandNumber(number)
    }
}

/// What becomes of the connection once a reply is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterReply {
    /// It goes on.
    Continue,
    /// It is given time to read the reply, then closed.
    Linger,
    /// It is closed at once.
    Close,
}

/// A reply that can be written.
pub(super) struct Reply {
    pub bytes: Vec<u8>,
    pub afterwards: AfterReply,
    /// What the bytes take of the memory for buffers while they wait.
    charge: Option<Charge>,
}

/// What stands in the place of a command's reply.
enum Place {
    /// The command is being carried out.
    Running,
    /// The command is an empty query, which is answered once the pooler can serve.
    Unready,
    Ready(Reply),
}

/// The replies owed on one connection, the oldest first.
#[derive(Default)]
pub(super) struct Pipeline {
    places: VecDeque<(CommandNumber, Place)>,
    next: u64,
    /// The last reply of the connection has been queued: no further command is taken.
    closing: bool,
}

impl Pipeline {
    /// Whether no reply is owed.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether another command may be taken.
    pub fn takes_commands(&self) -> bool {
        !self.closing && self.places.len() < MAX_COMMANDS
    }

    /// Whether a command is being carried out, or waits until the pooler can serve.
    pub fn is_waiting(&self) -> bool {
        self.places.iter().any(|(_, place)| !matches!(place, Place::Ready(_)))
    }

    /// Whether a command is being carried out.
    pub fn is_running(&self) -> bool {
        self.places.iter().any(|(_, place)| matches!(place, Place::Running))
    }

    /// Whether an empty query waits until the pooler can serve.
    pub fn is_unready(&self) -> bool {
        self.places.iter().any(|(_, place)| matches!(place, Place::Unready))
    }

    /// A command is to be carried out; its reply comes by [`Pipeline::finish`].
    pub fn begin(&mut self) -> CommandNumber {
        self.push(Place::Running)
    }

    /// An empty query waits until the pooler can serve.
    pub fn begin_unready(&mut self) {
        self.push(Place::Unready);
    }

    /// Queues a reply that is known at once.
    pub fn reply(&mut self, bytes: Vec<u8>) {
        self.push(Place::Ready(Reply { bytes, afterwards: AfterReply::Continue, charge: None }));
    }

    /// Queues the last reply of the connection.
    pub fn reply_last(&mut self, bytes: Vec<u8>, afterwards: AfterReply) {
        self.closing = true;
        self.push(Place::Ready(Reply { bytes, afterwards, charge: None }));
    }

    /// Whether the reply to this command, once known, could be written without waiting for another.
    pub fn is_first(&self, number: CommandNumber) -> bool {
        self.places.front().is_some_and(|(first, _)| *first == number)
    }

    /// The reply to a command that is being carried out; false where it is not.
    pub fn finish(&mut self, number: CommandNumber, bytes: Vec<u8>, charge: Option<Charge>) -> bool {
        let place = self.places.iter_mut().find(|(of, _)| *of == number).map(|(_, place)| place);
        let Some(place) = place.filter(|place| matches!(place, Place::Running)) else { return false };
        *place = Place::Ready(Reply { bytes, afterwards: AfterReply::Continue, charge });
        true
    }

    /// Gives every command that is being carried out the same reply.
    pub fn finish_running(&mut self, bytes: &[u8]) {
        self.replace(bytes, |place| matches!(place, Place::Running));
    }

    /// Gives every empty query that waits its reply.
    pub fn finish_unready(&mut self, bytes: &[u8]) {
        self.replace(bytes, |place| matches!(place, Place::Unready));
    }

    /// Takes the oldest reply, if it is known.
    pub fn next_reply(&mut self) -> Option<Reply> {
        if !matches!(self.places.front(), Some((_, Place::Ready(_)))) {
            return None;
        }
        match self.places.pop_front() {
            Some((_, Place::Ready(mut reply))) => {
                // From here on the buffer that it is written to is charged.
                reply.charge = None;
                Some(reply)
            }
            _ => None,
        }
    }

    fn push(&mut self, place: Place) -> CommandNumber {
        let number = CommandNumber::from(self.next);
        self.next += 1;
        self.places.push_back((number, place));
        number
    }

    fn replace(&mut self, bytes: &[u8], which: impl Fn(&Place) -> bool) {
        for (_, place) in self.places.iter_mut().filter(|(_, place)| which(place)) {
            let bytes = bytes.to_vec();
            *place = Place::Ready(Reply { bytes, afterwards: AfterReply::Continue, charge: None });
        }
    }
}

#[cfg(test)]
mod tests;
