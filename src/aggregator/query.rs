//! A client's query as received by a listener, and the outcome of a part at a leaf server.

use crate::clock::Millis;
use bytes::Bytes;
use std::sync::Arc;

/// A query as received by a listener; not validated yet.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// The client's identifier of the query; each retry by the client has a new one.
    pub request_id: Arc<str>,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant; `None` if the client sent none.
    pub tenant: Option<String>,
    /// Time until the client's deadline; `None` means the deadline of the query's class.
    pub time_left: Option<Millis>,
    /// Whether the client marked it as a retry of an earlier query.
    pub is_retry: bool,
    /// Sent to the leaf servers with each part; valid UTF-8.
    pub payload: Bytes,
    /// The idempotency key by which leaf servers drop duplicates; `None` if the client sent none.
    pub idempotency_key: Option<Arc<str>>,
    /// The parts, one for each shard that is queried.
    pub parts: Vec<NewPart>,
}

/// One part of a [`NewQuery`].
#[derive(Clone, Copy, Debug)]
pub struct NewPart {
    /// The shard that it queries.
    pub shard: u32,
    /// Its fraction of the complete answer; the weights of a query's parts sum to one.
    pub weight: f64,
    /// The client's estimate of the work for the leaf server; `None` if it sent none.
    pub cost_hint: Option<Millis>,
}

/// The outcome of a part at a leaf server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// Answered with a value.
    Served,
    /// Answered with an error; the part may have run.
    Failed,
    /// Rejected; the part never ran.
    Rejected,
    /// The answer was truncated while the connection stays open; the part may have run.
    Truncated,
}
