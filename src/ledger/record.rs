//! The records of the ledger, which is append-only.

use super::UnixMs;
use std::fmt;

/// The outcome of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// Answered completely; billed.
    Complete,
    /// Answered partially; billed.
    Partial,
    /// Rejected by admission; not billed.
    Rejected,
    /// Failed; not billed.
    Failed,
    /// Its deadline passed; not billed.
    Expired,
    /// Its client disconnected before the answer; not billed.
    ClientDisconnected,
}

impl Outcome {
    /// All outcomes; the index is the value stored in the journal.
    pub const ALL: [Outcome; 6] = [
        Outcome::Complete,
        Outcome::Partial,
        Outcome::Rejected,
        Outcome::Failed,
        Outcome::Expired,
        Outcome::ClientDisconnected,
    ];

    /// Whether a query with this outcome is billed: only answered queries are.
    pub fn is_billed(self) -> bool {
        matches!(self, Outcome::Complete | Outcome::Partial)
    }

    /// The name in exports, metric labels and command output.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "whole",
            Outcome::Partial => "partial",
            Outcome::Rejected => "refused",
            Outcome::Failed => "failed",
            Outcome::Expired => "expired",
            Outcome::ClientDisconnected => "gone",
        }
    }
}

/// Whether a query was within its tenant's quota when it was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaShare {
    /// Within the tenant's quota.
    WithinQuota,
    /// Beyond the tenant's quota; summed in a separate billing line.
    OverQuota,
}

impl QuotaShare {
    /// The name in exports, metric labels and command output.
    pub fn as_str(self) -> &'static str {
        match self {
            QuotaShare::WithinQuota => "within",
            QuotaShare::OverQuota => "beyond",
        }
    }
}

/// One query with its final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Wall-clock time of the final answer.
    pub at: UnixMs,
    /// The tenant name sent by the client.
    pub tenant: String,
    /// Whether that tenant is configured.
    pub tenant_is_known: bool,
    /// The query class.
    pub class: String,
    /// The query id, chosen by the client.
    pub query: String,
    /// Number of parts requested.
    pub parts: u32,
    /// Number of parts served, each counted once regardless of its attempts.
    pub parts_served: u32,
    /// Number of attempts sent to leaf servers; not billed.
    pub attempts: u32,
    /// Work billed, in thousandths of a unit of the price list.
    pub work: u64,
    /// The outcome, which decides whether the query is billed.
    pub outcome: Outcome,
    /// Whether the query was within the tenant's quota when it was admitted.
    pub share: QuotaShare,
}

/// Entries that could not be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Time of the first lost entry.
    pub from: UnixMs,
    /// Time of the last lost entry.
    pub to: UnixMs,
    /// Number of lost entries; 0 if unknown.
    pub entries: u64,
    /// Reason for the loss, for operators.
    pub reason: String,
}

impl Gap {
    /// Creates a gap of one entry.
    pub(super) fn from_entry(at: UnixMs, reason: &str) -> Self {
        Gap { from: at, to: at, entries: 1, reason: reason.to_owned() }
    }

    /// Extends the gap by one lost entry.
    pub(super) fn add_entry(&mut self, at: UnixMs) {
        self.from = self.from.min(at);
        self.to = self.to.max(at);
        self.entries += 1;
    }
}

/// A change to billed usage, recorded separately from the entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Correction {
    /// Time at which the correction was made.
    pub at: UnixMs,
    /// Idempotency key: a repeated request with the same key is not applied again.
    pub id: String,
    /// The tenant whose account is corrected.
    pub tenant: String,
    /// The query class.
    pub class: String,
    /// The period that was billed wrongly, as `2026-11`. It may be closed; its own totals do not change.
    pub corrected_period: String,
    /// Whether the corrected queries were within the tenant's quota.
    pub share: QuotaShare,
    /// Added to the billed queries; negative to reduce them.
    pub queries: i64,
    /// Added to the billed parts; negative to reduce them.
    pub parts: i64,
    /// Added to the billed work, in thousandths of a unit; negative to reduce it.
    pub work: i64,
    /// Author of the correction; must not be blank.
    pub author: String,
    /// Reason for the correction; must not be blank.
    pub reason: String,
}

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Start of an aggregator's run.
    Open {
        /// The aggregator's name.
        aggregator: String,
        /// Number of the run in this ledger, counted from 1.
        epoch: u64,
        /// Time at which the run started.
        at: UnixMs,
    },
    /// Graceful shutdown of a run, with all its entries stored.
    End {
        /// Time at which the run ended.
        at: UnixMs,
    },
    /// A query with its final answer.
    Entry(Entry),
    /// Entries that could not be stored.
    Gap(Gap),
    /// A change to billed usage.
    Correction(Correction),
    /// Closing of a period.
    Close {
        /// The period, as `2026-11`.
        period: String,
        /// Time at which the period was closed.
        at: UnixMs,
    },
    /// Intent to write an export, recorded before its file.
    ExportIntent {
        /// The export's name.
        name: String,
        /// The exported period, as `2026-11`.
        period: String,
        /// The name of its file format.
        format: String,
        /// Exclusive start of the exported range of sequence numbers.
        after: u64,
        /// Inclusive end of the exported range of sequence numbers.
        up_to: u64,
    },
    /// Completion of an export: its file and manifest are durable.
    ExportFinished {
        /// The export's name.
        name: String,
        /// SHA-256 of the exported file, in hex.
        hash: String,
        /// Time at which the export was finished.
        at: UnixMs,
    },
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Record::Open { aggregator, epoch, .. } => write!(f, "open     {aggregator}, epoch {epoch}"),
            Record::End { .. } => write!(f, "end"),
            Record::Entry(entry) => write_entry(f, entry),
            Record::Gap(gap) => {
                write!(f, "gap      {} entries from {} to {}: {}", gap.entries, gap.from, gap.to, gap.reason)
            }
            Record::Correction(correction) => write_correction(f, correction),
            Record::Close { period, .. } => write!(f, "close    {period}"),
            Record::ExportIntent { name, after, up_to, .. } => {
                write!(f, "intent   {name}, records {} to {up_to}", after + 1)
            }
            Record::ExportFinished { name, hash, .. } => write!(f, "exported {name}, {hash}"),
        }
    }
}

fn write_entry(f: &mut fmt::Formatter<'_>, entry: &Entry) -> fmt::Result {
    write!(
        f,
        "entry    {} {} {}: {} of {} parts, {} attempts, {}.{:03} units, {}, {}",
        entry.tenant,
        entry.class,
        entry.query,
        entry.parts_served,
        entry.parts,
        entry.attempts,
        entry.work / 1000,
        entry.work % 1000,
        entry.outcome.as_str(),
        entry.share.as_str()
    )
}

fn write_correction(f: &mut fmt::Formatter<'_>, correction: &Correction) -> fmt::Result {
    write!(
        f,
        "correct  {} {} {}: {:+} queries, by {}: {}",
        correction.corrected_period,
        correction.tenant,
        correction.class,
        correction.queries,
        correction.author,
        correction.reason
    )
}
