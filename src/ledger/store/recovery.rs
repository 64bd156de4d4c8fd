//! Reads a ledger's directory without changing it: the newest intact snapshot and all records after it.

use super::super::book::Book;
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::journal::{self, Damage, DamageKind, ScannedRecord, ScannedSegment};
use super::super::period::Calendar;
use super::super::record::Record;
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
    let names = disk.list()?;
    let segments = file_names::segment_sequences(&names);
    let mut book = load_snapshot(disk, calendar, start, &names, segments.first().copied())?;
    let mut last_segment = None;
    let mut records = 0;
    for (index, first) in segments.iter().copied().enumerate() {
        let next = segments.get(index + 1).copied();
        if next.is_some_and(|next| next <= book.sequence + 1) {
            continue;
        }
        let name = file_names::segment(first);
        let scanned = scan_segment(disk, &name, first, next.is_none())?;
        if let Some(damage) = missing_records(&scanned, book.sequence, first, next) {
            return Err(LedgerError::Damaged { file: name, damage });
        }
        for ScannedRecord { sequence, record, .. } in &scanned.records {
            if *sequence == book.sequence + 1 {
                book.apply(*sequence, record);
                records += 1;
                if each(*sequence, record, &book).is_break() {
                    return Ok(Loaded { book, last_segment, records });
                }
            }
        }
        if next.is_none() {
            last_segment = Some(LastSegment {
                name,
                readable_bytes: scanned.readable_bytes,
                torn_bytes: scanned.torn_bytes,
            });
        }
    }
    Ok(Loaded { book, last_segment, records })
}

/// Reads and decodes one segment.
pub(super) fn scan_segment(
    disk: &impl Disk,
    name: &str,
    first: u64,
    is_last: bool,
) -> Result<ScannedSegment, LedgerError> {
    let bytes = disk.read(name)?;
    journal::scan(&bytes, first, is_last)
        .map_err(|damage| LedgerError::Damaged { file: name.to_owned(), damage })
}

/// The book of the newest intact snapshot that `start` allows; an empty book if there is none.
fn load_snapshot(
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

/// Finds missing records: between the book, which ends at `last_applied`, and a segment, or between that segment and
/// the next one.
fn missing_records(
    scanned: &ScannedSegment,
    last_applied: u64,
    first: u64,
    next: Option<u64>,
) -> Option<Damage> {
    if first > last_applied + 1 {
        let kind = DamageKind::MissingBefore { first: last_applied + 1, last: first - 1 };
        return Some(Damage { offset: 0, kind });
    }
    let expected = first + scanned.records.len() as u64;
    match next {
        Some(next) if next != expected => {
            let kind = DamageKind::MissingAfter { first: expected, last: next - 1 };
            Some(Damage { offset: scanned.readable_bytes, kind })
        }
        _ => None,
    }
}
