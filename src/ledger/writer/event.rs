//! Events of the ledger's thread.

use super::super::record::Gap;

/// An event of the ledger's thread, handled by the event loop and logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEvent {
    /// All entries up to this number are durable or recorded as lost.
    Durable(u64),
    /// Writing failed; holds the error message. Entries are buffered up to a limit, beyond which they are lost.
    WriteFailed(String),
    /// Writing succeeded again after a failure.
    Recovered,
    /// Entries were lost; holds the gap, which is durable.
    EntriesLost(Gap),
    /// A period was closed; holds its name, such as `2026-11`.
    PeriodClosed(String),
    /// Compaction removed this number of segments.
    SegmentsRemoved(usize),
    /// An export is complete and durable; holds its name.
    ExportFinished(String),
}
