//! In-process tests of the ledger: crashes at every disk operation, power failures, failing disks, periods, corrections
//! and exports.

mod common;

use common::faulty::*;
use proptest::prelude::*;
use sailmux::ledger::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::time::Duration;

/// 2026-11-15T12:00:00 in Taipei.
const NOVEMBER_MS: UnixMs = 1_794_715_200_000;
const DAY_MS: UnixMs = 86_400_000;

fn calendar() -> Calendar {
    Calendar::new("Asia/Taipei").expect("valid time zone")
}

fn entry(n: u64, at: UnixMs) -> Entry {
    Entry {
        at,
        tenant: ["hsinyi-realty", "kaohsiung-hr", "lanyang-law"][n as usize % 3].to_owned(),
        tenant_is_known: true,
        class: "envelope-search".to_owned(),
        query: format!("q{n}"),
        parts: 3,
        parts_served: 3,
        attempts: 4,
        work: 3000,
        outcome: Outcome::Complete,
        share: if n.is_multiple_of(5) { QuotaShare::OverQuota } else { QuotaShare::WithinQuota },
    }
}

fn correction(id: &str, by: &str, at: UnixMs) -> Correction {
    Correction {
        at,
        id: id.to_owned(),
        tenant: "lanyang-law".to_owned(),
        class: "envelope-search".to_owned(),
        corrected_period: "2026-11".to_owned(),
        share: QuotaShare::WithinQuota,
        queries: -1,
        parts: -3,
        work: -3000,
        author: by.to_owned(),
        reason: "billed for a test query".to_owned(),
    }
}

fn small_segments() -> Options {
    Options { segment_bytes: 700, grace_ms: 0, loss_window_ms: 0, export_format: None }
}

fn open(disk: &FaultyDisk, now: UnixMs) -> Result<(Store<FaultyDisk>, Recovery), LedgerError> {
    Store::open(disk.clone(), calendar(), small_segments(), "n1", now)
}

/// The ids of all queries in a ledger, in the order of their records.
fn query_ids(disk: &FaultyDisk) -> Vec<String> {
    let mut all = Vec::new();
    read_all(disk, &calendar(), |_, record, _| {
        if let Record::Entry(entry) = record {
            all.push(entry.query.clone());
        }
    })
    .expect("readable");
    all
}

/// A billing system, which imports each export once, identified by its name.
#[derive(Default)]
struct Importer {
    imported: BTreeMap<String, Vec<u8>>,
}

impl Importer {
    fn import(&mut self, disk: &FaultyDisk) {
        for name in disk.list().expect("directory is listed").iter().filter(|name| name.ends_with(".csv")) {
            let bytes = disk.read(name).expect("read");
            let imported = self.imported.entry(name.clone()).or_insert_with(|| bytes.clone());
            assert_eq!(*imported, bytes, "the content of {name} changed");
        }
    }

    fn query_ids(&self) -> Vec<String> {
        let rows = self.imported.values().flat_map(|bytes| {
            String::from_utf8_lossy(bytes).into_owned().lines().map(str::to_owned).collect::<Vec<_>>()
        });
        let rows = rows.filter(|row| !row.starts_with("seq,"));
        rows.map(|row| row.split(',').nth(6).expect("query column").to_owned()).collect()
    }
}

/// One run of a ledger: appends entries in groups, closes a period, exports and compacts. Queries are acknowledged once
/// they are committed; the others are recorded by the next run, so that the final content is known.
fn run_ledger(
    disk: &FaultyDisk,
    acknowledged: &mut BTreeSet<String>,
    importer: &mut Importer,
) -> Result<(), LedgerError> {
    let (mut store, _) = open(disk, NOVEMBER_MS)?;
    // Compaction removes entries that have been exported; those have been imported before.
    let mut stored: BTreeSet<String> = query_ids(disk).into_iter().collect();
    stored.extend(importer.query_ids());
    for group in 0..6u64 {
        let at = NOVEMBER_MS + group as UnixMs * 4 * DAY_MS;
        let new = (group * 4..group * 4 + 4).filter(|n| !stored.contains(&format!("q{n}")));
        let records: Vec<Record> = new.map(|n| Record::Entry(entry(n, at))).collect();
        if !records.is_empty() {
            store.append(&records)?;
            store.commit()?;
            acknowledged.extend((group * 4..group * 4 + 4).map(|n| format!("q{n}")));
        }
        if group == 2 {
            store.export("2026-11".parse().expect("valid period"), Format::Csv, at)?;
            importer.import(disk);
        }
    }
    let december = NOVEMBER_MS + 20 * DAY_MS;
    for period in store.book().due_periods(december, 0) {
        store.close(period, december)?;
    }
    for period in ["2026-11", "2026-12"] {
        store.export(period.parse().expect("valid period"), Format::Csv, december)?;
    }
    importer.import(disk);
    store.compact()?;
    Ok(())
}

