//! Slow start: a replica that has just started gets a growing share of the parts that a warm one serves.

use super::{Millis, Settings};

/// A warming replica gets parts at its capacity share of this many times the rate of a warm peer, so that all
/// aggregators together stay near its capacity even where the peers are at theirs.
const PEER_RATE_MULTIPLE: f64 = 3.0;
/// Upper bound of that multiple, as a multiple of the overload factor.
const OVERLOAD_FACTOR_MULTIPLE: f64 = 1.2;
/// The smallest capacity share of a warming replica.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// The recent rate of warm peers is averaged over this many of the longest latency objectives.
const RATE_MEMORY_OBJECTIVES: f64 = 3.0;

/// What is known of a replica's start.
pub(super) struct WarmUp {
    /// As the endpoint list says.
    pub listed_start: Option<Millis>,
    /// When its connections were last lost in a way that a restart explains.
    pub observed_loss: Option<Millis>,
    /// When it was last considered for a part while it was warming up.
    pub last_considered_at: Millis,
}

impl Default for WarmUp {
    fn default() -> Self {
        WarmUp { listed_start: None, observed_loss: None, last_considered_at: f64::NEG_INFINITY }
    }
}

impl WarmUp {
    /// When its process started, by the list or by observation.
    pub fn started_at(&self) -> Option<Millis> {
        match (self.listed_start, self.observed_loss) {
            (Some(listed), Some(observed)) => Some(listed.max(observed)),
            (listed, observed) => listed.or(observed),
        }
    }
}

/// The slow start of all replicas.
pub(super) struct SlowStart {
    initial_share: f64,
    window: Millis,
    overload_factor: f64,
    /// Answers per millisecond from a warm replica to this aggregator, a short-term average.
    recent_rate: f64,
    /// The highest recent value of that, decaying over the slow start window.
    peer_rate: f64,
    /// Answers of warm replicas since the last sweep.
    answers_of_warm: f64,
}

impl SlowStart {
    pub fn new(settings: &Settings) -> Self {
        SlowStart {
            initial_share: settings.slow_start_share,
            window: settings.slow_start_window,
            overload_factor: settings.overload_factor,
            recent_rate: 0.0,
            peer_rate: 0.0,
            answers_of_warm: 0.0,
        }
    }

    pub fn reconfigure(&mut self, settings: &Settings) {
        self.initial_share = settings.slow_start_share;
        self.window = settings.slow_start_window;
        self.overload_factor = settings.overload_factor;
    }

    /// Answers per millisecond that this aggregator gets from a warm replica.
    pub fn peer_rate(&self) -> f64 {
        self.peer_rate
    }

    /// The share of its capacity that a replica has, by its start; 1 once it is warm.
    pub fn capacity_share(&self, now: Millis, started_at: Option<Millis>) -> f64 {
        let Some(started_at) = started_at else { return 1.0 };
        let age = (now - started_at) / self.window.max(1.0);
        if age >= 1.0 {
            return 1.0;
        }
        (self.initial_share + (1.0 - self.initial_share) * age).clamp(MIN_CAPACITY_SHARE, 1.0)
    }

    /// Whether a replica is warm.
    pub fn is_warm(&self, now: Millis, warm_up: &WarmUp) -> bool {
        self.capacity_share(now, warm_up.started_at()) >= 1.0
    }

    /// Counts an answer of a warm replica.
    pub fn record_answer_of_warm(&mut self) {
        self.answers_of_warm += 1.0;
    }

    /// Updates the rate of warm peers after a sweep interval. The peak is kept for about the slow start window: if all
    /// warm holders hang or reject, the recent rate would fall and keep the warming ones from getting parts as well.
    pub fn update_peer_rate(&mut self, elapsed: Millis, warm_replicas: usize, longest_objective: Millis) {
        let warm = warm_replicas as f64;
        let keep = (-elapsed / (RATE_MEMORY_OBJECTIVES * longest_objective)).exp();
        if warm > 0.0 && elapsed > 0.0 {
            self.recent_rate = keep * self.recent_rate + (1.0 - keep) * self.answers_of_warm / warm / elapsed;
            let decayed = self.peer_rate * (-elapsed / self.window.max(1.0)).exp();
            self.peer_rate = self.recent_rate.max(decayed);
        }
        self.answers_of_warm = 0.0;
    }

    /// The probability with which a warming replica may be drawn now: the parts it may get at its share of a warm
    /// peer's rate in the time since it was last considered, which counts up to `longest_objective`.
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
