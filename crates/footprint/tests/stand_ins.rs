//! The stand-ins on their own: their answers are valid for a pooler, and their counters are right.

use footprint::stand_in::{DatabaseServers, Discovery};
use footprint::{ClientConnection, Mix, Ports};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const FIRST_EPHEMERAL: u16 = 32_768;
const TIMEOUT: Duration = Duration::from_secs(20);

fn wait_until(condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < TIMEOUT);
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn database_servers_answer_hold_and_count_statements() {
    let mut ports = Ports::below(FIRST_EPHEMERAL);
    let servers = DatabaseServers::start(&mut ports, 6, 3).unwrap();
    let addresses = servers.members.addresses.clone();
    assert!(addresses.iter().all(|address| address.ip().is_loopback() && address.port() < FIRST_EPHEMERAL));
    assert_eq!((addresses.len(), servers.members.groups()), (6, 2));
    let mut random = fastrand::Rng::with_seed(1);
    let mix = Mix::typical(2);
    let mut connection = ClientConnection::connect(addresses[3]).unwrap();
    assert!(connection.query(&mix.statement_in(1, &mut random)).unwrap());
    servers.set_hold_answers(true);
    // The servers apply the setting in their next iteration.
    std::thread::sleep(Duration::from_millis(50));
    connection.send(&mix.statement_in(1, &mut random)).unwrap();
    wait_until(|| servers.held_count() == 1);
    servers.set_hold_answers(false);
    wait_until(|| servers.held_count() == 0);
    assert_eq!((servers.statements(), servers.probes(), servers.connections()), (2, 0, 1));
    drop(connection);
    wait_until(|| servers.connections() == 0);
    let (received, sent) = servers.bytes();
    assert!(received > 100 && sent > 100);
}

#[test]
fn discovery_answers_with_the_full_list_and_then_sends_changes() {
    let mut ports = Ports::below(FIRST_EPHEMERAL);
    let servers = DatabaseServers::start(&mut ports, 4, 2).unwrap();
    let discovery = Discovery::start(&mut ports, servers.members.list(7).to_string()).unwrap();
    assert_eq!(discovery.push_list("{}"), None);
    let mut stream = TcpStream::connect(discovery.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(b"GET /catalog/members?follow=1&since=0 HTTP/1.1\r\n\r\n").unwrap();
    wait_until(|| discovery.request_count() == 1);
    let change = servers.members.change(8, 3, "DRAINING").to_string();
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
    let update = listing::parse(&change).unwrap();
    assert_eq!(
        (update.version, update.is_full, update.listings.len(), update.listings[0].group),
        (8, false, 1, 1)
    );
}
