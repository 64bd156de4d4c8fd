//! Appends records to the active segment, makes them durable, and starts a new segment when the active one is full.

use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::journal;
use super::super::record::Record;
use super::recovery::{self, LastSegment, Start};
use super::{Store, file_names, snapshot};

/// The segment to which records are appended.
#[derive(Default)]
pub(super) struct ActiveSegment {
    name: String,
    /// Number of bytes written; 0 before the first segment is started.
    length: usize,
    /// Number of bytes known to be durable.
    synced: usize,
}

impl ActiveSegment {
    fn is_started(&self) -> bool {
        self.length > 0
    }
}

impl<D: Disk> Store<D> {
    /// Continues the last segment of an earlier run after truncating its torn tail.
    pub(super) fn resume_segment(&mut self, last: LastSegment) -> Result<(), LedgerError> {
        if last.readable_bytes < journal::HEADER_BYTES {
            // Not even the header was durable: the next append creates the segment again.
            return Ok(self.disk.remove(&last.name)?);
        }
        if last.torn_bytes > 0 {
            self.disk.truncate(&last.name, last.readable_bytes as u64)?;
            self.disk.sync(&last.name)?;
        }
        self.segment =
            ActiveSegment { name: last.name, length: last.readable_bytes, synced: last.readable_bytes };
        Ok(())
    }

    /// Appends records to the segment; [`Store::commit`] makes them durable.
    ///
    /// # Errors
    /// The disk failed. None of the records is in the book, and the next call first truncates the segment to its synced
    /// bytes.
    pub fn append(&mut self, records: &[Record]) -> Result<(), LedgerError> {
        if self.write_failed {
            self.discard_unsynced()?;
        }
        if !self.segment.is_started() || self.segment.length >= self.options.segment_bytes {
            self.roll_segment()?;
        }
        self.frames.clear();
        let synced = self.segment.synced as u32;
        for (sequence, record) in (self.book.sequence + 1..).zip(records) {
            journal::encode(&mut self.frames, sequence, synced, record);
        }
        if let Err(error) = self.disk.append(&self.segment.name, &self.frames) {
            self.write_failed = true;
            return Err(error.into());
        }
        self.segment.length += self.frames.len();
        for record in records {
            self.book.apply(self.book.sequence + 1, record);
        }
        Ok(())
    }

    /// Makes all records appended so far durable.
    ///
    /// # Errors
    /// The disk failed. It is unknown which records were stored since the last commit: the caller appends them again,
    /// and the next append resets the book to that commit.
    pub fn commit(&mut self) -> Result<(), LedgerError> {
        if self.segment.synced == self.segment.length {
            return Ok(());
        }
        if let Err(error) = self.disk.sync(&self.segment.name) {
            self.write_failed = true;
            return Err(error.into());
        }
        self.segment.synced = self.segment.length;
        Ok(())
    }

    /// Recovers from a failed write: truncates the segment to its synced bytes and reloads the book.
    fn discard_unsynced(&mut self) -> Result<(), LedgerError> {
        self.disk.truncate(&self.segment.name, self.segment.synced as u64)?;
        self.disk.sync(&self.segment.name)?;
        let loaded = recovery::load(&self.disk, self.book.calendar(), Start::NewestSnapshot, |_, _, _| {})?;
        self.book = loaded.book;
        self.segment.length = self.segment.synced;
        self.write_failed = false;
        Ok(())
    }

    /// Seals the active segment, if any, by writing a snapshot of the book, and starts the next segment.
    fn roll_segment(&mut self) -> Result<(), LedgerError> {
        if self.segment.is_started() {
            self.commit()?;
            let snapshot = snapshot::encode(&self.book);
            self.write_file_atomically(&file_names::snapshot(self.book.sequence), &snapshot)?;
        }
        let first_sequence = self.book.sequence + 1;
        let name = file_names::segment(first_sequence);
        // A crash or a failed write may have left a file with that name, which contains no synced record.
        self.write_file(&name, &journal::segment_header(first_sequence))?;
        self.disk.sync_directory()?;
        self.segment = ActiveSegment { name, length: journal::HEADER_BYTES, synced: journal::HEADER_BYTES };
        Ok(())
    }

    /// Writes and syncs a file, replacing any file with that name. A crash may leave it incomplete.
    fn write_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), LedgerError> {
        if self.disk.list()?.iter().any(|existing| existing == name) {
            self.disk.remove(name)?;
        }
        self.disk.append(name, bytes)?;
        Ok(self.disk.sync(name)?)
    }

    /// Writes a file atomically and durably: after a crash it is either complete or absent.
    pub(super) fn write_file_atomically(&mut self, name: &str, bytes: &[u8]) -> Result<(), LedgerError> {
        let temporary = file_names::temporary(name);
        self.write_file(&temporary, bytes)?;
        self.disk.rename(&temporary, name)?;
        Ok(self.disk.sync_directory()?)
    }
}
