//! The budget of attempts beyond each part's first: retries and hedged requests.

use super::statistics::SlidingCount;
use super::{Millis, RetryBudget};

/// The balancer's own budget, as a share of the first attempts, while latencies are low.
const OWN_SHARE: f64 = 0.2;
/// That share falls as the median latency nears this share of the shortest latency objective: all replicas are slow
/// then, and further attempts would make them slower.
const OWN_SHARE_ENDS_AT: f64 = 0.4;
/// But no lower than this fraction of it.
const MIN_OWN_FRACTION: f64 = 0.1;
/// Own attempts allowed in a window whatever the traffic.
const OWN_FREE_ATTEMPTS: f64 = 2.0;

/// Which part of the stated budget an attempt may use.
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

/// How latencies stand against the objectives, by which the own budget is set.
#[derive(Clone, Copy)]
pub(super) struct LatencyPressure {
    pub median_latency: Millis,
    pub shortest_objective: Millis,
    pub longest_objective: Millis,
}

/// Counts of attempts in sliding windows, and the budget by them.
#[derive(Default)]
pub(super) struct RetryBudgets {
    /// Queries and parts taken in: the base of the stated budget.
    received: SlidingCount,
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

    /// Whether the stated budget allows one more attempt. The window is widened by the timer's granularity on both
    /// sides against rounding.
    pub fn stated_allows(
        &self,
        now: Millis,
        granularity: Millis,
        stated: Option<RetryBudget>,
        usage: BudgetUse,
    ) -> bool {
        stated
            .is_none_or(|budget| self.allows(now, granularity, budget, &self.received, usage.usable_share()))
    }

    /// Whether the balancer's own budget allows one more attempt. It stops storms: when all replicas are slow every
    /// part is late, and hedged requests would add to that.
    pub fn own_allows(&self, now: Millis, granularity: Millis, pressure: LatencyPressure) -> bool {
        let headroom = 1.0 - pressure.median_latency / (OWN_SHARE_ENDS_AT * pressure.shortest_objective);
        let own = RetryBudget {
            free_attempts: OWN_FREE_ATTEMPTS,
            share: OWN_SHARE * headroom.max(MIN_OWN_FRACTION),
            window: pressure.longest_objective,
        };
        self.allows(now, granularity, own, &self.first_attempts, 1.0)
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
