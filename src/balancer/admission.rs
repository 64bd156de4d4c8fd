//! Admission control: rejects queries that are too unlikely to be answered in time to be worth their work.
//!
//! The chance of a query is the estimated probability that it is answered in time. It is derived from the ratio of
//! actual to expected latency of recent parts and from the success rate of its shards relative to the other shards. It
//! is corrected by a calibration, the ratio of the value of recently admitted queries to their predicted chances.

use super::latency::{MIN_SAMPLES, SAMPLE_CAPACITY};
use super::query_progress::WEIGHT_ROUNDING;
use super::statistics::{DecayingRatio, RecentSamples};
use super::{Class, Millis, RejectReason};
use std::collections::BTreeMap;

/// Minimum chance of a query whose parts are expected to queue. Partial answers also leave out the parts of a shard
/// whose relative success rate is below it.
const MIN_CHANCE: f64 = 0.4;
/// If the mean part of a query is expected to take less than this share of the available time, its replicas have no
/// significant queues, and shedding load would not help it.
const QUEUED_SHARE: f64 = 0.25;
/// Minimum chance of a query whose parts are not expected to queue. A query that needs all its parts also ends when
/// the chance of an unsent part falls below it.
const MIN_CHANCE_WITHOUT_QUEUE: f64 = 0.02;
/// Below this calibration, forecasts are considered unreliable, and every query needs at least
/// [`UNCALIBRATED_MIN_CHANCE`].
const MIN_CALIBRATION: f64 = 0.7;
const UNCALIBRATED_MIN_CHANCE: f64 = 0.6;
/// Prior of the calibration: this many admitted queries that were answered in time.
const CALIBRATION_PRIOR: f64 = 3.0;
/// Half-life of the calibration's samples, as a multiple of the longest latency objective.
const CALIBRATION_OBJECTIVES: f64 = 2.0;
/// Prior of a shard's success rate: this many parts at the success rate of all shards.
const SHARD_PRIOR: f64 = 4.0;
/// All latency ratio samples expire within this many of the longest latency objectives.
const RATIO_LIFETIME_OBJECTIVES: f64 = 4.0;
/// Number of latency ratio samples kept.
const RATIO_SAMPLE_CAPACITY: usize = 2 * SAMPLE_CAPACITY;
/// The outcomes of a query's parts are correlated: n parts count as `n.powf(1.0 - CORRELATION)` independent ones.
const CORRELATION: f64 = 0.25;
/// A part whose query ends before it is answered is recorded with its elapsed time multiplied by this factor, as an
/// estimate of the latency that it would have had.
const UNANSWERED_LATENCY_FACTOR: f64 = 2.0;
/// Parts that are expected to take at most this share of the latency objective find almost no queue.
const SPARE_CAPACITY_SHARE: f64 = 0.125;
/// The share of the in-flight limit that is available to queries of priority 0.
const LOWEST_PRIORITY_SHARE: f64 = 0.8;

/// The expected latency of one part of a query.
#[derive(Clone, Copy)]
pub(super) struct PartForecast {
    pub shard: u32,
    pub weight: f64,
    /// Infinite without a holder of the shard.
    pub expected_latency: Millis,
}

/// The expected outcome of a query.
#[derive(Clone, Copy)]
pub(super) struct Forecast {
    /// The mean latency of the fastest parts that make up a complete answer.
    pub mean_latency: Millis,
    /// The expected share of its full value that the query achieves in time, from 0 to 1.
    pub chance: f64,
}

/// A query for which admission is decided.
pub(super) struct AdmissionCandidate {
    pub forecast: Forecast,
    /// The priority from 0 to 1; see `Priorities::record_query`.
    pub priority: f64,
    /// The time within which its answer has value: until its latency objective, or until its client leaves if that is
    /// sooner.
    pub available: Millis,
}

/// The time of a decision or an observation, and the longest latency objective, which determines how fast observations
/// decay.
#[derive(Clone, Copy)]
pub(super) struct AdmissionContext {
    pub now: Millis,
    pub longest_objective: Millis,
}

impl AdmissionContext {
    /// The half-life of the calibration's samples.
    fn calibration_half_life(self) -> Millis {
        CALIBRATION_OBJECTIVES * self.longest_objective
    }
}

/// The number of queries and parts in flight, and its limit.
#[derive(Clone, Copy)]
pub(super) struct Occupancy {
    pub in_flight: usize,
    pub max_in_flight: u32,
}