/// Injects each kind of crash at every disk operation of a run, then optionally another crash in the next run.
#[test]
fn crash_at_any_disk_operation_loses_no_committed_entry_and_exports_each_once() {
    let operations = {
        let disk = FaultyDisk::default();
        disk.crash_at(usize::MAX);
        run_ledger(&disk, &mut BTreeSet::new(), &mut Importer::default()).expect("no fault");
        disk.steps()
    };
    assert!(operations > 60, "{operations} disk operations");
    let mut crashes = 0;
    for crash_at in 1..=operations {
        for crash in [Crash::Kill, Crash::Power(0), Crash::Power(37), Crash::Power(usize::MAX)] {
            for second_crash_at in [None, Some(crash_at % 7 + 1)] {
                let (mut acknowledged, mut importer) = (BTreeSet::new(), Importer::default());
                let mut disk = FaultyDisk::default();
                for operation in [Some(crash_at), second_crash_at].into_iter().flatten() {
                    disk.crash_at(operation);
                    let result = run_ledger(&disk, &mut acknowledged, &mut importer);
                    if disk.has_crashed() {
                        assert!(result.is_err());
                        crashes += 1;
                        disk = disk.after(crash);
                    }
                    disk.crash_at(usize::MAX);
                    let (store, _) = open(&disk, NOVEMBER_MS)
                        .unwrap_or_else(|error| panic!("{crash_at} {crash:?}: {error}"));
                    drop(store);
                    let recorded = query_ids(&disk);
                    let distinct: BTreeSet<String> = recorded.iter().cloned().collect();
                    assert_eq!(recorded.len(), distinct.len(), "{crash_at} {crash:?}: duplicate entry");
                    let exported: BTreeSet<String> = importer.query_ids().into_iter().collect();
                    let lost: Vec<_> = acknowledged
                        .iter()
                        .filter(|id| !distinct.contains(*id) && !exported.contains(*id))
                        .collect();
                    assert!(lost.is_empty(), "{crash_at} {crash:?}: lost {lost:?}");
                }
                run_ledger(&disk, &mut acknowledged, &mut importer)
                    .unwrap_or_else(|error| panic!("{crash_at} {crash:?}: {error}"));
                let mut imported = importer.query_ids();
                imported.sort();
                let mut expected: Vec<String> = (0..24).map(|n| format!("q{n}")).collect();
                expected.sort();
                assert_eq!(imported, expected, "{crash_at} {crash:?} {second_crash_at:?}: imported queries");
            }
        }
    }
    println!("{operations} disk operations, {crashes} crashes");
}

#[test]
fn torn_tail_is_truncated_and_damage_to_synced_data_is_rejected_with_file_and_offset() {
    let disk = FaultyDisk::default();
    let options = Options { loss_window_ms: 0, ..Options::default() };
    let mut store = Store::open(disk.clone(), calendar(), options.clone(), "n1", NOVEMBER_MS).expect("new").0;
    for n in 0..20 {
        store.append(&[Record::Entry(entry(n, NOVEMBER_MS))]).expect("written");
        store.commit().expect("synced");
    }
    let name = disk.list().expect("directory is listed")[0].clone();
    let length = disk.read(&name).expect("read").len();
    // A file truncated at any offset: each record is either complete or absent.
    for torn_length in 0..length {
        let torn = disk.after(Crash::Kill);
        let mut handle = torn.clone();
        handle.truncate(&name, torn_length as u64).expect("truncated");
        let (store, recovery) =
            Store::open(torn.clone(), calendar(), options.clone(), "n1", NOVEMBER_MS).expect("opened");
        assert!(recovery.records <= 21 && store.book().position().sequence == recovery.records + 1);
    }
    // A changed byte before the last commit is rejected with the file name and an offset at or before the byte.
    for changed_at in (16..length - 120).step_by(13) {
        let damaged_disk = disk.after(Crash::Kill);
        damaged_disk.flip_bit(&name, changed_at);
        match Store::open(damaged_disk, calendar(), options.clone(), "n1", NOVEMBER_MS) {
            Err(LedgerError::Damaged { file, damage }) => {
                assert!(file == name && damage.offset <= changed_at, "{damage}");
            }
            other => panic!("byte {changed_at}: {:?}", other.map(|(_, recovery)| recovery)),
        }
    }
    let damaged_disk = disk.after(Crash::Kill);
    damaged_disk.flip_bit(&name, 7);
    assert!(
        Store::open(damaged_disk, calendar(), options, "n1", NOVEMBER_MS).is_err(),
        "unknown format version is rejected"
    );
}

