//! Buffers output for a leaf server and counts the messages that have been completely written.

use super::frame;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io;
use tokio::net::TcpStream;

/// The pending output of a connection.
#[derive(Default)]
pub(super) struct OutputBuffer {
    bytes: BytesMut,
    /// Bytes written since the connection was opened.
    written_bytes: u64,
    /// End offsets of the messages that are not completely written, in bytes since the connection was opened.
    message_ends: VecDeque<u64>,
    /// Messages completely written since the connection was opened.
    written_messages: u64,
}

impl OutputBuffer {
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Number of bytes that are not written yet.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn written_messages(&self) -> u64 {
        self.written_messages
    }

    /// Appends a frame to the current message.
    pub fn push_frame(&mut self, kind: u8, body: &[u8]) {
        frame::encode(&mut self.bytes, kind, body);
    }

    /// Ends the current message. A message without a frame counts as written together with its predecessors.
    pub fn end_message(&mut self) {
        self.message_ends.push_back(self.written_bytes + self.bytes.len() as u64);
    }

    /// Writes as much as the socket accepts without blocking.
    ///
    /// # Errors
    /// The connection has failed; bytes written before the error are still counted.
    pub fn write(&mut self, stream: &TcpStream) -> io::Result<()> {
        let result = self.write_bytes(stream);
        while self.message_ends.front().is_some_and(|end| *end <= self.written_bytes) {
            self.message_ends.pop_front();
            self.written_messages += 1;
        }
        result
    }

    fn write_bytes(&mut self, stream: &TcpStream) -> io::Result<()> {
        while !self.bytes.is_empty() {
            match stream.try_write(&self.bytes) {
                Ok(bytes) => {
                    self.bytes.advance(bytes);
                    self.written_bytes += bytes as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        // An empty buffer holds no memory.
        self.bytes = BytesMut::new();
        Ok(())
    }
}
