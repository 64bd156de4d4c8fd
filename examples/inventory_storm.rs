//! Measures under load the time from writing the last byte of a drain to its effect, for each method of writing the file.
//! The simulated leaf servers check that the protocol is followed.
//!
//! `cargo run --release --example inventory_storm -- [SECONDS]`; the default is 120 s.

#[path = "../tests/common/mod.rs"]
mod common;

use common::fleet::{InventoryRun, WRITE_METHODS, WriteMethod};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: u32 = 15;
const CLIENTS: usize = 3;
/// Number of concurrent runs, each with an aggregator, its leaf servers and its clients under load.
const PARALLEL_RUNS: usize = 2;

/// Drains the leaf servers in turn until `duration` has passed and prints quantiles of the time per drain.
fn measure(method: WriteMethod, watch: &str, duration: Duration) {
    let mut run = InventoryRun::start(method, "n.csv", SERVERS, CLIENTS, &format!("  watch: {watch}\n"));
    let start = Instant::now();
    let mut times_ms = Vec::new();
    let mut drain_number: u64 = 0;
    while start.elapsed() < duration {
        let name = format!("s{:02}", drain_number % u64::from(SERVERS));
        times_ms.push(run.drain(&name).as_secs_f64() * 1e3);
        // Every eighth drain lasts long enough to detect a part that is sent after it.
        let drain_ms = if drain_number.is_multiple_of(8) { 1150 } else { 20 + 7 * (drain_number % 11) };
        thread::sleep(Duration::from_millis(drain_ms));
        run.ready(&name);
        drain_number += 1;
    }
    let (queries, parts) = run.finish();
    times_ms.sort_by(f64::total_cmp);
    let quantile = |rank: f64| times_ms[((times_ms.len() - 1) as f64 * rank).round() as usize];
    println!(
        "{:10} {watch:6} {:7} {:8.1} {:8.1} {:8.1} {queries:8} {parts:8}",
        format!("{method:?}"),
        times_ms.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|argument| argument.parse().ok()).unwrap_or(120.0);
    let duration = Duration::from_secs_f64(seconds) / (WRITE_METHODS.len() as u32);
    println!("method     watch   drains   p50 ms   p99 ms   max ms  queries    parts");
    let mut cases = Vec::new();
    for method in WRITE_METHODS {
        cases.push((method, "auto"));
        cases.push((method, "poll"));
    }
    for group in cases.chunks(PARALLEL_RUNS) {
        let mut threads = Vec::new();
        for &(method, watch) in group {
            threads.push(thread::spawn(move || measure(method, watch, duration)));
        }
        for thread in threads {
            thread.join().expect("the protocol was violated");
        }
    }
}
