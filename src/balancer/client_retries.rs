//! Recognizes client retries, so that the time that the client has waited in earlier tries can be deducted from its
//! latency objective.
//!
//! Work on answers that come too late for their clients sustains a retry storm. The first tries of a class share a
//! common timeout; a retry has a shorter, uncommon timeout, since the earlier tries have used up part of the deadline.

use super::Millis;
use super::latency::{MIN_SAMPLES, SAMPLE_CAPACITY};
use super::statistics::RecentSamples;

/// Timeouts that differ by at most this share count as equal; network delay makes the timeouts of first tries differ
/// slightly.
const SAME_TIMEOUT_TOLERANCE: f64 = 0.02;
/// A timeout is common, as those of first tries are, if at least this share of the recent tries had it.
const COMMON_SHARE: f64 = 0.2;

/// The properties of a client's try that distinguish a first try from a retry.
pub(super) struct ClientTry {
    /// The time until the client gives up this try.
    pub time_left: Millis,
    /// The client marked the try as a retry.
    pub is_marked_retry: bool,
}

/// The timeouts of recent tries, by class. Tries that are marked as retries are excluded.
pub(super) struct TryTimeouts(Vec<RecentSamples>);

impl TryTimeouts {
    pub fn new(class_count: usize) -> Self {
        TryTimeouts(vec![RecentSamples::new(SAMPLE_CAPACITY); class_count])
    }

    /// Applies new classes. `previous_class` maps a class to its index among the old ones, if it existed.
    pub fn reconfigure(&mut self, class_count: usize, previous_class: impl Fn(usize) -> Option<usize>) {
        let old_timeouts = |class| self.0.get(previous_class(class)?).cloned();
        self.0 = (0..class_count)
            .map(|class| old_timeouts(class).unwrap_or_else(|| RecentSamples::new(SAMPLE_CAPACITY)))
            .collect();
    }

    /// Records a try. Returns whether it counts as a first try. If clients do not mark retries, a try with an uncommon
    /// timeout counts as a first try only while there is spare capacity.
    pub fn record_try(
        &mut self,
        class: usize,
        client_try: &ClientTry,
        clients_mark_retries: bool,
        has_spare_capacity: impl FnOnce() -> bool,
    ) -> bool {
        let ClientTry { time_left, is_marked_retry } = *client_try;
        let timeouts = &mut self.0[class];
        let similar = timeouts.count_near(time_left, SAME_TIMEOUT_TOLERANCE * time_left) as f64;
        let is_common = timeouts.len() < MIN_SAMPLES || similar >= COMMON_SHARE * timeouts.len() as f64;
        if !(clients_mark_retries && is_marked_retry) {
            timeouts.push(time_left);
        }
        is_common || !is_marked_retry && (clients_mark_retries || has_spare_capacity())
    }
}
