//! Buffers unconsumed bytes of a client connection together with their arrival times: the deadline of a pipelined
//! request counts from its arrival, while earlier requests are still being served.

use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Buffer space reserved for each read.
const READ_BYTES: usize = 4 << 10;
/// Reads within this interval are recorded as one arrival with the time of the first. Limits the number of records for
/// a client that sends slowly.
const READ_MERGE_WINDOW: Duration = Duration::from_millis(10);

/// Bytes that arrived in one read, or in several reads within [`READ_MERGE_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// Unconsumed bytes in order of arrival.
#[derive(Default)]
pub(super) struct ReadBuffer {
    bytes: BytesMut,
    /// Oldest first; the byte counts add up to the length of `bytes`.
    arrivals: VecDeque<Arrival>,
}

impl std::ops::Deref for ReadBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReadBuffer {
    /// Waits for data and reads it; returns 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection has failed.
    pub async fn read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            stream.readable().await?;
            match self.try_read(stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Reads available data without waiting; returns 0 at the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock` if no data is available; any other error means that the connection has failed.
    pub fn try_read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        // There may be many idle connections, so an empty buffer releases its memory.
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

    /// Marks all buffered bytes as part of one incomplete request, whose arrival time is that of its last byte.
    pub fn mark_incomplete(&mut self) {
        if let Some(last) = self.arrivals.back().copied() {
            self.arrivals = VecDeque::from([Arrival { bytes: self.bytes.len(), at: last.at }]);
        }
    }

    /// Arrival time of the byte before the last `trailing_bytes` bytes; `None` if there is no such byte.
    pub fn arrival_before(&self, trailing_bytes: usize) -> Option<Instant> {
        let mut bytes_from_end = 0;
        for arrival in self.arrivals.iter().rev() {
            bytes_from_end += arrival.bytes;
            if bytes_from_end > trailing_bytes {
                return Some(arrival.at);
            }
        }
        None
    }

    /// Consumes all bytes except the last `trailing_bytes`.
    pub fn consume_all_but(&mut self, trailing_bytes: usize) {
        let mut consumed = self.bytes.len() - trailing_bytes;
        self.bytes.advance(consumed);
        while let Some(oldest) = self.arrivals.front_mut() {
            if oldest.bytes > consumed {
                oldest.bytes -= consumed;
                break;
            }
            consumed -= oldest.bytes;
            self.arrivals.pop_front();
        }
        if trailing_bytes == 0 {
            self.bytes = BytesMut::new();
        }
    }
}
