//! The reducer: every state change of the mixer, and the effects that follow from it.

use super::state::{Part, Phase, State, Timer};
use super::{Effect, Event, Lifecycle, LogEvent, Reply};
use crate::balancer::{self, Action, Millis, Outcome};
use crate::endpoints::Input;
use crate::ledger::{LedgerEvent, Share};
use std::collections::VecDeque;

/// Applies an event to the state; what is to be done about it comes back in order.
pub fn reduce(state: &mut State, now: Millis, event: Event) -> Vec<Effect> {
    let mut step = Reduction { state, now, effects: Vec::new(), news: VecDeque::new() };
    step.apply(event);
    step.withdraw_late();
    step.settle_module();
    step.flush_calls();
    step.check_exit();
    step.effects
}

/// One application of the reducer.
pub(super) struct Reduction<'a> {
    pub(super) state: &'a mut State,
    pub(super) now: Millis,
    pub(super) effects: Vec<Effect>,
    /// What the module has yet to be told.
    pub(super) news: VecDeque<balancer::Event>,
}

impl Reduction<'_> {
    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::ClientOpened(client) => self.client_opened(client),
            Event::ClientClosed(client) => self.client_closed(client),
            Event::QueryReceived(client, query) => self.query(client, query),
            Event::RequestMalformed(client) => {
                self.state.counters.queries_malformed += 1;
                if let Some(c) = client.and_then(|client| self.state.clients.get_mut(&client)) {
                    c.idle_since = now;
                }
            }
            Event::HealthRequested(client) => {
                let ready = self.is_healthy();
                self.reply(client, Reply::Health { ready });
            }
            Event::MetricsRequested(client) => {
                let text = self.state.counters_text();
                self.reply(client, Reply::Metrics(text));
            }
            Event::Connected(conn) => self.connected(conn),
            Event::Written(conn, upto) => self.written(conn, upto),
            Event::AttemptAnswered { connection: conn, attempt, outcome: end, rows, report } => {
                self.part_ended(conn, attempt, end, rows, report);
            }
            Event::HealthCheckEnded { connection: conn, healthy: good, report } => {
                self.probe_ended(conn, good, report)
            }
            Event::ConnectionEnded { connection: conn, reason: why, protocol_error: spoilt } => {
                self.broken(conn, &why, spoilt)
            }
            Event::EndpointList { list, wall_ahead } => {
                self.membership(Input::Discovery(list), Some(wall_ahead));
                self.look_ready(true);
            }
            Event::EndpointSource { input, wall_ahead } => {
                // Without discovery there is nothing to hear.
                let alone = matches!(input, Input::Started { known: None, .. });
                if matches!(input, Input::Started { .. }) {
                    self.state.lifecycle = Lifecycle::Starting { since: now };
                }
                self.membership(input, Some(wall_ahead));
                self.look_ready(alone);
            }
            Event::DiscoveryPolled => self.state.counters.list_calls += 1,
            Event::DiscoveryWatchLost { unreadable } => {
                self.state.counters.watches_lost += 1;
                self.state.counters.lists_unreadable += u64::from(unreadable);
                self.news.push_back(balancer::Event::EndpointListFailed);
            }
            Event::Ledger(told) => {
                let counters = &mut self.state.counters;
                match told {
                    LedgerEvent::EntriesLost(gap) => counters.ledger_lost += gap.entries,
                    LedgerEvent::WriteFailed(_) => counters.ledger_failures += 1,
                    LedgerEvent::PeriodClosed(_) => counters.ledger_periods_closed += 1,
                    LedgerEvent::ExportFinished(_) => counters.ledger_exports += 1,
                    LedgerEvent::Durable(_) | LedgerEvent::Recovered => {}
                }
            }
            Event::SettingsReloaded(site, limits) => self.settings(*site, limits),
            Event::ReloadRejected => self.state.counters.reloads_rejected += 1,
            Event::AdminCommand(call, operation) => self.operate(call, operation),
            Event::OverridesLoaded(orders, digest) => self.orders_found(&orders, digest),
            Event::SiblingsChanged(beside) => self.beside(beside),
            Event::ListenerClosed => self.state.listener_closed = true,
            Event::TimerFired => {
                while let Some((at, timer)) = self.state.timers.first().copied().filter(|t| t.0 <= now.into())
                {
                    self.state.timers.remove(&(at, timer));
                    self.timer(timer);
                }
            }
            Event::ShutdownRequested => self.terminate(),
        }
    }

    /// Tells the module all news and carries out what it wants, until it is content.
    fn settle_module(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.news.pop_front() {
            let arrived = match &event {
                balancer::Event::Query { query, tenant: Some(_), .. } => Some(*query),
                _ => None,
            };
            self.state.balancer.handle(self.now, event, &mut actions);
            if let Some(q) = arrived.and_then(|id| self.state.queries.get_mut(&id))
                && !self.state.balancer.last_query_within_quota()
            {
                q.share = Share::Beyond;
            }
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { part, replica, timeout, send_by: by } => {
                self.state.counters.attempts_cold += u64::from(self.state.balancer.is_warming_up(replica));
                self.send(part, replica, timeout, by);
            }
            Action::Cancel { part, attempt } => {
                let live = self.state.parts.get(&part).and_then(|p| p.live.get(&attempt).copied());
                if let Some(id) = live {
                    self.end(id, Outcome::Cancelled, None);
                }
            }
            Action::Answer { query, complete: whole } => self.finish(query, |state, q| {
                let value = |p| state.parts.get(p).and_then(|p: &Part| Some((p.shard, p.value.clone()?)));
                Reply::Answer { complete: whole, values: q.parts.iter().filter_map(value).collect() }
            }),
            Action::Reject { query, retry_after } => {
                self.finish(query, |_, _| Reply::Rejected { retry_after })
            }
            Action::Fail { query } => self.finish(query, |_, _| Reply::Failed),
            Action::HealthCheck { replica } => self.probe(replica),
            // The list is always watched here: what the module wants is under way.
            Action::WatchEndpoints => {}
            Action::SetTimer { at } => self.state.arm(at, Timer::Module),
            Action::Log(event) => self.effects.push(Effect::Log(LogEvent::Balancer(event))),
        }
    }

    fn timer(&mut self, timer: Timer) {
        match timer {
            Timer::Module => self.news.push_back(balancer::Event::Timer),
            // The module ends every query before its time; this is the last resort should it fail to.
            Timer::Query(query) => {
                if self.state.queries.contains_key(&query) {
                    self.finish(query, |_, _| Reply::Expired);
                    self.news.push_back(balancer::Event::ClientDisconnected { query });
                }
            }
            Timer::Attempt(id) => self.timed_out(id),
            Timer::Leave(id) => self.must_have_left(id),
            Timer::Dial(conn) => {
                if self.state.connections.get(&conn).is_some_and(|c| c.phase == Phase::Dialling) {
                    self.state.counters.connections_failed += 1;
                    self.close(conn);
                }
            }
            Timer::Stall(conn) => {
                let Some(c) = self.state.connections.get(&conn) else { return };
                // A node that reads nothing: what waits here must neither pile up nor leave long after a drain
                // was told, and the next attempts of what was given up must not wait for it.
                let Some(oldest) = c.unwritten.front().filter(|_| c.phase == Phase::Up) else { return };
                let due = oldest + self.state.settings.connect_timeout;
                if due <= self.now { self.close(conn) } else { self.state.arm(due, Timer::Stall(conn)) }
            }
            Timer::Idle(conn) => self.arm_idle(conn),
            Timer::Probe(conn) => self.probe_timed_out(conn),
            Timer::LetGo => self.let_go(),
            Timer::Ready => self.look_ready(false),
            Timer::Endpoints => self.membership(Input::TimerFired, None),
        }
    }
}