impl Occupancy {
    /// Whether the limit is reached for queries of this priority, from 0 to 1.
    fn is_full_for(self, priority: f64) -> bool {
        let usable_share = LOWEST_PRIORITY_SHARE + (1.0 - LOWEST_PRIORITY_SHARE) * priority;
        self.in_flight as f64 > f64::from(self.max_in_flight) * usable_share
    }
}

/// Whether `part_count` parts of a query would find almost no queue. `total_latency` is the sum of their expected
/// latencies, `objective` the latency objective of the query.
pub(super) fn has_spare_capacity(total_latency: Millis, objective: Millis, part_count: usize) -> bool {
    total_latency <= SPARE_CAPACITY_SHARE * objective * part_count as f64
}

/// The state of admission control: statistics of recent parts and queries, and whether load shedding is active.
pub(super) struct Admission {
    /// Latencies of recent parts, from the first attempt to the answer, divided by the expected latency.
    latency_ratios: RecentSamples,
    /// The share of each shard's parts that were answered within the latency objective.
    in_time_by_shard: BTreeMap<u32, DecayingRatio>,
    in_time: DecayingRatio,
    /// Sum of the predicted chances of admitted queries (trials) and of the shares of value achieved in time
    /// (successes).
    calibration: DecayingRatio,
    is_shedding: bool,
    last_shed_at: Millis,
}

impl Admission {
    pub fn new() -> Self {
        Admission {
            latency_ratios: RecentSamples::new(RATIO_SAMPLE_CAPACITY),
            in_time_by_shard: BTreeMap::new(),
            in_time: DecayingRatio::default(),
            calibration: DecayingRatio::default(),
            is_shedding: false,
            last_shed_at: f64::NEG_INFINITY,
        }
    }

    /// Whether load shedding is active.
    pub fn is_shedding(&self) -> bool {
        self.is_shedding
    }

    /// Records that a query is shed. Returns whether load shedding starts with it.
    pub fn record_shed(&mut self, now: Millis) -> bool {
        self.last_shed_at = now;
        !std::mem::replace(&mut self.is_shedding, true)
    }

    /// Ends load shedding once no query has been shed for `min_time_without_shedding`. Returns whether it has ended
    /// now.
    pub fn end_shedding(&mut self, now: Millis, min_time_without_shedding: Millis) -> bool {
        let ends = self.is_shedding && now - self.last_shed_at > min_time_without_shedding;
        self.is_shedding &= !ends;
        ends
    }

    /// The reason to shed a query; None if it is admitted.
    pub fn shed_reason(
        &self,
        context: AdmissionContext,
        candidate: &AdmissionCandidate,
        occupancy: Occupancy,
    ) -> Option<RejectReason> {
        let AdmissionCandidate { forecast, priority, available } = *candidate;
        let calibration = self.calibration(context);
        let min_chance = if calibration < MIN_CALIBRATION {
            UNCALIBRATED_MIN_CHANCE
        } else if forecast.mean_latency > QUEUED_SHARE * available {
            MIN_CHANCE
        } else {
            MIN_CHANCE_WITHOUT_QUEUE
        };
        let predicted = forecast.chance * priority.cbrt();
        if occupancy.is_full_for(priority) {
            Some(RejectReason::InFlightLimit)
        } else if calibration * predicted >= min_chance {
            None
        } else if predicted >= min_chance {
            Some(RejectReason::UnreliableChance)
        } else {
            Some(RejectReason::LowChance)
        }
    }

    /// The ratio of achieved value to predicted chance of recently admitted queries, at most 1. Every query gives
    /// information about all replicas at once, whereas an aggregator with little traffic seldom has any about a single
    /// replica.
    fn calibration(&self, context: AdmissionContext) -> f64 {
        let half_life = context.calibration_half_life();
        self.calibration.ratio(context.now, half_life, 1.0, CALIBRATION_PRIOR).min(1.0)
    }

    /// Records the end of an admitted query: its predicted chance, and the share of its value achieved in time.
    pub fn record_query(&mut self, context: AdmissionContext, chance: f64, value: f64) {
        self.calibration.add(context.now, context.calibration_half_life(), chance, value);
    }

