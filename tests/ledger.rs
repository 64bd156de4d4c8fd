//! The ledger without a process: crashes at every disk operation, power cuts, failing disks, periods, corrections and
//! exports.

mod common;

use common::faulty::*;
use proptest::prelude::*;
use sailmux::ledger::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::time::Duration;

/// 2026-11-15 12:00 in Taipei.
const NOVEMBER: UnixMs = 1_794_715_200_000;
const DAY: UnixMs = 86_400_000;

fn calendar() -> Calendar {
    Calendar::new("Asia/Taipei").expect("a zone")
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
        corrects: "2026-11".to_owned(),
        share: QuotaShare::WithinQuota,
        queries: -1,
        parts: -3,
        work: -3000,
        by: by.to_owned(),
        why: "counted for a test of ours".to_owned(),
    }
}

fn small_segments() -> Options {
    Options { segment_bytes: 700, grace_ms: 0, loss_window_ms: 0, export_format: None }
}

fn open(disk: &FaultyDisk, now: UnixMs) -> Result<(Store<FaultyDisk>, Recovery), LedgerError> {
    Store::open(disk.clone(), calendar(), small_segments(), "n1", now)
}

/// The queries in a ledger, in order.
fn queries(disk: &FaultyDisk) -> Vec<String> {
    let mut all = Vec::new();
    read_all(disk, &calendar(), |_, record, _| {
        if let Record::Entry(e) = record {
            all.push(e.query.clone());
        }
    })
    .expect("readable");
    all
}

/// A billing system: imports each export once by its name, whenever it finds it.
#[derive(Default)]
struct Importer {
    imported: BTreeMap<String, Vec<u8>>,
}

impl Importer {
    fn import(&mut self, disk: &FaultyDisk) {
        for name in disk.list().expect("names").iter().filter(|n| n.ends_with(".csv")) {
            let bytes = disk.read(name).expect("read");
            let before = self.imported.entry(name.clone()).or_insert_with(|| bytes.clone());
            assert_eq!(*before, bytes, "{name} has another content than before");
        }
    }

    fn queries(&self) -> Vec<String> {
        let rows = self.imported.values().flat_map(|b| {
            String::from_utf8_lossy(b).into_owned().lines().map(str::to_owned).collect::<Vec<_>>()
        });
        let rows = rows.filter(|l| !l.starts_with("seq,"));
        rows.map(|l| l.split(',').nth(6).expect("a query").to_owned()).collect()
    }
}

/// A run of a ledger: entries in groups, a period that closes, exports, compaction. Queries are acknowledged once they
/// are committed; the others are entered again at the next run, so that the final content is known.
fn play_run(
    disk: &FaultyDisk,
    acknowledged: &mut BTreeSet<String>,
    importer: &mut Importer,
) -> Result<(), LedgerError> {
    let (mut store, _) = open(disk, NOVEMBER)?;
    let stored: BTreeSet<String> = queries(disk).into_iter().collect();
    for group in 0..6u64 {
        let at = NOVEMBER + group as UnixMs * 4 * DAY;
        let new = (group * 4..group * 4 + 4).filter(|n| !stored.contains(&format!("q{n}")));
        let records: Vec<Record> = new.map(|n| Record::Entry(entry(n, at))).collect();
        if !records.is_empty() {
            store.append(&records)?;
            store.commit()?;
            acknowledged.extend((group * 4..group * 4 + 4).map(|n| format!("q{n}")));
        }
        if group == 2 {
            store.export("2026-11".parse().expect("a period"), Format::Csv, at)?;
            importer.import(disk);
        }
    }
    let december = NOVEMBER + 20 * DAY;
    for period in store.book().due(december, 0) {
        store.close(period, december)?;
    }
    for period in ["2026-11", "2026-12"] {
        store.export(period.parse().expect("a period"), Format::Csv, december)?;
    }
    importer.import(disk);
    store.compact()?;
    Ok(())
}

