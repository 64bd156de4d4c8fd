//! Records of clients, gateways, queries, parts, attempts and leaf servers.

use super::{AttemptId, ClientId, ConnectionId, GatewayId};
use crate::balancer::{PartId, QueryId, ReplicaId};
use crate::clock::Millis;
use crate::ledger::QuotaShare;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A client: an HTTP connection, or a call on a gateway's connection.
pub(super) struct Client {
    /// The query in flight, if any.
    pub query: Option<QueryId>,
    /// The gateway's connection that carries the call; `None` for an HTTP connection.
    pub gateway: Option<GatewayId>,
    /// The use of the HTTP connection; without meaning for a call.
    pub usage: ConnectionUsage,
}

/// A gateway's Flight connection.
pub(super) struct Gateway {
    /// Number of calls in flight.
    pub calls: usize,
    pub usage: ConnectionUsage,
}

/// How a client's connection has been used so far.
pub(super) struct ConnectionUsage {
    /// When the connection became idle: it was opened, or its last request ended.
    pub idle_since: Millis,
    /// Whether it has carried at least one answer.
    pub answered: bool,
    /// Whether it is being closed.
    pub closing: bool,
    /// Whether it is being closed even if a request has been received in part.
    pub closing_now: bool,
}

impl ConnectionUsage {
    /// The use of a connection that is opened at `now`.
    pub fn new(now: Millis) -> Self {
        ConnectionUsage { idle_since: now, answered: false, closing: false, closing_now: false }
    }
}

/// A query in flight.
pub(super) struct Query {
    pub client: ClientId,
    /// Name of the class, since a reload may renumber the classes.
    pub class: Arc<str>,
    /// Name of the tenant as sent by the client.
    pub tenant: Option<String>,
    /// Whether the settings list that tenant.
    pub tenant_is_known: bool,
    /// Whether the query was within its tenant's quota.
    pub share: QuotaShare,
    /// The client's identifier of the query.
    pub request_id: Arc<str>,
    pub payload: Bytes,
    pub idempotency_key: Option<Arc<str>>,
    pub parts: Vec<PartId>,
    /// Whether any attempt has been passed to a connection's writer, so that the query may have run.
    pub was_sent: bool,
    /// Due time of its [`Timer::QueryDeadline`](super::timer::Timer::QueryDeadline).
    pub deadline_at: Millis,
}

/// A part of a query. The record is kept until the query and all attempts of the part have ended.
pub(super) struct Part {
    pub query: QueryId,
    pub shard: u32,
    /// Number of attempts that the balancer has requested; the number of the next attempt.
    pub attempts_started: u32,
    /// Attempts whose outcome has not been reported to the balancer yet, by number.
    pub open_attempts: BTreeMap<u32, AttemptId>,
    /// Number of cancelled attempts whose cancellation may not have been written yet.
    pub unconfirmed_cancellations: u32,
    /// The next attempt, waiting for all cancellations to be confirmed.
    pub waiting_attempt: Option<AttemptId>,
    /// The rows of the part's value; `None` until it is served.
    pub value: Option<Vec<Bytes>>,
}

/// The key by which leaf servers identify a part.
#[derive(Clone, PartialEq, Eq)]
pub(super) struct PartKey {
    /// The client's identifier of the query.
    pub request_id: Arc<str>,
    pub shard: u32,
}

/// The stage of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Waiting for the cancellations of earlier attempts of its part to be confirmed.
    Waiting,
    /// Assigned to a connection, but not passed to its writer yet.
    Queued { connection: ConnectionId },
    /// Passed to the connection's writer in the message with this number.
    Submitted { connection: ConnectionId, message: u64 },
    /// Cancelled. Confirmed once the connection has ended or the message with this number, if any, is written.
    Cancelled { connection: ConnectionId, message: Option<u64> },
}

/// An attempt of a part.
pub(super) struct Attempt {
    pub part: PartId,
    pub part_key: PartKey,
    /// Its number among the attempts of its part.
    pub number: u32,
    pub replica: ReplicaId,
    /// Time at which the balancer requested the attempt.
    pub started_at: Millis,
    /// Time at which the attempt times out.
    pub timeout_at: Millis,
    /// Deadline for writing it; `None` if there is no such deadline.
    pub send_by: Option<Millis>,
    pub stage: AttemptStage,
}

/// A leaf server that is on the endpoint list or was recently removed from it.
pub(super) struct LeafServer {
    pub address: Arc<str>,
    pub cell: u32,
    /// Start time of its process by the wall clock, from the endpoint list; 0 if unknown.
    pub started_at_unix: Millis,
    /// The same time on the aggregator's clock. It is converted only once, since another conversion would give a
    /// slightly different time, which looks like a restart.
    pub started_at: Option<Millis>,
    /// When it was removed from the endpoint list; `None` while it is listed.
    pub removed_at: Option<Millis>,
}
