//! State that the processes of one aggregator share, so that a new version can replace the running one: operators'
//! overrides, which processes are running, and the request ids that they have taken.
//!
//! Guarantees: an acknowledged override is in force in every process of the aggregator and in its successors. A stored
//! file that is truncated, in another format or of another format version is reported and moved aside, never used and
//! never deleted. Load, health and latencies are not shared: each process measures them within a second, and old values
//! would be wrong.
//!
//! [`Overrides`] and [`snapshot`] are sans-IO; [`SharedDirectory`], [`ProcessSlot`] and [`RequestIdTable`] access the disk. They are used
//! by the thread in `net::hot_restart`; the aggregator keeps [`Overrides`] in its state.

mod overrides;
mod process_slots;
mod request_ids;
mod shared_directory;
pub mod snapshot;

pub use crate::endpoints::Override;
pub use overrides::{MAX_OVERRIDES, OverrideSubject, Overrides, TooManyOverrides};
pub use process_slots::{ProcessSlot, ProcessStatus, Sibling};
pub use request_ids::{RequestIdTable, request_id_fingerprint};
pub use shared_directory::{ChangeMarker, MergedOverrides, SharedDirectory, StoredOverrides};