/// CPU time of this thread, in kernel ticks of 10 ms.
fn thread_cpu_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/thread-self/stat").expect("readable");
    let after_name = stat.rsplit_once(')').expect("process name in parentheses").1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    // The fields utime and stime.
    fields[11..13].iter().map(|ticks| ticks.parse::<u64>().expect("number of ticks")).sum()
}

#[test]
fn writer_sleeps_between_write_attempts_while_the_disk_fails() {
    // Guards against a busy loop while the disk fails and a commit is overdue.
    let disk = FaultyDisk::default();
    let (store, _) = open(&disk, NOVEMBER_MS).expect("new");
    disk.fail(Some(ErrorKind::StorageFull));
    let writer = Writer::new(store, Duration::from_millis(10), &small_segments(), |_| {});
    let (mut handle, receiver) = queue();
    let sender = std::thread::spawn(move || {
        for n in 0..2 {
            handle.enqueue(entry(n, NOVEMBER_MS));
            std::thread::sleep(Duration::from_millis(50));
        }
        // Shorter than the interval until the next write attempt.
        std::thread::sleep(Duration::from_millis(350));
    });
    let before = thread_cpu_ticks();
    writer.run(receiver, || NOVEMBER_MS);
    let used_ticks = thread_cpu_ticks() - before;
    sender.join().expect("sender thread ends");
    assert!(used_ticks <= 10, "{used_ticks} of 45 ticks");
}

#[test]
fn failing_disk_does_not_block_and_lost_entries_become_a_gap_with_bounds() {
    for kind in [ErrorKind::StorageFull, ErrorKind::ReadOnlyFilesystem] {
        let disk = FaultyDisk::default();
        let (store, _) = open(&disk, NOVEMBER_MS).expect("new");
        let mut events = Vec::new();
        let mut writer = Writer::new(store, Duration::ZERO, &small_segments(), |event| events.push(event));
        let mut number = 0;
        let mut accept = |writer: &mut Writer<_, _>, n: u64| {
            number += 1;
            let record = Record::Entry(entry(n, NOVEMBER_MS + n as UnixMs));
            writer.accept(NumberedRecord { number, record });
        };
        accept(&mut writer, 0);
        writer.flush();
        disk.fail(Some(kind));
        for n in 1..=66_000 {
            accept(&mut writer, n);
            if n.is_multiple_of(20_000) {
                writer.flush();
            }
        }
        disk.fail(None);
        writer.flush();
        drop(writer);
        assert_eq!(events[0], LedgerEvent::Durable(1));
        assert!(matches!(events[1], LedgerEvent::WriteFailed(_)));
        let gap = Gap {
            from: NOVEMBER_MS + 65_537,
            to: NOVEMBER_MS + 66_000,
            entries: 464,
            reason: "the disk failed for too long".to_owned(),
        };
        assert_eq!(
            events[2..],
            [LedgerEvent::EntriesLost(gap.clone()), LedgerEvent::Recovered, LedgerEvent::Durable(66_001)]
        );
        let book = read_all(&disk, &calendar(), |_, _, _| {}).expect("readable");
        assert_eq!(book.gaps().iter().map(|recorded| recorded.gap.clone()).collect::<Vec<_>>(), [gap]);
        let all = query_ids(&disk);
        assert_eq!(all.len(), 65_537);
        assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), 65_537, "no duplicates");
    }
}

