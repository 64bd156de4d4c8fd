//! The formats of exports. Encoding is deterministic, so that an export that was interrupted by a crash is completed
//! with the same bytes.

use super::arrow_file::{ArrowFile, ArrowFileError, Value};
use super::disk::Disk;
use super::error::LedgerError;
use super::export::{BilledRecord, BilledRow};
use super::output_file::OutputFile;
use super::record::{Correction, Entry};
use arrow_schema::{ArrowError, DataType};
use serde::Serialize;
use std::cell::RefCell;
use std::error::Error;
use std::fmt;
use std::io;
use std::rc::Rc;

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

/// An export could not be encoded.
#[derive(Debug)]
pub enum RenderError {
    /// The CSV writer failed.
    Csv(csv::Error),
    /// The JSON writer failed.
    Json(serde_json::Error),
    /// The Arrow writer failed.
    Arrow(ArrowError),
    /// The texts of a column have 2 GiB or more together, which an Arrow file cannot hold.
    ColumnTooLong,
}

impl fmt::Display for RenderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Csv(error) => write!(f, "{error}"),
            Self::Json(error) => write!(f, "{error}"),
            Self::Arrow(error) => write!(f, "{error}"),
            Self::ColumnTooLong => {
                f.write_str("too many rows for an Arrow file; csv and jsonl have no limit")
            }
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

impl From<ArrowFileError> for LedgerError {
    fn from(error: ArrowFileError) -> Self {
        match error {
            ArrowFileError::Io(error) => LedgerError::Io(error),
            ArrowFileError::Arrow(error) => LedgerError::Render(RenderError::Arrow(error)),
            ArrowFileError::ColumnTooLong => LedgerError::Render(RenderError::ColumnTooLong),
        }
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

/// Encodes the rows of an export in its format, one by one.
pub(super) enum RowEncoder {
    Csv(Box<CsvRows>),
    JsonLines,
    Arrow(ArrowFile),
}

impl RowEncoder {
    /// Starts an export. `spool_name` makes the name of a temporary file.
    ///
    /// # Errors
    /// The disk failed.
    pub fn create(
        disk: &mut impl Disk,
        format: Format,
        spool_name: impl Fn(&str) -> String,
    ) -> Result<Self, LedgerError> {
        Ok(match format {
            Format::Csv => RowEncoder::Csv(Box::new(CsvRows::new()?)),
            Format::JsonLines => RowEncoder::JsonLines,
            Format::Arrow => RowEncoder::Arrow(ArrowFile::create(
                disk,
                COLUMNS.into_iter().zip(column_types()),
                spool_name,
            )?),
        })
    }

    /// Adds a row.
    ///
    /// # Errors
    /// The disk failed, or the format cannot hold the row.
    pub fn add(
        &mut self,
        disk: &mut impl Disk,
        output: &mut OutputFile,
        row: &BilledRow,
    ) -> Result<(), LedgerError> {
        let row = ExportRow::new(row);
        match self {
            RowEncoder::Csv(rows) => output.write(disk, &rows.encode(&row)?)?,
            RowEncoder::JsonLines => output.write(disk, &json_line(&row)?)?,
            RowEncoder::Arrow(file) => file.add_row(disk, &column_values(&row))?,
        }
        Ok(())
    }

    /// Writes what follows the last row.
    ///
    /// # Errors
    /// The disk failed.
    pub fn finish(self, disk: &mut impl Disk, output: &mut OutputFile) -> Result<(), LedgerError> {
        match self {
            RowEncoder::Csv(mut rows) => output.write(disk, &rows.take()?)?,
            RowEncoder::JsonLines => {}
            RowEncoder::Arrow(file) => file.finish(disk, output)?,
        }
        Ok(())
    }
}

/// The CSV writer, which buffers its output in memory until it is taken.
pub(super) struct CsvRows {
    writer: csv::Writer<SharedBuffer>,
    buffer: SharedBuffer,
}

/// A buffer that can be emptied while a writer owns it.
#[derive(Clone, Default)]
struct SharedBuffer(Rc<RefCell<Vec<u8>>>);

impl io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl CsvRows {
    fn new() -> Result<Self, RenderError> {
        let buffer = SharedBuffer::default();
        // The header is written explicitly, since the CSV writer omits it if there are no rows.
        let mut writer = csv::WriterBuilder::new().has_headers(false).from_writer(buffer.clone());
        writer.write_record(COLUMNS)?;
        Ok(CsvRows { writer, buffer })
    }

    fn encode(&mut self, row: &ExportRow<'_>) -> Result<Vec<u8>, RenderError> {
        self.writer.serialize(row)?;
        // What the writer has not passed on yet stays in its buffer of a fixed size.
        Ok(std::mem::take(&mut *self.buffer.0.borrow_mut()))
    }

    /// Everything that has not been returned yet.
    fn take(&mut self) -> Result<Vec<u8>, RenderError> {
        self.writer.flush().map_err(|error| RenderError::Csv(error.into()))?;
        Ok(std::mem::take(&mut *self.buffer.0.borrow_mut()))
    }
}

fn json_line(row: &ExportRow<'_>) -> Result<Vec<u8>, RenderError> {
    let mut line = serde_json::to_vec(row)?;
    line.push(b'\n');
    Ok(line)
}

/// The types of [`COLUMNS`] in the Arrow format.
fn column_types() -> [DataType; COLUMNS.len()] {
    [
        DataType::UInt64,
        DataType::Utf8,
        DataType::Int64,
        DataType::Utf8,
        DataType::Boolean,
        DataType::Utf8,
        DataType::Utf8,
        DataType::Int64,
        DataType::Int64,
        DataType::Int64,
        DataType::Int64,
        DataType::Utf8,
        DataType::Utf8,
        DataType::Utf8,
        DataType::Utf8,
    ]
}

/// The values of [`COLUMNS`] in the Arrow format.
fn column_values<'a>(row: &'a ExportRow<'a>) -> [Value<'a>; COLUMNS.len()] {
    [
        Value::Unsigned(row.sequence),
        Value::Text(row.kind),
        Value::Integer(Some(row.at_ms)),
        Value::Text(row.tenant),
        Value::Boolean(row.known),
        Value::Text(row.class),
        Value::Text(row.query),
        Value::Integer(Some(row.requested_parts)),
        Value::Integer(Some(row.served_parts)),
        Value::Integer(Some(row.attempts)),
        Value::Integer(i64::try_from(row.work_milliunits).ok()),
        Value::Text(row.outcome),
        Value::Text(row.share),
        Value::Text(row.corrected_period),
        Value::Text(&row.note),
    ]
}
