//! In-process tests of compaction: what a sealed segment still owes to an export is exported once, however the ledger is
//! compacted, reopened and exported, and segments that owe nothing are removed.

mod common;

use common::faulty::*;
use sailmux::ledger::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// 2026-11-15T12:00:00 in Taipei.
const NOVEMBER_MS: UnixMs = 1_794_715_200_000;
const DAY_MS: UnixMs = 86_400_000;
const DECEMBER_MS: UnixMs = NOVEMBER_MS + 20 * DAY_MS;
const JANUARY_MS: UnixMs = NOVEMBER_MS + 50 * DAY_MS;

fn calendar() -> Calendar {
    Calendar::new("Asia/Taipei").expect("valid time zone")
}

fn period(name: &str) -> Period {
    name.parse().expect("valid period")
}

fn options() -> Options {
    Options { segment_bytes: 700, grace_ms: 0, loss_window_ms: 0, export_format: Some(Format::Csv) }
}

fn open(disk: &FaultyDisk, now: UnixMs) -> Store<FaultyDisk> {
    Store::open(disk.clone(), calendar(), options(), "n1", now).expect("opened").0
}

fn entry(query: &str, at: UnixMs) -> Record {
    Record::Entry(Entry {
        at,
        tenant: "lanyang-law".to_owned(),
        tenant_is_known: true,
        class: "envelope-search".to_owned(),
        query: query.to_owned(),
        parts: 3,
        parts_served: 3,
        attempts: 4,
        work: 3000,
        outcome: Outcome::Complete,
        share: QuotaShare::WithinQuota,
    })
}

fn append_entries(store: &mut Store<FaultyDisk>, prefix: &str, count: usize, at: UnixMs) {
    for n in 0..count {
        store.append(&[entry(&format!("{prefix}{n}"), at)]).expect("written");
    }
    store.commit().expect("synced");
}

fn correct(store: &mut Store<FaultyDisk>, number: i64, at: UnixMs) {
    store
        .correct(Correction {
            at,
            id: format!("c{number}"),
            tenant: "lanyang-law".to_owned(),
            class: "envelope-search".to_owned(),
            corrected_period: "2026-11".to_owned(),
            share: QuotaShare::WithinQuota,
            queries: -number,
            parts: 0,
            work: 0,
            author: "accounts".to_owned(),
            reason: "a gateway sent these queries twice ".repeat(8),
        })
        .expect("corrected");
}

fn segments(disk: &FaultyDisk) -> Vec<String> {
    let names = disk.list().expect("directory is listed");
    names.into_iter().filter(|name| name.starts_with("seg-")).collect()
}

/// The rows of all exports in the directory, each as its kind, query and number of queries, with its occurrences.
fn exported_rows(disk: &FaultyDisk) -> BTreeMap<(String, String, i64), usize> {
    let mut rows = BTreeMap::new();
    for name in disk.list().expect("directory is listed") {
        if name.ends_with(".jsonl") {
            let text = String::from_utf8(disk.read(&name).expect("read")).expect("UTF-8");
            for line in text.lines() {
                let row: serde_json::Value = serde_json::from_str(line).expect("JSON");
                let text = |field: &str| row[field].as_str().expect("text").to_owned();
                let key = (text("kind"), text("query"), row["asked"].as_i64().expect("number"));
                *rows.entry(key).or_default() += 1;
            }
        }
    }
    rows
}

fn export(store: &mut Store<FaultyDisk>, name: &str, at: UnixMs) -> Option<ExportRecord> {
    store.export(period(name), Format::JsonLines, at).expect("no failure")
}

/// A ledger whose November is closed and exported, in several segments.
fn november_exported(disk: &FaultyDisk) -> Store<FaultyDisk> {
    let mut store = open(disk, NOVEMBER_MS);
    append_entries(&mut store, "november-", 20, NOVEMBER_MS);
    store.close(period("2026-11"), DECEMBER_MS).expect("closed");
    export(&mut store, "2026-11", DECEMBER_MS).expect("an export");
    store
}

