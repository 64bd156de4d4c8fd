//! Inputs of the endpoint registry.

use super::{EndpointList, FileList, Override, ShardLayout};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An input of [`EndpointRegistry::handle`](super::EndpointRegistry::handle). Files are identified by
/// their index in the operator file.
#[derive(Clone, Debug)]
pub enum Input {
    /// The sources at startup. Sent once, before any other input.
    Started {
        /// The initial list from the configuration; `None` if discovery is not used.
        initial_list: Option<EndpointList>,
        /// The list of each inventory file, in the order of the operator file.
        files: Vec<Arc<FileList>>,
    },
    /// A list from discovery, or changes to it.
    Discovery(EndpointList),
    /// The list of a file that has been read.
    File(u16, Arc<FileList>),
    /// A file could not be read or parsed; the problem, with file and line.
    FileRejected(u16, String),
    /// A confirmation of the list held back for a file; identifies the list by its digest.
    FileConfirmed(u16, Arc<str>),
    /// A new placement of shards on cells.
    Layout(ShardLayout),
    /// The overrides of all endpoints, by endpoint name; replaces all previous overrides.
    Overrides(BTreeMap<Arc<str>, Override>),
    /// A request for the complete list, answered with an [`Output::List`](super::Output::List).
    SendCompleteList,
    /// A timer set by [`Output::SetTimer`](super::Output::SetTimer) has fired.
    TimerFired,
}
