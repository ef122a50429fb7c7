//! Follows the list at discovery, without I/O: decides what a silent watch or an unanswered list request
//! means, and which of several connections is authoritative. A request that takes long is not abandoned: a
//! slow service cannot be distinguished from one that hangs, and a new request goes to the end of the
//! service's queue. The slow request stays open beside later ones, within a limit.

/// Discovery sends an empty line on a watch every 2 s. A watch without one for longer than this (seconds) is
/// silent. The bound leaves time for list requests: an update that a watch misses counts as delivered 6 s
/// after the silence began, and requests of a whole fleet keep discovery busy for some seconds.
const WATCH_TIMEOUT: f64 = 2.3;
/// A list request without any response for this long (seconds) is overdue: another is sent beside it.
const REQUEST_TIMEOUT: f64 = 3.0;
/// A list request without any response for this long (seconds) hangs, and is closed to make room for others.
const HUNG_REQUEST_TIMEOUT: f64 = 30.0;
/// Maximum number of connections at a time to a service that is polled, the watch included. Fits into the
/// reserved descriptors.
pub const MAX_CONNECTIONS: usize = 3;
/// Maximum number of connections at a time to an agent, the watch included. An agent is polled often and
/// answers at once.
const MAX_AGENT_CONNECTIONS: usize = 2;
/// An agent answers at once, at no cost, and is silent while discovery is down; an update that it receives
/// when discovery returns counts as delivered at once. Without an answer, the agent is polled again after
/// this time (seconds), which is below any grace period.
const AGENT_REQUEST_TIMEOUT: f64 = 0.2;
/// Delay before polling an agent again after it refused a request or ended a connection (seconds).
pub const AGENT_RETRY_DELAY: f64 = 0.25;

/// A timer may fire early by the rounding of its time (seconds).
const TIMER_TOLERANCE: f64 = 0.001;

/// Identifies a connection to discovery; an id is not used twice.
pub type ConnectionId = u64;

