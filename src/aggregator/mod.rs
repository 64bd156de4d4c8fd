//! The sans-IO mixer. It knows no wire: fronts and node connections turn their bytes into [`Event`]s, and carry
//! out the [`Effect`]s that [`reduce`] gives back. All state changes are made there, and nowhere else.

mod attempts;
mod clients;
mod connections;
mod counters;
mod endpoint_updates;
mod health_checks;
mod lifecycle;
mod queries;
mod reduce;
mod state;

pub use counters::Counters;
pub use lifecycle::{Lifecycle, Siblings};
pub use reduce::reduce;
pub use state::{Limits, State};

use crate::balancer::{self, LoadReport, Millis, ReplicaId};
use crate::config::SiteSettings;
use crate::endpoints::{AuditEvent, EndpointList, Input};
use crate::hot_restart::Overrides;
use crate::ledger::{Entry, LedgerEvent};
use bytes::Bytes;
use std::sync::Arc;

/// A client's connection (HTTP) or call (Flight), numbered by the fronts; it has one query at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A connection to a node, numbered by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An attempt of a part, numbered by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A call of an operator on the second address, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdminCallId(pub u64);

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// To know whether this process could serve.
    CheckReady,
    /// Nothing more to a node.
    Disable(Arc<str>),
    /// A node may be given parts again.
    Enable(Arc<str>),
    /// Clients are to be sent away.
    Drain,
    /// Clients are wanted again.
    Resume,
}

/// What an operator is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminOutcome {
    /// It is so.
    Accepted,
    /// It is not so.
    Refused,
    /// Nobody has that name.
    UnknownEndpoint,
}

/// A query as a front has read it.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// The client's name for it, fresh with every try.
    pub name: Arc<str>,
    /// Its class.
    pub class: String,
    /// Its tenant, if any.
    pub tenant: Option<String>,
    /// Time until the client gives up; its class's where it has named none.
    pub time_left: Option<Millis>,
    /// The client marked it as a repeat.
    pub is_retry: bool,
    /// What each part has to carry.
    pub payload: Arc<str>,
    /// The client's key by which nodes drop repeats, if it gave one.
    pub idempotency_key: Option<Arc<str>>,
    /// Its parts.
    pub parts: Vec<NewPart>,
}

/// One part of a query as read.
#[derive(Clone, Copy, Debug)]
pub struct NewPart {
    /// The shard it asks.
    pub shard: u32,
    /// Its share of the whole answer.
    pub weight: f64,
    /// Estimated work, if told.
    pub cost_hint: Option<Millis>,
}

