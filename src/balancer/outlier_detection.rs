//! Outlier detection: identifies replicas that fail, are slow, or do not respond, from the results of recent attempts.
//!
//! The statistics decay with time, so that an ejected replica gets a trial part again without a timer of its own.
//! Ejection is soft: an outlier is drawn only if too few other holders are left, and its cost is high.

use super::replica::Replica;
use super::{Millis, Outcome};

/// Weight of a new answer in a moving average: effectively the last seven answers count.
pub(super) const MOVING_AVERAGE_WEIGHT: f64 = 0.25;
/// Upper bound of a replica's failure count and slowdown, which also bounds how long they take to decay.
pub(super) const MAX_OUTLIER_SCORE: f64 = 12.0;
/// A replica that is more than this many times slower than the median is an outlier.
const OUTLIER_SLOWDOWN: f64 = 4.0;
/// A replica with more than this many recent failures is an outlier.
pub(super) const OUTLIER_FAILURES: f64 = 2.0;
/// The weight of a failed attempt in the failure count; a rejected attempt has weight 1.
const FAILURE_WEIGHT: f64 = 3.0;
/// A decayed failure count below this is treated as 0, since a small remainder would otherwise decide every tie.
const MIN_FAILURES: f64 = 0.25;
/// The half-life of the statistics is this many of the longest latency objectives, or [`HALF_LIFE_GAPS`] mean
/// intervals between two answers of a replica if that is longer.
const HALF_LIFE_OBJECTIVES: f64 = 1.5;
const HALF_LIFE_GAPS: f64 = 2.0;
/// Upper bound of the half-life, as a multiple of its lower bound.
const MAX_HALF_LIFE_RATIO: f64 = 4.0;
/// The failing share is a moving average over about this many attempts.
const FAILING_SHARE_MEMORY: f64 = 64.0;

/// The half-life of the statistics. `peer_rate` is the number of answers per millisecond from one warm replica.
pub(super) fn half_life(peer_rate: f64, longest_objective: Millis) -> Millis {
    let answer_gap = HALF_LIFE_GAPS / peer_rate.max(f64::MIN_POSITIVE);
    let shortest = HALF_LIFE_OBJECTIVES * longest_objective;
    answer_gap.clamp(shortest, MAX_HALF_LIFE_RATIO * HALF_LIFE_OBJECTIVES * longest_objective)
}

/// The parameters with which replicas are assessed at one point in time.
#[derive(Clone, Copy)]
pub(super) struct OutlierCriteria {
    pub now: Millis,
    /// When this aggregator last resumed after a stall; a missing response before that time does not count against a
    /// replica.
    pub resumed_at: Millis,
    pub median_latency: Millis,
    pub half_life: Millis,
}

impl OutlierCriteria {
    /// The statistics after their decay up to now.
    pub fn decayed(&self, stats: &OutlierStats) -> DecayedStats {
        let remaining = (-(self.now - stats.updated_at).max(0.0) / self.half_life).exp2();
        let failures = stats.failures * remaining;
        DecayedStats {
            failures: if failures < MIN_FAILURES { 0.0 } else { failures },
            slowdown: 1.0 + (stats.slowdown - 1.0) * remaining,
        }
    }

    /// How many times slower than the median a replica is, judged by its answers or by the time since its last
    /// response while calls are in flight.
    pub fn slowness(&self, replica: &Replica) -> f64 {
        let unanswered_for = replica.calls.oldest_sent_at().map_or(0.0, |sent_at| {
            self.now - sent_at.max(replica.outlier_stats.last_answer_at).max(self.resumed_at)
        });
        let by_unanswered_time = (unanswered_for / self.median_latency).min(MAX_OUTLIER_SCORE);
        self.decayed(&replica.outlier_stats).slowdown.max(by_unanswered_time)
    }

    /// Whether a replica is unresponsive, slow or failing, or is on probation and has its trial part in flight.
    pub fn is_outlier(&self, replica: &Replica) -> bool {
        self.slowness(replica) > OUTLIER_SLOWDOWN
            || self.decayed(&replica.outlier_stats).failures > OUTLIER_FAILURES
            || replica.outlier_stats.on_probation && !replica.calls.is_empty()
    }
}

/// Statistics after their decay up to now.
pub(super) struct DecayedStats {
    /// Decayed count of recent failures; each adds as much to the replica's load as one part in flight.
    pub failures: f64,
    /// How many times slower than the median the replica's recent answers were.
    pub slowdown: f64,
}

/// The time that attempts at one replica have waited without an answer since its last response. A single attempt ends
/// with its query, which is often too soon to distinguish an unresponsive replica from a slow one; so the waits are
/// accumulated.
#[derive(Default)]
struct UnansweredWait {
    /// When the first of these attempts was sent.
    since: Option<Millis>,
    /// The sum of the waits of these attempts.
    waited: Millis,
}

impl UnansweredWait {
    /// Adds an attempt that ends now without an answer.
    fn add(&mut self, now: Millis, waited: Millis) {
        self.since.get_or_insert(now - waited);
        self.waited += waited;
    }

