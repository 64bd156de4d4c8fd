//! An endpoint (one leaf server) and a list of them, as the aggregator receives them.

use super::Millis;
use std::sync::Arc;

/// Whether an endpoint accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Serving.
    Ready,
    /// Finishing its work in flight: it gets no new attempts.
    Draining,
    /// Removed from the list.
    Gone,
}

/// One leaf server.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name: the same at every aggregator, and after a restart of the leaf server.
    pub name: Arc<str>,
    /// The address it listens at.
    pub address: Arc<str>,
    /// Its zone; empty if unknown.
    pub zone: Arc<str>,
    /// Its cell, which determines the shards it holds (see [`ShardLayout`](super::ShardLayout)).
    pub cell: u32,
    /// Its relative capacity.
    pub weight: f64,
    /// Whether it accepts work.
    pub state: EndpointState,
    /// Unix time of its last start, in milliseconds; 0 if long ago or unknown.
    pub started_at_unix: Millis,
}

/// A list of endpoints, or changes to it.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// Version of the list, as its source counts.
    pub generation: u64,
    /// True for a complete list: endpoints absent from it are gone. False for changes.
    pub complete: bool,
    /// The endpoints.
    pub entries: Vec<Endpoint>,
}
