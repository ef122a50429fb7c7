//! What tests of the platform's front do again and again.

use std::net::TcpStream;

use crate::{
    answer_with_role, list, query, read_query, request_sql, startup, Discovery, Pooler, ScriptedMember, Wire,
};

/// The code of the message by which a client asks on another connection for its requests to be cancelled.
const CANCEL_REQUEST: u32 = 80_877_102;

/// A pooler that knows one machine, and discovery, which has nothing to say.
pub fn start_with_one_member(
    program: &str,
    db: &ScriptedMember,
    edits: &[(&str, &str)],
) -> (Pooler, Discovery) {
    let discovery = Discovery::listen();
    let known = list(41, true, &[db.list_entry("s-1", "here")]);
    (Pooler::start(program, &known, &discovery, edits), discovery)
}

/// One write of a client, answered by the machine as the primary, which is known from then on; its connection.
pub fn establish_primary(db: &ScriptedMember, client: &mut Wire, value: &[u8]) -> Wire {
    client.send(&query(&request_sql("0", "order-write")));
    let mut wire = db.accept();
    read_query(&mut wire);
    wire.send(&answer_with_role(value, "writer"));
    client.answer();
    wire
}

/// The number that a counter shows.
pub fn counter_value(counters: &str, name: &str) -> u64 {
    let value = counters.split(&format!(" {name}=")).nth(1);
    let value = value.and_then(|rest| rest.split(' ').next()).and_then(|value| value.parse().ok());
    value.unwrap_or_else(|| panic!("no counter {name}: {counters}"))
}

/// Waits until a counter has come to a value.
pub fn wait_for_counter(pooler: &Pooler, name: &str, value: u64) {
    if value > 0 {
        pooler.wait_for_counter_above(name, value - 1);
    }
}

/// A client whose startup is done, and the key by which its requests may be cancelled.
pub fn client_with_cancel_key(pooler: &Pooler) -> (Wire, Vec<u8>) {
    let mut wire = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    wire.send(&startup());
    let key = wire.answer().into_iter().find(|(kind, _)| *kind == b'K').expect("a key").1;
    (wire, key)
}

/// Asks for the requests of the connection with this key to be cancelled.
pub fn send_cancel_request(pooler: &Pooler, key: &[u8]) {
    let mut wire = Wire::from_stream(TcpStream::connect(pooler.address).unwrap());
    wire.send(&[&16u32.to_be_bytes()[..], &CANCEL_REQUEST.to_be_bytes(), key].concat());
    wire.expect_closed();
}