    /// The accumulated wait, at most the time since the first of the attempts was sent: concurrent waits count once.
    fn duration(&self, now: Millis) -> Millis {
        self.since.map_or(0.0, |since| self.waited.min(now - since))
    }
}

/// Statistics of one replica's recent attempts.
pub(super) struct OutlierStats {
    failures: f64,
    /// Consecutive failures; an answer halves the count instead of clearing it.
    consecutive_failures: f64,
    last_answer_at: Millis,
    unanswered_wait: UnansweredWait,
    slowdown: f64,
    updated_at: Millis,
    /// The replica was an outlier and has not answered in time since.
    on_probation: bool,
    is_ejected: bool,
}

impl Default for OutlierStats {
    fn default() -> Self {
        OutlierStats {
            failures: 0.0,
            consecutive_failures: 0.0,
            last_answer_at: f64::NEG_INFINITY,
            unanswered_wait: UnansweredWait::default(),
            slowdown: 1.0,
            updated_at: 0.0,
            on_probation: false,
            is_ejected: false,
        }
    }
}

impl OutlierStats {
    /// Clears the statistics after a restart of the replica. The time of its last answer is kept.
    pub fn reset(&mut self) {
        self.failures = 0.0;
        self.consecutive_failures = 0.0;
        self.unanswered_wait = UnansweredWait::default();
        self.slowdown = 1.0;
        self.on_probation = false;
    }

    /// Sets whether the replica is ejected. Returns whether this is a change.
    pub fn set_ejected(&mut self, is_outlier: bool) -> bool {
        let changed = self.is_ejected != is_outlier;
        self.is_ejected = is_outlier;
        self.on_probation |= is_outlier;
        changed
    }

    /// Applies the decay up to now.
    pub fn refresh(&mut self, criteria: &OutlierCriteria) {
        let decayed = criteria.decayed(self);
        self.failures = decayed.failures;
        self.slowdown = decayed.slowdown;
        self.updated_at = criteria.now;
    }

    /// Records an answer that took `ratio` times the median latency. `is_reliable` is false if this aggregator has
    /// stalled since the attempt was sent.
    pub fn record_answer(&mut self, now: Millis, ratio: f64, is_reliable: bool) {
        self.last_answer_at = now;
        self.unanswered_wait = UnansweredWait::default();
        self.consecutive_failures = (self.consecutive_failures / 2.0).floor();
        self.on_probation &= ratio > OUTLIER_SLOWDOWN;
        if is_reliable {
            self.slowdown += MOVING_AVERAGE_WEIGHT * (ratio - self.slowdown);
        }
    }

    /// Records an attempt that ended after a wait of `waited` without an answer.
    pub fn record_no_response(&mut self, criteria: &OutlierCriteria, waited: Millis) {
        self.unanswered_wait.add(criteria.now, waited);
        let unanswered_for =
            self.unanswered_wait.duration(criteria.now).min(criteria.now - self.last_answer_at);
        self.slowdown = self.slowdown.max((unanswered_for / criteria.median_latency).min(MAX_OUTLIER_SCORE));
    }

    /// Records a failed health check. It never leads to an ejection, not even together with earlier failures.
    pub fn record_minor_failure(&mut self) {
        self.failures = (self.failures + 1.0).min(OUTLIER_FAILURES);
    }

    /// Records an error that was returned immediately. Such errors alone never eject a replica, and they do not lower
    /// the count of earlier failures.
    pub fn record_immediate_error(&mut self) {
        self.failures = self.failures.max((self.failures + 1.0).min(OUTLIER_FAILURES));
    }

    /// Records a failed attempt. Its weight grows with the number of consecutive failures.
    pub fn record_failure(&mut self, outcome: Outcome) {
        if matches!(outcome, Outcome::Error | Outcome::Rejected) {
            self.unanswered_wait = UnansweredWait::default();
        }
        self.consecutive_failures = (self.consecutive_failures + 1.0).min(MAX_OUTLIER_SCORE);
        let weight = if outcome == Outcome::Rejected { 1.0 } else { FAILURE_WEIGHT };
        self.failures = (self.failures + weight * self.consecutive_failures).min(MAX_OUTLIER_SCORE);
    }

    /// Whether attempts have failed recently; each answer halves the count of consecutive failures.
    pub fn has_failed_before(&self) -> bool {
        self.consecutive_failures >= 1.0
    }
}

/// The share of recent attempts, over all replicas, that failed or were as slow as an outlier.
#[derive(Default)]
pub(super) struct FailingShare(f64);

impl FailingShare {
    pub fn record(&mut self, outcome: Outcome, ratio: f64) {
        if outcome == Outcome::NotSent {
            return;
        }
        let failing = outcome != Outcome::Ok || ratio > OUTLIER_SLOWDOWN;
        self.0 += (f64::from(u8::from(failing)) - self.0) / FAILING_SHARE_MEMORY;
    }

    pub fn value(&self) -> f64 {
        self.0
    }
}
