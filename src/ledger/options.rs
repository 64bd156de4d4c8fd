//! Options for opening a ledger, and the result of recovery.

use super::UnixMs;
use super::export_format::Format;

/// Options of a ledger, set in the operator file.
#[derive(Clone, Debug)]
pub struct Options {
    /// Segment size in bytes: a segment that has reached it is sealed before the next append.
    pub segment_bytes: usize,
    /// Time between a period's end and its closing, in milliseconds.
    pub grace_ms: UnixMs,
    /// A killed run may have lost the entries of its last `loss_window_ms` milliseconds. 0 if every entry is synced
    /// before its answer is sent.
    pub loss_window_ms: UnixMs,
    /// The format in which a period is exported when it closes; `None` if periods are exported only on request.
    pub export_format: Option<Format>,
}

impl Default for Options {
    fn default() -> Self {
        Options { segment_bytes: 8 << 20, grace_ms: 86_400_000, loss_window_ms: 50, export_format: None }
    }
}

/// Result of [`Store::open`](super::Store::open): the records read and the repairs made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Number of records read after the newest snapshot.
    pub records: u64,
    /// Length of the torn tail that was truncated, in bytes; 0 if there was none.
    pub torn_bytes: usize,
    /// Number of exports that a crash had interrupted and that were completed.
    pub completed_exports: usize,
}
