//! The lifecycle of the process: startup, readiness, draining, hot restart and graceful shutdown.
//! `docs/design/operations.md` draws its states.

use super::records::Client;
use super::reduce::Reduction;
use super::timer::Timer;
use super::{Effect, LogEvent};
use crate::clock::Millis;
use crate::hot_restart::OverrideSubject;

/// How long a draining process serves its clients as before: load balancers notice a drain only after a while, and
/// clients whose connections are closed at once may find no other aggregator yet.
const CLIENT_GRACE_PERIOD: Millis = 650.0;
/// After the grace period, a client without a request for this long counts as idle and is closed.
const IDLE_CLIENT_AFTER: Millis = 100.0;
/// A process with an endpoint list becomes ready after this time even if discovery, which may be down, has not
/// answered.
const MAX_DISCOVERY_WAIT: Millis = 1000.0;

/// The state of the lifecycle. Times are by the aggregator's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// There is no endpoint list yet, or discovery has not answered.
    Starting {
        /// When the process began to start.
        since: Millis,
    },
    /// Serving.
    Ready,
    /// Serving, and sending its clients away until an operator cancels the drain.
    Draining {
        /// When the drain began.
        since: Millis,
    },
    /// Shutting down while another process of this aggregator takes over.
    HotRestarting {
        /// When clients were first sent away.
        since: Millis,
    },
    /// Shutting down without a successor.
    ShuttingDown {
        /// When clients were first sent away.
        since: Millis,
    },
}

/// When a draining process closes its clients' connections.
struct ClientDrain {
    /// From when on a reply closes its connection.
    close_after_reply_from: Millis,
    /// From when on idle clients are closed.
    close_idle_from: Millis,
}

impl Lifecycle {
    /// The state's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting { .. } => "starting",
            Self::Ready => "ready",
            Self::Draining { .. } => "draining",
            Self::HotRestarting { .. } => "hot restarting",
            Self::ShuttingDown { .. } => "shutting down",
        }
    }

    /// Whether the process is to end.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Self::HotRestarting { .. } | Self::ShuttingDown { .. })
    }

    /// Whether this process can serve, as `/-/ready` reports it.
    pub fn can_serve(self) -> bool {
        matches!(self, Self::Ready | Self::Draining { .. })
    }

    /// Whether load balancers should send clients to this aggregator, as `/healthz` reports it. During a hot restart
    /// they should: another process takes them.
    fn wants_clients(self) -> bool {
        matches!(self, Self::Starting { .. } | Self::Ready | Self::HotRestarting { .. })
    }

    fn client_drain(self) -> Option<ClientDrain> {
        match self {
            Self::Starting { .. } | Self::Ready => None,
            Self::HotRestarting { since } => Some(ClientDrain {
                close_after_reply_from: since,
                close_idle_from: since + CLIENT_GRACE_PERIOD,
            }),
            Self::Draining { since } | Self::ShuttingDown { since } => Some(ClientDrain {
                close_after_reply_from: since + CLIENT_GRACE_PERIOD,
                close_idle_from: since + CLIENT_GRACE_PERIOD,
            }),
        }
    }

    /// From when on no client is accepted.
    fn stops_accepting_at(self) -> Option<Millis> {
        match self {
            Self::HotRestarting { since } => Some(since),
            Self::ShuttingDown { since } => Some(since + CLIENT_GRACE_PERIOD),
            Self::Starting { .. } | Self::Ready | Self::Draining { .. } => None,
        }
    }
}

