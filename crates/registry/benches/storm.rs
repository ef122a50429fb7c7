//! What a fleet asks of a registry that comes back: so many clients in simulated time, all cut off at once, with
//! full jitter and without. Prints the calls that reach the registry in its worst second and in all.

use registry::wire::{Header, Page, WatchMessage};
use registry::{Action, Endpoints, Input, Pacing, RegistrySync, SyncConfig, View};

const CLIENTS: usize = 500;
/// The registry is away for so long (seconds), and is watched for as long again.
const AWAY: f64 = 60.0;
/// Calls that it can take in a second; one past that is not answered.
const CAPACITY: u32 = 100;

/// One client, and when it calls next, by what number.
struct Client {
    sync: RegistrySync,
    waits: Option<(u64, bool)>,
}

fn storm(jitter: bool) -> (u32, u32, f64) {
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|n| {
            let endpoints = Endpoints::new(1, Pacing { jitter, ..Pacing::default() }, n as u64, 0.0);
            let view = View::restore(7, 5, []);
            Client {
                sync: RegistrySync::new(b"/f/".to_vec(), endpoints, SyncConfig::default(), view),
                waits: None,
            }
        })
        .collect();
    let (mut worst, mut all, mut back) = (0, 0, f64::INFINITY);
    let mut now = 0.0;
    let (mut second, mut in_second) = (0u64, 0u32);
    for client in &mut clients {
        tell(client, now, Input::Start);
    }
    while now < 2.0 * AWAY {
        now += 0.01;
        if now as u64 != second {
            (second, in_second) = (now as u64, 0);
        }
        for client in &mut clients {
            if let Some((call, watch)) = client.waits.take() {
                if now < AWAY {
                    tell(client, now, Input::Disconnected(call));
                } else {
                    in_second += 1;
                    all += 1;
                    worst = worst.max(in_second);
                    let header = Header { cluster_id: 7, revision: 5 };
                    let input = match (in_second <= CAPACITY, watch) {
                        (false, _) => Input::Disconnected(call),
                        (_, true) => Input::WatchMessage(
                            call,
                            Ok(WatchMessage { header, created: true, ..WatchMessage::default() }),
                        ),
                        (_, false) => Input::Page(call, Ok(Page { header, ..Page::default() })),
                    };
                    tell(client, now, input);
                }
            }
            if now >= client.sync.next_due() {
                tell(client, now, Input::Time);
            }
        }
        if now > AWAY && back.is_infinite() && clients.iter().all(|client| client.sync.is_following()) {
            back = now - AWAY;
        }
    }
    (worst, all, back)
}

fn tell(client: &mut Client, now: f64, input: Input) {
    let mut out = Vec::new();
    client.sync.handle(now, input, &mut out);
    for action in out {
        match action {
            Action::Read(call, ..) => client.waits = Some((call, false)),
            Action::Watch(call, ..) => client.waits = Some((call, true)),
            Action::Close(call) if client.waits.is_some_and(|(own, _)| own == call) => client.waits = None,
            _ => {}
        }
    }
}

fn main() {
    for (name, jitter) in [("full jitter", true), ("no jitter", false)] {
        let (worst, all, back) = storm(jitter);
        println!("{CLIENTS} clients, {name}: {worst} calls in the worst second, {all} in all, all follow after {back:.1} s");
    }
}
