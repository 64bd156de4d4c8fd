//! Writes exports in steps: the intent in the journal, the file, its manifest, then a completion record. After a crash
//! between two steps, the export is completed at the next start with the same name and the same bytes, so that billing
//! systems can use an export's name as an idempotency key.

use super::super::UnixMs;
use super::super::book::{ExportRecord, SequenceRange};
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::export::Export;
use super::super::export_format::{Format, render};
use super::super::period::Period;
use super::super::record::Record;
use super::Store;
use super::recovery::{self, Start};
use crate::hex;
use sha2::{Digest, Sha256};

impl<D: Disk> Store<D> {
    /// Exports the records of a period since its last export; `None` if there are none.
    ///
    /// # Errors
    /// The disk failed. If the intent was stored, the next export or start completes this export.
    pub fn export(
        &mut self,
        period: Period,
        format: Format,
        now: UnixMs,
    ) -> Result<Option<ExportRecord>, LedgerError> {
        let interrupted = self.book.exports().iter().find(|export| !export.is_finished()).cloned();
        if let Some(interrupted) = interrupted {
            self.complete_export(&interrupted, now)?;
        }
        let Some(started) = self.book.next_export(period, format.as_str()) else {
            return Ok(None);
        };
        let SequenceRange { after, up_to } = started.range;
        let intent = Record::ExportIntent {
            name: started.name.clone(),
            period: started.period.clone(),
            format: started.format.clone(),
            after,
            up_to,
        };
        self.append(&[intent])?;
        self.commit()?;
        self.complete_export(&started, now)?;
        Ok(self.book.exports().iter().find(|export| export.name == started.name).cloned())
    }

    /// Completes all exports that were interrupted by a crash and returns their number.
    pub(super) fn complete_interrupted_exports(&mut self, now: UnixMs) -> Result<usize, LedgerError> {
        let exports = self.book.exports().iter();
        let interrupted: Vec<ExportRecord> =
            exports.filter(|export| !export.is_finished()).cloned().collect();
        for export in &interrupted {
            self.complete_export(export, now)?;
        }
        Ok(interrupted.len())
    }

    /// Completes an export whose intent is in the journal: writes the file, its manifest and the completion record.
    fn complete_export(&mut self, started: &ExportRecord, now: UnixMs) -> Result<(), LedgerError> {
        let content = self.export_content(started)?;
        let Some(format) = Format::from_name(&started.format) else {
            return Err(LedgerError::UnknownFormat(started.format.clone()));
        };
        let bytes = render(&content, format)?;
        let hash = hex::encode(&Sha256::digest(&bytes));
        let manifest = content.manifest(&hash).to_json();
        self.write_file_atomically(&started.file_name(), &bytes)?;
        self.write_file_atomically(&format!("{}.manifest.json", started.name), manifest.as_bytes())?;
        self.append(&[Record::ExportFinished { name: started.name.clone(), hash, at: now }])?;
        self.commit()
    }

    /// Collects the content of an export. The result is always the same, since the records never change. Corrections are
    /// taken from the book, which has them even if their segments have been removed.
    fn export_content(&self, started: &ExportRecord) -> Result<Export, LedgerError> {
        let mut content = Export::new(started);
        let SequenceRange { after, up_to } = started.range;
        recovery::load(&self.disk, self.book.calendar(), Start::FirstRecord, |sequence, record, book| {
            if let Record::Entry(entry) = record
                && sequence > after
                && sequence <= up_to
            {
                content.add_entry(sequence, entry, book);
            }
        })?;
        for billed in self.book.corrections() {
            if billed.sequence > after && billed.sequence <= up_to {
                content.add_correction(billed);
            }
        }
        content.sort_rows();
        Ok(content)
    }
}
