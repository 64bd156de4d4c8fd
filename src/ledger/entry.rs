//! Records of the ledger. They are appended and never changed.

use super::UnixMs;
use std::fmt;

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// Answered from all its parts.
    Whole,
    /// Answered from some.
    Partial,
    /// Turned away; billed nothing.
    Refused,
    /// Given up; billed nothing.
    Failed,
    /// Its time ran out; billed nothing.
    Expired,
    /// Its client left before the answer; billed nothing.
    Gone,
}

impl Outcome {
    /// All of them, by the number in the journal.
    pub const ALL: [Outcome; 6] = [
        Outcome::Whole,
        Outcome::Partial,
        Outcome::Refused,
        Outcome::Failed,
        Outcome::Expired,
        Outcome::Gone,
    ];

    /// Is it billed? Only what was answered is.
    pub fn is_billed(self) -> bool {
        matches!(self, Outcome::Whole | Outcome::Partial)
    }

    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::Whole => "whole",
            Outcome::Partial => "partial",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Expired => "expired",
            Outcome::Gone => "gone",
        }
    }
}

/// Whether a query lay within its tenant's share, by the decision module's own quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Share {
    /// Within.
    Within,
    /// Beyond: marked apart, never mixed with the other.
    Beyond,
}

impl Share {
    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Share::Within => "within",
            Share::Beyond => "beyond",
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
    /// The settings know that tenant.
    pub known: bool,
    /// Its class.
    pub class: String,
    /// The client's name for it.
    pub query: String,
    /// Parts asked.
    pub asked: u32,
    /// Parts served: each once, however many attempts it took.
    pub served: u32,
    /// Attempts sent: a cost, not billed.
    pub attempts: u32,
    /// Work billed, in thousandths of a unit of the price list.
    pub work: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Within the tenant's share or beyond.
    pub share: Share,
}

/// What could not be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The first lost entry was made then.
    pub from: UnixMs,
    /// The last one.
    pub to: UnixMs,
    /// How many entries are lost.
    pub entries: u64,
    /// Why.
    pub reason: String,
}

/// A change to what was billed, as an entry of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Correction {
    /// When it was made.
    pub at: UnixMs,
    /// Its own name: the same correction asked for twice is made once.
    pub id: String,
    /// The tenant whose account it changes.
    pub tenant: String,
    /// The class.
    pub class: String,
    /// The period that was wrong, as `2026-11`; it may be closed, and stays as it is.
    pub corrects: String,
    /// Within the tenant's share or beyond.
    pub share: Share,
    /// Added to the queries billed.
    pub queries: i64,
    /// Added to the parts billed.
    pub parts: i64,
    /// Added to the work billed, in thousandths of a unit.
    pub work: i64,
    /// By whom.
    pub by: String,
    /// Why.
    pub why: String,
}

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A mixer's run begins.
    Open {
        /// The mixer's name.
        mixer: String,
        /// The run, counted from 1 in this ledger.
        epoch: u64,
        /// When.
        at: UnixMs,
    },
    /// A run ends, and all that it entered is here.
    End {
        /// When.
        at: UnixMs,
    },
    /// A query.
    Entry(Entry),
    /// What could not be kept.
    Gap(Gap),
    /// A correction.
    Correction(Correction),
    /// A period takes nothing more.
    Close {
        /// As `2026-11`.
        period: String,
        /// When.
        at: UnixMs,
    },
    /// An export is about to be written.
    Intent {
        /// Its name.
        name: String,
        /// Its period.
        period: String,
        /// Its form's word.
        format: String,
        /// It covers the records after this one,
        after: u64,
        /// up to this one.
        upto: u64,
    },
    /// An export lies under its name.
    Done {
        /// Its name.
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
            Record::Open { mixer, epoch, .. } => write!(f, "open     {mixer}, epoch {epoch}"),
            Record::End { .. } => write!(f, "end"),
            Record::Entry(e) => write!(
                f,
                "entry    {} {} {}: {} of {} parts, {} attempts, {}.{:03} units, {}, {}",
                e.tenant,
                e.class,
                e.query,
                e.served,
                e.asked,
                e.attempts,
                e.work / 1000,
                e.work % 1000,
                e.outcome.word(),
                e.share.word()
            ),
            Record::Gap(g) => {
                write!(f, "gap      {} entries from {} to {}: {}", g.entries, g.from, g.to, g.reason)
            }
            Record::Correction(c) => {
                write!(
                    f,
                    "correct  {} {} {}: {:+} queries, by {}: {}",
                    c.corrects, c.tenant, c.class, c.queries, c.by, c.why
                )
            }
            Record::Close { period, .. } => write!(f, "close    {period}"),
            Record::Intent { name, after, upto, .. } => {
                write!(f, "intent   {name}, records {} to {upto}", after + 1)
            }
            Record::Done { name, hash, .. } => write!(f, "exported {name}, {hash}"),
        }
    }
}
