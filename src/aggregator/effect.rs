//! Outputs of the aggregator. The event loop of `net` executes them.

use super::{
    AdminCallId, AdminOutcome, AttemptId, ClientId, ConnectionId, GatewayId, Lifecycle, Limits, Reply,
};
use crate::balancer::{self, ReplicaId};
use crate::clock::Millis;
use crate::endpoints::AuditEvent;
use crate::hot_restart::Overrides;
use crate::ledger::Entry;
use bytes::Bytes;
use std::sync::Arc;

/// An output of [`reduce`](super::reduce); the caller executes effects in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Reply to a client.
    Reply {
        /// The client.
        client: ClientId,
        /// The reply.
        reply: Reply,
        /// Whether to close the client's connection after the reply.
        close: bool,
    },
    /// Close a client's connection as soon as no request is in flight on it.
    CloseClient(ClientId),
    /// Close a gateway's connection as soon as no call is in flight on it, and accept no more calls;
    /// [`Event::GatewayClosed`](super::Event::GatewayClosed) confirms it.
    CloseGateway(GatewayId),
    /// Close a client's connection although a request may have been received in part; the client is told that it was not
    /// accepted. One that has been received completely is still delivered.
    CloseClientNow(ClientId),
    /// Close a gateway's connection although requests may have been received in part, like [`Effect::CloseClientNow`].
    CloseGatewayNow(GatewayId),
    /// Open a connection to the leaf server at an address.
    Connect(ConnectionId, Arc<str>),
    /// Write a call with one or more parts. Counts as a message of [`Event::Written`](super::Event::Written).
    SendCall(ConnectionId, Vec<CallPart>),
    /// Write the cancellation of an attempt. Counts as a message of [`Event::Written`](super::Event::Written).
    SendCancellation(ConnectionId, AttemptId),
    /// Write a health check. Counts as a message of [`Event::Written`](super::Event::Written).
    SendHealthCheck(ConnectionId),
    /// Close a connection to a leaf server immediately;
    /// [`Event::ConnectionEnded`](super::Event::ConnectionEnded) confirms it.
    CloseConnection(ConnectionId),
    /// Accept the clients in the listeners' backlogs, then close the listeners;
    /// [`Event::ListenerClosed`](super::Event::ListenerClosed) confirms each.
    StopAccepting,
    /// Enforce these limits from now on.
    SetLimits(Limits),
    /// Answer an operator's command.
    AnswerAdmin(AdminCallId, AdminOutcome),
    /// Store the overrides for all processes of this aggregator, then answer the command.
    StoreOverrides(AdminCallId, Overrides),
    /// Publish that the stored overrides with this digest are in force in this process.
    OverridesApplied(u32),
    /// Send every reply that waits for the ledger at this time at the latest.
    LimitReplyWaits {
        /// The time on the aggregator's clock.
        until: Millis,
    },
    /// Report that the lifecycle has entered a different state.
    LifecycleChanged {
        /// The previous state.
        from: Lifecycle,
        /// The new state.
        to: Lifecycle,
        /// Whether this process can serve, as reported on `/-/ready`.
        ready: bool,
    },
    /// Exit the process: the graceful shutdown is complete.
    Exit,
    /// Log a change of state.
    Log(LogEvent),
    /// Log a change of the endpoint list.
    EndpointAudit(AuditEvent),
    /// Record a query in the ledger. The entry's time is on the aggregator's clock. If the client gets a reply, this
    /// effect precedes it.
    LedgerEntry(ClientId, Entry),
}

/// A part of a call to a leaf server.
#[derive(Clone, Debug)]
pub struct CallPart {
    /// The attempt.
    pub attempt: AttemptId,
    /// The client's identifier of the query.
    pub request_id: Arc<str>,
    /// The shard that the part is for.
    pub shard: u32,
    /// Time within which the aggregator expects the answer.
    pub timeout: Millis,
    /// The query's payload; valid UTF-8.
    pub payload: Bytes,
    /// The query's idempotency key; `None` if the client sent none.
    pub idempotency_key: Option<Arc<str>>,
}

/// A change of the aggregator's state that is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A replica's outlier state or the balancer's load shedding has changed.
    Balancer(balancer::LogEvent),
    /// A query was rejected.
    QueryRejected {
        /// The client's identifier of the query.
        request_id: Arc<str>,
        /// Name of its class.
        class: Arc<str>,
        /// The balancer's reason.
        reason: balancer::RejectReason,
    },
    /// A graceful shutdown has begun.
    ShutdownRequested {
        /// Time from now within which queries that arrive are answered.
        replies_within: Millis,
    },
    /// A query has arrived during a graceful shutdown.
    QueryDuringShutdown {
        /// The client's identifier of the query.
        request_id: Arc<str>,
        /// Time from now within which it is answered, at most what the client allows; 0 or less if it is rejected.
        answer_within: Millis,
    },
    /// A connection to a leaf server has failed or was closed by the leaf server.
    LeafConnectionEnded {
        /// The balancer's identifier of the leaf server.
        replica: ReplicaId,
        /// The reason reported by the connection's task.
        reason: String,
    },
}
