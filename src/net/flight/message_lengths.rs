//! Reads the lengths that the messages of a gRPC stream declare. A decoder allocates them before the messages have arrived.

/// Size of the prefix of a message: a flag and the length.
const PREFIX_BYTES: usize = 5;
const FLAG_BYTES: usize = 1;

/// The declared lengths of the messages of one stream, which arrives in pieces.
#[derive(Default)]
pub(super) struct MessageLengths {
    prefix: [u8; PREFIX_BYTES],
    prefix_bytes: usize,
    /// Bytes of the current message that have not arrived.
    missing_bytes: usize,
    total_bytes: usize,
}

impl MessageLengths {
    /// Reads the next piece of the stream, and returns the total length of all messages that have begun.
    pub fn read(&mut self, mut piece: &[u8]) -> usize {
        while !piece.is_empty() {
            if self.missing_bytes > 0 {
                let bytes = self.missing_bytes.min(piece.len());
                self.missing_bytes -= bytes;
                piece = &piece[bytes..];
                continue;
            }
            let bytes = (PREFIX_BYTES - self.prefix_bytes).min(piece.len());
            self.prefix[self.prefix_bytes..][..bytes].copy_from_slice(&piece[..bytes]);
            self.prefix_bytes += bytes;
            piece = &piece[bytes..];
            if self.prefix_bytes == PREFIX_BYTES {
                self.begin_message();
            }
        }
        self.total_bytes
    }

    fn begin_message(&mut self) {
        let length =
            self.prefix[FLAG_BYTES..].iter().fold(0, |length, byte| length << 8 | usize::from(*byte));
        self.missing_bytes = length;
        self.total_bytes = self.total_bytes.saturating_add(length);
        self.prefix_bytes = 0;
    }
}
