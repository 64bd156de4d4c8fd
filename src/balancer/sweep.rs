//! The periodic sweep: recomputes estimates, removes old observations, and advances every query.

use super::action::{Action, LogEvent};
use super::admission::Admission;
use super::state::Balancer;
use super::{Millis, QueryId, Settings};

/// The sweep interval, in units of the timer's granularity: far shorter than the latencies that are measured.
pub(super) const SWEEP_TICKS: f64 = 4.0;
/// A sweep that is overdue by more than this many intervals indicates a stall of the aggregator.
pub(super) const STALL_SWEEPS: f64 = 3.0;
/// Observations are kept for this long beyond their window, in units of the timer's granularity.
const WINDOW_MARGIN_TICKS: f64 = 4.0;

/// The time between two sweeps.
pub(super) fn sweep_interval(settings: &Settings) -> Millis {
    SWEEP_TICKS * settings.timer_granularity.max(1.0)
}

impl Balancer {
    pub(super) fn sweep(&mut self, actions: &mut Vec<Action>) {
        let elapsed = self.now - self.last_sweep_at;
        self.last_sweep_at = self.now;
        self.latency.refresh(self.settings.timer_granularity);
        self.health_checks.refresh();
        let warm = self.endpoints.warm_count(self.now, &self.slow_start);
        self.slow_start.update_peer_rate(elapsed, warm, self.objectives.longest);
        self.sweep_admission(elapsed, actions);
        self.remove_old_attempts();
        let queries: Vec<QueryId> = self.queries.keys().copied().collect();
        for query in queries {
            self.advance(query, actions);
        }
        self.endpoints.remove_departed(self.now, self.settings.slow_start_window);
        self.eject_outliers(actions);
        if self.endpoint_watch.take_request(self.now, self.settings.max_poll_interval) {
            actions.push(Action::WatchEndpoints);
        }
    }

    fn sweep_admission(&mut self, elapsed: Millis, actions: &mut Vec<Action>) {
        let drop_chance = Admission::drop_chance(elapsed, self.objectives.longest);
        if self.random.unit_interval() < drop_chance {
            self.admission.drop_oldest_ratio();
        }
        if self.admission.end_shedding(self.now, self.objectives.longest) {
            actions.push(Action::Log(LogEvent::LoadSheddingStopped));
        }
    }

    fn remove_old_attempts(&mut self) {
        let configured_window = self.settings.retry_budget.map_or(0.0, |budget| budget.window);
        let margin = WINDOW_MARGIN_TICKS * self.settings.timer_granularity;
        let horizon = self.now - configured_window.max(self.objectives.longest) - margin;
        self.retry_budgets.remove_before(horizon);
    }

    /// Ejects replicas that have become outliers, and restores those that are no longer outliers. An ejected replica
    /// stays on probation until it answers in time.
    fn eject_outliers(&mut self, actions: &mut Vec<Action>) {
        let criteria = self.outlier_criteria();
        for (id, replica) in self.endpoints.iter_mut() {
            let is_outlier = criteria.is_outlier(replica);
            if replica.outlier_stats.set_ejected(is_outlier) {
                let event =
                    if is_outlier { LogEvent::ReplicaEjected(*id) } else { LogEvent::ReplicaRestored(*id) };
                actions.push(Action::Log(event));
            }
        }
    }
}
