//! Nodes and lists of them, as sources tell them.

use crate::api::{Millis, ReplicaState};
use std::sync::Arc;

/// A node as discovery or an inventory lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// The same at every mixer, and after a restart.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its cell, which determines its shards.
    pub cell: u32,
    /// Its told size.
    pub weight: f64,
    /// Its state.
    pub state: ReplicaState,
    /// Unix time of its last start; 0 for long ago.
    pub started_unix: Millis,
}

/// A list of nodes or of changes to it.
#[derive(Clone, Debug, Default)]
pub struct NodeList {
    /// Its version.
    pub generation: u64,
    /// Whole: what is absent is gone.
    pub complete: bool,
    /// Its entries.
    pub entries: Vec<NodeEntry>,
}