/// The machine crashes at each disk operation in turn, in each way, and then once more during the next run.
#[test]
fn crash_at_any_disk_operation_loses_no_committed_entry_and_exports_each_once() {
    let steps = {
        let disk = FaultyDisk::default();
        disk.crash_at(usize::MAX);
        play_run(&disk, &mut BTreeSet::new(), &mut Importer::default()).expect("no fault");
        disk.steps()
    };
    assert!(steps > 60, "{steps} steps");
    let mut crashes = 0;
    for stop in 1..=steps {
        for down in [Crash::Kill, Crash::Power(0), Crash::Power(37), Crash::Power(usize::MAX)] {
            for second in [None, Some(stop % 7 + 1)] {
                let (mut acknowledged, mut importer) = (BTreeSet::new(), Importer::default());
                let mut disk = FaultyDisk::default();
                for at in [Some(stop), second].into_iter().flatten() {
                    disk.crash_at(at);
                    let ended = play_run(&disk, &mut acknowledged, &mut importer);
                    if disk.has_crashed() {
                        assert!(ended.is_err());
                        crashes += 1;
                        disk = disk.after(down);
                    }
                    disk.crash_at(usize::MAX);
                    let (store, _) = open(&disk, NOVEMBER).unwrap_or_else(|e| panic!("{stop} {down:?}: {e}"));
                    drop(store);
                    let all = queries(&disk);
                    let set: BTreeSet<String> = all.iter().cloned().collect();
                    assert_eq!(all.len(), set.len(), "{stop} {down:?}: an entry stands twice");
                    let exported: BTreeSet<String> = importer.queries().into_iter().collect();
                    let lost: Vec<_> =
                        acknowledged.iter().filter(|q| !set.contains(*q) && !exported.contains(*q)).collect();
                    assert!(lost.is_empty(), "{stop} {down:?}: lost {lost:?}");
                }
                play_run(&disk, &mut acknowledged, &mut importer)
                    .unwrap_or_else(|e| panic!("{stop} {down:?}: {e}"));
                let mut imported = importer.queries();
                imported.sort();
                let mut wanted: Vec<String> = (0..24).map(|n| format!("q{n}")).collect();
                wanted.sort();
                assert_eq!(imported, wanted, "{stop} {down:?} {second:?}: imported");
            }
        }
    }
    println!("{steps} steps, {crashes} crashes");
}

#[test]
fn torn_tail_is_cut_and_damaged_middle_is_rejected_with_file_and_offset() {
    let disk = FaultyDisk::default();
    let options = Options { loss_window_ms: 0, ..Options::default() };
    let mut store = Store::open(disk.clone(), calendar(), options.clone(), "n1", NOVEMBER).expect("new").0;
    for n in 0..20 {
        store.append(&[Record::Entry(entry(n, NOVEMBER))]).expect("written");
        store.commit().expect("synced");
    }
    let name = disk.list().expect("names")[0].clone();
    let length = disk.read(&name).expect("read").len();
    // Every tail: records are whole or not there.
    for cut in 0..length {
        let torn = disk.after(Crash::Kill);
        let mut handle = torn.clone();
        handle.truncate(&name, cut as u64).expect("cut");
        let (store, found) =
            Store::open(torn.clone(), calendar(), options.clone(), "n1", NOVEMBER).expect("opened");
        assert!(found.records <= 21 && store.book().position().sequence == found.records + 1);
    }
    // A byte anywhere before the last commit: refused, with the file and a place at or before it.
    for at in (16..length - 120).step_by(13) {
        let damaged_disk = disk.after(Crash::Kill);
        damaged_disk.flip_bit(&name, at);
        match Store::open(damaged_disk, calendar(), options.clone(), "n1", NOVEMBER) {
            Err(LedgerError::Damaged { file, damage }) => {
                assert!(file == name && damage.offset <= at, "{damage}");
            }
            other => panic!("byte {at}: {:?}", other.map(|(_, r)| r)),
        }
    }
    let damaged_disk = disk.after(Crash::Kill);
    damaged_disk.flip_bit(&name, 7);
    assert!(Store::open(damaged_disk, calendar(), options, "n1", NOVEMBER).is_err(), "another version");
}

/// Processor time of this thread, in the kernel's ticks of 10 ms.
fn thread_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/thread-self/stat").expect("readable");
    let after_name = stat.rsplit_once(')').expect("a name").1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    // utime and stime.
    fields[11..13].iter().map(|ticks| ticks.parse::<u64>().expect("a number")).sum()
}

#[test]
fn the_writer_sleeps_between_attempts_at_a_failing_disk() {
    // Guards against a thread that takes a whole core while the disk fails and a commit is overdue.
    let disk = FaultyDisk::default();
    let (store, _) = open(&disk, NOVEMBER).expect("new");
    disk.fail(Some(ErrorKind::StorageFull));
    let writer = Writer::new(store, Duration::from_millis(10), &small_segments(), |_| {});
    let (mut handle, intake) = queue();
    let client = std::thread::spawn(move || {
        for n in 0..2 {
            handle.enqueue(entry(n, NOVEMBER));
            std::thread::sleep(Duration::from_millis(50));
        }
        // Less than the time to the next attempt.
        std::thread::sleep(Duration::from_millis(350));
    });
    let before = thread_ticks();
    writer.run(intake, || NOVEMBER);
    let used = thread_ticks() - before;
    client.join().expect("done");
    assert!(used <= 10, "{used} ticks of 45");
}

