//! An endpoint (one leaf server) and a list of endpoints, as the aggregator receives them.

use super::Millis;
use std::sync::Arc;

/// Whether an endpoint accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new attempts.
    Ready,
    /// Finishes its attempts in flight and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// One leaf server.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the leaf server; the same on all aggregators and after a restart of the leaf server.
    pub name: Arc<str>,
    /// The address at which the leaf server listens.
    pub address: Arc<str>,
    /// The zone, a failure domain; empty if unknown.
    pub zone: Arc<str>,
    /// The cell, which determines the shards that the endpoint holds (see [`ShardLayout`](super::ShardLayout)).
    pub cell: u32,
    /// The relative capacity.
    pub weight: f64,
    /// Whether it accepts work.
    pub state: EndpointState,
    /// Unix time of the leaf server's last start, in milliseconds; 0 if long ago or unknown.
    pub started_at_unix: Millis,
}

/// A list of endpoints, or changes to it.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// Version of the list, assigned by its source.
    pub generation: u64,
    /// True for a complete list: endpoints absent from it are removed. False for changes.
    pub complete: bool,
    /// The endpoints of a complete list, or the changed endpoints.
    pub entries: Vec<Endpoint>,
}
