//! Reads what a directory holds, without changing it: the newest intact snapshot and all records behind it.

use super::super::book::Book;
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::journal::{self, Damage, DamageKind, ScannedRecord, ScannedSegment};
use super::super::period::Calendar;
use super::super::record::Record;
use super::{file_names, snapshot};

/// Where reading starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Start {
    /// At the newest snapshot.
    NewestSnapshot,
    /// At the first record that is still there; a snapshot stands only for records whose segments were compacted.
    FirstRecord,
}

/// All that a directory holds.
pub(super) struct Loaded {
    pub book: Book,
    pub last_segment: Option<LastSegment>,
    /// Records read behind the snapshot.
    pub records: u64,
}

/// The segment to which the next record belongs.
pub(super) struct LastSegment {
    pub name: String,
    /// Length of its readable part.
    pub readable_bytes: usize,
    /// Length of the torn tail behind that.
    pub torn_bytes: usize,
}

/// Reads a ledger without owning it, from its first record if that is still there. `each` gets every record with its
/// sequence number and the book after it.
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

/// Reads a ledger; `each` gets every record behind the snapshot with its sequence number and the book after it.
pub(super) fn load(
    disk: &impl Disk,
    calendar: &Calendar,
    start: Start,
    mut each: impl FnMut(u64, &Record, &Book),
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
                each(*sequence, record, &book);
                records += 1;
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

/// Reads one segment.
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

/// The book of the newest snapshot that is intact and may be used; an empty book if there is none.
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

/// Records that are in no file: between the book and a segment, or between that segment and the next.
fn missing_records(scanned: &ScannedSegment, taken: u64, first: u64, next: Option<u64>) -> Option<Damage> {
    if first > taken + 1 {
        let kind = DamageKind::MissingBefore { first: taken + 1, last: first - 1 };
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
