//! What the records add up to: totals by period, account and class, corrections, closings and exports. A value that
//! takes records in order; two books that took the same records are the same.

use super::UnixMs;
use super::entry::{Correction, Entry, Gap, Outcome, Record, Share};
use super::period::{Calendar, Period};
use std::collections::{BTreeMap, BTreeSet};

/// Names of unknown tenants that get a line of their own; all others share one.
const UNKNOWN_MOST: usize = 1000;

/// Whose line it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Account {
    /// A tenant that the settings know.
    Tenant(String),
    /// A name that they do not.
    Unknown(String),
    /// All names beyond the bound.
    Others,
}

impl Account {
    /// As it is printed.
    pub fn name(&self) -> String {
        match self {
            Account::Tenant(name) => name.clone(),
            Account::Unknown(name) if name.is_empty() => "(none)".to_owned(),
            Account::Unknown(name) => format!("(unknown) {name}"),
            Account::Others => "(unknown, all others)".to_owned(),
        }
    }
}

/// What is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    /// Queries with a final answer.
    pub queries: u64,
    /// Those that are billed.
    pub billed: u64,
    /// Those refused.
    pub refused: u64,
    /// Those that failed, ran out of time or lost their client.
    pub failed: u64,
    /// Parts asked.
    pub asked: u64,
    /// Parts billed: served in answers, each once.
    pub parts: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Work billed, in thousandths of a unit.
    pub work: u64,
    /// Of the queries, those that came after their own period had closed.
    pub late: u64,
}

impl Sums {
    pub(super) fn add(&mut self, e: &Entry, late: bool) {
        self.queries += 1;
        match e.outcome {
            o if o.is_billed() => {
                self.billed += 1;
                self.parts += u64::from(e.served);
                self.work += e.work;
            }
            Outcome::Refused => self.refused += 1,
            _ => self.failed += 1,
        }
        self.asked += u64::from(e.asked);
        self.attempts += u64::from(e.attempts);
        self.late += u64::from(late);
    }
}

/// A line's key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Line {
    /// The period it is billed in.
    pub period: Period,
    /// Whose.
    pub account: Account,
    /// The class.
    pub class: String,
    /// Within the share or beyond.
    pub share: Share,
}

/// Lines and what stands in them.
pub type Totals = BTreeMap<Line, Sums>;

/// Where a period stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeriodState {
    /// It takes entries.
    Open,
    /// It takes none any more.
    Closed,
}

/// An export that was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    /// Its name.
    pub name: String,
    /// Its period.
    pub period: String,
    /// Its form's word.
    pub format: String,
    /// The records that it covers.
    pub range: (u64, u64),
    /// The hash of its bytes, once it is done.
    pub hash: Option<String>,
}

/// What the records add up to.
#[derive(Clone, Debug)]
pub struct Book {
    calendar: Calendar,
    /// The last record taken.
    pub(super) seq: u64,
    pub(super) mixer: String,
    pub(super) epoch: u64,
    pub(super) totals: Totals,
    /// Unknown tenants with lines of their own.
    pub(super) unknown: BTreeSet<String>,
    pub(super) corrections: Vec<(u64, Period, Correction)>,
    pub(super) gaps: Vec<(u64, Gap)>,
    pub(super) closed: BTreeMap<Period, UnixMs>,
    pub(super) exports: Vec<Begun>,
    /// The latest moment of any entry.
    pub(super) latest: UnixMs,
    /// The last run has ended in good order, or there was none.
    pub(super) ended: bool,
    /// The last record that changed a period.
    pub(super) changed: BTreeMap<Period, u64>,
}

impl Book {
    /// No records yet.
    pub fn new(calendar: Calendar) -> Self {
        Book {
            calendar,
            seq: 0,
            mixer: String::new(),
            epoch: 0,
            totals: Totals::new(),
            unknown: BTreeSet::new(),
            corrections: Vec::new(),
            gaps: Vec::new(),
            closed: BTreeMap::new(),
            exports: Vec::new(),
            latest: 0,
            changed: BTreeMap::new(),
            ended: true,
        }
    }

