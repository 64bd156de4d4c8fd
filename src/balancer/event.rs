//! The inputs of the balancer: endpoint lists, queries, the results of attempts and health checks, and timers.

use super::{Millis, PartId, QueryId, ReplicaId};

/// The state of a replica in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// The replica accepts new work.
    Up,
    /// The replica finishes its current work and receives nothing new.
    Draining,
    /// The replica is no longer part of the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaEntry {
    /// The identifier of the replica.
    pub replica: ReplicaId,
    /// Its cell, which determines its shards.
    pub cell: u32,
    /// Its relative capacity; only ratios between replicas matter. Values that are not finite and positive count as 1.
    pub weight: f64,
    /// Whether it is up, draining or removed.
    pub state: ReplicaState,
    /// When it last started, on the caller's clock. None if that is long ago or unknown.
    pub started_at: Option<Millis>,
    /// The index of its zone.
    pub zone: u32,
}

/// A part of a query on arrival.
#[derive(Clone, Copy, Debug)]
pub struct PartSpec {
    /// The identifier of the part.
    pub part: PartId,
    /// The shard that holds the part's data.
    pub shard: u32,
    /// Its share of the answer, from 0 to 1; the weights of the parts of a step add up to 1.
    pub weight: f64,
    /// The client's rough estimate of the part's work, in milliseconds. None if the client gives no estimate.
    pub cost_hint: Option<Millis>,
}

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The replica answered.
    Ok,
    /// The replica answered with an error; the attempt may have been executed.
    Error,
    /// The replica rejected the attempt without executing it.
    Rejected,
    /// No answer arrived within the timeout; the attempt may have been executed.
    Timeout,
    /// No connection could be established; the attempt was not executed.
    ConnectFailed,
    /// The connection was lost; the attempt may have been executed.
    Reset,
    /// The attempt was cancelled; it may have been executed.
    Cancelled,
    /// The attempt was not sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the replica has not executed the attempt.
    pub fn rules_out_execution(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// The result of an attempt or a health check.
#[derive(Clone, Copy)]
pub(super) struct CallResult {
    pub outcome: Outcome,
    /// The time since the attempt or the health check was sent.
    pub elapsed: Millis,
    pub report: Option<LoadReport>,
}

/// A replica's load report. Values that are negative or not finite are ignored; None if the replica does not report
/// the value.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests that wait at the replica.
    pub queue: Option<f64>,
    /// The number of requests at the replica, waiting or being executed.
    pub inflight: Option<f64>,
    /// The share of the replica's CPU cores in use, usually from 0 to 1.
    pub utilization: Option<f64>,
}

/// An input of [`Balancer::handle`](super::Balancer::handle). Events with unknown ids are ignored.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointList {
        /// Whether the list is complete, so that replicas without an entry have been removed from it.
        complete: bool,
        /// The entries of the list, or those that have changed.
        entries: Vec<ReplicaEntry>,
    },
    /// A poll of the endpoint list failed, or the watch ended.
    EndpointListFailed,
    /// A query with the parts of its first step.
    Query {
        /// The identifier of the query.
        query: QueryId,
        /// The index of its class.
        class: usize,
        /// The index of its tenant, if any.
        tenant: Option<usize>,
        /// The time until the client gives up this try.
        time_left: Millis,
        /// Whether the client marked the query as a retry of an earlier one.
        is_retry: bool,
        /// The parts of its first step.
        parts: Vec<PartSpec>,
    },
    /// The parts of a query's second step, after its first answer.
    SecondStep {
        /// The query that the parts belong to.
        query: QueryId,
        /// The parts of the second step.
        parts: Vec<PartSpec>,
    },
    /// An attempt has ended. Every attempt that is sent causes exactly one such event.
    AttemptEnded {
        /// The part that the attempt belongs to.
        part: PartId,
        /// The attempt, counted from 0 in the order sent.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The time from sending to the end, in milliseconds.
        elapsed: Millis,
        /// The load report in the answer, if there is one.
        report: Option<LoadReport>,
    },
    /// The client of a query has disconnected.
    ClientDisconnected {
        /// The query whose client has disconnected.
        query: QueryId,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The replica that was checked.
        replica: ReplicaId,
        /// The outcome of the health check.
        outcome: Outcome,
        /// The time from sending to the end, in milliseconds.
        elapsed: Millis,
        /// The load report in the answer, if there is one.
        report: Option<LoadReport>,
    },
    /// The timer set by [`Action::SetTimer`](super::Action::SetTimer) has expired.
    Timer,
}
