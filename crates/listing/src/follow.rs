//! Following the list at discovery, without I/O: what a watch or a call that says nothing means, and which of several
//! connections counts. A call that takes long is not given up: a service that is slow looks like one that hangs, and who calls
//! anew stands at the end of its line. It is kept beside the calls that are made after it, within a bound.

/// An empty line is due on a watch every 2 s. One that is later than this (seconds) has fallen silent: what it misses
/// counts as told 6 s after that began, heard or not, and calls of a whole fleet take discovery some seconds.
const QUIET: f64 = 2.3;
/// A call without any answer for so long (seconds) is overdue: another is made beside it.
const CALL: f64 = 3.0;
/// A call without any answer for so long (seconds) hangs, and makes room for others.
const HUNG: f64 = 30.0;
/// Most connections at a time, the watch included: to a service that is asked, within the spare descriptors, ...
pub const MAX_CONNECTIONS: usize = 3;
/// ... and to an agent, which is called often and answers at once.
const MOST_AT_AGENT: usize = 2;
/// An agent answers at once, at no cost, and is silent while discovery is down; what it gets at the return counts at
/// once. It is called again after so long without an answer (seconds), below any grace ...
const CALL_AT_AGENT: f64 = 0.2;
/// ... and so long after it turned a call down, or ended a connection (seconds).
pub const AGENT_RETRY_DELAY: f64 = 0.25;

/// A timer may come early by what rounding takes off its time (seconds).
const ROUNDING: f64 = 0.001;

