//! What has become of writes on a Flight connection to a leaf server: shows that a cancellation has left.

use super::observed_socket::WriteObserver;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A stream that is dropped is reset on the wire so soon, unless it had ended by itself.
const RESET_TIMEOUT: Duration = Duration::from_millis(20);
/// How often the writes are checked for that.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The leaf server reads nothing, so that a cancellation cannot be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct WritesBlocked;

/// The writes of one connection.
#[derive(Default)]
pub(super) struct WriteProgress {
    written_bytes: Cell<u64>,
    is_blocked: Cell<bool>,
}

impl WriteProgress {
    /// Bytes written since the start.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.get()
    }

    /// Waits until the reset of a dropped stream is on the wire: it is the next write after `bytes_before`. A stream that
    /// had ended by itself needs none.
    ///
    /// # Errors
    /// The socket has taken nothing in time.
    pub async fn reset_written(&self, bytes_before: u64) -> Result<(), WritesBlocked> {
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
