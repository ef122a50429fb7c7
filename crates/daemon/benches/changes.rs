//! Measures configuration changes over loopback: rollbacks under load, plans of a long list, and requests
//! during continuous changes, where each answer must match one generation. Prints the results; run with
//! `cargo bench -p dewferry --bench changes`.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use control::{Call, Code, Request, Response};
use hdrhistogram::Histogram;
use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const MEMBERS: usize = 10_000;
const WAITING_REQUESTS: usize = 1_000;
const ROLLBACKS: usize = 1_000;
const REQUESTS: usize = 100_000;
const CLIENTS: usize = 16;
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// A control connection that stays open.
struct Control(BufReader<UnixStream>);

impl Control {
    fn new(operator: &OperatorFolder) -> Control {
        Control(BufReader::new(UnixStream::connect(operator.0.join("control")).unwrap()))
    }

    /// Makes a call; returns the response and the elapsed time (microseconds).
    fn call(&mut self, call: Call) -> (Response, u64) {
        let started = Instant::now();
        self.0.get_mut().write_all(&Request::new(call).to_line()).unwrap();
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        (serde_json::from_str(&line).unwrap(), started.elapsed().as_micros() as u64)
    }
}

fn apply(text: &str) -> Call {
    Call::Apply { text: text.into(), note: String::new(), confirm_within_s: Some(600.0), allow: Vec::new() }
}

fn print_times(what: &str, times: &Histogram<u64>) {
    let ms = |us: u64| us as f64 / 1000.0;
    let quantile_ms = |q| ms(times.value_at_quantile(q));
    println!(
        "{what}: n={} p50={:.2} ms p99={:.2} ms max={:.2} ms",
        times.len(),
        quantile_ms(0.5),
        quantile_ms(0.99),
        ms(times.max())
    );
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap()
}

/// Settings for `MEMBERS` members in groups of five, where no process listens. The first member is at
/// `address`.
fn member_settings(address: &str) -> String {
    let mut text = String::new();
    for n in 0..MEMBERS {
        let (group, port) = (n / 5 + 10, 10_000 + n % 50_000);
        let member_address =
            if n == 0 { address.to_string() } else { format!("127.9.{}.1:{port}", n / 50_000) };
        text +=
            &format!("[member.m-{n}]\naddress = \"{member_address}\"\nzone = \"here\"\ngroup = {group}\n");
    }
    text
}

