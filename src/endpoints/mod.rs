//! Lists of leaf servers: where they come from, how they are merged, and when a new list takes effect. Sans-IO.
//!
//! - [`EndpointRegistry`] holds all sources: the list known at the start, discovery, and the inventory files. The
//!   aggregator feeds it [`Input`]s and carries out its [`Output`]s; the `inventory plan` command asks it for a
//!   [`Plan`].
//! - Discovery's lists take effect at once. A file's list passes the guard first: a list that is empty, removes too
//!   many endpoints at once or is truncated within a line is held back. The applied list then stays in force until
//!   the new one is confirmed; draining states of a list held back take effect all the same.
//! - For each field of each endpoint the registry knows the source that gave it ([`Provenance`]).
//! - [`FilePoller`] and [`DiscoveryTiming`] decide when a file is read and when discovery is asked. The threads and
//!   tasks that do so live in `net`.
//!
//! Nothing here opens a file or a socket, and nothing reads a clock: times are arguments.

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
    /// An inventory file, by its index in the operator's list; later files take precedence over earlier ones.
    File(u16),
    /// The list known at the start, until discovery lists the endpoint.
    InitialList,
    /// Discovery.
    Discovery,
}
