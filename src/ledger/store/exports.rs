//! Writes exports in steps: the intent in the journal, the file, its manifest, then a completion record. After a crash
//! between two steps, the export is completed at the next start with the same name and the same bytes, so that billing
//! systems can use an export's name as an idempotency key.

use super::super::UnixMs;
use super::super::book::{Book, ExportRecord, SequenceRange};
use super::super::disk::Disk;
use super::super::error::LedgerError;
use super::super::export::{BilledRecord, BilledRow, LinePage, RowCounts};
use super::super::export_format::{Format, RowEncoder};
use super::super::output_file::OutputFile;
use super::super::period::Period;
use super::super::record::Record;
use super::reader::JournalReader;
use super::recovery::Start;
use super::{Store, file_names};
use serde_json::json;

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
        let Some(format) = Format::from_name(&started.format) else {
            return Err(LedgerError::UnknownFormat(started.format.clone()));
        };
        let period: Period = started.period.parse()?;
        let file_name = started.file_name();
        let spool_name = |buffer: &str| file_names::temporary(&format!("{file_name}-{buffer}"));
        let mut file = OutputFile::create(&mut self.disk, file_names::temporary(&file_name))?;
        let mut encoder = RowEncoder::create(&mut self.disk, format, spool_name)?;
        let mut counts = RowCounts::default();
        let mut lines = LinePage::first(period);
        let mut rows = ExportRows::open(&self.disk, &self.book, started.range, period)?;
        while let Some(row) = rows.next(&self.disk, &self.book)? {
            counts.add(&row);
            lines.add(&row);
            encoder.add(&mut self.disk, &mut file, &row)?;
        }
        encoder.finish(&mut self.disk, &mut file)?;
        let hash = file.finish(&mut self.disk, &file_name)?;
        self.write_manifest(started, counts, lines, &hash)?;
        self.append(&[Record::ExportFinished { name: started.name.clone(), hash, at: now }])?;
        self.commit()
    }

    /// Writes the description of an export next to its file: an indented JSON object and a line feed. `hash` is the SHA-256
    /// of the file in hex.
    fn write_manifest(
        &mut self,
        export: &ExportRecord,
        counts: RowCounts,
        mut lines: LinePage,
        hash: &str,
    ) -> Result<(), LedgerError> {
        let name = format!("{}.manifest.json", export.name);
        let mut file = OutputFile::create(&mut self.disk, file_names::temporary(&name))?;
        let head = json!({
            "name": export.name,
            "period": export.period,
            "after": export.range.after,
            "entries": counts.entries,
            "corrections": counts.corrections,
            "sha256": hash,
        });
        // The keys are in alphabetical order; the last two follow the head's.
        let head = format!("{head:#}");
        let head = head.trim_end_matches(['}', '\n']);
        file.write(&mut self.disk, format!("{head},\n  \"totals\": [").as_bytes())?;
        let mut separator = "";
        loop {
            for text in lines.texts() {
                file.write(&mut self.disk, format!("{separator}{text}").as_bytes())?;
                separator = ",";
            }
            let Some(next) = lines.next() else { break };
            // The sums of one page at a time are in memory.
            drop(lines);
            lines = self.sum_lines(export, next)?;
        }
        let end = if separator.is_empty() { "]" } else { "\n  ]" };
        let up_to = export.range.up_to;
        file.write(&mut self.disk, format!("{end},\n  \"upto\": {up_to}\n}}\n").as_bytes())?;
        file.finish(&mut self.disk, &name)?;
        Ok(())
    }

    /// Sums the lines of a page from all rows of an export.
    fn sum_lines(&self, export: &ExportRecord, mut lines: LinePage) -> Result<LinePage, LedgerError> {
        let mut rows = ExportRows::open(&self.disk, &self.book, export.range, lines.period())?;
        while let Some(row) = rows.next(&self.disk, &self.book)? {
            lines.add(&row);
        }
        Ok(lines)
    }
}

/// The rows of an export in the order of their sequence numbers. They are always the same, since the records never change.
/// Entries are read from the journal; corrections are taken from the book, which has them even if their segments have been
/// removed.
struct ExportRows {
    reader: JournalReader,
    range: SequenceRange,
    period: Period,
    /// Index of the next correction in the book.
    next_correction: usize,
    /// The next entry, which follows the corrections before it.
    next_entry: Option<BilledRow>,
}

impl ExportRows {
    fn open(
        disk: &impl Disk,
        book: &Book,
        range: SequenceRange,
        period: Period,
    ) -> Result<Self, LedgerError> {
        let reader = JournalReader::open(disk, book.calendar(), Start::FirstRecord)?;
        let mut rows = ExportRows { reader, range, period, next_correction: 0, next_entry: None };
        rows.next_entry = rows.read_entry(disk)?;
        Ok(rows)
    }

    fn next(&mut self, disk: &impl Disk, book: &Book) -> Result<Option<BilledRow>, LedgerError> {
        let before = self.next_entry.as_ref().map_or(u64::MAX, |entry| entry.sequence);
        if let Some(correction) = self.take_correction(book, before) {
            return Ok(Some(correction));
        }
        let Some(entry) = self.next_entry.take() else { return Ok(None) };
        self.next_entry = self.read_entry(disk)?;
        Ok(Some(entry))
    }

    /// The next correction of the export whose sequence number is below `before`.
    fn take_correction(&mut self, book: &Book, before: u64) -> Option<BilledRow> {
        while let Some(billed) = book.corrections().get(self.next_correction) {
            if billed.sequence >= before {
                return None;
            }
            self.next_correction += 1;
            if billed.billed_in == self.period && self.contains(billed.sequence) {
                let record = BilledRecord::Correction(billed.correction.clone());
                return Some(BilledRow { sequence: billed.sequence, late: false, record });
            }
        }
        None
    }

    /// Reads the next entry of the export from the journal.
    fn read_entry(&mut self, disk: &impl Disk) -> Result<Option<BilledRow>, LedgerError> {
        while self.reader.book().position().sequence < self.range.up_to {
            let Some((sequence, record)) = self.reader.next(disk)? else { return Ok(None) };
            let Record::Entry(entry) = record else { continue };
            let (period, late) = self.reader.book().billed_in(entry.at);
            if period == self.period && self.contains(sequence) {
                return Ok(Some(BilledRow { sequence, late, record: BilledRecord::Entry(entry) }));
            }
        }
        Ok(None)
    }

    fn contains(&self, sequence: u64) -> bool {
        self.range.after < sequence && sequence <= self.range.up_to
    }
}
