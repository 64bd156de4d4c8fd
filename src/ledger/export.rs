//! Exports: what a period's records are, in a form for those who bill. The same records give the same bytes.

use super::book::{Account, Begun, Book, Line, Sums, Totals};
use super::entry::{Correction, Entry, Record};
use arrow_array::{ArrayRef, BooleanArray, Int64Array, RecordBatch, StringArray, UInt64Array};
use arrow_ipc::writer::FileWriter;
use serde_json::{Value, json};
use std::sync::Arc;

/// A form of export.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Rows under a header.
    Csv,
    /// A JSON object a line.
    JsonLines,
    /// Arrow's IPC file.
    Arrow,
}

impl Format {
    /// Its word, which is also the ending of its files.
    pub fn word(self) -> &'static str {
        match self {
            Format::Csv => "csv",
            Format::JsonLines => "jsonl",
            Format::Arrow => "arrow",
        }
    }

    /// By its word.
    pub fn named(word: &str) -> Option<Self> {
        [Format::Csv, Format::JsonLines, Format::Arrow].into_iter().find(|f| f.word() == word)
    }
}

/// A row: a query, or a correction.
#[derive(Clone, Debug, PartialEq)]
enum Row {
    Entry(Entry),
    Correction(Correction),
}

/// The content of an export.
#[derive(Clone, Debug)]
pub struct Export {
    name: String,
    period: String,
    range: (u64, u64),
    rows: Vec<(u64, Row)>,
    totals: Totals,
}

/// What stands beside an export.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest(Value);

impl Manifest {
    /// As JSON, one object.
    pub fn to_json(&self) -> String {
        format!("{:#}\n", self.0)
    }
}

impl Export {
    /// Nothing in it yet.
    pub(super) fn new(begun: &Begun) -> Self {
        Export {
            name: begun.name.clone(),
            period: begun.period.clone(),
            range: begun.range,
            rows: Vec::new(),
            totals: Totals::new(),
        }
    }

    /// Takes a record in if it is billed in the export's period; the book has it already.
    pub(super) fn take(&mut self, seq: u64, record: &Record, book: &Book) {
        let at = match record {
            Record::Entry(e) => e.at,
            Record::Correction(c) => c.at,
            _ => return,
        };
        let (period, late) = book.billed_in(at);
        if period.to_string() != self.period {
            return;
        }
        match record {
            Record::Entry(e) => {
                let account = match e.known {
                    true => Account::Tenant(e.tenant.clone()),
                    false => Account::Unknown(e.tenant.clone()),
                };
                let line = Line { period, account, class: e.class.clone(), share: e.share };
                self.totals.entry(line).or_default().add(e, late);
                self.rows.push((seq, Row::Entry(e.clone())));
            }
            Record::Correction(c) => self.rows.push((seq, Row::Correction(c.clone()))),
            _ => {}
        }
    }

    /// Entries in it.
    pub fn entries(&self) -> usize {
        self.rows.iter().filter(|(_, row)| matches!(row, Row::Entry(_))).count()
    }
}

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

/// A row's values in the order of the columns: numbers apart from texts, so that each form writes them as it does.
fn values(seq: u64, row: &Row) -> Vec<Value> {
    match row {
        Row::Entry(e) => vec![
            json!(seq),
            json!("entry"),
            json!(e.at),
            json!(e.tenant),
            json!(e.known),
            json!(e.class),
            json!(e.query),
            json!(e.asked),
            json!(e.served),
            json!(e.attempts),
            json!(if e.outcome.is_billed() { e.work } else { 0 }),
            json!(e.outcome.word()),
            json!(e.share.word()),
            json!(""),
            json!(""),
        ],
        Row::Correction(c) => vec![
            json!(seq),
            json!("correction"),
            json!(c.at),
            json!(c.tenant),
            json!(true),
            json!(c.class),
            json!(""),
            json!(c.queries),
            json!(c.parts),
            json!(0),
            json!(c.work),
            json!("correction"),
            json!(c.share.word()),
            json!(c.corrects),
            json!(format!("by {}: {}", c.by, c.why)),
        ],
    }
}

/// An export as bytes.
///
/// # Errors
/// The writer of the form fails, which means a fault of ours.
pub fn render(export: &Export, format: Format) -> Result<Vec<u8>, String> {
    let rows = export.rows.iter().map(|(seq, row)| values(*seq, row));
    match format {
        Format::Csv => {
            let mut writer = csv::Writer::from_writer(Vec::new());
            writer.write_record(COLUMNS).map_err(|e| e.to_string())?;
            for row in rows {
                let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
                writer.write_record(row.iter().map(text)).map_err(|e| e.to_string())?;
            }
            writer.into_inner().map_err(|e| e.to_string())
        }
        Format::JsonLines => {
            let object = |row: Vec<Value>| -> String {
                let fields = COLUMNS.iter().zip(row).map(|(name, value)| format!("{}:{value}", json!(name)));
                format!("{{{}}}\n", fields.collect::<Vec<_>>().join(","))
            };
            Ok(rows.map(object).collect::<String>().into_bytes())
        }
        Format::Arrow => arrow(rows.collect()).map_err(|e| e.to_string()),
    }
}

fn arrow(rows: Vec<Vec<Value>>) -> Result<Vec<u8>, arrow_schema::ArrowError> {
    let column = |i: usize| rows.iter().map(move |row| &row[i]);
    let array = |(i, name): (usize, &&'static str)| -> (String, ArrayRef) {
        let array: ArrayRef = match *name {
            "seq" => Arc::new(column(i).map(Value::as_u64).collect::<UInt64Array>()),
            "known" => Arc::new(column(i).map(Value::as_bool).collect::<BooleanArray>()),
            "at_ms" | "asked" | "served" | "attempts" | "work_milliunits" => {
                Arc::new(column(i).map(Value::as_i64).collect::<Int64Array>())
            }
            _ => Arc::new(column(i).map(Value::as_str).collect::<StringArray>()),
        };
        ((*name).to_owned(), array)
    };
    let batch = RecordBatch::try_from_iter(COLUMNS.iter().enumerate().map(array))?;
    let mut bytes = Vec::new();
    let mut writer = FileWriter::try_new(&mut bytes, &batch.schema())?;
    writer.write(&batch)?;
    writer.finish()?;
    drop(writer);
    Ok(bytes)
}

/// Totals as JSON rows.
pub fn lines(totals: &Totals) -> Vec<Value> {
    let line = |(line, s): (&Line, &Sums)| {
        json!({
            "period": line.period.to_string(), "tenant": line.account.name(), "class": line.class,
            "share": line.share.word(), "queries": s.queries, "billed": s.billed, "refused": s.refused,
            "failed": s.failed, "asked": s.asked, "parts": s.parts, "attempts": s.attempts,
            "work_milliunits": s.work, "late": s.late,
        })
    };
    totals.iter().map(line).collect()
}

/// The manifest of an export whose bytes have that hash.
pub(super) fn manifest(export: &Export, hash: &str) -> Manifest {
    Manifest(json!({
        "name": export.name, "period": export.period, "after": export.range.0, "upto": export.range.1,
        "entries": export.entries(), "corrections": export.rows.len() - export.entries(), "sha256": hash,
        "totals": lines(&export.totals),
    }))
}
