//! What the processes of one aggregator share, so that a new version can take over from the old one: operators'
//! overrides, and which processes are running.
//!
//! Promises: an override that was acknowledged holds in every process of the aggregator and in the next one. A stored
//! file that is truncated, foreign or of a later version is reported and moved aside, never used and never deleted.
//! Load, health and latencies are never passed on: they are measured anew within a second, and wrong when old.
//!
//! [`Overrides`] and [`snapshot`] are sans-IO; [`SharedDirectory`] and [`ProcessSlot`] access the disk. The caller is
//! the thread in `net::hot_restart`; the aggregator keeps [`Overrides`] in its state.

mod overrides;
mod process_slots;
mod shared_directory;
pub mod snapshot;

pub use crate::endpoints::Override;
pub use overrides::{MAX_OVERRIDES, OverrideSubject, Overrides, TooManyOverrides};
pub use process_slots::{ProcessSlot, ProcessStatus, Sibling};
pub use shared_directory::{ChangeMarker, MergedOverrides, SharedDirectory, StoredOverrides};
