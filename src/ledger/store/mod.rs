//! A ledger on a [`Disk`]. Each submodule has one job: `reader` reads the records of a directory one by
//! one and `recovery` all of them, `segments` appends
//! records and makes them durable, `snapshot` saves the book so that opening a ledger reads few records, `compaction`
//! removes segments that are no longer needed, `exports` writes exports in steps that tolerate a crash after any of
//! them, and `requests` processes the requests of operators.
//!
//! While an aggregator runs, its writer thread owns the store; otherwise a command may own it.

mod compaction;
mod exports;
mod file_names;
mod reader;
mod recovery;
mod requests;
mod segments;
mod snapshot;

pub use recovery::read_all;

use super::UnixMs;
use super::book::{Book, PeriodState};
use super::disk::Disk;
use super::error::LedgerError;
use super::options::{Options, Recovery};
use super::period::{Calendar, Period};
use super::record::{Correction, Gap, Record};
use segments::ActiveSegment;

/// A ledger that is open for writing.
pub struct Store<D> {
    disk: D,
    options: Options,
    book: Book,
    segment: ActiveSegment,
    /// A write or sync failed: the content of the segment after its synced bytes is unknown.
    write_failed: bool,
    /// Buffer for the encoded frames of one append; kept to reuse its allocation.
    frames: Vec<u8>,
}

impl<D: Disk> Store<D> {
    /// Opens a ledger: truncates a torn tail, begins a run, and completes exports that were interrupted by a crash.
    /// `aggregator` is the name of the aggregator that writes.
    ///
    /// # Errors
    /// The disk failed, or a file is damaged before its torn tail. In the latter case nothing was changed.
    pub fn open(
        disk: D,
        calendar: Calendar,
        options: Options,
        aggregator: &str,
        now: UnixMs,
    ) -> Result<(Self, Recovery), LedgerError> {
        let loaded = recovery::load(&disk, &calendar, recovery::Start::NewestSnapshot, |_, _, _| {})?;
        let mut store = Store {
            disk,
            options,
            book: loaded.book,
            segment: ActiveSegment::default(),
            write_failed: false,
            frames: Vec::new(),
        };
        let mut recovery = Recovery { records: loaded.records, ..Recovery::default() };
        store.remove_temporary_files()?;
        if let Some(last) = loaded.last_segment {
            recovery.torn_bytes = last.torn_bytes;
            store.resume_segment(last)?;
        }
        store.begin_run(aggregator, now)?;
        recovery.completed_exports = store.complete_interrupted_exports(now)?;
        Ok((store, recovery))
    }

    fn remove_temporary_files(&mut self) -> Result<(), LedgerError> {
        for name in self.disk.list()? {
            if file_names::is_temporary(&name) {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }

    /// Records the start of a run, preceded by a gap if the last run was killed and may have lost entries.
    fn begin_run(&mut self, aggregator: &str, now: UnixMs) -> Result<(), LedgerError> {
        let mut records = Vec::new();
        let window = self.options.loss_window_ms;
        if !self.book.ended_gracefully && window > 0 {
            let from = self.book.latest_entry;
            records.push(Record::Gap(Gap {
                from,
                to: now.max(from),
                entries: 0,
                reason: format!("a run ended without a word; its last {window} ms may be missing"),
            }));
        }
        let epoch = self.book.epoch + 1;
        records.push(Record::Open { aggregator: aggregator.to_owned(), epoch, at: now });
        self.append(&records)?;
        self.commit()
    }

    /// The state after all records appended so far.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Closes a period: no further queries or corrections are billed in it.
    ///
    /// # Errors
    /// The disk failed, or the period has not ended or is already closed.
    pub fn close(&mut self, period: Period, now: UnixMs) -> Result<(), LedgerError> {
        if self.book.period_state(period) == PeriodState::Closed {
            return Err(LedgerError::PeriodClosed(period));
        }
        if self.book.calendar().end(period) > now {
            return Err(LedgerError::PeriodNotOver(period));
        }
        self.append(&[Record::Close { period: period.to_string(), at: now }])?;
        self.commit()
    }

    /// Records a correction, which is billed in the period that is open at the time of the correction.
    ///
    /// # Errors
    /// The disk failed, or the correction lacks an author, a reason or a valid period.
    pub fn correct(&mut self, correction: Correction) -> Result<(), LedgerError> {
        if correction.author.trim().is_empty() || correction.reason.trim().is_empty() {
            return Err(LedgerError::CorrectionWithoutReason);
        }
        correction.corrected_period.parse::<Period>()?;
        self.append(&[Record::Correction(correction)])?;
        self.commit()
    }

    /// Records a gap for entries that could not be stored; the caller commits.
    ///
    /// # Errors
    /// The disk failed.
    pub fn record_gap(&mut self, gap: Gap) -> Result<(), LedgerError> {
        self.append(&[Record::Gap(gap)])
    }

    /// Records the end of a run at a graceful shutdown.
    ///
    /// # Errors
    /// The disk failed; the next run then records that entries may be missing.
    pub fn end_run(&mut self, now: UnixMs) -> Result<(), LedgerError> {
        self.append(&[Record::End { at: now }])?;
        self.commit()
    }

    /// Returns the underlying disk; used by tests.
    pub fn into_disk(self) -> D {
        self.disk
    }
}
