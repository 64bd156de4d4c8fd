//! Buffers unconsumed bytes of a client connection together with their arrival times: the deadline of a pipelined
//! request counts from its arrival, while earlier requests are still being served.

use super::memory::{BudgetedBuffer, Eviction, MemoryBudget, ReadError};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Reads within this interval are recorded as one arrival with the time of the first. Limits the number of records for
/// a client that sends slowly.
const READ_MERGE_WINDOW: Duration = Duration::from_millis(10);

/// Bytes that arrived in one read, or in several reads within [`READ_MERGE_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// The number of bytes that had been received by then.
    received_bytes: u64,
    at: Instant,
}

/// Unconsumed bytes in order of arrival.
pub(super) struct ReadBuffer {
    bytes: BudgetedBuffer,
    received_bytes: u64,
    /// Oldest first.
    arrivals: VecDeque<Arrival>,
}

impl std::ops::Deref for ReadBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReadBuffer {
    pub fn new(budget: &MemoryBudget) -> Self {
        ReadBuffer { bytes: BudgetedBuffer::new(budget), received_bytes: 0, arrivals: VecDeque::new() }
    }

    /// Waits for data and reads it; returns 0 at the end of the stream.
    ///
    /// # Errors
    /// The connection has failed, or there is no memory.
    pub async fn read(&mut self, stream: &TcpStream) -> Result<usize, ReadError> {
        loop {
            stream.readable().await?;
            match self.try_read(stream) {
                Err(ReadError::Io(error)) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Reads available data without waiting; returns 0 at the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock` if no data is available; any other error means that the connection has failed, or that there is no
    /// memory.
    pub fn try_read(&mut self, stream: &TcpStream) -> Result<usize, ReadError> {
        let bytes = self.bytes.try_read(stream)?;
        self.record_arrival(bytes, Instant::now());
        Ok(bytes)
    }

    fn record_arrival(&mut self, bytes: usize, now: Instant) {
        self.received_bytes += bytes as u64;
        match self.arrivals.back_mut() {
            Some(last) if now - last.at < READ_MERGE_WINDOW => last.received_bytes = self.received_bytes,
            _ => self.arrivals.push_back(Arrival { received_bytes: self.received_bytes, at: now }),
        }
    }

    /// Marks all buffered bytes as part of one incomplete request, whose arrival time is that of its last byte.
    pub fn mark_incomplete(&mut self) {
        if let Some(last) = self.arrivals.pop_back() {
            self.arrivals.clear();
            self.arrivals.push_back(last);
        }
    }

    /// Arrival time of the byte before the last `trailing_bytes` bytes; `None` if nothing has been received.
    pub fn arrival_before(&self, trailing_bytes: usize) -> Option<Instant> {
        let position = self.received_bytes - trailing_bytes as u64;
        let arrival = self.arrivals.iter().find(|arrival| arrival.received_bytes >= position);
        arrival.map(|arrival| arrival.at)
    }

    /// Consumes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.bytes.consume(count);
    }

    /// Replaces all bytes from `start` on by `tail`, which must not be longer than they are.
    pub fn replace_tail(&mut self, start: usize, tail: &[u8]) {
        self.bytes.replace_tail(start, tail);
    }

    /// Consumes all bytes except the last `trailing_bytes`, and the arrival times of the others.
    pub fn consume_all_but(&mut self, trailing_bytes: usize) {
        self.bytes.consume(self.bytes.len() - trailing_bytes);
        let position = self.received_bytes - trailing_bytes as u64;
        while self.arrivals.front().is_some_and(|oldest| oldest.received_bytes <= position) {
            self.arrivals.pop_front();
        }
    }

    /// Drops all bytes and their memory.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.arrivals = VecDeque::new();
    }

    /// Allows eviction while the client is awaited, since the given time; `None` forbids it.
    pub fn set_evictable(&mut self, since: Option<Instant>) {
        self.bytes.set_evictable(since);
    }

    /// A handle to wait until the buffer's memory has to be released.
    pub fn eviction(&self) -> Eviction {
        self.bytes.eviction()
    }
}
