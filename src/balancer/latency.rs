//! Estimates of how long attempts take, from recent answers of all replicas together.

use super::Millis;
use super::statistics::RecentSamples;

/// Recent samples kept: enough for a steady 90th percentile, few enough to follow a change within seconds.
pub(super) const SAMPLES: usize = 64;
/// Estimates are used from this many samples on.
pub(super) const ENOUGH_SAMPLES: usize = SAMPLES / 8;
/// Median latency before there are enough answers, as a share of the shortest latency objective.
const INITIAL_MEDIAN_SHARE: f64 = 0.15;
/// Tail latency before there are enough answers, as a multiple of the median.
const INITIAL_TAIL_RATIO: f64 = 2.5;
/// The quantile that is taken for the tail.
const TAIL_QUANTILE: f64 = 0.9;
/// An error within this share of the median has cost the replica no work.
const IMMEDIATE_SHARE: f64 = 0.25;

/// Latencies of recent attempts and what is estimated from them.
///
/// Estimates change in [`refresh`](Self::refresh) alone, so that all decisions between two sweeps see the same ones.
pub(super) struct LatencyEstimates {
    latencies: RecentSamples,
    per_queued_part: RecentSamples,
    median: Millis,
    tail: Millis,
    immediate: Millis,
    queued_part_time: Millis,
}

impl LatencyEstimates {
    pub fn new(shortest_objective: Millis) -> Self {
        let median = INITIAL_MEDIAN_SHARE * shortest_objective;
        LatencyEstimates {
            latencies: RecentSamples::new(SAMPLES),
            per_queued_part: RecentSamples::new(SAMPLES),
            median,
            tail: median * INITIAL_TAIL_RATIO,
            immediate: 0.0,
            queued_part_time: median,
        }
    }

    /// Records the latency of an answer, and how many parts were at the replica when it was sent.
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
        self.immediate = IMMEDIATE_SHARE * self.median;
        self.tail = self.latencies.quantile(TAIL_QUANTILE).max(self.median);
        self.queued_part_time = self.per_queued_part.quantile(0.5).max(granularity);
    }

    /// Whether the estimates come from answers rather than from the latency objective.
    pub fn is_established(&self) -> bool {
        self.latencies.len() >= ENOUGH_SAMPLES
    }

    /// Median latency of an attempt.
    pub fn median(&self) -> Millis {
        self.median
    }

    /// Tail latency of an attempt.
    pub fn tail(&self) -> Millis {
        self.tail
    }

    /// An error that comes sooner has cost the replica no work; 0 until the median is established.
    pub fn immediate(&self) -> Millis {
        self.immediate
    }

    /// Median latency for each part that was at the replica, the answered one included.
    pub fn queued_part_time(&self) -> Millis {
        self.queued_part_time
    }
}
