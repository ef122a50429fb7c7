//! A small registry with the part of etcd v3's JSON interface that the pooler uses, and with faults that a
//! test can switch on.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use openssl::ssl::{Ssl, SslAcceptor, SslStream};
use serde_json::{json, Value};

/// The changes of one revision: keys and their values, `None` for a deleted key.
type RevisionChanges = Vec<(String, Option<String>)>;

#[derive(Default)]
struct State {
    /// The changes of revision 2 and later, since an empty registry has revision 1.
    revisions: Vec<RevisionChanges>,
    compacted: u64,
    /// For each lease when it expires, its duration and its keys.
    leases: BTreeMap<u64, (Instant, Duration, Vec<String>)>,
    /// The user and the password. Calls need a token if there is a user; only the latest token is valid.
    user: Option<(String, String)>,
    token: u64,
}

impl State {
    fn revision(&self) -> u64 {
        self.revisions.len() as u64 + 1
    }

    /// Returns the keys at a revision, each with the revision that wrote it and its value.
    fn keys_at(&self, revision: u64) -> BTreeMap<&str, (u64, &str)> {
        let mut keys = BTreeMap::new();
        for (n, changes) in self.revisions.iter().enumerate().take(revision as usize - 1) {
            for (key, value) in changes {
                match value {
                    Some(value) => keys.insert(key.as_str(), (n as u64 + 2, value.as_str())),
                    None => keys.remove(key.as_str()),
                };
            }
        }
        keys
    }

    /// Removes a lease and deletes its keys.
    fn revoke_lease(&mut self, lease: u64) {
        let keys = self.leases.remove(&lease).map(|(.., keys)| keys).unwrap_or_default();
        if !keys.is_empty() {
            self.revisions.push(keys.into_iter().map(|key| (key, None)).collect());
        }
    }

    fn is_valid_token(&self, token: &str) -> bool {
        self.user.is_none() || token == format!("token-{}", self.token)
    }
}

/// The faults of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls are accepted and never answered.
    pub hang: bool,
    /// Connections of calls and of open watches are closed at once.
    pub close_at_once: bool,
    /// Watches send no further events.
    pub stall_watches: bool,
    /// Each byte is written separately.
    pub byte_by_byte: bool,
    /// If not 0, calls are answered with this status and a page that is not JSON.
    pub status: u16,
    /// The delay of an answer.
    pub delay: Duration,
    /// The number of latest revisions that the endpoint does not have yet.
    pub revisions_behind: u64,
    /// Watches send each event twice.
    pub duplicate_events: bool,
}

/// The state shared by the endpoints of a registry.
#[derive(Default)]
struct Cluster {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct Shared {
    faults: Mutex<Faults>,
    calls: AtomicUsize,
    bytes: AtomicUsize,
}

/// An endpoint of a registry, on a loopback address.
#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    cluster: Arc<Cluster>,
    shared: Arc<Shared>,
}

pub trait ReadWrite: Read + Write + Send {}
impl ReadWrite for TcpStream {}
impl ReadWrite for SslStream<TcpStream> {}

struct Stream {
    inner: Box<dyn ReadWrite>,
    byte_by_byte: bool,
}

impl Default for Registry {
    fn default() -> Self {
        Registry::with_cluster(Arc::default(), None)
    }
}

impl Registry {
    /// Starts a registry that requires TLS.
    pub fn with_tls(acceptor: SslAcceptor) -> Registry {
        Registry::with_cluster(Arc::default(), Some(acceptor))
    }

    /// Starts another endpoint of the same registry.
    pub fn add_endpoint(&self) -> Registry {
        Registry::with_cluster(self.cluster.clone(), None)
    }