#[test]
fn closed_period_does_not_change_and_corrections_are_billed_in_the_open_one() {
    let disk = FaultyDisk::default();
    let (mut store, _) = open(&disk, NOVEMBER_MS).expect("new");
    let november: Period = "2026-11".parse().expect("valid period");
    let end = calendar().end(november);
    assert_eq!(calendar().period(end - 1).to_string(), "2026-11");
    assert_eq!(calendar().period(end).to_string(), "2026-12");
    assert_eq!(end, 1_796_054_400_000, "midnight in Taipei, 16:00 in UTC");
    store.append(&[Record::Entry(entry(0, end - 1)), Record::Entry(entry(1, end))]).expect("written");
    assert!(store.close(november, end - 1).is_err(), "the period has not ended");
    assert_eq!(store.book().due_periods(end + 999, 1000), []);
    assert_eq!(store.book().due_periods(end + 1000, 1000), [november]);
    store.close(november, end + 1000).expect("closed");
    assert!(store.close(november, end + 1000).is_err(), "already closed");
    let queries_and_late = |store: &Store<FaultyDisk>, period: &str| -> (u64, u64) {
        let is_in_period = |line: &BillingLine| line.period.to_string() == period;
        store
            .book()
            .totals()
            .iter()
            .filter(|(line, _)| is_in_period(line))
            .fold((0, 0), |(queries, late), (_, usage)| (queries + usage.queries, late + usage.late))
    };
    assert_eq!((queries_and_late(&store, "2026-11"), queries_and_late(&store, "2026-12")), ((1, 0), (1, 0)));
    // The clock steps back by an hour into the closed month: the entry is billed in the open period and marked as late.
    store.append(&[Record::Entry(entry(2, end - 3_600_000))]).expect("written");
    assert_eq!((queries_and_late(&store, "2026-11"), queries_and_late(&store, "2026-12")), ((1, 0), (2, 1)));
    let correction_by = |by: &str| correction(by, by, end + 5000);
    assert!(store.correct(correction_by(" ")).is_err(), "a correction needs an author");
    store.correct(correction_by("billing")).expect("corrected");
    assert_eq!(queries_and_late(&store, "2026-11"), (1, 0), "a closed period does not change");
    assert_eq!(store.book().corrections()[0].billed_in.to_string(), "2026-12");
    // Records are exported only once: an unchanged period has no further export.
    let first = store.export(november, Format::Csv, end + 6000).expect("exported").expect("an export");
    assert_eq!(store.export(november, Format::Csv, end + 6000).expect("no failure"), None);
    let second = store.export("2026-12".parse().expect("valid period"), Format::JsonLines, end + 6000);
    let second = second.expect("exported").expect("an export");
    let text =
        String::from_utf8(disk.read(&format!("{}.jsonl", second.name)).expect("file exists")).expect("UTF-8");
    assert_eq!(text.lines().count(), 3, "two entries and the correction");
    assert!(text.lines().all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok()));
    let manifest = disk.read(&format!("{}.manifest.json", first.name)).expect("file exists");
    let manifest: serde_json::Value = serde_json::from_slice(&manifest).expect("JSON");
    assert_eq!(
        (&manifest["entries"], &manifest["sha256"]),
        (&1.into(), &first.hash.expect("finished").into())
    );
}

#[test]
fn arrow_export_is_read_by_the_arrow_reader() {
    let disk = FaultyDisk::default();
    let (mut store, _) = open(&disk, NOVEMBER_MS).expect("new");
    store.append(&(0..9).map(|n| Record::Entry(entry(n, NOVEMBER_MS))).collect::<Vec<_>>()).expect("written");
    let export =
        store.export("2026-11".parse().expect("valid period"), Format::Arrow, NOVEMBER_MS).expect("exported");
    let bytes = disk.read(&format!("{}.arrow", export.expect("an export").name)).expect("file exists");
    let reader =
        arrow_ipc::reader::FileReader::try_new(std::io::Cursor::new(bytes), None).expect("valid Arrow file");
    let rows: usize = reader.map(|batch| batch.expect("valid batch").num_rows()).sum();
    assert_eq!(rows, 9);
}

