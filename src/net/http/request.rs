//! Parses a client's request. A pure function of the bytes that have arrived; the session reads them.

use super::response::Status;
use crate::aggregator::NewQuery;
use crate::clock::Millis;
use crate::net::chunked::{BodyState, ChunkDecoder};
use crate::net::query_body::{PartBody, QueryBody, is_valid_idempotency_key, is_valid_name};
use bytes::{Bytes, BytesMut};
use miniserde::json;
use std::fmt;

/// Longest body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Longest request line with headers.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Most headers.
const MAX_HEADERS: usize = 64;

/// Why a request is rejected before the aggregator sees it. The text goes to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    NotHttp,
    HeadersTooLong,
    DuplicateHeader,
    HeaderNotText,
    MissingHeader(&'static str),
    InvalidName(&'static str),
    InvalidTime(&'static str),
    InvalidContentLength,
    LengthAndChunks,
    UnknownTransferCoding,
    MalformedChunk,
    BodyTooLong,
    BodyNotText,
    BodyNotQuery,
    MethodNotAllowed,
    NotFound,
    /// The rest of the request did not arrive in time.
    Timeout,
}

impl RequestError {
    /// The response's status.
    pub fn status(self) -> Status {
        match self {
            Self::HeadersTooLong => Status::RequestHeaderFieldsTooLarge,
            Self::UnknownTransferCoding => Status::NotImplemented,
            Self::BodyTooLong => Status::ContentTooLarge,
            Self::MethodNotAllowed => Status::MethodNotAllowed,
            Self::NotFound => Status::NotFound,
            Self::Timeout => Status::RequestTimeout,
            Self::NotHttp
            | Self::DuplicateHeader
            | Self::HeaderNotText
            | Self::MissingHeader(_)
            | Self::InvalidName(_)
            | Self::InvalidTime(_)
            | Self::InvalidContentLength
            | Self::LengthAndChunks
            | Self::MalformedChunk
            | Self::BodyNotText
            | Self::BodyNotQuery => Status::BadRequest,
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotHttp => f.write_str("no HTTP request"),
            Self::HeadersTooLong => f.write_str("the headers are too long"),
            Self::DuplicateHeader => f.write_str("a header is there twice"),
            Self::HeaderNotText => f.write_str("a header that is no text"),
            Self::MissingHeader(header) => write!(f, "{header} is missing"),
            Self::InvalidName(header) => write!(f, "{header} is no word"),
            Self::InvalidTime(header) => write!(f, "{header} is no time"),
            Self::InvalidContentLength => f.write_str("Content-Length is no number"),
            Self::LengthAndChunks => f.write_str("a body with both a length and chunks"),
            Self::UnknownTransferCoding => f.write_str("unknown transfer coding"),
            Self::MalformedChunk => f.write_str("a bad chunk"),
            Self::BodyTooLong => f.write_str("the body is over 64 KiB"),
            Self::BodyNotText => f.write_str("the body is no text"),
            Self::BodyNotQuery => f.write_str("the body is no query"),
            Self::MethodNotAllowed => f.write_str("not with this method"),
            Self::NotFound => f.write_str("nothing is here"),
            Self::Timeout => f.write_str("the request did not come in time"),
        }
    }
}

impl std::error::Error for RequestError {}

/// What the bytes that have arrived hold.
pub(super) enum Parsed {
    /// The beginning of a request.
    Incomplete {
        /// The client waits for a `100 Continue` before it sends the body.
        continue_expected: bool,
    },
    /// A whole request.
    Complete(ParsedRequest),
}

/// A whole request.
pub(super) struct ParsedRequest {
    pub operation: Operation,
    /// The client keeps the connection for further requests.
    pub keep_alive: bool,
    /// Bytes of the input that come after this request.
    pub bytes_behind: usize,
}

/// What a client asks for.
pub(super) enum Operation {
    Health,
    Metrics,
    Query(NewQuery),
}

/// Parses the first request of the input.
///
/// # Errors
/// Why it is rejected; where the next request begins cannot be known then.
pub(super) fn parse(input: &[u8]) -> Result<Parsed, RequestError> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut header_storage);
    let head_bytes = match head.parse(input) {
        Ok(httparse::Status::Complete(head_bytes)) if head_bytes <= MAX_HEAD_BYTES => head_bytes,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => {
            return Ok(Parsed::Incomplete { continue_expected: false });
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadersTooLong),
        Err(_) => return Err(RequestError::NotHttp),
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
    Ok(Parsed::Complete(ParsedRequest { operation, keep_alive, bytes_behind: body.bytes_behind }))
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
    /// A header's value, if it is there.
    fn get(self, name: &str) -> Result<Option<&'h str>, RequestError> {
        let mut matching = self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        let first = matching.next();
        // Which of two values a proxy went by cannot be known, which lets requests be smuggled.
        if matching.next().is_some() && !name.eq_ignore_ascii_case("connection") {
            return Err(RequestError::DuplicateHeader);
        }
        let Some(header) = first else { return Ok(None) };
        let value = std::str::from_utf8(header.value).map_err(|_| RequestError::HeaderNotText)?;
        Ok(Some(value.trim()))
    }

    /// A header's value, where a query must have it; `name` is as the platform's pages write it.
    fn require(self, name: &'static str) -> Result<&'h str, RequestError> {
        self.get(name)?.ok_or(RequestError::MissingHeader(name))
    }
}

/// How a body's end is known.
enum BodyFraming {
    Length(usize),
    Chunked,
}

/// A whole body.
struct Body {
    bytes: Bytes,
    /// Bytes that have arrived after it.
    bytes_behind: usize,
}

impl BodyFraming {
    fn of(headers: Headers<'_>) -> Result<Self, RequestError> {
        let length = content_length(headers)?;
        match headers.get("transfer-encoding")? {
            None => Ok(BodyFraming::Length(length.unwrap_or(0))),
            // Both together let requests be smuggled past a proxy.
            Some(_) if length.is_some() => Err(RequestError::LengthAndChunks),
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
            Some(_) => Err(RequestError::UnknownTransferCoding),
        }
    }

    /// Reads the body from what has arrived after the head; none until all of it is in.
    fn read(&self, after_head: &[u8]) -> Result<Option<Body>, RequestError> {
        match *self {
            BodyFraming::Length(length) => Ok(after_head.get(..length).map(|bytes| Body {
                bytes: Bytes::copy_from_slice(bytes),
                bytes_behind: after_head.len() - length,
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

/// Decodes from the start with every read: bodies are small, and no state is kept between reads.
fn read_chunked(after_head: &[u8]) -> Result<Option<Body>, RequestError> {
    let mut raw = BytesMut::from(after_head);
    let mut body = BytesMut::new();
    let state =
        ChunkDecoder::default().decode(&mut raw, &mut body).map_err(|_| RequestError::MalformedChunk)?;
    // Sizes and trailers count too: those alone could go on for ever.
    if body.len() > MAX_BODY_BYTES || after_head.len() > 2 * MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLong);
    }
    match state {
        BodyState::Incomplete => Ok(None),
        BodyState::Complete => Ok(Some(Body { bytes: body.freeze(), bytes_behind: raw.len() })),
    }
}

/// Reads a query from its headers and body. The platform's header names are mapped to the field's terms here.
fn query(headers: Headers<'_>, body: &[u8]) -> Result<NewQuery, RequestError> {
    let name = headers.require("Req-Id")?;
    if !is_valid_name(name) {
        return Err(RequestError::InvalidName("Req-Id"));
    }
    let deadline = headers.require("Req-Deadline")?;
    let text = std::str::from_utf8(body).map_err(|_| RequestError::BodyNotText)?;
    let body: QueryBody = json::from_str(text).map_err(|_| RequestError::BodyNotQuery)?;
    let class = headers.require("Req-Kind")?.to_owned();
    let tenant = headers.get("req-owner")?.map(str::to_owned);
    let time_left = parse_time(deadline).ok_or(RequestError::InvalidTime("Req-Deadline"))?;
    let is_retry = headers.get("req-retry")? == Some("1");
    let idempotency_key = headers.get("idempotency-key")?;
    if idempotency_key.is_some_and(|key| !is_valid_idempotency_key(key)) {
        return Err(RequestError::InvalidName("Idempotency-Key"));
    }
    Ok(NewQuery {
        request_id: name.into(),
        class,
        tenant,
        time_left: Some(time_left),
        is_retry,
        payload: body.payload.into(),
        idempotency_key: idempotency_key.map(Into::into),
        parts: body.parts.iter().map(PartBody::to_part).collect(),
    })
}

/// A number with its unit, `m` for milliseconds or `u` for microseconds.
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
