//! `sailmux ledger show`: totals and corrections, now or as of an earlier time.

use super::super::failure::Failure;
use super::super::print;
use super::LedgerLocation;
use super::table::totals_table;
use crate::ledger::{BilledCorrection, Book, Period, Record, Totals, UnixMs, totals_to_json};
use jiff::Timestamp;
use serde_json::{Value, json};

#[derive(clap::Args)]
pub(in crate::cli) struct Show {
    #[command(flatten)]
    location: LedgerLocation,
    /// Show only this tenant
    #[arg(long)]
    tenant: Option<String>,
    /// Show only this billing period, such as 2026-11
    #[arg(long)]
    period: Option<Period>,
    /// Show the totals as of this time, such as 2026-12-01T00:00:00+08:00, without later entries and corrections
    #[arg(long, value_name = "TIME")]
    as_of: Option<Timestamp>,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
}

impl Show {
    pub(super) fn run(self) -> Result<(), Failure> {
        let book = match self.as_of {
            Some(time) => book_as_of(&self.location, time.as_millisecond())?,
            None => self.location.read(|_, _, _| {})?,
        };
        let mut totals = book.totals().clone();
        totals.retain(|line, _| self.is_selected(line.period, &line.account.name()));
        let corrections = book.corrections().iter();
        let corrections: Vec<&BilledCorrection> = corrections
            .filter(|billed| self.is_selected(billed.billed_in, &billed.correction.tenant))
            .collect();
        if self.json {
            return print(&json_text(&totals, &corrections));
        }
        let corrections: String = corrections.into_iter().map(correction_line).collect();
        print(&format!("{}{corrections}", totals_table(&totals)))
    }

    fn is_selected(&self, period: Period, tenant: &str) -> bool {
        let is_period = self.period.is_none_or(|only| only == period);
        let is_tenant = self.tenant.as_deref().is_none_or(|only| only == tenant);
        is_period && is_tenant
    }
}

/// The book as of a time. Fails if the first records have been compacted, since the totals at that time are then
/// unknown.
fn book_as_of(location: &LedgerLocation, as_of: UnixMs) -> Result<Book, Failure> {
    let mut book = Book::new(location.calendar()?);
    let mut first_sequence = None;
    location.read(|sequence, record, _| {
        first_sequence.get_or_insert(sequence);
        if created_at(record).is_none_or(|at| at <= as_of) {
            book.apply(sequence, record);
        }
    })?;
    match first_sequence {
        Some(first) if first > 1 => Err(Failure::message(format!(
            "records before {first} are compacted: the totals at that time are unknown"
        ))),
        _ => Ok(book),
    }
}

/// When a record was created; `None` if its kind has no time.
fn created_at(record: &Record) -> Option<UnixMs> {
    match record {
        Record::Entry(entry) => Some(entry.at),
        Record::Correction(correction) => Some(correction.at),
        Record::Close { at, .. } | Record::Open { at, .. } | Record::ExportFinished { at, .. } => Some(*at),
        Record::End { .. } | Record::Gap(_) | Record::ExportIntent { .. } => None,
    }
}

fn json_text(totals: &Totals, corrections: &[&BilledCorrection]) -> String {
    let corrections: Vec<Value> = corrections.iter().map(|billed| correction_object(billed)).collect();
    format!("{:#}\n", json!({ "totals": totals_to_json(totals), "corrections": corrections }))
}

fn correction_object(billed: &BilledCorrection) -> Value {
    let BilledCorrection { sequence, billed_in, correction } = billed;
    json!({
        "seq": sequence,
        "billed_in": billed_in.to_string(),
        "corrects": correction.corrected_period,
        "tenant": correction.tenant,
        "class": correction.class,
        "share": correction.share.as_str(),
        "queries": correction.queries,
        "parts": correction.parts,
        "work_milliunits": correction.work,
        "by": correction.author,
        "why": correction.reason,
        "at_ms": correction.at,
    })
}

fn correction_line(billed: &BilledCorrection) -> String {
    let BilledCorrection { sequence, billed_in, correction } = billed;
    format!(
        "correction {sequence}, billed in {billed_in}, of {}: {} {} {:+} queries, {:+} parts, {:+.3} units; by {}: {}\n",
        correction.corrected_period,
        correction.tenant,
        correction.class,
        correction.queries,
        correction.parts,
        correction.work as f64 / 1e3,
        correction.author,
        correction.reason
    )
}
