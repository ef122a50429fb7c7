//! When the member list is requested. Discovery answers the requests of all poolers one after another: a
//! request that has waited too long fails, and still has taken discovery's time. Poolers that start together,
//! or are refused together, must not repeat their requests together, or none of them ever gets an answer.

/// First back-off after a failed request, as a share of `max_list_age`; it doubles with each failure.
const FIRST_BACKOFF_SHARE: f64 = 1.0 / 16.0;
/// Maximum interval between two requests (seconds), to which up to 1 s of jitter is added. A change is
/// binding 6 s after discovery has it and can be reached: the next request follows at most 5 s after that,
/// which leaves 1 s for waiting in discovery's queue. Poolers that send one request each in this interval are
/// spread evenly over it; a discovery service that has just recovered can take them in at that rate, but not
/// over a shorter interval.
const MAX_INTERVAL: f64 = 4.0;
/// If answers were slow, the interval is shorter: interval, jitter and answer together stay within this
/// (seconds), well inside the 6 s after which a change is binding ...
const MAX_UPDATE_DELAY: f64 = 5.7;
/// ... but the interval is at least this (seconds), and is not shortened if answers are too slow for that
/// anyway ...
const MIN_INTERVAL: f64 = 1.0;
/// ... nor after a request that was refused only after this time (seconds): it had waited in a queue,
/// which more requests would lengthen.
const QUEUED_THRESHOLD: f64 = 0.5;
/// After a request that failed in a queue the back-off is at least this multiple of the time it had waited.
const QUEUE_BACKOFF_FACTOR: f64 = 2.0;
/// A small fleet needs less spreading: its interval is what discovery needs for all its requests, at least
/// this (seconds).
const MIN_FLEET_INTERVAL: f64 = 1.2;
/// Assumed time that discovery needs for one request (seconds): poolers that start together leave it this
/// time each ...
const REQUEST_COST: f64 = 0.04;
/// ... with a jitter of at most this (seconds).
const MAX_START_JITTER: f64 = 4.0;

/// The watches of all poolers become silent at the same moment: each pooler sends its request at a random
/// time within this (seconds). The heartbeats of the watches, 2 s apart at times of their own, spread the
/// requests as well, so that discovery has 4 s for all of them.
const SILENCE_JITTER: f64 = 2.0;
/// The same for requests that hang, which are only those in the queue when discovery became silent (seconds).
const HUNG_REQUEST_JITTER: f64 = 0.5;
/// A change that silence hides is binding 6 s after the silence began, received or not. Noticing it takes a
/// little more than 2 s; for the rest (seconds) failed requests are repeated without exponential back-off.
const URGENT_PERIOD: f64 = 4.0;

/// State of the requests for the list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ListRequests {
    /// Updates of the list are being received.
    following: bool,
    /// When the pending request was sent.
    requested_at: Option<f64>,
    next_request_at: f64,
    /// Failures in a row.
    failures: u32,
    /// Number of poolers that send requests; 0 if unknown.
    fleet_size: u32,
    /// Since when an answer has been awaited, over overlapping requests.
    waiting_since: Option<f64>,
    /// How long the last answer took (seconds).
    last_answer_time: f64,
    /// Until this time the list may lack binding changes: failed requests are repeated without exponential
    /// back-off.
    urgent_until: f64,
}

impl ListRequests {
    /// A pooler of this fleet has started with a saved list. `sample` (0 to 1) is drawn by each pooler, so
    /// that poolers which start together send their requests one after another.
    pub fn on_start(&mut self, now: f64, fleet_size: u32, sample: f64) {
        self.fleet_size = fleet_size;
        self.next_request_at = now + sample * (f64::from(fleet_size) * REQUEST_COST).min(MAX_START_JITTER);
    }

    /// Returns true if a request is due, and counts it as sent. If its outcome is never reported, it is
    /// repeated.
    pub fn take_due(&mut self, now: f64) -> bool {
        let due = !self.following && now >= self.next_request_at;
        if due {
            (self.requested_at, self.next_request_at) = (Some(now), now + self.interval(MAX_INTERVAL));
            self.waiting_since = self.waiting_since.or(Some(now));
        }
        due
    }

    /// The request or the subscription has failed. Returns true for the first failure in a row.
    pub fn on_failure(&mut self, now: f64, max_list_age: f64, sample: f64) -> bool {
        let requested_at = self.requested_at.take();
        let urgent = now < self.urgent_until;
        let backoff = f64::from(1u32 << if urgent { 0 } else { self.failures.min(4) });
        // Refused: the time to the next answer counts from the next request.
        self.waiting_since = None;
        let queue_wait =
            requested_at.filter(|_| !urgent).map_or(0.0, |sent_at| (now - sent_at) * QUEUE_BACKOFF_FACTOR);
        let wait = (max_list_age * FIRST_BACKOFF_SHARE).max(queue_wait) * backoff * (0.5 + sample);
        let was_queued = requested_at.is_some_and(|sent_at| now - sent_at >= QUEUED_THRESHOLD);
        let fleet_interval = self.fleet_interval();
        let interval = if was_queued { fleet_interval } else { self.interval(fleet_interval) };
        self.next_request_at = (now + wait).min(requested_at.unwrap_or(now) + interval + sample).max(now);
        (self.following, self.failures) = (false, self.failures + 1);
        self.failures == 1
    }

    /// The subscription has become silent, or the request hangs, at a pooler of this fleet. Returns true for
    /// the first failure in a row.
    pub fn on_silence(&mut self, now: f64, fleet_size: u32, sample: f64) -> bool {
        let hung = self.requested_at.take();
        match hung.filter(|_| self.failures > 0 && now >= self.urgent_until) {
            // Requests hang one after another: nothing announces that discovery has recovered.
            Some(sent_at) => self.next_request_at = (sent_at + self.interval(MAX_INTERVAL) + sample).max(now),
            None => {
                if hung.is_none() || self.failures == 0 {
                    self.urgent_until = now + URGENT_PERIOD;
                }
                let jitter = if hung.is_some() { HUNG_REQUEST_JITTER } else { SILENCE_JITTER };
                self.next_request_at = now + sample * jitter * (1.0 - 1.0 / f64::from(fleet_size.max(1)));
            }
        }
        (self.following, self.failures) = (false, self.failures + 1);
        self.failures == 1
    }

    /// Returns the interval between two requests without jitter (seconds): `max_interval`, or less if answers
    /// were slow.
    fn interval(&self, max_interval: f64) -> f64 {
        let left = MAX_UPDATE_DELAY - 1.0 - self.last_answer_time;
        if left < MIN_INTERVAL {
            max_interval
        } else {
            left.min(max_interval)
        }
    }

    /// Returns the interval after a request that was refused (seconds), in which each pooler sends one
    /// request. A request without an answer keeps its place in the queue and needs no second one so soon.
    fn fleet_interval(&self) -> f64 {
        match self.fleet_size {
            0 => MAX_INTERVAL,
            size => (f64::from(size) * REQUEST_COST).clamp(MIN_FLEET_INTERVAL, MAX_INTERVAL),
        }
    }

    /// An update was received. Returns true if the list had been lost before.
    pub fn on_update(&mut self, now: f64) -> bool {
        if let Some(waiting_since) = self.waiting_since.take() {
            self.last_answer_time = now - waiting_since;
        }
        (self.following, self.requested_at, self.urgent_until) = (true, None, 0.0);
        std::mem::take(&mut self.failures) > 0
    }
}

#[cfg(test)]
mod tests;