/// How a node answered a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// Served.
    Served,
    /// An error; it may have run.
    Failed,
    /// Turned away; it never ran.
    Rejected,
    /// The answer broke off while the connection stays; it may have run.
    Truncated,
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's connection has opened.
    ClientOpened(ClientId),
    /// It has ended, by whatever side.
    ClientClosed(ClientId),
    /// A client's query is in whole.
    QueryReceived(ClientId, NewQuery),
    /// A client sent what no query can be read from; the front has answered with a 4xx of its own. Flight numbers
    /// a call only once its query has been read.
    RequestMalformed(Option<ClientId>),
    /// A client asks whether this mixer takes queries.
    HealthRequested(ClientId),
    /// A client asks for the counters.
    MetricsRequested(ClientId),
    /// A connection to a node is up.
    Connected(ConnectionId),
    /// All messages up to this one (counted from 1) have been written to the last byte.
    Written(ConnectionId, u64),
    /// A node has answered an attempt.
    AttemptAnswered {
        /// On which connection.
        connection: ConnectionId,
        /// Which attempt.
        attempt: AttemptId,
        /// How.
        outcome: PartOutcome,
        /// The value's rows; of no meaning unless good.
        rows: Vec<Bytes>,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A node has answered the oldest probe on a connection.
    HealthCheckEnded {
        /// On which connection.
        connection: ConnectionId,
        /// Whether the node is well.
        healthy: bool,
        /// The load it reports.
        report: Option<LoadReport>,
    },
    /// A connection to a node never came up or has ended, by whatever side: nothing more comes or goes on it.
    ConnectionEnded {
        /// Which.
        connection: ConnectionId,
        /// Why, for the log; empty for no news.
        reason: String,
        /// The node sent what cannot be read: the answers that were to come on it are lost, not the node.
        protocol_error: bool,
    },
    /// What is said about the list of nodes.
    EndpointList {
        /// The list or its changes.
        list: EndpointList,
        /// How far the wall clock is ahead of the core's.
        wall_ahead: Millis,
    },
    /// What else is said about nodes: by inventory files, or by the settings.
    EndpointSource {
        /// What.
        input: Input,
        /// How far the wall clock is ahead of the core's.
        wall_ahead: Millis,
    },
    /// Discovery is asked for its list.
    DiscoveryPolled,
    /// The watch of the list has ended or has fallen silent.
    DiscoveryWatchLost {
        /// Over an answer that could not be read; the last good list stands.
        unreadable: bool,
    },
    /// What the ledger's keeper has to tell.
    Ledger(LedgerEvent),
    /// The configuration was read anew.
    SettingsReloaded(Box<SiteSettings>, Limits),
    /// It was to be read anew, but makes no sense.
    ReloadRejected,
    /// An operator's call.
    AdminCommand(AdminCallId, AdminCommand),
    /// Orders that are kept where all processes of this mixer find them, and their digest.
    OverridesLoaded(Overrides, u32),
    /// Other processes of this mixer have come or gone.
    SiblingsChanged(Siblings),
    /// The listener is closed, and all clients that it accepted have been told of.
    ListenerClosed,
    /// A time that [`State::next_timer`] named has come.
    TimerFired,
    /// The operators want this mixer to end.
    ShutdownRequested,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Served.
    Answer {
        /// All parts that a whole answer needs are in.
        complete: bool,
        /// Shards and the rows of their values, as the nodes gave them.
        values: Vec<(u32, Vec<Bytes>)>,
    },
    /// Turned away; asking again is harmless.
    Rejected {
        /// When to come back.
        retry_after: Option<Millis>,
    },
    /// Given up.
    Failed,
    /// Its time is over.
    Expired,
    /// No query that this mixer can take, and why.
    BadRequest(&'static str),
    /// Whether this mixer takes queries.
    Health {
        /// It does.
        ready: bool,
    },
    /// The counters as text.
    Metrics(String),
}

/// A part on its way to a node.
#[derive(Clone, Debug)]
pub struct CallPart {
    /// The attempt.
    pub attempt: AttemptId,
    /// The query's name.
    pub query: Arc<str>,
    /// The shard asked.
    pub shard: u32,
    /// How long the mixer will wait.
    pub timeout: Millis,
    /// The query's text.
    pub payload: Arc<str>,
    /// The query's idempotency key, if any.
    pub idempotency_key: Option<Arc<str>>,
}

/// A change of the aggregator's state that operators want to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The balancer's judgement of a replica or of the load has changed.
    Balancer(balancer::LogEvent),
    /// A graceful shutdown has begun.
    ShutdownRequested,
    /// A connection to a leaf server has ended other than by the aggregator.
    LeafConnectionEnded {
        /// The balancer's number of the leaf server.
        replica: ReplicaId,
        /// Why, as the connection's task has told it.
        reason: String,
    },
}

/// What the caller is to do, in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Tell a client.
    Reply {
        /// Which.
        client: ClientId,
        /// What.
        reply: Reply,
        /// And close its connection after that.
        close: bool,
    },
    /// Close a client's connection as soon as no request is under way on it.
    CloseClient(ClientId),
    /// Open a connection to a node.
    Connect(ConnectionId, Arc<str>),
    /// Write one call; a message for [`Event::Written`].
    SendCall(ConnectionId, Vec<CallPart>),
    /// Write that an attempt is given up; a message for [`Event::Written`].
    SendCancellation(ConnectionId, AttemptId),
    /// Write a probe for load; a message for [`Event::Written`].
    SendHealthCheck(ConnectionId),
    /// End a connection to a node at once; [`Event::Broken`] confirms it.
    CloseConnection(ConnectionId),
    /// Empty the listener's queue, and accept no more clients; [`Event::Shut`] confirms it.
    StopAccepting,
    /// Clients that may be open at once from now on.
    SetClientCapacity(usize),
    /// Answer an operator's call.
    AnswerAdmin(AdminCallId, AdminOutcome),
    /// Keep these orders where all processes of this mixer find them; then the call is answered yes.
    StoreOverrides(AdminCallId, Overrides),
    /// The kept orders of this digest are in force here.
    OverridesApplied(u32),
    /// The mixer's life has gone on.
    LifecycleChanged {
        /// From one state.
        from: &'static str,
        /// To the next.
        to: &'static str,
        /// This process could serve.
        ready: bool,
    },
    /// All is done.
    Exit,
    /// Log a change of state.
    Log(LogEvent),
    /// A change in who is a node, for the operators.
    EndpointAudit(AuditEvent),
    /// Use by a tenant, for the ledger. It comes before the reply to the client, if that is still there; its time is the
    /// core's.
    LedgerEntry(ClientId, Entry),
}
