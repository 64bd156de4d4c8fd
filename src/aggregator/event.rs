//! Inputs of the aggregator. The event loop of `net` builds them from sockets, files, signals and timers.

use super::{
    AdminCallId, AdminCommand, AttemptId, ClientId, ConnectionId, GatewayId, Limits, NewQuery, PartOutcome,
    Siblings,
};
use crate::balancer::LoadReport;
use crate::clock::Millis;
use crate::config::PlatformSettings;
use crate::endpoints::{EndpointList, Input};
use crate::hot_restart::Overrides;
use crate::ledger::LedgerEvent;
use bytes::Bytes;

/// An input of [`reduce`](super::reduce).
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's connection has been accepted.
    ClientOpened(ClientId),
    /// A client's connection has ended, whichever side closed it.
    ClientClosed(ClientId),
    /// A gateway's Flight connection has been accepted.
    GatewayOpened(GatewayId),
    /// A gateway's Flight connection has ended, whichever side closed it.
    GatewayClosed(GatewayId),
    /// A gateway has begun a call, which is a client of its own until [`Event::ClientClosed`].
    CallOpened {
        /// The call.
        call: ClientId,
        /// The connection that carries it.
        gateway: GatewayId,
    },
    /// A client's query has been received completely.
    QueryReceived(ClientId, NewQuery),
    /// A request could not be parsed as a query; the listener has answered it with a 4xx status. `None` for a Flight call,
    /// which gets its number only after its query has been parsed.
    RequestMalformed(Option<ClientId>),
    /// A client has requested `/healthz`.
    HealthRequested(ClientId),
    /// A client has requested `/metrics`.
    MetricsRequested(ClientId),
    /// A connection to a leaf server is established.
    Connected(ConnectionId),
    /// All messages of the connection up to this one (counted from 1) have been written completely.
    Written(ConnectionId, u64),
    /// A leaf server has answered an attempt.
    AttemptAnswered {
        /// The connection on which the answer was received.
        connection: ConnectionId,
        /// The attempt that was answered.
        attempt: AttemptId,
        /// The outcome reported by the leaf server.
        outcome: PartOutcome,
        /// The rows of the part's value; used only if the part was served.
        rows: Vec<Bytes>,
        /// The load report sent with the answer; `None` if it was missing or not readable.
        report: Option<LoadReport>,
    },
    /// A leaf server has answered the oldest health check on a connection.
    HealthCheckEnded {
        /// The connection on which the answer was received.
        connection: ConnectionId,
        /// Whether the leaf server reported that it is healthy.
        healthy: bool,
        /// The load report sent with the answer; `None` if it was missing or not readable.
        report: Option<LoadReport>,
    },
    /// A connection to a leaf server could not be established, or was closed by either side. Nothing more is sent or
    /// received on it.
    ConnectionEnded {
        /// The connection.
        connection: ConnectionId,
        /// The reason, for the log; `None` for an orderly close, which is not logged.
        reason: Option<String>,
        /// The leaf server sent malformed bytes: answers pending on this connection are lost, but the server itself has
        /// not failed.
        protocol_error: bool,
    },
    /// Discovery has sent the complete endpoint list or changes to it.
    EndpointList {
        /// The complete list, or its changes.
        list: EndpointList,
        /// How far the wall clock is ahead of the aggregator's clock.
        wall_clock_offset: Millis,
    },
    /// The endpoint sources have been read at startup, or an inventory file has changed since.
    EndpointSourceChanged {
        /// The input for the endpoint registry.
        input: Input,
        /// How far the wall clock is ahead of the aggregator's clock.
        wall_clock_offset: Millis,
    },
    /// A request for the endpoint list is being sent to discovery.
    DiscoveryPolled,
    /// The watch on the endpoint list has ended or timed out.
    DiscoveryWatchLost {
        /// It ended because of a malformed response; the last valid list stays in force.
        malformed_response: bool,
    },
    /// The ledger writer's state has changed.
    Ledger(LedgerEvent),
    /// The configuration has been reloaded.
    SettingsReloaded(Box<PlatformSettings>, Limits),
    /// A reload failed because the configuration is invalid.
    ReloadRejected,
    /// An operator has sent a command to the admin address.
    AdminCommand(AdminCallId, AdminCommand),
    /// The overrides stored for all processes of this aggregator have been loaded; with their digest.
    OverridesLoaded(Overrides, u32),
    /// Sibling processes of this aggregator have started, become ready or exited.
    SiblingsChanged(Siblings),
    /// A listener is closed, and an event has been delivered for every client that it accepted.
    ListenerClosed,
    /// The time returned by [`State::next_timer`](super::State::next_timer) has been reached.
    TimerFired,
    /// The process has received SIGTERM, which requests a graceful shutdown.
    ShutdownRequested,
}
