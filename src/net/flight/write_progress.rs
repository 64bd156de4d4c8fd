//! Tracks the writes on a Flight connection to a leaf server, in order to detect that a cancellation has been sent.

use super::observed_socket::WriteObserver;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time within which the reset of a dropped stream is written, unless the stream had already ended.
const RESET_TIMEOUT: Duration = Duration::from_millis(20);
/// Interval at which the number of written bytes is checked for a reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A cancellation could not be written because the leaf server does not read from the connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct WritesBlocked;

/// Progress of the writes on one connection.
#[derive(Default)]
pub(super) struct WriteProgress {
    written_bytes: Cell<u64>,
    is_blocked: Cell<bool>,
}

impl WriteProgress {
    /// Number of bytes written since the connection was opened.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// Waits until the reset of a dropped stream is written, which is the next write after `bytes_before`. A stream
    /// that had already ended needs no reset, so a timeout counts as success unless writes are blocked.
    ///
    /// # Errors
    /// Writes are blocked when the timeout expires.
    pub async fn wait_for_reset(&self, bytes_before: u64) -> Result<(), WritesBlocked> {
        let deadline = Instant::now() + RESET_TIMEOUT;
        while self.written_bytes.get() == bytes_before {
            if Instant::now() >= deadline {
                return if self.is_blocked.get() { Err(WritesBlocked) } else { Ok(()) };
            }
            sleep(RESET_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl WriteObserver for Rc<WriteProgress> {
    fn on_write(&self, result: &Poll<io::Result<usize>>) {
        self.is_blocked.set(result.is_pending());
        if let Poll::Ready(Ok(bytes)) = result {
            self.written_bytes.set(self.written_bytes.get() + *bytes as u64);
        }
    }
}
