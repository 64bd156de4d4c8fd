//! The platform's frames: a length of four bytes (most significant first), a letter for the frame's kind, and its body.
//! Encoding and decoding alone; nothing here reads a socket.

use super::load_report::parse_load_report;
use crate::aggregator::PartOutcome;
use crate::balancer::LoadReport;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::fmt;

/// Parts for the leaf server.
pub(super) const CALL: u8 = b'm';
/// Cancels an attempt.
pub(super) const CANCEL: u8 = b'n';
/// A health check, and its answer.
pub(super) const HEALTH: u8 = b'p';
/// The answer to a part.
const ANSWER: u8 = b'q';
/// The leaf server could not use a frame.
const REJECTED_FRAME: u8 = b'r';

/// Bytes of the length.
const LENGTH_BYTES: usize = 4;
/// Longest frame without its length: against a length that no answer to a client could have.
const MAX_FRAME_BYTES: usize = 80 << 10;

/// What a leaf server sent that violates the protocol.
#[derive(Debug)]
pub(super) enum ProtocolError {
    FrameLength(usize),
    UnknownKind(u8),
    UnreadableAnswer,
    /// A frame did not arrive in time.
    IncompleteFrame,
    /// An answer to an attempt that was not sent.
    UnknownAttempt,
    /// The leaf server's own words on a frame of this side.
    FrameRejected(String),
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FrameLength(bytes) => write!(f, "a frame of {bytes} bytes"),
            Self::UnknownKind(letter) => write!(f, "a frame of unknown letter {:?}", char::from(*letter)),
            Self::UnreadableAnswer => f.write_str("an answer that cannot be read"),
            Self::IncompleteFrame => f.write_str("a frame that does not end"),
            Self::UnknownAttempt => f.write_str("an answer to what was not asked"),
            Self::FrameRejected(reason) => write!(f, "the leaf server could not use a frame: {reason}"),
        }
    }
}

impl std::error::Error for ProtocolError {}

/// A complete frame.
pub(super) struct Frame {
    kind: u8,
    body: Bytes,
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
    /// Text; of no meaning unless served.
    pub value: Bytes,
    pub report: Option<LoadReport>,
}

/// The answer to a health check.
pub(super) struct HealthReport {
    pub healthy: bool,
    pub report: Option<LoadReport>,
}

/// Appends a frame.
pub(super) fn encode(output: &mut BytesMut, kind: u8, body: &[u8]) {
    output.put_u32(body.len() as u32 + 1);
    output.put_u8(kind);
    output.put(body);
}

/// Takes a complete frame off the input, if there is one.
///
/// # Errors
/// A length that no frame has.
pub(super) fn next_frame(input: &mut BytesMut) -> Result<Option<Frame>, ProtocolError> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let frame_bytes = u32::from_be_bytes(*length) as usize;
    if frame_bytes == 0 || frame_bytes > MAX_FRAME_BYTES {
        return Err(ProtocolError::FrameLength(frame_bytes));
    }
    if input.len() < LENGTH_BYTES + frame_bytes {
        return Ok(None);
    }
    input.advance(LENGTH_BYTES);
    let mut body = input.split_to(frame_bytes).freeze();
    let kind = body.get_u8();
    Ok(Some(Frame { kind, body }))
}

impl Frame {
    /// Decodes what a leaf server has sent.
    ///
    /// # Errors
    /// What in it violates the protocol.
    pub fn decode(&self) -> Result<LeafFrame<'_>, ProtocolError> {
        match self.kind {
            ANSWER => decode_answer(&self.body).map(LeafFrame::Answer),
            HEALTH => Ok(LeafFrame::Health(decode_health(&self.body))),
            REJECTED_FRAME => {
                Err(ProtocolError::FrameRejected(String::from_utf8_lossy(&self.body).into_owned()))
            }
            other => Err(ProtocolError::UnknownKind(other)),
        }
    }
}

/// A line `name outcome score report`, then the value. The report is all the rest of the line; one that cannot be read
/// takes nothing from the answer.
fn decode_answer(body: &Bytes) -> Result<Answer<'_>, ProtocolError> {
    let line_end = body.iter().position(|byte| *byte == b'\n').ok_or(ProtocolError::UnreadableAnswer)?;
    let value = body.slice(line_end + 1..);
    let mut fields =
        body[..line_end].splitn(4, |byte| *byte == b' ').map(|field| std::str::from_utf8(field).ok());
    let mut next_field = || fields.next().flatten();
    let attempt_name = next_field().ok_or(ProtocolError::UnreadableAnswer)?;
    let outcome = match next_field() {
        Some("good") => PartOutcome::Served,
        Some("bad") => PartOutcome::Failed,
        Some("later") => PartOutcome::Rejected,
        _ => return Err(ProtocolError::UnreadableAnswer),
    };
    let score = next_field().ok_or(ProtocolError::UnreadableAnswer)?;
    let report = next_field().and_then(parse_load_report);
    // Values are passed on as text: one that is none could not be passed on as it was given.
    if score.parse::<f64>().is_err() || std::str::from_utf8(&value).is_err() {
        return Err(ProtocolError::UnreadableAnswer);
    }
    Ok(Answer { attempt_name, outcome, value, report })
}

/// A report that cannot be read is no report; the leaf server is healthy all the same.
fn decode_health(body: &Bytes) -> HealthReport {
    let text = String::from_utf8_lossy(body);
    let text = text.trim();
    HealthReport { healthy: text != "bad", report: parse_load_report(text) }
}
