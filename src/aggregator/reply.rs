//! Replies to client requests.

use super::QueryError;
use crate::clock::Millis;
use bytes::Bytes;

/// The reply to a client's request; the listeners encode it for their protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The query was served.
    Answer {
        /// Whether the answer is complete rather than partial.
        complete: bool,
        /// The rows of each served shard, as sent by the leaf servers.
        values: Vec<(u32, Vec<Bytes>)>,
    },
    /// The query was rejected before it had any effect; it is safe to retry.
    Rejected {
        /// Value of the Retry-After header; `None` if clients are sent none.
        retry_after: Option<Millis>,
    },
    /// The query failed; it may have had effects.
    Failed,
    /// The query's deadline has passed.
    Expired,
    /// The query is invalid.
    BadRequest(QueryError),
    /// The response to `/healthz`.
    Health {
        /// Whether load balancers should send queries to this aggregator.
        ready: bool,
    },
    /// The counters in the Prometheus text format.
    Metrics(String),
}
