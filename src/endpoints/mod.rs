//! Endpoint lists: their sources, how they are merged, and when a new list takes effect. Sans-IO.
//!
//! - [`EndpointRegistry`] has all sources: the initial list, discovery, and the inventory files. The aggregator passes
//!   it [`Input`]s and carries out its [`Output`]s; the `inventory plan` command computes a [`Plan`] with it.
//! - Lists from discovery take effect immediately. A list from a file is checked by the guard first: a list that is
//!   empty, removes too many endpoints at once or is truncated within a line is held back. The applied list then stays
//!   in effect until the new one is confirmed; the draining states of a held-back list take effect regardless.
//! - For each field of each endpoint the registry records the source of its value ([`Provenance`]).
//! - [`FilePoller`] and [`DiscoveryTiming`] decide when a file is read and when discovery is called. The threads and
//!   tasks that do the I/O are in `net`.
//!
//! This module opens no files or sockets and reads no clock: times are passed as arguments.

mod audit;
mod discovery_source;
mod discovery_timing;
mod effective;
mod endpoint;
mod file_polling;
mod file_source;
mod guard;
mod history;
mod input;
mod layout;
mod merge;
mod output;
mod overrides;
mod plan;
mod problem_reports;
mod provenance;
mod record;
mod registry;
mod sources;

pub use audit::AuditEvent;
pub use discovery_timing::DiscoveryTiming;
pub use endpoint::{Endpoint, EndpointList, EndpointState};
pub use file_polling::{FileCheck, FilePoller, PollDecision};
pub use guard::{EndpointCounts, GuardSettings, HoldReason};
pub use history::{Change, Difference, History, Version};
pub use input::Input;
pub use layout::ShardLayout;
pub use merge::MergedEndpoint;
pub use output::Output;
pub use overrides::Override;
pub use plan::Plan;
pub use provenance::{FieldName, Origin, Provenance};
pub use record::{
    EndpointRecord, FileList, ListSummary, Located, SharedAddress, SourceLocation, shared_addresses,
};
pub use registry::EndpointRegistry;

pub use crate::clock::Millis;

/// A source of endpoints, in ascending order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceId {
    /// An inventory file, by its index in the operator file; later files take precedence over earlier ones.
    File(u16),
    /// The initial list from the configuration, used for an endpoint until discovery lists it.
    InitialList,
    /// The discovery service.
    Discovery,
}
