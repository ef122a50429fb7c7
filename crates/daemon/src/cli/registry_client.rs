//! Blocking client of a registry for the command line.

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

/// Keys per page.
const PAGE: u64 = 1_000;
/// Maximum number of pages: more keys than a pooler would follow.
const MAX_PAGES: usize = 200;
/// Maximum length of an answer (bytes).
pub(super) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Time limit of a complete answer, as a multiple of the time limit of a call (`registry.call_s`).
const ANSWER_TIMEOUT_FACTOR: u32 = 6;

/// A stream that is read at most once per step, so that a step does not wait for more data after the first
/// read.
pub(super) struct TimedStream {
    stream: TcpStream,
    /// Whether data was read, or the stream ended, in this step.
    has_read: bool,
    /// Whether the read of the last step timed out.
    pub timed_out: bool,
}

impl TimedStream {
    /// Reads and writes once.
    pub fn step(&mut self, transport: &mut Transport) -> Result<Fill, String> {
        (self.has_read, self.timed_out) = (false, false);
        transport.process_io(self).map_err(|error| error.to_string())
    }

    /// Sets the time limit of a step's read.
    pub fn set_timeout(&self, timeout: Duration) -> Result<(), String> {
        let timeout = timeout.max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(timeout)).map_err(|error| error.to_string())
    }
}

impl Read for TimedStream {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        if self.has_read {
            return Err(ErrorKind::WouldBlock.into());
        }
        let read = self.stream.read(bytes);
        self.has_read = read.is_ok();
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

/// Client of the registry that an operator's file names.
pub(super) struct RegistryClient {
    pub settings: Settings,
    dialer: Dialer,
    token: Option<String>,
}

impl RegistryClient {
    /// Reads the operator's file, and logs in if it names a user.
    pub fn from_operator_file(operator: &Path) -> Result<RegistryClient, String> {
        let settings = files::read_document(operator)?.1.registry;
        if settings.endpoints.is_empty() {
            return Err(format!("{}: registry.endpoints: names no registry", operator.display()));
        }
        let mut client = RegistryClient { dialer: Dialer::new(&settings), settings, token: None };
        if client.settings.user.is_some() {
            client.login()?;
        }
        Ok(client)
    }

    /// Requests a token, which all later calls use.
    pub fn login(&mut self) -> Result<String, String> {
        let body = self.dialer.login_body()?;
        let token = wire::parse_token(&self.call(wire::AUTHENTICATE, &body)?).map_err(describe_refusal)?;
        Ok(self.token.insert(token).clone())
    }

    /// Warning about a certificate that expires soon, if there is one.
    pub fn expiry_warning(&mut self) -> Option<String> {
        self.dialer.expiry_warning(now())
    }

    /// Calls the endpoints in their order until one answers.
    pub fn call(&mut self, path: &str, body: &[u8]) -> Result<Vec<u8>, String> {
        let mut last_error = String::new();
        for index in 0..self.settings.endpoints.len() {
            match self.call_endpoint(index, path, body) {
                Ok(answer) => return Ok(answer),
                Err(error) => last_error = format!("{}: {error}", self.settings.endpoints[index]),
            }
        }
        Err(format!("no endpoint answers; the last error: {last_error}"))
    }

    /// Connects to an endpoint; the returned transport holds the request.
    pub fn connect(
        &mut self,
        index: usize,
        path: &str,
        body: &[u8],
        budget: &Budget,
    ) -> Result<(TimedStream, Transport), String> {
        let endpoint: SocketAddr = self.settings.endpoints[index];
        let timeout = Duration::from_secs_f64(self.settings.call_s);
        let transport =
            self.dialer.transport_with_request(endpoint, path, body, self.token.as_deref(), budget, now())?;
        let describe = |error: std::io::Error| error.to_string();
        let stream = TcpStream::connect_timeout(&endpoint, timeout).map_err(describe)?;
        stream.set_write_timeout(Some(timeout)).map_err(describe)?;
        let stream = TimedStream { stream, has_read: false, timed_out: false };
        stream.set_timeout(timeout)?;
        Ok((stream, transport))
    }

    /// Calls one endpoint and returns the body of the answer.
    pub fn call_endpoint(&mut self, index: usize, path: &str, body: &[u8]) -> Result<Vec<u8>, String> {
        let budget = Budget::new(2 * MAX_ANSWER_BYTES);
        let (mut stream, mut transport) = self.connect(index, path, body, &budget)?;
        let mut response = FullResponse::new(MAX_ANSWER_BYTES, budget.charge());
        let describe = |fault: http1::Fault| fault.description().to_string();
        let deadline = Instant::now() + Duration::from_secs_f64(self.settings.call_s) * ANSWER_TIMEOUT_FACTOR;
        loop {
            let fill = stream.step(&mut transport)?;
            if let Some((_, body)) = response.next(&mut transport.inbox).map_err(describe)? {
                return Ok(body);
            }
            if fill == Fill::Ended {
                return response.connection_closed().map(|(_, body)| body).map_err(describe);
            }
            if stream.timed_out || Instant::now() > deadline {
                return Err("no answer in time".into());
            }
        }
    }

    /// Reads all keys at one revision, page by page.
    pub fn read_view(&mut self) -> Result<View, String> {
        let prefix = format!("{}/", self.settings.prefix).into_bytes();
        let serializable = self.settings.serializable;
        let (mut from, mut revision, mut cluster, mut keys) = (prefix.clone(), 0, 0, Vec::new());
        for _ in 0..MAX_PAGES {
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
        Err(format!("over {} keys", MAX_PAGES as u64 * PAGE))
    }
}

/// Describes a refusal.
pub(super) fn describe_refusal(refusal: Refusal) -> String {
    match refusal {
        Refusal::Other(what) => format!("turned down: {what}"),
        Refusal::Unauthenticated => "turned down: no valid token; see registry.user".into(),
        Refusal::Compacted => "the revision was compacted while it was read; try again".into(),
        Refusal::Malformed(what) => format!("an answer not of the agreed form: {what}"),
    }
}

/// Unix seconds.
pub(super) fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