#[test]
fn killed_run_leaves_a_gap_unless_no_entry_can_be_missing() {
    for (window_ms, ends_gracefully, gaps) in [(50, false, 1), (50, true, 0), (0, false, 0)] {
        let disk = FaultyDisk::default();
        let options = Options { loss_window_ms: window_ms, ..small_segments() };
        let open_store = || {
            Store::open(disk.clone(), calendar(), options.clone(), "n1", NOVEMBER_MS + 9).expect("opened").0
        };
        let mut store = open_store();
        store.append(&[Record::Entry(entry(1, NOVEMBER_MS + 5))]).expect("written");
        if ends_gracefully {
            store.end_run(NOVEMBER_MS + 6).expect("ended");
        }
        drop(store);
        let store = open_store();
        assert_eq!(store.book().gaps().len(), gaps);
        assert!(store.book().gaps().iter().map(|recorded| &recorded.gap).all(|gap| (
            gap.from,
            gap.to,
            gap.entries
        ) == (
            NOVEMBER_MS + 5,
            NOVEMBER_MS + 9,
            0
        )));
    }
}

/// Injects a crash at every disk operation while requests are processed; the next run finds each request or its reply.
#[test]
fn requests_interrupted_by_a_crash_are_carried_out_once() {
    let correction_request = |id: &str| {
        let correction = correction(id, "billing", 0);
        Request::Correct(correction).to_json()
    };
    let disk_with_requests = || {
        let disk = FaultyDisk::default();
        let (mut store, _) = open(&disk, NOVEMBER_MS).expect("new");
        store.append(&[Record::Entry(entry(1, NOVEMBER_MS))]).expect("written");
        store.commit().expect("synced");
        let mut handle = disk.clone();
        let november: Period = "2026-11".parse().expect("valid period");
        let contents =
            [correction_request("c1"), Request::Export(november, Format::Csv).to_json(), "{}".to_owned()];
        for (i, content) in contents.iter().enumerate() {
            let name = request_file_name(&format!("r{i}"));
            handle.append(&name, content.as_bytes()).expect("written");
            handle.sync(&name).expect("synced");
        }
        handle.sync_directory().expect("synced");
        disk
    };
    let process = |disk: &FaultyDisk| {
        open(disk, NOVEMBER_MS).and_then(|(mut store, _)| store.process_requests(NOVEMBER_MS + 9))
    };
    let operations = {
        let disk = disk_with_requests();
        disk.crash_at(usize::MAX);
        assert_eq!(process(&disk).expect("no fault"), 3);
        disk.steps()
    };
    assert!(operations > 15, "{operations} disk operations");
    for crash_at in 1..=operations {
        for crash in [Crash::Kill, Crash::Power(0), Crash::Power(50)] {
            let disk = disk_with_requests();
            disk.crash_at(crash_at);
            assert!(process(&disk).is_err());
            let disk = disk.after(crash);
            process(&disk).unwrap_or_else(|error| panic!("{crash_at} {crash:?}: {error}"));
            let book = read_all(&disk, &calendar(), |_, _, _| {}).expect("readable");
            assert_eq!(book.corrections().len(), 1, "{crash_at} {crash:?}");
            assert_eq!(book.exports().len(), 1, "{crash_at} {crash:?}");
            let names = disk.list().expect("directory is listed");
            assert!(
                !names.iter().any(|name| name.starts_with("request-")),
                "{crash_at} {crash:?}: {names:?}"
            );
            let reply = |i: usize| {
                String::from_utf8(disk.read(&reply_file_name(&format!("r{i}"))).expect("file exists"))
                    .expect("text")
            };
            assert!(
                reply(0).contains("billed in 2026-11") && reply(2).contains("refused"),
                "{crash_at} {crash:?}"
            );
        }
    }
}

#[test]
fn accounts_of_unknown_tenants_are_bounded() {
    let mut book = Book::new(calendar());
    for n in 0..10_000 {
        let entry = Entry { tenant: format!("x{n}"), tenant_is_known: false, ..entry(n, NOVEMBER_MS) };
        book.apply(n + 1, &Record::Entry(entry));
    }
    assert!(book.totals().len() <= 1002, "{} lines", book.totals().len());
    assert_eq!(book.totals().values().map(|usage| usage.queries).sum::<u64>(), 10_000, "no query is lost");
}

/// The entries of a ledger on a disk.
struct DiskEntries(FaultyDisk);

impl EntrySource for DiskEntries {
    type Error = LedgerError;

    fn visit(&self, visit: &mut dyn FnMut(u64, &Entry)) -> Result<(), LedgerError> {
        let on_record = |sequence: u64, record: &Record, _: &Book| {
            if let Record::Entry(entry) = record {
                visit(sequence, entry);
            }
        };
        read_all(&self.0, &calendar(), on_record).map(drop)
    }
}

