//! Reads the request of a gateway's call before it is passed to tonic, which would allocate the length that the message
//! declares. Memory for it comes from the budget for peers' data, and it must be complete in time.

use super::call_tracker::CallTracker;
use crate::net::memory::{MemoryBudget, MemoryExhausted, Reservation};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use std::fmt;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// Time within which a request must be complete, from its headers; the same as over HTTP/1.1.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Memory that a call needs in any case, for its stream and its tasks.
const CALL_BYTES: usize = 8 << 10;
/// Size of a call's prefix before its message in gRPC.
const MESSAGE_PREFIX_BYTES: usize = 5;
/// The headers of a call that are used; the others are dropped at once.
const USED_HEADERS: [HeaderName; 5] = [
    header::CONTENT_TYPE,
    header::TE,
    HeaderName::from_static("grpc-timeout"),
    HeaderName::from_static("grpc-encoding"),
    HeaderName::from_static("grpc-accept-encoding"),
];
/// The methods whose requests are streams. None of them is implemented, so their requests are not read.
const STREAMING_METHODS: [&str; 3] = ["/Handshake", "/DoPut", "/DoExchange"];

/// A complete request, and the memory that its call occupies.
pub(super) struct CallRequest {
    pub request: Request<Full<Bytes>>,
    pub memory: Reservation,
}

/// Reads a request whose message may have up to `max_message_bytes`. A gateway that does not complete a request in time, or
/// whose memory is needed meanwhile, loses its connection, as a client does over HTTP/1.1.
///
/// # Errors
/// The status to answer the call with: the request is too long or not complete in time, or there is no memory for it.
pub(super) async fn read(
    request: Request<Incoming>,
    max_message_bytes: usize,
    budget: &MemoryBudget,
    calls: &CallTracker,
) -> Result<CallRequest, Status> {
    let started_at = Instant::now();
    let mut memory = budget.reservation();
    memory.resize(CALL_BYTES).map_err(refused)?;
    memory.set_evictable(Some(started_at));
    let (mut parts, body) = request.into_parts();
    parts.headers = used_headers(&parts.headers);
    let is_streaming = STREAMING_METHODS.iter().any(|method| parts.uri.path().ends_with(method));
    let message = if is_streaming {
        Bytes::new()
    } else {
        let eviction = memory.eviction();
        tokio::select! {
            // A request that is complete is not rejected.
            biased;
            message = read_message(body, max_message_bytes + MESSAGE_PREFIX_BYTES, &mut memory) => message?,
            () = sleep_until(started_at + REQUEST_TIMEOUT) => {
                calls.set_stalled();
                return Err(Status::deadline_exceeded("the request is not complete"));
            }
            () = eviction.evicted() => {
                calls.set_stalled();
                return Err(refused(MemoryExhausted));
            }
            () = calls.stalled() => return Err(refused(MemoryExhausted)),
            () = calls.rejects_incomplete() => {
                return Err(refused("the connection is closed before the request is complete"));
            }
        }
    };
    memory.set_evictable(None);
    Ok(CallRequest { request: Request::from_parts(parts, Full::new(message)), memory })
}

/// Copies the data out of the connection's read buffers, which it would keep in memory otherwise.
async fn read_message(
    mut body: impl Body<Data = Bytes, Error = hyper::Error> + Unpin,
    max_bytes: usize,
    memory: &mut Reservation,
) -> Result<Bytes, Status> {
    let mut message = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Status::unknown(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        let bytes = message.len() + data.len();
        if bytes > max_bytes {
            return Err(Status::out_of_range("the message is too long"));
        }
        if bytes > message.capacity() {
            let capacity = (bytes + bytes / 2).min(max_bytes);
            memory.resize(CALL_BYTES + capacity).map_err(refused)?;
            message.reserve_exact(capacity - message.len());
        }
        message.extend_from_slice(&data);
    }
    Ok(message.into())
}

fn used_headers(headers: &HeaderMap) -> HeaderMap {
    let mut used = HeaderMap::with_capacity(USED_HEADERS.len());
    for name in USED_HEADERS {
        if let Some(value) = headers.get(&name) {
            // A copy: the value is a part of the connection's read buffer.
            if let Ok(value) = value.as_bytes().to_vec().try_into() {
                used.insert(name, value);
            }
        }
    }
    used
}

/// The status of a rejected call: it has not been forwarded, so that the gateway may repeat it.
fn refused(reason: impl fmt::Display) -> Status {
    let details = ErrorDetails::with_retry_info(None);
    Status::with_error_details(Code::Unavailable, reason.to_string(), details)
}
