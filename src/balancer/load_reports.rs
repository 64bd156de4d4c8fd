//! Load reports: the queue that each replica says it has, and how well such reports have predicted latencies.

use super::replica::Replica;
use super::statistics::{DecayingRegression, RunningMean};
use super::{LoadReport, Millis};

/// A report fades to the mean of the other replicas over this many median latencies, within which a queue turns over.
const FADE_MEDIANS: f64 = 4.0;
/// Utilization is capped here: beyond it, it says nothing about the queue.
const MAX_UTILIZATION: f64 = 0.9;
/// The regression covers about this many answers.
const REGRESSION_MEMORY: f64 = 1024.0;
/// Prior of the regression: until reports have varied by this much (squared parts), they are largely trusted.
const REGRESSION_PRIOR: f64 = 8.0;
/// Bound on the excess latency of one answer in the regression, in parts.
const MAX_EXCESS: f64 = 12.0;

/// The last report of a replica.
#[derive(Clone, Copy)]
pub(super) struct ReportedQueue {
    /// Parts that wait there.
    pub queue: f64,
    pub received_at: Millis,
}

impl ReportedQueue {
    /// The queue that a report implies, if any. `own_calls` of the requests in flight at the replica are this
    /// aggregator's; `lower_bound` is a lower bound on the queue in parts, known by other means.
    pub fn from_report(report: &LoadReport, own_calls: f64, lower_bound: f64, now: Millis) -> Option<Self> {
        let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
        let queue = report.queue.filter(is_valid);
        let of_others = report.inflight.filter(is_valid).map(|in_flight| in_flight - own_calls);
        // The mean number of requests at an M/M/1 server of this utilization.
        let by_utilization =
            report.utilization.filter(is_valid).map(|share| share / (1.0 - share.min(MAX_UTILIZATION)));
        let queue = queue.or(of_others).or(by_utilization)?;
        Some(ReportedQueue { queue: queue.max(lower_bound), received_at: now })
    }
}

/// The load reports of all replicas.
#[derive(Default)]
pub(super) struct LoadReports {
    /// Over the replicas that are up.
    mean: RunningMean,
    /// Excess latency of answers over what was expected without reports, in parts, against the reported queue.
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

    /// The queue at a replica by its report, in parts. It fades with its age to the mean of the others, so that a stuck
    /// report loses its effect.
    pub fn queue_at(&self, replica: &Replica, now: Millis, median_latency: Millis) -> f64 {
        let own = replica.reported_queue.filter(|_| replica.is_up).map(|report| report.queue);
        let mean = self.mean.excluding(own);
        replica.reported_queue.map_or(mean, |report| {
            let age = now - report.received_at;
            mean + (report.queue - mean) * (-age / (FADE_MEDIANS * median_latency)).exp()
        })
    }

    /// How far reports are trusted, from 0 to 1: as far as answers took longer where more was reported. Reports that
    /// lag behind the actual queue predict nothing, even if they arrived recently.
    pub fn trust(&self) -> f64 {
        self.regression.slope(REGRESSION_PRIOR).clamp(0.0, 1.0)
    }

    /// Compares an answer's latency with what its replica had reported: `latency_in_parts` is the latency divided by
    /// the time that a queued part takes, `busyness` the parts expected at the replica, reports included.
    pub fn record_answer(&mut self, reported: f64, latency_in_parts: f64, busyness: f64) {
        let excess = latency_in_parts - busyness - 1.0 + self.trust() * reported;
        self.regression.add(reported, excess.clamp(-MAX_EXCESS, MAX_EXCESS), REGRESSION_MEMORY);
    }
}
