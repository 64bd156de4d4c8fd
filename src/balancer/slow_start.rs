//! Slow start: a replica that has just started receives a growing share of the parts that a warm replica serves.

use super::{Millis, Settings};

/// A replica that is warming up receives parts at the rate of a warm peer, times its capacity share, times this
/// factor. The factor keeps the load from all aggregators together near the replica's capacity, even where the peers
/// are at theirs.
const PEER_RATE_MULTIPLE: f64 = 3.0;
/// Upper bound of [`PEER_RATE_MULTIPLE`], as a multiple of the overload factor.
const OVERLOAD_FACTOR_MULTIPLE: f64 = 1.2;
/// Lower bound of the capacity share of a replica that is warming up.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// Averaging time of the recent rate of warm peers, as a multiple of the longest latency objective.
const RATE_MEMORY_OBJECTIVES: f64 = 3.0;

/// When a replica started, and when slow start last considered it.
pub(super) struct WarmUp {
    /// Start time in the endpoint list, or when an update of the list first showed the replica as up. None if it is
    /// unknown or long ago.
    pub listed_start: Option<Millis>,
    /// When connections to the replica last failed in a way that indicates a restart.
    pub connections_lost_at: Option<Millis>,
    /// When the replica was last considered for a part while it was warming up.
    pub last_considered_at: Millis,
}

impl Default for WarmUp {
    fn default() -> Self {
        WarmUp { listed_start: None, connections_lost_at: None, last_considered_at: f64::NEG_INFINITY }
    }
}

impl WarmUp {
    /// The latest start time of the process, from the endpoint list or from lost connections.
    pub fn started_at(&self) -> Option<Millis> {
        match (self.listed_start, self.connections_lost_at) {
            (Some(listed), Some(observed)) => Some(listed.max(observed)),
            (listed, observed) => listed.or(observed),
        }
    }
}

/// Slow start parameters and the traffic rate of warm replicas.
pub(super) struct SlowStart {
    initial_share: f64,
    window: Millis,
    overload_factor: f64,
    /// Answers per millisecond from a warm replica to this aggregator, as a short-term average.
    recent_rate: f64,
    /// The peak of [`recent_rate`](Self::recent_rate), decaying over the slow start window.
    peer_rate: f64,
    /// Answers from warm replicas since the last sweep.
    warm_answers: f64,
}

impl SlowStart {
    pub fn new(settings: &Settings) -> Self {
        SlowStart {
            initial_share: settings.slow_start_share,
            window: settings.slow_start_window,
            overload_factor: settings.overload_factor,
            recent_rate: 0.0,
            peer_rate: 0.0,
            warm_answers: 0.0,
        }
    }

    pub fn reconfigure(&mut self, settings: &Settings) {
        self.initial_share = settings.slow_start_share;
        self.window = settings.slow_start_window;
        self.overload_factor = settings.overload_factor;
    }

    /// Answers per millisecond that this aggregator receives from one warm replica.
    pub fn peer_rate(&self) -> f64 {
        self.peer_rate
    }

    /// The share of its full capacity that a replica has, given its start time; 1 once it is warm.
    pub fn capacity_share(&self, now: Millis, started_at: Option<Millis>) -> f64 {
        let Some(started_at) = started_at else { return 1.0 };
        let age = (now - started_at) / self.window.max(1.0);
        if age >= 1.0 {
            return 1.0;
        }
        (self.initial_share + (1.0 - self.initial_share) * age).clamp(MIN_CAPACITY_SHARE, 1.0)
    }

    /// Whether slow start is over for a replica.
    pub fn is_warm(&self, now: Millis, warm_up: &WarmUp) -> bool {
        self.capacity_share(now, warm_up.started_at()) >= 1.0
    }

    /// Counts an answer from a warm replica.
    pub fn record_warm_answer(&mut self) {
        self.warm_answers += 1.0;
    }

    /// Updates the rate of warm peers after a sweep interval. The peak is kept for about the slow start window: if all
    /// warm holders hang or reject, the recent rate drops and would also keep parts away from replicas that are
    /// warming up.
    pub fn update_peer_rate(&mut self, elapsed: Millis, warm_replicas: usize, longest_objective: Millis) {
        let warm = warm_replicas as f64;
        let keep = (-elapsed / (RATE_MEMORY_OBJECTIVES * longest_objective)).exp();
        if warm > 0.0 && elapsed > 0.0 {
            self.recent_rate = keep * self.recent_rate + (1.0 - keep) * self.warm_answers / warm / elapsed;
            let decayed = self.peer_rate * (-elapsed / self.window.max(1.0)).exp();
            self.peer_rate = self.recent_rate.max(decayed);
        }
        self.warm_answers = 0.0;
    }

    /// The probability with which a replica that is warming up may be drawn now: the number of parts that it may
    /// receive, at its share of a warm peer's rate, in the time since it was last considered. That time counts up to
    /// `longest_objective`.
    pub fn admission_chance(
        &self,
        now: Millis,
        warm_up: &WarmUp,
        relative_weight: f64,
        longest_objective: Millis,
    ) -> f64 {
        let started_at = warm_up.started_at();
        let capacity = self.capacity_share(now, started_at);
        let multiple = PEER_RATE_MULTIPLE.min(OVERLOAD_FACTOR_MULTIPLE * self.overload_factor);
        let rate = multiple * capacity * self.peer_rate * relative_weight.min(1.0);
        let since = started_at.map_or(warm_up.last_considered_at, |at| at.max(warm_up.last_considered_at));
        rate * (now - since).min(longest_objective)
    }
}