#[test]
fn failing_disk_does_not_block_and_lost_entries_become_a_gap_with_bounds() {
    for kind in [ErrorKind::StorageFull, ErrorKind::ReadOnlyFilesystem] {
        let disk = FaultyDisk::default();
        let (store, _) = open(&disk, NOVEMBER).expect("new");
        let mut events = Vec::new();
        let mut writer = Writer::new(store, Duration::ZERO, &small_segments(), |event| events.push(event));
        let mut number = 0;
        let mut take = |writer: &mut Writer<_, _>, n: u64| {
            number += 1;
            let record = Record::Entry(entry(n, NOVEMBER + n as UnixMs));
            writer.take(NumberedRecord { number, record });
        };
        take(&mut writer, 0);
        writer.flush();
        disk.fail(Some(kind));
        for n in 1..=66_000 {
            take(&mut writer, n);
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
            from: NOVEMBER + 65_537,
            to: NOVEMBER + 66_000,
            entries: 464,
            reason: "the disk failed for too long".to_owned(),
        };
        assert_eq!(
            events[2..],
            [LedgerEvent::EntriesLost(gap.clone()), LedgerEvent::Recovered, LedgerEvent::Durable(66_001)]
        );
        let book = read_all(&disk, &calendar(), |_, _, _| {}).expect("whole");
        assert_eq!(book.gaps().iter().map(|recorded| recorded.gap.clone()).collect::<Vec<_>>(), [gap]);
        let all = queries(&disk);
        assert_eq!(all.len(), 65_537);
        assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), 65_537, "none stands twice");
    }
}

#[test]
fn closed_period_does_not_change_and_corrections_are_billed_in_the_open_one() {
    let disk = FaultyDisk::default();
    let (mut store, _) = open(&disk, NOVEMBER).expect("new");
    let november: Period = "2026-11".parse().expect("a period");
    let end = calendar().end(november);
    assert_eq!(calendar().period(end - 1).to_string(), "2026-11");
    assert_eq!(calendar().period(end).to_string(), "2026-12");
    assert_eq!(end, 1_796_054_400_000, "midnight in Taipei, 16:00 in UTC");
    store.append(&[Record::Entry(entry(0, end - 1)), Record::Entry(entry(1, end))]).expect("written");
    assert!(store.close(november, end - 1).is_err(), "it is not over");
    assert_eq!(store.book().due(end + 999, 1000), []);
    assert_eq!(store.book().due(end + 1000, 1000), [november]);
    store.close(november, end + 1000).expect("closed");
    assert!(store.close(november, end + 1000).is_err(), "closed already");
    let sum = |store: &Store<FaultyDisk>, period: &str| -> (u64, u64) {
        let of = |l: &Line| l.period.to_string() == period;
        store
            .book()
            .totals()
            .iter()
            .filter(|(l, _)| of(l))
            .fold((0, 0), |(q, l), (_, s)| (q + s.queries, l + s.late))
    };
    assert_eq!((sum(&store, "2026-11"), sum(&store, "2026-12")), ((1, 0), (1, 0)));
    // The clock steps back an hour across the month's end: billed in the open period, marked as late.
    store.append(&[Record::Entry(entry(2, end - 3_600_000))]).expect("written");
    assert_eq!((sum(&store, "2026-11"), sum(&store, "2026-12")), ((1, 0), (2, 1)));
    let correction_by = |by: &str| correction(by, by, end + 5000);
    assert!(store.correct(correction_by(" ")).is_err(), "by whom?");
    store.correct(correction_by("billing")).expect("corrected");
    assert_eq!(sum(&store, "2026-11"), (1, 0), "a closed period stays as it is");
    assert_eq!(store.book().corrections()[0].billed_in.to_string(), "2026-12");
    // What was exported once is not exported again; what came since is.
    let first = store.export(november, Format::Csv, end + 6000).expect("exported").expect("something");
    assert_eq!(store.export(november, Format::Csv, end + 6000).expect("asked"), None);
    let second = store.export("2026-12".parse().expect("a period"), Format::JsonLines, end + 6000);
    let second = second.expect("exported").expect("something");
    let text = String::from_utf8(disk.read(&format!("{}.jsonl", second.name)).expect("there")).expect("text");
    assert_eq!(text.lines().count(), 3, "two entries and the correction");
    assert!(text.lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()));
    let manifest = disk.read(&format!("{}.manifest.json", first.name)).expect("there");
    let manifest: serde_json::Value = serde_json::from_slice(&manifest).expect("JSON");
    assert_eq!((&manifest["entries"], &manifest["sha256"]), (&1.into(), &first.hash.expect("done").into()));
}

