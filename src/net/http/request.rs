//! Reads requests from the bytes received so far; the session does the I/O. Each byte is looked at a bounded number of times,
//! in however many pieces a request arrives.

use super::request_error::RequestError;
use super::request_head::{self, BodyFraming, MAX_BODY_BYTES, QueryHeaders, RequestHead, Target};
use crate::aggregator::{NewPart, NewQuery};
use crate::net::chunked::{BodyState, ChunkDecoder, Decoded};
use crate::net::memory::MemoryBudget;
use crate::net::query_body::{PartBody, QueryBody};
use crate::net::read_buffer::ReadBuffer;
use bytes::Bytes;
use miniserde::json;

/// Maximum size of a body in chunked transfer encoding: chunk sizes and trailers alone could grow without bound.
const MAX_ENCODED_BODY_BYTES: usize = 2 * MAX_BODY_BYTES;
/// Size of a query above which it counts towards the memory budget.
const SMALL_QUERY_BYTES: usize = 2 << 10;

/// Result of reading the bytes received so far.
pub(super) enum Progress {
    /// The input is empty or ends within a request.
    Incomplete {
        /// The client expects a `100 Continue` now.
        continue_expected: bool,
    },
    Complete(Request),
}

/// A complete request.
pub(super) struct Request {
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

/// Reads one request.
#[derive(Default)]
pub(super) struct RequestReader {
    /// Input bytes at which parsing the head was tried last.
    head_tried_at: usize,
    /// Input bytes that were searched for the head's end.
    searched_bytes: usize,
    body: Option<BodyReader>,
}

/// The body of a request whose head is complete.
struct BodyReader {
    head: RequestHead,
    continue_sent: bool,
    decoder: ChunkDecoder,
    /// Size of the decoded body at the start of the input.
    decoded_bytes: usize,
    /// Size of the encoded body that has been decoded.
    encoded_bytes: usize,
}

impl RequestReader {
    /// Reads what has arrived since the last call. The bytes of a complete request stay in the input until the caller
    /// consumes all but the trailing ones.
    ///
    /// # Errors
    /// Returns why the request is rejected; the start of the next request on the connection is then unknown.
    pub fn advance(
        &mut self,
        input: &mut ReadBuffer,
        budget: &MemoryBudget,
    ) -> Result<Progress, RequestError> {
        if self.body.is_none() {
            self.body = self.read_head(input)?;
        }
        let Some(body) = &mut self.body else { return Ok(Progress::Incomplete { continue_expected: false }) };
        let Some(body_bytes) = body.read(input)? else {
            let continue_expected = body.head.expects_continue && !body.continue_sent && input.is_empty();
            body.continue_sent |= continue_expected;
            return Ok(Progress::Incomplete { continue_expected });
        };
        let Some(BodyReader { head, .. }) = self.body.take() else {
            return Ok(Progress::Incomplete { continue_expected: false });
        };
        let operation = operation(head.target?, &input[..body_bytes], budget)?;
        let trailing_bytes = input.len() - body_bytes;
        Ok(Progress::Complete(Request { operation, keep_alive: head.keep_alive, trailing_bytes }))
    }

    fn read_head(&mut self, input: &mut ReadBuffer) -> Result<Option<BodyReader>, RequestError> {
        if !self.head_may_be_complete(input) {
            return Ok(None);
        }
        self.head_tried_at = input.len();
        let Some(parsed) = request_head::parse(input)? else { return Ok(None) };
        input.consume(parsed.bytes);
        Ok(Some(BodyReader {
            head: parsed.head,
            continue_sent: false,
            decoder: ChunkDecoder::default(),
            decoded_bytes: 0,
            encoded_bytes: 0,
        }))
    }

    /// Whether the head should be parsed: an empty line has arrived, or there is twice as much input as at the last try, so
    /// that malformed heads are detected early.
    fn head_may_be_complete(&mut self, input: &[u8]) -> bool {
        const LONGEST_SPLIT_END: usize = 3;
        let start = self.searched_bytes.saturating_sub(LONGEST_SPLIT_END);
        self.searched_bytes = input.len();
        if input.len() >= 2 * self.head_tried_at {
            return true;
        }
        let new = &input[start..];
        new.windows(2).any(|window| window == b"\n\n") || new.windows(3).any(|window| window == b"\n\r\n")
    }
}

impl BodyReader {
    /// Returns the size of the body at the start of the input once it is complete.
    fn read(&mut self, input: &mut ReadBuffer) -> Result<Option<usize>, RequestError> {
        match self.head.framing {
            BodyFraming::Length(length) => Ok((input.len() >= length).then_some(length)),
            BodyFraming::Chunked => self.decode(input),
        }
    }

    /// Replaces the encoded bytes in the input by the decoded ones.
    fn decode(&mut self, input: &mut ReadBuffer) -> Result<Option<usize>, RequestError> {
        let encoded = &input[self.decoded_bytes..];
        let mut tail = Vec::with_capacity(encoded.len());
        let decoded = self.decoder.decode(encoded, &mut tail);
        let Decoded { consumed_bytes, state } = decoded.map_err(|_| RequestError::MalformedChunk)?;
        let decoded_start = self.decoded_bytes;
        self.decoded_bytes += tail.len();
        self.encoded_bytes += consumed_bytes;
        tail.extend_from_slice(&encoded[consumed_bytes..]);
        input.replace_tail(decoded_start, &tail);
        let is_too_long = self.decoded_bytes > MAX_BODY_BYTES || self.encoded_bytes > MAX_ENCODED_BODY_BYTES;
        match state {
            _ if is_too_long => Err(RequestError::BodyTooLong),
            BodyState::Incomplete => Ok(None),
            BodyState::Complete => Ok(Some(self.decoded_bytes)),
        }
    }
}

fn operation(target: Target, body: &[u8], budget: &MemoryBudget) -> Result<Operation, RequestError> {
    match target {
        Target::Health => Ok(Operation::Health),
        Target::Metrics => Ok(Operation::Metrics),
        Target::Query(headers) => query(headers, body, budget).map(Operation::Query),
    }
}

fn query(headers: QueryHeaders, body: &[u8], budget: &MemoryBudget) -> Result<NewQuery, RequestError> {
    let text = std::str::from_utf8(body).map_err(|_| RequestError::BodyNotUtf8)?;
    let body: QueryBody = json::from_str(text).map_err(|_| RequestError::InvalidQuery)?;
    let parts: Vec<NewPart> = body.parts.iter().map(PartBody::to_part).collect();
    Ok(NewQuery {
        request_id: headers.request_id,
        class: headers.class,
        tenant: headers.tenant,
        time_left: Some(headers.time_left),
        is_retry: headers.is_retry,
        payload: counted_payload(body.payload, &parts, budget)?,
        idempotency_key: headers.idempotency_key,
        parts,
    })
}

/// The payload of a query, which keeps memory reserved for the query until it is dropped.
fn counted_payload(payload: String, parts: &[NewPart], budget: &MemoryBudget) -> Result<Bytes, RequestError> {
    let query_bytes = payload.len() + size_of_val(parts);
    if query_bytes <= SMALL_QUERY_BYTES {
        return Ok(Bytes::from(payload));
    }
    let attached = budget.attach(payload.into_bytes(), query_bytes);
    attached.map_err(|_| RequestError::MemoryExhausted)
}
