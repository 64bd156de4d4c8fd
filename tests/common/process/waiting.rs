//! Waits for events in other threads and processes, with one timeout for all waits.

use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of every wait of a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Polls until the condition holds; panics with its description after [`WAIT_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let timeout_at = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < timeout_at, "timed out waiting until {description}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs work on a new thread; the returned function waits up to [`WAIT_TIMEOUT`] for its result.
pub fn background<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> impl FnOnce() -> T {
    let (sender, receiver): (Sender<T>, _) = channel();
    thread::spawn(move || sender.send(work()));
    move || receiver.recv_timeout(WAIT_TIMEOUT).expect("a result before the timeout")
}
