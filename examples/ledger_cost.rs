//! Measures the cost of the ledger: the time to enqueue an entry in the event loop, the bytes of a record on disk, the
//! start after a kill with a million entries, and the latency of answers with the ledger off, in group mode and in strict
//! mode.
//!
//! `cargo run --release --example ledger_cost -- [ENTRIES] [SECONDS]`; the defaults are 1,000,000 entries and 10 s.

#[path = "../tests/common/mod.rs"]
mod common;

use common::fleet::LeafFleet;
use common::process::{Client, Setup, query, scratch_dir};
use sailmux::ledger::{
    Calendar, Entry, Options, Outcome, QuotaShare, RealDisk, Record, Store, UnixMs, queue, read_all,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const START_TIME: UnixMs = 1_794_715_200_000;

fn entry(n: u64) -> Entry {
    Entry {
        at: START_TIME + n as UnixMs,
        tenant: ["hsinyi-realty", "kaohsiung-hr", "lanyang-law"][n as usize % 3].to_owned(),
        tenant_is_known: true,
        class: "envelope-search".to_owned(),
        query: format!("{n:016x}"),
        parts: 4,
        parts_served: 4,
        attempts: 4,
        work: 4000,
        outcome: Outcome::Complete,
        share: QuotaShare::WithinQuota,
    }
}

fn calendar() -> Calendar {
    Calendar::new("Asia/Taipei").expect("time zone not found")
}

fn measure_store(entries: u64) -> Result<(), Box<dyn std::error::Error>> {
    let dir = scratch_dir("cost");
    let options = Options::default();
    let (mut store, _) = Store::open(RealDisk::own(&dir)?, calendar(), options.clone(), "n1", START_TIME)?;
    let groups: Vec<Vec<Record>> = (0..entries)
        .collect::<Vec<_>>()
        .chunks(512)
        .map(|group| group.iter().map(|n| Record::Entry(entry(*n))).collect())
        .collect();
    let start = Instant::now();
    for group in &groups {
        store.append(group)?;
        store.commit()?;
    }
    let elapsed_seconds = start.elapsed().as_secs_f64();
    println!(
        "appended in groups of 512, each synced: {:.0} entries a second",
        entries as f64 / elapsed_seconds
    );
    drop(store);
    let bytes: u64 =
        std::fs::read_dir(&dir)?.map_while(Result::ok).filter_map(|f| Some(f.metadata().ok()?.len())).sum();
    println!("on disk: {:.1} bytes an entry, snapshots included", bytes as f64 / entries as f64);
    let start = Instant::now();
    let (store, recovery) = Store::open(RealDisk::own(&dir)?, calendar(), options, "n1", START_TIME)?;
    let elapsed_ms = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "start after a kill with {entries} entries: {elapsed_ms:.1} ms, {} records read after the snapshot",
        recovery.records
    );
    drop(store);
    let start = Instant::now();
    read_all(&RealDisk::open_read_only(&dir), &calendar(), |_, _, _| {})?;
    println!("read all records from the first: {:.0} ms", start.elapsed().as_secs_f64() * 1e3);
    let (mut store, _) = Store::open(RealDisk::own(&dir)?, calendar(), Options::default(), "n1", START_TIME)?;
    let start = Instant::now();
    for n in 0..500 {
        store.append(&[Record::Entry(entry(n))])?;
        store.commit()?;
    }
    println!("one entry and its sync: {:.3} ms", start.elapsed().as_secs_f64() * 1e3 / 500.0);
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}

fn measure_enqueue() {
    let (mut handle, consumer) = queue();
    const ENTRIES: u64 = 60_000;
    let all: Vec<Entry> = (0..ENTRIES).map(entry).collect();
    let start = Instant::now();
    for entry in all {
        handle.enqueue(entry);
    }
    println!(
        "enqueue, in the event loop: {:.0} ns an entry",
        start.elapsed().as_nanos() as f64 / ENTRIES as f64
    );
    drop(consumer);
}

/// The latencies of complete answers to three clients, in ms, in ascending order.
fn answer_latencies(ledger: Option<&str>, seconds: f64) -> Vec<f64> {
    let fleet = LeafFleet::new(6);
    let endpoints = fleet.listed_endpoints();
    let operator =
        ledger.map(|mode| format!("ledger: {{dir: {}, mode: {mode}}}\n", scratch_dir("answers").display()));
    let aggregator = Setup { operator, ..Setup::new(&endpoints) }.start();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..3)
        .map(|number| {
            let (stop, address) = (stop.clone(), aggregator.address);
            thread::spawn(move || {
                let (mut client, mut times) = (Client::connect(address), Vec::new());
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("c{number}n{}", times.len());
                    let start = Instant::now();
                    assert_eq!(client.request(query(&id, "5000m", &[0, 1, 2])).status, 200);
                    times.push(start.elapsed().as_secs_f64() * 1e3);
                }
                times
            })
        })
        .collect();
    thread::sleep(Duration::from_secs_f64(seconds));
    stop.store(true, Ordering::Relaxed);
    let mut times: Vec<f64> =
        clients.into_iter().flat_map(|c| c.join().expect("client thread panicked")).collect();
    times.sort_by(f64::total_cmp);
    times
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let entries = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(1_000_000);
    let seconds = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(10.0);
    measure_enqueue();
    measure_store(entries)?;
    println!("ledger    queries   p50 ms   p99 ms");
    for ledger in [None, Some("group"), Some("strict"), None, Some("group"), Some("strict")] {
        let times = answer_latencies(ledger, seconds);
        let quantile = |rank: f64| times[((times.len() - 1) as f64 * rank) as usize];
        println!(
            "{:8} {:8} {:8.2} {:8.2}",
            ledger.unwrap_or("off"),
            times.len(),
            quantile(0.5),
            quantile(0.99)
        );
    }
    Ok(())
}