    /// Takes the next record in.
    pub fn apply(&mut self, seq: u64, record: &Record) {
        self.seq = seq;
        self.ended = matches!(record, Record::End { .. });
        match record {
            Record::End { .. } => {}
            Record::Open { mixer, epoch, .. } => {
                self.mixer.clone_from(mixer);
                self.epoch = *epoch;
            }
            Record::Entry(entry) => {
                self.latest = self.latest.max(entry.at);
                let (period, late) = self.billed_in(entry.at);
                self.changed.insert(period, seq);
                let account = self.account(entry);
                let line = Line { period, account, class: entry.class.clone(), share: entry.share };
                self.totals.entry(line).or_default().add(entry, late);
            }
            Record::Gap(gap) => self.gaps.push((seq, gap.clone())),
            Record::Correction(c) => {
                // Billed in the period that is open when it is made, whatever it corrects.
                let (period, _) = self.billed_in(c.at);
                self.changed.insert(period, seq);
                self.corrections.push((seq, period, c.clone()));
            }
            Record::Close { period, at } => {
                if let Ok(period) = period.parse() {
                    self.closed.entry(period).or_insert(*at);
                }
            }
            Record::Intent { name, period, format, after, upto } => self.exports.push(Begun {
                name: name.clone(),
                period: period.clone(),
                format: format.clone(),
                range: (*after, *upto),
                hash: None,
            }),
            Record::Done { name, hash, .. } => {
                if let Some(export) = self.exports.iter_mut().find(|e| e.name == *name) {
                    export.hash = Some(hash.clone());
                }
            }
        }
    }

    /// The period that what happened then is billed in, and whether its own had closed.
    pub fn billed_in(&self, at: UnixMs) -> (Period, bool) {
        let own = self.calendar.period(at);
        let mut period = own;
        while self.closed.contains_key(&period) {
            period = period.next();
        }
        (period, period != own)
    }

    fn account(&mut self, entry: &Entry) -> Account {
        if entry.known {
            return Account::Tenant(entry.tenant.clone());
        }
        if self.unknown.len() < UNKNOWN_MOST {
            self.unknown.insert(entry.tenant.clone());
        }
        match self.unknown.contains(&entry.tenant) {
            true => Account::Unknown(entry.tenant.clone()),
            false => Account::Others,
        }
    }

    /// The lines, corrections apart.
    pub fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Corrections with their sequence numbers and the periods they are billed in.
    pub fn corrections(&self) -> &[(u64, Period, Correction)] {
        &self.corrections
    }

    /// Gaps with their sequence numbers.
    pub fn gaps(&self) -> &[(u64, Gap)] {
        &self.gaps
    }

    /// Exports that were begun, in order.
    pub fn exports(&self) -> &[Begun] {
        &self.exports
    }

    /// Where a period stands.
    pub fn state(&self, period: Period) -> PeriodState {
        if self.closed.contains_key(&period) { PeriodState::Closed } else { PeriodState::Open }
    }

    /// The last record taken, the mixer and its run.
    pub fn position(&self) -> (u64, &str, u64) {
        (self.seq, &self.mixer, self.epoch)
    }

    /// The months in which it counts.
    pub fn calendar(&self) -> &Calendar {
        &self.calendar
    }

    /// Periods with lines or corrections that are over for longer than the grace and not closed yet, oldest first.
    pub fn due(&self, now: UnixMs, grace: UnixMs) -> Vec<Period> {
        let lines = self.totals.keys().map(|l| l.period).chain(self.corrections.iter().map(|(_, p, _)| *p));
        let mut due: Vec<Period> = lines
            .filter(|p| !self.closed.contains_key(p) && self.calendar.end(*p).saturating_add(grace) <= now)
            .collect();
        due.sort_unstable();
        due.dedup();
        due
    }

    /// The next export of a period: the records after the last one's up to the newest; none if nothing is new.
    pub fn next_export(&self, period: Period, format: &str) -> Option<Begun> {
        let of_period: Vec<&Begun> = self.exports.iter().filter(|e| e.period == period.to_string()).collect();
        let after = of_period.iter().map(|e| e.range.1).max().unwrap_or(0);
        if self.changed.get(&period).is_none_or(|last| *last <= after) {
            return None;
        }
        let (number, epoch) = (of_period.len() + 1, self.epoch);
        // It is the name of a file as well.
        let plain = |c: char| if c.is_ascii_alphanumeric() || matches!(c, '-' | '_') { c } else { '_' };
        let mixer: String = self.mixer.chars().map(plain).collect();
        Some(Begun {
            name: format!("{mixer}-e{epoch}-{period}-{number:04}"),
            period: period.to_string(),
            format: format.to_owned(),
            range: (after, self.seq),
            hash: None,
        })
    }
}
