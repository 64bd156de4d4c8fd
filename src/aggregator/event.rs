//! What the aggregator reacts to. The event loop of `net` builds these from sockets, files, signals and timers.

use super::{
    AdminCallId, AdminCommand, AttemptId, ClientId, ConnectionId, Limits, NewQuery, PartOutcome, Siblings,
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
    /// A client's query has been read completely.
    QueryReceived(ClientId, NewQuery),
    /// A request could not be read as a query; the listener has answered it with a 4xx status. No client is named for
    /// a Flight call: those are numbered only once their query has been read.
    RequestMalformed(Option<ClientId>),
    /// A client asks on `/healthz` whether this aggregator takes queries.
    HealthRequested(ClientId),
    /// A client asks for the counters.
    MetricsRequested(ClientId),
    /// A connection to a leaf server is established.
    Connected(ConnectionId),
    /// All messages of the connection up to this one (counted from 1) have been written to the last byte.
    Written(ConnectionId, u64),
    /// A leaf server has answered an attempt.
    AttemptAnswered {
        /// The connection that the answer came on.
        connection: ConnectionId,
        /// The attempt answered.
        attempt: AttemptId,
        /// How the leaf server answered.
        outcome: PartOutcome,
        /// The rows of the part's value; meaningful only if it was served.
        rows: Vec<Bytes>,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// A leaf server has answered the oldest health check on a connection.
    HealthCheckEnded {
        /// The connection that the answer came on.
        connection: ConnectionId,
        /// Whether the leaf server says that it is healthy.
        healthy: bool,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// A connection to a leaf server could not be established or has ended, whichever side closed it: nothing more is
    /// sent or received on it.
    ConnectionEnded {
        /// The connection.
        connection: ConnectionId,
        /// The reason for the log; `None` for an ordinary close, which is not logged.
        reason: Option<String>,
        /// The leaf server sent bytes that cannot be read: the answers due on this connection are lost, but the
        /// server has not failed.
        protocol_error: bool,
    },
    /// Discovery has sent the endpoint list or changes to it.
    EndpointList {
        /// The list or its changes.
        list: EndpointList,
        /// How far the wall clock is ahead of the aggregator's clock.
        wall_clock_offset: Millis,
    },
    /// Inventory files or the settings have changed what is known of the endpoints.
    EndpointSourceChanged {
        /// The change.
        input: Input,
        /// How far the wall clock is ahead of the aggregator's clock.
        wall_clock_offset: Millis,
    },
    /// Discovery is being polled for its list.
    DiscoveryPolled,
    /// The watch of the endpoint list has ended or timed out.
    DiscoveryWatchLost {
        /// It ended because of an answer that could not be read; the last good list stays in force.
        malformed_response: bool,
    },
    /// The ledger's writer reports a change of its state.
    Ledger(LedgerEvent),
    /// The configuration was reloaded.
    SettingsReloaded(Box<PlatformSettings>, Limits),
    /// The configuration was to be reloaded, but is invalid.
    ReloadRejected,
    /// An operator's call on the admin address.
    AdminCommand(AdminCallId, AdminCommand),
    /// The overrides stored for all processes of this aggregator, and their digest.
    OverridesLoaded(Overrides, u32),
    /// Other processes of this aggregator have started, become ready or ended.
    SiblingsChanged(Siblings),
    /// The listener is closed, and an event has been delivered for every client that it accepted.
    ListenerClosed,
    /// The time named by [`State::next_timer`](super::State::next_timer) has come.
    TimerFired,
    /// The process was asked to end gracefully (SIGTERM).
    ShutdownRequested,
}
