//! Reads the records of a ledger one by one, across its segments, and keeps the book up to date. The memory that it needs
//! grows neither with the segments nor with their number of records.

use super::super::book::Book;
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::journal::{Damage, DamageKind, ScanError, ScannedRecord, SegmentScanner, SegmentSource};
use super::super::period::Calendar;
use super::super::record::Record;
use super::file_names;
use super::recovery::{self, LastSegment, Start};
use std::collections::VecDeque;
use std::io;

/// The position in a ledger that is being read.
pub(super) struct JournalReader {
    pub book: Book,
    /// The newest segment, once it has been read.
    pub last_segment: Option<LastSegment>,
    /// Number of records read after the snapshot.
    pub records: u64,
    /// First sequence numbers of the segments that have not been opened yet, ascending.
    segments: VecDeque<u64>,
    current: Option<OpenSegment>,
}

/// A segment that is being read.
struct OpenSegment {
    name: String,
    scanner: SegmentScanner,
    /// First sequence number of the next segment; `None` for the last one.
    next: Option<u64>,
}

/// A segment's file on a disk.
struct SegmentFile<'a, D> {
    disk: &'a D,
    name: &'a str,
}

impl<D: Disk> SegmentSource for SegmentFile<'_, D> {
    fn read_at(&self, offset: usize, buffer: &mut [u8]) -> io::Result<usize> {
        self.disk.read_at(self.name, offset as u64, buffer)
    }
}

impl JournalReader {
    /// Starts to read a ledger.
    ///
    /// # Errors
    /// The disk failed.
    pub fn open(disk: &impl Disk, calendar: &Calendar, start: Start) -> Result<Self, LedgerError> {
        let names = disk.list()?;
        let segments = file_names::segment_sequences(&names);
        let book = recovery::load_snapshot(disk, calendar, start, &names, segments.first().copied())?;
        Ok(JournalReader { book, last_segment: None, records: 0, segments: segments.into(), current: None })
    }

    /// The book after the last record that was read.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Reads the next record, with its sequence number; `None` at the end.
    ///
    /// # Errors
    /// The disk failed, or a file is damaged or missing.
    pub fn next(&mut self, disk: &impl Disk) -> Result<Option<(u64, Record)>, LedgerError> {
        loop {
            let Some(mut segment) = self.current.take() else {
                if !self.open_next_segment(disk)? {
                    return Ok(None);
                }
                continue;
            };
            let file = SegmentFile { disk, name: &segment.name };
            let scanned = segment.scanner.next(&file).map_err(|error| scan_error(error, &segment.name))?;
            let Some(ScannedRecord { sequence, record, .. }) = scanned else {
                self.finish_segment(segment)?;
                continue;
            };
            self.current = Some(segment);
            // The records up to the snapshot are in the book already.
            if sequence == self.book.sequence + 1 {
                self.book.apply(sequence, &record);
                self.records += 1;
                return Ok(Some((sequence, record)));
            }
        }
    }

    /// Opens the next segment with records that are not in the book; returns whether there is one.
    fn open_next_segment(&mut self, disk: &impl Disk) -> Result<bool, LedgerError> {
        while let Some(first) = self.segments.pop_front() {
            let next = self.segments.front().copied();
            let last_applied = self.book.sequence;
            if next.is_some_and(|next| next <= last_applied + 1) {
                continue;
            }
            let name = file_names::segment(first);
            if first > last_applied + 1 {
                let kind = DamageKind::MissingBefore { first: last_applied + 1, last: first - 1 };
                return Err(LedgerError::Damaged { file: name, damage: Damage { offset: 0, kind } });
            }
            let scanner = SegmentScanner::new(disk.length(&name)? as usize, first, next.is_none());
            self.current = Some(OpenSegment { name, scanner, next });
            return Ok(true);
        }
        Ok(false)
    }

    /// Checks that no record is missing between a segment that has been read and the next one.
    fn finish_segment(&mut self, segment: OpenSegment) -> Result<(), LedgerError> {
        let OpenSegment { name, scanner, next } = segment;
        let readable_bytes = scanner.readable_bytes();
        let Some(next) = next else {
            let torn_bytes = scanner.torn_bytes();
            self.last_segment = Some(LastSegment { name, readable_bytes, torn_bytes });
            return Ok(());
        };
        let expected = scanner.next_sequence();
        if next == expected {
            return Ok(());
        }
        let kind = DamageKind::MissingAfter { first: expected, last: next - 1 };
        Err(LedgerError::Damaged { file: name, damage: Damage { offset: readable_bytes, kind } })
    }
}

fn scan_error(error: ScanError, file: &str) -> LedgerError {
    match error {
        ScanError::Io(error) => LedgerError::Io(error),
        ScanError::Damaged(damage) => LedgerError::Damaged { file: file.to_owned(), damage },
    }
}
