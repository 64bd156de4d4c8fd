//! What the aggregator asks its caller to do. The event loop of `net` carries these out.

use super::{AdminCallId, AdminOutcome, AttemptId, ClientId, ConnectionId, Lifecycle, Reply};
use crate::balancer::{self, ReplicaId};
use crate::clock::Millis;
use crate::endpoints::AuditEvent;
use crate::hot_restart::Overrides;
use crate::ledger::Entry;
use std::sync::Arc;

/// An output of [`reduce`](super::reduce); effects are carried out in their order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a client.
    Reply {
        /// The client.
        client: ClientId,
        /// The answer.
        reply: Reply,
        /// Close the client's connection after the answer.
        close: bool,
    },
    /// Close a client's connection as soon as no request is in flight on it.
    CloseClient(ClientId),
    /// Open a connection to the leaf server at an address.
    Connect(ConnectionId, Arc<str>),
    /// Write one call with one or more parts; a message for [`Event::Written`](super::Event::Written).
    SendCall(ConnectionId, Vec<CallPart>),
    /// Write that an attempt is cancelled; a message for [`Event::Written`](super::Event::Written).
    SendCancellation(ConnectionId, AttemptId),
    /// Write a health check; a message for [`Event::Written`](super::Event::Written).
    SendHealthCheck(ConnectionId),
    /// End a connection to a leaf server at once;
    /// [`Event::ConnectionEnded`](super::Event::ConnectionEnded) confirms it.
    CloseConnection(ConnectionId),
    /// Accept the clients in the listener's backlog and no more;
    /// [`Event::ListenerClosed`](super::Event::ListenerClosed) confirms it.
    StopAccepting,
    /// Set the number of client connections that may be open at once.
    SetClientCapacity(usize),
    /// Answer an operator's call.
    AnswerAdmin(AdminCallId, AdminOutcome),
    /// Store the overrides where all processes of this aggregator find them; the call is answered after that.
    StoreOverrides(AdminCallId, Overrides),
    /// The stored overrides with this digest are in force in this process.
    OverridesApplied(u32),
    /// The lifecycle has entered a state of another name.
    LifecycleChanged {
        /// The old state.
        from: Lifecycle,
        /// The new state.
        to: Lifecycle,
        /// This process can serve, as `/-/ready` defines it.
        ready: bool,
    },
    /// Graceful shutdown is complete: the process can end.
    Exit,
    /// Log a change of state.
    Log(LogEvent),
    /// Log a change of the endpoint list for the operators.
    EndpointAudit(AuditEvent),
    /// Record a query in the ledger. The entry's time is by the aggregator's clock. The effect precedes the reply to
    /// the client, if there is one.
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
    /// How long the aggregator will wait for the answer.
    pub timeout: Millis,
    /// The query's payload.
    pub payload: Arc<str>,
    /// The query's idempotency key, if any.
    pub idempotency_key: Option<Arc<str>>,
}

/// A change of the aggregator's state that operators want to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The balancer's judgement of a replica or of the load has changed.
    Balancer(balancer::LogEvent),
    /// A query was rejected.
    QueryRejected {
        /// The client's identifier for it.
        request_id: Arc<str>,
        /// Its class.
        class: Arc<str>,
        /// Why.
        reason: balancer::RejectReason,
    },
    /// A graceful shutdown has begun.
    ShutdownRequested,
    /// A connection to a leaf server has ended other than by the aggregator.
    LeafConnectionEnded {
        /// The balancer's number of the leaf server.
        replica: ReplicaId,
        /// The reason, as the connection's task has reported it.
        reason: String,
    },
}
