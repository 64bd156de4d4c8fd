//! Decodes HTTP/1.1 bodies in chunked transfer encoding, both of client requests and of discovery's responses.

use std::fmt;

/// Maximum length of a chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 4096;
const LINE_BREAK: &[u8] = b"\r\n";

/// A body that violates the chunked transfer encoding.
#[derive(Debug)]
pub(super) struct MalformedChunk;

impl fmt::Display for MalformedChunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed chunk")
    }
}

impl std::error::Error for MalformedChunk {}

/// Whether a body is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyState {
    /// More input is needed.
    Incomplete,
    /// The last chunk and its trailers have been received.
    Complete,
}

/// The element that the decoder expects next.
#[derive(Clone, Copy, Debug, Default)]
enum Expected {
    /// A chunk's size.
    #[default]
    Size,
    /// The rest of a chunk's data.
    Data { remaining_bytes: u64 },
    /// The line break after a chunk.
    LineBreak,
    /// Trailers, terminated by an empty line.
    Trailers,
}

/// Incremental decoder of one body.
#[derive(Debug, Default)]
pub(super) struct ChunkDecoder {
    expected: Expected,
}

/// What one call of [`ChunkDecoder::decode`] has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Decoded {
    /// Number of input bytes that are no longer needed.
    pub consumed_bytes: usize,
    /// Whether the body is complete.
    pub state: BodyState,
}

impl ChunkDecoder {
    /// Decodes the input as far as possible and appends the data to `body`. The next call must begin with the bytes that
    /// this one has not consumed.
    ///
    /// # Errors
    /// The input is not valid chunked transfer encoding.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<Decoded, MalformedChunk> {
        let mut consumed_bytes = 0;
        loop {
            let rest = &input[consumed_bytes..];
            let progress = match self.expected {
                Expected::Size => self.read_size(rest)?,
                Expected::Data { remaining_bytes } => self.read_data(remaining_bytes, rest, body),
                Expected::LineBreak => self.read_line_break(rest)?,
                Expected::Trailers => read_trailer(rest)?,
            };
            let state = match progress {
                Progress::Advanced { bytes } => {
                    consumed_bytes += bytes;
                    continue;
                }
                Progress::NeedsInput => BodyState::Incomplete,
                Progress::BodyEnded { bytes } => {
                    consumed_bytes += bytes;
                    BodyState::Complete
                }
            };
            return Ok(Decoded { consumed_bytes, state });
        }
    }

    fn read_size(&mut self, input: &[u8]) -> Result<Progress, MalformedChunk> {
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((bytes, size))) => {
                self.expected = match size {
                    0 => Expected::Trailers,
                    size => Expected::Data { remaining_bytes: size },
                };
                Ok(Progress::Advanced { bytes })
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_LINE_BYTES => Ok(Progress::NeedsInput),
            _ => Err(MalformedChunk),
        }
    }

    fn read_data(&mut self, remaining_bytes: u64, input: &[u8], body: &mut Vec<u8>) -> Progress {
        let bytes = input.len().min(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
        if bytes == 0 {
            return Progress::NeedsInput;
        }
        body.extend_from_slice(&input[..bytes]);
        self.expected = match remaining_bytes - bytes as u64 {
            0 => Expected::LineBreak,
            remaining_bytes => Expected::Data { remaining_bytes },
        };
        Progress::Advanced { bytes }
    }

    fn read_line_break(&mut self, input: &[u8]) -> Result<Progress, MalformedChunk> {
        match input.get(..LINE_BREAK.len()) {
            Some(LINE_BREAK) => {
                self.expected = Expected::Size;
                Ok(Progress::Advanced { bytes: LINE_BREAK.len() })
            }
            Some(_) => Err(MalformedChunk),
            None => Ok(Progress::NeedsInput),
        }
    }
}

/// Result of one step of the decoder.
enum Progress {
    /// These bytes have been consumed.
    Advanced {
        bytes: usize,
    },
    NeedsInput,
    /// The body ends after these bytes.
    BodyEnded {
        bytes: usize,
    },
}

fn read_trailer(input: &[u8]) -> Result<Progress, MalformedChunk> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_LINE_BYTES { Err(MalformedChunk) } else { Ok(Progress::NeedsInput) };
    };
    let bytes = end + 1;
    let line = &input[..bytes];
    if line == LINE_BREAK || line == b"\n" {
        return Ok(Progress::BodyEnded { bytes });
    }
    Ok(Progress::Advanced { bytes })
}
