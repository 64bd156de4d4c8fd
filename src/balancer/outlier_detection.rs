//! Outlier detection: which replicas fail, are slow, or are silent, by the evidence of recent attempts.
//!
//! Evidence decays with time, so that an ejected replica gets a trial part again without a timer of its own. Ejection
//! is soft: an outlier is drawn only if too few other holders are left, and its cost is high.

use super::replica::Replica;
use super::{Millis, Outcome};

/// Weight of one more answer in a moving average: about the last seven count.
pub(super) const MOVING_AVERAGE_WEIGHT: f64 = 0.25;
/// Evidence of one replica is capped here, so that its decay takes a bounded time.
pub(super) const MAX_EVIDENCE: f64 = 12.0;
/// A replica this many times slower than the median is an outlier.
const OUTLIER_SLOWDOWN: f64 = 4.0;
/// Recent failures beyond which a replica is an outlier.
pub(super) const OUTLIER_FAILURES: f64 = 2.0;
/// The weight of a failed attempt; a rejected one has weight 1.
const FAILURE_WEIGHT: f64 = 3.0;
/// Fewer recent failures than this count as none: otherwise a decayed remainder would decide every tie.
const MIN_FAILURES: f64 = 0.25;
/// The half-life of evidence: this many of the longest latency objectives, or this many mean gaps between two answers
/// of a replica if that is longer.
const HALF_LIFE_OBJECTIVES: f64 = 1.5;
const HALF_LIFE_GAPS: f64 = 2.0;
/// The longest half-life, as a multiple of the shortest.
const MAX_HALF_LIFE_RATIO: f64 = 4.0;
/// The share of failing attempts is a moving average over about this many attempts.
const FAILING_SHARE_MEMORY: f64 = 64.0;

/// How long evidence takes to halve.
pub(super) fn half_life(peer_rate: f64, longest_objective: Millis) -> Millis {
    let gap = HALF_LIFE_GAPS / peer_rate.max(f64::MIN_POSITIVE);
    let shortest = HALF_LIFE_OBJECTIVES * longest_objective;
    gap.clamp(shortest, MAX_HALF_LIFE_RATIO * HALF_LIFE_OBJECTIVES * longest_objective)
}

/// The criteria by which the evidence against replicas is judged at one moment.
#[derive(Clone, Copy)]
pub(super) struct OutlierCriteria {
    pub now: Millis,
    /// When this aggregator last resumed after a stall; silence before that is no evidence.
    pub resumed_at: Millis,
    pub median_latency: Millis,
    pub half_life: Millis,
}

impl OutlierCriteria {
    /// The evidence as it stands now.
    pub fn decayed(&self, evidence: &Evidence) -> DecayedEvidence {
        let remaining = (-(self.now - evidence.updated_at).max(0.0) / self.half_life).exp2();
        let failures = evidence.failures * remaining;
        DecayedEvidence {
            failures: if failures < MIN_FAILURES { 0.0 } else { failures },
            slowdown: 1.0 + (evidence.slowdown - 1.0) * remaining,
        }
    }

    /// How many times slower than the median a replica is, by its answers or by its silence with parts in flight.
    pub fn slowness(&self, replica: &Replica) -> f64 {
        let silent_for = replica.calls.oldest_sent_at().map_or(0.0, |sent_at| {
            self.now - sent_at.max(replica.evidence.last_answer_at).max(self.resumed_at)
        });
        let by_silence = (silent_for / self.median_latency).min(MAX_EVIDENCE);
        self.decayed(&replica.evidence).slowdown.max(by_silence)
    }

    /// Whether a replica is silent, slow or failing, or was so and has its one trial part in flight.
    pub fn is_outlier(&self, replica: &Replica) -> bool {
        self.slowness(replica) > OUTLIER_SLOWDOWN
            || self.decayed(&replica.evidence).failures > OUTLIER_FAILURES
            || replica.evidence.on_probation && !replica.calls.is_empty()
    }
}

