//! The ledger's state: totals by billing line, corrections, closed periods and exports. The store applies records in
//! order; two books to which the same records were applied are equal. It reads no clock and does no I/O.

use super::UnixMs;
use super::accounts::{BillingLine, Totals, UnknownTenants};
use super::period::{Calendar, Period};
use super::record::{Correction, Entry, Gap, Record};
use std::collections::BTreeMap;

/// Whether entries are still billed in a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeriodState {
    /// Entries are billed in it.
    Open,
    /// No further entries are billed in it; late ones are billed in the next open period.
    Closed,
}

/// The records that an export covers, by their sequence numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceRange {
    /// The last record before the range; 0 if the range starts with the first record.
    pub after: u64,
    /// The last record in the range.
    pub up_to: u64,
}

/// A correction in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BilledCorrection {
    /// The sequence number of its record.
    pub sequence: u64,
    /// The period in which it is billed; may be later than the corrected period.
    pub billed_in: Period,
    /// The correction itself, as recorded.
    pub correction: Correction,
}

/// A gap in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedGap {
    /// The sequence number of its record.
    pub sequence: u64,
    /// The gap itself, as recorded.
    pub gap: Gap,
}

/// The position of the last record of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BookPosition<'a> {
    /// The sequence number of the last record.
    pub sequence: u64,
    /// Name of the aggregator that wrote it; empty before the first run.
    pub aggregator: &'a str,
    /// Number of the run that wrote it, counted from 1; 0 before the first run.
    pub epoch: u64,
}

/// An export that has been started: its intent is in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportRecord {
    /// The export's name, unique in the ledger.
    pub name: String,
    /// The exported period, as `2026-11`.
    pub period: String,
    /// The name of its format, as [`Format::as_str`](super::Format::as_str) returns it.
    pub format: String,
    /// The records that it covers.
    pub range: SequenceRange,
    /// SHA-256 of the file in hex; `None` until the export is finished.
    pub hash: Option<String>,
}

impl ExportRecord {
    /// Whether the export's file and its manifest are in place.
    pub fn is_finished(&self) -> bool {
        self.hash.is_some()
    }

    /// The name of the export's file.
    pub fn file_name(&self) -> String {
        format!("{}.{}", self.name, self.format)
    }
}

/// The state of a ledger after all records applied so far.
#[derive(Clone, Debug)]
pub struct Book {
    calendar: Calendar,
    /// The sequence number of the last record.
    pub(super) sequence: u64,
    /// Name of the aggregator that wrote the last run.
    pub(super) aggregator: String,
    /// The number of the last run, counted from 1.
    pub(super) epoch: u64,
    pub(super) totals: Totals,
    pub(super) unknown_tenants: UnknownTenants,
    pub(super) corrections: Vec<BilledCorrection>,
    pub(super) gaps: Vec<RecordedGap>,
    /// Closed periods and the time when each was closed.
    pub(super) closed_periods: BTreeMap<Period, UnixMs>,
    pub(super) exports: Vec<ExportRecord>,
    /// The latest time of any entry.
    pub(super) latest_entry: UnixMs,
    /// Whether the last run ended with a graceful shutdown, or there was no run.
    pub(super) ended_gracefully: bool,
    /// Sequence number of the last record that changed each period.
    pub(super) last_changes: BTreeMap<Period, u64>,
}

impl Book {
    /// Creates a book without records.
    pub fn new(calendar: Calendar) -> Self {
        Book {
            calendar,
            sequence: 0,
            aggregator: String::new(),
            epoch: 0,
            totals: Totals::new(),
            unknown_tenants: UnknownTenants::default(),
            corrections: Vec::new(),
            gaps: Vec::new(),
            closed_periods: BTreeMap::new(),
            exports: Vec::new(),
            latest_entry: 0,
            ended_gracefully: true,
            last_changes: BTreeMap::new(),
        }
    }

    /// Applies the next record.
    pub fn apply(&mut self, sequence: u64, record: &Record) {
        self.sequence = sequence;
        self.ended_gracefully = matches!(record, Record::End { .. });
        match record {
            Record::End { .. } => {}
            Record::Open { aggregator, epoch, .. } => {
                self.aggregator.clone_from(aggregator);
                self.epoch = *epoch;
            }
            Record::Entry(entry) => self.apply_entry(sequence, entry),
            Record::Gap(gap) => self.gaps.push(RecordedGap { sequence, gap: gap.clone() }),
            Record::Correction(correction) => self.apply_correction(sequence, correction),
            Record::Close { period, at } => {
                if let Ok(period) = period.parse() {
                    self.closed_periods.entry(period).or_insert(*at);
                }
            }
            Record::ExportIntent { name, period, format, after, up_to } => self.exports.push(ExportRecord {
                name: name.clone(),
                period: period.clone(),
                format: format.clone(),
                range: SequenceRange { after: *after, up_to: *up_to },
                hash: None,
            }),
            Record::ExportFinished { name, hash, .. } => {
                if let Some(export) = self.exports.iter_mut().find(|export| export.name == *name) {
                    export.hash = Some(hash.clone());
                }
            }
        }
    }

