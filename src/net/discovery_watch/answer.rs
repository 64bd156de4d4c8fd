//! Reads discovery's answer: its head, and the JSON lines of its body. Nothing here reads a socket.

use crate::config::parse_endpoint_list;
use crate::endpoints::EndpointList;
use crate::json::{Field, FieldError, ObjectScanner, ScanError};
use crate::net::chunked::{BodyState, ChunkDecoder, MalformedChunk};
use bytes::BytesMut;
use miniserde::json::Value;
use std::fmt;

/// Longest line: against an answer that never ends one.
const MAX_LINE_BYTES: usize = 4 << 20;
/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Most headers of an answer.
const MAX_HEADERS: usize = 64;

/// What in discovery's answer cannot be read; the last valid list stays in force.
#[derive(Debug)]
pub(super) enum MalformedAnswer {
    Head(httparse::Error),
    HeadTooLong,
    Chunk(MalformedChunk),
    LineTooLong,
    Line(ScanError),
    NotText(std::str::Utf8Error),
    NotJson,
    List(FieldError),
}

impl fmt::Display for MalformedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Head(error) => error.fmt(f),
            Self::HeadTooLong => f.write_str("a head without an end"),
            Self::Chunk(error) => error.fmt(f),
            Self::LineTooLong => f.write_str("a line without an end"),
            Self::Line(error) => error.fmt(f),
            Self::NotText(error) => error.fmt(f),
            Self::NotJson => f.write_str("a line that is not JSON"),
            Self::List(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for MalformedAnswer {}

/// Takes lists out of the answer's body as it arrives.
pub(super) struct BodyReader {
    /// None where the body comes without chunks and ends with the connection.
    decoder: Option<ChunkDecoder>,
    body: BytesMut,
    object: ObjectScanner,
}

impl BodyReader {
    /// Reads a body; `decoder` is none where it comes without chunks.
    pub fn new(decoder: Option<ChunkDecoder>) -> Self {
        BodyReader { decoder, body: BytesMut::new(), object: ObjectScanner::default() }
    }

    /// Whether what has arrived of the body ends between two lists.
    pub fn is_between_lines(&self) -> bool {
        self.object.is_before_object()
    }

    /// # Errors
    /// The line that has begun is too long.
    pub fn check_line_length(&self) -> Result<(), MalformedAnswer> {
        if self.body.len() > MAX_LINE_BYTES { Err(MalformedAnswer::LineTooLong) } else { Ok(()) }
    }

    /// Moves what has arrived into the body.
    ///
    /// # Errors
    /// The chunked encoding is violated.
    pub fn decode(&mut self, raw: &mut BytesMut) -> Result<BodyState, MalformedAnswer> {
        if let Some(decoder) = &mut self.decoder {
            decoder.decode(raw, &mut self.body).map_err(MalformedAnswer::Chunk)
        } else {
            self.body.unsplit(raw.split());
            Ok(BodyState::Incomplete)
        }
    }

    /// Takes the next list that has arrived completely.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn next_list(&mut self) -> Result<Option<EndpointList>, MalformedAnswer> {
        let Some(end) = self.object.find_end(&self.body).map_err(MalformedAnswer::Line)? else {
            return Ok(None);
        };
        let list = parse_list(&self.body.split_to(end))?;
        self.object = ObjectScanner::default();
        Ok(Some(list))
    }

    /// Drops what is outside of objects; whether there was any. Discovery sends empty lines as a heartbeat.
    pub fn skip_empty_lines(&mut self) -> bool {
        if !self.object.is_before_object() {
            return false;
        }
        let has_skipped = !self.body.is_empty();
        self.object = ObjectScanner::default();
        self.body = BytesMut::new();
        has_skipped
    }
}

/// The head of an answer.
pub(super) struct AnswerHead {
    pub status: u16,
    /// Whether the body comes in chunks.
    pub is_chunked: bool,
}

/// Takes the answer's head off the input once it is in.
///
/// # Errors
/// It is no HTTP, or too long.
pub(super) fn parse_head(raw: &mut BytesMut) -> Result<Option<AnswerHead>, MalformedAnswer> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_bytes = match response.parse(raw).map_err(MalformedAnswer::Head)? {
        httparse::Status::Complete(head_bytes) => head_bytes,
        httparse::Status::Partial if raw.len() > MAX_HEAD_BYTES => {
            return Err(MalformedAnswer::HeadTooLong);
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = response.code.unwrap_or(0);
    let is_chunked = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding") && header.value.eq_ignore_ascii_case(b"chunked")
    });
    drop(raw.split_to(head_bytes));
    Ok(Some(AnswerHead { status, is_chunked }))
}

fn parse_list(line: &[u8]) -> Result<EndpointList, MalformedAnswer> {
    let text = std::str::from_utf8(line).map_err(MalformedAnswer::NotText)?;
    let value: Value = miniserde::json::from_str(text).map_err(|_| MalformedAnswer::NotJson)?;
    parse_endpoint_list(&Field::root(&value)).map_err(MalformedAnswer::List)
}
