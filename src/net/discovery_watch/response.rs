//! Parses discovery's response: its head, and the JSON lines of its body. Does no I/O.

use crate::config::parse_endpoint_list;
use crate::endpoints::EndpointList;
use crate::json::{Field, FieldError, ObjectScanner, ScanError, ScanLimits};
use crate::net::chunked::{BodyState, ChunkDecoder, MalformedChunk};
use bytes::{Buf, BytesMut};
use miniserde::json::Value;
use std::fmt;

/// Maximum length of a line, where memory is ample.
const MAX_LINE_BYTES: usize = 4 << 20;
/// Share of the memory limit that a line may have: one part in this many.
const LINE_DIVISOR: usize = 16;
/// Memory of the process for each value that a line may have.
const MEMORY_PER_VALUE_BYTES: usize = 512;
/// Maximum depth of nested values; endpoint lists have three levels.
const MAX_DEPTH: u32 = 16;
/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;

/// The error of a response that cannot be parsed; the last valid list stays in force.
#[derive(Debug)]
pub(super) enum MalformedResponse {
    Head(httparse::Error),
    HeadTooLong,
    Chunk(MalformedChunk),
    LineTooLong,
    Line(ScanError),
    NotUtf8(std::str::Utf8Error),
    NotJson,
    List(FieldError),
}

impl fmt::Display for MalformedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Head(error) => error.fmt(f),
            Self::HeadTooLong => f.write_str("the response head is too long"),
            Self::Chunk(error) => error.fmt(f),
            Self::LineTooLong => f.write_str("a line is too long"),
            Self::Line(error) => error.fmt(f),
            Self::NotUtf8(error) => error.fmt(f),
            Self::NotJson => f.write_str("a line is not JSON"),
            Self::List(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for MalformedResponse {}

/// Extracts endpoint lists from the response body as it arrives.
pub(super) struct BodyReader {
    /// `None` if the body is not chunked: it then ends with the connection.
    decoder: Option<ChunkDecoder>,
    body: Vec<u8>,
    limits: ListLimits,
    object: ObjectScanner,
}

/// Bounds on one line of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListLimits {
    line_bytes: usize,
    scan: ScanLimits,
}

impl ListLimits {
    /// The bounds for a process that may use this much memory.
    pub fn for_memory(memory_bytes: usize) -> Self {
        ListLimits {
            line_bytes: (memory_bytes / LINE_DIVISOR).min(MAX_LINE_BYTES),
            scan: ScanLimits { depth: MAX_DEPTH, values: memory_bytes / MEMORY_PER_VALUE_BYTES },
        }
    }
}

impl BodyReader {
    /// Creates a reader; `decoder` is `None` if the body is not chunked.
    pub fn new(decoder: Option<ChunkDecoder>, limits: ListLimits) -> Self {
        BodyReader { decoder, body: Vec::new(), limits, object: ObjectScanner::new(limits.scan) }
    }

    /// Whether the body received so far ends between two lists.
    pub fn is_between_lines(&self) -> bool {
        self.object.is_before_object()
    }

    /// Checks the length of the line that has begun.
    ///
    /// # Errors
    /// The line is too long.
    pub fn check_line_length(&self) -> Result<(), MalformedResponse> {
        if self.body.len() > self.limits.line_bytes { Err(MalformedResponse::LineTooLong) } else { Ok(()) }
    }

    /// Decodes received bytes and appends them to the body.
    ///
    /// # Errors
    /// The chunked encoding is violated.
    pub fn decode(&mut self, raw: &mut BytesMut) -> Result<BodyState, MalformedResponse> {
        if let Some(decoder) = &mut self.decoder {
            let decoded = decoder.decode(raw, &mut self.body).map_err(MalformedResponse::Chunk)?;
            raw.advance(decoded.consumed_bytes);
            Ok(decoded.state)
        } else {
            self.body.extend_from_slice(raw);
            raw.clear();
            Ok(BodyState::Incomplete)
        }
    }

    /// Removes the next complete list from the body; `None` if it has not arrived yet.
    ///
    /// # Errors
    /// The list is malformed.
    pub fn next_list(&mut self) -> Result<Option<EndpointList>, MalformedResponse> {
        let Some(end) = self.object.find_end(&self.body).map_err(MalformedResponse::Line)? else {
            return Ok(None);
        };
        let list = parse_list(&self.body[..end])?;
        self.body.drain(..end);
        self.object = ObjectScanner::new(self.limits.scan);
        Ok(Some(list))
    }

    /// Drops the bytes between two objects; whether there were any. Discovery sends empty lines as a heartbeat.
    pub fn skip_empty_lines(&mut self) -> bool {
        if !self.object.is_before_object() {
            return false;
        }
        let skipped_any = !self.body.is_empty();
        self.object = ObjectScanner::new(self.limits.scan);
        self.body = Vec::new();
        skipped_any
    }
}

/// The head of a response.
pub(super) struct ResponseHead {
    pub status: u16,
    /// Whether the body has the chunked transfer coding.
    pub is_chunked: bool,
}

/// Removes the response head from the input once it is complete; `None` until then.
///
/// # Errors
/// The head is not valid HTTP, or is longer than [`MAX_HEAD_BYTES`].
pub(super) fn parse_head(raw: &mut BytesMut) -> Result<Option<ResponseHead>, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_bytes = match response.parse(raw).map_err(MalformedResponse::Head)? {
        httparse::Status::Complete(head_bytes) => head_bytes,
        httparse::Status::Partial if raw.len() > MAX_HEAD_BYTES => {
            return Err(MalformedResponse::HeadTooLong);
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = response.code.unwrap_or(0);
    let is_chunked = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding") && header.value.eq_ignore_ascii_case(b"chunked")
    });
    drop(raw.split_to(head_bytes));
    Ok(Some(ResponseHead { status, is_chunked }))
}

fn parse_list(line: &[u8]) -> Result<EndpointList, MalformedResponse> {
    let text = std::str::from_utf8(line).map_err(MalformedResponse::NotUtf8)?;
    let value: Value = miniserde::json::from_str(text).map_err(|_| MalformedResponse::NotJson)?;
    parse_endpoint_list(&Field::root(&value)).map_err(MalformedResponse::List)
}