fn rollbacks() {
    let discovery = Discovery::listen();
    // No member of the group is known as the primary, so writes to it wait.
    let class_settings = "[class.order-write]\naim_s = 1200\ndeadline_s = 1200\n";
    let common_settings = format!("change.probation_s = 600\n{class_settings}");
    let list_text = member_settings("127.8.0.1:9999");
    let operator = OperatorFolder::new("bench-rollback", &format!("{common_settings}{list_text}"));
    let edits = [(r#""sockets":1024"#, r#""sockets":4096"#)];
    let pooler =
        Pooler::start_with_operator_and_edits(PROGRAM, &list(41, true, &[]), &discovery, &operator, &edits);
    let mut control = Control::new(&operator);
    let mut waiting: Vec<Wire> = (0..WAITING_REQUESTS).map(|_| client(&pooler)).collect();
    for (n, wire) in waiting.iter_mut().enumerate() {
        let id = format!("open{n}");
        let sql =
            request_sql(&id, "order-write").replace("cluster=2", "cluster=10").replace("d=8500", "d=1200000");
        wire.send(&query(&sql));
    }
    let changed: String = (0..100).map(|n| format!("m-{} = \"drain\"\n", n * 50)).collect();
    let other = format!("{common_settings}[limits]\nmax_attempts = 3\n[override]\n{changed}{list_text}");
    let other = std::fs::read_to_string(operator.write("other.toml", &other)).unwrap();
    let (mut plan_times, mut apply_times, mut rollback_times) = (histogram(), histogram(), histogram());
    for _ in 0..20 {
        let (response, took) = control.call(Call::Plan { text: other.clone() });
        assert_eq!(response.code, Code::Ok, "{response:?}");
        plan_times.record(took).unwrap();
    }
    for _ in 0..ROLLBACKS {
        let (response, took) = control.call(apply(&other));
        assert_eq!(response.code, Code::Applied, "{}", response.message);
        apply_times.record(took).unwrap();
        let (response, took) = control.call(Call::Rollback { to: None, allow: Vec::new() });
        assert_eq!(response.code, Code::RolledBack);
        rollback_times.record(took).unwrap();
    }
    let (status, _) = control.call(Call::Status {});
    println!("requests open: {}, members: {MEMBERS}", status.status.map_or(0, |status| status.requests));
    print_times("plan (read, check and diff, over the socket)", &plan_times);
    print_times("apply (until in force and answered)", &apply_times);
    print_times("rollback (from the call to the answer)", &rollback_times);
}

/// Sends requests during changes. Three settings change together: the deadline of a class, which the members
/// see in each statement; the backoff in refusals, which the client sees; and the number of attempts of a
/// request. Every member refuses one request in ten, and all values observed for that request must be of one
/// generation.
fn changes_under_load() {
    let discovery = Discovery::listen();
    let seen: &'static Mutex<BTreeMap<String, (u64, usize)>> = Box::leak(Box::default());
    let members: Vec<AnsweringMember> = (0..4)
        .map(|_| {
            AnsweringMember::new(move |sql| {
                let field = |name: &str| {
                    let value_start = sql.find(name).map_or(0, |at| at + name.len());
                    sql[value_start..].split([',', ' ']).next().unwrap_or_default().to_string()
                };
                let id = field("id=");
                if !id.ends_with('0') {
                    return answer_with_role(b"value", "reader");
                }
                let time_limit = field(",d=").parse().unwrap_or(0);
                seen.lock().unwrap().entry(id).or_insert((time_limit, 0)).1 += 1;
                refusal()
            })
        })
        .collect();
    let lines: Vec<String> =
        members.iter().enumerate().map(|(n, m)| m.list_entry(&format!("s-{n}"), "here")).collect();
    let saved_list = list(41, true, &lines);
    let settings = |odd: bool| {
        let (deadline, backoff, attempts) = if odd { (4.0, 0.2, 2) } else { (2.0, 0.1, 1) };
        let change_rules = "[change]\nprobation_s = 600\n";
        format!("{change_rules}[limits]\nmax_attempts = {attempts}\nmax_retry_after_s = {backoff}\n[class.reports]\naim_s = {deadline}\ndeadline_s = {deadline}\n")
    };
    let operator = OperatorFolder::new("bench-changes", &settings(false));
    let pooler = Pooler::start_with_operator(PROGRAM, &saved_list, &discovery, &operator);
    let texts = [false, true].map(|odd| {
        let path = operator.write("text.toml", &settings(odd));
        std::fs::read_to_string(path).unwrap()
    });
    let stop = AtomicBool::new(false);
    let [mixed, lost, served, changes] = [(); 4].map(|()| AtomicUsize::new(0));
    let refused = [AtomicUsize::new(0), AtomicUsize::new(0)];
    let started = Instant::now();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (pooler, mixed, lost, served, refused) = (&pooler, &mixed, &lost, &served, &refused);
                scope.spawn(move || {
                    let mut wire = client(pooler);
                    for k in 0..REQUESTS / CLIENTS {
                        let id = format!("{n}x{k}");
                        wire.send(&query(&request_sql(&id, "reports")));
                        let answer = wire.answer();
                        match answer.first() {
                            None => drop(lost.fetch_add(1, Ordering::Relaxed)),
                            Some((b'T', _)) => drop(served.fetch_add(1, Ordering::Relaxed)),
                            Some((_, body)) => {
                                let text = String::from_utf8_lossy(body).into_owned();
                                let retry_delay = text.split('\0').find_map(|f| f.strip_prefix('D'));
                                let retry_delay: Option<u64> =
                                    retry_delay.and_then(|retry_delay| retry_delay.parse().ok());
                                // A request that reached no member shows the backoff only.
                                let Some((time_limit, attempts_seen)) = seen.lock().unwrap().remove(&id)
                                else {
                                    continue;
                                };
                                let odd = time_limit > 2_000;
                                refused[usize::from(odd)].fetch_add(1, Ordering::Relaxed);
                                let consistent = retry_delay == Some(if odd { 200 } else { 100 })
                                    && attempts_seen <= 1 + usize::from(odd);
                                mixed.fetch_add(usize::from(!consistent), Ordering::Relaxed);
                            }
                        }
                    }
                })
            })
            .collect();
        scope.spawn(|| {
            let mut control = Control::new(&operator);
            let mut odd = true;
            while !stop.load(Ordering::Relaxed) {
                let (response, _) = control.call(apply(&texts[usize::from(odd)]));
                assert_eq!(response.code, Code::Applied, "{}", response.message);
                let (response, _) = control.call(Call::Confirm { generation: None });
                assert_eq!(response.code, Code::Confirmed);
                changes.fetch_add(1, Ordering::Relaxed);
                odd = !odd;
                std::thread::sleep(CHANGE_INTERVAL);
            }
        });
        workers.into_iter().for_each(|worker| worker.join().unwrap());
        stop.store(true, Ordering::Relaxed);
    });
    let count = |n: &AtomicUsize| n.load(Ordering::Relaxed);
    println!(
        "{} requests during {} changes in {:.1} s: {} served, {} and {} refused under the first and the second settings, {} mixed, {} lost",
        REQUESTS / CLIENTS * CLIENTS,
        count(&changes),
        started.elapsed().as_secs_f64(),
        count(&served),
        count(&refused[0]),
        count(&refused[1]),
        count(&mixed),
        count(&lost)
    );
    assert_eq!((count(&mixed), count(&lost)), (0, 0));
    println!("{}", pooler.counters());
}

fn main() {
    // Arguments that cargo passes to a bench harness are ignored.
    changes_under_load();
    rollbacks();
}