// Guards against corrections that are billed in an open month and are in no export, since the segment that holds them was
// removed once the month before had been exported.
#[test]
fn corrections_of_a_removed_segment_are_exported_once() {
    for reopens in [false, true] {
        let disk = FaultyDisk::default();
        let mut store = november_exported(&disk);
        for number in 1..=6 {
            correct(&mut store, number, DECEMBER_MS);
        }
        assert!(store.compact().expect("compacted") > 0, "nothing was removed");
        let mut disk = disk;
        if reopens {
            drop(store);
            disk = disk.after(Crash::Kill);
            store = open(&disk, DECEMBER_MS + 1);
            store.compact().expect("compacted");
        }
        export(&mut store, "2026-12", DECEMBER_MS + 2).expect("an export");
        let rows = exported_rows(&disk);
        for number in 1..=6 {
            let row = ("correction".to_owned(), String::new(), -number);
            assert_eq!(rows.get(&row), Some(&1), "correction {number}, reopened: {reopens}");
        }
        assert_eq!(export(&mut store, "2026-12", DECEMBER_MS + 3), None, "nothing is new");
    }
}

// Guards against a correction that an export has twice or not at all when the process is killed at any disk operation
// between the correction, the compaction and the export.
#[test]
fn a_kill_around_a_compaction_exports_each_correction_once() {
    let play = |disk: &FaultyDisk| -> Result<(), LedgerError> {
        let mut store = Store::open(disk.clone(), calendar(), options(), "n1", DECEMBER_MS)?.0;
        store.compact()?;
        store.export(period("2026-12"), Format::JsonLines, DECEMBER_MS)?;
        Ok(())
    };
    let prepared = || {
        let disk = FaultyDisk::default();
        let mut store = november_exported(&disk);
        for number in 1..=6 {
            correct(&mut store, number, DECEMBER_MS);
        }
        drop(store);
        disk
    };
    let operations = {
        let disk = prepared();
        disk.crash_at(usize::MAX);
        play(&disk).expect("no fault");
        disk.steps()
    };
    for crash_at in 1..=operations {
        for crash in [Crash::Kill, Crash::Power(0), Crash::Power(usize::MAX)] {
            let disk = prepared();
            disk.crash_at(crash_at);
            assert!(play(&disk).is_err());
            let disk = disk.after(crash);
            play(&disk).unwrap_or_else(|error| panic!("{crash_at} {crash:?}: {error}"));
            let rows = exported_rows(&disk);
            for number in 1..=6 {
                let row = ("correction".to_owned(), String::new(), -number);
                assert_eq!(rows.get(&row), Some(&1), "{crash_at} {crash:?}: correction {number}");
            }
        }
    }
}

// Guards against rows that are in no export: a period was taken for exported as soon as it had any export, so that the
// segments with its later entries were removed.
#[test]
fn entries_after_an_early_export_of_their_period_are_kept_until_exported() {
    let disk = FaultyDisk::default();
    let mut store = open(&disk, NOVEMBER_MS);
    append_entries(&mut store, "early-", 10, NOVEMBER_MS);
    export(&mut store, "2026-11", NOVEMBER_MS).expect("an export");
    append_entries(&mut store, "later-", 20, NOVEMBER_MS);
    store.close(period("2026-11"), DECEMBER_MS).expect("closed");
    store.compact().expect("compacted");
    export(&mut store, "2026-11", DECEMBER_MS).expect("an export");
    let rows = exported_rows(&disk);
    assert_eq!(rows.len(), 30, "{rows:?}");
    assert!(rows.values().all(|count| *count == 1), "{rows:?}");
}

// Guards against rows that are in no export: the period in which a late entry is billed was reckoned with the periods that
// were closed at the compaction, not with those that were closed when it was recorded.
#[test]
fn late_entries_are_kept_until_the_period_in_which_they_are_billed_is_exported() {
    let disk = FaultyDisk::default();
    let mut store = november_exported(&disk);
    append_entries(&mut store, "late-", 20, NOVEMBER_MS);
    store.close(period("2026-12"), JANUARY_MS).expect("closed");
    store.compact().expect("compacted");
    export(&mut store, "2026-12", JANUARY_MS).expect("an export");
    let rows = exported_rows(&disk);
    assert_eq!(rows.len(), 40, "{rows:?}");
    assert!(rows.values().all(|count| *count == 1), "{rows:?}");
}

