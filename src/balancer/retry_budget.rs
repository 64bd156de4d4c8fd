//! Retry budgets: limits on retries and hedged requests, as a share of the traffic. There is one that the settings
//! may configure, and an adaptive one that shrinks as latencies grow.

use super::statistics::SlidingCount;
use super::{Millis, RetryBudget};

/// The adaptive budget while latencies are low, as a share of the first attempts.
const ADAPTIVE_SHARE: f64 = 0.2;
/// That share falls to its minimum as the median latency approaches this share of the shortest latency objective: all
/// replicas are slow then, and further attempts would make them slower.
const MAX_MEDIAN_SHARE: f64 = 0.4;
/// The minimum of the adaptive budget, as a fraction of its maximum.
const MIN_ADAPTIVE_FRACTION: f64 = 0.1;
/// Further attempts that the adaptive budget allows in a window whatever the traffic.
const ADAPTIVE_FREE_ATTEMPTS: f64 = 2.0;

/// How much of the configured budget an attempt may use.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum BudgetUse {
    /// A query cannot be answered without the attempt.
    Required,
    /// A hedged request, or a retry for a query that may be answered from less.
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

/// Latencies and objectives, which determine the adaptive budget.
#[derive(Clone, Copy)]
pub(super) struct LatencyPressure {
    pub median_latency: Millis,
    pub shortest_objective: Millis,
    pub longest_objective: Millis,
}

/// Counts of attempts in sliding windows, and the budget by them.
#[derive(Default)]
pub(super) struct RetryBudgets {
    /// Queries and parts received: the base of the configured budget.
    received: SlidingCount,
    /// The base of the adaptive budget.
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

    /// Whether the configured budget, if any, allows one more attempt. Against rounding of times, the window of the
    /// attempts is widened by the timer's granularity, and that of the base narrowed by it.
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

    /// Whether the adaptive budget allows one more attempt. It prevents retry storms: when all replicas are slow, every
    /// part is late, and hedged requests would add to the load.
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

    pub fn forget_before(&mut self, start: Millis) {
        for window in [&mut self.received, &mut self.first_attempts, &mut self.further_attempts] {
            window.forget_before(start);
        }
    }
}