    /// Predicts the outcome of a query with these parts if it has `time` left. Sorts the parts by expected latency.
    pub fn forecast(
        &self,
        context: AdmissionContext,
        class: &Class,
        parts: &mut [PartForecast],
        time: Millis,
    ) -> Forecast {
        parts.sort_by(|a, b| a.expected_latency.total_cmp(&b.expected_latency));
        let complete = class.complete_coverage;
        let mut covered = 0.0;
        let mut weighted_latency = 0.0;
        let mut expected_share = 0.0;
        let mut chance_of_all = 1.0;
        let mut count = 0.0f64;
        for part in parts {
            if covered >= complete - WEIGHT_ROUNDING {
                break;
            }
            covered += part.weight;
            weighted_latency += part.weight * part.expected_latency;
            count += 1.0;
            let chance = if part.expected_latency.is_finite() {
                self.part_chance(context, part.shard, time / part.expected_latency)
            } else {
                0.0
            };
            expected_share += part.weight * chance / complete;
            chance_of_all *= chance;
        }
        let complete_chance = chance_of_all.powf(count.max(1.0).powf(-CORRELATION));
        let allows_partial = class.minimum_coverage < complete;
        let partial_chance = if allows_partial && expected_share * complete >= class.minimum_coverage {
            class.partial_value_factor * expected_share
        } else {
            0.0
        };
        Forecast { mean_latency: weighted_latency / complete, chance: complete_chance.max(partial_chance) }
    }

    /// The chance that a part is answered within `ratio` times its expected latency.
    fn part_chance(&self, context: AdmissionContext, shard: u32, ratio: f64) -> f64 {
        (self.share_within(ratio) * self.shard_ratio(context, shard)).min(1.0)
    }

    /// Whether almost no part is answered within `ratio` times its expected latency, so that a part with so little
    /// time left is not worth sending.
    pub fn is_too_late(&self, ratio: f64) -> bool {
        self.share_within(ratio) < MIN_CHANCE_WITHOUT_QUEUE
    }

    /// Whether so few parts of a shard are answered in time that a partial answer should be made without them.
    pub fn is_shard_failing(&self, context: AdmissionContext, shard: u32) -> bool {
        self.shard_ratio(context, shard) < MIN_CHANCE
    }

    /// The share of recent parts answered within `ratio` times their expected latency; 1 without enough samples.
    fn share_within(&self, ratio: f64) -> f64 {
        if self.latency_ratios.len() < MIN_SAMPLES {
            return 1.0;
        }
        self.latency_ratios.share_below(ratio)
    }

    /// A shard's share of parts answered in time, divided by that of all shards. The ratio keeps one failing shard
    /// from lowering the chance of queries for other shards.
    fn shard_ratio(&self, context: AdmissionContext, shard: u32) -> f64 {
        let AdmissionContext { now, longest_objective } = context;
        let overall_ratio = self.in_time.ratio(now, longest_objective, 1.0, SHARD_PRIOR);
        let Some(shard_results) = self.in_time_by_shard.get(&shard) else { return 1.0 };
        shard_results.ratio(now, longest_objective, overall_ratio, SHARD_PRIOR) / overall_ratio
    }

    /// Records that a part of a shard was answered, or that its query ended without its answer.
    pub fn record_part(&mut self, context: AdmissionContext, shard: u32, is_in_time: bool) {
        let AdmissionContext { now, longest_objective } = context;
        let success = f64::from(u8::from(is_in_time));
        let shard_results = self.in_time_by_shard.entry(shard).or_default();
        shard_results.add(now, longest_objective, 1.0, success);
        self.in_time.add(now, longest_objective, 1.0, success);
    }

    /// Records the latency of an answered part, measured from its first attempt.
    pub fn record_latency(&mut self, latency: Millis, expected: Millis) {
        self.latency_ratios.push(latency / expected);
    }

    /// Records a part whose query ended before it was answered. `waited` is the time since its first attempt.
    pub fn record_unanswered(&mut self, waited: Millis, expected: Millis) {
        self.latency_ratios.push(UNANSWERED_LATENCY_FACTOR * waited / expected);
    }

    /// The probability that a sweep drops the oldest latency ratio. Samples have to expire by time, because an
    /// aggregator that sheds all queries gets no new samples.
    pub fn drop_chance(elapsed: Millis, longest_objective: Millis) -> f64 {
        elapsed * RATIO_SAMPLE_CAPACITY as f64 / (RATIO_LIFETIME_OBJECTIVES * longest_objective)
    }

    pub fn drop_oldest_ratio(&mut self) {
        self.latency_ratios.drop_oldest();
    }
}
