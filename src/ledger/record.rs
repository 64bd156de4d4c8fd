//! The records of the ledger. They are appended and never changed.

use super::UnixMs;
use std::fmt;

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// A complete answer.
    Complete,
    /// A partial answer.
    Partial,
    /// Rejected; not billed.
    Rejected,
    /// Failed; not billed.
    Failed,
    /// Its deadline passed; not billed.
    Expired,
    /// Its client disconnected before the answer; not billed.
    ClientDisconnected,
}

impl Outcome {
    /// All outcomes; the index is the number in the journal.
    pub const ALL: [Outcome; 6] = [
        Outcome::Complete,
        Outcome::Partial,
        Outcome::Rejected,
        Outcome::Failed,
        Outcome::Expired,
        Outcome::ClientDisconnected,
    ];

    /// Whether a query with this outcome is billed: only answered ones are.
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
    /// Within the quota.
    WithinQuota,
    /// Beyond the quota; counted on a line of its own.
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
    /// When it was answered, by the wall clock.
    pub at: UnixMs,
    /// The tenant as the client named it.
    pub tenant: String,
    /// Whether the settings know that tenant.
    pub tenant_is_known: bool,
    /// The query class.
    pub class: String,
    /// The client's id of the query.
    pub query: String,
    /// Parts requested.
    pub parts: u32,
    /// Parts served, each counted once however many attempts it took.
    pub parts_served: u32,
    /// Attempts sent; a cost that is not billed.
    pub attempts: u32,
    /// Work billed, in thousandths of a unit of the price list.
    pub work: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Within the tenant's quota or beyond it.
    pub share: QuotaShare,
}

/// Entries that could not be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// When the first lost entry was made.
    pub from: UnixMs,
    /// When the last lost entry was made.
    pub to: UnixMs,
    /// Number of lost entries; 0 if it is not known.
    pub entries: u64,
    /// Why they were lost.
    pub reason: String,
}

impl Gap {
    /// A gap of one entry.
    pub(super) fn of_one_entry(at: UnixMs, reason: &str) -> Self {
        Gap { from: at, to: at, entries: 1, reason: reason.to_owned() }
    }

    /// Widens the gap by one more lost entry.
    pub(super) fn add_entry(&mut self, at: UnixMs) {
        self.from = self.from.min(at);
        self.to = self.to.max(at);
        self.entries += 1;
    }
}

/// A change to what was billed, as a record of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Correction {
    /// When it was made.
    pub at: UnixMs,
    /// Its idempotency key: a correction that is requested twice is made once.
    pub id: String,
    /// The tenant whose account it changes.
    pub tenant: String,
    /// The query class.
    pub class: String,
    /// The period that was billed wrongly, as `2026-11`; it may be closed, and does not change.
    pub corrected_period: String,
    /// Within the tenant's quota or beyond it.
    pub share: QuotaShare,
    /// Added to the queries billed.
    pub queries: i64,
    /// Added to the parts billed.
    pub parts: i64,
    /// Added to the work billed, in thousandths of a unit.
    pub work: i64,
    /// Who made it.
    pub author: String,
    /// Why it was made.
    pub reason: String,
}

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A run of an aggregator begins.
    Open {
        /// The aggregator's name.
        aggregator: String,
        /// The number of the run, counted from 1 in this ledger.
        epoch: u64,
        /// When.
        at: UnixMs,
    },
    /// A run ends by a graceful shutdown, with all its entries stored.
    End {
        /// When.
        at: UnixMs,
    },
    /// A query with its final answer.
    Entry(Entry),
    /// Entries that could not be stored.
    Gap(Gap),
    /// A change to what was billed.
    Correction(Correction),
    /// A period is closed.
    Close {
        /// The period, as `2026-11`.
        period: String,
        /// When.
        at: UnixMs,
    },
    /// An export is about to be written.
    ExportIntent {
        /// The export's name.
        name: String,
        /// The period that it covers.
        period: String,
        /// The name of its format.
        format: String,
        /// It covers the records after this sequence number,
        after: u64,
        /// up to and including this one.
        up_to: u64,
    },
    /// An export and its manifest are in place.
    ExportFinished {
        /// The export's name.
        name: String,
        /// SHA-256 of its bytes, in hex.
        hash: String,
        /// When.
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
