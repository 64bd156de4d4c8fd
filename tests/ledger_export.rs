//! The bytes of exports: written in pieces, they are those of the usual writers for rows in memory.

mod common;

use arrow_array::{ArrayRef, BooleanArray, Int64Array, RecordBatch, StringArray, UInt64Array};
use common::faulty::{Crash, FaultyDisk};
use sailmux::ledger::*;
use serde_json::Value;
use std::sync::Arc;

/// 2026-11-15T12:00:00 in Taipei.
const NOVEMBER_MS: UnixMs = 1_794_715_200_000;
const TEXT_COLUMNS: [&str; 8] = ["kind", "tenant", "class", "query", "outcome", "share", "corrects", "note"];
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

fn calendar() -> Calendar {
    Calendar::new("Asia/Taipei").expect("valid time zone")
}

fn entry(n: u64) -> Record {
    let tenant = ["acme", "a,b", "with \"quotes\"", "\u{fc}mlaut", ""][n as usize % 5];
    Record::Entry(Entry {
        at: NOVEMBER_MS + n as UnixMs,
        tenant: tenant.to_owned(),
        tenant_is_known: !n.is_multiple_of(3),
        class: "envelope-search".to_owned(),
        query: if n.is_multiple_of(7) { format!("line\nfeed {n}") } else { format!("q{n}") },
        parts: 4,
        parts_served: n as u32 % 5,
        attempts: 5,
        // Once beyond the numbers of the Arrow column, where it is a null.
        work: if n == 5 { u64::MAX - 1_000_000_000 } else { 4000 + n },
        outcome: Outcome::ALL[n as usize % 2],
        share: if n.is_multiple_of(4) { QuotaShare::OverQuota } else { QuotaShare::WithinQuota },
    })
}

fn correction(n: u64) -> Correction {
    Correction {
        at: NOVEMBER_MS,
        id: format!("c{n}"),
        tenant: "acme".to_owned(),
        class: "envelope-search".to_owned(),
        corrected_period: "2026-10".to_owned(),
        share: QuotaShare::WithinQuota,
        queries: -1,
        parts: -(n as i64),
        work: -4000,
        author: "billing".to_owned(),
        reason: "sent twice, \"by mistake\"".to_owned(),
    }
}

/// The files of an export of `rows` rows, every ninth of which is a correction: the export itself and its manifest.
fn export(rows: u64, format: Format) -> (Vec<u8>, String) {
    let disk = FaultyDisk::default();
    let options = Options { segment_bytes: 4000, ..Options::default() };
    let mut store = Store::open(disk.clone(), calendar(), options, "n1", NOVEMBER_MS).expect("new").0;
    for n in 0..rows {
        if n % 9 == 8 {
            store.correct(correction(n)).expect("corrected");
        } else {
            store.append(&[entry(n)]).expect("written");
        }
    }
    store.commit().expect("synced");
    let period = "2026-11".parse().expect("valid period");
    let export = store.export(period, format, NOVEMBER_MS).expect("no failure").expect("an export");
    let manifest = disk.read(&format!("{}.manifest.json", export.name)).expect("file exists");
    let names = disk.list().expect("directory is listed");
    assert!(!names.iter().any(|name| name.ends_with(".tmp")), "{names:?}");
    (disk.read(&export.file_name()).expect("file exists"), String::from_utf8(manifest).expect("UTF-8"))
}