/// What the caller has to do; steps are carried out in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Open a new connection, request the changes since that version, and keep the connection as a watch.
    Open(ConnectionId, u64),
    /// Close a connection.
    Close(ConnectionId),
    /// Call [`Follower::on_timer`] at that time (Unix seconds).
    Timer(f64),
    /// The list is followed, and nothing has changed.
    Unchanged,
    /// The list is not followed any more: a request failed, or a connection ended.
    Failed(&'static str),
    /// The list may not be followed any more: no data came within the time limit.
    Silent(&'static str),
}

/// A connection on which discovery has answered and on which it sends further updates.
#[derive(Clone, Copy, Debug)]
struct Watch {
    id: ConnectionId,
    /// Start of the time limit: when the last complete document or empty line arrived, or a document began.
    timeout_from: f64,
    /// A document has begun and not ended.
    in_document: bool,
    /// The watch has been reported as silent and has sent nothing since.
    reported_silent: bool,
    /// The watch is at the previous address: its versions cannot be compared with those of the present
    /// service.
    superseded: bool,
}

/// A connection with a list request to which no complete document or empty line has come yet.
#[derive(Clone, Copy, Debug)]
struct ListRequest {
    id: ConnectionId,
    sent_at: f64,
    /// Start of the time limit: when the request was sent, or a document began.
    timeout_from: f64,
    in_document: bool,
    /// The request has been reported as taking too long.
    overdue: bool,
}

/// The connections to discovery: the watch, and the requests that have no answer yet.
#[derive(Debug)]
pub struct Follower {
    /// An agent pushes the list: no other part of the pooler requests it.
    pushed: bool,
    version: u64,
    last_id: ConnectionId,
    watch: Option<Watch>,
    /// Requests without an answer, the oldest first; at most [`MAX_CONNECTIONS`].
    requests: Vec<ListRequest>,
    /// The loss of the list has been reported. A silent agent is polled repeatedly, but the loss is reported
    /// once.
    loss_reported: bool,
    /// When an agent is polled again.
    retry_at: Option<f64>,
    /// When the pending timer calls [`Follower::on_timer`]; one timer is set at a time.
    timer_at: Option<f64>,
}

impl Follower {
    /// Starts from the given version of the list, without a connection.
    pub fn new(pushed: bool, version: u64) -> Follower {
        let (last_id, watch, requests, loss_reported, retry_at, timer_at) =
            (0, None, Vec::new(), false, None, None);
        Follower { pushed, version, last_id, watch, requests, loss_reported, retry_at, timer_at }
    }

    /// Returns the version of the list last received.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sends a list request if the list is pushed and there is neither a watch nor a request.
    pub fn ensure_followed(&mut self, now: f64, out: &mut Vec<Step>) {
        if self.pushed && self.watch.is_none() && self.requests.is_empty() {
            self.send_list_request(now, out);
        }
    }

    /// Requests the changes since the stored version. The watch and earlier requests stay open until one of
    /// the requests is answered.
    pub fn send_list_request(&mut self, now: f64, out: &mut Vec<Step>) {
        self.retry_at = None;
        self.make_room(now, out);
        self.last_id += 1;
        let (id, sent_at, timeout_from) = (self.last_id, now, now);
        self.requests.push(ListRequest { id, sent_at, timeout_from, in_document: false, overdue: false });
        out.push(Step::Open(id, self.version));
        self.schedule_timer(now + self.answer_timeout(), out);
    }

    /// Closes a request if the maximum number of connections is open. The oldest request is the first in the
    /// service's queue, so it is closed only once it hangs; otherwise the second oldest is closed.
    fn make_room(&mut self, now: f64, out: &mut Vec<Step>) {
        let limit = if self.pushed { MAX_AGENT_CONNECTIONS } else { MAX_CONNECTIONS }
            - usize::from(self.watch.is_some());
        while self.requests.len() >= limit {
            let hung = now >= self.requests[0].sent_at + HUNG_REQUEST_TIMEOUT;
            let next = if hung || self.requests.len() == 1 { 0 } else { 1 };
            out.push(Step::Close(self.requests.remove(next).id));
        }
    }

    /// Requests the full list from another service. Updates on an open watch still count until the request is
    /// answered.
    pub fn request_full_list(&mut self, now: f64, out: &mut Vec<Step>) {
        // Versions of different services cannot be compared.
        self.version = 0;
        self.watch.iter_mut().for_each(|watch| watch.superseded = true);
        self.close_requests(out);
        self.send_list_request(now, out);
    }

    /// Stops following the list and closes all connections.
    pub fn stop(&mut self, out: &mut Vec<Step>) {
        self.retry_at = None;
        self.close_watch(out);
        self.close_requests(out);
    }

    fn close_watch(&mut self, out: &mut Vec<Step>) {
        self.watch.take().into_iter().for_each(|watch| out.push(Step::Close(watch.id)));
    }

    fn close_requests(&mut self, out: &mut Vec<Step>) {
        self.requests.drain(..).for_each(|request| out.push(Step::Close(request.id)));
    }

    /// Closes overdue requests: they are not needed once the watch has sent data again.
    fn close_overdue(&mut self, out: &mut Vec<Step>) {
        self.requests.retain(|request| {
            if request.overdue {
                out.push(Step::Close(request.id));
            }
            !request.overdue
        });
    }

    /// Sets a timer for that time, unless one is pending before it.
    fn schedule_timer(&mut self, at: f64, out: &mut Vec<Step>) {
        if self.timer_at.is_none_or(|timer_at| at < timer_at) {
            self.timer_at = Some(at);
            out.push(Step::Timer(at));
        }
    }

    /// Returns the time limit for the answer to a request (seconds).
    fn answer_timeout(&self) -> f64 {
        if self.pushed {
            AGENT_REQUEST_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        }
    }

    /// Data came over a connection; `in_document` is true if a document has begun on it and not ended. The
    /// beginning of a document restarts the time limit once, for the rest of the document.
    pub fn bytes_received(&mut self, id: ConnectionId, now: f64, in_document: bool) {
        let watch = self.watch.iter_mut().filter(|watch| watch.id == id);
        let requests = self.requests.iter_mut().filter(|request| request.id == id);
        let watch = watch.map(|watch| (&mut watch.in_document, &mut watch.timeout_from));
        for (seen_document, timeout_from) in
            watch.chain(requests.map(|request| (&mut request.in_document, &mut request.timeout_from)))
        {
            if in_document && !std::mem::replace(seen_document, true) {
                *timeout_from = now;
            }
        }
    }

    /// An empty line came: nothing has changed.
    pub fn empty_line_received(&mut self, id: ConnectionId, now: f64, out: &mut Vec<Step>) {
        if self.record_message(id, now, out) == Some(true) {
            out.push(Step::Unchanged);
        }
    }

    /// An update to that version came. Returns true if it counts.
    pub fn update_received(&mut self, id: ConnectionId, now: f64, version: u64, out: &mut Vec<Step>) -> bool {
        let accepted = self.record_message(id, now, out).is_some();
        if self.watch.is_some_and(|watch| watch.id == id && !watch.superseded) {
            self.version = version;
        }
        accepted
    }

    /// Records a complete document or empty line. Returns true if the list was not being followed before, and
    /// `None` for a connection that does not count.
    fn record_message(&mut self, id: ConnectionId, now: f64, out: &mut Vec<Step>) -> Option<bool> {
        let active =
            Watch { id, timeout_from: now, in_document: false, reported_silent: false, superseded: false };
        let was_unfollowed = match self.watch {
            Some(watch) if watch.id == id => {
                self.watch = Some(Watch { superseded: watch.superseded, ..active });
                if !watch.superseded {
                    self.close_overdue(out);
                }
                watch.reported_silent
            }
            _ => {
                // The request that is answered first replaces all other connections.
                let index = self.requests.iter().position(|request| request.id == id)?;
                self.requests.remove(index);
                self.close_requests(out);
                self.close_watch(out);
                self.watch = Some(active);
                true
            }
        };
        self.loss_reported = false;
        self.schedule_timer(now + WATCH_TIMEOUT, out);
        Some(was_unfollowed)
    }

    /// A connection has failed, or its data cannot be used.
    pub fn connection_failed(
        &mut self,
        id: ConnectionId,
        now: f64,
        reason: &'static str,
        out: &mut Vec<Step>,
    ) {
        out.push(Step::Close(id));
        if self.watch.take_if(|watch| watch.id == id).is_some() {
            if self.requests.is_empty() {
                self.handle_loss(now, Step::Failed(reason), out);
            }
            return;
        }
        let Some(index) = self.requests.iter().position(|request| request.id == id) else { return };
        let newest = index + 1 == self.requests.len();
        let request = self.requests.remove(index);
        // An overdue request has already been reported, and a newer request replaces an older one.
        if newest && !request.overdue {
            self.handle_loss(now, Step::Failed(reason), out);
        }
    }

    /// The newest request has failed or is overdue. The watch is authoritative again unless it is silent too.
    fn handle_loss(&mut self, now: f64, step: Step, out: &mut Vec<Step>) {
        let failed = matches!(step, Step::Failed(_));
        // A watch at the previous address would otherwise count for as long as it sends data.
        if failed && self.watch.is_some_and(|watch| watch.superseded) {
            self.close_watch(out);
        }
        if let Some(watch) = self.watch.filter(|watch| !watch.reported_silent && !watch.superseded) {
            return self.schedule_timer(watch.timeout_from + WATCH_TIMEOUT, out);
        }
        let already_reported = std::mem::replace(&mut self.loss_reported, true);
        if self.pushed && !failed {
            self.send_list_request(now, out);
        } else if self.pushed {
            self.retry_at = Some(now + AGENT_RETRY_DELAY);
            self.schedule_timer(now + AGENT_RETRY_DELAY, out);
        }
        if !(self.pushed && already_reported) {
            out.push(step);
        }
    }

    /// Checks the watch and the requests for silence: a connection whose peer was cut off would stay open for
    /// ever.
    pub fn on_timer(&mut self, now: f64, out: &mut Vec<Step>) {
        let now = now + TIMER_TOLERANCE;
        if self.timer_at.is_some_and(|at| now >= at) {
            self.timer_at = None;
        }
        match self.retry_at {
            Some(at) if now >= at => self.send_list_request(now, out),
            Some(at) => self.schedule_timer(at, out),
            None => {}
        }
        self.check_watch(now, out);
        self.check_requests(now, out);
    }

    /// A silent watch stays open: if it is only late, its next data counts.
    fn check_watch(&mut self, now: f64, out: &mut Vec<Step>) {
        let Some(watch) = self.watch.as_mut().filter(|watch| !watch.reported_silent) else { return };
        let until = watch.timeout_from + WATCH_TIMEOUT;
        if now < until {
            return self.schedule_timer(until, out);
        }
        watch.reported_silent = true;
        // While a request is in flight, its end decides.
        if self.requests.is_empty() {
            self.loss_reported = true;
            out.push(Step::Silent("no data on the watch in time"));
            if self.pushed {
                self.send_list_request(now, out);
            }
        }
    }

    /// An overdue request stays open and is reported, so that another is sent; if the watch has sent data
    /// again, the request is not needed and is closed.
    fn check_requests(&mut self, now: f64, out: &mut Vec<Step>) {
        let answer_timeout = self.answer_timeout();
        let watch_is_live = self.watch.is_some_and(|watch| !watch.reported_silent && !watch.superseded);
        let mut index = 0;
        while index < self.requests.len() {
            let (request, newest) = (self.requests[index], index + 1 == self.requests.len());
            let until = request.timeout_from + answer_timeout;
            if now >= until && watch_is_live {
                out.push(Step::Close(request.id));
                self.requests.remove(index);
                continue;
            }
            if now < until {
                self.schedule_timer(until, out);
            } else if !request.overdue {
                self.requests[index].overdue = true;
                if newest {
                    return self.handle_loss(now, Step::Silent("list request not answered in time"), out);
                }
            }
            index += 1;
        }
    }
}
