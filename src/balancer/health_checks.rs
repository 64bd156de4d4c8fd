//! Health checks that request load reports: decides when a check is worth its cost and how long its response is
//! awaited, and handles its result.

use super::action::Action;
use super::event::CallResult;
use super::latency::{LatencyEstimates, MIN_SAMPLES, SAMPLE_CAPACITY};
use super::outlier_detection::{FailingShare, MAX_OUTLIER_SCORE};
use super::state::Balancer;
use super::statistics::{RecentSamples, finite_or};
use super::{LoadReportMode, Millis, Outcome, ReplicaId};

/// The selection of a replica waits for a health check up to this many times the [`TIMEOUT_QUANTILE`] of recent check
/// durations.
const TIMEOUT_DURATION_RATIO: f64 = 2.0;
const TIMEOUT_QUANTILE: f64 = 0.75;
/// Upper bound of the timeout, as a share of the median latency: the wait has to cost less than a better selection
/// saves.
const MAX_TIMEOUT_MEDIAN_SHARE: f64 = 0.25;
/// Lower bound of the timeout, in units of the timer's granularity.
const MIN_TIMEOUT_TICKS: f64 = 2.0;
/// A load report is fresh for this many median latencies.
const FRESH_MEDIANS: f64 = 2.0;
/// All queries use health checks if the tail latency reaches [`FULL_USE_TAIL_SHARE`] of the shortest latency
/// objective, or if [`FULL_USE_FAILING_SHARE`] of the attempts fail. At half of either, only [`MIN_SAMPLED_SHARE`] of
/// them do.
const FULL_USE_TAIL_SHARE: f64 = 0.6;
const FULL_USE_FAILING_SHARE: f64 = 0.12;
/// At least this share of the queries uses health checks, to keep the estimate of their duration current.
const MIN_SAMPLED_SHARE: f64 = 0.1;
/// Health checks are not used if one costs more than this share of the total value; see `Settings::health_check_cost`.
const MAX_CHECK_COST: f64 = 0.02;

/// State of the health checks of one replica.
pub(super) struct HealthCheckState {
    pub started_at: Millis,
    pub in_flight: bool,
    /// Calls of this aggregator that were in flight at the replica when the check was sent.
    pub own_calls: f64,
}

impl Default for HealthCheckState {
    fn default() -> Self {
        HealthCheckState { started_at: f64::NEG_INFINITY, in_flight: false, own_calls: 0.0 }
    }
}

/// Durations of recent health checks, over all replicas.
pub(super) struct HealthChecks {
    durations: RecentSamples,
    typical_duration: Millis,
}

impl HealthChecks {
    pub fn new() -> Self {
        HealthChecks { durations: RecentSamples::new(SAMPLE_CAPACITY), typical_duration: f64::INFINITY }
    }

    pub fn record_duration(&mut self, duration: Millis) {
        self.durations.push(finite_or(duration, 0.0));
    }

    /// Recomputes the typical duration.
    pub fn refresh(&mut self) {
        if self.durations.len() >= MIN_SAMPLES {
            self.typical_duration = self.durations.quantile(TIMEOUT_QUANTILE);
        }
    }

    /// How long the selection of a replica waits for the response to a health check.
    pub fn response_timeout(&self, median_latency: Millis, granularity: Millis) -> Millis {
        let min_timeout = MIN_TIMEOUT_TICKS * granularity;
        let max_timeout = (MAX_TIMEOUT_MEDIAN_SHARE * median_latency).max(min_timeout);
        (TIMEOUT_DURATION_RATIO * self.typical_duration).clamp(min_timeout, max_timeout)
    }

    /// The queue length in parts that the duration of a check implies, since a check waits in the queue as a part
    /// does. It is a lower bound on the queue, for replicas that report less than their actual queue.
    pub fn implied_queue(&self, duration: Millis, queued_part_time: Millis) -> f64 {
        ((duration - self.typical_duration / TIMEOUT_DURATION_RATIO) / queued_part_time)
            .clamp(0.0, MAX_OUTLIER_SCORE)
    }
}

/// The time at or before which a load report or a health check counts as stale.
fn stale_before(now: Millis, median_latency: Millis) -> Millis {
    now - FRESH_MEDIANS * median_latency
}

/// The share of the queries whose candidates are checked before one is selected. None if checks are not used because
/// of their cost.
pub(super) fn sampled_share(
    check_cost: f64,
    latency: &LatencyEstimates,
    shortest_objective: Millis,
    failing: &FailingShare,
) -> Option<f64> {
    if check_cost > MAX_CHECK_COST {
        return None;
    }
    let tail_urgency = latency.tail() / (FULL_USE_TAIL_SHARE * shortest_objective);
    let urgency = tail_urgency.max(failing.value() / FULL_USE_FAILING_SHARE);
    Some((2.0 * urgency - 1.0).max(MIN_SAMPLED_SHARE))
}

impl Balancer {
    /// Handles the result of a health check.
    pub(super) fn end_health_check(&mut self, id: ReplicaId, result: CallResult) {
        let CallResult { outcome, elapsed, report } = result;
        let criteria = self.outlier_criteria();
        let Some(replica) = self.endpoints.get_mut(id) else { return };
        replica.health_check.in_flight = false;
        self.health_checks.record_duration(elapsed);
        if outcome != Outcome::Ok {
            replica.outlier_stats.refresh(&criteria);
            replica.outlier_stats.record_minor_failure();
            return;
        }
        let implied_queue = self.health_checks.implied_queue(elapsed, self.latency.queued_part_time());
        let own_calls = replica.health_check.own_calls;
        self.record_report(id, report, own_calls, implied_queue);
    }

    /// Sends a health check to a replica if it has no fresh load report and no recent check, and if the settings allow
    /// it.
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

    fn health_check_timeout(&self) -> Millis {
        self.health_checks.response_timeout(self.latency.median(), self.settings.timer_granularity)
    }

    /// Whether a health check is in flight and has not reached its timeout.
    pub(super) fn awaits_health_check(&self, id: ReplicaId) -> bool {
        self.endpoints.get(id).is_some_and(|replica| {
            let check = &replica.health_check;
            check.in_flight && self.now - check.started_at < self.health_check_timeout()
        })
    }

    /// Whether a health check is still in flight after its timeout.
    pub(super) fn has_overdue_health_check(&self, id: ReplicaId) -> bool {
        self.endpoints.get(id).is_some_and(|replica| {
            let check = &replica.health_check;
            let waited = self.now - check.started_at.max(self.resumed_at);
            check.in_flight && waited >= self.health_check_timeout()
        })
    }
}
