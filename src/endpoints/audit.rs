//! Changes of the endpoint lists that operators see. `logging` writes each as one structured event.

use super::{Difference, HoldReason, ListSummary, SourceId};
use std::sync::Arc;

/// A change of state for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditEvent {
    /// A file's list has taken effect.
    ListApplied {
        /// The file.
        source: SourceId,
        /// Digest of its content.
        digest: Arc<str>,
        /// Counts of the list.
        summary: ListSummary,
        /// What it changed.
        difference: Difference,
        /// It had been held back and was confirmed.
        confirmed: bool,
    },
    /// A list from discovery has taken effect.
    DiscoveryApplied {
        /// Its version.
        generation: u64,
        /// A complete list, not changes.
        complete: bool,
        /// Number of endpoints in force.
        endpoint_count: usize,
        /// What it changed.
        difference: Difference,
    },
    /// A file's list is held back; only its draining states have taken effect.
    ListHeldBack {
        /// The file.
        source: SourceId,
        /// Digest of its content, which a confirmation has to name.
        digest: Arc<str>,
        /// Why it is held back.
        reason: HoldReason,
        /// What it would change.
        difference: Difference,
    },
    /// The list held back was dropped: the file has the content of the applied list again.
    HeldListWithdrawn {
        /// The file.
        source: SourceId,
    },
    /// A file could not be used; the applied list stays in force.
    ListRejected {
        /// The file.
        source: SourceId,
        /// Why, with file and line.
        problem: String,
    },
    /// A confirmation names a list that is not held back.
    ConfirmationUnmatched {
        /// The file.
        source: SourceId,
        /// The digest that it names.
        digest: Arc<str>,
    },
    /// An operator has taken an endpoint out of service, or put it back.
    OverrideChanged {
        /// The endpoint.
        name: Arc<str>,
        /// True: out of service.
        active: bool,
    },
    /// Two endpoints have the same address.
    SharedAddress {
        /// The address.
        address: Arc<str>,
        /// The endpoint that got this address last.
        name: Arc<str>,
    },
}
