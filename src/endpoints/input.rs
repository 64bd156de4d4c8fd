//! What the registry takes in.

use super::{EndpointList, FileList, Override, ShardLayout};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An input of [`EndpointRegistry::handle`](super::EndpointRegistry::handle). Files are given by their index in the
/// operator's list.
#[derive(Clone, Debug)]
pub enum Input {
    /// The sources as found at the start: once, before any other input.
    Started {
        /// The list known at the start; `None` if discovery is not used.
        initial_list: Option<EndpointList>,
        /// The list of each file, in the operator's order.
        files: Vec<Arc<FileList>>,
    },
    /// A list from discovery, or changes to it.
    Discovery(EndpointList),
    /// A file has been read; its list.
    File(u16, Arc<FileList>),
    /// A file could not be read; the problem, with file and line.
    FileRejected(u16, String),
    /// An operator confirms the list held back for a file, by its digest.
    FileConfirmed(u16, Arc<str>),
    /// The placement of shards on cells has changed.
    Layout(ShardLayout),
    /// The overrides of all endpoints, by name; replaces those before.
    Overrides(BTreeMap<Arc<str>, Override>),
    /// The aggregator needs the complete list again.
    SendCompleteList,
    /// A timer set by [`Output::SetTimer`](super::Output::SetTimer) has fired.
    TimerFired,
}
