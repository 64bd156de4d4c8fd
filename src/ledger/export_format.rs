//! The formats of exports. Encoding is deterministic, so that an export that was interrupted by a crash is completed
//! with the same bytes.

use super::export::{BilledRecord, BilledRow, Export};
use super::record::{Correction, Entry};
use arrow_array::{ArrayRef, BooleanArray, Int64Array, RecordBatch, StringArray, UInt64Array};
use arrow_ipc::writer::FileWriter;
use arrow_schema::ArrowError;
use serde::Serialize;
use std::error::Error;
use std::fmt;
use std::sync::Arc;

/// The file format of an export.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// CSV with a header row.
    Csv,
    /// One JSON object per line.
    JsonLines,
    /// Arrow's IPC file format.
    Arrow,
}

impl Format {
    /// The format's name in the journal, which is also its file extension.
    pub fn as_str(self) -> &'static str {
        match self {
            Format::Csv => "csv",
            Format::JsonLines => "jsonl",
            Format::Arrow => "arrow",
        }
    }

    /// Looks up a format by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        [Format::Csv, Format::JsonLines, Format::Arrow].into_iter().find(|format| format.as_str() == name)
    }
}

/// An export could not be encoded, which is a bug in this program.
#[derive(Debug)]
pub enum RenderError {
    /// The CSV writer failed.
    Csv(csv::Error),
    /// The JSON writer failed.
    Json(serde_json::Error),
    /// The Arrow writer failed.
    Arrow(ArrowError),
}

impl fmt::Display for RenderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Csv(error) => write!(f, "{error}"),
            Self::Json(error) => write!(f, "{error}"),
            Self::Arrow(error) => write!(f, "{error}"),
        }
    }
}

impl Error for RenderError {}

impl From<csv::Error> for RenderError {
    fn from(error: csv::Error) -> Self {
        RenderError::Csv(error)
    }
}

impl From<serde_json::Error> for RenderError {
    fn from(error: serde_json::Error) -> Self {
        RenderError::Json(error)
    }
}

impl From<ArrowError> for RenderError {
    fn from(error: ArrowError) -> Self {
        RenderError::Arrow(error)
    }
}

/// The columns of every format, in the order of [`ExportRow`]'s fields.
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

/// A row of an export. The JSON format uses the names and the order of these fields.
#[derive(Serialize)]
struct ExportRow<'a> {
    #[serde(rename = "seq")]
    sequence: u64,
    #[serde(rename = "kind")]
    kind: &'static str,
    #[serde(rename = "at_ms")]
    at_ms: i64,
    #[serde(rename = "tenant")]
    tenant: &'a str,
    #[serde(rename = "known")]
    known: bool,
    #[serde(rename = "class")]
    class: &'a str,
    #[serde(rename = "query")]
    query: &'a str,
    #[serde(rename = "asked")]
    requested_parts: i64,
    #[serde(rename = "served")]
    served_parts: i64,
    #[serde(rename = "attempts")]
    attempts: i64,
    /// 128 bits hold both the unsigned work of entries and negative corrections.
    #[serde(rename = "work_milliunits")]
    work_milliunits: i128,
    #[serde(rename = "outcome")]
    outcome: &'static str,
    #[serde(rename = "share")]
    share: &'static str,
    #[serde(rename = "corrects")]
    corrected_period: &'a str,
    #[serde(rename = "note")]
    note: String,
}

impl<'a> ExportRow<'a> {
    fn new(row: &'a BilledRow) -> Self {
        match &row.record {
            BilledRecord::Entry(entry) => ExportRow::from_entry(row.sequence, entry),
            BilledRecord::Correction(correction) => ExportRow::from_correction(row.sequence, correction),
        }
    }

