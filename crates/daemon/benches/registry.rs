//! Measures the registry client over loopback with 10,000 members: the first view, a resumed watch, and the
//! time from writing a drain to the last new attempt at the member, within bursts of 1,000 changes and under
//! load. Run with `cargo bench -p dewferry --bench registry`.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use peers::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewferry");
const MEMBERS: usize = 10_000;
const BURST: usize = 1_000;
const DRAINS: usize = 30;
const CLIENTS: usize = 8;

fn main() {
    let bench_started = Instant::now();
    let micros = move || bench_started.elapsed().as_micros() as u64;
    // Each of the three replicas stores the time of its last request.
    let last_request_at: Vec<Arc<AtomicU64>> = (0..3).map(|_| Arc::default()).collect();
    let replicas: Vec<AnsweringMember> = last_request_at
        .iter()
        .map(|last| {
            let last = last.clone();
            AnsweringMember::new(move |_| {
                last.store(micros(), Ordering::SeqCst);
                answer_with_role(b"value", "reader")
            })
        })
        .collect();
    let registry = Registry::default();
    let mut entries: Vec<(String, String)> = (0..MEMBERS)
        .map(|n| {
            let address = format!("127.9.{}.{}:{}", n / 250, n % 250 + 1, 20_000 + n);
            (
                format!("/dewferry/members/m-{n}"),
                Registry::member_value(address.parse().unwrap(), 10 + n as u32 / 5, "SERVING"),
            )
        })
        .collect();
    entries.extend((0..3).map(|n| {
        (format!("/dewferry/members/s-{n}"), Registry::member_value(replicas[n].address, 2, "SERVING"))
    }));
    let entries: Vec<(&str, Option<&str>)> =
        entries.iter().map(|(k, v)| (k.as_str(), Some(v.as_str()))).collect();
    registry.write(&entries);
    let settings = format!("[registry]\nendpoints = [\"{}\"]\n", registry.address);
    let (operator, discovery) = (OperatorFolder::new("bench-registry", &settings), Discovery::listen());
    let started = Instant::now();
    let pooler = Pooler::start_with_operator(PROGRAM, &list(0, true, &[]), &discovery, &operator);
    pooler.wait_for_log("registry.following");
    let (calls, bytes) = registry.usage();
    println!("first view of {MEMBERS} members: {:.0} ms from the start of the program, {calls} calls, {bytes} bytes", started.elapsed().as_secs_f64() * 1000.0);
    registry.set_close_at_once(true);
    pooler.wait_for_log("registry.lost");
    registry.set_close_at_once(false);
    let before = registry.usage().1;
    pooler.wait_for_log("registry.following");
    println!("a resumed watch: {} bytes", registry.usage().1 - before);
    let stop = AtomicBool::new(false);
    let mut times: Histogram<u64> = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap();
    std::thread::scope(|scope| {
        for c in 0..CLIENTS {
            let (pooler, stop) = (&pooler, &stop);
            scope.spawn(move || {
                let mut wire = client(pooler);
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    wire.send(&query(&request_sql(&format!("{c}x{n}"), "reports")));
                    wire.answer();
                }
            });
        }
        std::thread::sleep(Duration::from_millis(500));
        for round in 0..DRAINS {
            let replica = round % 3;
            let key = format!("/dewferry/drains/s-{replica}");
            let mut written = 0;
            for n in 0..BURST {
                if n == BURST / 2 {
                    written = micros();
                    registry.write(&[(&key, Some(""))]);
                }
                let other = round * BURST + n;
                let address = format!("127.9.{}.{}:{}", other % 40, other % 250 + 1, 20_000 + other % 40_000);
                let value = Registry::member_value(
                    address.parse().unwrap(),
                    10 + (other % MEMBERS) as u32 / 5,
                    "SERVING",
                );
                registry.write(&[(&format!("/dewferry/members/m-{}", other % MEMBERS), Some(&value))]);
            }
            std::thread::sleep(Duration::from_millis(700));
            let last = last_request_at[replica].load(Ordering::SeqCst);
            times.record(last.saturating_sub(written).max(1)).unwrap();
            registry.write(&[(&key, None)]);
            std::thread::sleep(Duration::from_millis(300));
            assert!(
                last_request_at[replica].load(Ordering::SeqCst) > last,
                "the member got no requests after its drain had ended"
            );
        }
        stop.store(true, Ordering::Relaxed);
    });
    let ms = |us: u64| us as f64 / 1000.0;
    println!(
        "a drain, from writing it to the last new attempt, among {BURST} changes: n={} p50={:.1} ms p99={:.1} ms max={:.1} ms",
        times.len(),
        ms(times.value_at_quantile(0.5)),
        ms(times.value_at_quantile(0.99)),
        ms(times.max())
    );
    let memory = std::fs::read_to_string(format!("/proc/{}/status", pooler.pid())).unwrap();
    println!("{}", memory.lines().find(|line| line.starts_with("VmHWM")).unwrap_or("no VmHWM"));
    println!("{}", pooler.counters());
}
