//! What the balancer asks its caller to do.

use super::{Millis, PartId, QueryId, ReplicaId};

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a part.
    Send {
        /// Which part.
        part: PartId,
        /// Where to.
        replica: ReplicaId,
        /// Its time-out.
        timeout: Millis,
        /// It has left by this time, or is ended as [`Outcome::NotSent`]; no bound where none is told.
        send_by: Option<Millis>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Which part.
        part: PartId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Answer from the parts that are in. Final, except before a second step.
    Answer {
        /// Which query.
        query: QueryId,
        /// The answer is whole.
        complete: bool,
    },
    /// Final: turned away, asking again is harmless.
    Reject {
        /// Which query.
        query: QueryId,
        /// When to come back.
        retry_after: Option<Millis>,
    },
    /// Final: given up, no promise about effects.
    Fail {
        /// Which query.
        query: QueryId,
    },
    /// Probe a replica.
    HealthCheck {
        /// Which replica.
        replica: ReplicaId,
    },
    /// Subscribe to the list.
    WatchEndpoints,
    /// Deliver [`Event::Timer`] at this time.
    SetTimer {
        /// When.
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
