//! Removes segments that are no longer needed, which limits the ledger's disk usage.

use super::super::book::PeriodState;
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::period::Period;
use super::super::record::Record;
use super::{Store, file_names, recovery};

impl<D: Disk> Store<D> {
    /// Removes the oldest sealed segments whose entries are all in closed and exported periods, and the snapshots that
    /// are only needed with them. Returns the number of removed segments.
    ///
    /// # Errors
    /// The disk failed, or a sealed segment is damaged.
    pub fn compact(&mut self) -> Result<usize, LedgerError> {
        let unfinished = self.unfinished_periods();
        let names = self.disk.list()?;
        let newest_snapshot = file_names::snapshot_sequences(&names).last().copied().unwrap_or(0);
        let segments = file_names::segment_sequences(&names);
        let mut removed = 0;
        for pair in segments.windows(2) {
            let [first, next] = [pair[0], pair[1]];
            if next > newest_snapshot + 1 || self.is_segment_needed(first, &unfinished)? {
                break;
            }
            self.disk.remove(&file_names::segment(first))?;
            removed += 1;
            self.remove_snapshots_before(next)?;
        }
        Ok(removed)
    }

    /// Periods with billing lines that are open or not yet exported.
    fn unfinished_periods(&self) -> Vec<Period> {
        let is_exported = |period: &Period| {
            let period = period.to_string();
            self.book.exports().iter().any(|export| export.period == period && export.is_finished())
        };
        let is_unfinished =
            |period: &Period| self.book.period_state(*period) == PeriodState::Open || !is_exported(period);
        let periods = self.book.totals().keys().map(|line| line.period);
        periods.filter(is_unfinished).collect()
    }

    /// Whether a segment contains an entry that was made or is billed in an unfinished period.
    fn is_segment_needed(&self, first: u64, unfinished: &[Period]) -> Result<bool, LedgerError> {
        let scanned = recovery::scan_segment(&self.disk, &file_names::segment(first), first, false)?;
        let is_needed = |record: &Record| {
            let Record::Entry(entry) = record else { return false };
            let own = self.book.calendar().period(entry.at);
            let (billed, _) = self.book.billed_in(entry.at);
            unfinished.contains(&own) || unfinished.contains(&billed)
        };
        Ok(scanned.records.iter().any(|scanned| is_needed(&scanned.record)))
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