#[test]
fn arrow_export_is_read_by_the_arrow_reader() {
    let disk = FaultyDisk::default();
    let (mut store, _) = open(&disk, NOVEMBER).expect("new");
    store.append(&(0..9).map(|n| Record::Entry(entry(n, NOVEMBER))).collect::<Vec<_>>()).expect("written");
    let done = store.export("2026-11".parse().expect("a period"), Format::Arrow, NOVEMBER).expect("exported");
    let bytes = disk.read(&format!("{}.arrow", done.expect("something").name)).expect("there");
    let reader = arrow_ipc::reader::FileReader::try_new(std::io::Cursor::new(bytes), None).expect("Arrow");
    let rows: usize = reader.map(|batch| batch.expect("a batch").num_rows()).sum();
    assert_eq!(rows, 9);
}

#[test]
fn killed_run_leaves_a_gap_unless_no_entry_can_be_missing() {
    for (window, ends, gaps) in [(50, false, 1), (50, true, 0), (0, false, 0)] {
        let disk = FaultyDisk::default();
        let options = Options { loss_window_ms: window, ..small_segments() };
        let start =
            || Store::open(disk.clone(), calendar(), options.clone(), "n1", NOVEMBER + 9).expect("opened").0;
        let mut store = start();
        store.append(&[Record::Entry(entry(1, NOVEMBER + 5))]).expect("written");
        if ends {
            store.end(NOVEMBER + 6).expect("ended");
        }
        drop(store);
        let store = start();
        assert_eq!(store.book().gaps().len(), gaps);
        assert!(
            store
                .book()
                .gaps()
                .iter()
                .map(|recorded| &recorded.gap)
                .all(|g| (g.from, g.to, g.entries) == (NOVEMBER + 5, NOVEMBER + 9, 0))
        );
    }
}

/// The machine crashes at each disk operation while requests are carried out; the next run finds each request or its
/// reply.
#[test]
fn requests_interrupted_by_a_crash_are_carried_out_once() {
    let correction_request = |id: &str| {
        let correction = correction(id, "billing", 0);
        Request::Correct(correction).to_json()
    };
    let disk_with_requests = || {
        let disk = FaultyDisk::default();
        let (mut store, _) = open(&disk, NOVEMBER).expect("new");
        store.append(&[Record::Entry(entry(1, NOVEMBER))]).expect("written");
        store.commit().expect("synced");
        let mut handle = disk.clone();
        let november: Period = "2026-11".parse().expect("a period");
        let texts =
            [correction_request("c1"), Request::Export(november, Format::Csv).to_json(), "{}".to_owned()];
        for (i, text) in texts.iter().enumerate() {
            let name = request_name(&format!("r{i}"));
            handle.append(&name, text.as_bytes()).expect("left");
            handle.sync(&name).expect("synced");
        }
        handle.sync_names().expect("synced");
        disk
    };
    let process = |disk: &FaultyDisk| {
        open(disk, NOVEMBER).and_then(|(mut store, _)| store.process_requests(NOVEMBER + 9))
    };
    let steps = {
        let disk = disk_with_requests();
        disk.crash_at(usize::MAX);
        assert_eq!(process(&disk).expect("no fault"), 3);
        disk.steps()
    };
    assert!(steps > 15, "{steps} steps");
    for stop in 1..=steps {
        for down in [Crash::Kill, Crash::Power(0), Crash::Power(50)] {
            let disk = disk_with_requests();
            disk.crash_at(stop);
            assert!(process(&disk).is_err());
            let disk = disk.after(down);
            process(&disk).unwrap_or_else(|e| panic!("{stop} {down:?}: {e}"));
            let book = read_all(&disk, &calendar(), |_, _, _| {}).expect("whole");
            assert_eq!(book.corrections().len(), 1, "{stop} {down:?}");
            assert_eq!(book.exports().len(), 1, "{stop} {down:?}");
            let names = disk.list().expect("names");
            assert!(!names.iter().any(|n| n.starts_with("request-")), "{stop} {down:?}: {names:?}");
            let reply = |i: usize| {
                String::from_utf8(disk.read(&reply_name(&format!("r{i}"))).expect("there")).expect("text")
            };
            assert!(
                reply(0).contains("billed in 2026-11") && reply(2).contains("refused"),
                "{stop} {down:?}"
            );
        }
    }
}

