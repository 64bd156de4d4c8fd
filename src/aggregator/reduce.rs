//! The entry point of the state machine: [`reduce`] dispatches an event, then runs the balancer until it has no pending
//! events. The methods of [`Reduction`] are spread over the modules of this directory, by topic.

use super::state::State;
use super::timer::Timer;
use super::{ClientId, Effect, Event, LogEvent, Reply};
use crate::balancer::{self, Action};
use crate::clock::Millis;
use crate::endpoints::Input;
use std::collections::VecDeque;

/// Applies an event to the state and returns the effects, which the caller executes in order. `now` is on the
/// aggregator's clock.
pub fn reduce(state: &mut State, now: Millis, event: Event) -> Vec<Effect> {
    let mut reduction = Reduction { state, now, effects: Vec::new(), balancer_events: VecDeque::new() };
    reduction.apply(event);
    reduction.withdraw_overdue_attempts();
    reduction.run_balancer();
    reduction.flush_calls();
    reduction.check_exit();
    reduction.effects
}

/// The context of one call of [`reduce`].
pub(super) struct Reduction<'a> {
    pub(super) state: &'a mut State,
    pub(super) now: Millis,
    /// Effects for the caller to execute, in order.
    pub(super) effects: Vec<Effect>,
    /// Pending events for the balancer, in order.
    pub(super) balancer_events: VecDeque<balancer::Event>,
}

impl Reduction<'_> {
    fn apply(&mut self, event: Event) {
        match event {
            Event::ClientOpened(client) => self.client_opened(client),
            Event::ClientClosed(client) => self.client_closed(client),
            Event::GatewayOpened(gateway) => self.gateway_opened(gateway),
            Event::GatewayClosed(gateway) => self.gateway_closed(gateway),
            Event::CallOpened { call, gateway } => self.call_opened(call, gateway),
            Event::QueryReceived(client, query) => self.query_received(client, query),
            Event::RequestMalformed(client) => self.request_malformed(client),
            Event::HealthRequested(client) => self.health_requested(client),
            Event::MetricsRequested(client) => self.metrics_requested(client),
            Event::Connected(connection) => self.connection_established(connection),
            Event::Written(connection, message) => self.messages_written(connection, message),
            Event::AttemptAnswered { connection, attempt, outcome, rows, report } => {
                self.attempt_answered(connection, attempt, outcome, rows, report);
            }
            Event::HealthCheckEnded { connection, healthy, report } => {
                self.health_check_answered(connection, healthy, report);
            }
            Event::ConnectionEnded { connection, reason, protocol_error } => {
                self.connection_ended(connection, reason, protocol_error);
            }
            Event::EndpointList { list, wall_clock_offset } => {
                self.discovery_answered(list, wall_clock_offset);
            }
            Event::EndpointSourceChanged { input, wall_clock_offset } => {
                self.endpoint_source_changed(input, wall_clock_offset);
            }
            Event::DiscoveryPolled => self.state.counters.discovery_polls += 1,
            Event::DiscoveryWatchLost { malformed_response } => self.discovery_watch_lost(malformed_response),
            Event::Ledger(event) => self.count_ledger_event(&event),
            Event::SettingsReloaded(settings, limits) => self.reload_settings(*settings, limits),
            Event::ReloadRejected => self.state.counters.reloads_rejected += 1,
            Event::AdminCommand(call, command) => self.run_admin_command(call, command),
            Event::OverridesLoaded(overrides, digest) => self.overrides_loaded(&overrides, digest),
            Event::SiblingsChanged(siblings) => self.siblings_changed(siblings),
            Event::ListenerClosed => self.listener_closed(),
            Event::TimerFired => self.fire_due_timers(),
            Event::ShutdownRequested => self.begin_shutdown(),
        }
    }

    fn health_requested(&mut self, client: ClientId) {
        let ready = self.is_healthy();
        self.reply(client, Reply::Health { ready });
    }

    fn metrics_requested(&mut self, client: ClientId) {
        let text = self.state.counters_text();
        self.reply(client, Reply::Metrics(text));
    }

    fn fire_due_timers(&mut self) {
        while let Some(timer) = self.state.timers.pop_due(self.now) {
            self.fire_timer(timer);
        }
    }

    fn fire_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Balancer => self.balancer_events.push_back(balancer::Event::Timer),
            Timer::QueryDeadline(query) => {
                // After a stall the balancer's timer may be due as well; its decision takes precedence.
                self.run_balancer();
                self.query_expired(query);
            }
            Timer::AttemptTimeout(attempt) => self.attempt_timed_out(attempt),
            Timer::SendDeadline(attempt) => self.send_deadline_passed(attempt),
            Timer::ConnectTimeout(connection) => self.connect_timed_out(connection),
            Timer::WriteTimeout(connection) => self.check_write_timeout(connection),
            Timer::IdleTimeout(connection) => self.check_idle_timeout(connection),
            Timer::HealthCheckTimeout(connection) => self.health_check_timed_out(connection),
            Timer::DrainClients => self.drain_clients(),
            Timer::DiscoveryWait => self.await_discovery(),
            Timer::EndpointRegistry => self.update_endpoints(Input::TimerFired),
        }
    }

    /// Passes pending events to the balancer and applies its actions until no events are left. Actions may add further
    /// events.
    fn run_balancer(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.balancer_events.pop_front() {
            let query_with_tenant = match &event {
                balancer::Event::Query { query, tenant: Some(_), .. } => Some(*query),
                _ => None,
            };
            self.state.balancer.handle(self.now, event, &mut actions);
            if let Some(query) = query_with_tenant {
                self.record_quota_share(query);
            }
            for action in actions.drain(..) {
                self.apply_action(action);
            }
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Send { part, replica, timeout, send_by } => {
                let is_warming_up = self.state.balancer.is_warming_up(replica);
                self.state.counters.attempts_to_warming_servers += u64::from(is_warming_up);
                self.start_attempt(part, replica, timeout, send_by);
            }
            Action::Cancel { part, attempt } => self.cancel_attempt(part, attempt),
            Action::Answer { query, complete } => {
                let values = self.answer_values(query);
                self.finish_query(query, Reply::Answer { complete, values });
            }
            Action::Reject { query, retry_after, reason } => {
                self.record_rejection(query, reason);
                self.finish_query(query, Reply::Rejected { retry_after });
            }
            Action::Fail { query } => self.finish_query(query, Reply::Failed),
            Action::HealthCheck { replica } => self.start_health_check(replica),
            // The endpoint list is always watched.
            Action::WatchEndpoints => {}
            Action::SetTimer { at } => self.state.set_timer(at, Timer::Balancer),
            Action::Log(event) => self.log_balancer_event(event),
        }
    }

    fn log_balancer_event(&mut self, event: balancer::LogEvent) {
        if let balancer::LogEvent::AllHoldersOutliers { shard } = event {
            self.state.counters.draws_among_outliers += 1;
            if !self.state.outlier_log_limit.allows(shard, self.now) {
                return;
            }
        }
        self.effects.push(Effect::Log(LogEvent::Balancer(event)));
    }
}
