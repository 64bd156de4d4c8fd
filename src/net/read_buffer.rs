//! Bytes that have arrived on a client's connection and are not consumed yet, and when they arrived: the deadline of a
//! pipelined request runs while those before it are served.

use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Bytes read at once.
const READ_BYTES: usize = 4 << 10;
/// Reads so close to each other count as one, with the time of the first: bounds what a client that trickles costs.
const READ_MERGE_WINDOW: Duration = Duration::from_millis(10);

/// Bytes that arrived in one read, or in several close to each other.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// Unconsumed bytes in the order of their arrival.
#[derive(Default)]
pub(super) struct ReadBuffer {
    bytes: BytesMut,
    /// Oldest first; their bytes add up to the buffer's length.
    arrivals: VecDeque<Arrival>,
}

impl std::ops::Deref for ReadBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReadBuffer {
    /// Reads once something has arrived; 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            stream.readable().await?;
            match self.try_read(stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Reads what has arrived; 0 at the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock` where nothing has arrived; otherwise the connection is broken.
    pub fn try_read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        // An idle connection holds no buffer: there may be many of them.
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
        self.bytes.reserve(READ_BYTES);
        let read = stream.try_read_buf(&mut self.bytes);
        match &read {
            Ok(bytes) => self.record_arrival(*bytes, Instant::now()),
            Err(_) if self.bytes.is_empty() => self.bytes = BytesMut::new(),
            Err(_) => {}
        }
        read
    }

    fn record_arrival(&mut self, bytes: usize, now: Instant) {
        match self.arrivals.back_mut() {
            Some(last) if now - last.at < READ_MERGE_WINDOW => last.bytes += bytes,
            _ => self.arrivals.push_back(Arrival { bytes, at: now }),
        }
    }

    /// Marks all bytes as those of one incomplete request, which arrives with its last byte.
    pub fn mark_incomplete(&mut self) {
        if let Some(last) = self.arrivals.back().copied() {
            self.arrivals = VecDeque::from([Arrival { bytes: self.bytes.len(), at: last.at }]);
        }
    }

    /// When the last byte arrived that has `bytes_behind` bytes behind it.
    pub fn arrival_before(&self, bytes_behind: usize) -> Option<Instant> {
        let mut bytes_from_end = 0;
        for arrival in self.arrivals.iter().rev() {
            bytes_from_end += arrival.bytes;
            if bytes_from_end > bytes_behind {
                return Some(arrival.at);
            }
        }
        None
    }

    /// Consumes all but the last `bytes_behind` bytes.
    pub fn consume_up_to(&mut self, bytes_behind: usize) {
        let mut consumed = self.bytes.len() - bytes_behind;
        self.bytes.advance(consumed);
        while let Some(oldest) = self.arrivals.front_mut() {
            if oldest.bytes > consumed {
                oldest.bytes -= consumed;
                break;
            }
            consumed -= oldest.bytes;
            self.arrivals.pop_front();
        }
        if bytes_behind == 0 {
            self.bytes = BytesMut::new();
        }
    }
}
