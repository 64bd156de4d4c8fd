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
const ENTRIES: u64 = 120_000;
/// Number of unknown tenants, each of which has a billing line in a manifest.
const TENANTS: u64 = 40_000;
/// The default size of a segment.
const SEGMENT_BYTES: usize = 8 << 20;
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

/// Opens the ledger in a directory. Its lock may be held for a moment by a process that another test is starting.
fn open(directory: &Path, aggregator: &str, segment_bytes: usize) -> Store<RealDisk> {
    let mut disk = None;
    wait_until("the ledger is not locked", || {
        disk = RealDisk::own(directory).ok();
        disk.is_some()
    });
    let options = Options { segment_bytes, ..Options::default() };
    let opened = Store::open(disk.expect("owned"), calendar(), options, aggregator, OCTOBER_MS);
    opened.expect("opened").0
}

/// A directory with a ledger of an earlier run.
fn ledger(aggregator: &str, segment_bytes: usize, entries: u64, entry: impl Fn(u64) -> Record) -> PathBuf {
    let directory = scratch_dir("ledger");
    let mut store = open(&directory, aggregator, segment_bytes);
    for first in (0..entries).step_by(GROUP as usize) {
        let group: Vec<Record> = (first..entries.min(first + GROUP)).map(&entry).collect();
        store.append(&group).expect("written");
    }
    store.end_run(OCTOBER_MS + entries as UnixMs).expect("ended");
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
    let directory = ledger("n0", 1 << 30, ENTRIES, entry);
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

/// Starts an aggregator with the least memory that owns the ledger.
fn start_owner(directory: &Path) -> Aggregator {
    let operator = Some(format!("ledger: {{dir: {}}}\n", directory.display()));
    hostile::start(&Setup { operator, ..Setup::new(&[]) })
}

/// Number of rows in the exports of a directory; for Arrow, that of their batches.
fn exported_rows(directory: &Path) -> u64 {
    let mut rows = 0;
    for file in std::fs::read_dir(directory).expect("readable") {
        let path = file.expect("readable").path();
        let manifest = path.to_string_lossy().ends_with(".manifest.json");
        if manifest {
            let text = std::fs::read_to_string(&path).expect("readable");
            let manifest: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            rows += manifest["entries"].as_u64().expect("a number");
        }
    }
    rows
}

// Guards against an export that keeps all rows and the whole file in memory, for which the platform kills the aggregator.
#[test]
fn exports_in_each_format_do_not_exceed_the_memory_limit() {
    for format in ["csv", "jsonl", "arrow"] {
        let directory = ledger("n0", SEGMENT_BYTES, ENTRIES, entry);
        let mut aggregator = start_owner(&directory);
        let (peak_kb, output) =
            run_measured(&["ledger", "export", PERIOD, "--format", format], &[&directory]);
        assert!(output.contains(format), "{output}");
        assert_within_limit(&format!("the command, {format}"), peak_kb);
        assert_within_limit(&format!("the aggregator, {format}"), aggregator.peak_memory_kb());
        hostile::assert_within_memory_limit(&mut aggregator);
        assert_eq!(exported_rows(&directory), ENTRIES);
        let (peak_kb, _) = run_measured(&["ledger", "verify"], &[&directory]);
        assert_within_limit(&format!("verify, {format}"), peak_kb);
    }
}

// Guards against an aggregator that does not come back, since each start completes the interrupted export in memory.
#[test]
fn a_start_that_completes_an_export_does_not_exceed_the_memory_limit() {
    for format in [Format::Csv, Format::JsonLines, Format::Arrow] {
        let directory = ledger("n0", SEGMENT_BYTES, ENTRIES, entry);
        let mut store = open(&directory, "n0", SEGMENT_BYTES);
        let started = store.book().next_export(PERIOD.parse().expect("valid period"), format.as_str());
        let ExportRecord { name, period, format, range, .. } = started.expect("an export");
        let SequenceRange { after, up_to } = range;
        store.append(&[Record::ExportIntent { name, period, format, after, up_to }]).expect("written");
        store.commit().expect("synced");
        drop(store);
        let mut aggregator = start_owner(&directory);
        hostile::assert_within_memory_limit(&mut aggregator);
        assert_eq!(exported_rows(&directory), ENTRIES);
    }
}

// Guards against a manifest whose billing lines are summed in memory all together: clients choose the names of unknown
// tenants, so that there may be one line for each entry.
#[test]
fn exports_with_a_billing_line_for_each_entry_do_not_exceed_the_memory_limit() {
    let with_own_tenant = |n: u64| {
        let Record::Entry(entry) = entry(n) else { unreachable!("an entry") };
        let tenant = format!("unknown-tenant-with-a-long-name-{n:06}");
        Record::Entry(Entry { tenant, tenant_is_known: false, ..entry })
    };
    let directory = ledger("n0", SEGMENT_BYTES, TENANTS, with_own_tenant);
    let mut aggregator = start_owner(&directory);
    let (peak_kb, output) = run_measured(&["ledger", "export", PERIOD], &[&directory]);
    assert!(output.contains("csv"), "{output}");
    assert_within_limit("the command", peak_kb);
    hostile::assert_within_memory_limit(&mut aggregator);
    let manifest = format!("n0-e2-{PERIOD}-0001.manifest.json");
    let text = std::fs::read_to_string(directory.join(manifest)).expect("readable");
    let manifest: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let lines = manifest["totals"].as_array().expect("lines");
    assert_eq!(lines.len() as u64, TENANTS);
    assert!(lines.iter().all(|line| line["queries"] == 1), "each line is summed once");
    assert_eq!(text, format!("{manifest:#}\n"), "the form of the manifest");
}

// Guards against a reconciliation that keeps all entries of all ledgers in memory.
#[test]
fn reconciling_large_ledgers_does_not_exceed_the_memory_limit() {
    let first = ledger("n0", SEGMENT_BYTES, ENTRIES, entry);
    // Every tenth query is in both ledgers.
    let second =
        ledger("n1", SEGMENT_BYTES, ENTRIES, |n| entry(if n.is_multiple_of(10) { n } else { n + ENTRIES }));
    let (peak_kb, output) = run_measured(&["ledger", "reconcile", "--json"], &[&first, &second]);
    assert_within_limit("reconcile", peak_kb);
    let reconciled: serde_json::Value = serde_json::from_str(&output).expect("JSON");
    assert_eq!(reconciled["entries"], 2 * ENTRIES);
    assert_eq!(reconciled["met_at_two_mixers"], ENTRIES / 10);
}