#[test]
fn reconciliation_finds_overlaps_duplicates_and_clock_differences() {
    let ledger_with = |aggregator: &str, from: u64, to: u64, clock_offset_ms: UnixMs| {
        let disk = FaultyDisk::default();
        let mut store =
            Store::open(disk.clone(), calendar(), small_segments(), aggregator, NOVEMBER_MS).expect("new").0;
        for n in from..to {
            store
                .append(&[Record::Entry(entry(n, NOVEMBER_MS + n as UnixMs + clock_offset_ms))])
                .expect("written");
        }
        let book = read_all(&disk, &calendar(), |_, _, _| {}).expect("readable");
        Ledger { directory: aggregator.to_owned(), book, entries: DiskEntries(disk) }
    };
    let reconcile = |ledgers: &[Ledger<DiskEntries>]| sailmux::ledger::reconcile(ledgers).expect("readable");
    let reconciliation = reconcile(&[ledger_with("n1", 0, 50, 0), ledger_with("n2", 50, 80, 0)]);
    assert!(
        reconciliation.is_complete() && reconciliation.entries == 80 && reconciliation.duplicate_count == 0
    );
    assert_eq!(reconciliation.totals.values().map(|usage| usage.queries).sum::<u64>(), 80);
    let reconciliation = reconcile(&[
        ledger_with("n1", 0, 50, 0),
        ledger_with("n2", 40, 80, 60_000),
        ledger_with("n1", 0, 10, 0),
    ]);
    assert!(!reconciliation.is_complete());
    assert_eq!(reconciliation.overlaps.len(), 1);
    assert_eq!(reconciliation.duplicate_count, 20, "ten in the ledger of n2, ten in the other ledger of n1");
    assert!(
        reconciliation.clock_differences.iter().any(|difference| difference.contains("60000 ms apart")),
        "{:?}",
        reconciliation.clock_differences
    );
}

#[test]
fn missing_segment_is_reported_with_its_sequence_numbers() {
    let disk = FaultyDisk::default();
    let (mut store, _) = open(&disk, NOVEMBER_MS).expect("new");
    for n in 0..60 {
        store.append(&[Record::Entry(entry(n, NOVEMBER_MS))]).expect("written");
    }
    store.commit().expect("synced");
    let mut handle = disk.after(Crash::Kill);
    let segments: Vec<String> = disk
        .list()
        .expect("directory is listed")
        .into_iter()
        .filter(|name| name.starts_with("seg-"))
        .collect();
    assert!(segments.len() > 4, "{segments:?}");
    handle.remove(&segments[2]).expect("removed");
    let error =
        read_all(&handle, &calendar(), |_, _, _| {}).err().map(|error| error.to_string()).expect("an error");
    assert!(error.contains(&segments[1]) && error.contains("are missing"), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// The book read from a snapshot and the records after it equals the book read from all records.
    #[test]
    fn start_from_snapshot_equals_start_from_all_records(
        entries in prop::collection::vec((0..40u64, 0..60i64, 0..6usize, any::<bool>()), 1..80),
        close in any::<bool>(),
    ) {
        let disk = FaultyDisk::default();
        let (mut store, _) = open(&disk, NOVEMBER_MS).expect("new");
        for (i, (n, day, outcome, known)) in entries.iter().enumerate() {
            let entry = Entry { tenant_is_known: *known, outcome: Outcome::ALL[*outcome], ..entry(*n, NOVEMBER_MS + day * DAY_MS) };
            store.append(&[Record::Entry(entry)]).expect("written");
            if close && i == entries.len() / 2 {
                store.close("2026-11".parse().expect("valid period"), NOVEMBER_MS + 20 * DAY_MS).expect("closed");
            }
        }
        store.commit().expect("synced");
        let all = read_all(&disk, &calendar(), |_, _, _| {}).expect("readable");
        let (reopened, recovery) = open(&disk.after(Crash::Power(0)), NOVEMBER_MS).expect("opened");
        prop_assert!(recovery.records <= 20, "the snapshot was not used: {} records", recovery.records);
        prop_assert_eq!(reopened.book().totals(), all.totals());
        prop_assert_eq!(reopened.book().due_periods(NOVEMBER_MS + 100 * DAY_MS, 0), all.due_periods(NOVEMBER_MS + 100 * DAY_MS, 0));
    }
}
