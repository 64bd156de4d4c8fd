//! Health checks for load: when one is worth its cost, how long its answer is waited for, and what it changes.

use super::action::Action;
use super::event::CallResult;
use super::latency::{ENOUGH_SAMPLES, LatencyEstimates, SAMPLES};
use super::outlier_detection::{FailingShare, MAX_EVIDENCE};
use super::state::Balancer;
use super::statistics::{RecentSamples, finite_or};
use super::{LoadReportMode, Millis, Outcome, ReplicaId};

/// The selection of a replica waits for a check up to this many times the given quantile of recent durations.
const PATIENCE_RATIO: f64 = 2.0;
const PATIENCE_QUANTILE: f64 = 0.75;
/// Upper bound of that wait, as a share of the median latency: it has to cost less than a better choice saves.
const MAX_PATIENCE_SHARE: f64 = 0.25;
/// Lower bound of that wait, in units of the timer's granularity.
const MIN_PATIENCE_TICKS: f64 = 2.0;
/// A report is fresh for this many median latencies.
const FRESH_MEDIANS: f64 = 2.0;
/// All queries use checks if the tail latency is this share of the shortest latency objective, or if this share of the
/// attempts fails; at half of either, only the sampled minimum does.
const FULL_USE_TAIL_SHARE: f64 = 0.6;
const FULL_USE_FAILING_SHARE: f64 = 0.12;
/// At least this share of the queries uses checks, to keep the estimate of their duration current.
const MIN_SAMPLED_SHARE: f64 = 0.1;
/// Checks are not used if one costs more than this share of the whole result.
const MAX_WORTHWHILE_COST: f64 = 0.02;

/// The health checks of one replica.
pub(super) struct HealthCheckState {
    pub started_at: Millis,
    pub in_flight: bool,
    /// Calls of this aggregator that were in flight at the replica when the check began.
    pub own_calls: f64,
}

impl Default for HealthCheckState {
    fn default() -> Self {
        HealthCheckState { started_at: f64::NEG_INFINITY, in_flight: false, own_calls: 0.0 }
    }
}

/// How long health checks take, over all replicas.
pub(super) struct HealthChecks {
    durations: RecentSamples,
    usual_duration: Millis,
}

impl HealthChecks {
    pub fn new() -> Self {
        HealthChecks { durations: RecentSamples::new(SAMPLES), usual_duration: f64::INFINITY }
    }

    pub fn record_duration(&mut self, duration: Millis) {
        self.durations.push(finite_or(duration, 0.0));
    }

    /// Recomputes the usual duration.
    pub fn refresh(&mut self) {
        if self.durations.len() >= ENOUGH_SAMPLES {
            self.usual_duration = self.durations.quantile(PATIENCE_QUANTILE);
        }
    }

    /// How long to wait for the answer to a check before a replica is chosen without it.
    pub fn patience(&self, median_latency: Millis, granularity: Millis) -> Millis {
        let least = MIN_PATIENCE_TICKS * granularity;
        let most = (MAX_PATIENCE_SHARE * median_latency).max(least);
        (PATIENCE_RATIO * self.usual_duration).clamp(least, most)
    }

    /// The queue that the duration of a check implies, in parts, since a check waits in the queue as a part does. It is
    /// the lower bound for replicas that report less than they have.
    pub fn implied_queue(&self, duration: Millis, queued_part_time: Millis) -> f64 {
        ((duration - self.usual_duration / PATIENCE_RATIO) / queued_part_time).clamp(0.0, MAX_EVIDENCE)
    }
}

/// The time at or before which a report or a check is too old to be used again.
fn stale_before(now: Millis, median_latency: Millis) -> Millis {
    now - FRESH_MEDIANS * median_latency
}

/// The share of the queries whose candidates are checked before one is chosen; none where a check costs too much.
pub(super) fn sampled_share(
    check_cost: f64,
    latency: &LatencyEstimates,
    shortest_objective: Millis,
    failing: &FailingShare,
) -> Option<f64> {
    if check_cost > MAX_WORTHWHILE_COST {
        return None;
    }
    let by_tail = latency.tail() / (FULL_USE_TAIL_SHARE * shortest_objective);
    let urgency = by_tail.max(failing.value() / FULL_USE_FAILING_SHARE);
    Some((2.0 * urgency - 1.0).max(MIN_SAMPLED_SHARE))
}

impl Balancer {
    /// Handles the end of a health check.
    pub(super) fn end_health_check(&mut self, id: ReplicaId, result: CallResult) {
        let CallResult { outcome, elapsed, report } = result;
        let criteria = self.outlier_criteria();
        let Some(replica) = self.endpoints.get_mut(id) else { return };
        replica.health_check.in_flight = false;
        self.health_checks.record_duration(elapsed);
        if outcome != Outcome::Ok {
            replica.evidence.refresh(&criteria);
            replica.evidence.record_minor_failure();
            return;
        }
        let implied_queue = self.health_checks.implied_queue(elapsed, self.latency.queued_part_time());
        let own_calls = replica.health_check.own_calls;
        self.record_report(id, report, own_calls, implied_queue);
    }

    /// Checks a replica whose report is not fresh.
    pub(super) fn check_health(&mut self, id: ReplicaId, actions: &mut Vec<Action>) {
        let reports_load = self.settings.load_report_mode != LoadReportMode::Off;
        if !self.settings.health_checks_allowed || !reports_load {
            return;
        }
        let stale = stale_before(self.now, self.latency.median());
        let Some(replica) = self.endpoints.get_mut(id) else { return };
        let is_report_stale = replica.reported_queue.is_none_or(|report| report.received_at <= stale);
        let check = &mut replica.health_check;
        if check.in_flight || check.started_at > stale || !is_report_stale {
            return;
        }
        check.in_flight = true;
        check.started_at = self.now;
        check.own_calls = replica.calls.len() as f64;
        actions.push(Action::HealthCheck { replica: id });
    }

    fn health_check_patience(&self) -> Millis {
        self.health_checks.patience(self.latency.median(), self.settings.timer_granularity)
    }

    /// Whether the answer to a health check may yet come in time.
    pub(super) fn awaits_health_check(&self, id: ReplicaId) -> bool {
        self.endpoints.get(id).is_some_and(|replica| {
            let check = &replica.health_check;
            check.in_flight && self.now - check.started_at < self.health_check_patience()
        })
    }

    /// Whether a health check is still unanswered after the time for which a part would wait for it.
    pub(super) fn has_overdue_health_check(&self, id: ReplicaId) -> bool {
        self.endpoints.get(id).is_some_and(|replica| {
            let check = &replica.health_check;
            let waited = self.now - check.started_at.max(self.resumed_at);
            check.in_flight && waited >= self.health_check_patience()
        })
    }
}
