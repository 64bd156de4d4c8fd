//! The rows of an export, which are the records that are billed in one period, and their sums for the manifest.

use super::accounts::{Account, BillingLine, Totals, Usage};
use super::period::Period;
use super::record::{Correction, Entry};
use serde_json::{Value, json};

/// Maximum number of billing lines that are summed at a time. Clients choose the names of unknown tenants, so that there may
/// be as many lines as entries.
const MAX_LINES: usize = 8192;

/// The record from which a row of an export is made.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum BilledRecord {
    /// A query with its final answer.
    Entry(Entry),
    /// A correction of an earlier bill.
    Correction(Correction),
}

/// A billed record and its sequence number.
#[derive(Clone, Debug)]
pub(super) struct BilledRow {
    pub sequence: u64,
    /// Whether its own period had been closed when it was recorded.
    pub late: bool,
    pub record: BilledRecord,
}

impl BilledRow {
    /// The billing line of an entry that is billed in `period`; `None` for a correction, which is in no line.
    fn line(&self, period: Period) -> Option<(BillingLine, &Entry)> {
        let BilledRecord::Entry(entry) = &self.record else { return None };
        // Each unknown tenant has its own account here, unlike in the book.
        let account = if entry.tenant_is_known {
            Account::Tenant(entry.tenant.clone())
        } else {
            Account::Unknown(entry.tenant.clone())
        };
        Some((BillingLine { period, account, class: entry.class.clone(), share: entry.share }, entry))
    }
}

/// The numbers of an export's rows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RowCounts {
    pub entries: u64,
    pub corrections: u64,
}

impl RowCounts {
    pub fn add(&mut self, row: &BilledRow) {
        match row.record {
            BilledRecord::Entry(_) => self.entries += 1,
            BilledRecord::Correction(_) => self.corrections += 1,
        }
    }
}

/// A bounded number of consecutive billing lines. All lines are summed by as many pages as it takes, each from all rows.
pub(super) struct LinePage {
    period: Period,
    /// The page has the lines after this one.
    after: Option<BillingLine>,
    lines: Totals,
    /// Lines after the last one of the page have been left out.
    is_cut: bool,
}

impl LinePage {
    /// The first lines of a period.
    pub fn first(period: Period) -> Self {
        LinePage { period, after: None, lines: Totals::new(), is_cut: false }
    }

    /// The period of the lines.
    pub fn period(&self) -> Period {
        self.period
    }

    /// The lines after this page; `None` if there are none.
    pub fn next(&self) -> Option<Self> {
        let (last, _) = self.lines.last_key_value().filter(|_| self.is_cut)?;
        Some(LinePage { period: self.period, after: Some(last.clone()), lines: Totals::new(), is_cut: false })
    }

    /// Adds a row to its line if that is on this page.
    pub fn add(&mut self, row: &BilledRow) {
        let Some((line, entry)) = row.line(self.period) else { return };
        let is_before = self.after.as_ref().is_some_and(|after| line <= *after);
        let is_behind = self.is_cut && self.lines.last_key_value().is_some_and(|(last, _)| line > *last);
        if is_before || is_behind {
            return;
        }
        self.lines.entry(line).or_default().add_entry(entry, row.late);
        if self.lines.len() > MAX_LINES {
            self.lines.pop_last();
            self.is_cut = true;
        }
    }

    /// The lines as texts in the manifest's array, without the comma between two of them.
    pub fn texts(&self) -> impl Iterator<Item = String> {
        self.lines.iter().map(|line| {
            let object = format!("{:#}", line_object(line));
            let indented: Vec<String> = object.lines().map(|line| format!("\n    {line}")).collect();
            indented.concat()
        })
    }
}

/// Converts billing lines to JSON objects, for manifests and the command line.
pub fn totals_to_json(totals: &Totals) -> Vec<Value> {
    totals.iter().map(line_object).collect()
}

fn line_object((line, usage): (&BillingLine, &Usage)) -> Value {
    json!({
        "period": line.period.to_string(),
        "tenant": line.account.name(),
        "class": line.class,
        "share": line.share.as_str(),
        "queries": usage.queries,
        "billed": usage.billed,
        "refused": usage.rejected,
        "failed": usage.failed,
        "asked": usage.requested_parts,
        "parts": usage.parts,
        "attempts": usage.attempts,
        "work_milliunits": usage.work,
        "late": usage.late,
    })
}