/// Evidence with its decay up to now.
pub(super) struct DecayedEvidence {
    /// Recent failures; each adds to the replica's load as one part in flight would.
    pub failures: f64,
    /// How many times slower than the median its answers were.
    pub slowdown: f64,
}

/// How long attempts at one replica have waited in vain since its last response. A single one is given up when its query
/// ends, often too soon to tell a replica that hangs from a slow one.
#[derive(Default)]
struct Silence {
    /// When the first of them was sent.
    since: Option<Millis>,
    /// The sum of their waits.
    waited: Millis,
}

impl Silence {
    /// Adds an attempt that is given up now.
    fn add(&mut self, now: Millis, waited: Millis) {
        self.since.get_or_insert(now - waited);
        self.waited += waited;
    }

    /// The time waited; attempts that waited at the same time count once.
    fn duration(&self, now: Millis) -> Millis {
        self.since.map_or(0.0, |since| self.waited.min(now - since))
    }
}

/// The evidence of one replica's recent attempts.
pub(super) struct Evidence {
    failures: f64,
    /// Failures in a row; an answer halves it.
    streak: f64,
    last_answer_at: Millis,
    silence: Silence,
    slowdown: f64,
    updated_at: Millis,
    /// It was an outlier, and has given no good answer since.
    on_probation: bool,
    is_ejected: bool,
}

impl Default for Evidence {
    fn default() -> Self {
        Evidence {
            failures: 0.0,
            streak: 0.0,
            last_answer_at: f64::NEG_INFINITY,
            silence: Silence::default(),
            slowdown: 1.0,
            updated_at: 0.0,
            on_probation: false,
            is_ejected: false,
        }
    }
}

impl Evidence {
    /// Forgets what is known of the process before a restart.
    pub fn reset(&mut self) {
        self.failures = 0.0;
        self.streak = 0.0;
        self.silence = Silence::default();
        self.slowdown = 1.0;
        self.on_probation = false;
    }

    /// Sets whether the replica is ejected; returns whether that has changed.
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

    /// An answer came after `ratio` times the median. `is_reliable`: this aggregator has not stalled meanwhile.
    pub fn record_answer(&mut self, now: Millis, ratio: f64, is_reliable: bool) {
        self.last_answer_at = now;
        self.silence = Silence::default();
        self.streak = (self.streak / 2.0).floor();
        self.on_probation &= ratio > OUTLIER_SLOWDOWN;
        if is_reliable {
            self.slowdown += MOVING_AVERAGE_WEIGHT * (ratio - self.slowdown);
        }
    }

    /// An attempt was given up after it had waited for this long without an answer.
    pub fn record_silence(&mut self, criteria: &OutlierCriteria, waited: Millis) {
        self.silence.add(criteria.now, waited);
        let silent_for = self.silence.duration(criteria.now).min(criteria.now - self.last_answer_at);
        self.slowdown = self.slowdown.max((silent_for / criteria.median_latency).min(MAX_EVIDENCE));
    }

    /// A health check failed: never enough for an ejection, not even with earlier failures.
    pub fn record_minor_failure(&mut self) {
        self.failures = (self.failures + 1.0).min(OUTLIER_FAILURES);
    }

    /// An error came at once. Such errors alone never eject a replica, and do not lower the count of earlier failures.
    pub fn record_immediate_error(&mut self) {
        self.failures = self.failures.max((self.failures + 1.0).min(OUTLIER_FAILURES));
    }

    /// An attempt failed; the more in a row, the longer it counts.
    pub fn record_failure(&mut self, outcome: Outcome) {
        if matches!(outcome, Outcome::Error | Outcome::Rejected) {
            self.silence = Silence::default();
        }
        self.streak = (self.streak + 1.0).min(MAX_EVIDENCE);
        let weight = if outcome == Outcome::Rejected { 1.0 } else { FAILURE_WEIGHT };
        self.failures = (self.failures + weight * self.streak).min(MAX_EVIDENCE);
    }

    /// Whether attempts have failed lately; each answer halves their number.
    pub fn has_failed_before(&self) -> bool {
        self.streak >= 1.0
    }
}

/// The share of recent attempts, over all replicas, that failed or were far too slow.
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
