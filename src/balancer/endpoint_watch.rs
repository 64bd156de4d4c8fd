//! When the balancer asks its caller to watch the endpoint list.

use super::Millis;

/// Backoff before a failed watch is opened again, as a share of the longest poll interval; jitter adds up to as much.
const RETRY_SHARE: f64 = 1.0 / 8.0;
/// A request for a watch is repeated after this share of the longest poll interval.
const REPEAT_SHARE: f64 = 1.0 / 4.0;

/// The state of the watch of the endpoint list.
pub(super) struct EndpointWatch {
    is_open: bool,
    is_requested: bool,
    next_request_at: Millis,
}

impl EndpointWatch {
    /// A watch that is open from the start unless the list has to be polled.
    pub fn new(is_polled: bool) -> Self {
        EndpointWatch { is_open: !is_polled, is_requested: false, next_request_at: 0.0 }
    }

    /// A list has arrived. The one known at the start does not show that a watch is open.
    pub fn on_list(&mut self) {
        self.is_open |= self.is_requested;
    }

    /// A poll has failed or the watch has ended. `jitter` is in `0.0..1.0`.
    pub fn on_failure(&mut self, now: Millis, is_polled: bool, max_poll_interval: Millis, jitter: f64) {
        self.is_open = !is_polled;
        self.next_request_at = now + max_poll_interval * RETRY_SHARE * (1.0 + jitter);
    }

    /// Whether a watch is to be requested now.
    pub fn take_request(&mut self, now: Millis, max_poll_interval: Millis) -> bool {
        if self.is_open || now < self.next_request_at {
            return false;
        }
        self.is_requested = true;
        self.next_request_at = now + max_poll_interval * REPEAT_SHARE;
        true
    }
}
