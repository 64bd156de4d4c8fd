//! Removes segments that are no longer needed, which limits the ledger's disk usage.

use super::super::book::Book;
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::record::Record;
use super::recovery::{self, Start};
use super::{Store, file_names};
use std::ops::ControlFlow;

impl<D: Disk> Store<D> {
    /// Removes the oldest sealed segments without an entry that an export still has to contain, and the snapshots that are
    /// only needed with them. Everything else in a segment (corrections, gaps, closed periods, exports) is in the
    /// snapshots. Returns the number of removed segments.
    ///
    /// # Errors
    /// The disk failed, or a sealed segment is damaged.
    pub fn compact(&mut self) -> Result<usize, LedgerError> {
        let names = self.disk.list()?;
        let snapshots = file_names::snapshot_sequences(&names);
        let segments = file_names::segment_sequences(&names);
        // Without a snapshot directly before it, a segment could not be read once the ones before it are removed.
        let has_snapshot = |next: &u64| snapshots.contains(&(next - 1));
        let ends: Vec<u64> = segments.iter().copied().skip(1).take_while(has_snapshot).collect();
        let Some(last_end) = ends.last().copied() else { return Ok(0) };
        let first_needed = self.first_needed_entry(last_end)?.unwrap_or(last_end);
        let mut removed = 0;
        for (first, next) in segments.into_iter().zip(ends) {
            if next > first_needed {
                break;
            }
            self.disk.remove(&file_names::segment(first))?;
            removed += 1;
            self.remove_snapshots_before(next)?;
        }
        Ok(removed)
    }

    /// The sequence number of the first entry before the record `end` that an export still has to contain.
    fn first_needed_entry(&self, end: u64) -> Result<Option<u64>, LedgerError> {
        let mut first_needed = None;
        let visit = |sequence: u64, record: &Record, book_after: &Book| {
            if sequence >= end {
                return ControlFlow::Break(());
            }
            let Record::Entry(entry) = record else { return ControlFlow::Continue(()) };
            // The period is that of the entry's own time in the journal: periods that were closed later do not change it.
            let (billed_in, _) = book_after.billed_in(entry.at);
            if self.book.is_exported(billed_in, sequence) {
                return ControlFlow::Continue(());
            }
            first_needed = Some(sequence);
            ControlFlow::Break(())
        };
        recovery::visit(&self.disk, self.book.calendar(), Start::FirstRecord, visit)?;
        Ok(first_needed)
    }

    /// Removes the snapshots that are older than the one directly before the oldest segment.
    fn remove_snapshots_before(&mut self, oldest_segment: u64) -> Result<(), LedgerError> {
        let names = self.disk.list()?;
        for sequence in file_names::snapshot_sequences(&names) {
            if sequence + 1 < oldest_segment {
                self.disk.remove(&file_names::snapshot(sequence))?;
            }
        }
        Ok(())
    }
}