/// Number of a connection to discovery, given out once.
pub type ConnectionId = u64;

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Call on a new connection for what has changed since that version, and go on listening there.
    Open(ConnectionId, u64),
    /// Close a connection.
    Close(ConnectionId),
    /// Call [`Follower::on_timer`] at that time (Unix seconds).
    Timer(f64),
    /// The list is followed, and nothing has changed.
    Unchanged,
    /// The list is lost: a call failed, or a connection ended.
    Failed(&'static str),
    /// The list may be lost: nothing is heard where something is due.
    Silent(&'static str),
}

/// A connection that has answered, and goes on telling of changes.
#[derive(Clone, Copy, Debug)]
struct Watch {
    line: ConnectionId,
    /// When the last whole document or empty line came, or a document began.
    heard: f64,
    /// A document has begun and not ended.
    begun: bool,
    /// It has been found silent, and has said nothing since.
    silent: bool,
    /// It is at a service that has been left: its versions mean nothing to the present one.
    left: bool,
}

/// A connection on which a call has been made and nothing whole has come yet.
#[derive(Clone, Copy, Debug)]
struct Call {
    line: ConnectionId,
    made: f64,
    /// When it was made, or a document began.
    heard: f64,
    begun: bool,
    /// That it takes too long has been told.
    overdue: bool,
}

/// The connections to discovery: the one that is listened to, and calls that have had no answer.
#[derive(Debug)]
pub struct Follower {
    /// The list is pushed to an agent: nobody else says when to call.
    pushed: bool,
    index: u64,
    lines: ConnectionId,
    watch: Option<Watch>,
    /// Calls without an answer, the oldest first; at most [`MAX_CONNECTIONS`].
    calls: Vec<Call>,
    /// An agent that says nothing is called again and again: that the list is lost is told once.
    lost: bool,
    /// When an agent is to be asked again.
    again: Option<f64>,
    /// When [`Follower::on_timer`] is called next: one timer is set at a time.
    armed: Option<f64>,
}

impl Follower {
    /// Holds the list of that version and has no connection yet.
    pub fn new(pushed: bool, index: u64) -> Follower {
        let (lines, watch, calls, lost, again, armed) = (0, None, Vec::new(), false, None, None);
        Follower { pushed, index, lines, watch, calls, lost, again, armed }
    }

    /// The version of the list that is held.
    pub fn version(&self) -> u64 {
        self.index
    }

    /// Where the list is pushed, sees to it that there is a call or a watch.
    pub fn ensure_followed(&mut self, now: f64, out: &mut Vec<Step>) {
        if self.pushed && self.watch.is_none() && self.calls.is_empty() {
            self.send_list_request(now, out);
        }
    }

    /// Calls from the list held. The watch and earlier calls are kept until one of the calls is answered.
    pub fn send_list_request(&mut self, now: f64, out: &mut Vec<Step>) {
        self.again = None;
        self.make_room(now, out);
        self.lines += 1;
        let (line, made, heard) = (self.lines, now, now);
        self.calls.push(Call { line, made, heard, begun: false, overdue: false });
        out.push(Step::Open(line, self.index));
        self.arm(now + self.patience(), out);
    }

    /// Closes a call where there are as many connections as there may be. The oldest has the best place in a line, and is
    /// closed only once it hangs; of the others the one that was made first goes.
    fn make_room(&mut self, now: f64, out: &mut Vec<Step>) {
        let most =
            if self.pushed { MOST_AT_AGENT } else { MAX_CONNECTIONS } - usize::from(self.watch.is_some());
        while self.calls.len() >= most {
            let hangs = now >= self.calls[0].made + HUNG;
            let next = if hangs || self.calls.len() == 1 { 0 } else { 1 };
            out.push(Step::Close(self.calls.remove(next).line));
        }
    }

    /// Calls for the whole list at another service. What comes over a watch that is open still counts until the call is
    /// answered.
    pub fn request_full_list(&mut self, now: f64, out: &mut Vec<Step>) {
        // The versions of one service mean nothing to another.
        self.index = 0;
        self.watch.iter_mut().for_each(|watch| watch.left = true);
        self.close_calls(out);
        self.send_list_request(now, out);
    }

    /// Follows the list no more.
    pub fn stop(&mut self, out: &mut Vec<Step>) {
        self.again = None;
        self.close_watch(out);
        self.close_calls(out);
    }

    fn close_watch(&mut self, out: &mut Vec<Step>) {
        self.watch.take().into_iter().for_each(|watch| out.push(Step::Close(watch.line)));
    }

    fn close_calls(&mut self, out: &mut Vec<Step>) {
        self.calls.drain(..).for_each(|call| out.push(Step::Close(call.line)));
    }

    /// Calls that take too long are not needed once the watch has spoken again.
    fn close_overdue(&mut self, out: &mut Vec<Step>) {
        self.calls.retain(|call| {
            if call.overdue {
                out.push(Step::Close(call.line));
            }
            !call.overdue
        });
    }

    /// Asks for a look at that time, unless there is one before it.
    fn arm(&mut self, at: f64, out: &mut Vec<Step>) {
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            out.push(Step::Timer(at));
        }
    }

    /// How long a call may take.
    fn patience(&self) -> f64 {
        if self.pushed {
            CALL_AT_AGENT
        } else {
            CALL
        }
    }

    /// Something came over a connection, after which a document has begun there and not ended, or not. What comes
    /// of a document gives it as long again for the rest, once.
    pub fn bytes_received(&mut self, line: ConnectionId, now: f64, begun: bool) {
        let watch = self.watch.iter_mut().filter(|watch| watch.line == line);
        let calls = self.calls.iter_mut().filter(|call| call.line == line);
        let watch = watch.map(|watch| (&mut watch.begun, &mut watch.heard));
        for (known, heard) in watch.chain(calls.map(|call| (&mut call.begun, &mut call.heard))) {
            if begun && !std::mem::replace(known, true) {
                *heard = now;
            }
        }
    }

    /// An empty line came: nothing has changed.
    pub fn empty_line_received(&mut self, line: ConnectionId, now: f64, out: &mut Vec<Step>) {
        if self.heard(line, now, out) == Some(true) {
            out.push(Step::Unchanged);
        }
    }

    /// News of that version came. Whether they count.
    pub fn update_received(&mut self, line: ConnectionId, now: f64, index: u64, out: &mut Vec<Step>) -> bool {
        let counts = self.heard(line, now, out).is_some();
        if self.watch.is_some_and(|watch| watch.line == line && !watch.left) {
            self.index = index;
        }
        counts
    }

    /// Notes a whole document or empty line. Whether the list was not known to be followed before; none for a
    /// connection that does not count.
    fn heard(&mut self, line: ConnectionId, now: f64, out: &mut Vec<Step>) -> Option<bool> {
        let fresh = Watch { line, heard: now, begun: false, silent: false, left: false };
        let was_lost = match self.watch {
            Some(watch) if watch.line == line => {
                self.watch = Some(Watch { left: watch.left, ..fresh });
                if !watch.left {
                    self.close_overdue(out);
                }
                watch.silent
            }
            _ => {
                // Whichever call is answered first takes the place of all other connections.
                let place = self.calls.iter().position(|call| call.line == line)?;
                self.calls.remove(place);
                self.close_calls(out);
                self.close_watch(out);
                self.watch = Some(fresh);
                true
            }
        };
        self.lost = false;
        self.arm(now + QUIET, out);
        Some(was_lost)
    }

    /// A connection has broken, or what came over it is of no use.
    pub fn connection_failed(
        &mut self,
        line: ConnectionId,
        now: f64,
        why: &'static str,
        out: &mut Vec<Step>,
    ) {
        out.push(Step::Close(line));
        if self.watch.take_if(|watch| watch.line == line).is_some() {
            if self.calls.is_empty() {
                self.lost(now, Step::Failed(why), out);
            }
            return;
        }
        let Some(place) = self.calls.iter().position(|call| call.line == line) else { return };
        let newest = place + 1 == self.calls.len();
        let call = self.calls.remove(place);
        // Of one that is overdue it has been told that it may be lost, and of an older one that another was made.
        if newest && !call.overdue {
            self.lost(now, Step::Failed(why), out);
        }
    }

    /// The newest call has come to nothing so far: a watch counts again, if it is not silent itself.
    fn lost(&mut self, now: f64, how: Step, out: &mut Vec<Step>) {
        let failed = matches!(how, Step::Failed(_));
        // One at a service that was left would count as a watch for as long as it speaks.
        if failed && self.watch.is_some_and(|watch| watch.left) {
            self.close_watch(out);
        }
        if let Some(watch) = self.watch.filter(|watch| !watch.silent && !watch.left) {
            return self.arm(watch.heard + QUIET, out);
        }
        let known = std::mem::replace(&mut self.lost, true);
        if self.pushed && !failed {
            self.send_list_request(now, out);
        } else if self.pushed {
            self.again = Some(now + AGENT_RETRY_DELAY);
            self.arm(now + AGENT_RETRY_DELAY, out);
        }
        if !(self.pushed && known) {
            out.push(how);
        }
    }

    /// Looks whether anything has been silent for too long: what is cut off would stay open for ever.
    pub fn on_timer(&mut self, now: f64, out: &mut Vec<Step>) {
        let now = now + ROUNDING;
        if self.armed.is_some_and(|at| now >= at) {
            self.armed = None;
        }
        match self.again {
            Some(at) if now >= at => self.send_list_request(now, out),
            Some(at) => self.arm(at, out),
            None => {}
        }
        self.look_at_watch(now, out);
        self.look_at_calls(now, out);
    }

    /// A watch that has been silent for too long is kept: should it only be late, what it says next counts.
    fn look_at_watch(&mut self, now: f64, out: &mut Vec<Step>) {
        let Some(watch) = self.watch.as_mut().filter(|watch| !watch.silent) else { return };
        let until = watch.heard + QUIET;
        if now < until {
            return self.arm(until, out);
        }
        watch.silent = true;
        // Where a call is out, its end decides.
        if self.calls.is_empty() {
            self.lost = true;
            out.push(Step::Silent("silent"));
            if self.pushed {
                self.send_list_request(now, out);
            }
        }
    }

    /// A call that takes too long is kept, and another is asked for; where the watch has spoken again it is not needed.
    fn look_at_calls(&mut self, now: f64, out: &mut Vec<Step>) {
        let patience = self.patience();
        let speaks = self.watch.is_some_and(|watch| !watch.silent && !watch.left);
        let mut place = 0;
        while place < self.calls.len() {
            let (call, newest) = (self.calls[place], place + 1 == self.calls.len());
            let until = call.heard + patience;
            if now >= until && speaks {
                out.push(Step::Close(call.line));
                self.calls.remove(place);
                continue;
            }
            if now < until {
                self.arm(until, out);
            } else if !call.overdue {
                self.calls[place].overdue = true;
                if newest {
                    return self.lost(now, Step::Silent("a call without an answer"), out);
                }
            }
            place += 1;
        }
    }
}