impl Reduction<'_> {
    fn enter_lifecycle(&mut self, to: Lifecycle) {
        let from = self.state.lifecycle;
        if from.name() != to.name() {
            self.effects.push(Effect::LifecycleChanged { from, to, ready: to.can_serve() });
        }
        self.state.lifecycle = to;
        self.drain_clients();
    }

    // ---- Startup ---------------------------------------------------------------------------------------

    /// Startup begins when the endpoint sources are first known.
    pub(super) fn begin_startup(&mut self) {
        self.state.lifecycle = Lifecycle::Starting { since: self.now };
    }

    /// Ends the startup if there is an endpoint list; discovery has answered or is not used.
    pub(super) fn finish_startup(&mut self) {
        if self.startup_with_endpoints().is_some() {
            self.start_serving();
        }
    }

    /// Ends the startup if there is an endpoint list and discovery has been silent for too long.
    pub(super) fn await_discovery(&mut self) {
        let Some(since) = self.startup_with_endpoints() else { return };
        let wait_ends_at = since + MAX_DISCOVERY_WAIT;
        if self.now >= wait_ends_at {
            self.start_serving();
        } else {
            self.state.set_timer(wait_ends_at, Timer::DiscoveryWait);
        }
    }

    /// When the startup began, if the process is starting and has an endpoint list.
    fn startup_with_endpoints(&self) -> Option<Millis> {
        match self.state.lifecycle {
            Lifecycle::Starting { since } if !self.state.leaf_servers.is_empty() => Some(since),
            _ => None,
        }
    }

    fn start_serving(&mut self) {
        let lifecycle = if self.has_drain_override() {
            Lifecycle::Draining { since: self.now }
        } else {
            Lifecycle::Ready
        };
        self.enter_lifecycle(lifecycle);
    }

    // ---- Draining and shutdown -------------------------------------------------------------------------

    /// Begins or ends a drain as the operators' overrides say.
    pub(super) fn follow_drain_override(&mut self) {
        let must_drain = self.has_drain_override();
        match self.state.lifecycle {
            Lifecycle::Ready if must_drain => {
                self.enter_lifecycle(Lifecycle::Draining { since: self.now });
            }
            Lifecycle::Draining { .. } if !must_drain => self.enter_lifecycle(Lifecycle::Ready),
            _ => {}
        }
    }

    fn has_drain_override(&self) -> bool {
        self.state.overrides.is_active(&OverrideSubject::Aggregator)
    }

    /// Begins the graceful shutdown that SIGTERM asks for.
    pub(super) fn begin_shutdown(&mut self) {
        if self.state.lifecycle.is_shutting_down() {
            return;
        }
        // Clients that a drain has sent away already need no second grace period.
        let since = match self.state.lifecycle {
            Lifecycle::Draining { since } => since,
            _ => self.now,
        };
        let has_successor = self.state.siblings.any_ready;
        self.effects.push(Effect::Log(LogEvent::ShutdownRequested));
        self.enter_lifecycle(if has_successor {
            Lifecycle::HotRestarting { since }
        } else {
            Lifecycle::ShuttingDown { since }
        });
    }

    /// Whether a client's connection is to be closed after its reply.
    pub(super) fn closes_after_reply(&self) -> bool {
        let drain = self.state.lifecycle.client_drain();
        drain.is_some_and(|drain| self.now >= drain.close_after_reply_from)
    }

    /// Whether this aggregator takes clients, as `/healthz` reports it.
    pub(super) fn is_healthy(&self) -> bool {
        self.state.lifecycle.wants_clients()
            && !self.state.leaf_servers.is_empty()
            && !self.has_drain_override()
    }

    /// The next step of a drain: stops accepting clients when that is due, and closes idle ones after the grace period.
    pub(super) fn drain_clients(&mut self) {
        let Some(drain) = self.state.lifecycle.client_drain() else { return };
        self.stop_accepting_if_due();
        if self.now < drain.close_idle_from {
            self.state.set_timer(drain.close_idle_from, Timer::DrainClients);
            return;
        }
        let is_idle =
            |client: &Client| client.query.is_none() && client.idle_since + IDLE_CLIENT_AFTER <= self.now;
        let idle = self.state.clients.iter().filter(|(_, client)| is_idle(client));
        self.effects.extend(idle.map(|(id, _)| Effect::CloseClient(*id)));
        self.state.set_timer(self.now + IDLE_CLIENT_AFTER, Timer::DrainClients);
    }

    fn stop_accepting_if_due(&mut self) {
        let Some(stops_at) = self.state.lifecycle.stops_accepting_at() else { return };
        if self.state.accepting_clients && self.now >= stops_at {
            self.state.accepting_clients = false;
            self.effects.push(Effect::StopAccepting);
        }
    }

    /// Ends the process once its shutdown is complete: no client is left, and none can come.
    pub(super) fn check_exit(&mut self) {
        let state = &mut *self.state;
        let is_complete =
            state.lifecycle.is_shutting_down() && state.listener_closed && state.clients.is_empty();
        if is_complete && !state.exited {
            state.exited = true;
            self.effects.push(Effect::Exit);
        }
    }
}
