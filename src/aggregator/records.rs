//! Records of what is in flight: clients, queries, their parts and attempts, and the leaf servers.

use super::{AttemptId, ClientId, ConnectionId};
use crate::balancer::{PartId, QueryId, ReplicaId};
use crate::clock::Millis;
use crate::ledger::QuotaShare;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A client's connection.
pub(super) struct Client {
    /// The query in flight.
    pub query: Option<QueryId>,
    /// Since when no query is in flight.
    pub idle_since: Millis,
    /// It has been answered at least once.
    pub answered: bool,
    /// It is being closed to free capacity for others.
    pub closing: bool,
}

/// A query in flight.
pub(super) struct Query {
    pub client: ClientId,
    /// The class by name, since a reload may renumber the classes.
    pub class: Arc<str>,
    /// The tenant as the client named it.
    pub tenant: Option<String>,
    /// The settings list that tenant.
    pub tenant_is_known: bool,
    /// Whether it was within its tenant's quota.
    pub share: QuotaShare,
    /// The client's identifier for it.
    pub request_id: Arc<str>,
    pub payload: Arc<str>,
    pub idempotency_key: Option<Arc<str>>,
    pub parts: Vec<PartId>,
}

/// A part of a query; it outlives the query while attempts are open.
pub(super) struct Part {
    pub query: QueryId,
    pub shard: u32,
    /// Attempts that the balancer has asked for; numbers the next one.
    pub attempts_started: u32,
    /// Attempts whose end was not reported to the balancer yet, by their number.
    pub open_attempts: BTreeMap<u32, AttemptId>,
    /// Cancelled attempts whose cancellation may not have been written yet.
    pub unconfirmed_cancellations: u32,
    /// The next attempt, which waits until all cancellations are confirmed.
    pub waiting_attempt: Option<AttemptId>,
    /// The rows of its value, once served.
    pub value: Option<Vec<Bytes>>,
}

/// What leaf servers identify a part by.
#[derive(Clone, PartialEq, Eq)]
pub(super) struct PartKey {
    /// The client's identifier of the query.
    pub request_id: Arc<str>,
    pub shard: u32,
}

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Waits until the cancellations of earlier attempts of its part are confirmed.
    Waiting,
    /// Assigned to a connection, but not passed to its writer.
    Queued { connection: ConnectionId },
    /// Passed to the connection's writer as the message of this number.
    Submitted { connection: ConnectionId, message: u64 },
    /// Cancelled; that is confirmed once the connection has ended or the message of this number is written.
    Cancelled { connection: ConnectionId, message: Option<u64> },
}

/// An attempt of a part.
pub(super) struct Attempt {
    pub part: PartId,
    pub part_key: PartKey,
    /// Its number among the attempts of its part.
    pub number: u32,
    pub replica: ReplicaId,
    /// When the balancer asked for it.
    pub started_at: Millis,
    /// When it times out.
    pub timeout_at: Millis,
    /// When it must have been written, if at all.
    pub send_by: Option<Millis>,
    pub stage: AttemptStage,
}

/// A leaf server on the endpoint list, or lately removed from it.
pub(super) struct LeafServer {
    pub address: Arc<str>,
    pub cell: u32,
    /// When its process started by the wall clock, as the endpoint list says; 0 if unknown.
    pub started_at_unix: Millis,
    /// The same by the aggregator's clock. It is converted only once: a new conversion would look like a restart.
    pub started_at: Option<Millis>,
    /// Since when it is off the endpoint list.
    pub removed_at: Option<Millis>,
}
