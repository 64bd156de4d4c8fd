//! Load reports: the queue length that each replica reports, and how well such reports have predicted latencies.

use super::replica::Replica;
use super::statistics::{DecayingRegression, RunningMean};
use super::{LoadReport, Millis};

/// The time constant with which a report decays to the mean of the other replicas, in median latencies. A queue turns
/// over within about this time.
const DECAY_MEDIANS: f64 = 4.0;
/// Upper bound of the utilization used: higher values do not predict the queue length.
const MAX_UTILIZATION: f64 = 0.9;
/// The number of recent answers that the regression effectively covers.
const REGRESSION_MEMORY: f64 = 1024.0;
/// Prior of the regression, in squared parts: until the variation of the reports exceeds it, their weight stays near
/// 1.
const REGRESSION_PRIOR: f64 = 8.0;
/// Bound on the excess latency of one answer in the regression, in parts.
const MAX_EXCESS: f64 = 12.0;

/// The queue length from a replica's last load report.
#[derive(Clone, Copy)]
pub(super) struct ReportedQueue {
    /// Parts that wait at the replica.
    pub queue: f64,
    pub received_at: Millis,
}

impl ReportedQueue {
    /// Derives the queue length from a report, if it has any usable value. `own_calls` is the number of requests in
    /// flight at the replica that this aggregator has sent; `lower_bound` is a lower bound on the queue in parts,
    /// known by other means.
    pub fn from_report(report: &LoadReport, own_calls: f64, lower_bound: f64, now: Millis) -> Option<Self> {
        let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
        let queue = report.queue.filter(is_valid);
        let from_others = report.inflight.filter(is_valid).map(|in_flight| in_flight - own_calls);
        // The mean number of requests at an M/M/1 server of this utilization.
        let from_utilization =
            report.utilization.filter(is_valid).map(|share| share / (1.0 - share.min(MAX_UTILIZATION)));
        let queue = queue.or(from_others).or(from_utilization)?;
        Some(ReportedQueue { queue: queue.max(lower_bound), received_at: now })
    }
}

/// The load reports of all replicas.
#[derive(Default)]
pub(super) struct LoadReports {
    /// The mean reported queue of the replicas that are up.
    mean: RunningMean,
    /// Regression of the excess latency of answers, in parts, on the reported queue. Excess latency is the latency
    /// beyond the value expected without reports.
    regression: DecayingRegression,
}

impl LoadReports {
    /// Recomputes the mean over the replicas that are up.
    pub fn reindex<'a>(&mut self, up: impl Iterator<Item = &'a Replica>) {
        self.mean = RunningMean::default();
        for report in up.filter_map(|replica| replica.reported_queue) {
            self.mean.replace(None, report.queue);
        }
    }

    /// Replaces the report of a replica.
    pub fn record(&mut self, replica: &mut Replica, report: ReportedQueue) {
        if replica.is_up {
            self.mean.replace(replica.reported_queue.map(|old| old.queue), report.queue);
        }
        replica.reported_queue = Some(report);
    }

    /// The queue length at a replica according to its report, in parts. The value decays to the mean of the other
    /// replicas as the report ages, so that a report that is no longer updated loses its effect.
    pub fn queue_at(&self, replica: &Replica, now: Millis, median_latency: Millis) -> f64 {
        let own = replica.reported_queue.filter(|_| replica.is_up).map(|report| report.queue);
        let mean = self.mean.excluding(own);
        replica.reported_queue.map_or(mean, |report| {
            let age = now - report.received_at;
            mean + (report.queue - mean) * (-age / (DECAY_MEDIANS * median_latency)).exp()
        })
    }

    /// The weight of load reports in the estimated load, from 0 to 1: the slope of the excess latency over the
    /// reported queue. Reports that lag behind the actual queue do not predict latency, even if they were received
    /// recently.
    pub fn report_weight(&self) -> f64 {
        self.regression.slope(REGRESSION_PRIOR).clamp(0.0, 1.0)
    }

    /// Adds an answer to the regression. `latency_in_parts` is the latency divided by the time per queued part,
    /// `estimated_load` the load in parts that was estimated for the replica, reports included.
    pub fn record_answer(&mut self, reported: f64, latency_in_parts: f64, estimated_load: f64) {
        let excess = latency_in_parts - estimated_load - 1.0 + self.report_weight() * reported;
        self.regression.add(reported, excess.clamp(-MAX_EXCESS, MAX_EXCESS), REGRESSION_MEMORY);
    }
}
