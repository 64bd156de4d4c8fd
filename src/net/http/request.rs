//! Parses client requests. Parsing is a pure function of the bytes received so far; the session does the I/O.

use super::response::Status;
use crate::aggregator::NewQuery;
use crate::clock::Millis;
use crate::net::chunked::{BodyState, ChunkDecoder};
use crate::net::query_body::{PartBody, QueryBody, is_valid_idempotency_key, is_valid_request_id};
use bytes::{Bytes, BytesMut};
use miniserde::json;
use std::fmt;

/// Maximum size of a decoded request body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of the request line and headers together.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers.
const MAX_HEADERS: usize = 64;

/// Why a request is rejected before it reaches the aggregator. The message is sent to the client as the response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    MalformedHead,
    HeadersTooLong,
    DuplicateHeader,
    HeaderNotUtf8,
    MissingHeader(&'static str),
    InvalidIdentifier(&'static str),
    InvalidTime(&'static str),
    InvalidContentLength,
    LengthWithTransferEncoding,
    UnknownTransferCoding,
    MalformedChunk,
    BodyTooLong,
    BodyNotUtf8,
    InvalidQuery,
    MethodNotAllowed,
    NotFound,
    /// The request was not complete within its timeout.
    Timeout,
}

impl RequestError {
    /// The status of the error response.
    pub fn status(self) -> Status {
        match self {
            Self::HeadersTooLong => Status::RequestHeaderFieldsTooLarge,
            Self::UnknownTransferCoding => Status::NotImplemented,
            Self::BodyTooLong => Status::ContentTooLarge,
            Self::MethodNotAllowed => Status::MethodNotAllowed,
            Self::NotFound => Status::NotFound,
            Self::Timeout => Status::RequestTimeout,
            Self::MalformedHead
            | Self::DuplicateHeader
            | Self::HeaderNotUtf8
            | Self::MissingHeader(_)
            | Self::InvalidIdentifier(_)
            | Self::InvalidTime(_)
            | Self::InvalidContentLength
            | Self::LengthWithTransferEncoding
            | Self::MalformedChunk
            | Self::BodyNotUtf8
            | Self::InvalidQuery => Status::BadRequest,
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MalformedHead => f.write_str("no HTTP request"),
            Self::HeadersTooLong => f.write_str("the headers are too long"),
            Self::DuplicateHeader => f.write_str("a header is there twice"),
            Self::HeaderNotUtf8 => f.write_str("a header that is no text"),
            Self::MissingHeader(header) => write!(f, "{header} is missing"),
            Self::InvalidIdentifier(header) => write!(f, "{header} is no word"),
            Self::InvalidTime(header) => write!(f, "{header} is no time"),
            Self::InvalidContentLength => f.write_str("Content-Length is no number"),
            Self::LengthWithTransferEncoding => f.write_str("a body with both a length and chunks"),
            Self::UnknownTransferCoding => f.write_str("unknown transfer coding"),
            Self::MalformedChunk => f.write_str("a bad chunk"),
            Self::BodyTooLong => f.write_str("the body is over 64 KiB"),
            Self::BodyNotUtf8 => f.write_str("the body is no text"),
            Self::InvalidQuery => f.write_str("the body is no query"),
            Self::MethodNotAllowed => f.write_str("not with this method"),
            Self::NotFound => f.write_str("nothing is here"),
            Self::Timeout => f.write_str("the request did not come in time"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Result of parsing the bytes received so far.
pub(super) enum Parsed {
    /// The input is empty or ends within a request.
    Incomplete {
        /// The client expects a `100 Continue` before it sends the body.
        continue_expected: bool,
    },
    /// The input starts with a complete request.
    Complete(ParsedRequest),
}

/// A complete request.
pub(super) struct ParsedRequest {
    pub operation: Operation,
    /// Whether the client wants to reuse the connection for further requests.
    pub keep_alive: bool,
    /// Number of input bytes after this request.
    pub trailing_bytes: usize,
}

/// The operation that a client requests.
pub(super) enum Operation {
    Health,
    Metrics,
    Query(NewQuery),
}

/// Parses the first request of the input.
///
/// # Errors
/// Returns why the request is rejected; the start of the next request on the connection is then unknown.
pub(super) fn parse(input: &[u8]) -> Result<Parsed, RequestError> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut header_storage);
    let head_bytes = match head.parse(input) {
        Ok(httparse::Status::Complete(head_bytes)) if head_bytes <= MAX_HEAD_BYTES => head_bytes,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => {
            return Ok(Parsed::Incomplete { continue_expected: false });
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadersTooLong),
        Err(_) => return Err(RequestError::MalformedHead),
    };
    let headers = Headers(&*head.headers);
    let after_head = &input[head_bytes..];
    let framing = BodyFraming::of(headers)?;
    let Some(body) = framing.read(after_head)? else {
        let expect = headers.get("expect")?;
        let expected = expect.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        return Ok(Parsed::Incomplete { continue_expected: expected && after_head.is_empty() });
    };
    let keep_alive = keeps_alive(head.version, headers)?;
    let method = head.method.unwrap_or("");
    let path = head.path.unwrap_or("").split('?').next().unwrap_or("");
    let operation = operation(method, path, headers, &body.bytes)?;
    Ok(Parsed::Complete(ParsedRequest { operation, keep_alive, trailing_bytes: body.trailing_bytes }))
}

fn keeps_alive(minor_version: Option<u8>, headers: Headers<'_>) -> Result<bool, RequestError> {
    let connection = headers.get("connection")?.unwrap_or("").to_ascii_lowercase();
    match minor_version {
        Some(0) => Ok(connection.contains("keep-alive")),
        _ => Ok(!connection.contains("close")),
    }
}

fn operation(method: &str, path: &str, headers: Headers<'_>, body: &[u8]) -> Result<Operation, RequestError> {
    let is_query_path = path == "/api" || path.starts_with("/api/");
    match (method, path) {
        ("GET", "/healthz") => Ok(Operation::Health),
        ("GET", "/metrics") => Ok(Operation::Metrics),
        ("POST", _) if is_query_path => query(headers, body).map(Operation::Query),
        (_, "/healthz" | "/metrics") => Err(RequestError::MethodNotAllowed),
        _ if is_query_path => Err(RequestError::MethodNotAllowed),
        _ => Err(RequestError::NotFound),
    }
}

/// The headers of one request.
#[derive(Clone, Copy)]
struct Headers<'h>(&'h [httparse::Header<'h>]);

impl<'h> Headers<'h> {
    /// Returns a header's value, or `None` if the header is absent.
    fn get(self, name: &str) -> Result<Option<&'h str>, RequestError> {
        let mut matching = self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        let first = matching.next();
        // A proxy may have used either of two values, which would allow request smuggling.
        if matching.next().is_some() && !name.eq_ignore_ascii_case("connection") {
            return Err(RequestError::DuplicateHeader);
        }
        let Some(header) = first else { return Ok(None) };
        let value = std::str::from_utf8(header.value).map_err(|_| RequestError::HeaderNotUtf8)?;
        Ok(Some(value.trim()))
    }

    /// Returns the value of a required header; error messages show `name` as it is written here.
    fn require(self, name: &'static str) -> Result<&'h str, RequestError> {
        self.get(name)?.ok_or(RequestError::MissingHeader(name))
    }
}

/// How the end of a body is determined.
enum BodyFraming {
    Length(usize),
    Chunked,
}

/// A complete body.
struct Body {
    bytes: Bytes,
    /// Number of bytes received after the body.
    trailing_bytes: usize,
}

impl BodyFraming {
    fn of(headers: Headers<'_>) -> Result<Self, RequestError> {
        let length = content_length(headers)?;
        match headers.get("transfer-encoding")? {
            None => Ok(BodyFraming::Length(length.unwrap_or(0))),
            // A message with both headers would allow request smuggling past a proxy.
            Some(_) if length.is_some() => Err(RequestError::LengthWithTransferEncoding),
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
            Some(_) => Err(RequestError::UnknownTransferCoding),
        }
    }

    /// Reads the body from the bytes after the head; `None` until the body is complete.
    fn read(&self, after_head: &[u8]) -> Result<Option<Body>, RequestError> {
        match *self {
            BodyFraming::Length(length) => Ok(after_head.get(..length).map(|bytes| Body {
                bytes: Bytes::copy_from_slice(bytes),
                trailing_bytes: after_head.len() - length,
            })),
            BodyFraming::Chunked => read_chunked(after_head),
        }
    }
}

fn content_length(headers: Headers<'_>) -> Result<Option<usize>, RequestError> {
    let Some(text) = headers.get("content-length")? else { return Ok(None) };
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(RequestError::InvalidContentLength);
    }
    match text.parse::<usize>() {
        Ok(length) if length <= MAX_BODY_BYTES => Ok(Some(length)),
        _ => Err(RequestError::BodyTooLong),
    }
}

/// Decodes the body from its start on every read, which keeps no state between reads; bodies are small.
fn read_chunked(after_head: &[u8]) -> Result<Option<Body>, RequestError> {
    let mut raw = BytesMut::from(after_head);
    let mut body = BytesMut::new();
    let state =
        ChunkDecoder::default().decode(&mut raw, &mut body).map_err(|_| RequestError::MalformedChunk)?;
    // Limits the encoded bytes too: chunk-size lines and trailers alone could otherwise grow without bound.
    if body.len() > MAX_BODY_BYTES || after_head.len() > 2 * MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLong);
    }
    match state {
        BodyState::Incomplete => Ok(None),
        BodyState::Complete => Ok(Some(Body { bytes: body.freeze(), trailing_bytes: raw.len() })),
    }
}

/// Reads a query from its headers and body, and maps the platform's header names to the terms of this code base.
fn query(headers: Headers<'_>, body: &[u8]) -> Result<NewQuery, RequestError> {
    let request_id = headers.require("Req-Id")?;
    if !is_valid_request_id(request_id) {
        return Err(RequestError::InvalidIdentifier("Req-Id"));
    }
    let deadline = headers.require("Req-Deadline")?;
    let text = std::str::from_utf8(body).map_err(|_| RequestError::BodyNotUtf8)?;
    let body: QueryBody = json::from_str(text).map_err(|_| RequestError::InvalidQuery)?;
    let class = headers.require("Req-Kind")?.to_owned();
    let tenant = headers.get("req-owner")?.map(str::to_owned);
    let time_left = parse_time(deadline).ok_or(RequestError::InvalidTime("Req-Deadline"))?;
    let is_retry = headers.get("req-retry")? == Some("1");
    let idempotency_key = headers.get("idempotency-key")?;
    if idempotency_key.is_some_and(|key| !is_valid_idempotency_key(key)) {
        return Err(RequestError::InvalidIdentifier("Idempotency-Key"));
    }
    Ok(NewQuery {
        request_id: request_id.into(),
        class,
        tenant,
        time_left: Some(time_left),
        is_retry,
        payload: body.payload.into(),
        idempotency_key: idempotency_key.map(Into::into),
        parts: body.parts.iter().map(PartBody::to_part).collect(),
    })
}

/// Parses a non-negative number followed by its unit, `m` for milliseconds or `u` for microseconds.
fn parse_time(text: &str) -> Option<Millis> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit_millis = match unit {
        "m" => 1.0,
        "u" => 1e-3,
        _ => return None,
    };
    let time = number.parse::<f64>().ok()? * unit_millis;
    (time.is_finite() && time >= 0.0).then_some(time)
}
