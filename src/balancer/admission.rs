//! Admission control: whether a query is likely enough to be answered in time to be worth its work.
//!
//! The chance of a query comes from how long recent parts took against what was expected of them, from how parts of its
//! shards did against those of others, and from how far the chances of admitted queries have come true.

use super::latency::{ENOUGH_SAMPLES, SAMPLES};
use super::query_progress::WEIGHT_ROUNDING;
use super::statistics::{DecayingRatio, RecentSamples};
use super::{Class, Millis, RejectReason};
use std::collections::BTreeMap;

/// A query whose parts find queues is admitted from this chance on.
const MIN_CHANCE: f64 = 0.4;
/// A query whose mean part takes less than this share of the time available finds no queues: shedding load would not
/// help it.
const QUEUED_SHARE: f64 = 0.25;
/// Below this chance a query is rejected in any case.
const HOPELESS_CHANCE: f64 = 0.02;
/// Below this calibration forecasts are not relied on, and every query needs the greater chance below.
const MIN_CALIBRATION: f64 = 0.7;
const UNCALIBRATED_MIN_CHANCE: f64 = 0.6;
/// Prior of the calibration: this many admitted queries that were answered in time.
const CALIBRATION_PRIOR: f64 = 3.0;
/// The calibration halves within this many of the longest latency objectives.
const CALIBRATION_OBJECTIVES: f64 = 2.0;
/// Prior of a shard's rate: this many parts at the rate of all shards.
const SHARD_PRIOR: f64 = 4.0;
/// All samples of latency ratios are dropped within this many of the longest latency objectives.
const RATIO_LIFETIME_OBJECTIVES: f64 = 4.0;
/// Samples of latency ratios.
const RATIO_SAMPLES: usize = 2 * SAMPLES;
/// Parts of a query succeed or fail together to a degree: n of them count as `n.powf(1.0 - CORRELATION)` independent
/// ones.
const CORRELATION: f64 = 0.25;
/// A part that is given up is taken to need this many times what it has taken so far.
const GIVEN_UP_RATIO: f64 = 2.0;
/// Parts that take no more than this share of the latency objective find hardly a queue.
const SPARE_CAPACITY_SHARE: f64 = 0.125;
/// The share of the limit on what is in flight that is open to queries of priority 0.
const OPEN_TO_ALL_SHARE: f64 = 0.8;

/// What is expected of one part of a query.
#[derive(Clone, Copy)]
pub(super) struct PartForecast {
    pub shard: u32,
    pub weight: f64,
    /// Infinite without a holder of the shard.
    pub expected_latency: Millis,
}

/// What is expected of a query.
#[derive(Clone, Copy)]
pub(super) struct Forecast {
    /// The mean latency of the quickest parts that make a complete answer.
    pub mean_latency: Millis,
    /// The share of its value that the query is likely to bring in time.
    pub chance: f64,
}

/// A query that may be admitted.
pub(super) struct AdmissionCandidate {
    pub forecast: Forecast,
    /// From 0 to 1.
    pub priority: f64,
    /// The time in which its answer is of value: to its latency objective, or until its client leaves if that is sooner.
    pub available: Millis,
}

/// The moment of a decision or an observation, and the longest latency objective, by which observations decay.
#[derive(Clone, Copy)]
pub(super) struct AdmissionContext {
    pub now: Millis,
    pub longest_objective: Millis,
}

impl AdmissionContext {
    /// How long the calibration takes to halve.
    fn calibration_half_life(self) -> Millis {
        CALIBRATION_OBJECTIVES * self.longest_objective
    }
}

/// Queries and parts in flight, and the limit on them.
#[derive(Clone, Copy)]
pub(super) struct Occupancy {
    pub in_flight: usize,
    pub max_in_flight: u32,
}

impl Occupancy {
    /// Whether the limit is reached for queries of this priority (0 to 1).
    fn is_full_for(self, priority: f64) -> bool {
        let open_share = OPEN_TO_ALL_SHARE + (1.0 - OPEN_TO_ALL_SHARE) * priority;
        self.in_flight as f64 > f64::from(self.max_in_flight) * open_share
    }
}

/// Whether `part_count` parts of a query would find hardly a queue: together they are expected to take
/// `total_latency`, against the latency objective of the query.
pub(super) fn has_spare_capacity(total_latency: Millis, objective: Millis, part_count: usize) -> bool {
    total_latency <= SPARE_CAPACITY_SHARE * objective * part_count as f64
}

/// The admission control: how recent parts and queries ended, and whether queries are being shed.
pub(super) struct Admission {
    /// Latencies of recent parts, all attempts included, over what was expected.
    latency_ratios: RecentSamples,
    /// Parts answered within the latency objective.
    in_time_by_shard: BTreeMap<u32, DecayingRatio>,
    in_time: DecayingRatio,
    /// The chances of admitted queries, and what of them came true.
    calibration: DecayingRatio,
    is_shedding: bool,
    last_shed_at: Millis,
}

