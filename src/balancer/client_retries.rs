//! How long a client has waited in earlier tries of a query.
//!
//! Work for an answer that nobody values any more is the core of a retry storm. Clients give their first tries a time
//! that many of them share; a retry with a shorter, uncommon time has used up the rest of the deadline.

use super::Millis;
use super::latency::{ENOUGH_SAMPLES, SAMPLES};
use super::statistics::RecentSamples;

/// Times of first tries differ by less than this share, by the network's delay.
const SAME_TIME_TOLERANCE: f64 = 0.02;
/// The share of recent tries that makes a time one of first tries.
const COMMON_SHARE: f64 = 0.2;

/// What tells a client's first try from a later one.
pub(super) struct TryTime {
    /// The time until the client gives up this try.
    pub time_left: Millis,
    /// The client marked the try as a retry.
    pub is_marked_retry: bool,
}

/// The times of recent tries, by class; marked retries are left out.
pub(super) struct TryTimes(Vec<RecentSamples>);

impl TryTimes {
    pub fn new(class_count: usize) -> Self {
        TryTimes(vec![RecentSamples::new(SAMPLES); class_count])
    }

    /// Takes new classes; `previous_class` tells which class each new one was before.
    pub fn reconfigure(&mut self, class_count: usize, previous_class: impl Fn(usize) -> Option<usize>) {
        let old_times = |class| self.0.get(previous_class(class)?).cloned();
        self.0 = (0..class_count)
            .map(|class| old_times(class).unwrap_or_else(|| RecentSamples::new(SAMPLES)))
            .collect();
    }

    /// Takes in a try; whether it is a first one. Where clients do not mark retries, an uncommon time counts as a
    /// first try while `has_spare_capacity`.
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
