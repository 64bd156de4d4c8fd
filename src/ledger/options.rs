//! How a ledger is kept, and what was found when it was opened.

use super::UnixMs;
use super::export_format::Format;

/// How a ledger is kept. The operator's file sets it.
#[derive(Clone, Debug)]
pub struct Options {
    /// A segment of at least this many bytes is sealed before the next append.
    pub segment_bytes: usize,
    /// A period closes this many milliseconds after its end.
    pub grace_ms: UnixMs,
    /// A run that was killed may have lost the entries of this many milliseconds before its end; 0 where every entry is
    /// synced before its answer is sent.
    pub loss_window_ms: UnixMs,
    /// The format in which a period is exported when it closes; `None` exports on command only.
    pub export_format: Option<Format>,
}

impl Default for Options {
    fn default() -> Self {
        Options { segment_bytes: 8 << 20, grace_ms: 86_400_000, loss_window_ms: 50, export_format: None }
    }
}

/// What [`Store::open`](super::Store::open) found and repaired.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Records read behind the newest snapshot.
    pub records: u64,
    /// Bytes of a torn tail that were cut off.
    pub torn_bytes: usize,
    /// Exports that a crash had interrupted and that are complete now.
    pub completed_exports: usize,
}
