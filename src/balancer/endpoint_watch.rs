//! Decides when the caller is asked to watch or poll the endpoint list.

use super::Millis;

/// Backoff before a failed watch is opened again, as a share of the longest poll interval. Jitter adds up to the same
/// amount.
const RETRY_SHARE: f64 = 1.0 / 8.0;
/// A watch request without a response is repeated after this share of the longest poll interval.
const REPEAT_SHARE: f64 = 1.0 / 4.0;

/// The state of the watch of the endpoint list.
pub(super) struct EndpointWatch {
    is_open: bool,
    is_requested: bool,
    next_request_at: Millis,
}

impl EndpointWatch {
    /// Creates the state. The watch counts as open from the start unless the list has to be polled.
    pub fn new(is_polled: bool) -> Self {
        EndpointWatch { is_open: !is_polled, is_requested: false, next_request_at: 0.0 }
    }

    /// Handles a received list. It shows that the watch is open only if a watch has been requested; the initial list
    /// does not.
    pub fn on_list(&mut self) {
        self.is_open |= self.is_requested;
    }

    /// Handles a failed poll or the end of the watch. `jitter` is in `0.0..1.0`.
    pub fn on_failure(&mut self, now: Millis, is_polled: bool, max_poll_interval: Millis, jitter: f64) {
        self.is_open = !is_polled;
        self.next_request_at = now + max_poll_interval * RETRY_SHARE * (1.0 + jitter);
    }

    /// Whether a watch has to be requested now. If so, records the request.
    pub fn take_request(&mut self, now: Millis, max_poll_interval: Millis) -> bool {
        if self.is_open || now < self.next_request_at {
            return false;
        }
        self.is_requested = true;
        self.next_request_at = now + max_poll_interval * REPEAT_SHARE;
        true
    }
}
