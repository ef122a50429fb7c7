//! Following the list at discovery, without I/O: what a watch or a call that says nothing means, and which of two
//! connections counts while one takes the place of the other.

/// An empty line is due on a watch every 2 s. One that is later than this (seconds) has fallen silent: what it misses
/// counts as told 6 s after that began, heard or not, and calls of a whole fleet take discovery some seconds.
const QUIET: f64 = 2.3;
/// A call without any answer for so long (seconds) hangs. One that waits in line is answered or turned down before.
const CALL: f64 = 3.0;
/// An agent answers at once, at no cost, and is silent while discovery is down; what it gets at the return counts at
/// once. It is called again after so long without an answer (seconds), below any grace ...
const CALL_AT_AGENT: f64 = 0.2;
/// ... and so long after it turned a call down, or ended a connection (seconds).
pub const PAUSE_AT_AGENT: f64 = 0.25;

/// A timer may come early by what rounding takes off its time (seconds).
const ROUNDING: f64 = 0.001;

/// Number of a connection to discovery, given out once.
pub type Line = u64;

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Call on a new connection for what has changed since that version, and go on listening there.
    Open(Line, u64),
    /// Close a connection.
    Close(Line),
    /// Call [`Follower::due`] at that time (Unix seconds).
    Timer(f64),
    /// The list is followed, and nothing has changed.
    Unchanged,
    /// The list is lost: a call failed, or a connection ended.
    Failed(&'static str),
    /// The list may be lost: nothing is heard where something is due.
    Silent(&'static str),
}

/// A connection to discovery.
#[derive(Clone, Copy, Debug)]
struct Watch {
    line: Line,
    /// It has answered the call.
    told: bool,
    /// When the last whole document or empty line came, or a document began; at first, when the call was made.
    heard: f64,
    /// A document has begun and not ended.
    begun: bool,
    /// It has been found silent, and has said nothing since.
    silent: bool,
    /// It is at a service that has been left: its versions mean nothing to the present one.
    left: bool,
}

/// Which connections to discovery there are: at most one that is listened to and one that is to take its place.
#[derive(Debug)]
pub struct Follower {
    /// The list is pushed to an agent: nobody else says when to call.
    pushed: bool,
    index: u64,
    lines: Line,
    /// The newest connection.
    current: Option<Watch>,
    /// The one before it, until the newest has answered: what comes over it still counts.
    before: Option<Watch>,
    /// An agent that says nothing is called again and again: that the list is lost is told once.
    lost: bool,
    /// When an agent is to be asked again.
    again: Option<f64>,
    /// When [`Follower::due`] is called next: one timer is set at a time.
    armed: Option<f64>,
}

impl Follower {
    /// Holds the list of that version and has no connection yet.
    pub fn new(pushed: bool, index: u64) -> Follower {
        let (lines, current, before, lost, again, armed) = (0, None, None, false, None, None);
        Follower { pushed, index, lines, current, before, lost, again, armed }
    }

    /// The version of the list that is held.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Where the list is pushed, sees to it that there is a call or a watch.
    pub fn follow(&mut self, now: f64, out: &mut Vec<Step>) {
        if self.pushed && self.current.is_none() {
            self.listen(now, out);
        }
    }

    /// Calls from the list held. A watch that has answered is kept until the new call is answered.
    pub fn listen(&mut self, now: f64, out: &mut Vec<Step>) {
        self.again = None;
        if let Some(old) = self.current.take() {
            if old.told {
                self.before.replace(old).into_iter().for_each(|older| out.push(Step::Close(older.line)));
            } else {
                out.push(Step::Close(old.line));
            }
        }
        self.lines += 1;
        let line = self.lines;
        let (told, begun, silent, left) = (false, false, false, false);
        self.current = Some(Watch { line, told, heard: now, begun, silent, left });
        out.push(Step::Open(line, self.index));
        self.arm(now + self.patience(false), out);
    }

    /// Calls for the whole list. What comes over a connection that is open still counts until the call is answered.
    pub fn listen_afresh(&mut self, now: f64, out: &mut Vec<Step>) {
        // The versions of one service mean nothing to another.
        self.index = 0;
        self.current.iter_mut().chain(&mut self.before).for_each(|watch| watch.left = true);
        self.listen(now, out);
    }

    /// Follows the list no more.
    pub fn stop(&mut self, out: &mut Vec<Step>) {
        self.again = None;
        let open = self.current.take().into_iter().chain(self.before.take());
        out.extend(open.map(|watch| Step::Close(watch.line)));
    }

    /// Asks for a look at that time, unless there is one before it.
    fn arm(&mut self, at: f64, out: &mut Vec<Step>) {
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            out.push(Step::Timer(at));
        }
    }

    /// How long a connection may say nothing.
    fn patience(&self, told: bool) -> f64 {
        match (told, self.pushed) {
            (true, _) => QUIET,
            (false, true) => CALL_AT_AGENT,
            (false, false) => CALL,
        }
    }

    /// Something came over a connection, after which a document has begun there and not ended, or not. What comes
    /// of a document gives it as long again for the rest, once.
    pub fn bytes(&mut self, line: Line, now: f64, begun: bool) {
        let watch = self.current.iter_mut().chain(&mut self.before).find(|watch| watch.line == line);
        if let Some(watch) = watch {
            if begun && !std::mem::replace(&mut watch.begun, begun) {
                watch.heard = now;
            }
        }
    }

    /// An empty line came: nothing has changed.
    pub fn blank(&mut self, line: Line, now: f64, out: &mut Vec<Step>) {
        if self.heard(line, now, out) == Some(true) {
            out.push(Step::Unchanged);
        }
    }

    /// News of that version came. Whether they count.
    pub fn news(&mut self, line: Line, now: f64, index: u64, out: &mut Vec<Step>) -> bool {
        let counts = self.heard(line, now, out).is_some();
        let known = self.current.iter().chain(&self.before).find(|watch| watch.line == line);
        if known.is_some_and(|watch| !watch.left) {
            self.index = index;
        }
        counts
    }

    /// Notes a whole document or empty line. Whether the list was not known to be followed before; none for a
    /// connection that does not count.
    fn heard(&mut self, line: Line, now: f64, out: &mut Vec<Step>) -> Option<bool> {
        let newest = self.current.is_some_and(|watch| watch.line == line);
        let watch = if newest { self.current.as_mut() } else { self.before.as_mut() };
        let watch = watch.filter(|watch| watch.line == line)?;
        let was =
            std::mem::replace(watch, Watch { told: true, heard: now, begun: false, silent: false, ..*watch });
        self.lost = false;
        if newest && !was.told {
            self.before.take().into_iter().for_each(|old| out.push(Step::Close(old.line)));
        } else if self.current.is_none() {
            self.current = self.before.take();
        }
        self.arm(now + QUIET, out);
        Some(!was.told || was.silent)
    }

    /// A connection has broken, or what came over it is of no use.
    pub fn broke(&mut self, line: Line, now: f64, why: &'static str, out: &mut Vec<Step>) {
        out.push(Step::Close(line));
        if self.before.is_some_and(|watch| watch.line == line) {
            self.before = None;
        } else if self.current.is_some_and(|watch| watch.line == line) {
            self.current = None;
            self.lost(now, Step::Failed(why), out);
        }
    }

    /// The newest connection is gone: the one before it counts again, if it is not silent itself.
    fn lost(&mut self, now: f64, how: Step, out: &mut Vec<Step>) {
        // One at a service that was left would count as a watch for as long as it speaks.
        self.before.take_if(|watch| watch.left).into_iter().for_each(|old| out.push(Step::Close(old.line)));
        if let Some(watch) = self.before.take_if(|watch| !watch.silent) {
            self.current = Some(watch);
            return self.arm(watch.heard + QUIET, out);
        }
        let known = std::mem::replace(&mut self.lost, true);
        if self.pushed && matches!(how, Step::Silent(_)) {
            self.listen(now, out);
        } else if self.pushed {
            self.again = Some(now + PAUSE_AT_AGENT);
            self.arm(now + PAUSE_AT_AGENT, out);
        }
        if !(self.pushed && known) {
            out.push(how);
        }
    }

    /// Looks whether anything has been silent for too long: what is cut off would stay open for ever.
    pub fn due(&mut self, now: f64, out: &mut Vec<Step>) {
        let now = now + ROUNDING;
        if self.armed.is_some_and(|at| now >= at) {
            self.armed = None;
        }
        match self.again {
            Some(at) if now >= at => self.listen(now, out),
            Some(at) => self.arm(at, out),
            None => {}
        }
        if let Some(watch) = &mut self.before {
            watch.silent |= now >= watch.heard + QUIET;
        }
        let Some(watch) = self.current.filter(|watch| !watch.silent) else { return };
        let until = watch.heard + self.patience(watch.told);
        if now < until {
            return self.arm(until, out);
        }
        if watch.told {
            // It is kept: should it only be late, what it says next counts.
            self.current = Some(Watch { silent: true, ..watch });
            self.lost = true;
            out.push(Step::Silent("silent"));
            if self.pushed {
                self.listen(now, out);
            }
        } else {
            self.current = None;
            if self.pushed && self.before.is_none() {
                // The first that hangs is kept: an agent that is only slow answers it.
                self.before = Some(Watch { silent: true, ..watch });
            } else {
                out.push(Step::Close(watch.line));
            }
            self.lost(now, Step::Silent("a call without an answer"), out);
        }
    }
}
