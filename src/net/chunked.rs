//! Decodes HTTP/1.1 bodies in chunked transfer encoding, both of client requests and of discovery's responses.

use bytes::{Buf, BytesMut};
use std::fmt;

/// Maximum length of a chunk-size or trailer line.
const MAX_LINE_BYTES: usize = 4096;

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

impl ChunkDecoder {
    /// Consumes encoded bytes from `raw` and appends the decoded data to `body`.
    ///
    /// # Errors
    /// The input is not valid chunked transfer encoding.
    pub fn decode(&mut self, raw: &mut BytesMut, body: &mut BytesMut) -> Result<BodyState, MalformedChunk> {
        loop {
            let progress = match self.expected {
                Expected::Size => self.read_size(raw)?,
                Expected::Data { remaining_bytes } => self.read_data(remaining_bytes, raw, body),
                Expected::LineBreak => self.read_line_break(raw)?,
                Expected::Trailers => read_trailer(raw)?,
            };
            match progress {
                Progress::Advanced => {}
                Progress::NeedsInput => return Ok(BodyState::Incomplete),
                Progress::BodyEnded => return Ok(BodyState::Complete),
            }
        }
    }

    fn read_size(&mut self, raw: &mut BytesMut) -> Result<Progress, MalformedChunk> {
        match httparse::parse_chunk_size(raw) {
            Ok(httparse::Status::Complete((used_bytes, size))) => {
                raw.advance(used_bytes);
                self.expected = match size {
                    0 => Expected::Trailers,
                    size => Expected::Data { remaining_bytes: size },
                };
                Ok(Progress::Advanced)
            }
            Ok(httparse::Status::Partial) if raw.len() <= MAX_LINE_BYTES => Ok(Progress::NeedsInput),
            _ => Err(MalformedChunk),
        }
    }

    fn read_data(&mut self, remaining_bytes: u64, raw: &mut BytesMut, body: &mut BytesMut) -> Progress {
        let consumed = raw.len().min(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
        if consumed == 0 {
            return Progress::NeedsInput;
        }
        body.extend_from_slice(&raw.split_to(consumed));
        self.expected = match remaining_bytes - consumed as u64 {
            0 => Expected::LineBreak,
            remaining_bytes => Expected::Data { remaining_bytes },
        };
        Progress::Advanced
    }

    fn read_line_break(&mut self, raw: &mut BytesMut) -> Result<Progress, MalformedChunk> {
        match raw.get(..2) {
            Some(b"\r\n") => {
                raw.advance(2);
                self.expected = Expected::Size;
                Ok(Progress::Advanced)
            }
            Some(_) => Err(MalformedChunk),
            None => Ok(Progress::NeedsInput),
        }
    }
}

/// Result of one step of the decoder.
enum Progress {
    Advanced,
    NeedsInput,
    BodyEnded,
}

fn read_trailer(raw: &mut BytesMut) -> Result<Progress, MalformedChunk> {
    let Some(end) = raw.iter().position(|byte| *byte == b'\n') else {
        return if raw.len() > MAX_LINE_BYTES { Err(MalformedChunk) } else { Ok(Progress::NeedsInput) };
    };
    let line = raw.split_to(end + 1);
    if line.as_ref() == b"\r\n" || line.as_ref() == b"\n" {
        return Ok(Progress::BodyEnded);
    }
    Ok(Progress::Advanced)
}
