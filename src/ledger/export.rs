//! The content of an export: the records that are billed in one period, and its manifest. [`render`](super::render)
//! turns it into bytes.

use super::accounts::{Account, BillingLine, Totals, Usage};
use super::book::{BilledCorrection, Book, ExportRecord, SequenceRange};
use super::record::{Correction, Entry};
use serde_json::{Value, json};

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
    pub record: BilledRecord,
}

/// The content of an export.
#[derive(Clone, Debug)]
pub struct Export {
    name: String,
    period: String,
    range: SequenceRange,
    rows: Vec<BilledRow>,
    totals: Totals,
}

/// The description written next to an export's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest(Value);

impl Manifest {
    /// Formats the manifest as an indented JSON object and a line feed.
    pub fn to_json(&self) -> String {
        format!("{:#}\n", self.0)
    }
}

impl Export {
    /// Creates an export without content.
    pub(super) fn new(export: &ExportRecord) -> Self {
        Export {
            name: export.name.clone(),
            period: export.period.clone(),
            range: export.range,
            rows: Vec::new(),
            totals: Totals::new(),
        }
    }

    /// Adds an entry if it is billed in the export's period. The entry must already be applied to `book`.
    pub(super) fn add_entry(&mut self, sequence: u64, entry: &Entry, book: &Book) {
        let (period, late) = book.billed_in(entry.at);
        if period.to_string() != self.period {
            return;
        }
        // Each unknown tenant has its own account here: unlike the book, an export is written once and needs no bound.
        let account = if entry.tenant_is_known {
            Account::Tenant(entry.tenant.clone())
        } else {
            Account::Unknown(entry.tenant.clone())
        };
        let line = BillingLine { period, account, class: entry.class.clone(), share: entry.share };
        self.totals.entry(line).or_default().add_entry(entry, late);
        self.rows.push(BilledRow { sequence, record: BilledRecord::Entry(entry.clone()) });
    }

    /// Adds a correction if it is billed in the export's period.
    pub(super) fn add_correction(&mut self, billed: &BilledCorrection) {
        if billed.billed_in.to_string() == self.period {
            let record = BilledRecord::Correction(billed.correction.clone());
            self.rows.push(BilledRow { sequence: billed.sequence, record });
        }
    }

    /// Puts the rows into the order of their sequence numbers.
    pub(super) fn sort_rows(&mut self) {
        self.rows.sort_unstable_by_key(|row| row.sequence);
    }

    /// The rows in the order of their sequence numbers.
    pub(super) fn rows(&self) -> &[BilledRow] {
        &self.rows
    }

    /// Number of queries in the export.
    pub fn entries(&self) -> usize {
        self.rows.iter().filter(|row| matches!(row.record, BilledRecord::Entry(_))).count()
    }

    /// Creates the manifest; `hash` is the SHA-256 of the export's file in hex.
    pub(super) fn manifest(&self, hash: &str) -> Manifest {
        let entries = self.entries();
        Manifest(json!({
            "name": self.name,
            "period": self.period,
            "after": self.range.after,
            "upto": self.range.up_to,
            "entries": entries,
            "corrections": self.rows.len() - entries,
            "sha256": hash,
            "totals": totals_to_json(&self.totals),
        }))
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