impl Admission {
    pub fn new() -> Self {
        Admission {
            latency_ratios: RecentSamples::new(RATIO_SAMPLES),
            in_time_by_shard: BTreeMap::new(),
            in_time: DecayingRatio::default(),
            calibration: DecayingRatio::default(),
            is_shedding: false,
            last_shed_at: f64::NEG_INFINITY,
        }
    }

    /// Whether queries have been shed lately.
    pub fn is_shedding(&self) -> bool {
        self.is_shedding
    }

    /// Records that a query is shed; true if load shedding starts with it.
    pub fn record_shed(&mut self, now: Millis) -> bool {
        self.last_shed_at = now;
        !std::mem::replace(&mut self.is_shedding, true)
    }

    /// Ends the load shedding after a time without any; true if it has ended now.
    pub fn end_shedding(&mut self, now: Millis, quiet_time: Millis) -> bool {
        let ends = self.is_shedding && now - self.last_shed_at > quiet_time;
        self.is_shedding &= !ends;
        ends
    }

    /// Why a query is to be shed; none if it is admitted.
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
            HOPELESS_CHANCE
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

    /// How far the chances of admitted queries have come true lately, at most 1. A query is evidence about all replicas
    /// at once; an aggregator with little traffic seldom has any about a single one.
    fn calibration(&self, context: AdmissionContext) -> f64 {
        let half_life = context.calibration_half_life();
        self.calibration.ratio(context.now, half_life, 1.0, CALIBRATION_PRIOR).min(1.0)
    }

    /// Records the end of an admitted query: its chance, and the share of its value that came in time.
    pub fn record_query(&mut self, context: AdmissionContext, chance: f64, value: f64) {
        self.calibration.add(context.now, context.calibration_half_life(), chance, value);
    }

    /// What is expected of a query of these parts within `time`. Sorts the parts by expected latency.
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

    /// The chance of a part to be answered within `ratio` times its expected latency.
    fn part_chance(&self, context: AdmissionContext, shard: u32, ratio: f64) -> f64 {
        (self.share_within(ratio) * self.shard_ratio(context, shard)).min(1.0)
    }

    /// Whether hardly any part is answered within `ratio` times its expected latency.
    pub fn is_hopeless(&self, ratio: f64) -> bool {
        self.share_within(ratio) < HOPELESS_CHANCE
    }

    /// Whether so few parts of a shard are answered in time that a partial answer is better made without them.
    pub fn is_shard_failing(&self, context: AdmissionContext, shard: u32) -> bool {
        self.shard_ratio(context, shard) < MIN_CHANCE
    }

    /// The share of recent parts within `ratio` times their expected latency; 1 while too few are known.
    fn share_within(&self, ratio: f64) -> f64 {
        if self.latency_ratios.len() < ENOUGH_SAMPLES {
            return 1.0;
        }
        self.latency_ratios.share_below(ratio)
    }

    /// The rate at which parts of a shard are in time, over that of all shards, so that a failing shard does not lower
    /// the chance of queries for others.
    fn shard_ratio(&self, context: AdmissionContext, shard: u32) -> f64 {
        let AdmissionContext { now, longest_objective } = context;
        let of_all = self.in_time.ratio(now, longest_objective, 1.0, SHARD_PRIOR);
        let Some(of_shard) = self.in_time_by_shard.get(&shard) else { return 1.0 };
        of_shard.ratio(now, longest_objective, of_all, SHARD_PRIOR) / of_all
    }

    /// Records that a part of a shard was answered or given up.
    pub fn record_part(&mut self, context: AdmissionContext, shard: u32, is_in_time: bool) {
        let AdmissionContext { now, longest_objective } = context;
        let success = f64::from(u8::from(is_in_time));
        let of_shard = self.in_time_by_shard.entry(shard).or_default();
        of_shard.add(now, longest_objective, 1.0, success);
        self.in_time.add(now, longest_objective, 1.0, success);
    }

    /// Records the latency of an answered part, since its first attempt.
    pub fn record_latency(&mut self, latency: Millis, expected: Millis) {
        self.latency_ratios.push(latency / expected);
    }

    /// Records the time since the first attempt of a part that is given up.
    pub fn record_given_up(&mut self, waited: Millis, expected: Millis) {
        self.latency_ratios.push(GIVEN_UP_RATIO * waited / expected);
    }

    /// The chance that a sweep drops the oldest latency ratio: an aggregator that sheds everything gets no new samples,
    /// so old ones have to expire.
    pub fn drop_chance(elapsed: Millis, longest_objective: Millis) -> f64 {
        elapsed * RATIO_SAMPLES as f64 / (RATIO_LIFETIME_OBJECTIVES * longest_objective)
    }

    pub fn drop_oldest_ratio(&mut self) {
        self.latency_ratios.drop_oldest();
    }
}
