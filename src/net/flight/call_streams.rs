//! The HTTP/2 streams of a gateway connection, one for each call: counts the open ones, and bounds the time that a gateway
//! may take to send a request and to read an answer.

use hyper::body::{Body, Frame, Incoming};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, Sleep, sleep, timeout_at};
use tonic::Status;
use tracing::debug;

/// Time within which a request must be complete, from its headers; the same as over HTTP/1.1.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after which the stream of a gateway that does not read its answer is reset; the same as over HTTP/1.1.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

tokio::task_local! {
    /// Notified once the current stream's call has its answer.
    static ANSWER_READY: Rc<Notify>;
}

/// Starts the write timeout of the current stream. Called by the service when a call has its answer.
pub(super) fn start_write_timeout() {
    let _ = ANSWER_READY.try_with(|answer_ready| answer_ready.notify_one());
}

/// The streams of one connection, and the executor that runs them.
#[derive(Clone, Default)]
pub(super) struct CallStreams {
    activity: watch::Sender<Activity>,
}

/// How many streams are open, and when the last one ended.
#[derive(Clone, Copy, Default)]
struct Activity {
    open: usize,
    last_ended_at: Option<Instant>,
}

impl CallStreams {
    /// Waits until no stream is open, `acknowledgement` has passed since the call of this function, and `flush` has passed
    /// since the end of the last stream, if there was any.
    pub async fn all_ended(&self, acknowledgement: Duration, flush: Duration) {
        let earliest = Instant::now() + acknowledgement;
        let mut activity = self.activity.subscribe();
        loop {
            let Ok(idle) = activity.wait_for(|activity| activity.open == 0).await.map(|idle| *idle) else {
                return;
            };
            let flushed_at = idle.last_ended_at.map(|ended_at| ended_at + flush);
            let deadline = flushed_at.map_or(earliest, |flushed_at| flushed_at.max(earliest));
            if timeout_at(deadline, activity.wait_for(|activity| activity.open > 0)).await.is_err() {
                return;
            }
        }
    }
}

impl<F: Future + 'static> hyper::rt::Executor<F> for CallStreams {
    fn execute(&self, stream: F) {
        let open = OpenStream::new(self.activity.clone());
        tokio::task::spawn_local(async move {
            run(stream).await;
            drop(open);
        });
    }
}

/// Runs a stream until it ends; dropping it earlier resets it.
async fn run(stream: impl Future) {
    let answer_ready = Rc::new(Notify::new());
    let stalled = async {
        answer_ready.notified().await;
        sleep(WRITE_TIMEOUT).await;
    };
    tokio::select! {
        _ = ANSWER_READY.scope(answer_ready.clone(), stream) => {}
        () = stalled => debug!("gateway has not read an answer; stream reset"),
    }
}

/// Counts a stream as open until it is dropped.
struct OpenStream(watch::Sender<Activity>);

impl OpenStream {
    fn new(activity: watch::Sender<Activity>) -> Self {
        activity.send_modify(|activity| activity.open += 1);
        OpenStream(activity)
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.send_modify(|activity| {
            activity.open -= 1;
            activity.last_ended_at = Some(Instant::now());
        });
    }
}

/// A request body that fails unless it is complete in time.
pub(super) struct TimedBody {
    body: Incoming,
    deadline: Pin<Box<Sleep>>,
}

impl TimedBody {
    pub fn new(body: Incoming, timeout: Duration) -> Self {
        TimedBody { body, deadline: Box::pin(sleep(timeout)) }
    }
}

impl Body for TimedBody {
    type Data = bytes::Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Status>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) {
            return Poll::Ready(frame.map(|frame| frame.map_err(|error| Status::unknown(error.to_string()))));
        }
        ready!(self.deadline.as_mut().poll(context));
        Poll::Ready(Some(Err(Status::deadline_exceeded("the request is not complete"))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
