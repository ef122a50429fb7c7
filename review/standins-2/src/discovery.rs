//! Discovery: the whole list, and a watch on changes, with an empty line every 2 s.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::Record;

#[derive(Default)]
struct State {
    index: u64,
    /// Entries as JSON, by name.
    entries: Vec<(String, String)>,
    /// Changes: index and entry.
    changes: Vec<(u64, String)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

pub fn entry(name: &str, address: SocketAddr, zone: &str, group: u32, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"full-box","group":{group},"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

impl Discovery {
    pub fn start(entries: Vec<(String, String)>, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::not_run(&e.to_string()));
        let address = listener.local_addr().unwrap_or_else(|e| crate::not_run(&e.to_string()));
        let state = State { index: 41, entries, changes: Vec::new() };
        let discovery = Discovery {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    /// Returns the whole list as JSON.
    pub fn list(&self) -> String {
        let state = self.shared.0.lock().unwrap();
        whole(&state)
    }

    /// Tells a change of an entry.
    pub fn change(&self, name: &str, new: String) {
        let mut state = self.shared.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.entries.retain(|(known, _)| known != name);
        if !new.contains("\"DELETED\"") {
            state.entries.push((name.to_string(), new.clone()));
        }
        state.changes.push((index, new.clone()));
        self.record.line(format!("discovery tells {new}"));
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let line = String::from_utf8_lossy(&head).lines().next()?.to_string();
        let follow = line.contains("follow=1");
        let since: u64 = line
            .split("since=")
            .nth(1)
            .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next())
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut state = self.shared.0.lock().unwrap();
        if !follow {
            let body = whole(&state);
            drop(state);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            return stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).ok();
        }
        stream
            .write_all(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
            )
            .ok()?;
        let mut told = since;
        if since < 41 || since > state.index {
            chunk(&mut stream, &whole(&state))?;
            told = state.index;
        }
        loop {
            let news: Vec<String> =
                state.changes.iter().filter(|(index, _)| *index > told).map(|(_, e)| e.clone()).collect();
            if news.is_empty() {
                chunk(&mut stream, "")?;
            } else {
                told = state.index;
                let text = format!(r#"{{"index":{told},"snapshot":false,"endpoints":[{}]}}"#, news.join(","));
                chunk(&mut stream, &text)?;
            }
            let before = state.index;
            state = self
                .shared
                .1
                .wait_timeout_while(state, Duration::from_secs(2), |state| state.index == before)
                .unwrap()
                .0;
        }
    }
}

fn whole(state: &State) -> String {
    let entries: Vec<&str> = state.entries.iter().map(|(_, entry)| entry.as_str()).collect();
    format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, state.index, entries.join(","))
}

fn chunk(stream: &mut TcpStream, line: &str) -> Option<()> {
    let text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    stream.write_all(text.as_bytes()).ok()
}
