//! Tracks the calls of a gateway connection until their answers have been written to the socket, and bounds the time that a
//! gateway may take to read an answer.

use crate::net::memory::Reservation;
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame};
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use tonic::Status;
use tonic::body::Body;
use tracing::debug;

/// Time within which an answer must have been written; the same as over HTTP/1.1. An answer that the gateway has no window
/// for stays in the connection's buffers.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The calls in flight on one connection, and the executor that runs their streams.
#[derive(Clone, Default)]
pub(super) struct CallTracker {
    activity: watch::Sender<Activity>,
}

/// The state of a connection's calls.
#[derive(Default)]
struct Activity {
    /// Number of streams that are running and of answers that are being written.
    open: usize,
    /// Whether a call has been answered.
    has_answered: bool,
    /// Whether the gateway has not sent a request, or not read an answer, in time.
    has_stalled: bool,
    /// Whether calls whose requests are incomplete are rejected.
    rejects_incomplete: bool,
}

/// Counts as open until it is dropped.
struct OpenGuard(watch::Sender<Activity>);

/// Keeps a call open while any part of its answer is in the connection's buffers.
struct UnwrittenAnswer {
    /// Dropped when the answer has been written.
    _written: oneshot::Sender<()>,
    /// Extensions of the response, among them the call itself.
    _call: http::Extensions,
    /// Grows with the answer's data.
    memory: Mutex<Reservation>,
}

impl UnwrittenAnswer {
    fn add_data(&self, bytes: usize) {
        let mut memory = self.memory.lock().unwrap_or_else(PoisonError::into_inner);
        let total = memory.bytes() + bytes;
        memory.force_resize(total);
    }
}

impl CallTracker {
    /// Whether a call has been answered, so that data may still be on its way to the gateway.
    pub fn has_answered(&self) -> bool {
        self.activity.borrow().has_answered
    }

    /// Records that the gateway has failed to send a request or to read an answer in time.
    pub fn set_stalled(&self) {
        self.activity.send_modify(|activity| activity.has_stalled = true);
    }

    /// Waits until the gateway has failed to send a request or to read an answer in time.
    pub async fn stalled(&self) {
        let _ = self.activity.subscribe().wait_for(|activity| activity.has_stalled).await;
    }

    /// Rejects the calls whose requests are incomplete, and later ones.
    pub fn reject_incomplete(&self) {
        self.activity.send_modify(|activity| activity.rejects_incomplete = true);
    }

    /// Waits until calls whose requests are incomplete are rejected.
    pub async fn rejects_incomplete(&self) {
        let _ = self.activity.subscribe().wait_for(|activity| activity.rejects_incomplete).await;
    }

    /// Waits until calls whose requests are incomplete are rejected and none is open.
    pub async fn none_open_after_rejection(&self) {
        let is_over = |activity: &Activity| activity.rejects_incomplete && activity.open == 0;
        let _ = self.activity.subscribe().wait_for(is_over).await;
    }

    /// Waits until no call has been open for `period`. Those whose answers the gateway does not read no longer count.
    pub async fn none_open_for(&self, period: Duration) {
        let mut activity = self.activity.subscribe();
        loop {
            if activity.wait_for(|activity| activity.open == 0).await.is_err() {
                return;
            }
            if timeout(period, activity.wait_for(|activity| activity.open > 0)).await.is_err() {
                return;
            }
        }
    }

    /// Counts the call as open, and keeps its extensions and its memory, until its answer has been written. An answer that
    /// the gateway does not read is given up early if its memory is needed.
    pub fn track_answer(
        &self,
        mut response: http::Response<Body>,
        mut memory: Reservation,
    ) -> http::Response<Body> {
        let (written, all_written) = oneshot::channel();
        let open = self.open();
        let tracker = self.clone();
        self.activity.send_modify(|activity| activity.has_answered = true);
        memory.set_evictable(Some(Instant::now()));
        let eviction = memory.eviction();
        spawn_local(async move {
            let is_unread = tokio::select! {
                written = timeout(WRITE_TIMEOUT, all_written) => written.is_err(),
                () = eviction.evicted() => true,
            };
            if is_unread {
                debug!("gateway has not read an answer in time");
                tracker.set_stalled();
            }
            drop(open);
        });
        let call = std::mem::take(response.extensions_mut());
        let answer = Arc::new(UnwrittenAnswer { _written: written, _call: call, memory: Mutex::new(memory) });
        response.map(|body| Body::new(TrackedBody { body, answer }))
    }

    fn open(&self) -> OpenGuard {
        self.activity.send_modify(|activity| activity.open += 1);
        OpenGuard(self.activity.clone())
    }
}

impl<F: Future + 'static> hyper::rt::Executor<F> for CallTracker {
    fn execute(&self, stream: F) {
        let open = self.open();
        spawn_local(async move {
            drop(stream.await);
            drop(open);
        });
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.send_modify(|activity| activity.open -= 1);
    }
}

/// The body of an answer, whose data keeps the call open until the connection has written and dropped it.
struct TrackedBody {
    body: Body,
    answer: Arc<UnwrittenAnswer>,
}

/// Data of an answer in the connection's buffers.
struct TrackedData {
    data: Bytes,
    _answer: Arc<UnwrittenAnswer>,
}

impl AsRef<[u8]> for TrackedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let track = |data: Bytes| {
            self.answer.add_data(data.len());
            Bytes::from_owner(TrackedData { data, _answer: self.answer.clone() })
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(track))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
