//! Renders responses: status line, headers and body.

use super::request_error::RequestError;
use crate::aggregator::Reply;
use bytes::Bytes;
use miniserde::{Serialize, json};

/// The interim response to `Expect: 100-continue`.
pub(super) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const TEXT: &str = "text/plain";
const JSON: &str = "application/json";

/// The response statuses that this server uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    Ok,
    BadRequest,
    NotFound,
    MethodNotAllowed,
    RequestTimeout,
    ContentTooLarge,
    RequestHeaderFieldsTooLarge,
    NotImplemented,
    BadGateway,
    ServiceUnavailable,
    GatewayTimeout,
}

impl Status {
    /// Status code and reason phrase, as in a status line.
    const fn line(self) -> &'static str {
        match self {
            Self::Ok => "200 OK",
            Self::BadRequest => "400 Bad Request",
            Self::NotFound => "404 Not Found",
            Self::MethodNotAllowed => "405 Method Not Allowed",
            Self::RequestTimeout => "408 Request Timeout",
            Self::ContentTooLarge => "413 Content Too Large",
            Self::RequestHeaderFieldsTooLarge => "431 Request Header Fields Too Large",
            Self::NotImplemented => "501 Not Implemented",
            Self::BadGateway => "502 Bad Gateway",
            Self::ServiceUnavailable => "503 Service Unavailable",
            Self::GatewayTimeout => "504 Gateway Timeout",
        }
    }
}

/// The JSON body of an answer; it is serialized with the platform's field names.
#[derive(Serialize)]
struct AnswerBody {
    #[serde(rename = "total")]
    complete: bool,
    #[serde(rename = "answers")]
    rows: Vec<RowBody>,
}

/// One row of a part's value.
#[derive(Serialize)]
struct RowBody {
    #[serde(rename = "range")]
    shard: u32,
    #[serde(rename = "blob")]
    value: String,
}

/// Renders the response to a request; `close` adds the header that announces the end of the connection.
pub(super) fn render_reply(reply: Reply, close: bool) -> Vec<u8> {
    match reply {
        Reply::Answer { complete, values } => {
            let body = json::to_string(&answer_body(complete, &values));
            render(Status::Ok, JSON, "", body.as_bytes(), close)
        }
        Reply::Rejected { retry_after } => {
            let retry_after = match retry_after {
                Some(millis) => format!("Retry-After: {:.3}\r\n", millis / 1e3),
                None => String::new(),
            };
            render(Status::ServiceUnavailable, TEXT, &retry_after, b"refused\n", close)
        }
        Reply::Failed => render_text(Status::BadGateway, "failed\n", close),
        Reply::Expired => render_text(Status::GatewayTimeout, "expired\n", close),
        Reply::BadRequest(reason) => render_text(Status::BadRequest, &format!("{reason}\n"), close),
        Reply::Health { ready: true } => render_text(Status::Ok, "ready\n", close),
        Reply::Health { ready: false } => render_text(Status::ServiceUnavailable, "not ready\n", close),
        Reply::Metrics(text) => render_text(Status::Ok, &text, close),
    }
}

/// Renders the response to a request that is rejected before it reaches the aggregator; it closes the connection.
pub(super) fn render_error(error: RequestError) -> Vec<u8> {
    render_text(error.status(), &format!("{error}\n"), true)
}

/// Builds one entry per row: Flight leaf servers may return several rows for a part.
fn answer_body(complete: bool, values: &[(u32, Vec<Bytes>)]) -> AnswerBody {
    let mut rows = Vec::new();
    for (shard, shard_rows) in values {
        for row in shard_rows {
            rows.push(RowBody { shard: *shard, value: String::from_utf8_lossy(row).into_owned() });
        }
    }
    AnswerBody { complete, rows }
}

fn render_text(status: Status, body: &str, close: bool) -> Vec<u8> {
    render(status, TEXT, "", body.as_bytes(), close)
}

/// Renders a complete response. `extra_headers` are complete header lines, each terminated by CRLF.
fn render(status: Status, content_type: &str, extra_headers: &str, body: &[u8], close: bool) -> Vec<u8> {
    let status_line = status.line();
    let length = body.len();
    let connection = if close { "Connection: close\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 {status_line}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n{extra_headers}{connection}\r\n"
    );
    [head.as_bytes(), body].concat()
}
