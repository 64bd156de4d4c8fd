//! A client's query as a listener has read it, and a leaf server's verdict on a part.

use crate::clock::Millis;
use std::sync::Arc;

/// A query as read by a listener; not validated yet.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// The client's identifier for it, fresh with every retry by the client.
    pub request_id: Arc<str>,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant, if any.
    pub tenant: Option<String>,
    /// Time until the client gives up; the deadline of its class if the client has named none.
    pub time_left: Option<Millis>,
    /// The client marked it as a retry of an earlier query.
    pub is_retry: bool,
    /// The text that is sent with each part.
    pub payload: Arc<str>,
    /// The idempotency key by which leaf servers drop duplicates, if the client gave one.
    pub idempotency_key: Option<Arc<str>>,
    /// Its parts.
    pub parts: Vec<NewPart>,
}

/// One part of a [`NewQuery`].
#[derive(Clone, Copy, Debug)]
pub struct NewPart {
    /// The shard that it is for.
    pub shard: u32,
    /// Its share of the complete answer; the weights of a query's parts sum to one.
    pub weight: f64,
    /// Estimated work of the leaf server, if the client gave an estimate.
    pub cost_hint: Option<Millis>,
}

/// How a leaf server answered a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// Served.
    Served,
    /// An error; the part may have run.
    Failed,
    /// Rejected; the part never ran.
    Rejected,
    /// The answer broke off while the connection stays open; the part may have run.
    Truncated,
}
