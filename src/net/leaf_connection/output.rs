//! Bytes that wait to be written to a leaf server, and which messages have been written completely.

use super::frame;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use std::io;
use tokio::net::TcpStream;

/// The unwritten output of a connection.
#[derive(Default)]
pub(super) struct OutputBuffer {
    bytes: BytesMut,
    /// Bytes written since the start.
    written_bytes: u64,
    /// Where messages end that are not written completely, in bytes since the start.
    message_ends: VecDeque<u64>,
    /// Messages written completely since the start.
    written_messages: u64,
}

impl OutputBuffer {
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn written_messages(&self) -> u64 {
        self.written_messages
    }

    /// Appends a frame to the current message.
    pub fn push_frame(&mut self, kind: u8, body: &[u8]) {
        frame::encode(&mut self.bytes, kind, body);
    }

    /// Ends the current message; one without a frame counts as written with those before it.
    pub fn end_message(&mut self) {
        self.message_ends.push_back(self.written_bytes + self.bytes.len() as u64);
    }

    /// Writes what the socket takes now.
    ///
    /// # Errors
    /// The connection is broken; what was written before that counts.
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
        Ok(())
    }
}
