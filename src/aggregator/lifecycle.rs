//! The lifecycle of the process: startup, readiness, draining, hot restart and graceful shutdown.
//! See `docs/design/operations.md` for the state diagram.

use super::records::{Client, ConnectionUsage, Gateway};
use super::reduce::Reduction;
use super::shutdown_deadlines::ShutdownDeadlines;
use super::timer::Timer;
use super::{ClientId, Effect, GatewayId, LogEvent};
use crate::clock::Millis;
use crate::hot_restart::OverrideSubject;

/// Time for which a draining process keeps serving clients normally. Load balancers detect a drain with a delay, so
/// clients whose connections are closed immediately may not find another aggregator yet.
const CLIENT_GRACE_PERIOD: Millis = 650.0;
/// After the grace period, a client without a request for this time is considered idle and closed.
const CLIENT_IDLE_TIMEOUT: Millis = 100.0;
/// Time after which a starting process with an endpoint list becomes ready even if discovery, which may be down, has
/// not answered.
const MAX_DISCOVERY_WAIT: Millis = 1000.0;

/// The lifecycle state of the process. Times are on the aggregator's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// There is no endpoint list yet, or discovery has not answered.
    Starting {
        /// Time at which startup began.
        since: Millis,
    },
    /// Serving.
    Ready,
    /// Serving, and sending clients to other aggregators until an operator cancels the drain.
    Draining {
        /// Time at which the drain began.
        since: Millis,
    },
    /// Shutting down while another process of this aggregator takes over.
    HotRestarting {
        /// Time at which the shutdown began, or the drain that preceded it.
        since: Millis,
    },
    /// Shutting down without a successor.
    ShuttingDown {
        /// Time at which the shutdown began, or the drain that preceded it.
        since: Millis,
    },
}

/// Times at which a draining process closes client connections.
struct ClientDrain {
    /// Time from which a connection is closed after its reply.
    close_after_reply_from: Millis,
    /// Time from which idle clients are closed.
    close_idle_from: Millis,
}

impl Lifecycle {
    /// The state's name in log messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting { .. } => "starting",
            Self::Ready => "ready",
            Self::Draining { .. } => "draining",
            Self::HotRestarting { .. } => "hot restarting",
            Self::ShuttingDown { .. } => "shutting down",
        }
    }

    /// Whether the process is shutting down, with or without a successor.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Self::HotRestarting { .. } | Self::ShuttingDown { .. })
    }

    /// Whether this process can serve, as reported on `/-/ready`.
    pub fn can_serve(self) -> bool {
        matches!(self, Self::Ready | Self::Draining { .. })
    }

    /// Whether `/healthz` may direct load balancers to this aggregator. This includes a hot restart, where another
    /// process accepts the clients.
    fn advertises_healthy(self) -> bool {
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

    /// Time from which no clients are accepted; `None` if the listener stays open.
    fn stops_accepting_at(self) -> Option<Millis> {
        match self {
            Self::HotRestarting { since } => Some(since),
            Self::ShuttingDown { since } => Some(since + CLIENT_GRACE_PERIOD),
            Self::Starting { .. } | Self::Ready | Self::Draining { .. } => None,
        }
    }
}

