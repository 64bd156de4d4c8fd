//! The inputs of the balancer: endpoint lists, queries, the ends of attempts and health checks, timers.

use super::{Millis, PartId, QueryId, ReplicaId};

/// The state of a replica in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Serving.
    Up,
    /// Finishing its work; it gets nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Its cell, which determines its shards.
    pub cell: u32,
    /// Its capacity; only ratios matter.
    pub weight: f64,
    /// Its state.
    pub state: ReplicaState,
    /// When it last started, on the caller's clock. None if that is long ago or unknown.
    pub started_at: Option<Millis>,
    /// The index of its zone.
    pub zone: u32,
}

/// A part of a query as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct PartSpec {
    /// The part.
    pub part: PartId,
    /// The shard that answers it.
    pub shard: u32,
    /// Its share of the answer; the weights of a step add up to one.
    pub weight: f64,
    /// The client's rough estimate of its work, in milliseconds.
    pub cost_hint: Option<Millis>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// Answered with an error; it may have been executed.
    Error,
    /// Rejected by the replica without being executed.
    Rejected,
    /// No answer within the timeout; it may have been executed.
    Timeout,
    /// No connection; it was never executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the replica has certainly not executed the attempt.
    pub fn is_never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// The result of an attempt or a health check.
#[derive(Clone, Copy)]
pub(super) struct CallResult {
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: Millis,
    pub report: Option<LoadReport>,
}

/// A replica's report of its load. Values that are negative or not finite are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that wait at the replica.
    pub queue: Option<f64>,
    /// Requests at the replica, waiting or being executed.
    pub inflight: Option<f64>,
    /// The share of its cores in use.
    pub utilization: Option<f64>,
}

/// An input of [`Balancer::handle`](super::Balancer::handle). Events about unknown ids are ignored.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointList {
        /// The list is complete: replicas that it does not name are gone.
        complete: bool,
        /// The lines.
        entries: Vec<ReplicaEntry>,
    },
    /// A poll of the endpoint list failed, or the watch ended.
    EndpointListFailed,
    /// A query with the parts of its first step.
    Query {
        /// The query.
        query: QueryId,
        /// The index of its class.
        class: usize,
        /// The index of its tenant, if any.
        tenant: Option<usize>,
        /// The time until the client gives up this try.
        time_left: Millis,
        /// The client marked it as a retry of an earlier query.
        is_retry: bool,
        /// Its parts.
        parts: Vec<PartSpec>,
    },
    /// The parts of a query's second step, after its first answer.
    SecondStep {
        /// The query.
        query: QueryId,
        /// The parts.
        parts: Vec<PartSpec>,
    },
    /// An attempt has ended. Every attempt that is sent gets exactly one such event.
    AttemptEnded {
        /// The part.
        part: PartId,
        /// The attempt, counted from 0 in the order sent.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Millis,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// The client of a query has left.
    ClientDisconnected {
        /// The query.
        query: QueryId,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The replica.
        replica: ReplicaId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Millis,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// The timer of [`Action::SetTimer`](super::Action::SetTimer) has fired.
    Timer,
}
