//! Load reports: the queue that each replica says it has, and how far such reports have foretold latencies.

use super::replica::Replica;
use super::statistics::{DecayingRegression, RunningMean};
use super::{LoadReport, Millis};

/// A report fades to the mean of the other replicas over this many median latencies: the queue has turned over.
const FADE_MEDIANS: f64 = 4.0;
/// Beyond this utilization a queue cannot be told from it.
const MAX_UTILIZATION: f64 = 0.9;
/// Reports are judged over about this many answers.
const REGRESSION_MEMORY: f64 = 1024.0;
/// Reports are believed until they have varied by this much, squared.
const REGRESSION_PRIOR: f64 = 8.0;
/// A single answer counts for no more parts than this in the regression.
const MAX_EXCESS: f64 = 12.0;

/// The last report of a replica.
#[derive(Clone, Copy)]
pub(super) struct ReportedQueue {
    /// Parts that wait there.
    pub queue: f64,
    pub received_at: Millis,
}

impl ReportedQueue {
    /// What a report says about the queue, if anything. `own_calls` of the requests in flight there are of this
    /// aggregator; `lower_bound` is what is known otherwise.
    pub fn from_report(report: &LoadReport, own_calls: f64, lower_bound: f64, now: Millis) -> Option<Self> {
        let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
        let queue = report.queue.filter(is_valid);
        let of_others = report.inflight.filter(is_valid).map(|in_flight| in_flight - own_calls);
        // What waits at random arrivals and this utilization.
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
    /// How much longer answers took than was expected without reports, in parts, by what reports said.
    regression: DecayingRegression,
}

impl LoadReports {
    /// Computes the mean anew from the replicas that are up.
    pub fn reindex<'a>(&mut self, up: impl Iterator<Item = &'a Replica>) {
        self.mean = RunningMean::default();
        for report in up.filter_map(|replica| replica.reported_queue) {
            self.mean.replace(None, report.queue);
        }
    }

    /// Takes a replica's new report.
    pub fn record(&mut self, replica: &mut Replica, report: ReportedQueue) {
        if replica.is_up {
            self.mean.replace(replica.reported_queue.map(|old| old.queue), report.queue);
        }
        replica.reported_queue = Some(report);
    }

    /// The queue at a replica by its report, fading with its age to the mean of the others, so that a frozen or
    /// false report cannot rule for long.
    pub fn queue_at(&self, replica: &Replica, now: Millis, median_latency: Millis) -> f64 {
        let own = replica.reported_queue.filter(|_| replica.is_up).map(|report| report.queue);
        let mean = self.mean.excluding(own);
        replica.reported_queue.map_or(mean, |report| {
            let age = now - report.received_at;
            mean + (report.queue - mean) * (-age / (FADE_MEDIANS * median_latency)).exp()
        })
    }

    /// How far reports are believed, from 0 to 1: as far as answers took longer where more was reported. Reports
    /// that are older than the work they count foretell nothing, however lately they came.
    pub fn trust(&self) -> f64 {
        self.regression.slope(REGRESSION_PRIOR).clamp(0.0, 1.0)
    }

    /// Compares an answer's latency with what its replica had reported: `latency_in_parts` is the latency over the
    /// time a queued part takes, `busyness` what was expected to be there, reports included.
    pub fn record_answer(&mut self, reported: f64, latency_in_parts: f64, busyness: f64) {
        let excess = latency_in_parts - busyness - 1.0 + self.trust() * reported;
        self.regression.add(reported, excess.clamp(-MAX_EXCESS, MAX_EXCESS), REGRESSION_MEMORY);
    }
}
