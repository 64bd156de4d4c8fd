//! Latency estimates for attempts, from recent answers of all replicas together.

use super::Millis;
use super::statistics::RecentSamples;

/// Number of recent samples kept: enough for a stable 90th percentile, and few enough to follow a change within
/// seconds.
pub(super) const SAMPLE_CAPACITY: usize = 64;
/// Minimum number of samples for an estimate.
pub(super) const MIN_SAMPLES: usize = SAMPLE_CAPACITY / 8;
/// Median latency until there are enough samples, as a share of the shortest latency objective.
const INITIAL_MEDIAN_SHARE: f64 = 0.15;
/// Tail latency until there are enough samples, as a multiple of the median.
const INITIAL_TAIL_RATIO: f64 = 2.5;
/// The quantile that is used as the tail latency.
const TAIL_QUANTILE: f64 = 0.9;
/// An error within this share of the median latency has used no replica capacity.
const IMMEDIATE_SHARE: f64 = 0.25;

/// Latencies of recent attempts, and the estimates derived from them.
///
/// Estimates change only in [`refresh`](Self::refresh), so that all decisions between two sweeps use the same values.
pub(super) struct LatencyEstimates {
    latencies: RecentSamples,
    per_queued_part: RecentSamples,
    median: Millis,
    tail: Millis,
    immediate_error_threshold: Millis,
    queued_part_time: Millis,
}

impl LatencyEstimates {
    pub fn new(shortest_objective: Millis) -> Self {
        let median = INITIAL_MEDIAN_SHARE * shortest_objective;
        LatencyEstimates {
            latencies: RecentSamples::new(SAMPLE_CAPACITY),
            per_queued_part: RecentSamples::new(SAMPLE_CAPACITY),
            median,
            tail: median * INITIAL_TAIL_RATIO,
            immediate_error_threshold: 0.0,
            queued_part_time: median,
        }
    }

    /// Records the latency of an answer. `parts_before` is the estimated load of the replica, in parts, when the
    /// attempt was sent.
    pub fn record(&mut self, latency: Millis, parts_before: f64) {
        self.per_queued_part.push(latency / (parts_before + 1.0));
        self.latencies.push(latency);
    }

    /// Recomputes the estimates. `granularity` is the shortest time that the caller can measure.
    pub fn refresh(&mut self, granularity: Millis) {
        if !self.is_established() {
            return;
        }
        self.median = self.latencies.quantile(0.5).max(granularity);
        self.immediate_error_threshold = IMMEDIATE_SHARE * self.median;
        self.tail = self.latencies.quantile(TAIL_QUANTILE).max(self.median);
        self.queued_part_time = self.per_queued_part.quantile(0.5).max(granularity);
    }

    /// Whether the estimates are derived from answers rather than from the latency objective.
    pub fn is_established(&self) -> bool {
        self.latencies.len() >= MIN_SAMPLES
    }

    /// Median latency of an attempt.
    pub fn median(&self) -> Millis {
        self.median
    }

    /// Tail latency of an attempt.
    pub fn tail(&self) -> Millis {
        self.tail
    }

    /// An error that is returned sooner than this has used no replica capacity; 0 until the median is established.
    pub fn immediate_error_threshold(&self) -> Millis {
        self.immediate_error_threshold
    }

    /// Median latency per part at the replica, the answered part included.
    pub fn queued_part_time(&self) -> Millis {
        self.queued_part_time
    }
}
