//! Reads and discards what a peer still sends, in order to find the end of its stream.

use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Size of the read buffer, which is on the stack: there may be many connections, and none needs it while it waits.
const READ_BYTES: usize = 16 << 10;
/// Bytes discarded between two pauses. What both machines' kernels hold for a connection is discarded in less than the 0.1 s
/// within which a disconnect must be noticed, while a peer that never stops sending leaves time for others.
const BYTES_PER_PAUSE: usize = 1 << 20;
const PAUSE: Duration = Duration::from_millis(5);

/// Waits until the peer has ended its stream, and discards everything before that.
///
/// # Errors
/// The connection has failed.
pub(super) async fn discard_until_end(stream: &TcpStream) -> io::Result<()> {
    loop {
        stream.readable().await?;
        let discarded = discard_available(stream, BYTES_PER_PAUSE)?;
        if discarded.is_end_of_stream {
            return Ok(());
        }
        if discarded.bytes >= BYTES_PER_PAUSE {
            sleep(PAUSE).await;
        }
    }
}

/// The result of [`discard_available`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Discarded {
    pub bytes: usize,
    /// The peer has ended its stream.
    pub is_end_of_stream: bool,
}

/// Discards what has arrived without waiting, until at least `max_bytes` have been read.
///
/// # Errors
/// The connection has failed.
pub(super) fn discard_available(stream: &TcpStream, max_bytes: usize) -> io::Result<Discarded> {
    let mut buffer = [0; READ_BYTES];
    let mut discarded = Discarded { bytes: 0, is_end_of_stream: false };
    while discarded.bytes < max_bytes && !discarded.is_end_of_stream {
        match stream.try_read(&mut buffer) {
            Ok(0) => discarded.is_end_of_stream = true,
            Ok(bytes) => discarded.bytes += bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(discarded)
}
