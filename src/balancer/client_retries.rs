//! Recognizes retries by clients, so that the time they have waited in earlier tries can be deducted.
//!
//! Work on answers that come too late for their clients is what keeps a retry storm going. The first tries of a class
//! share a common timeout; a retry has a shorter, uncommon one, since its earlier tries have used up part of the
//! deadline.

use super::Millis;
use super::latency::{ENOUGH_SAMPLES, SAMPLES};
use super::statistics::RecentSamples;

/// Timeouts of first tries differ by less than this share, because of the network's delay.
const SAME_TIME_TOLERANCE: f64 = 0.02;
/// A timeout is one of first tries if at least this share of the recent tries had it.
const COMMON_SHARE: f64 = 0.2;

/// What distinguishes a client's first try from a retry.
pub(super) struct TryTime {
    /// The time until the client gives up this try.
    pub time_left: Millis,
    /// The client marked the try as a retry.
    pub is_marked_retry: bool,
}

/// The timeouts of recent tries, by class; marked retries are left out.
pub(super) struct TryTimes(Vec<RecentSamples>);

impl TryTimes {
    pub fn new(class_count: usize) -> Self {
        TryTimes(vec![RecentSamples::new(SAMPLES); class_count])
    }

    /// Applies new classes; `previous_class` maps a class to its index among the old ones, if any.
    pub fn reconfigure(&mut self, class_count: usize, previous_class: impl Fn(usize) -> Option<usize>) {
        let old_times = |class| self.0.get(previous_class(class)?).cloned();
        self.0 = (0..class_count)
            .map(|class| old_times(class).unwrap_or_else(|| RecentSamples::new(SAMPLES)))
            .collect();
    }

    /// Records a try; returns whether it is taken for a first one. If clients do not mark retries, a try with an
    /// uncommon timeout counts as a first one while `has_spare_capacity`.
    pub fn record_try(
        &mut self,
        class: usize,
        client_try: &TryTime,
        clients_mark_retries: bool,
        has_spare_capacity: impl FnOnce() -> bool,
    ) -> bool {
        let TryTime { time_left, is_marked_retry } = *client_try;
        let times = &mut self.0[class];
        let similar = times.count_near(time_left, SAME_TIME_TOLERANCE * time_left) as f64;
        let is_common = times.len() < ENOUGH_SAMPLES || similar >= COMMON_SHARE * times.len() as f64;
        if !(clients_mark_retries && is_marked_retry) {
            times.push(time_left);
        }
        is_common || !is_marked_retry && (clients_mark_retries || has_spare_capacity())
    }
}
