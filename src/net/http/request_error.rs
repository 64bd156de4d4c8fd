//! Why the HTTP server itself rejects a request.

use super::response::Status;
use std::fmt;

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
    /// There is no memory for the request, which has not been forwarded.
    MemoryExhausted,
    /// The client has pipelined more than is kept. The requests after those that were answered have not been forwarded.
    PipelineTooLong,
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
            Self::MemoryExhausted | Self::PipelineTooLong => Status::ServiceUnavailable,
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
            Self::MemoryExhausted => f.write_str("refused: no memory is left for the request"),
            Self::PipelineTooLong => f.write_str("refused: too much was sent before an answer"),
        }
    }
}

impl std::error::Error for RequestError {}