    fn apply_entry(&mut self, sequence: u64, entry: &Entry) {
        self.latest_entry = self.latest_entry.max(entry.at);
        let (period, late) = self.billed_in(entry.at);
        self.last_changes.insert(period, sequence);
        let account = self.unknown_tenants.account_of(entry);
        let line = BillingLine { period, account, class: entry.class.clone(), share: entry.share };
        self.totals.entry(line).or_default().add_entry(entry, late);
    }

    /// A correction is billed in the period that is open when it is made, whichever period it corrects.
    fn apply_correction(&mut self, sequence: u64, correction: &Correction) {
        let (billed_in, _) = self.billed_in(correction.at);
        self.last_changes.insert(billed_in, sequence);
        self.corrections.push(BilledCorrection { sequence, billed_in, correction: correction.clone() });
    }

    /// Returns the period in which an entry or correction made at `at` is billed, and whether the period of `at` itself
    /// is already closed.
    pub fn billed_in(&self, at: UnixMs) -> (Period, bool) {
        let own = self.calendar.period(at);
        let mut period = own;
        while self.closed_periods.contains_key(&period) {
            period = period.next();
        }
        (period, period != own)
    }

    /// The billing lines, without corrections.
    pub fn totals(&self) -> &Totals {
        &self.totals
    }

    /// All corrections, in the order of their records.
    pub fn corrections(&self) -> &[BilledCorrection] {
        &self.corrections
    }

    /// All gaps, in the order of their records.
    pub fn gaps(&self) -> &[RecordedGap] {
        &self.gaps
    }

    /// All exports, finished or not, in the order in which they were started.
    pub fn exports(&self) -> &[ExportRecord] {
        &self.exports
    }

    /// Whether a period is open or closed.
    pub fn period_state(&self, period: Period) -> PeriodState {
        if self.closed_periods.contains_key(&period) { PeriodState::Closed } else { PeriodState::Open }
    }

    /// The position of the last record.
    pub fn position(&self) -> BookPosition<'_> {
        BookPosition { sequence: self.sequence, aggregator: &self.aggregator, epoch: self.epoch }
    }

    /// The calendar by which entries are assigned to periods.
    pub fn calendar(&self) -> &Calendar {
        &self.calendar
    }

    /// Open periods with billing lines or corrections that ended at least `grace` milliseconds ago, oldest first.
    pub fn due_periods(&self, now: UnixMs, grace: UnixMs) -> Vec<Period> {
        let billed = self.totals.keys().map(|line| line.period);
        let corrected = self.corrections.iter().map(|billed| billed.billed_in);
        let is_due = |period: &Period| {
            let is_open = self.period_state(*period) == PeriodState::Open;
            is_open && self.calendar.end(*period).saturating_add(grace) <= now
        };
        let mut due: Vec<Period> = billed.chain(corrected).filter(is_due).collect();
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Closed periods with records that no export covers yet, oldest first.
    pub fn unexported_closed_periods(&self) -> Vec<Period> {
        let closed = self.closed_periods.keys().copied();
        closed.filter(|period| self.has_unexported_records(*period)).collect()
    }

    fn has_unexported_records(&self, period: Period) -> bool {
        self.last_changes.get(&period).is_some_and(|last| *last > self.export_starts_after(period))
    }

    /// The last record that the exports of a period cover, finished or not.
    fn export_starts_after(&self, period: Period) -> u64 {
        let period = period.to_string();
        let exports = self.exports.iter().filter(|export| export.period == period);
        exports.map(|export| export.range.up_to).max().unwrap_or(0)
    }

    /// Whether a record that is billed in a period is in a finished export and the period is closed.
    pub(super) fn is_exported(&self, period: Period, sequence: u64) -> bool {
        self.period_state(period) == PeriodState::Closed && sequence <= self.exported_up_to(period)
    }

    /// The last record that the finished exports of a period cover without a break.
    fn exported_up_to(&self, period: Period) -> u64 {
        let period = period.to_string();
        let exports = || self.exports.iter().filter(|export| export.period == period);
        let first_unfinished =
            exports().filter(|export| !export.is_finished()).map(|export| export.range.after);
        let last_finished = exports().map(|export| export.range.up_to).max();
        first_unfinished.min().or(last_finished).unwrap_or(0)
    }

    /// The next export of a period, which covers the records after its previous export up to the newest one. `None` if
    /// nothing in the period has changed since.
    pub fn next_export(&self, period: Period, format: &str) -> Option<ExportRecord> {
        if !self.has_unexported_records(period) {
            return None;
        }
        let after = self.export_starts_after(period);
        let period_name = period.to_string();
        let aggregator = sanitize_for_file_name(&self.aggregator);
        let epoch = self.epoch;
        let number = self.exports.iter().filter(|export| export.period == period_name).count() + 1;
        Some(ExportRecord {
            name: format!("{aggregator}-e{epoch}-{period_name}-{number:04}"),
            period: period_name,
            format: format.to_owned(),
            range: SequenceRange { after, up_to: self.sequence },
            hash: None,
        })
    }
}

/// Replaces characters that are unsafe in file names by underscores.
fn sanitize_for_file_name(name: &str) -> String {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '_') { c } else { '_' };
    name.chars().map(sanitize).collect()
}
