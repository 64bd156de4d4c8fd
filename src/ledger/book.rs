//! The ledger's state: totals by billing line, corrections, closed periods and exports. The store feeds it records in
//! order; two books that took the same records are equal. It reads no clock and no file.

use super::UnixMs;
use super::accounts::{BillingLine, Totals, UnknownTenants};
use super::period::{Calendar, Period};
use super::record::{Correction, Entry, Gap, Record};
use std::collections::BTreeMap;

/// Whether a period still takes entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeriodState {
    /// It takes entries.
    Open,
    /// It takes no entries any more; what comes late is billed in a later period.
    Closed,
}

/// The records that an export covers, by their sequence numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceRange {
    /// The last record before it; 0 if it covers the first record.
    pub after: u64,
    /// The last record in it.
    pub up_to: u64,
}

/// A correction in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BilledCorrection {
    /// The sequence number of its record.
    pub sequence: u64,
    /// The period in which it is billed, which may be later than the one that it corrects.
    pub billed_in: Period,
    /// The correction.
    pub correction: Correction,
}

/// A gap in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedGap {
    /// The sequence number of its record.
    pub sequence: u64,
    /// The gap.
    pub gap: Gap,
}

/// How far a ledger's journal has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BookPosition<'a> {
    /// The sequence number of the last record.
    pub sequence: u64,
    /// The aggregator that wrote it.
    pub aggregator: &'a str,
    /// The number of its run, counted from 1.
    pub epoch: u64,
}

/// An export whose intent is in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExportRecord {
    /// The export's name, which is unique.
    pub name: String,
    /// The period that it covers.
    pub period: String,
    /// The name of its format.
    pub format: String,
    /// The records that it covers.
    pub range: SequenceRange,
    /// SHA-256 of its bytes in hex, once it is finished.
    pub hash: Option<String>,
}

impl ExportRecord {
    /// The export's file and its manifest are in place.
    pub fn is_finished(&self) -> bool {
        self.hash.is_some()
    }

    /// The name of the export's file.
    pub fn file_name(&self) -> String {
        format!("{}.{}", self.name, self.format)
    }
}

/// The sum of all records so far.
#[derive(Clone, Debug)]
pub struct Book {
    calendar: Calendar,
    /// The sequence number of the last record.
    pub(super) sequence: u64,
    /// The aggregator that wrote the last run.
    pub(super) aggregator: String,
    /// The number of the last run, counted from 1.
    pub(super) epoch: u64,
    pub(super) totals: Totals,
    pub(super) unknown_tenants: UnknownTenants,
    pub(super) corrections: Vec<BilledCorrection>,
    pub(super) gaps: Vec<RecordedGap>,
    /// Closed periods, and when each was closed.
    pub(super) closed_periods: BTreeMap<Period, UnixMs>,
    pub(super) exports: Vec<ExportRecord>,
    /// The latest time of any entry.
    pub(super) latest_entry: UnixMs,
    /// The last run ended by a graceful shutdown, or there was none.
    pub(super) ended_gracefully: bool,
    /// The last record that changed each period.
    pub(super) last_changes: BTreeMap<Period, u64>,
}

impl Book {
    /// A book without records.
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

    /// Takes the next record.
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

    /// The period in which an event of that time is billed, and whether its own period had closed.
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

    /// Exports in the order in which they were begun, finished or not.
    pub fn exports(&self) -> &[ExportRecord] {
        &self.exports
    }

    /// Whether a period still takes entries.
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

    /// Periods with lines or corrections that ended at least `grace` milliseconds ago and are still open, oldest first.
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

    /// The next export of a period: the records since its last export up to the newest one. `None` if nothing in the
    /// period changed since.
    pub fn next_export(&self, period: Period, format: &str) -> Option<ExportRecord> {
        let period_name = period.to_string();
        let earlier = || self.exports.iter().filter(|export| export.period == period_name);
        let after = earlier().map(|export| export.range.up_to).max().unwrap_or(0);
        if self.last_changes.get(&period).is_none_or(|last| *last <= after) {
            return None;
        }
        let aggregator = file_name_part(&self.aggregator);
        let epoch = self.epoch;
        let number = earlier().count() + 1;
        Some(ExportRecord {
            name: format!("{aggregator}-e{epoch}-{period_name}-{number:04}"),
            period: period_name,
            format: format.to_owned(),
            range: SequenceRange { after, up_to: self.sequence },
            hash: None,
        })
    }
}

/// A name without characters that a file name may not have.
fn file_name_part(name: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '_') { c } else { '_' };
    name.chars().map(plain).collect()
}
