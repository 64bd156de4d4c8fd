//! Audit events of the endpoint registry. `logging` writes each as one structured log event.

use super::{Difference, HoldReason, ListSummary, SourceId};
use std::sync::Arc;

/// A change of the endpoint list or of its sources, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditEvent {
    /// The list of a file has taken effect.
    ListApplied {
        /// The inventory file.
        source: SourceId,
        /// Digest of the file's content.
        digest: Arc<str>,
        /// Endpoint counts of the list.
        summary: ListSummary,
        /// Counts of the changed endpoints.
        difference: Difference,
        /// Whether the list had been held back and was then confirmed.
        confirmed: bool,
    },
    /// A list from discovery has taken effect.
    DiscoveryApplied {
        /// Version of the list, assigned by discovery.
        generation: u64,
        /// True for a complete list, false for changes.
        complete: bool,
        /// Number of effective endpoints.
        endpoint_count: usize,
        /// Counts of the changed endpoints.
        difference: Difference,
    },
    /// The list of a file is held back; only its draining states have taken effect.
    ListHeldBack {
        /// The inventory file.
        source: SourceId,
        /// Digest of the file's content, which a confirmation must contain.
        digest: Arc<str>,
        /// The reason why the guard holds the list back.
        reason: HoldReason,
        /// Counts of the endpoints that the list would change.
        difference: Difference,
    },
    /// The held-back list was dropped because the file has the content of the applied list again.
    HeldListWithdrawn {
        /// The inventory file.
        source: SourceId,
    },
    /// A file could not be used; the applied list stays in effect.
    ListRejected {
        /// The inventory file.
        source: SourceId,
        /// Description of the problem, with file and line.
        problem: String,
    },
    /// A confirmation does not match a held-back list.
    ConfirmationUnmatched {
        /// The inventory file.
        source: SourceId,
        /// The digest in the confirmation.
        digest: Arc<str>,
    },
    /// An operator has taken an endpoint out of service, or returned it to service.
    OverrideChanged {
        /// Name of the endpoint.
        name: Arc<str>,
        /// True if the endpoint is out of service.
        active: bool,
    },
    /// An endpoint has an address that another endpoint has too.
    SharedAddress {
        /// The shared address.
        address: Arc<str>,
        /// Name of the endpoint that was last added at this address.
        name: Arc<str>,
    },
}
