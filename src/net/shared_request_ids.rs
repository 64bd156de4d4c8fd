//! Shares request ids with the sibling processes of this aggregator, for the reducer. The file is in memory ($TMPDIR), so that an
//! access does not delay the event loop.

use crate::aggregator::SharedRequestIds;
use crate::hot_restart::RequestIdTable;
use std::io;
use tracing::{info, warn};

/// The table of request ids; while it cannot be accessed, ids are checked within this process alone.
pub(super) struct RequestIdFile {
    table: RequestIdTable,
    /// Whether the last access failed, so that only changes are logged.
    is_failing: bool,
}

impl RequestIdFile {
    pub fn new(table: RequestIdTable) -> Self {
        RequestIdFile { table, is_failing: false }
    }

    fn record<T>(&mut self, result: io::Result<T>, fallback: T) -> T {
        match result {
            Ok(value) => {
                if self.is_failing {
                    info!("request ids are shared with sibling processes again");
                }
                self.is_failing = false;
                value
            }
            Err(error) => {
                if !self.is_failing {
                    warn!("request ids cannot be shared with sibling processes: {error}");
                }
                self.is_failing = true;
                fallback
            }
        }
    }
}

impl SharedRequestIds for RequestIdFile {
    fn claim(&mut self, fingerprint: u64) -> bool {
        let inserted = self.table.insert(fingerprint);
        self.record(inserted, true)
    }

    fn release(&mut self, fingerprint: u64) {
        let removed = self.table.remove(fingerprint);
        self.record(removed, ());
    }
}
