//! What the balancer asks its caller to do.

use super::{Millis, PartId, QueryId, RejectReason, ReplicaId};

/// An action that the caller carries out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a part. [`Event::AttemptEnded`](super::Event::AttemptEnded) reports its end.
    Send {
        /// The part.
        part: PartId,
        /// The replica that gets it.
        replica: ReplicaId,
        /// How long to wait for its answer.
        timeout: Millis,
        /// The time by which it has to have been sent; after that it ends as
        /// [`Outcome::NotSent`](super::Outcome::NotSent). None without a bound.
        send_by: Option<Millis>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// The attempt, counted from 0 in the order sent.
        attempt: u32,
    },
    /// Answer a query with the parts that have been answered. Final, except before a second step.
    Answer {
        /// The query.
        query: QueryId,
        /// The answer is complete, not partial.
        complete: bool,
    },
    /// Reject a query; a retry is harmless. Final.
    Reject {
        /// The query.
        query: QueryId,
        /// The Retry-After for the client, if clients are sent one.
        retry_after: Option<Millis>,
        /// Why.
        reason: RejectReason,
    },
    /// Fail a query, without any promise about its effects. Final.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Check a replica's health. [`Event::HealthCheckEnded`](super::Event::HealthCheckEnded) reports its
    /// end.
    HealthCheck {
        /// The replica.
        replica: ReplicaId,
    },
    /// Watch the endpoint list, or poll it.
    WatchEndpoints,
    /// Deliver [`Event::Timer`](super::Event::Timer) at a time. A later timer replaces an earlier one.
    SetTimer {
        /// The time, on the caller's clock.
        at: Millis,
    },
    /// Log a change of state.
    Log(LogEvent),
}

/// A change of the balancer's state that operators want to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// Every replica that a part may go to is an outlier.
    AllHoldersOutliers {
        /// The shard of the part.
        shard: u32,
    },
    /// The first query has been shed.
    LoadSheddingStarted {
        /// The index of the query's class.
        class: usize,
    },
    /// No query has been shed for a while.
    LoadSheddingStopped,
    /// A replica has been ejected as an outlier.
    ReplicaEjected(ReplicaId),
    /// An ejected replica is an ordinary one again.
    ReplicaRestored(ReplicaId),
}
