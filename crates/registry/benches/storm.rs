//! Load of a fleet on a registry that becomes available again: clients in simulated time, all disconnected at
//! once, with full jitter and without. Prints the calls that reach the registry in its busiest second and in
//! total.

use registry::wire::{Header, Page, WatchMessage};
use registry::{Action, Endpoints, Input, Pacing, RegistrySync, SyncConfig, View};

const CLIENTS: usize = 500;
/// The registry is unavailable for this long (seconds), and observed for as long afterwards.
const OUTAGE_S: f64 = 60.0;
/// Calls per second that it can serve; further calls are disconnected.
const CAPACITY_PER_S: u32 = 100;

/// One client and its open call, by number and whether it is a watch.
struct Client {
    sync: RegistrySync,
    open_call: Option<(u64, bool)>,
}

fn run(jitter: bool) -> (u32, u32, f64) {
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|n| {
            let endpoints = Endpoints::new(1, Pacing { jitter, ..Pacing::default() }, n as u64, 0.0);
            let view = View::restore(7, 5, []);
            Client {
                sync: RegistrySync::new(b"/f/".to_vec(), endpoints, SyncConfig::default(), view),
                open_call: None,
            }
        })
        .collect();
    let (mut busiest, mut total, mut recovered_after) = (0, 0, f64::INFINITY);
    let mut now = 0.0;
    let (mut second, mut calls_in_second) = (0u64, 0u32);
    for client in &mut clients {
        handle(client, now, Input::Start);
    }
    while now < 2.0 * OUTAGE_S {
        now += 0.01;
        if now as u64 != second {
            (second, calls_in_second) = (now as u64, 0);
        }
        for client in &mut clients {
            if let Some((call, watch)) = client.open_call.take() {
                if now < OUTAGE_S {
                    handle(client, now, Input::Disconnected(call));
                } else {
                    calls_in_second += 1;
                    total += 1;
                    busiest = busiest.max(calls_in_second);
                    let header = Header { cluster_id: 7, revision: 5 };
                    let input = match (calls_in_second <= CAPACITY_PER_S, watch) {
                        (false, _) => Input::Disconnected(call),
                        (_, true) => Input::WatchMessage(
                            call,
                            Ok(WatchMessage { header, created: true, ..WatchMessage::default() }),
                        ),
                        (_, false) => Input::Page(call, Ok(Page { header, ..Page::default() })),
                    };
                    handle(client, now, input);
                }
            }
            if now >= client.sync.next_due() {
                handle(client, now, Input::Time);
            }
        }
        if now > OUTAGE_S
            && recovered_after.is_infinite()
            && clients.iter().all(|client| client.sync.is_following())
        {
            recovered_after = now - OUTAGE_S;
        }
    }
    (busiest, total, recovered_after)
}

fn handle(client: &mut Client, now: f64, input: Input) {
    let mut out = Vec::new();
    client.sync.handle(now, input, &mut out);
    for action in out {
        match action {
            Action::Read(call, ..) => client.open_call = Some((call, false)),
            Action::Watch(call, ..) => client.open_call = Some((call, true)),
            Action::Close(call) if client.open_call.is_some_and(|(own, _)| own == call) => {
                client.open_call = None
            }
            _ => {}
        }
    }
}

fn main() {
    for (name, jitter) in [("full jitter", true), ("no jitter", false)] {
        let (busiest, total, recovered_after) = run(jitter);
        println!("{CLIENTS} clients, {name}: {busiest} calls in the busiest second, {total} in total, all clients follow after {recovered_after:.1} s");
    }
}