/// Whether a connection without a request in progress is considered idle in a drain.
fn is_idle(usage: &ConnectionUsage, now: Millis) -> bool {
    usage.idle_since + CLIENT_IDLE_TIMEOUT <= now
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

    /// Begins the startup, once the endpoint sources have been read.
    pub(super) fn begin_startup(&mut self) {
        self.state.lifecycle = Lifecycle::Starting { since: self.now };
    }

    /// Ends the startup if there is an endpoint list. Called once discovery has answered, or if it is not used.
    pub(super) fn finish_startup(&mut self) {
        if self.startup_with_endpoints().is_some() {
            self.start_serving();
        }
    }

    /// Ends the startup if there is an endpoint list and the wait for discovery has timed out.
    pub(super) fn await_discovery(&mut self) {
        let Some(since) = self.startup_with_endpoints() else { return };
        let wait_ends_at = since + MAX_DISCOVERY_WAIT;
        if self.now >= wait_ends_at {
            self.start_serving();
        } else {
            self.state.set_timer(wait_ends_at, Timer::DiscoveryWait);
        }
    }

    /// When startup began; `None` if the process is not starting or has no endpoint list.
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

    /// Begins or ends a drain according to the operators' overrides.
    pub(super) fn apply_drain_override(&mut self) {
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

    /// Begins the graceful shutdown requested by SIGTERM.
    pub(super) fn begin_shutdown(&mut self) {
        if self.state.lifecycle.is_shutting_down() {
            return;
        }
        // After a drain, clients have already had their grace period.
        let since = match self.state.lifecycle {
            Lifecycle::Draining { since } => since,
            _ => self.now,
        };
        let has_successor = self.state.siblings.any_ready;
        let deadlines = ShutdownDeadlines::new(self.now, &self.state.settings.balancer.classes);
        self.state.shutdown_deadlines = Some(deadlines);
        self.state.balancer.limit_answers_to(deadlines.replies);
        self.effects.push(Effect::LimitReplyWaits { until: deadlines.connections });
        let replies_within = deadlines.replies - self.now;
        self.effects.push(Effect::Log(LogEvent::ShutdownRequested { replies_within }));
        self.enter_lifecycle(if has_successor {
            Lifecycle::HotRestarting { since }
        } else {
            Lifecycle::ShuttingDown { since }
        });
    }

    /// Whether client connections are closed after a reply.
    pub(super) fn closes_after_reply(&self) -> bool {
        self.client_drain().is_some_and(|drain| self.now >= drain.close_after_reply_from)
    }

    /// Whether load balancers should send clients to this aggregator, as reported on `/healthz`.
    pub(super) fn is_healthy(&self) -> bool {
        self.state.lifecycle.advertises_healthy()
            && !self.state.leaf_servers.is_empty()
            && !self.has_drain_override()
    }

    /// The times of the current drain, if any. Those of a shutdown are before its deadlines, however short these are.
    fn client_drain(&self) -> Option<ClientDrain> {
        let drain = self.state.lifecycle.client_drain()?;
        let Some(deadlines) = self.state.shutdown_deadlines else { return Some(drain) };
        Some(ClientDrain {
            close_after_reply_from: drain.close_after_reply_from.min(deadlines.replies),
            close_idle_from: drain.close_idle_from.min(deadlines.replies),
        })
    }

    /// Performs the next step of a drain: stops accepting clients when due, and closes idle clients after the grace
    /// period.
    pub(super) fn drain_clients(&mut self) {
        let Some(drain) = self.client_drain() else { return };
        self.stop_accepting_if_due();
        if self.now < drain.close_idle_from {
            self.state.set_timer(drain.close_idle_from, Timer::DrainClients);
            return;
        }
        let close_now_at = self.state.shutdown_deadlines.map(|deadlines| deadlines.connections);
        if !self.close_connections_if_due() {
            self.close_idle_clients();
            self.close_idle_gateways();
        }
        let next_step = self.now + CLIENT_IDLE_TIMEOUT;
        let close_now_at = close_now_at.filter(|at| *at > self.now);
        self.state.set_timer(close_now_at.map_or(next_step, |at| at.min(next_step)), Timer::DrainClients);
    }

    fn close_idle_clients(&mut self) {
        let closes = |client: &Client| {
            client.is_connection()
                && client.query.is_none()
                && !client.usage.closing
                && is_idle(&client.usage, self.now)
        };
        let idle = self.state.clients.iter().filter(|(_, client)| closes(client));
        let idle: Vec<ClientId> = idle.map(|(id, _)| *id).collect();
        for client in idle {
            self.close_client(client);
        }
    }

    fn close_idle_gateways(&mut self) {
        // The close lets the calls in flight end. A new connection may have a call in transit.
        let closes = |gateway: &Gateway| !gateway.is_idle() || is_idle(&gateway.usage, self.now);
        let open = self.state.gateways.iter().filter(|(_, gateway)| !gateway.usage.closing);
        let closing: Vec<GatewayId> =
            open.filter(|(_, gateway)| closes(gateway)).map(|(id, _)| *id).collect();
        for gateway in closing {
            self.close_gateway(gateway);
        }
    }

    /// From the deadline for connections on, closes all but those of clients with a query in progress, which end with its
    /// reply: a request that is completed later could not be answered before the process is killed. Returns whether the
    /// deadline has passed.
    pub(super) fn close_connections_if_due(&mut self) -> bool {
        if self.state.shutdown_deadlines.is_none_or(|deadlines| self.now < deadlines.connections) {
            return false;
        }
        for (id, client) in &mut self.state.clients {
            if client.gateway.is_none() && client.query.is_none() && !client.usage.closing_now {
                client.usage.closing = true;
                client.usage.closing_now = true;
                self.effects.push(Effect::CloseClientNow(*id));
            }
        }
        for (id, gateway) in &mut self.state.gateways {
            if !gateway.usage.closing_now {
                gateway.usage.closing = true;
                gateway.usage.closing_now = true;
                self.effects.push(Effect::CloseGatewayNow(*id));
            }
        }
        true
    }

    pub(super) fn listener_closed(&mut self) {
        self.state.open_listeners = self.state.open_listeners.saturating_sub(1);
    }

    fn stop_accepting_if_due(&mut self) {
        let Some(stops_at) = self.state.lifecycle.stops_accepting_at() else { return };
        let stops_at =
            self.state.shutdown_deadlines.map_or(stops_at, |deadlines| stops_at.min(deadlines.replies));
        if self.state.accepting_clients && self.now >= stops_at {
            self.state.accepting_clients = false;
            self.effects.push(Effect::StopAccepting);
        }
    }

    /// Exits the process once its shutdown is complete: no connection of a client or gateway is left, so that each answer
    /// has been written, and no new ones can be opened.
    pub(super) fn check_exit(&mut self) {
        let state = &mut *self.state;
        let is_complete = state.lifecycle.is_shutting_down()
            && state.open_listeners == 0
            && state.clients.is_empty()
            && state.gateways.is_empty();
        if is_complete && !state.exited {
            state.exited = true;
            self.effects.push(Effect::Exit);
        }
    }
}
