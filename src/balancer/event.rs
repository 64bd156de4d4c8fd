//! What the balancer is told: endpoint lists, queries, outcomes of attempts and health checks, timers.

use super::{Millis, PartId, QueryId, ReplicaId};

/// State of a replica in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Serving.
    Up,
    /// Finishing its work.
    Draining,
    /// Gone.
    Removed,
}

/// One line of the list of replicas.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaEntry {
    /// Which replica.
    pub replica: ReplicaId,
    /// Its cell.
    pub cell: u32,
    /// Its told size; only ratios matter.
    pub weight: f64,
    /// Its state.
    pub state: ReplicaState,
    /// When it last started, if lately.
    pub started_at: Option<Millis>,
    /// Its zone.
    pub zone: u32,
}

/// A part as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct PartSpec {
    /// Which part.
    pub part: PartId,
    /// The shard it asks.
    pub shard: u32,
    /// Its weight; those of a step sum to one.
    pub weight: f64,
    /// Rough expected work, if told.
    pub cost_hint: Option<Millis>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The replica answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never issued.
    NotSent,
}

impl Outcome {
    /// Whether the replica has certainly not executed the attempt.
    pub fn is_never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests waiting at the replica.
    pub queue: Option<f64>,
    /// Requests in its hands, waiting or not.
    pub inflight: Option<f64>,
    /// Share of its cores in use.
    pub utilization: Option<f64>,
}

/// What the module is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of replicas, whole or only its changes.
    EndpointList {
        /// Whole: what is absent is gone.
        complete: bool,
        /// The lines.
        entries: Vec<ReplicaEntry>,
    },
    /// A call for the list failed or the subscription dropped.
    EndpointListFailed,
    /// A query with the parts of its first step.
    Query {
        /// Which query.
        query: QueryId,
        /// Its class.
        class: usize,
        /// Its tenant, if any.
        tenant: Option<usize>,
        /// Time until the client gives up this try.
        time_left: Millis,
        /// The client marked it as a repeat of an earlier query.
        is_retry: bool,
        /// Its parts.
        parts: Vec<PartSpec>,
    },
    /// The parts of a query's second step.
    SecondStep {
        /// Which query.
        query: QueryId,
        /// Its further parts.
        parts: Vec<PartSpec>,
    },
    /// An attempt has ended; each attempt sent gets one.
    AttemptEnded {
        /// Which part.
        part: PartId,
        /// Which of its attempts, counted from 0 in the order sent.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Millis,
        /// The load report that came with it.
        report: Option<LoadReport>,
    },
    /// The client has left.
    ClientDisconnected {
        /// Which query.
        query: QueryId,
    },
    /// A probe has ended.
    HealthCheckEnded {
        /// Which replica.
        replica: ReplicaId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Millis,
        /// The load report that came with it.
        report: Option<LoadReport>,
    },
    /// A timer set earlier has come due.
    Timer,
}
