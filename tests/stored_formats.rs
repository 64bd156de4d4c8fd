//! Stored formats: files written by version 0.1.0 are checked in under `tests/fixtures/stored`. Each test reads such a
//! file with the current code, compares the decoded content with literal values, and compares a new encoding of that
//! content with the stored bytes.

mod common;

use common::process::{Setup, WAIT_TIMEOUT, binary, scratch_dir};
use sailmux::hot_restart::{
    MergedOverrides, Override, OverrideSubject, Overrides, ProcessStatus, SharedDirectory, Sibling,
    StoredOverrides, snapshot,
};
use sailmux::ledger::{
    Account, BilledCorrection, BookPosition, Calendar, Correction, Entry, ExportRecord, Format, Gap, Line,
    Options, Outcome, Period, PeriodState, QuotaShare, RealDisk, Record, RecordedGap, Request, SequenceRange,
    Store, Sums, Totals, journal, read_all, reply_name, request_name,
};
use serde_json::{Value, json};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

// ---- Files ----------------------------------------------------------------------------------------------------

fn stored(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored").join(name)
}

fn bytes(name: &str) -> Vec<u8> {
    fs::read(stored(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn text(name: &str) -> String {
    String::from_utf8(bytes(name)).expect("UTF-8")
}

/// A temporary folder with copies of stored files.
fn copied(from: &str, names: &[&str]) -> PathBuf {
    let dir = scratch_dir("stored");
    for name in names {
        fs::write(dir.join(name), bytes(&format!("{from}/{name}"))).expect("written");
    }
    dir
}

fn run(arguments: &[&str], path: &Path, more: &[&str]) -> Output {
    Command::new(binary()).args(arguments).arg(path).args(more).output().expect("it runs")
}

fn out(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

// ---- Ledger: expected content -----------------------------------------------------------------------------------

/// 2026-11-15T00:00:00Z and 2026-12-03T00:00:00Z.
const NOVEMBER: i64 = 1_794_700_800_000;
const DECEMBER: i64 = 1_796_256_000_000;

const FIRST: &str = "seg-00000000000000000001.log";
const SECOND: &str = "seg-00000000000000000034.log";
const SNAPSHOT: &str = "snap-00000000000000000033.bin";
type Exported = (&'static str, &'static str, &'static str, (u64, u64), i64);

/// Name, extension, SHA-256, records after and up to, moment of each export.
const EXPORTS: [Exported; 3] = [
    (
        "n0-e1-2026-11-0001",
        "csv",
        "87721fe8b33d74061ed7061862df390342953ca631e0ccc107ac0aa40c6ba57d",
        (0, 10),
        100,
    ),
    (
        "n0-e1-2026-11-0002",
        "jsonl",
        "7a3bdfa849e40d4d1d580cc083ca31dba0f081a19e98c5308f9e7259f64438db",
        (10, 19),
        200,
    ),
    (
        "n0-e1-2026-11-0003",
        "arrow",
        "00df340b2985f2fb4fb85905944d6f8925529f5c2015ba43e0c9b9c869d1a634",
        (19, 28),
        300,
    ),
];

fn calendar() -> Calendar {
    Calendar::new("Asia/Taipei").expect("a zone")
}

fn period(text: &str) -> Period {
    text.parse().expect("a period")
}

/// An entry of each outcome, with both shares, known and unknown tenants.
#[allow(clippy::too_many_lines, reason = "one literal record after another")]
fn batch(from: i64) -> Vec<Record> {
    let at = NOVEMBER + from;
    let acme = Entry {
        at: at + 1,
        tenant: "acme".to_owned(),
        tenant_is_known: true,
        class: "c".to_owned(),
        query: format!("q{from}-1"),
        parts: 3,
        parts_served: 3,
        attempts: 4,
        work: 1250,
        outcome: Outcome::Complete,
        share: QuotaShare::WithinQuota,
    };
    let all = [
        acme.clone(),
        Entry {
            at: at + 2,
            query: format!("q{from}-2"),
            parts_served: 2,
            attempts: 5,
            work: 900,
            outcome: Outcome::Partial,
            share: QuotaShare::OverQuota,
            ..acme.clone()
        },
        Entry {
            at: at + 3,
            tenant: "zo\u{eb}, \"b\"".to_owned(),
            class: "slow".to_owned(),
            query: format!("q{from}-3"),
            parts: 0,
            parts_served: 0,
            attempts: 0,
            work: 0,
            outcome: Outcome::Rejected,
            ..acme.clone()
        },
        Entry {
            at: at + 4,
            tenant: "stranger".to_owned(),
            tenant_is_known: false,
            query: format!("q{from}-4"),
            parts_served: 1,
            attempts: 9,
            work: 700,
            outcome: Outcome::Failed,
            share: QuotaShare::OverQuota,
            ..acme.clone()
        },
        Entry {
            at: at + 5,
            tenant: String::new(),
            tenant_is_known: false,
            query: format!("q{from}-5"),
            parts: 200,
            parts_served: 0,
            attempts: 300,
            work: 0,
            outcome: Outcome::Expired,
            ..acme.clone()
        },
        Entry {
            at: at + 6,
            query: format!("q{from}-6"),
            parts: 2,
            parts_served: 2,
            attempts: 2,
            work: 500_000_000_000,
            outcome: Outcome::ClientDisconnected,
            share: QuotaShare::OverQuota,
            ..acme
        },
    ];
    all.into_iter().map(Record::Entry).collect()
}

fn gap() -> Gap {
    Gap { from: NOVEMBER + 10, to: NOVEMBER + 20, entries: 3, reason: "the queue was full".to_owned() }
}

/// The gap that the store records when the run before it has no end record.
fn gap_of_run() -> Gap {
    Gap {
        from: NOVEMBER + 400,
        to: DECEMBER + 3000,
        entries: 0,
        reason: "a run ended without a word; its last 50 ms may be missing".to_owned(),
    }
}

fn correction(number: i64) -> Correction {
    Correction {
        at: NOVEMBER + number * 100 - 70,
        id: format!("id-{number}"),
        tenant: "acme".to_owned(),
        class: "c".to_owned(),
        corrects: "2026-10".to_owned(),
        share: if number % 2 == 0 { QuotaShare::OverQuota } else { QuotaShare::WithinQuota },
        queries: -number,
        parts: 300 * number,
        work: -70_000 * number,
        by: "ops".to_owned(),
        why: format!("ticket {number}, \"twice\""),
    }
}

fn late() -> Entry {
    Entry {
        at: NOVEMBER + 400,
        tenant: "acme".to_owned(),
        tenant_is_known: true,
        class: "c".to_owned(),
        query: "late".to_owned(),
        parts: 3,
        parts_served: 3,
        attempts: 3,
        work: 1250,
        outcome: Outcome::Complete,
        share: QuotaShare::WithinQuota,
    }
}

fn exported(number: usize) -> [Record; 2] {
    let (name, format, hash, (after, upto), at) = EXPORTS[number];
    let intent = Record::ExportIntent {
        name: name.to_owned(),
        period: "2026-11".to_owned(),
        format: format.to_owned(),
        after,
        up_to: upto,
    };
    [intent, Record::ExportFinished { name: name.to_owned(), hash: hash.to_owned(), at: NOVEMBER + at }]
}

/// Records 1 to 33: the first segment.
fn first_segment() -> Vec<Record> {
    let mut all = vec![Record::Open { aggregator: "n0".to_owned(), epoch: 1, at: NOVEMBER }];
    all.extend(batch(0));
    all.push(Record::Gap(gap()));
    all.extend([1, 2].map(|n| Record::Correction(correction(n))));
    all.extend(exported(0));
    all.extend(batch(110));
    all.push(Record::Correction(correction(3)));
    all.extend(exported(1));
    all.extend(batch(210));
    all.push(Record::Correction(correction(4)));
    all.extend(exported(2));
    all.push(Record::Close { period: "2026-11".to_owned(), at: DECEMBER });
    all.push(Record::Entry(late()));
    all.push(Record::End { at: DECEMBER + 1000 });
    all
}

/// Records 34 to 36: the second segment.
fn second_segment() -> Vec<Record> {
    vec![
        Record::Open { aggregator: "n0".to_owned(), epoch: 2, at: DECEMBER + 2000 },
        Record::Gap(gap_of_run()),
        Record::Open { aggregator: "n0".to_owned(), epoch: 3, at: DECEMBER + 3000 },
    ]
}
// ---- Ledger: journal segments -----------------------------------------------------------------------------------

fn check_segment(name: &str, first: u64, expected: &[Record]) {
    let stored = bytes(&format!("ledger/{name}"));
    assert_eq!(stored[..8], *b"SMXLEDG\x01");
    let scanned = journal::scan(&stored, first, true).expect("undamaged");
    assert_eq!((scanned.readable_bytes, scanned.torn_bytes), (stored.len(), 0));
    let records: Vec<Record> = scanned.records.iter().map(|scanned| scanned.record.clone()).collect();
    assert_eq!(records, expected);
    assert!(scanned.records.iter().map(|scanned| scanned.sequence).eq((first..).take(expected.len())));
    // The length of the synced part stands in bytes 16 to 20 of each frame; `scan` does not return it.
    let mut encoded = journal::segment_header(first).to_vec();
    for (i, record) in expected.iter().enumerate() {
        let at = encoded.len() + 16;
        let synced = u32::from_le_bytes(stored[at..at + 4].try_into().expect("four bytes"));
        journal::encode(&mut encoded, first + i as u64, synced, record);
    }
    assert!(encoded == stored, "{name}: the encoding differs from the stored bytes");
}

#[test]
fn journal_segment_with_each_record_kind_outcome_and_share_decodes_and_reencodes() {
    check_segment(FIRST, 1, &first_segment());
}

#[test]
fn journal_segment_of_later_runs_with_a_gap_by_the_store_decodes_and_reencodes() {
    check_segment(SECOND, 34, &second_segment());
}

// ---- Ledger: snapshot -------------------------------------------------------------------------------------------

fn line(of: &str, account: Account, class: &str, share: QuotaShare) -> Line {
    Line { period: period(of), account, class: class.to_owned(), share }
}

/// Totals of records 1 to 33.
fn totals() -> Totals {
    let acme = || Account::Tenant("acme".to_owned());
    let zoe = Account::Tenant("zo\u{eb}, \"b\"".to_owned());
    let unknown = |name: &str| Account::Unknown(name.to_owned());
    // Queries, billed, rejected, failed, requested parts, parts, attempts, work, late.
    let sums = |[queries, billed, rejected, failed, asked, parts, attempts, work, late]: [u64; 9]| Sums {
        queries,
        billed,
        rejected,
        failed,
        requested_parts: asked,
        parts,
        attempts,
        work,
        late,
    };
    [
        (line("2026-11", acme(), "c", QuotaShare::WithinQuota), sums([3, 3, 0, 0, 9, 9, 12, 3750, 0])),
        (line("2026-11", acme(), "c", QuotaShare::OverQuota), sums([6, 3, 0, 3, 15, 6, 21, 2700, 0])),
        (line("2026-11", zoe, "slow", QuotaShare::WithinQuota), sums([3, 0, 3, 0, 0, 0, 0, 0, 0])),
        (line("2026-11", unknown(""), "c", QuotaShare::WithinQuota), sums([3, 0, 0, 3, 600, 0, 900, 0, 0])),
        (
            line("2026-11", unknown("stranger"), "c", QuotaShare::OverQuota),
            sums([3, 0, 0, 3, 9, 0, 27, 0, 0]),
        ),
        (line("2026-12", acme(), "c", QuotaShare::WithinQuota), sums([1, 1, 0, 0, 3, 3, 3, 1250, 1])),
    ]
    .into_iter()
    .collect()
}

fn begun(number: usize) -> ExportRecord {
    let (name, format, hash, range, _) = EXPORTS[number];
    ExportRecord {
        name: name.to_owned(),
        period: "2026-11".to_owned(),
        format: format.to_owned(),
        range: SequenceRange { after: range.0, up_to: range.1 },
        hash: Some(hash.to_owned()),
    }
}

#[test]
fn ledger_without_its_first_segment_is_read_from_the_stored_snapshot() {
    let dir = copied("ledger", &[SNAPSHOT, SECOND]);
    let mut read = Vec::new();
    let book = read_all(&RealDisk::open_read_only(&dir), &calendar(), |seq, record, _| {
        read.push((seq, record.clone()));
    })
    .expect("undamaged");
    // Only the records behind the snapshot are read one by one.
    assert_eq!(read, (34..).zip(second_segment()).collect::<Vec<_>>());
    assert_eq!(book.position(), BookPosition { sequence: 36, aggregator: "n0", epoch: 3 });
    assert_eq!(*book.totals(), totals());
    let november = period("2026-11");
    let corrections: Vec<_> = [9, 10, 19, 28]
        .into_iter()
        .zip(1..)
        .map(|(sequence, n)| BilledCorrection { sequence, billed_in: november, correction: correction(n) })
        .collect();
    assert_eq!(book.corrections(), corrections);
    assert_eq!(
        book.gaps(),
        [RecordedGap { sequence: 8, gap: gap() }, RecordedGap { sequence: 35, gap: gap_of_run() }]
    );
    assert_eq!(book.exports(), [begun(0), begun(1), begun(2)]);
    assert_eq!(book.state(november), PeriodState::Closed);
    assert_eq!(book.state(period("2026-12")), PeriodState::Open);
    // The last change of each period: none in November since its last export, one in December.
    assert_eq!(book.next_export(november, "csv"), None);
    let next = ExportRecord {
        name: "n0-e3-2026-12-0001".to_owned(),
        period: "2026-12".to_owned(),
        format: "csv".to_owned(),
        range: SequenceRange { after: 0, up_to: 36 },
        hash: None,
    };
    assert_eq!(book.next_export(period("2026-12"), "csv"), Some(next));
}

/// Opens a ledger so that its segment is sealed at once, which writes a snapshot.
fn seal(dir: &Path) {
    let options = Options { segment_bytes: 1, ..Options::default() };
    let disk = RealDisk::own(dir).expect("owned");
    Store::open(disk, calendar(), options, "n0", DECEMBER + 2000).expect("opened");
}

#[test]
fn snapshot_made_from_the_stored_segment_has_the_stored_bytes() {
    let dir = copied("ledger", &[FIRST]);
    seal(&dir);
    let made = fs::read(dir.join(SNAPSHOT)).expect("a snapshot");
    assert!(made == bytes(&format!("ledger/{SNAPSHOT}")), "the encoding differs from the stored bytes");
}

#[test]
fn snapshot_made_from_the_stored_snapshot_has_the_stored_bytes() {
    use std::os::unix::fs::MetadataExt;
    let dir = copied("ledger", &[SNAPSHOT]);
    fs::write(dir.join(SECOND), journal::segment_header(34)).expect("written");
    let path = dir.join(SNAPSHOT);
    // Held open, so that its inode number is not given to the new file.
    let old = fs::File::open(&path).expect("there");
    seal(&dir);
    let inodes = (old.metadata().expect("open").ino(), fs::metadata(&path).expect("there").ino());
    assert_ne!(inodes.0, inodes.1, "the snapshot was not written again");
    let made = fs::read(&path).expect("a snapshot");
    assert!(made == bytes(&format!("ledger/{SNAPSHOT}")), "the encoding differs from the stored bytes");
}

// ---- Ledger: exports --------------------------------------------------------------------------------------------

const COLUMNS: [&str; 15] = [
    "seq",
    "kind",
    "at_ms",
    "tenant",
    "known",
    "class",
    "query",
    "asked",
    "served",
    "attempts",
    "work_milliunits",
    "outcome",
    "share",
    "corrects",
    "note",
];

/// The rows of an export: a batch from a moment whose first record has a sequence number, then corrections.
fn rows(from: i64, first: u64, corrections: &[(u64, i64)]) -> Vec<Vec<Value>> {
    let at = |n: i64| NOVEMBER + from + n;
    let q = |n: u64| format!("q{from}-{n}");
    let zoe = "zo\u{eb}, \"b\"";
    #[rustfmt::skip]
    let mut rows = vec![
        json!([first, "entry", at(1), "acme", true, "c", q(1), 3, 3, 4, 1250, "whole", "within", "", ""]),
        json!([first + 1, "entry", at(2), "acme", true, "c", q(2), 3, 2, 5, 900, "partial", "beyond", "", ""]),
        json!([first + 2, "entry", at(3), zoe, true, "slow", q(3), 0, 0, 0, 0, "refused", "within", "", ""]),
        json!([first + 3, "entry", at(4), "stranger", false, "c", q(4), 3, 1, 9, 0, "failed", "beyond", "", ""]),
        json!([first + 4, "entry", at(5), "", false, "c", q(5), 200, 0, 300, 0, "expired", "within", "", ""]),
        json!([first + 5, "entry", at(6), "acme", true, "c", q(6), 2, 2, 2, 0, "gone", "beyond", "", ""]),
    ];
    for (seq, n) in corrections {
        let (moment, share) = (NOVEMBER + n * 100 - 70, if n % 2 == 0 { "beyond" } else { "within" });
        let note = format!("by ops: ticket {n}, \"twice\"");
        #[rustfmt::skip]
        rows.push(json!([
            seq, "correction", moment, "acme", true, "c", "", -n, 300 * n, 0, -70_000 * n, "correction", share,
            "2026-10", note
        ]));
    }
    rows.into_iter().map(|row| row.as_array().expect("an array").clone()).collect()
}

#[test]
fn csv_export_has_the_expected_rows() {
    let text = text("ledger/n0-e1-2026-11-0001.csv");
    let mut reader = csv::ReaderBuilder::new().has_headers(false).from_reader(text.as_bytes());
    let read: Vec<Vec<String>> =
        reader.records().map(|r| r.expect("a row").iter().map(str::to_owned).collect()).collect();
    let cell = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    let mut expected = vec![COLUMNS.map(str::to_owned).to_vec()];
    expected.extend(rows(0, 2, &[(9, 1), (10, 2)]).iter().map(|row| row.iter().map(cell).collect()));
    assert_eq!(read, expected);
}

#[test]
fn json_lines_export_has_the_expected_rows() {
    let text = text("ledger/n0-e1-2026-11-0002.jsonl");
    let read: Vec<Value> = text.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect();
    let object = |row: Vec<Value>| -> Value {
        Value::Object(COLUMNS.iter().map(|name| (*name).to_owned()).zip(row).collect())
    };
    let expected: Vec<Value> = rows(110, 13, &[(19, 3)]).into_iter().map(object).collect();
    assert_eq!(read, expected);
}

#[test]
fn arrow_export_has_the_expected_columns_and_rows() {
    use arrow_array::cast::AsArray;
    use arrow_array::types::{Int64Type, UInt64Type};
    use arrow_schema::DataType;
    let stored = std::io::Cursor::new(bytes("ledger/n0-e1-2026-11-0003.arrow"));
    let reader = arrow_ipc::reader::FileReader::try_new(stored, None).expect("Arrow");
    let batches: Vec<_> = reader.map(|batch| batch.expect("a batch")).collect();
    assert_eq!(batches.len(), 1);
    let schema = batches[0].schema();
    let fields: Vec<(&str, &DataType)> =
        schema.fields().iter().map(|f| (f.name().as_str(), f.data_type())).collect();
    let (unsigned, signed, text, truth) =
        (&DataType::UInt64, &DataType::Int64, &DataType::Utf8, &DataType::Boolean);
    let types = [
        unsigned, text, signed, text, truth, text, text, signed, signed, signed, signed, text, text, text,
        text,
    ];
    assert_eq!(fields, COLUMNS.into_iter().zip(types).collect::<Vec<_>>());
    let cell = |column: usize, row: usize| -> Value {
        let array = batches[0].column(column);
        assert_eq!(array.null_count(), 0);
        match array.data_type() {
            DataType::UInt64 => json!(array.as_primitive::<UInt64Type>().value(row)),
            DataType::Int64 => json!(array.as_primitive::<Int64Type>().value(row)),
            DataType::Boolean => json!(array.as_boolean().value(row)),
            _ => json!(array.as_string::<i32>().value(row)),
        }
    };
    let read: Vec<Vec<Value>> = (0..batches[0].num_rows())
        .map(|row| (0..COLUMNS.len()).map(|column| cell(column, row)).collect())
        .collect();
    assert_eq!(read, rows(210, 22, &[(28, 4)]));
}

#[test]
fn export_manifests_have_the_expected_content() {
    let row = |tenant: &str, class: &str, share: &str, [q, b, r, f, asked, p, a, w]: [u64; 8]| {
        json!({
            "period": "2026-11", "tenant": tenant, "class": class, "share": share, "queries": q, "billed": b,
            "refused": r, "failed": f, "asked": asked, "parts": p, "attempts": a, "work_milliunits": w, "late": 0,
        })
    };
    for ((name, _, hash, (after, upto), _), corrections) in EXPORTS.into_iter().zip([2, 1, 1]) {
        let read: Value = serde_json::from_str(&text(&format!("ledger/{name}.manifest.json"))).expect("JSON");
        let expected = json!({
            "name": name, "period": "2026-11", "after": after, "upto": upto, "entries": 6,
            "corrections": corrections, "sha256": hash,
            "totals": [
                row("acme", "c", "within", [1, 1, 0, 0, 3, 3, 4, 1250]),
                row("acme", "c", "beyond", [2, 1, 0, 1, 5, 2, 7, 900]),
                row("zo\u{eb}, \"b\"", "slow", "within", [1, 0, 1, 0, 0, 0, 0, 0]),
                row("(none)", "c", "within", [1, 0, 0, 1, 200, 0, 300, 0]),
                row("(unknown) stranger", "c", "beyond", [1, 0, 0, 1, 3, 0, 9, 0]),
            ],
        });
        assert_eq!(read, expected, "{name}");
    }
}

#[test]
fn exports_completed_from_the_stored_segment_have_the_stored_bytes() {
    let segment = bytes(&format!("ledger/{FIRST}"));
    let scanned = journal::scan(&segment, 1, true).expect("undamaged");
    for (name, format, ..) in EXPORTS {
        // The journal ends behind the record that the export was begun; opening the ledger completes it.
        let begun = |r: &Record| matches!(r, Record::ExportIntent { name: n, .. } if n == name);
        let end = &scanned.records.iter().find(|scanned| begun(&scanned.record)).expect("it was begun").end;
        let dir = scratch_dir("stored");
        fs::write(dir.join(FIRST), &segment[..*end]).expect("written");
        let disk = RealDisk::own(&dir).expect("owned");
        let (_, recovery) =
            Store::open(disk, calendar(), Options::default(), "n0", DECEMBER).expect("opened");
        assert_eq!(recovery.finished, 1, "{name}");
        for file in [format!("{name}.{format}"), format!("{name}.manifest.json")] {
            let made = fs::read(dir.join(&file)).expect("written");
            assert!(made == bytes(&format!("ledger/{file}")), "{file}: other bytes than the stored ones");
        }
    }
}

// ---- Ledger: commands -------------------------------------------------------------------------------------------

const EXPORT_FILES: [&str; 3] =
    ["n0-e1-2026-11-0001.csv", "n0-e1-2026-11-0002.jsonl", "n0-e1-2026-11-0003.arrow"];

fn whole_ledger() -> PathBuf {
    copied("ledger", &[&[FIRST, SECOND, SNAPSHOT], EXPORT_FILES.as_slice()].concat())
}

#[test]
fn ledger_verify_accepts_the_stored_exports_and_names_each_changed_one() {
    let dir = whole_ledger();
    let output = run(&["ledger", "verify"], &dir, &[]);
    assert!(output.status.success(), "{output:?}");
    let expected = format!(
        "{}: n0, 3 runs, records up to 36, 19 entries\n\
         record 8: gap      3 entries from {} to {}: the queue was full\n\
         record 35: gap      0 entries from {} to {}: a run ended without a word; its last 50 ms may be missing\n",
        dir.display(),
        NOVEMBER + 10,
        NOVEMBER + 20,
        NOVEMBER + 400,
        DECEMBER + 3000,
    );
    assert_eq!(out(&output), expected);
    for file in EXPORT_FILES {
        let dir = whole_ledger();
        let mut changed = bytes(&format!("ledger/{file}"));
        changed[20] ^= 1;
        fs::write(dir.join(file), changed).expect("written");
        let output = run(&["ledger", "verify"], &dir, &[]);
        let problem = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(output.status.code(), Some(1), "{problem}");
        assert!(problem.contains(file), "{problem}");
        assert!(EXPORT_FILES.iter().all(|f| *f == file || !problem.contains(f)), "{problem}");
    }
}

/// The totals of records 1 to 33 as the commands print them in JSON.
fn totals_in_json() -> Value {
    let row = |of: &str, tenant: &str, class: &str, share: &str, n: [u64; 9]| {
        json!({
            "period": of, "tenant": tenant, "class": class, "share": share, "queries": n[0], "billed": n[1],
            "refused": n[2], "failed": n[3], "asked": n[4], "parts": n[5], "attempts": n[6],
            "work_milliunits": n[7], "late": n[8],
        })
    };
    json!([
        row("2026-11", "acme", "c", "within", [3, 3, 0, 0, 9, 9, 12, 3750, 0]),
        row("2026-11", "acme", "c", "beyond", [6, 3, 0, 3, 15, 6, 21, 2700, 0]),
        row("2026-11", "zo\u{eb}, \"b\"", "slow", "within", [3, 0, 3, 0, 0, 0, 0, 0, 0]),
        row("2026-11", "(none)", "c", "within", [3, 0, 0, 3, 600, 0, 900, 0, 0]),
        row("2026-11", "(unknown) stranger", "c", "beyond", [3, 0, 0, 3, 9, 0, 27, 0, 0]),
        row("2026-12", "acme", "c", "within", [1, 1, 0, 0, 3, 3, 3, 1250, 1]),
    ])
}

#[test]
fn ledger_show_prints_the_stored_totals_and_corrections() {
    let output = run(&["ledger", "show"], &whole_ledger(), &["--json"]);
    let read: Value = serde_json::from_str(&out(&output)).expect("JSON");
    let row = |(n, seq): (i64, u64)| {
        json!({
            "seq": seq, "billed_in": "2026-11", "corrects": "2026-10", "tenant": "acme", "class": "c",
            "share": if n % 2 == 0 { "beyond" } else { "within" }, "queries": -n, "parts": 300 * n,
            "work_milliunits": -70_000 * n, "by": "ops", "why": format!("ticket {n}, \"twice\""),
            "at_ms": NOVEMBER + n * 100 - 70,
        })
    };
    let corrections: Vec<Value> = [(1, 9), (2, 10), (3, 19), (4, 28)].map(row).to_vec();
    assert_eq!(read, json!({ "totals": totals_in_json(), "corrections": corrections }));
}

#[test]
fn ledger_reconcile_reads_the_stored_segments() {
    let output = run(&["ledger", "reconcile"], &whole_ledger(), &["--json"]);
    let read: Value = serde_json::from_str(&out(&output)).expect("JSON");
    let row = |g: Gap| json!({ "mixer": "n0", "from": g.from, "to": g.to, "entries": g.entries, "reason": g.reason });
    let expected = json!({
        "complete": false, "entries": 19, "totals": totals_in_json(), "gaps": [row(gap()), row(gap_of_run())],
        "overlaps": [], "clocks": [], "met_at_two_mixers": 0,
    });
    assert_eq!(read, expected);
    assert_eq!(output.status.code(), Some(1), "gaps are recorded");
}

// ---- Ledger: requests and replies -------------------------------------------------------------------------------

const NOW: i64 = 1_796_256_005_000;

fn requests_of() -> [(&'static str, Request); 4] {
    let made = Correction {
        at: NOW,
        id: "id-5".to_owned(),
        tenant: "zo\u{eb}, \"b\"".to_owned(),
        class: "slow".to_owned(),
        corrects: "2026-11".to_owned(),
        share: QuotaShare::OverQuota,
        queries: -5,
        parts: 6,
        work: -7000,
        by: "ops".to_owned(),
        why: "line 1\nline 2".to_owned(),
    };
    [
        ("1", Request::Correct(made)),
        ("2", Request::Correct(Correction { at: NOW, id: "id-6".to_owned(), ..correction(1) })),
        ("3", Request::Export(period("2026-12"), Format::JsonLines)),
        ("4", Request::Close(period("2026-12"))),
    ]
}

#[test]
fn request_files_decode_and_reencode() {
    for (id, request) in requests_of() {
        let stored = text(&format!("requests/{}", request_name(id)));
        assert_eq!(Request::from_json(&stored, NOW), Ok(request.clone()), "{id}");
        assert_eq!(request.to_json(), stored, "{id}");
    }
}

#[test]
fn stored_requests_are_done_by_the_store_with_the_stored_replies() {
    let dir = whole_ledger();
    for (id, _) in requests_of() {
        fs::copy(stored("requests").join(request_name(id)), dir.join(request_name(id))).expect("copied");
    }
    let disk = RealDisk::own(&dir).expect("owned");
    let mut store = Store::open(disk, calendar(), Options::default(), "n0", NOW).expect("opened").0;
    assert_eq!(store.process_requests(NOW).expect("done"), 4);
    for (id, request) in requests_of() {
        let reply = fs::read_to_string(dir.join(reply_name(id))).expect("a reply");
        assert_eq!(reply, text(&format!("requests/{}", reply_name(id))), "{id}");
        assert!(!dir.join(request_name(id)).exists(), "request {id} is removed");
        if let Request::Correct(correction) = request {
            let of = |made: &BilledCorrection| (made.billed_in, made.correction.clone());
            let made: Vec<_> = store.book().corrections().iter().map(of).collect();
            assert!(made.contains(&(period("2026-12"), correction)), "{id}");
        }
    }
    let last = store.book().exports().last().cloned();
    assert_eq!(last.map(|e| (e.name, e.format)), Some(("n0-e4-2026-12-0001".into(), "jsonl".into())));
}

#[test]
fn stored_replies_are_read_by_the_command_that_asked() {
    let done = [
        ("1", Ok("correction 39, billed in 2026-12")),
        (
            "3",
            Ok(
                "n0-e4-2026-12-0001.jsonl  sha256 08ec8b44a6e5729406b6ee393570c80be23d81258beaba413577924a3f3e7436",
            ),
        ),
        ("4", Err("2026-12 is not over")),
    ];
    for (reply, words) in done {
        let dir = whole_ledger();
        // This process owns the ledger, so the command leaves its request as a file.
        let _owned = RealDisk::own(&dir).expect("owned");
        let command = Command::new(binary())
            .args(["ledger", "close"])
            .arg(&dir)
            .arg("2026-12")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let end = Instant::now() + WAIT_TIMEOUT;
        let id = loop {
            let names = fs::read_dir(&dir).expect("a folder").map(|e| e.expect("an entry").file_name());
            let ids = names.filter_map(|n| {
                Some(n.to_str()?.strip_prefix("request-")?.strip_suffix(".json")?.to_owned())
            });
            if let Some(id) = ids.into_iter().next() {
                break id;
            }
            assert!(Instant::now() < end, "no request came");
            sleep(Duration::from_millis(5));
        };
        let request = fs::read_to_string(dir.join(request_name(&id))).expect("a request");
        assert_eq!(request, text("requests/request-4.json"));
        let whole = dir.join("reply.tmp");
        fs::write(&whole, bytes(&format!("requests/{}", reply_name(reply)))).expect("written");
        fs::rename(&whole, dir.join(reply_name(&id))).expect("renamed");
        let output = command.wait_with_output().expect("it ends");
        let problem = String::from_utf8(output.stderr.clone()).expect("UTF-8");
        match words {
            Ok(words) => {
                assert_eq!(
                    (output.status.code(), out(&output)),
                    (Some(0), format!("{words}\n")),
                    "{problem}"
                );
            }
            Err(words) => {
                assert_eq!((output.status.code(), out(&output)), (Some(1), String::new()));
                assert!(problem.contains(words), "{problem}");
            }
        }
    }
}

// ---- Hot restart ------------------------------------------------------------------------------------------------

fn orders() -> Overrides {
    let node = |name: &str| OverrideSubject::LeafServer(name.into());
    [
        (
            OverrideSubject::Aggregator,
            Override { active: true, given_at: 1_796_256_000_000.0, active_since: 1_796_256_000_000.0 },
        ),
        (
            node("a"),
            Override { active: true, given_at: 1_796_256_000_123.5, active_since: 1_796_256_000_123.5 },
        ),
        (
            node("b \"\u{eb}\""),
            Override { active: false, given_at: 1_796_256_000_900.25, active_since: 1_796_256_000_100.0 },
        ),
    ]
    .into_iter()
    .collect()
}

fn words() -> [ProcessStatus; 2] {
    [
        ProcessStatus { ready: true, overrides_digest: u32::MAX },
        ProcessStatus { ready: false, overrides_digest: 7 },
    ]
}

/// The folder of mixer n0 at 127.0.0.1:7000, with the stored files in it.
fn shared_folder() -> (SharedDirectory, PathBuf) {
    let below = scratch_dir("stored");
    let folder = SharedDirectory::open(&below, "n0", "127.0.0.1:7000").expect("made");
    let dir = below.join("sailmux-24ae7d61");
    assert!(dir.is_dir(), "the folder has the name that version 0.1.0 gives it");
    for name in ["orders", "seat-0", "seat-1"] {
        fs::copy(stored("handover").join(name), dir.join(name)).expect("copied");
    }
    (folder, dir)
}

#[test]
fn orders_file_decodes_and_reencodes() {
    let stored = bytes("handover/orders");
    assert_eq!(snapshot::decode(&stored), Ok(orders()));
    assert!(snapshot::encode(&orders()) == stored, "the encoding differs from the stored bytes");
    assert_eq!(snapshot::digest(&orders()), 3_755_694_234);
}

#[test]
fn orders_file_is_read_from_the_folder_and_written_by_a_merge() {
    let (folder, dir) = shared_folder();
    assert_eq!(folder.read_overrides().expect("read"), StoredOverrides::Present(orders()));
    // Nothing new: the file stays.
    assert_eq!(
        folder.merge_overrides(&orders(), 0.0).expect("merged"),
        MergedOverrides { merged: orders(), found: StoredOverrides::Present(orders()) }
    );
    fs::remove_file(dir.join("orders")).expect("removed");
    assert_eq!(
        folder.merge_overrides(&orders(), 0.0).expect("merged"),
        MergedOverrides { merged: orders(), found: StoredOverrides::Missing }
    );
    assert!(fs::read(dir.join("orders")).expect("written") == bytes("handover/orders"));
}

#[test]
fn seat_files_of_live_processes_are_read_from_the_folder() {
    let (folder, dir) = shared_folder();
    assert_eq!(folder.siblings(None), [], "no seat is locked");
    let lock = |name: &str| {
        let file = fs::File::open(dir.join(name)).expect("there");
        file.lock().expect("locked");
        file
    };
    let _locked = ["seat-0", "seat-1"].map(lock);
    let [first, second] = words();
    let second = Sibling { slot: 1, status: Some(second) };
    assert_eq!(folder.siblings(None), [Sibling { slot: 0, status: Some(first) }, second.clone()]);
    assert_eq!(folder.siblings(Some(0)), [second]);
}

#[test]
fn seat_files_decode_and_are_written_with_the_stored_bytes() {
    let (folder, dir) = shared_folder();
    let mut seats = [0, 1].map(|_| folder.acquire_slot().expect("a file").expect("free"));
    for ((seat, word), name) in seats.iter_mut().zip(words()).zip(["seat-0", "seat-1"]) {
        let stored = text(&format!("handover/{name}"));
        assert_eq!(serde_json::from_str::<ProcessStatus>(stored.trim_end()).expect("JSON"), word);
        seat.publish(&word).expect("said");
        assert_eq!(fs::read_to_string(dir.join(name)).expect("written"), stored);
    }
}

// ---- Inventory --------------------------------------------------------------------------------------------------

fn nodes(numbers: &[u32]) -> String {
    let row = |i: &u32| format!("s0{i},127.0.0.1:{},z,{},1,ready\n", i + 1, i % 3);
    format!("name,address,zone,cell,weight,state\n{}", numbers.iter().map(row).collect::<String>())
}

#[test]
fn confirmation_file_is_written_with_the_stored_bytes() {
    let dir = copied("inventory", &["nodes.csv"]);
    assert_eq!(text("inventory/nodes.csv"), nodes(&[0, 1, 2]));
    let path = dir.join("nodes.csv");
    let output = run(&["inventory", "confirm"], &path, &[]);
    assert!(output.status.success(), "{output:?}");
    let expected = format!("{}.confirm: list 95f1a861b4777089 of 3 nodes is confirmed\n", path.display());
    assert_eq!(out(&output), expected);
    let made = fs::read_to_string(dir.join("nodes.csv.confirm")).expect("written");
    assert_eq!(made, text("inventory/nodes.csv.confirm"));
    assert_eq!(made, "95f1a861b4777089\n");
}

#[test]
fn stored_confirmation_file_makes_a_mixer_take_the_list_that_it_holds_back() {
    let dir = scratch_dir("stored");
    let path = dir.join("nodes.csv");
    let place = |name: &str, content: &[u8]| {
        let whole = dir.join("whole.tmp");
        fs::write(&whole, content).expect("written");
        fs::rename(&whole, dir.join(name)).expect("renamed");
    };
    place("nodes.csv", nodes(&[0, 1, 2, 3, 4, 5, 6, 7, 8]).as_bytes());
    let operator = format!("inventory:\n  file: {}\n", path.display());
    let mut mixer = Setup { operator: Some(operator), ..Setup::new(&[]) }.start();
    place("nodes.csv", &bytes("inventory/nodes.csv"));
    let line = mixer.wait_for_new_log("list held back");
    assert!(line.contains("6 of 9 nodes would be lost at once"), "{line}");
    place("nodes.csv.confirm", &bytes("inventory/nodes.csv.confirm"));
    let line = mixer.wait_for_new_log("confirmed=true");
    assert!(line.contains("nodes=3") && line.contains("gone=6"), "{line}");
    assert!(!dir.join("nodes.csv.confirm").exists(), "a confirmation is read once");
}