// Guards against a directory that grows without end: no segment was removed while the open period had an entry.
#[test]
fn exported_segments_are_removed_while_the_open_period_has_entries() {
    let disk = FaultyDisk::default();
    let mut store = november_exported(&disk);
    let exported = segments(&disk);
    append_entries(&mut store, "december-", 20, DECEMBER_MS);
    store.compact().expect("compacted");
    let left = segments(&disk);
    let kept = exported.iter().filter(|name| left.contains(name)).count();
    assert!(exported.len() >= 3 && kept <= 1, "{exported:?}, then {left:?}");
    drop(store);
    let mut store = open(&disk.after(Crash::Kill), DECEMBER_MS);
    assert_eq!(store.compact().expect("compacted"), 0, "segments of the open period are kept");
    assert_eq!(store.book().totals().values().map(|usage| usage.queries).sum::<u64>(), 40);
}

// Guards against a closed period that is never exported: a kill between the closing and the start of the export left it so,
// as only open periods were looked at.
#[test]
fn a_kill_between_the_closing_of_a_period_and_its_export_delays_the_export() {
    let prepared = || {
        let disk = FaultyDisk::default();
        let mut store = open(&disk, NOVEMBER_MS);
        append_entries(&mut store, "november-", 20, NOVEMBER_MS);
        drop(store);
        disk
    };
    let play = |disk: &FaultyDisk| {
        let store = Store::open(disk.clone(), calendar(), options(), "n1", DECEMBER_MS)?.0;
        let mut failures = 0;
        let mut writer = Writer::new(store, Duration::ZERO, &options(), |event| {
            failures += usize::from(matches!(event, LedgerEvent::WriteFailed(_)));
        });
        writer.close_due_periods(DECEMBER_MS);
        drop(writer);
        Ok::<usize, LedgerError>(failures)
    };
    let operations = {
        let disk = prepared();
        disk.crash_at(usize::MAX);
        assert_eq!(play(&disk).expect("no fault"), 0);
        disk.steps()
    };
    for crash_at in 1..=operations {
        for crash in [Crash::Kill, Crash::Power(0), Crash::Power(usize::MAX)] {
            let disk = prepared();
            disk.crash_at(crash_at);
            let _ = play(&disk);
            let disk = disk.after(crash);
            assert_eq!(play(&disk).expect("opened"), 0, "{crash_at} {crash:?}");
            let book = read_all(&disk, &calendar(), |_, _, _| {}).expect("readable");
            let finished: Vec<bool> = book.exports().iter().map(ExportRecord::is_finished).collect();
            assert_eq!(finished, [true], "{crash_at} {crash:?}");
        }
    }
}

// Guards against a gap, a closing, an export or a correction's idempotency key that goes with a removed segment.
#[test]
fn a_removed_segment_leaves_everything_but_entries_in_the_book() {
    let disk = FaultyDisk::default();
    let mut store = november_exported(&disk);
    let gap = Gap { from: DECEMBER_MS, to: DECEMBER_MS, entries: 3, reason: "the disk failed".to_owned() };
    store.record_gap(gap).expect("written");
    for number in 1..=6 {
        correct(&mut store, number, DECEMBER_MS);
    }
    append_entries(&mut store, "december-", 20, DECEMBER_MS);
    let before = store.book().clone();
    assert!(store.compact().expect("compacted") > 0, "nothing was removed");
    drop(store);
    let disk = disk.after(Crash::Power(0));
    for book in [
        open(&disk, DECEMBER_MS).book().clone(),
        read_all(&disk, &calendar(), |_, _, _| {}).expect("readable"),
    ] {
        assert_eq!(book.gaps(), before.gaps());
        assert_eq!(book.corrections(), before.corrections());
        assert_eq!(book.exports(), before.exports());
        assert_eq!(book.period_state(period("2026-11")), PeriodState::Closed);
        assert_eq!(book.totals(), before.totals());
    }
    let repeated = before.corrections()[0].correction.clone();
    let outcome =
        open(&disk, DECEMBER_MS).perform(Request::Correct(repeated), DECEMBER_MS).expect("performed");
    let sequence = before.corrections()[0].sequence;
    assert!(matches!(outcome, RequestOutcome::Corrected { sequence: found, .. } if found == sequence));
}
