//! Estimators over recent observations. They read no clock: the caller passes the time.

use super::Millis;
use std::collections::VecDeque;

/// The number if it is finite, otherwise the fallback.
pub(super) fn finite_or(number: f64, fallback: f64) -> f64 {
    if number.is_finite() { number } else { fallback }
}

/// The latest samples of a quantity, up to a fixed capacity.
#[derive(Clone)]
pub(super) struct RecentSamples {
    samples: VecDeque<f64>,
    capacity: usize,
}

impl RecentSamples {
    pub fn new(capacity: usize) -> Self {
        RecentSamples { samples: VecDeque::new(), capacity }
    }

    pub fn push(&mut self, sample: f64) {
        if self.samples.len() >= self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    pub fn drop_oldest(&mut self) {
        self.samples.pop_front();
    }

    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// The number of samples within a distance of a value.
    pub fn count_near(&self, value: f64, distance: f64) -> usize {
        self.samples.iter().filter(|sample| (*sample - value).abs() <= distance).count()
    }

    /// The share of samples below a value; 1 without samples.
    pub fn share_below(&self, value: f64) -> f64 {
        if self.samples.is_empty() {
            return 1.0;
        }
        let below = self.samples.iter().filter(|sample| **sample < value).count();
        below as f64 / self.samples.len() as f64
    }

    /// The quantile of the samples at `share`, from 0 to 1. There must be at least one sample.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * share) as usize;
        sorted[index.min(sorted.len() - 1)]
    }
}

/// Counts of trials and successes that decay exponentially with time.
#[derive(Default)]
pub(super) struct DecayingRatio {
    trials: f64,
    successes: f64,
    updated_at: Millis,
}

impl DecayingRatio {
    pub fn add(&mut self, now: Millis, half_life: Millis, trials: f64, successes: f64) {
        let remaining = self.remaining_share(now, half_life);
        self.trials = remaining * self.trials + trials;
        self.successes = remaining * self.successes + successes;
        self.updated_at = now;
    }

    /// The share of successes, with a prior of `prior_trials` trials that succeeded at the rate `prior_ratio`.
    pub fn ratio(&self, now: Millis, half_life: Millis, prior_ratio: f64, prior_trials: f64) -> f64 {
        let remaining = self.remaining_share(now, half_life);
        (remaining * self.successes + prior_trials * prior_ratio) / (remaining * self.trials + prior_trials)
    }

    fn remaining_share(&self, now: Millis, half_life: Millis) -> f64 {
        (-(now - self.updated_at).max(0.0) / half_life).exp2()
    }
}

/// The mean over a set of members with one value each.
#[derive(Default)]
pub(super) struct RunningMean {
    sum: f64,
    count: f64,
}

impl RunningMean {
    /// Adds a member's value, or replaces its old value.
    pub fn replace(&mut self, old: Option<f64>, new: f64) {
        self.sum += new - old.unwrap_or(0.0);
        if old.is_none() {
            self.count += 1.0;
        }
    }

    /// The mean over all members except one whose value is `own`; 0 without other members.
    pub fn excluding(&self, own: Option<f64>) -> f64 {
        let count = if own.is_some() { self.count - 1.0 } else { self.count };
        if count <= 0.0 {
            return 0.0;
        }
        (self.sum - own.unwrap_or(0.0)).max(0.0) / count
    }
}

/// A linear regression in which older observations lose weight as new ones are added.
#[derive(Default)]
pub(super) struct DecayingRegression {
    count: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl DecayingRegression {
    /// Adds an observation. Effectively the last `memory` observations count.
    pub fn add(&mut self, x: f64, y: f64, memory: f64) {
        let remaining = 1.0 - 1.0 / memory;
        self.count = remaining * self.count + 1.0;
        self.sum_x = remaining * self.sum_x + x;
        self.sum_y = remaining * self.sum_y + y;
        self.sum_xx = remaining * self.sum_xx + x * x;
        self.sum_xy = remaining * self.sum_xy + x * y;
    }

    /// The slope of `y` over `x`, shrunk towards 1 by a prior with this much variation of `x`.
    pub fn slope(&self, prior_variation: f64) -> f64 {
        let count = self.count.max(1.0);
        let variation = self.sum_xx - self.sum_x * self.sum_x / count;
        let covariation = self.sum_xy - self.sum_x * self.sum_y / count;
        (covariation + prior_variation) / (variation.max(0.0) + prior_variation)
    }
}

/// Counts of events, which can be summed over sliding windows.
#[derive(Default)]
pub(super) struct SlidingCount {
    /// Oldest first.
    entries: VecDeque<CountAt>,
    /// Number of all events so far.
    total: f64,
}

struct CountAt {
    at: Millis,
    /// Number of events before these.
    earlier: f64,
}

/// Number of entries from which events that follow each other closely share one. Bounds the memory under a flood.
const DENSE_ENTRIES: usize = 8192;
/// The time for which events share an entry then. They count as of the first, so a window may count a few too little.
const DENSE_INTERVAL: Millis = 1.0;

impl SlidingCount {
    pub fn add(&mut self, at: Millis, count: usize) {
        let is_shared = self.entries.back().is_some_and(|last| {
            last.at == at || self.entries.len() >= DENSE_ENTRIES && at - last.at < DENSE_INTERVAL
        });
        if !is_shared {
            self.entries.push_back(CountAt { at, earlier: self.total });
        }
        self.total += count as f64;
    }

    /// The number of events at or after a time.
    pub fn since(&self, start: Millis) -> f64 {
        let first = self.entries.partition_point(|entry| entry.at < start);
        self.entries.get(first).map_or(0.0, |entry| self.total - entry.earlier)
    }

    pub fn remove_before(&mut self, start: Millis) {
        while self.entries.front().is_some_and(|entry| entry.at < start) {
            self.entries.pop_front();
        }
    }
}
