//! Parses the head of a request into what the server needs of it, so that the head's text can be dropped while the body is
//! awaited.

use super::request_error::RequestError;
use crate::clock::Millis;
use crate::net::query_body::{is_valid_idempotency_key, is_valid_name, is_valid_request_id};
use std::sync::Arc;

/// Maximum size of a decoded request body.
pub(super) const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of the request line and headers together.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers.
const MAX_HEADERS: usize = 64;

/// The head of a request.
pub(super) struct RequestHead {
    /// An error is reported once the body is complete, so that the client has sent its whole request.
    pub target: Result<Target, RequestError>,
    pub framing: BodyFraming,
    /// Whether the client wants to reuse the connection for further requests.
    pub keep_alive: bool,
    /// Whether the client expects a `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// What a client requests.
pub(super) enum Target {
    Health,
    Metrics,
    Query(QueryHeaders),
}

/// The fields of a query that are in headers, with the platform's header names mapped to the terms of this code base.
pub(super) struct QueryHeaders {
    pub request_id: Arc<str>,
    pub class: String,
    pub tenant: Option<String>,
    pub time_left: Millis,
    pub is_retry: bool,
    pub idempotency_key: Option<Arc<str>>,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    Length(usize),
    Chunked,
}

/// A head at the start of the input, and its length there.
pub(super) struct ParsedHead {
    pub head: RequestHead,
    pub bytes: usize,
}

/// Parses the head at the start of the input; `None` if it is not complete yet.
///
/// # Errors
/// Returns why the request is rejected; the start of the next request on the connection is then unknown.
pub(super) fn parse(input: &[u8]) -> Result<Option<ParsedHead>, RequestError> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut header_storage);
    let bytes = match head.parse(input) {
        Ok(httparse::Status::Complete(bytes)) if bytes <= MAX_HEAD_BYTES => bytes,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadersTooLong),
        Err(_) => return Err(RequestError::MalformedHead),
    };
    let headers = Headers(&*head.headers);
    let framing = BodyFraming::of(headers)?;
    let method = head.method.unwrap_or("");
    let path = head.path.unwrap_or("").split('?').next().unwrap_or("");
    let target = target(method, path, headers);
    let keep_alive = keeps_alive(head.version, headers)?;
    let expect = headers.get("expect")?;
    let expects_continue = expect.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    let head = RequestHead { target, framing, keep_alive, expects_continue };
    Ok(Some(ParsedHead { head, bytes }))
}

fn keeps_alive(minor_version: Option<u8>, headers: Headers<'_>) -> Result<bool, RequestError> {
    let connection = headers.get("connection")?.unwrap_or("").to_ascii_lowercase();
    match minor_version {
        Some(0) => Ok(connection.contains("keep-alive")),
        _ => Ok(!connection.contains("close")),
    }
}

fn target(method: &str, path: &str, headers: Headers<'_>) -> Result<Target, RequestError> {
    let is_query_path = path == "/api" || path.starts_with("/api/");
    match (method, path) {
        ("GET", "/healthz") => Ok(Target::Health),
        ("GET", "/metrics") => Ok(Target::Metrics),
        ("POST", _) if is_query_path => query_headers(headers).map(Target::Query),
        (_, "/healthz" | "/metrics") => Err(RequestError::MethodNotAllowed),
        _ if is_query_path => Err(RequestError::MethodNotAllowed),
        _ => Err(RequestError::NotFound),
    }
}

fn query_headers(headers: Headers<'_>) -> Result<QueryHeaders, RequestError> {
    let request_id = headers.require("Req-Id")?;
    if !is_valid_request_id(request_id) {
        return Err(RequestError::InvalidIdentifier("Req-Id"));
    }
    let class = headers.require("Req-Kind")?;
    if !is_valid_name(class) {
        return Err(RequestError::InvalidIdentifier("Req-Kind"));
    }
    let tenant = headers.get("req-owner")?;
    if tenant.is_some_and(|tenant| !is_valid_name(tenant)) {
        return Err(RequestError::InvalidIdentifier("Req-Owner"));
    }
    let deadline = headers.require("Req-Deadline")?;
    let time_left = parse_time(deadline).ok_or(RequestError::InvalidTime("Req-Deadline"))?;
    let idempotency_key = headers.get("idempotency-key")?;
    if idempotency_key.is_some_and(|key| !is_valid_idempotency_key(key)) {
        return Err(RequestError::InvalidIdentifier("Idempotency-Key"));
    }
    Ok(QueryHeaders {
        request_id: request_id.into(),
        class: class.to_owned(),
        tenant: tenant.map(str::to_owned),
        time_left,
        is_retry: headers.get("req-retry")? == Some("1"),
        idempotency_key: idempotency_key.map(Into::into),
    })
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