    fn from_entry(sequence: u64, entry: &'a Entry) -> Self {
        let billed_work = if entry.outcome.is_billed() { entry.work } else { 0 };
        ExportRow {
            sequence,
            kind: "entry",
            at_ms: entry.at,
            tenant: &entry.tenant,
            known: entry.tenant_is_known,
            class: &entry.class,
            query: &entry.query,
            requested_parts: i64::from(entry.parts),
            served_parts: i64::from(entry.parts_served),
            attempts: i64::from(entry.attempts),
            work_milliunits: i128::from(billed_work),
            outcome: entry.outcome.as_str(),
            share: entry.share.as_str(),
            corrected_period: "",
            note: String::new(),
        }
    }

    fn from_correction(sequence: u64, correction: &'a Correction) -> Self {
        ExportRow {
            sequence,
            kind: "correction",
            at_ms: correction.at,
            tenant: &correction.tenant,
            known: true,
            class: &correction.class,
            query: "",
            requested_parts: correction.queries,
            served_parts: correction.parts,
            attempts: 0,
            work_milliunits: i128::from(correction.work),
            outcome: "correction",
            share: correction.share.as_str(),
            corrected_period: &correction.corrected_period,
            note: format!("by {}: {}", correction.author, correction.reason),
        }
    }
}

/// Encodes an export in a format.
///
/// # Errors
/// The format's writer failed, which is a bug in this program.
pub fn render(export: &Export, format: Format) -> Result<Vec<u8>, RenderError> {
    let rows: Vec<ExportRow<'_>> = export.rows().iter().map(ExportRow::new).collect();
    match format {
        Format::Csv => render_csv(&rows),
        Format::JsonLines => render_json_lines(&rows),
        Format::Arrow => Ok(render_arrow(&rows)?),
    }
}

fn render_csv(rows: &[ExportRow<'_>]) -> Result<Vec<u8>, RenderError> {
    // The header is written explicitly, since the CSV writer omits it if there are no rows.
    let mut writer = csv::WriterBuilder::new().has_headers(false).from_writer(Vec::new());
    writer.write_record(COLUMNS)?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.into_inner().map_err(|error| RenderError::Csv(error.into_error().into()))
}

fn render_json_lines(rows: &[ExportRow<'_>]) -> Result<Vec<u8>, RenderError> {
    let mut bytes = Vec::new();
    for row in rows {
        serde_json::to_writer(&mut bytes, row)?;
        bytes.push(b'\n');
    }
    Ok(bytes)
}

fn render_arrow(rows: &[ExportRow<'_>]) -> Result<Vec<u8>, ArrowError> {
    let columns: [ArrayRef; COLUMNS.len()] = [
        Arc::new(rows.iter().map(|row| Some(row.sequence)).collect::<UInt64Array>()),
        text_column(rows, |row| row.kind),
        integer_column(rows, |row| Some(row.at_ms)),
        text_column(rows, |row| row.tenant),
        Arc::new(rows.iter().map(|row| Some(row.known)).collect::<BooleanArray>()),
        text_column(rows, |row| row.class),
        text_column(rows, |row| row.query),
        integer_column(rows, |row| Some(row.requested_parts)),
        integer_column(rows, |row| Some(row.served_parts)),
        integer_column(rows, |row| Some(row.attempts)),
        integer_column(rows, |row| i64::try_from(row.work_milliunits).ok()),
        text_column(rows, |row| row.outcome),
        text_column(rows, |row| row.share),
        text_column(rows, |row| row.corrected_period),
        text_column(rows, |row| &row.note),
    ];
    let batch = RecordBatch::try_from_iter(COLUMNS.into_iter().zip(columns))?;
    let mut bytes = Vec::new();
    let mut writer = FileWriter::try_new(&mut bytes, &batch.schema())?;
    writer.write(&batch)?;
    writer.finish()?;
    drop(writer);
    Ok(bytes)
}

fn integer_column(rows: &[ExportRow<'_>], value: impl Fn(&ExportRow<'_>) -> Option<i64>) -> ArrayRef {
    Arc::new(rows.iter().map(value).collect::<Int64Array>())
}

fn text_column<'a>(rows: &'a [ExportRow<'a>], value: impl Fn(&'a ExportRow<'a>) -> &'a str) -> ArrayRef {
    Arc::new(rows.iter().map(|row| Some(value(row))).collect::<StringArray>())
}
