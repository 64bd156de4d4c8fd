//! What the ledger's thread reports.

use super::super::record::Gap;

/// An event of the ledger's thread, for the event loop and the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEvent {
    /// All entries up to that number are durable, or recorded as lost.
    Durable(u64),
    /// The disk failed, for this reason. Entries are held, and lost beyond a bound.
    WriteFailed(String),
    /// The disk works again.
    Recovered,
    /// Entries were lost; the gap is durable.
    EntriesLost(Gap),
    /// The period of that name was closed.
    PeriodClosed(String),
    /// The export of that name is in place.
    ExportFinished(String),
}
