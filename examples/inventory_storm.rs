//! Time from a drain's last byte to its effect, for each way of writing, while load runs and the stand-ins check
//! the rules: `cargo run --release --example inventory_storm -- [SECONDS]`, 120 where none are told.

#[path = "../tests/common/mod.rs"]
mod common;

use common::fleet::{Run, WAYS};
use std::thread;
use std::time::{Duration, Instant};

fn main() {
    let seconds = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(120.0);
    let each = Duration::from_secs_f64(seconds);
    println!("way        watch   drains   p50 ms   p99 ms   max ms  queries    parts");
    let runs = WAYS.iter().flat_map(|way| [(*way, "auto"), (*way, "poll")]);
    // Two runs at a time: each keeps a mixer, its nodes and its clients busy.
    let runs: Vec<_> = runs.collect();
    for pair in runs.chunks(2) {
        let started: Vec<_> = pair
            .iter()
            .map(|&(way, watch)| {
                thread::spawn(move || {
                    let more = format!("  watch: {watch}\n");
                    let mut run = Run::start(way, "n.csv", 15, 3, &more);
                    let (begun, mut took, mut turn) = (Instant::now(), Vec::new(), 0);
                    while begun.elapsed() < each / (WAYS.len() as u32) {
                        let name = format!("s{:02}", turn % 15);
                        took.push(run.drain(&name).as_secs_f64() * 1e3);
                        // Every eighth stays long enough for a part that comes too late to show.
                        let stay = if turn % 8 == 0 { 1150 } else { 20 + 7 * (turn % 11) };
                        thread::sleep(Duration::from_millis(stay));
                        run.ready(&name);
                        turn += 1;
                    }
                    let (queries, parts) = run.finish();
                    took.sort_by(f64::total_cmp);
                    let at = |q: f64| took[((took.len() - 1) as f64 * q).round() as usize];
                    println!(
                        "{:10} {watch:6} {:7} {:8.1} {:8.1} {:8.1} {queries:8} {parts:8}",
                        format!("{way:?}"),
                        took.len(),
                        at(0.5),
                        at(0.99),
                        at(1.0)
                    );
                })
            })
            .collect();
        started.into_iter().for_each(|run| run.join().expect("no rule broken"));
    }
}
