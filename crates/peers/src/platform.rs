//! Helpers for tests of the platform's interface to the pooler.

use std::net::TcpStream;

use crate::{
    answer_with_role, list, query, read_query, request_sql, startup, Discovery, Pooler, ScriptedMember, Wire,
};

/// The code of a CancelRequest, which a client sends on a separate connection.
const CANCEL_REQUEST: u32 = 80_877_102;

/// Starts a pooler with a saved list of one member, and a discovery that sends nothing.
pub fn start_with_one_member(
    program: &str,
    member: &ScriptedMember,
    edits: &[(&str, &str)],
) -> (Pooler, Discovery) {
    let discovery = Discovery::listen();
    let saved_list = list(41, true, &[member.list_entry("s-1", "here")]);
    (Pooler::start(program, &saved_list, &discovery, edits), discovery)
}

/// Sends one write, which the member answers as the primary, so that the pooler knows the primary. Returns
/// the connection from the pooler to the member.
pub fn establish_primary(member: &ScriptedMember, client: &mut Wire, value: &[u8]) -> Wire {
    client.send(&query(&request_sql("0", "order-write")));
    let mut wire = member.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(value, "writer"));
    client.answer();
    wire
}

/// Returns the value of a counter in a line of counters.
pub fn counter_value(counters: &str, name: &str) -> u64 {
    let value = counters.split(&format!(" {name}=")).nth(1);
    let value = value.and_then(|rest| rest.split(' ').next()).and_then(|value| value.parse().ok());
    value.unwrap_or_else(|| panic!("no counter {name}: {counters}"))
}

/// Waits until a counter has reached a value.
pub fn wait_for_counter(pooler: &Pooler, name: &str, value: u64) {
    if value > 0 {
        pooler.wait_for_counter_above(name, value - 1);
    }
}

/// Connects a client and completes its startup. Returns it with the key by which its requests can be
/// cancelled.
pub fn client_with_cancel_key(pooler: &Pooler) -> (Wire, Vec<u8>) {
    let mut wire = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    wire.send(&startup());
    let key = wire.answer().into_iter().find(|(kind, _)| *kind == b'K').expect("a key").1;
    (wire, key)
}

/// Sends a CancelRequest with this key.
pub fn send_cancel_request(pooler: &Pooler, key: &[u8]) {
    let mut wire = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    wire.send(&[&16u32.to_be_bytes()[..], &CANCEL_REQUEST.to_be_bytes(), key].concat());
    wire.expect_closed();
}
