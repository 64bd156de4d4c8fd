//! The memory that work on a ledger needs, with the least memory that the platform assigns to a process: it does not grow
//! with the entries.

mod common;

use common::hostile;
use common::process::*;
use sailmux::ledger::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

/// Entries of the ledgers here: kept in memory, each takes over 200 bytes.
const ENTRIES: u64 = 300_000;
/// Number of records that are appended at a time.
const GROUP: u64 = 4096;
/// 2026-10-15T12:00:00 in Taipei, in a month that is over.
const OCTOBER_MS: UnixMs = 1_792_036_800_000;
const PERIOD: &str = "2026-10";

fn calendar() -> Calendar {
    Calendar::new("Asia/Taipei").expect("valid time zone")
}

fn entry(n: u64) -> Record {
    Record::Entry(Entry {
        at: OCTOBER_MS + n as UnixMs,
        tenant: "acme".to_owned(),
        tenant_is_known: true,
        class: "c".to_owned(),
        query: format!("9b1f03aa5c7e{n:08x}"),
        parts: 4,
        parts_served: 4,
        attempts: 4,
        work: 4000,
        outcome: Outcome::Complete,
        share: QuotaShare::WithinQuota,
    })
}

/// A directory with a ledger of an earlier run.
fn ledger(aggregator: &str, segment_bytes: usize, entry: impl Fn(u64) -> Record) -> PathBuf {
    let directory = scratch_dir("ledger");
    let options = Options { segment_bytes, ..Options::default() };
    let disk = RealDisk::own(&directory).expect("owned");
    let (mut store, _) = Store::open(disk, calendar(), options, aggregator, OCTOBER_MS).expect("new");
    for first in (0..ENTRIES).step_by(GROUP as usize) {
        let group: Vec<Record> = (first..ENTRIES.min(first + GROUP)).map(&entry).collect();
        store.append(&group).expect("written");
    }
    store.end_run(OCTOBER_MS + ENTRIES as UnixMs).expect("ended");
    directory
}

/// Runs a command of the program; returns its highest resident memory in kB, sampled, and its output.
fn run_measured(arguments: &[&str], directories: &[&Path]) -> (u64, String) {
    let mut command = Command::new(binary());
    command.args(&arguments[..2]).args(directories).args(&arguments[2..]).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the command runs");
    let status_path = format!("/proc/{}/status", child.id());
    let mut peak_kb = 0;
    while child.try_wait().expect("waited").is_none() {
        let status = std::fs::read_to_string(&status_path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let sampled = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok());
        peak_kb = peak_kb.max(sampled.unwrap_or(0));
        thread::sleep(Duration::from_millis(1));
    }
    let output = child.wait_with_output().expect("ended");
    (peak_kb, String::from_utf8(output.stdout).expect("UTF-8"))
}

fn assert_within_limit(name: &str, peak_kb: u64) {
    println!("{name}: {peak_kb} kB");
    let limit_kb = hostile::MEMORY_LIMIT_MB << 10;
    assert!(0 < peak_kb && peak_kb <= limit_kb, "{name}: {peak_kb} kB of {limit_kb} kB");
}

// Guards against a segment that is read whole and decoded whole, so that the memory for a start, a compaction or a command
// that reads grows with `segment_mb`.
#[test]
fn reading_a_large_segment_does_not_exceed_the_memory_limit() {
    let directory = ledger("n0", 1 << 30, entry);
    for arguments in
        [&["ledger", "show"][..], &["ledger", "verify"], &["ledger", "tail"], &["ledger", "close", PERIOD]]
    {
        let (peak_kb, output) = run_measured(arguments, &[&directory]);
        assert!(!output.is_empty(), "{arguments:?} has no output");
        assert_within_limit(&arguments.join(" "), peak_kb);
    }
    let operator = Some(format!("ledger: {{dir: {}, segment_mb: 1024}}\n", directory.display()));
    let mut aggregator = hostile::start(&Setup { operator, ..Setup::new(&[]) });
    hostile::assert_within_memory_limit(&mut aggregator);
}
