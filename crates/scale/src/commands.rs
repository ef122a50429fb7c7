//! Commands received by a worker. A separate thread reads them; the worker takes them between two iterations
//! of its event loop.

use std::cell::Cell;
use std::io::{self, BufRead, Write};
use std::sync::mpsc::{channel, Receiver, TryRecvError};
use std::sync::{Arc, OnceLock};

use mio::Waker;

use crate::protocol::{Assignment, Command, Reply};

/// Commands received and not taken yet.
pub struct Commands {
    received: Receiver<Command>,
    waker: Arc<OnceLock<Waker>>,
    ended: Cell<bool>,
}

impl Commands {
    /// Reads the assignment, then starts to read commands until the input ends or a line is not a command.
    pub fn read() -> io::Result<(Assignment, Commands)> {
        let mut first = String::new();
        io::stdin().lock().read_line(&mut first)?;
        let assignment = serde_json::from_str(&first)?;
        let (sender, received) = channel();
        let waker: Arc<OnceLock<Waker>> = Arc::default();
        let thread_waker = waker.clone();
        std::thread::spawn(move || {
            let commands = io::stdin().lock().lines().map_while(Result::ok);
            let commands = commands.map_while(|line| serde_json::from_str(&line).ok());
            let wake = || thread_waker.get().map(Waker::wake);
            commands.for_each(|command| {
                let _ = sender.send(command);
                wake();
            });
            drop(sender);
            wake();
        });
        Ok((assignment, Commands { received, waker, ended: Cell::new(false) }))
    }

    /// Sets the waker that is triggered for each command and for the end of the input.
    pub fn set_waker(&self, waker: Waker) {
        // A command may have arrived before the waker was set, so the poll is woken once here.
        let _ = waker.wake();
        let _ = self.waker.set(waker);
    }

    /// Returns the next command, if one has been received.
    pub fn next(&self) -> Option<Command> {
        let next = self.received.try_recv();
        self.ended.set(matches!(next, Err(TryRecvError::Disconnected)));
        next.ok()
    }

    /// Returns true if the last call of [`Commands::next`] found the end of the input.
    pub fn ended(&self) -> bool {
        self.ended.get()
    }
}

/// Writes the reply to a command.
pub fn send_reply(reply: &Reply) -> io::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, reply)?;
    out.write_all(b"\n")?;
    out.flush()
}