    fn with_cluster(cluster: Arc<Cluster>, acceptor: Option<SslAcceptor>) -> Registry {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let registry = Registry { address, cluster, shared: Arc::default() };
        let endpoint = registry.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (endpoint, acceptor) = (endpoint.clone(), acceptor.clone());
                std::thread::spawn(move || {
                    stream.set_nodelay(true).ok()?;
                    let inner: Box<dyn ReadWrite> = match acceptor {
                        None => Box::new(stream),
                        Some(acceptor) => {
                            let mut stream =
                                SslStream::new(Ssl::new(acceptor.context()).ok()?, stream).ok()?;
                            stream.accept().ok()?;
                            Box::new(stream)
                        }
                    };
                    endpoint.serve(Stream { inner, byte_by_byte: false })
                });
            }
        });
        registry
    }

    /// Writes keys, or deletes those without a value, in one transaction.
    pub fn write(&self, changes: &[(&str, Option<&str>)]) {
        let changes = changes.iter().map(|(key, value)| (key.to_string(), value.map(String::from)));
        self.change(|state| state.revisions.push(changes.collect()));
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.cluster.state.lock().unwrap());
        self.cluster.changed.notify_all();
    }

    /// Returns the value of the key of a member.
    pub fn member_value(address: SocketAddr, group: u32, status: &str) -> String {
        format!(r#"{{"v":1,"address":"{address}","zone":"here","group":{group},"status":"{status}"}}"#)
    }

    /// Returns the current value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.cluster.state.lock().unwrap();
        state.keys_at(state.revision()).get(key).map(|(_, value)| value.to_string())
    }

    /// Compacts all revisions before the current one.
    pub fn compact(&self) {
        self.change(|state| state.compacted = state.revision());
    }

    /// Requires a login of this user from now on. Tokens issued before are no longer valid.
    pub fn require_login(&self, user: &str, password: &str) {
        self.change(|state| {
            state.token += 1;
            state.user = Some((user.into(), password.into()));
        });
    }

    /// Expires all leases, as if their holders had not renewed them in time.
    pub fn expire_leases(&self) {
        self.change(|state| {
            let all: Vec<u64> = state.leases.keys().copied().collect();
            all.into_iter().for_each(|lease| state.revoke_lease(lease));
        });
    }

    /// Changes the faults of this endpoint.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.lock().unwrap());
        self.cluster.changed.notify_all();
    }

    /// Sets whether calls are accepted and never answered.
    pub fn set_hang(&self, hang: bool) {
        self.change_faults(|faults| faults.hang = hang);
    }

    /// Sets whether connections of calls and watches are closed at once.
    pub fn set_close_at_once(&self, close: bool) {
        self.change_faults(|faults| faults.close_at_once = close);
    }

    fn faults(&self) -> Faults {
        *self.shared.faults.lock().unwrap()
    }

    /// Returns the number of calls so far and the number of bytes sent.
    pub fn usage(&self) -> (usize, usize) {
        (self.shared.calls.load(Ordering::SeqCst), self.shared.bytes.load(Ordering::SeqCst))
    }

    fn serve(&self, mut stream: Stream) -> Option<()> {
        let mut reader = BufReader::new(&mut stream.inner);
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            reader.read_until(b'\n', &mut head).ok().filter(|count| *count > 0)?;
        }
        let head = String::from_utf8(head).ok()?;
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let mut body = vec![0; field("Content-Length: ")?.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        self.shared.calls.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(self.faults().delay);
        while self.faults().hang {
            std::thread::sleep(Duration::from_millis(10));
        }
        let Faults { close_at_once, byte_by_byte, status, .. } = self.faults();
        stream.byte_by_byte = byte_by_byte;
        if close_at_once {
            return None;
        }
        if status > 0 {
            let page = "<html>try later</html>";
            let head = format!("HTTP/1.1 {status} No\r\nContent-Length: {}\r\n\r\n{page}", page.len());
            return self.send(&mut stream, head.as_bytes());
        }
        let (token, body) =
            (field("Authorization: ").unwrap_or_default(), serde_json::from_slice::<Value>(&body).ok()?);
        let path = head.split(' ').nth(1)?;
        if path != "/v3/auth/authenticate" && !self.cluster.state.lock().unwrap().is_valid_token(token) {
            return self
                .answer(&mut stream, &json!({"code": 16, "message": "etcdserver: invalid auth token"}));
        }
        match path {
            "/v3/auth/authenticate" => self.login(&mut stream, &body),
            "/v3/kv/range" => self.range(&mut stream, &body),
            "/v3/kv/txn" => self.txn(&mut stream, &body),
            "/v3/kv/put" => self.put(&mut stream, &body),
            "/v3/watch" => self.watch(&mut stream, &body["create_request"], token),
            _ => self.lease(&mut stream, path, &body),
        }
    }

    fn send(&self, stream: &mut Stream, bytes: &[u8]) -> Option<()> {
        self.shared.bytes.fetch_add(bytes.len(), Ordering::SeqCst);
        if stream.byte_by_byte {
            return bytes.chunks(1).try_for_each(|byte| stream.inner.write_all(byte)).ok();
        }
        stream.inner.write_all(bytes).ok()
    }

    fn answer(&self, stream: &mut Stream, body: &Value) -> Option<()> {
        let body = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.send(stream, &[head.as_bytes(), body.as_bytes()].concat())
    }

    fn login(&self, stream: &mut Stream, call: &Value) -> Option<()> {
        let state = self.cluster.state.lock().unwrap();
        let authenticated = state.user.as_ref().is_some_and(|(user, password)| {
            call["name"] == user.as_str() && call["password"] == password.as_str()
        });
        let answer = match authenticated {
            true => json!({"token": format!("token-{}", state.token)}),
            false => {
                json!({"code": 3, "message": "etcdserver: authentication failed, invalid user ID or password"})
            }
        };
        drop(state);
        self.answer(stream, &answer)
    }

    fn range(&self, stream: &mut Stream, call: &Value) -> Option<()> {
        let state = self.cluster.state.lock().unwrap();
        let (from, to, requested) = (text(&call["key"]), text(&call["range_end"]), number(&call["revision"]));
        let current = state.revision() - self.faults().revisions_behind;
        let revision = if requested == 0 { current } else { requested };
        let answer = if revision < state.compacted {
            json!({"code": 11, "message": "etcdserver: mvcc: required revision has been compacted"})
        } else {
            let keys = state.keys_at(revision);
            let found: Vec<_> = keys.range(from.as_str()..to.as_str()).collect();
            let limit = number(&call["limit"]) as usize;
            let kvs: Vec<Value> = found
                .iter()
                .take(limit)
                .map(|(key, (revision, value))| {
                    json!({"key": STANDARD.encode(key), "value": STANDARD.encode(value), "mod_revision": revision.to_string()})
                })
                .collect();
            json!({"header": {"cluster_id": "7", "revision": current.to_string()}, "kvs": kvs, "more": found.len() > limit})
        };
        drop(state);
        self.answer(stream, &answer)
    }

    /// Handles a transaction that compares revisions of keys and writes or deletes keys.
    fn txn(&self, stream: &mut Stream, call: &Value) -> Option<()> {
        let mut succeeded = false;
        let (compares, writes) = (call["compare"].as_array()?, call["success"].as_array()?);
        self.change(|state| {
            let current = state.keys_at(state.revision());
            succeeded = compares.iter().all(|compare| {
                let revision =
                    current.get(text(&compare["key"]).as_str()).map_or(0, |(revision, _)| *revision);
                revision == number(&compare["mod_revision"])
            });
            if succeeded {
                let changes = writes.iter().map(|write| match write.get("request_put") {
                    Some(put) => (text(&put["key"]), Some(text(&put["value"]))),
                    None => (text(&write["request_delete_range"]["key"]), None),
                });
                state.revisions.push(changes.collect());
            }
        });
        self.answer(stream, &json!({ "succeeded": succeeded }))
    }

    /// Handles a write of a key, with or without a lease.
    fn put(&self, stream: &mut Stream, call: &Value) -> Option<()> {
        let (key, lease, mut accepted) = (text(&call["key"]), number(&call["lease"]), true);
        self.change(|state| {
            // A key belongs to the lease of its last write.
            state.leases.values_mut().for_each(|(.., keys)| keys.retain(|other| *other != key));
            match state.leases.get_mut(&lease) {
                Some((.., keys)) => keys.push(key.clone()),
                None => accepted = lease == 0,
            }
            if accepted {
                state.revisions.push(vec![(key, Some(text(&call["value"])))]);
            }
        });
        let lease_not_found = json!({"code": 5, "message": "etcdserver: requested lease not found"});
        self.answer(stream, &if accepted { json!({}) } else { lease_not_found })
    }

    fn lease(&self, stream: &mut Stream, path: &str, call: &Value) -> Option<()> {
        let mut answer = json!({});
        self.change(|state| {
            let now = Instant::now();
            let expired: Vec<u64> =
                state.leases.iter().filter(|(_, l)| l.0 < now).map(|(id, _)| *id).collect();
            expired.into_iter().for_each(|lease| state.revoke_lease(lease));
            let id = number(&call["ID"]);
            match path {
                "/v3/lease/grant" => {
                    let (id, length) =
                        (state.leases.len() as u64 + state.revision() * 100, number(&call["TTL"]));
                    let length = Duration::from_secs(length);
                    state.leases.insert(id, (now + length, length, Vec::new()));
                    answer = json!({"ID": id.to_string(), "TTL": length.as_secs().to_string()});
                }
                "/v3/lease/revoke" => state.revoke_lease(id),
                _ => {
                    let renewed = state.leases.get_mut(&id).map(|lease| {
                        lease.0 = now + lease.1;
                        lease.1.as_secs()
                    });
                    // The TTL is left out if the lease has expired, as etcd does.
                    answer = match renewed {
                        Some(left) => json!({"result": {"ID": id.to_string(), "TTL": left.to_string()}}),
                        None => json!({"result": {"ID": id.to_string()}}),
                    };
                }
            }
        });
        self.answer(stream, &answer)
    }

    fn watch(&self, stream: &mut Stream, call: &Value, token: &str) -> Option<()> {
        let (from, to) = (text(&call["key"]), text(&call["range_end"]));
        let mut next = number(&call["start_revision"]);
        self.send(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut created = false;
        loop {
            let state = self.cluster.state.lock().unwrap();
            let faults = self.faults();
            if faults.close_at_once {
                return None;
            }
            let (revision, compacted) = (state.revision() - faults.revisions_behind, state.compacted);
            let is_compacted = next <= compacted && next < revision;
            let token_is_valid = state.is_valid_token(token);
            let mut events = Vec::new();
            let visible = state.revisions.iter().enumerate().take(revision as usize - 1);
            for (n, changes) in visible.skip((next as usize).saturating_sub(2)) {
                let in_range =
                    changes.iter().filter(|(key, _)| (from.as_str()..to.as_str()).contains(&key.as_str()));
                events.extend(in_range.map(|(key, value)| {
                    let kv = json!({"key": STANDARD.encode(key), "mod_revision": (n + 2).to_string(),
                        "value": STANDARD.encode(value.as_deref().unwrap_or(""))});
                    json!({"type": if value.is_some() { "PUT" } else { "DELETE" }, "kv": kv})
                }));
            }
            let mut result =
                json!({"header": {"cluster_id": "7", "revision": revision.to_string()}, "events": []});
            if !token_is_valid {
                (result["canceled"], result["cancel_reason"]) =
                    (json!(true), json!("etcdserver: invalid auth token"));
            } else if is_compacted {
                (result["canceled"], result["compact_revision"]) =
                    (json!(true), json!(compacted.to_string()));
            } else if !created {
                result["created"] = json!(true);
            } else if next <= revision && !faults.stall_watches {
                (result["events"], next) = (json!(events), revision + 1);
            } else {
                // Waits for the next change. Several changes may be sent together.
                drop(self.cluster.changed.wait_timeout(state, Duration::from_millis(500)).unwrap());
                continue;
            }
            drop(state);
            created = true;
            let line = format!("{}\n", json!({ "result": result }));
            let line = if faults.duplicate_events { line.repeat(2) } else { line };
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            self.send(stream, chunk.as_bytes())?;
            if is_compacted || !token_is_valid {
                return None;
            }
        }
    }
}

fn text(value: &Value) -> String {
    String::from_utf8(STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default())
        .unwrap_or_default()
}

fn number(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).unwrap_or(0)
}
