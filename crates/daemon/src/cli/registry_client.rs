//! Calls to a registry from a terminal: one after the other, each waited for.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use buffer::{Budget, Fill};
use http1::FullResponse;
use operator::Registry as Settings;
use registry::wire::{self, prefix_end, Range, Refusal};
use registry::{Entry, View};
use tls::Transport;

use crate::dial::Dialer;
use crate::files;

/// Keys in a page, and pages at most: more than a pooler would follow.
const PAGE: u64 = 1_000;
const PAGES: usize = 200;
/// Longest answer that is read (bytes).
pub(super) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// An answer that has begun may take so many times as long as one may take to begin.
const WHOLE: u32 = 6;

/// A stream that is read from once a turn, so that a turn does not wait for more than it needs.
pub(super) struct TimedStream {
    stream: TcpStream,
    /// Whether something has come in this turn.
    came: bool,
    /// Whether the last turn was waited for in vain.
    pub timed_out: bool,
}

impl TimedStream {
    /// A turn, and what it came to.
    pub fn turn(&mut self, link: &mut Transport) -> Result<Fill, String> {
        (self.came, self.timed_out) = (false, false);
        link.process_io(self).map_err(|fault| fault.to_string())
    }

    /// How long a turn waits for something to come.
    pub fn set_timeout(&self, patience: Duration) -> Result<(), String> {
        let patience = patience.max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(patience)).map_err(|error| error.to_string())
    }
}

impl Read for TimedStream {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        if self.came {
            return Err(ErrorKind::WouldBlock.into());
        }
        let read = self.stream.read(bytes);
        self.came = read.is_ok();
        self.timed_out =
            read.as_ref().is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
        read.map_err(|error| if self.timed_out { ErrorKind::WouldBlock.into() } else { error })
    }
}

impl Write for TimedStream {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.stream.flush()
    }
}

/// Calls the registry that an operator's file names.
pub(super) struct RegistryClient {
    pub settings: Settings,
    dial: Dialer,
    token: Option<String>,
}

impl RegistryClient {
    /// Reads the file, and logs in where it names a user.
    pub fn from_operator_file(operator: &Path) -> Result<RegistryClient, String> {
        let settings = files::read_document(operator)?.1.registry;
        if settings.endpoints.is_empty() {
            return Err(format!("{}: registry.endpoints: names no registry", operator.display()));
        }
        let mut caller = RegistryClient { dial: Dialer::new(&settings), settings, token: None };
        if caller.settings.user.is_some() {
            caller.login()?;
        }
        Ok(caller)
    }

    /// Asks for a token, which all later calls go with.
    pub fn login(&mut self) -> Result<String, String> {
        let body = self.dial.login_body()?;
        let token = wire::parse_token(&self.call(wire::AUTHENTICATE, &body)?).map_err(describe_refusal)?;
        Ok(self.token.insert(token).clone())
    }

    /// A certificate that runs out soon, in words.
    pub fn expiry_warning(&mut self) -> Option<String> {
        self.dial.expiry_warning(now())
    }

    /// Calls the first endpoint that answers.
    pub fn call(&mut self, path: &str, body: &[u8]) -> Result<Vec<u8>, String> {
        let mut fault = String::new();
        for at in 0..self.settings.endpoints.len() {
            match self.call_endpoint(at, path, body) {
                Ok(answer) => return Ok(answer),
                Err(error) => fault = format!("{}: {error}", self.settings.endpoints[at]),
            }
        }
        Err(format!("no endpoint answers; the last: {fault}"))
    }

    /// A connection to an endpoint, and a link with a call in it.
    pub fn connect(
        &mut self,
        at: usize,
        path: &str,
        body: &[u8],
        budget: &Budget,
    ) -> Result<(TimedStream, Transport), String> {
        let endpoint: SocketAddr = self.settings.endpoints[at];
        let patience = Duration::from_secs_f64(self.settings.call_s);
        let link =
            self.dial.transport_with_request(endpoint, path, body, self.token.as_deref(), budget, now())?;
        let words = |error: std::io::Error| error.to_string();
        let stream = TcpStream::connect_timeout(&endpoint, patience).map_err(words)?;
        stream.set_write_timeout(Some(patience)).map_err(words)?;
        let patient = TimedStream { stream, came: false, timed_out: false };
        patient.set_timeout(patience)?;
        Ok((patient, link))
    }

    /// Calls one endpoint; its answer's body.
    pub fn call_endpoint(&mut self, at: usize, path: &str, body: &[u8]) -> Result<Vec<u8>, String> {
        let budget = Budget::new(2 * MAX_ANSWER_BYTES);
        let (mut patient, mut link) = self.connect(at, path, body, &budget)?;
        let mut whole = FullResponse::new(MAX_ANSWER_BYTES, budget.charge());
        let told = |fault: http1::Fault| fault.description().to_string();
        let until = Instant::now() + Duration::from_secs_f64(self.settings.call_s) * WHOLE;
        loop {
            let fill = patient.turn(&mut link)?;
            if let Some((_, body)) = whole.next(&mut link.inbox).map_err(told)? {
                return Ok(body);
            }
            if fill == Fill::Ended {
                return whole.connection_closed().map(|(_, body)| body).map_err(told);
            }
            if patient.timed_out || Instant::now() > until {
                return Err("no answer in time".into());
            }
        }
    }

    /// Reads all keys, page by page at one revision.
    pub fn read_view(&mut self) -> Result<View, String> {
        let prefix = format!("{}/", self.settings.prefix).into_bytes();
        let serializable = self.settings.serializable;
        let (mut from, mut revision, mut cluster, mut keys) = (prefix.clone(), 0, 0, Vec::new());
        for _ in 0..PAGES {
            let range = Range { from, to: prefix_end(&prefix), revision, limit: PAGE, serializable };
            let page = wire::parse_page(&self.call(wire::RANGE, &range.body())?).map_err(describe_refusal)?;
            if revision == 0 {
                (revision, cluster) = (page.header.revision, page.header.cluster_id);
            }
            let last = page.kvs.last().map(|kv| kv.key.clone());
            keys.extend(
                page.kvs.into_iter().map(|kv| (kv.key, Entry { revision: kv.mod_revision, value: kv.value })),
            );
            match last.filter(|_| page.more) {
                Some(mut key) => {
                    key.push(0);
                    from = key;
                }
                None => return Ok(View::restore(cluster, revision, keys)),
            }
        }
        Err(format!("over {} keys", PAGES as u64 * PAGE))
    }
}

/// A refusal in words.
pub(super) fn describe_refusal(refusal: Refusal) -> String {
    match refusal {
        Refusal::Other(what) => format!("turned down: {what}"),
        Refusal::Unauthenticated => "turned down: no valid token; see registry.user".into(),
        Refusal::Compacted => "compacted away while it was read; try again".into(),
        Refusal::Malformed(what) => format!("an answer not of the agreed form: {what}"),
    }
}

/// Unix seconds.
pub(super) fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