#[test]
fn accounts_of_unknown_tenants_are_bounded() {
    let mut book = Book::new(calendar());
    for n in 0..10_000 {
        let stranger = Entry { tenant: format!("x{n}"), tenant_is_known: false, ..entry(n, NOVEMBER) };
        book.apply(n + 1, &Record::Entry(stranger));
    }
    assert!(book.totals().len() <= 1002, "{} lines", book.totals().len());
    assert_eq!(book.totals().values().map(|s| s.queries).sum::<u64>(), 10_000, "none is lost");
}

#[test]
fn reconciliation_finds_overlaps_duplicates_and_clock_differences() {
    let make = |aggregator: &str, from: u64, to: u64, shift: UnixMs| {
        let disk = FaultyDisk::default();
        let mut store =
            Store::open(disk.clone(), calendar(), small_segments(), aggregator, NOVEMBER).expect("new").0;
        for n in from..to {
            store.append(&[Record::Entry(entry(n, NOVEMBER + n as UnixMs + shift))]).expect("written");
        }
        let mut records = Vec::new();
        let book = read_all(&disk, &calendar(), |seq, r, _| records.push((seq, r.clone()))).expect("whole");
        Ledger { place: aggregator.to_owned(), book, records }
    };
    let found = reconcile(&[make("n1", 0, 50, 0), make("n2", 50, 80, 0)]);
    assert!(found.is_complete() && found.entries == 80 && found.duplicate_count == 0);
    assert_eq!(found.totals.values().map(|s| s.queries).sum::<u64>(), 80);
    let found = reconcile(&[make("n1", 0, 50, 0), make("n2", 40, 80, 60_000), make("n1", 0, 10, 0)]);
    assert!(!found.is_complete());
    assert_eq!(found.overlaps.len(), 1);
    assert_eq!(found.duplicate_count, 20, "ten at n2, ten at the other n1");
    assert!(
        found.clock_differences.iter().any(|c| c.contains("60000 ms apart")),
        "{:?}",
        found.clock_differences
    );
}

#[test]
fn missing_segment_is_reported_with_its_sequence_numbers() {
    let disk = FaultyDisk::default();
    let (mut store, _) = open(&disk, NOVEMBER).expect("new");
    for n in 0..60 {
        store.append(&[Record::Entry(entry(n, NOVEMBER))]).expect("written");
    }
    store.commit().expect("synced");
    let mut handle = disk.after(Crash::Kill);
    let segments: Vec<String> =
        disk.list().expect("names").into_iter().filter(|n| n.starts_with("seg-")).collect();
    assert!(segments.len() > 4, "{segments:?}");
    handle.remove(&segments[2]).expect("removed");
    let problem = read_all(&handle, &calendar(), |_, _, _| {}).err().map(|e| e.to_string()).expect("refused");
    assert!(problem.contains(&segments[1]) && problem.contains("are missing"), "{problem}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// The book from a snapshot and the records behind it equals the book from all records.
    #[test]
    fn start_from_snapshot_equals_start_from_all_records(
        entries in prop::collection::vec((0..40u64, 0..60i64, 0..6usize, any::<bool>()), 1..80),
        close in any::<bool>(),
    ) {
        let disk = FaultyDisk::default();
        let (mut store, _) = open(&disk, NOVEMBER).expect("new");
        for (i, (n, day, outcome, known)) in entries.iter().enumerate() {
            let e = Entry { tenant_is_known: *known, outcome: Outcome::ALL[*outcome], ..entry(*n, NOVEMBER + day * DAY) };
            store.append(&[Record::Entry(e)]).expect("written");
            if close && i == entries.len() / 2 {
                store.close("2026-11".parse().expect("a period"), NOVEMBER + 20 * DAY).expect("closed");
            }
        }
        store.commit().expect("synced");
        let all = read_all(&disk, &calendar(), |_, _, _| {}).expect("whole");
        let (again, found) = open(&disk.after(Crash::Power(0)), NOVEMBER).expect("opened");
        prop_assert!(found.records <= 20, "the snapshot was not used: {} records", found.records);
        prop_assert_eq!(again.book().totals(), all.totals());
        prop_assert_eq!(again.book().due(NOVEMBER + 100 * DAY, 0), all.due(NOVEMBER + 100 * DAY, 0));
    }
}
