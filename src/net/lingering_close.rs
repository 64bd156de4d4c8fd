//! Lingering close of a client's connection. After the last response, data that the client still sends is read and
//! discarded: closing with unread data would reset the connection and could lose the response.

use super::discard::discard_available;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Maximum duration of a lingering close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes discarded by a lingering close.
const MAX_LINGER_BYTES: usize = 80 << 20;
/// Time without data from the client after which a lingering close ends.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes discarded in one wakeup.
const LINGER_READ_BYTES: usize = 16 << 10;

/// Ends the sending half of the stream and discards what arrives until the client closes its half, a limit is reached, or
/// `cancelled` completes. The caller drops the stream afterwards.
///
/// # Errors
/// The connection has already failed.
pub(super) async fn lingering_close(
    stream: &mut TcpStream,
    cancelled: impl Future<Output = ()>,
) -> io::Result<()> {
    stream.shutdown().await?;
    tokio::select! {
        () = discard_input(stream) => {}
        () = cancelled => {}
    }
    Ok(())
}

async fn discard_input(stream: &TcpStream) {
    let end = Instant::now() + LINGER_TIMEOUT;
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_LINGER_BYTES {
        let deadline = end.min(Instant::now() + LINGER_IDLE_TIMEOUT);
        let Ok(Ok(())) = timeout_at(deadline, stream.readable()).await else { return };
        match discard_available(stream, LINGER_READ_BYTES) {
            Ok(discarded) if !discarded.is_end_of_stream => discarded_bytes += discarded.bytes,
            _ => return,
        }
    }
}
