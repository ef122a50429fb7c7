//! A small registry of our own that speaks the part of etcd v3's JSON form which a pooler uses, with switches for
//! what can go wrong.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

/// Changes of one revision: a key and its value, or none where it was deleted.
type Step = Vec<(String, Option<String>)>;

#[derive(Default)]
struct State {
    steps: Vec<Step>,
    compacted: u64,
}

impl State {
    fn revision(&self) -> u64 {
        self.steps.len() as u64 + 1
    }

    /// Keys with the revision that wrote each, and its value.
    fn at(&self, revision: u64) -> BTreeMap<&str, (u64, &str)> {
        let mut keys = BTreeMap::new();
        for (n, step) in self.steps.iter().enumerate().take(revision as usize - 1) {
            for (key, value) in step {
                match value {
                    Some(value) => keys.insert(key.as_str(), (n as u64 + 2, value.as_str())),
                    None => keys.remove(key.as_str()),
                };
            }
        }
        keys
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Calls are taken in and never answered.
    hangs: AtomicBool,
    /// Open watches end, and so do calls.
    cuts: AtomicBool,
    calls: AtomicUsize,
    bytes: AtomicUsize,
}

/// A registry on a loopback address.
#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Default for Registry {
    fn default() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::default());
        let registry = Registry { address, shared };
        let own = registry.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        registry
    }
}

impl Registry {
    /// Writes keys, or deletes those without a value, in one transaction.
    pub fn write(&self, step: &[(&str, Option<&str>)]) {
        let step = step.iter().map(|(key, value)| (key.to_string(), value.map(String::from)));
        self.shared.state.lock().unwrap().steps.push(step.collect());
        self.shared.changed.notify_all();
    }

    /// The value of a member.
    pub fn member(address: SocketAddr, group: u32, status: &str) -> String {
        format!(r#"{{"v":1,"address":"{address}","zone":"here","group":{group},"status":"{status}"}}"#)
    }

    /// Forgets all revisions before the present one.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock().unwrap();
        state.compacted = state.revision();
    }

    /// Whether calls are taken in and never answered.
    pub fn hang(&self, hangs: bool) {
        self.shared.hangs.store(hangs, Ordering::SeqCst);
    }

    /// Whether calls and watches end at once.
    pub fn cut(&self, cuts: bool) {
        self.shared.cuts.store(cuts, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Calls so far, and bytes answered.
    pub fn used(&self) -> (usize, usize) {
        (self.shared.calls.load(Ordering::SeqCst), self.shared.bytes.load(Ordering::SeqCst))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            reader.read_until(b'\n', &mut head).ok().filter(|count| *count > 0)?;
        }
        let head = String::from_utf8(head).ok()?;
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "))?.parse().ok()?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        self.shared.calls.fetch_add(1, Ordering::SeqCst);
        while self.shared.hangs.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        if self.shared.cuts.load(Ordering::SeqCst) {
            return None;
        }
        let body: Value = serde_json::from_slice(&body).ok()?;
        match head.split(' ').nth(1)? {
            "/v3/kv/range" => self.range(stream, &body),
            "/v3/kv/txn" => self.txn(stream, &body),
            "/v3/watch" => self.watch(stream, &body["create_request"]),
            _ => None,
        }
    }

    fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
        self.shared.bytes.fetch_add(bytes.len(), Ordering::SeqCst);
        stream.write_all(bytes).ok()
    }

    fn range(&self, mut stream: TcpStream, call: &Value) -> Option<()> {
        let state = self.shared.state.lock().unwrap();
        let (from, to, asked) = (text(&call["key"]), text(&call["range_end"]), number(&call["revision"]));
        let revision = if asked == 0 { state.revision() } else { asked };
        let answer = if revision < state.compacted {
            json!({"code": 11, "message": "etcdserver: mvcc: required revision has been compacted"})
        } else {
            let keys = state.at(revision);
            let found: Vec<_> = keys.range(from.as_str()..to.as_str()).collect();
            let limit = number(&call["limit"]) as usize;
            let kvs: Vec<Value> = found
                .iter()
                .take(limit)
                .map(|(key, (revision, value))| {
                    json!({"key": STANDARD.encode(key), "value": STANDARD.encode(value), "mod_revision": revision.to_string()})
                })
                .collect();
            json!({"header": {"cluster_id": "7", "revision": state.revision().to_string()}, "kvs": kvs, "more": found.len() > limit})
        };
        drop(state);
        let body = answer.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.send(&mut stream, &[head.as_bytes(), body.as_bytes()].concat())
    }

    /// One comparison of a key's revision, and one step.
    fn txn(&self, mut stream: TcpStream, call: &Value) -> Option<()> {
        let (compare, step) = (&call["compare"][0], &call["success"][0]);
        let key = text(&compare["key"]);
        let mut state = self.shared.state.lock().unwrap();
        let present = state.at(state.revision()).get(key.as_str()).map_or(0, |(revision, _)| *revision);
        let succeeded = present == number(&compare["mod_revision"]);
        if succeeded {
            let value = step.get("request_put").map(|put| text(&put["value"]));
            state.steps.push(vec![(key, value)]);
            self.shared.changed.notify_all();
        }
        drop(state);
        let body = json!({ "succeeded": succeeded }).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.send(&mut stream, &[head.as_bytes(), body.as_bytes()].concat())
    }

    fn watch(&self, mut stream: TcpStream, call: &Value) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (from, to) = (text(&call["key"]), text(&call["range_end"]));
        let mut next = number(&call["start_revision"]);
        self.send(&mut stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut created = false;
        loop {
            let state = self.shared.state.lock().unwrap();
            if self.shared.cuts.load(Ordering::SeqCst) {
                return None;
            }
            let (revision, compacted) = (state.revision(), state.compacted);
            let gone = next <= compacted && next < revision;
            let mut events = Vec::new();
            for (n, step) in state.steps.iter().enumerate().skip((next as usize).saturating_sub(2)) {
                let inside =
                    step.iter().filter(|(key, _)| (from.as_str()..to.as_str()).contains(&key.as_str()));
                events.extend(inside.map(|(key, value)| {
                    let kv = json!({"key": STANDARD.encode(key), "mod_revision": (n + 2).to_string(),
                        "value": STANDARD.encode(value.as_deref().unwrap_or(""))});
                    json!({"type": if value.is_some() { "PUT" } else { "DELETE" }, "kv": kv})
                }));
            }
            let mut result =
                json!({"header": {"cluster_id": "7", "revision": revision.to_string()}, "events": []});
            if gone {
                (result["canceled"], result["compact_revision"]) =
                    (json!(true), json!(compacted.to_string()));
            } else if !created {
                result["created"] = json!(true);
            } else if next <= revision {
                (result["events"], next) = (json!(events), revision + 1);
            } else {
                // Waits for the next change; some changes may come together.
                drop(self.shared.changed.wait_timeout(state, Duration::from_millis(500)).unwrap());
                continue;
            }
            drop(state);
            created = true;
            let line = format!("{}\n", json!({ "result": result }));
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            self.send(&mut stream, chunk.as_bytes())?;
            if gone {
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
