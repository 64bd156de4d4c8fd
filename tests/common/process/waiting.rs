//! Waiting for what happens in other threads and processes, with one bound for all waits.

use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for anything: whatever takes longer has failed.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// Polls until the condition holds; panics with its description after [`PATIENCE`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < give_up_at, "never: {description}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs work on a thread of its own; the returned function waits for its result for [`PATIENCE`].
pub fn background<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> impl FnOnce() -> T {
    let (sender, receiver): (Sender<T>, _) = channel();
    thread::spawn(move || sender.send(work()));
    move || receiver.recv_timeout(PATIENCE).expect("done in time")
}
