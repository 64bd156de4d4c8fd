//! Compatibility of stored formats. The files under `tests/fixtures/stored` were written by version 0.1.0. The tests
//! read them with the current code, compare the decoded content with literal values, and compare a new encoding of that
//! content with the stored bytes.

mod common;

use common::process::{Setup, WAIT_TIMEOUT, binary, scratch_dir};
use sailmux::hot_restart::{
    MergedOverrides, Override, OverrideSubject, Overrides, ProcessStatus, SharedDirectory, Sibling,
    StoredOverrides, snapshot,
};
use sailmux::ledger::{
    Account, BilledCorrection, BillingLine, BookPosition, Calendar, Correction, Entry, ExportRecord, Format,
    Gap, Options, Outcome, Period, PeriodState, QuotaShare, RealDisk, Record, RecordedGap, Request,
    SequenceRange, Store, Totals, Usage, journal, read_all, reply_file_name, request_file_name,
};
use serde_json::{Value, json};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

// ---- Files ----------------------------------------------------------------------------------------------------

fn stored_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored").join(name)
}

fn stored_bytes(name: &str) -> Vec<u8> {
    fs::read(stored_path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn stored_text(name: &str) -> String {
    String::from_utf8(stored_bytes(name)).expect("UTF-8")
}

/// Copies stored files to a temporary directory.
fn copy_to_scratch_dir(from: &str, names: &[&str]) -> PathBuf {
    let dir = scratch_dir("stored");
    for name in names {
        fs::write(dir.join(name), stored_bytes(&format!("{from}/{name}"))).expect("written");
    }
    dir
}

fn run(arguments: &[&str], path: &Path, options: &[&str]) -> Output {
    Command::new(binary()).args(arguments).arg(path).args(options).output().expect("command runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

// ---- Ledger: expected content -----------------------------------------------------------------------------------

/// 2026-11-15T00:00:00Z.
const NOVEMBER_MS: i64 = 1_794_700_800_000;
/// 2026-12-03T00:00:00Z.
const DECEMBER_MS: i64 = 1_796_256_000_000;

const FIRST_SEGMENT: &str = "seg-00000000000000000001.log";
const SECOND_SEGMENT: &str = "seg-00000000000000000034.log";
const SNAPSHOT: &str = "snap-00000000000000000033.bin";
type ExportFields = (&'static str, &'static str, &'static str, (u64, u64), i64);

/// Name, format, SHA-256, range of sequence numbers, and time in milliseconds after `NOVEMBER_MS` of each export.
const EXPORTS: [ExportFields; 3] = [
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
    Calendar::new("Asia/Taipei").expect("valid time zone")
}

fn period(text: &str) -> Period {
    text.parse().expect("valid period")
}

/// One entry of each outcome, with both quota shares and with known and unknown tenants.
#[allow(clippy::too_many_lines, reason = "one literal record after another")]
fn entries(offset_ms: i64) -> Vec<Record> {
    let at = NOVEMBER_MS + offset_ms;
    let acme = Entry {
        at: at + 1,
        tenant: "acme".to_owned(),
        tenant_is_known: true,
        class: "c".to_owned(),
        query: format!("q{offset_ms}-1"),
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
            query: format!("q{offset_ms}-2"),
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
            query: format!("q{offset_ms}-3"),
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
            query: format!("q{offset_ms}-4"),
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
            query: format!("q{offset_ms}-5"),
            parts: 200,
            parts_served: 0,
            attempts: 300,
            work: 0,
            outcome: Outcome::Expired,
            ..acme.clone()
        },
        Entry {
            at: at + 6,
            query: format!("q{offset_ms}-6"),
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
    Gap { from: NOVEMBER_MS + 10, to: NOVEMBER_MS + 20, entries: 3, reason: "the queue was full".to_owned() }
}

/// The gap that the store records if the previous run has no end record.
fn gap_of_killed_run() -> Gap {
    Gap {
        from: NOVEMBER_MS + 400,
        to: DECEMBER_MS + 3000,
        entries: 0,
        reason: "a run ended without a word; its last 50 ms may be missing".to_owned(),
    }
}

fn correction(number: i64) -> Correction {
    Correction {
        at: NOVEMBER_MS + number * 100 - 70,
        id: format!("id-{number}"),
        tenant: "acme".to_owned(),
        class: "c".to_owned(),
        corrected_period: "2026-10".to_owned(),
        share: if number % 2 == 0 { QuotaShare::OverQuota } else { QuotaShare::WithinQuota },
        queries: -number,
        parts: 300 * number,
        work: -70_000 * number,
        author: "ops".to_owned(),
        reason: format!("ticket {number}, \"twice\""),
    }
}

fn late_entry() -> Entry {
    Entry {
        at: NOVEMBER_MS + 400,
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

fn export_records(number: usize) -> [Record; 2] {
    let (name, format, hash, (after, last), at) = EXPORTS[number];
    let intent = Record::ExportIntent {
        name: name.to_owned(),
        period: "2026-11".to_owned(),
        format: format.to_owned(),
        after,
        up_to: last,
    };
    [intent, Record::ExportFinished { name: name.to_owned(), hash: hash.to_owned(), at: NOVEMBER_MS + at }]
}

/// Records 1 to 33: the first segment.
fn first_segment() -> Vec<Record> {
    let mut all = vec![Record::Open { aggregator: "n0".to_owned(), epoch: 1, at: NOVEMBER_MS }];
    all.extend(entries(0));
    all.push(Record::Gap(gap()));
    all.extend([1, 2].map(|n| Record::Correction(correction(n))));
    all.extend(export_records(0));
    all.extend(entries(110));
    all.push(Record::Correction(correction(3)));
    all.extend(export_records(1));
    all.extend(entries(210));
    all.push(Record::Correction(correction(4)));
    all.extend(export_records(2));
    all.push(Record::Close { period: "2026-11".to_owned(), at: DECEMBER_MS });
    all.push(Record::Entry(late_entry()));
    all.push(Record::End { at: DECEMBER_MS + 1000 });
    all
}

/// Records 34 to 36: the second segment.
fn second_segment() -> Vec<Record> {
    vec![
        Record::Open { aggregator: "n0".to_owned(), epoch: 2, at: DECEMBER_MS + 2000 },
        Record::Gap(gap_of_killed_run()),
        Record::Open { aggregator: "n0".to_owned(), epoch: 3, at: DECEMBER_MS + 3000 },
    ]
}
// ---- Ledger: journal segments -----------------------------------------------------------------------------------

fn check_segment(name: &str, first: u64, expected: &[Record]) {
    let stored = stored_bytes(&format!("ledger/{name}"));
    assert_eq!(stored[..8], *b"SMXLEDG\x01");
    let scanned = journal::scan(&stored, first, true).expect("undamaged");
    assert_eq!((scanned.readable_bytes, scanned.torn_bytes), (stored.len(), 0));
    let records: Vec<Record> = scanned.records.iter().map(|scanned| scanned.record.clone()).collect();
    assert_eq!(records, expected);
    assert!(scanned.records.iter().map(|scanned| scanned.sequence).eq((first..).take(expected.len())));
    // Bytes 16 to 19 of each frame hold the synced length, which `scan` does not return.
    let mut encoded = journal::segment_header(first).to_vec();
    for (i, record) in expected.iter().enumerate() {
        let offset = encoded.len() + 16;
        let synced = u32::from_le_bytes(stored[offset..offset + 4].try_into().expect("four bytes"));
        journal::encode(&mut encoded, first + i as u64, synced, record);
    }
    assert!(encoded == stored, "{name}: the encoding differs from the stored bytes");
}

#[test]
fn journal_segment_with_each_record_kind_outcome_and_share_decodes_and_reencodes() {
    check_segment(FIRST_SEGMENT, 1, &first_segment());
}

#[test]
fn journal_segment_of_later_runs_with_a_gap_by_the_store_decodes_and_reencodes() {
    check_segment(SECOND_SEGMENT, 34, &second_segment());
}

// ---- Ledger: snapshot -------------------------------------------------------------------------------------------

fn line(month: &str, account: Account, class: &str, share: QuotaShare) -> BillingLine {
    BillingLine { period: period(month), account, class: class.to_owned(), share }
}

/// Totals of records 1 to 33.
fn totals() -> Totals {
    let acme = || Account::Tenant("acme".to_owned());
    let zoe = Account::Tenant("zo\u{eb}, \"b\"".to_owned());
    let unknown = |name: &str| Account::Unknown(name.to_owned());
    // Queries, billed, rejected, failed, requested parts, parts, attempts, work, late.
    let usage = |[queries, billed, rejected, failed, requested, parts, attempts, work, late]: [u64; 9]| {
        Usage { queries, billed, rejected, failed, requested_parts: requested, parts, attempts, work, late }
    };
    [
        (line("2026-11", acme(), "c", QuotaShare::WithinQuota), usage([3, 3, 0, 0, 9, 9, 12, 3750, 0])),
        (line("2026-11", acme(), "c", QuotaShare::OverQuota), usage([6, 3, 0, 3, 15, 6, 21, 2700, 0])),
        (line("2026-11", zoe, "slow", QuotaShare::WithinQuota), usage([3, 0, 3, 0, 0, 0, 0, 0, 0])),
        (line("2026-11", unknown(""), "c", QuotaShare::WithinQuota), usage([3, 0, 0, 3, 600, 0, 900, 0, 0])),
        (
            line("2026-11", unknown("stranger"), "c", QuotaShare::OverQuota),
            usage([3, 0, 0, 3, 9, 0, 27, 0, 0]),
        ),
        (line("2026-12", acme(), "c", QuotaShare::WithinQuota), usage([1, 1, 0, 0, 3, 3, 3, 1250, 1])),
    ]
    .into_iter()
    .collect()
}

fn export_record(number: usize) -> ExportRecord {
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
    let dir = copy_to_scratch_dir("ledger", &[SNAPSHOT, SECOND_SEGMENT]);
    let mut read = Vec::new();
    let book = read_all(&RealDisk::open_read_only(&dir), &calendar(), |sequence, record, _| {
        read.push((sequence, record.clone()));
    })
    .expect("undamaged");
    // Only the records after the snapshot are read from a segment.
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
        [RecordedGap { sequence: 8, gap: gap() }, RecordedGap { sequence: 35, gap: gap_of_killed_run() }]
    );
    assert_eq!(book.exports(), [export_record(0), export_record(1), export_record(2)]);
    assert_eq!(book.period_state(november), PeriodState::Closed);
    assert_eq!(book.period_state(period("2026-12")), PeriodState::Open);
    // November has not changed since its last export; December has.
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

/// Opens a ledger with a segment size that seals its segment immediately, which writes a snapshot.
fn seal_segment(dir: &Path) {
    let options = Options { segment_bytes: 1, ..Options::default() };
    let disk = RealDisk::own(dir).expect("locked");
    Store::open(disk, calendar(), options, "n0", DECEMBER_MS + 2000).expect("opened");
}

#[test]
fn snapshot_made_from_the_stored_segment_has_the_stored_bytes() {
    let dir = copy_to_scratch_dir("ledger", &[FIRST_SEGMENT]);
    seal_segment(&dir);
    let written = fs::read(dir.join(SNAPSHOT)).expect("snapshot exists");
    assert!(
        written == stored_bytes(&format!("ledger/{SNAPSHOT}")),
        "the encoding differs from the stored bytes"
    );
}

#[test]
fn snapshot_made_from_the_stored_snapshot_has_the_stored_bytes() {
    use std::os::unix::fs::MetadataExt;
    let dir = copy_to_scratch_dir("ledger", &[SNAPSHOT]);
    fs::write(dir.join(SECOND_SEGMENT), journal::segment_header(34)).expect("written");
    let path = dir.join(SNAPSHOT);
    // Kept open, so that its inode number is not reused for the new file.
    let old_file = fs::File::open(&path).expect("file exists");
    seal_segment(&dir);
    let inodes = (old_file.metadata().expect("metadata").ino(), fs::metadata(&path).expect("metadata").ino());
    assert_ne!(inodes.0, inodes.1, "the snapshot was not written again");
    let written = fs::read(&path).expect("snapshot exists");
    assert!(
        written == stored_bytes(&format!("ledger/{SNAPSHOT}")),
        "the encoding differs from the stored bytes"
    );
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

/// The expected rows of an export: the entries at a time offset, whose first record has the sequence number `first`,
/// and corrections.
fn rows(offset_ms: i64, first: u64, corrections: &[(u64, i64)]) -> Vec<Vec<Value>> {
    let at = |n: i64| NOVEMBER_MS + offset_ms + n;
    let q = |n: u64| format!("q{offset_ms}-{n}");
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
    for (sequence, n) in corrections {
        let (at_ms, share) = (NOVEMBER_MS + n * 100 - 70, if n % 2 == 0 { "beyond" } else { "within" });
        let note = format!("by ops: ticket {n}, \"twice\"");
        #[rustfmt::skip]
        rows.push(json!([
            sequence, "correction", at_ms, "acme", true, "c", "", -n, 300 * n, 0, -70_000 * n, "correction", share,
            "2026-10", note
        ]));
    }
    rows.into_iter().map(|row| row.as_array().expect("array").clone()).collect()
}

#[test]
fn csv_export_has_the_expected_rows() {
    let text = stored_text("ledger/n0-e1-2026-11-0001.csv");
    let mut reader = csv::ReaderBuilder::new().has_headers(false).from_reader(text.as_bytes());
    let read: Vec<Vec<String>> =
        reader.records().map(|row| row.expect("valid row").iter().map(str::to_owned).collect()).collect();
    let cell = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut expected = vec![COLUMNS.map(str::to_owned).to_vec()];
    expected.extend(rows(0, 2, &[(9, 1), (10, 2)]).iter().map(|row| row.iter().map(cell).collect()));
    assert_eq!(read, expected);
}

#[test]
fn json_lines_export_has_the_expected_rows() {
    let text = stored_text("ledger/n0-e1-2026-11-0002.jsonl");
    let read: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
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
    let stored = std::io::Cursor::new(stored_bytes("ledger/n0-e1-2026-11-0003.arrow"));
    let reader = arrow_ipc::reader::FileReader::try_new(stored, None).expect("valid Arrow file");
    let batches: Vec<_> = reader.map(|batch| batch.expect("valid batch")).collect();
    assert_eq!(batches.len(), 1);
    let schema = batches[0].schema();
    let fields: Vec<(&str, &DataType)> =
        schema.fields().iter().map(|field| (field.name().as_str(), field.data_type())).collect();
    let (unsigned, signed, text, boolean) =
        (&DataType::UInt64, &DataType::Int64, &DataType::Utf8, &DataType::Boolean);
    let types = [
        unsigned, text, signed, text, boolean, text, text, signed, signed, signed, signed, text, text, text,
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
    for ((name, _, hash, (after, up_to), _), corrections) in EXPORTS.into_iter().zip([2, 1, 1]) {
        let read: Value =
            serde_json::from_str(&stored_text(&format!("ledger/{name}.manifest.json"))).expect("JSON");
        let expected = json!({
            "name": name, "period": "2026-11", "after": after, "upto": up_to, "entries": 6,
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
    let segment = stored_bytes(&format!("ledger/{FIRST_SEGMENT}"));
    let scanned = journal::scan(&segment, 1, true).expect("undamaged");
    for (name, format, ..) in EXPORTS {
        // The journal ends after the export's intent; opening the ledger completes the export.
        let is_intent =
            |record: &Record| matches!(record, Record::ExportIntent { name: export, .. } if export == name);
        let end = &scanned
            .records
            .iter()
            .find(|scanned| is_intent(&scanned.record))
            .expect("the export has an intent")
            .end;
        let dir = scratch_dir("stored");
        fs::write(dir.join(FIRST_SEGMENT), &segment[..*end]).expect("written");
        let disk = RealDisk::own(&dir).expect("locked");
        let (_, recovery) =
            Store::open(disk, calendar(), Options::default(), "n0", DECEMBER_MS).expect("opened");
        assert_eq!(recovery.completed_exports, 1, "{name}");
        for file in [format!("{name}.{format}"), format!("{name}.manifest.json")] {
            let written = fs::read(dir.join(&file)).expect("written");
            assert!(
                written == stored_bytes(&format!("ledger/{file}")),
                "{file}: the content differs from the stored bytes"
            );
        }
    }
}

// ---- Ledger: commands -------------------------------------------------------------------------------------------

const EXPORT_FILES: [&str; 3] =
    ["n0-e1-2026-11-0001.csv", "n0-e1-2026-11-0002.jsonl", "n0-e1-2026-11-0003.arrow"];

fn complete_ledger() -> PathBuf {
    copy_to_scratch_dir(
        "ledger",
        &[&[FIRST_SEGMENT, SECOND_SEGMENT, SNAPSHOT], EXPORT_FILES.as_slice()].concat(),
    )
}

#[test]
fn ledger_verify_accepts_the_stored_exports_and_names_each_changed_one() {
    let dir = complete_ledger();
    let output = run(&["ledger", "verify"], &dir, &[]);
    assert!(output.status.success(), "{output:?}");
    let expected = format!(
        "{}: n0, 3 runs, records up to 36, 19 entries\n\
         record 8: gap      3 entries from {} to {}: the queue was full\n\
         record 35: gap      0 entries from {} to {}: a run ended without a word; its last 50 ms may be missing\n",
        dir.display(),
        NOVEMBER_MS + 10,
        NOVEMBER_MS + 20,
        NOVEMBER_MS + 400,
        DECEMBER_MS + 3000,
    );
    assert_eq!(stdout(&output), expected);
    for file in EXPORT_FILES {
        let dir = complete_ledger();
        let mut changed = stored_bytes(&format!("ledger/{file}"));
        changed[20] ^= 1;
        fs::write(dir.join(file), changed).expect("written");
        let output = run(&["ledger", "verify"], &dir, &[]);
        let stderr = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.contains(file), "{stderr}");
        assert!(EXPORT_FILES.iter().all(|other| *other == file || !stderr.contains(other)), "{stderr}");
    }
}

/// The totals of records 1 to 33 as commands print them in JSON.
fn totals_in_json() -> Value {
    let row = |period: &str, tenant: &str, class: &str, share: &str, n: [u64; 9]| {
        json!({
            "period": period, "tenant": tenant, "class": class, "share": share, "queries": n[0], "billed": n[1],
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
    let output = run(&["ledger", "show"], &complete_ledger(), &["--json"]);
    let read: Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    let row = |(n, sequence): (i64, u64)| {
        json!({
            "seq": sequence, "billed_in": "2026-11", "corrects": "2026-10", "tenant": "acme", "class": "c",
            "share": if n % 2 == 0 { "beyond" } else { "within" }, "queries": -n, "parts": 300 * n,
            "work_milliunits": -70_000 * n, "by": "ops", "why": format!("ticket {n}, \"twice\""),
            "at_ms": NOVEMBER_MS + n * 100 - 70,
        })
    };
    let corrections: Vec<Value> = [(1, 9), (2, 10), (3, 19), (4, 28)].map(row).to_vec();
    assert_eq!(read, json!({ "totals": totals_in_json(), "corrections": corrections }));
}

#[test]
fn ledger_reconcile_reads_the_stored_segments() {
    let output = run(&["ledger", "reconcile"], &complete_ledger(), &["--json"]);
    let read: Value = serde_json::from_str(&stdout(&output)).expect("JSON");
    let row = |gap: Gap| json!({ "mixer": "n0", "from": gap.from, "to": gap.to, "entries": gap.entries, "reason": gap.reason });
    let expected = json!({
        "complete": false, "entries": 19, "totals": totals_in_json(), "gaps": [row(gap()), row(gap_of_killed_run())],
        "overlaps": [], "clocks": [], "met_at_two_mixers": 0,
    });
    assert_eq!(read, expected);
    assert_eq!(output.status.code(), Some(1), "gaps are recorded");
}

// ---- Ledger: requests and replies -------------------------------------------------------------------------------

/// 2026-12-03T00:00:05Z.
const NOW_MS: i64 = 1_796_256_005_000;

fn requests() -> [(&'static str, Request); 4] {
    let correction_5 = Correction {
        at: NOW_MS,
        id: "id-5".to_owned(),
        tenant: "zo\u{eb}, \"b\"".to_owned(),
        class: "slow".to_owned(),
        corrected_period: "2026-11".to_owned(),
        share: QuotaShare::OverQuota,
        queries: -5,
        parts: 6,
        work: -7000,
        author: "ops".to_owned(),
        reason: "line 1\nline 2".to_owned(),
    };
    [
        ("1", Request::Correct(correction_5)),
        ("2", Request::Correct(Correction { at: NOW_MS, id: "id-6".to_owned(), ..correction(1) })),
        ("3", Request::Export(period("2026-12"), Format::JsonLines)),
        ("4", Request::Close(period("2026-12"))),
    ]
}

#[test]
fn request_files_decode_and_reencode() {
    for (id, request) in requests() {
        let stored = stored_text(&format!("requests/{}", request_file_name(id)));
        assert_eq!(Request::from_json(&stored, NOW_MS), Ok(request.clone()), "{id}");
        assert_eq!(request.to_json(), stored, "{id}");
    }
}

#[test]
fn stored_requests_are_processed_with_the_stored_replies() {
    let dir = complete_ledger();
    for (id, _) in requests() {
        fs::copy(stored_path("requests").join(request_file_name(id)), dir.join(request_file_name(id)))
            .expect("copied");
    }
    let disk = RealDisk::own(&dir).expect("locked");
    let mut store = Store::open(disk, calendar(), Options::default(), "n0", NOW_MS).expect("opened").0;
    assert_eq!(store.process_requests(NOW_MS).expect("processed"), 4);
    for (id, request) in requests() {
        let reply = fs::read_to_string(dir.join(reply_file_name(id))).expect("reply file exists");
        assert_eq!(reply, stored_text(&format!("requests/{}", reply_file_name(id))), "{id}");
        assert!(!dir.join(request_file_name(id)).exists(), "request {id} is removed");
        if let Request::Correct(correction) = request {
            let period_and_correction =
                |billed: &BilledCorrection| (billed.billed_in, billed.correction.clone());
            let corrections: Vec<_> = store.book().corrections().iter().map(period_and_correction).collect();
            assert!(corrections.contains(&(period("2026-12"), correction)), "{id}");
        }
    }
    let last = store.book().exports().last().cloned();
    assert_eq!(
        last.map(|export| (export.name, export.format)),
        Some(("n0-e4-2026-12-0001".into(), "jsonl".into()))
    );
}

#[test]
fn stored_replies_are_read_by_the_requesting_command() {
    let replies = [
        ("1", Ok("correction 39, billed in 2026-12")),
        (
            "3",
            Ok(
                "n0-e4-2026-12-0001.jsonl  sha256 08ec8b44a6e5729406b6ee393570c80be23d81258beaba413577924a3f3e7436",
            ),
        ),
        ("4", Err("2026-12 is not over")),
    ];
    for (reply, expected) in replies {
        let dir = complete_ledger();
        // This process owns the ledger, so the command writes its request to a file.
        let _lock = RealDisk::own(&dir).expect("locked");
        let command = Command::new(binary())
            .args(["ledger", "close"])
            .arg(&dir)
            .arg("2026-12")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("command starts");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let id = loop {
            let names = fs::read_dir(&dir)
                .expect("directory is readable")
                .map(|entry| entry.expect("directory entry").file_name());
            let ids = names.filter_map(|name| {
                Some(name.to_str()?.strip_prefix("request-")?.strip_suffix(".json")?.to_owned())
            });
            if let Some(id) = ids.into_iter().next() {
                break id;
            }
            assert!(Instant::now() < deadline, "no request file was written");
            sleep(Duration::from_millis(5));
        };
        let request = fs::read_to_string(dir.join(request_file_name(&id))).expect("request file");
        assert_eq!(request, stored_text("requests/request-4.json"));
        let temporary = dir.join("reply.tmp");
        fs::write(&temporary, stored_bytes(&format!("requests/{}", reply_file_name(reply))))
            .expect("written");
        fs::rename(&temporary, dir.join(reply_file_name(&id))).expect("renamed");
        let output = command.wait_with_output().expect("process exits");
        let stderr = String::from_utf8(output.stderr.clone()).expect("UTF-8");
        match expected {
            Ok(message) => {
                assert_eq!(
                    (output.status.code(), stdout(&output)),
                    (Some(0), format!("{message}\n")),
                    "{stderr}"
                );
            }
            Err(message) => {
                assert_eq!((output.status.code(), stdout(&output)), (Some(1), String::new()));
                assert!(stderr.contains(message), "{stderr}");
            }
        }
    }
}

// ---- Hot restart ------------------------------------------------------------------------------------------------

fn overrides() -> Overrides {
    let leaf_server = |name: &str| OverrideSubject::LeafServer(name.into());
    [
        (
            OverrideSubject::Aggregator,
            Override { active: true, given_at: 1_796_256_000_000.0, active_since: 1_796_256_000_000.0 },
        ),
        (
            leaf_server("a"),
            Override { active: true, given_at: 1_796_256_000_123.5, active_since: 1_796_256_000_123.5 },
        ),
        (
            leaf_server("b \"\u{eb}\""),
            Override { active: false, given_at: 1_796_256_000_900.25, active_since: 1_796_256_000_100.0 },
        ),
    ]
    .into_iter()
    .collect()
}

fn statuses() -> [ProcessStatus; 2] {
    [
        ProcessStatus { ready: true, overrides_digest: u32::MAX },
        ProcessStatus { ready: false, overrides_digest: 7 },
    ]
}

/// The shared directory of aggregator n0 at 127.0.0.1:7000, with copies of the stored files.
fn shared_directory() -> (SharedDirectory, PathBuf) {
    let parent = scratch_dir("stored");
    let shared = SharedDirectory::open(&parent, "n0", "127.0.0.1:7000").expect("created");
    let dir = parent.join("sailmux-24ae7d61");
    assert!(dir.is_dir(), "the directory has the same name as in version 0.1.0");
    for name in ["orders", "seat-0", "seat-1"] {
        fs::copy(stored_path("handover").join(name), dir.join(name)).expect("copied");
    }
    (shared, dir)
}

#[test]
fn overrides_file_decodes_and_reencodes() {
    let stored = stored_bytes("handover/orders");
    assert_eq!(snapshot::decode(&stored), Ok(overrides()));
    assert!(snapshot::encode(&overrides()) == stored, "the encoding differs from the stored bytes");
    assert_eq!(snapshot::digest(&overrides()), 3_755_694_234);
}

#[test]
fn overrides_file_is_read_from_the_shared_directory_and_written_by_a_merge() {
    let (shared, dir) = shared_directory();
    assert_eq!(shared.read_overrides().expect("read"), StoredOverrides::Present(overrides()));
    // A merge without changes keeps the file.
    assert_eq!(
        shared.merge_overrides(&overrides(), 0.0).expect("merged"),
        MergedOverrides { merged: overrides(), found: StoredOverrides::Present(overrides()) }
    );
    fs::remove_file(dir.join("orders")).expect("removed");
    assert_eq!(
        shared.merge_overrides(&overrides(), 0.0).expect("merged"),
        MergedOverrides { merged: overrides(), found: StoredOverrides::Missing }
    );
    assert!(fs::read(dir.join("orders")).expect("written") == stored_bytes("handover/orders"));
}

#[test]
fn status_files_of_running_processes_are_read_from_the_shared_directory() {
    let (shared, dir) = shared_directory();
    assert_eq!(shared.siblings(None), [], "no process slot is locked");
    let lock = |name: &str| {
        let file = fs::File::open(dir.join(name)).expect("file exists");
        file.lock().expect("locked");
        file
    };
    let _locks = ["seat-0", "seat-1"].map(lock);
    let [first, second] = statuses();
    let second = Sibling { slot: 1, status: Some(second) };
    assert_eq!(shared.siblings(None), [Sibling { slot: 0, status: Some(first) }, second.clone()]);
    assert_eq!(shared.siblings(Some(0)), [second]);
}

#[test]
fn status_files_decode_and_are_written_with_the_stored_bytes() {
    let (shared, dir) = shared_directory();
    let mut slots = [0, 1].map(|_| shared.acquire_slot().expect("slot file").expect("a free slot"));
    for ((slot, status), name) in slots.iter_mut().zip(statuses()).zip(["seat-0", "seat-1"]) {
        let stored = stored_text(&format!("handover/{name}"));
        assert_eq!(serde_json::from_str::<ProcessStatus>(stored.trim_end()).expect("JSON"), status);
        slot.publish(&status).expect("published");
        assert_eq!(fs::read_to_string(dir.join(name)).expect("written"), stored);
    }
}

// ---- Inventory --------------------------------------------------------------------------------------------------

fn inventory(numbers: &[u32]) -> String {
    let row = |number: &u32| format!("s0{number},127.0.0.1:{},z,{},1,ready\n", number + 1, number % 3);
    format!("name,address,zone,cell,weight,state\n{}", numbers.iter().map(row).collect::<String>())
}

#[test]
fn confirmation_file_is_written_with_the_stored_bytes() {
    let dir = copy_to_scratch_dir("inventory", &["nodes.csv"]);
    assert_eq!(stored_text("inventory/nodes.csv"), inventory(&[0, 1, 2]));
    let path = dir.join("nodes.csv");
    let output = run(&["inventory", "confirm"], &path, &[]);
    assert!(output.status.success(), "{output:?}");
    let expected =
        format!("{}.confirm: list 95f1a861b4777089 of 3 leaf servers is confirmed\n", path.display());
    assert_eq!(stdout(&output), expected);
    let written = fs::read_to_string(dir.join("nodes.csv.confirm")).expect("written");
    assert_eq!(written, stored_text("inventory/nodes.csv.confirm"));
    assert_eq!(written, "95f1a861b4777089\n");
}

#[test]
fn stored_confirmation_file_makes_an_aggregator_apply_the_list_that_it_holds_back() {
    let dir = scratch_dir("stored");
    let path = dir.join("nodes.csv");
    let write_file = |name: &str, content: &[u8]| {
        let temporary = dir.join("whole.tmp");
        fs::write(&temporary, content).expect("written");
        fs::rename(&temporary, dir.join(name)).expect("renamed");
    };
    write_file("nodes.csv", inventory(&[0, 1, 2, 3, 4, 5, 6, 7, 8]).as_bytes());
    let operator = format!("inventory:\n  file: {}\n", path.display());
    let mut aggregator = Setup { operator: Some(operator), ..Setup::new(&[]) }.start();
    write_file("nodes.csv", &stored_bytes("inventory/nodes.csv"));
    let line = aggregator.wait_for_new_log("list held back");
    assert!(line.contains("6 of 9 leaf servers would be removed at once"), "{line}");
    write_file("nodes.csv.confirm", &stored_bytes("inventory/nodes.csv.confirm"));
    let line = aggregator.wait_for_new_log("confirmed=true");
    assert!(line.contains("nodes=3") && line.contains("gone=6"), "{line}");
    assert!(!dir.join("nodes.csv.confirm").exists(), "a confirmation is removed once it is read");
}
