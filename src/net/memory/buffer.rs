//! A read buffer whose memory is counted in the budget.

use super::budget::{Eviction, MemoryBudget, MemoryExhausted, Reservation};
use bytes::{Buf, BufMut, BytesMut};
use std::fmt;
use std::io;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Size of the first allocation, which is not counted: most requests and answers fit.
const BASE_BYTES: usize = 4 << 10;
/// Minimum free space for a read.
const MIN_READ_BYTES: usize = 1 << 10;

/// Why a read has failed.
#[derive(Debug)]
pub(in crate::net) enum ReadError {
    /// The connection has failed.
    Io(io::Error),
    /// There is no memory for more data.
    MemoryExhausted,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Io(error) => error.fmt(f),
            ReadError::MemoryExhausted => MemoryExhausted.fmt(f),
        }
    }
}

impl std::error::Error for ReadError {}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        ReadError::Io(error)
    }
}

impl From<MemoryExhausted> for ReadError {
    fn from(_: MemoryExhausted) -> Self {
        ReadError::MemoryExhausted
    }
}

/// Received bytes that have not been consumed. An empty buffer holds no memory.
pub(in crate::net) struct BudgetedBuffer {
    bytes: BytesMut,
    reservation: Reservation,
}

impl std::ops::Deref for BudgetedBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BudgetedBuffer {
    pub fn new(budget: &MemoryBudget) -> Self {
        BudgetedBuffer { bytes: BytesMut::new(), reservation: budget.reservation() }
    }

    /// Reads available data without waiting; returns 0 at the end of the stream.
    ///
    /// # Errors
    /// An I/O error of kind `WouldBlock` if no data is available; any other error means that the connection has failed or
    /// that there is no memory.
    pub fn try_read(&mut self, stream: &TcpStream) -> Result<usize, ReadError> {
        self.make_room()?;
        let free = self.bytes.capacity() - self.bytes.len();
        let read = stream.try_read_buf(&mut (&mut self.bytes).limit(free));
        self.release_if_empty();
        Ok(read?)
    }

    /// Consumes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.bytes.advance(count);
        self.release_if_empty();
    }

    /// Replaces all bytes from `start` on by `tail`, which must not be longer than they are.
    pub fn replace_tail(&mut self, start: usize, tail: &[u8]) {
        self.bytes.truncate(start);
        self.bytes.extend_from_slice(tail);
        self.release_if_empty();
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.release_if_empty();
    }

    /// Allows eviction while the peer is awaited, since the given time; `None` forbids it.
    pub fn set_evictable(&mut self, since: Option<Instant>) {
        self.reservation.set_evictable(since);
    }

    /// A handle to wait until the buffer's memory has to be released.
    pub fn eviction(&self) -> Eviction {
        self.reservation.eviction()
    }

    fn make_room(&mut self) -> Result<(), MemoryExhausted> {
        if self.bytes.capacity() - self.bytes.len() >= MIN_READ_BYTES {
            return Ok(());
        }
        let capacity = capacity_for(self.bytes.len());
        if capacity > BASE_BYTES {
            self.reservation.resize(capacity)?;
        }
        let mut larger = BytesMut::with_capacity(capacity);
        larger.extend_from_slice(&self.bytes);
        self.bytes = larger;
        Ok(())
    }

    fn release_if_empty(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            self.reservation.release();
        }
    }
}

/// The capacity for `bytes` and at least one more read; half as much again, so that growth takes few copies.
fn capacity_for(bytes: usize) -> usize {
    if bytes + MIN_READ_BYTES <= BASE_BYTES { BASE_BYTES } else { bytes + bytes / 2 + BASE_BYTES }
}
