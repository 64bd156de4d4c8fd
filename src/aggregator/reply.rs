//! What a client is answered.

use super::QueryError;
use crate::clock::Millis;
use bytes::Bytes;

/// The answer to a client's request; the listeners put it into the form of their protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The query was served.
    Answer {
        /// It holds all parts that a complete answer needs.
        complete: bool,
        /// The shards with the rows of their values, as the leaf servers sent them.
        values: Vec<(u32, Vec<Bytes>)>,
    },
    /// The query was rejected before it had any effect; a retry is harmless.
    Rejected {
        /// When to retry.
        retry_after: Option<Millis>,
    },
    /// The query has failed.
    Failed,
    /// The query's deadline has passed.
    Expired,
    /// The query is invalid.
    BadRequest(QueryError),
    /// The answer on `/healthz`.
    Health {
        /// This aggregator takes queries.
        ready: bool,
    },
    /// The counters in the text form that metric collectors read.
    Metrics(String),
}