fn json_rows(rows: u64) -> Vec<Value> {
    let text = String::from_utf8(export(rows, Format::JsonLines).0).expect("UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

fn column(rows: &[Value], name: &str) -> ArrayRef {
    let values = rows.iter().map(|row| &row[name]);
    if name == "seq" {
        Arc::new(values.map(Value::as_u64).collect::<UInt64Array>())
    } else if name == "known" {
        Arc::new(values.map(Value::as_bool).collect::<BooleanArray>())
    } else if TEXT_COLUMNS.contains(&name) {
        Arc::new(values.map(Value::as_str).collect::<StringArray>())
    } else {
        Arc::new(values.map(Value::as_i64).collect::<Int64Array>())
    }
}

// Guards against an Arrow export whose bytes differ from those of earlier versions, which wrote it from memory: an export that
// was interrupted would be completed under its name with another content.
#[test]
fn arrow_exports_have_the_bytes_of_the_writer_in_memory() {
    for rows in [1, 2, 7, 8, 9, 10, 63, 64, 65, 500, 5000] {
        let expected_rows = json_rows(rows);
        assert_eq!(expected_rows.len() as u64, rows);
        let columns = COLUMNS.map(|name| (name, column(&expected_rows, name)));
        let batch = RecordBatch::try_from_iter(columns).expect("valid columns");
        let mut expected = Vec::new();
        let mut writer =
            arrow_ipc::writer::FileWriter::try_new(&mut expected, &batch.schema()).expect("valid schema");
        writer.write(&batch).expect("written");
        writer.finish().expect("written");
        drop(writer);
        assert!(export(rows, Format::Arrow).0 == expected, "{rows} rows");
    }
}

// Guards against a CSV export or a manifest whose bytes depend on the pieces in which they are written.
#[test]
fn csv_exports_and_manifests_have_the_bytes_of_writers_in_memory() {
    for rows in [1, 9, 64, 5000] {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer.write_record(COLUMNS).expect("written");
        for row in json_rows(rows) {
            let text = |name: &str| match &row[name] {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            writer.write_record(COLUMNS.map(text)).expect("written");
        }
        let (bytes, manifest) = export(rows, Format::Csv);
        assert!(bytes == writer.into_inner().expect("written"), "{rows} rows");
        let parsed: Value = serde_json::from_str(&manifest).expect("JSON");
        assert_eq!(manifest, format!("{parsed:#}\n"), "{rows} rows");
    }
}

// Guards against a crash that leaves a column's temporary file in an export, or another content under the export's name.
#[test]
fn a_crash_during_an_export_is_completed_with_the_same_bytes() {
    const ROWS: u64 = 40;
    for format in [Format::JsonLines, Format::Arrow] {
        let prepared = || {
            let disk = FaultyDisk::default();
            let options = Options { loss_window_ms: 0, ..Options::default() };
            let mut store = Store::open(disk.clone(), calendar(), options, "n1", NOVEMBER_MS).expect("new").0;
            store.append(&(0..ROWS).map(entry).collect::<Vec<_>>()).expect("written");
            store.commit().expect("synced");
            disk
        };
        let play = |disk: &FaultyDisk| -> Result<Vec<u8>, LedgerError> {
            let options = Options { loss_window_ms: 0, ..Options::default() };
            let mut store = Store::open(disk.clone(), calendar(), options, "n1", NOVEMBER_MS)?.0;
            store.export("2026-11".parse().expect("valid period"), format, NOVEMBER_MS)?;
            Ok(disk.read(&store.book().exports()[0].file_name())?)
        };
        let (operations, expected) = {
            let disk = prepared();
            disk.crash_at(usize::MAX);
            let bytes = play(&disk).expect("no fault");
            (disk.steps(), bytes)
        };
        for crash_at in 1..=operations {
            for crash in [Crash::Kill, Crash::Power(0), Crash::Power(50)] {
                let disk = prepared();
                disk.crash_at(crash_at);
                assert!(play(&disk).is_err());
                let disk = disk.after(crash);
                let bytes = play(&disk).unwrap_or_else(|error| panic!("{crash_at} {crash:?}: {error}"));
                assert!(bytes == expected, "{format:?}, {crash_at} {crash:?}");
                let names = disk.list().expect("directory is listed");
                assert!(!names.iter().any(|name| name.ends_with(".tmp")), "{crash_at} {crash:?}: {names:?}");
            }
        }
    }
}
