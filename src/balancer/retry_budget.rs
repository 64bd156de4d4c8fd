//! Retry budgets limit retries and hedged requests to a share of the traffic. One budget is optional and set by the
//! operator; the other is adaptive and shrinks as latencies grow.

use super::statistics::SlidingCount;
use super::{Millis, RetryBudget};

/// The adaptive budget at low latencies, as a share of the first attempts.
const ADAPTIVE_SHARE: f64 = 0.2;
/// The adaptive budget falls to its minimum as the median latency approaches this share of the shortest latency
/// objective: all replicas are slow then, and further attempts would make them slower.
const MAX_MEDIAN_SHARE: f64 = 0.4;
/// The minimum of the adaptive budget, as a fraction of its maximum.
const MIN_ADAPTIVE_FRACTION: f64 = 0.1;
/// Further attempts that the adaptive budget allows in a window regardless of the traffic.
const ADAPTIVE_FREE_ATTEMPTS: f64 = 2.0;

/// The share of the configured budget that an attempt may use.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum BudgetUse {
    /// The query cannot be answered without the attempt.
    Required,
    /// A hedged request, or a retry for a query that can be answered without the part.
    Optional,
}

impl BudgetUse {
    fn usable_share(self) -> f64 {
        match self {
            Self::Required => 1.0,
            Self::Optional => 0.5,
        }
    }
}

/// The median latency and the latency objectives, which determine the adaptive budget.
#[derive(Clone, Copy)]
pub(super) struct LatencyPressure {
    pub median_latency: Millis,
    pub shortest_objective: Millis,
    pub longest_objective: Millis,
}

/// Sliding-window counts of queries, parts and attempts, and the budgets computed from them.
#[derive(Default)]
pub(super) struct RetryBudgets {
    /// Queries and parts received, the base of the configured budget.
    received: SlidingCount,
    /// First attempts of parts, the base of the adaptive budget.
    first_attempts: SlidingCount,
    further_attempts: SlidingCount,
}

impl RetryBudgets {
    pub fn record_received(&mut self, now: Millis, count: usize) {
        self.received.add(now, count);
    }

    pub fn record_attempt(&mut self, now: Millis, is_first: bool) {
        let window = if is_first { &mut self.first_attempts } else { &mut self.further_attempts };
        window.add(now, 1);
    }

    /// Whether the configured budget, if any, allows one more attempt. To allow for rounding of times, the window of
    /// the further attempts is extended by the timer's granularity, and the window of the base is shortened by it.
    pub fn configured_allows(
        &self,
        now: Millis,
        granularity: Millis,
        configured: Option<RetryBudget>,
        usage: BudgetUse,
    ) -> bool {
        configured
            .is_none_or(|budget| self.allows(now, granularity, budget, &self.received, usage.usable_share()))
    }

    /// Whether the adaptive budget allows one more attempt. This prevents retry storms: when all replicas are slow,
    /// every part is late, and hedged requests would add to the load.
    pub fn adaptive_allows(&self, now: Millis, granularity: Millis, pressure: LatencyPressure) -> bool {
        let headroom = 1.0 - pressure.median_latency / (MAX_MEDIAN_SHARE * pressure.shortest_objective);
        let adaptive = RetryBudget {
            free_attempts: ADAPTIVE_FREE_ATTEMPTS,
            share: ADAPTIVE_SHARE * headroom.max(MIN_ADAPTIVE_FRACTION),
            window: pressure.longest_objective,
        };
        self.allows(now, granularity, adaptive, &self.first_attempts, 1.0)
    }

    fn allows(
        &self,
        now: Millis,
        granularity: Millis,
        budget: RetryBudget,
        base: &SlidingCount,
        usable_share: f64,
    ) -> bool {
        let since = now - budget.window;
        let used = self.further_attempts.since(since - granularity) + 1.0;
        used <= usable_share * (budget.free_attempts + budget.share * base.since(since + granularity))
    }

    pub fn remove_before(&mut self, start: Millis) {
        for window in [&mut self.received, &mut self.first_attempts, &mut self.further_attempts] {
            window.remove_before(start);
        }
    }
}
