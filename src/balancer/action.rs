//! The outputs of the balancer: actions for its caller to carry out.

use super::{Millis, PartId, QueryId, RejectReason, ReplicaId};

/// An action for the caller to carry out. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a part. [`Event::AttemptEnded`](super::Event::AttemptEnded) reports its result.
    Send {
        /// The part to send.
        part: PartId,
        /// The replica to send it to.
        replica: ReplicaId,
        /// The time to wait for its answer.
        timeout: Millis,
        /// The latest time for sending it, on the caller's clock; an attempt that is not sent by then ends as
        /// [`Outcome::NotSent`](super::Outcome::NotSent). None without a limit.
        send_by: Option<Millis>,
    },
    /// Cancel an attempt. [`Event::AttemptEnded`](super::Event::AttemptEnded) still reports its end.
    Cancel {
        /// The part that the attempt belongs to.
        part: PartId,
        /// The index of the attempt among the part's attempts, counted from 0 in the order sent.
        attempt: u32,
    },
    /// Answer a query with the parts that have been answered. Final unless the query has a second step.
    Answer {
        /// The query to answer.
        query: QueryId,
        /// Whether the answer is complete rather than partial.
        complete: bool,
    },
    /// Reject a query; a retry by the client is safe. Final.
    Reject {
        /// The query to reject.
        query: QueryId,
        /// The Retry-After for the client; None if the settings disable it.
        retry_after: Option<Millis>,
        /// The reason for the rejection.
        reason: RejectReason,
    },
    /// Fail a query that may have been executed, so that a retry may not be safe, or whose class is unknown. Final.
    Fail {
        /// The query to fail.
        query: QueryId,
    },
    /// Send a health check to a replica. [`Event::HealthCheckEnded`](super::Event::HealthCheckEnded) reports its
    /// result.
    HealthCheck {
        /// The replica to check.
        replica: ReplicaId,
    },
    /// Open a watch of the endpoint list, or poll the list.
    WatchEndpoints,
    /// Deliver [`Event::Timer`](super::Event::Timer) at a time. A later timer replaces an earlier one.
    SetTimer {
        /// The time of the event, on the caller's clock.
        at: Millis,
    },
    /// Log a change of state.
    Log(LogEvent),
}

/// A change of the balancer's state that is logged for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// All replicas that are eligible for a part are outliers.
    AllHoldersOutliers {
        /// The shard of the part.
        shard: u32,
    },
    /// Load shedding has started: a query has been shed after a period without shedding.
    LoadSheddingStarted {
        /// The index of the query's class.
        class: usize,
    },
    /// Load shedding has stopped: no query has been shed for the longest latency objective.
    LoadSheddingStopped,
    /// A replica has been ejected as an outlier.
    ReplicaEjected(ReplicaId),
    /// An ejected replica is no longer an outlier. It stays on probation until it answers in time.
    ReplicaRestored(ReplicaId),
}
