//! Writes exports in steps: the intent in the journal, the file, its manifest, then a record that it is done. A crash
//! between two steps is repaired at the next start under the same name and with the same bytes, so that whoever bills
//! can take an export's name as an idempotency key.

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
    /// Exports what is new in a period since its last export; `None` if nothing is.
    ///
    /// # Errors
    /// The disk failed. If the intent was stored, the next export or start completes this one.
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
        let Some(begun) = self.book.next_export(period, format.as_str()) else {
            return Ok(None);
        };
        let SequenceRange { after, up_to } = begun.range;
        let intent = Record::ExportIntent {
            name: begun.name.clone(),
            period: begun.period.clone(),
            format: begun.format.clone(),
            after,
            up_to,
        };
        self.append(&[intent])?;
        self.commit()?;
        self.complete_export(&begun, now)?;
        Ok(self.book.exports().iter().find(|export| export.name == begun.name).cloned())
    }

    /// Completes all exports that a crash interrupted and returns their number.
    pub(super) fn complete_interrupted_exports(&mut self, now: UnixMs) -> Result<usize, LedgerError> {
        let exports = self.book.exports().iter();
        let interrupted: Vec<ExportRecord> =
            exports.filter(|export| !export.is_finished()).cloned().collect();
        for export in &interrupted {
            self.complete_export(export, now)?;
        }
        Ok(interrupted.len())
    }

    /// Writes an export whose intent is in the journal: the file, its manifest, and the record that it is done.
    fn complete_export(&mut self, begun: &ExportRecord, now: UnixMs) -> Result<(), LedgerError> {
        let content = self.export_content(begun)?;
        let Some(format) = Format::from_name(&begun.format) else {
            return Err(LedgerError::UnknownFormat(begun.format.clone()));
        };
        let bytes = render(&content, format)?;
        let hash = hex::encode(&Sha256::digest(&bytes));
        let manifest = content.manifest(&hash).to_json();
        self.place_file(&begun.file_name(), &bytes)?;
        self.place_file(&format!("{}.manifest.json", begun.name), manifest.as_bytes())?;
        self.append(&[Record::ExportFinished { name: begun.name.clone(), hash, at: now }])?;
        self.commit()
    }

    /// The content of an export: the same at any time, since its records never change.
    fn export_content(&self, begun: &ExportRecord) -> Result<Export, LedgerError> {
        let mut content = Export::new(begun);
        let SequenceRange { after, up_to } = begun.range;
        recovery::load(&self.disk, self.book.calendar(), Start::FirstRecord, |sequence, record, book| {
            if sequence > after && sequence <= up_to {
                content.add(sequence, record, book);
            }
        })?;
        Ok(content)
    }
}
