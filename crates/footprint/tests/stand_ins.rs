//! The stand-ins by themselves: what they answer is what a pooler understands, and what they count is so.

use footprint::stand_in::{DatabaseServers, Discovery};
use footprint::{Mix, Ports, Wire};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const FIRST_EPHEMERAL: u16 = 32_768;
const PATIENCE: Duration = Duration::from_secs(20);

fn until(so: impl Fn() -> bool) {
    let begun = Instant::now();
    while !so() {
        assert!(begun.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn databases_answer_hold_and_count() {
    let mut ports = Ports::below(FIRST_EPHEMERAL);
    let servers = DatabaseServers::start(&mut ports, 6, 3).unwrap();
    let addresses = servers.databases.addresses.clone();
    assert!(addresses.iter().all(|address| address.ip().is_loopback() && address.port() < FIRST_EPHEMERAL));
    assert_eq!((addresses.len(), servers.databases.groups()), (6, 2));
    let mut random = fastrand::Rng::with_seed(1);
    let mix = Mix::typical(2);
    let mut wire = Wire::connect(addresses[3]).unwrap();
    assert!(wire.query(&mix.statement_in(1, &mut random)).unwrap());
    servers.set_hold_answers(true);
    // The servers look at that at their next turn.
    std::thread::sleep(Duration::from_millis(50));
    wire.send(&mix.statement_in(1, &mut random)).unwrap();
    until(|| servers.held_count() == 1);
    servers.set_hold_answers(false);
    until(|| servers.held_count() == 0);
    assert_eq!((servers.statements(), servers.probes(), servers.connections()), (2, 0, 1));
    drop(wire);
    until(|| servers.connections() == 0);
    let (came, went) = servers.bytes();
    assert!(came > 100 && went > 100);
}

#[test]
fn discovery_answers_with_the_whole_list_and_tells_changes_behind_it() {
    let mut ports = Ports::below(FIRST_EPHEMERAL);
    let servers = DatabaseServers::start(&mut ports, 4, 2).unwrap();
    let discovery = Discovery::start(&mut ports, servers.databases.list(7).to_string()).unwrap();
    assert_eq!(discovery.push_list("{}"), None);
    let mut stream = TcpStream::connect(discovery.address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(b"GET /catalog/members?follow=1&since=0 HTTP/1.1\r\n\r\n").unwrap();
    until(|| discovery.request_count() == 1);
    let change = servers.databases.change(8, 3, "DRAINING").to_string();
    assert!(discovery.push_list(&change).unwrap() > change.len());
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains("DRAINING") {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "{text}");
        text += &String::from_utf8_lossy(&buffer[..count]);
    }
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n") && text.contains(r#""index":7"#), "{text}");
    assert!(text.contains(r#""name":"s-0003""#), "{text}");
    let news = listing::parse(&change).unwrap();
    assert_eq!((news.version, news.is_full, news.listings.len(), news.listings[0].group), (8, false, 1, 1));
}
