//! Encodes and decodes the platform's frames, without I/O. A frame consists of a length of four bytes (big-endian), a
//! letter for the kind of the frame, and a body; the length covers kind and body.

use super::load_report::parse_load_report;
use crate::aggregator::PartOutcome;
use crate::balancer::LoadReport;
use crate::net::memory::MemoryExhausted;
use bytes::{BufMut, BytesMut};
use std::fmt;

/// Frame kind: parts for the leaf server.
pub(super) const CALL: u8 = b'm';
/// Frame kind: cancels an attempt.
pub(super) const CANCEL: u8 = b'n';
/// Frame kind: a health check, and the answer to one.
pub(super) const HEALTH: u8 = b'p';
/// Frame kind: the answer to a part.
const ANSWER: u8 = b'q';
/// Frame kind: the leaf server rejects a frame; the body states the reason.
const REJECTED_FRAME: u8 = b'r';

/// Size of the length field.
const LENGTH_BYTES: usize = 4;
/// Maximum value of the length field. Guards against a corrupt length: no answer to a client can be longer.
const MAX_FRAME_BYTES: usize = 80 << 10;
/// Maximum length of a leaf server's reason that is kept for the log.
const MAX_REASON_BYTES: usize = 256;

/// A violation of the protocol by a leaf server.
#[derive(Debug)]
pub(super) enum ProtocolError {
    FrameLength(usize),
    UnknownKind(u8),
    MalformedAnswer,
    /// A frame was not complete within its timeout.
    IncompleteFrame,
    /// An answer whose name belongs to no attempt on this connection.
    UnknownAttempt,
    /// The leaf server rejected a frame of the aggregator, for this reason.
    FrameRejected(String),
    /// There is no memory for what the leaf server sends.
    MemoryExhausted,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FrameLength(bytes) => write!(f, "invalid frame length: {bytes} bytes"),
            Self::UnknownKind(kind) => write!(f, "unknown frame kind {:?}", char::from(*kind)),
            Self::MalformedAnswer => f.write_str("malformed answer"),
            Self::IncompleteFrame => f.write_str("frame was not complete in time"),
            Self::UnknownAttempt => f.write_str("answer to an unknown attempt"),
            Self::MemoryExhausted => MemoryExhausted.fmt(f),
            Self::FrameRejected(reason) => write!(f, "the leaf server rejected a frame: {reason}"),
        }
    }
}

impl std::error::Error for ProtocolError {}

/// A complete frame at the start of the input.
pub(super) struct Frame<'f> {
    kind: u8,
    body: &'f [u8],
}

/// A frame that a leaf server sends.
pub(super) enum LeafFrame<'f> {
    Answer(Answer<'f>),
    Health(HealthReport),
}

/// The answer to a part.
pub(super) struct Answer<'f> {
    pub attempt_name: &'f str,
    pub outcome: PartOutcome,
    /// Valid UTF-8; meaningful only if the part was served.
    pub value: &'f [u8],
    /// `None` if the answer has no valid load report.
    pub report: Option<LoadReport>,
}

/// The answer to a health check.
pub(super) struct HealthReport {
    pub healthy: bool,
    pub report: Option<LoadReport>,
}

/// Appends an encoded frame to `output`.
pub(super) fn encode(output: &mut BytesMut, kind: u8, body: &[u8]) {
    output.put_u32(body.len() as u32 + 1);
    output.put_u8(kind);
    output.put(body);
}

/// Returns the frame at the start of the input; `None` if it is not complete yet.
///
/// # Errors
/// The length field is invalid.
pub(super) fn first_frame(input: &[u8]) -> Result<Option<Frame<'_>>, ProtocolError> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let frame_bytes = u32::from_be_bytes(*length) as usize;
    if frame_bytes == 0 || frame_bytes > MAX_FRAME_BYTES {
        return Err(ProtocolError::FrameLength(frame_bytes));
    }
    let Some(frame) = input[LENGTH_BYTES..].get(..frame_bytes) else { return Ok(None) };
    let Some((kind, body)) = frame.split_first() else { return Ok(None) };
    Ok(Some(Frame { kind: *kind, body }))
}

impl<'f> Frame<'f> {
    /// Size of the encoded frame.
    pub fn encoded_bytes(&self) -> usize {
        LENGTH_BYTES + size_of_val(&self.kind) + self.body.len()
    }

    /// Decodes a frame from a leaf server.
    ///
    /// # Errors
    /// The frame violates the protocol, or the leaf server rejects a frame with it.
    pub fn decode(&self) -> Result<LeafFrame<'f>, ProtocolError> {
        match self.kind {
            ANSWER => decode_answer(self.body).map(LeafFrame::Answer),
            HEALTH => Ok(LeafFrame::Health(decode_health(self.body))),
            REJECTED_FRAME => {
                let reason = &self.body[..self.body.len().min(MAX_REASON_BYTES)];
                Err(ProtocolError::FrameRejected(String::from_utf8_lossy(reason).into_owned()))
            }
            other => Err(ProtocolError::UnknownKind(other)),
        }
    }
}

/// Decodes a line `name outcome score report` that is followed by the value. The report extends to the end of the line;
/// a malformed report does not invalidate the answer.
fn decode_answer(body: &[u8]) -> Result<Answer<'_>, ProtocolError> {
    let line_end = body.iter().position(|byte| *byte == b'\n').ok_or(ProtocolError::MalformedAnswer)?;
    let value = &body[line_end + 1..];
    let mut fields =
        body[..line_end].splitn(4, |byte| *byte == b' ').map(|field| std::str::from_utf8(field).ok());
    let mut next_field = || fields.next().flatten();
    let attempt_name = next_field().ok_or(ProtocolError::MalformedAnswer)?;
    let outcome = match next_field() {
        Some("good") => PartOutcome::Served,
        Some("bad") => PartOutcome::Failed,
        Some("later") => PartOutcome::Rejected,
        _ => return Err(ProtocolError::MalformedAnswer),
    };
    let score = next_field().ok_or(ProtocolError::MalformedAnswer)?;
    let report = next_field().and_then(parse_load_report);
    // Clients receive values as strings, so a value that is not valid UTF-8 could not be passed on unchanged.
    if score.parse::<f64>().is_err() || std::str::from_utf8(value).is_err() {
        return Err(ProtocolError::MalformedAnswer);
    }
    Ok(Answer { attempt_name, outcome, value, report })
}

/// Decodes the answer to a health check. Only the body `bad` means unhealthy; a malformed load report is ignored.
fn decode_health(body: &[u8]) -> HealthReport {
    let text = String::from_utf8_lossy(body);
    let text = text.trim();
    HealthReport { healthy: text != "bad", report: parse_load_report(text) }
}
