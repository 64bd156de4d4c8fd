//! Reads a ledger's directory without changing it: the newest intact snapshot and all records after it.

use super::super::book::Book;
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::period::Calendar;
use super::super::record::Record;
use super::reader::JournalReader;
use super::{file_names, snapshot};
use std::ops::ControlFlow;

/// The position at which reading starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Start {
    /// The newest intact snapshot.
    NewestSnapshot,
    /// The first record that still exists. A snapshot is used only for records whose segments were compacted.
    FirstRecord,
}

/// The content of a ledger's directory.
pub(super) struct Loaded {
    pub book: Book,
    pub last_segment: Option<LastSegment>,
    /// Number of records read after the snapshot.
    pub records: u64,
}

/// The newest segment, to which the next record is appended.
pub(super) struct LastSegment {
    pub name: String,
    /// Length of the readable part, in bytes.
    pub readable_bytes: usize,
    /// Length of the torn tail after the readable part, in bytes.
    pub torn_bytes: usize,
}

/// Reads a ledger without locking it, from the first record that still exists. `each` is called for every record with
/// its sequence number and the book after it.
///
/// # Errors
/// The disk failed, or a file is damaged or missing.
pub fn read_all(
    disk: &impl Disk,
    calendar: &Calendar,
    each: impl FnMut(u64, &Record, &Book),
) -> Result<Book, LedgerError> {
    load(disk, calendar, Start::FirstRecord, each).map(|loaded| loaded.book)
}

/// Reads a ledger. `each` is called for every record after the snapshot with its sequence number and the book after it.
pub(super) fn load(
    disk: &impl Disk,
    calendar: &Calendar,
    start: Start,
    mut each: impl FnMut(u64, &Record, &Book),
) -> Result<Loaded, LedgerError> {
    visit(disk, calendar, start, |sequence, record, book| {
        each(sequence, record, book);
        ControlFlow::Continue(())
    })
}

/// Reads a ledger like [`load`], until `each` breaks. What is loaded then ends with the record of that call.
pub(super) fn visit(
    disk: &impl Disk,
    calendar: &Calendar,
    start: Start,
    mut each: impl FnMut(u64, &Record, &Book) -> ControlFlow<()>,
) -> Result<Loaded, LedgerError> {
    let mut reader = JournalReader::open(disk, calendar, start)?;
    while let Some((sequence, record)) = reader.next(disk)? {
        if each(sequence, &record, reader.book()).is_break() {
            break;
        }
    }
    let JournalReader { book, last_segment, records, .. } = reader;
    Ok(Loaded { book, last_segment, records })
}

/// The book of the newest intact snapshot that `start` allows; an empty book if there is none.
pub(super) fn load_snapshot(
    disk: &impl Disk,
    calendar: &Calendar,
    start: Start,
    names: &[String],
    oldest_segment: Option<u64>,
) -> Result<Book, LedgerError> {
    let has_first_record = oldest_segment.is_some_and(|oldest| oldest <= 1);
    if start == Start::FirstRecord && has_first_record {
        return Ok(Book::new(calendar.clone()));
    }
    for sequence in file_names::snapshot_sequences(names).into_iter().rev() {
        let skips_records = oldest_segment.is_some_and(|oldest| sequence + 1 > oldest);
        if start == Start::FirstRecord && skips_records {
            continue;
        }
        let bytes = disk.read(&file_names::snapshot(sequence))?;
        if let Some(book) = snapshot::decode(&bytes, calendar) {
            return Ok(book);
        }
    }
    Ok(Book::new(calendar.clone()))
}
