//! Measures the time from the last byte of a drain to its effect, for each way of writing the file, under load, while the
//! simulated leaf servers check the protocol. `cargo run --release --example inventory_storm -- [SECONDS]`; the default is
//! 120.

#[path = "../tests/common/mod.rs"]
mod common;

use common::fleet::{InventoryRun, WRITE_METHODS, WriteMethod};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: u32 = 15;
const CLIENTS: usize = 3;
/// Runs at the same time: each keeps an aggregator, its leaf servers and its clients busy.
const PARALLEL_RUNS: usize = 2;

/// Drains one server after the other for a time and prints how long each drain took.
fn measure(way: WriteMethod, watch: &str, duration: Duration) {
    let mut run = InventoryRun::start(way, "n.csv", SERVERS, CLIENTS, &format!("  watch: {watch}\n"));
    let start = Instant::now();
    let mut times_ms = Vec::new();
    let mut turn: u64 = 0;
    while start.elapsed() < duration {
        let name = format!("s{:02}", turn % u64::from(SERVERS));
        times_ms.push(run.drain(&name).as_secs_f64() * 1e3);
        // Every eighth server drains for long enough that a late part would show.
        let stay_ms = if turn.is_multiple_of(8) { 1150 } else { 20 + 7 * (turn % 11) };
        thread::sleep(Duration::from_millis(stay_ms));
        run.ready(&name);
        turn += 1;
    }
    let (queries, parts) = run.finish();
    times_ms.sort_by(f64::total_cmp);
    let quantile = |rank: f64| times_ms[((times_ms.len() - 1) as f64 * rank).round() as usize];
    println!(
        "{:10} {watch:6} {:7} {:8.1} {:8.1} {:8.1} {queries:8} {parts:8}",
        format!("{way:?}"),
        times_ms.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|argument| argument.parse().ok()).unwrap_or(120.0);
    let duration = Duration::from_secs_f64(seconds) / (WRITE_METHODS.len() as u32);
    println!("way        watch   drains   p50 ms   p99 ms   max ms  queries    parts");
    let mut cases = Vec::new();
    for way in WRITE_METHODS {
        cases.push((way, "auto"));
        cases.push((way, "poll"));
    }
    for group in cases.chunks(PARALLEL_RUNS) {
        let mut threads = Vec::new();
        for &(way, watch) in group {
            threads.push(thread::spawn(move || measure(way, watch, duration)));
        }
        for thread in threads {
            thread.join().expect("no rule of the protocol is violated");
        }
    }
}
