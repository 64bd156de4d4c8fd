//! The tower service of a Flight client, on top of exactly one HTTP/2 connection. It never reconnects by itself: the
//! aggregator manages connections.

use super::message_lengths::MessageLengths;
use super::observed_socket::ObservedSocket;
use super::write_progress::WriteProgress;
use crate::net::memory::{MemoryBudget, MemoryExhausted, Reservation};
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming};
use hyper::client::conn::http2::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tonic::Status;
use tonic::body::Body;

/// Data of answers that a leaf server may send before it has been read, for each call and for all calls of a connection.
const WINDOW_BYTES: u32 = 64 << 10;
/// Maximum size of an answer's headers, in the reckoning of HTTP/2, which adds 32 bytes for each field.
const MAX_HEADER_LIST_BYTES: u32 = 8 << 10;
/// Maximum size of a request that waits for the leaf server to read.
const MAX_SEND_BUFFER_BYTES: usize = 64 << 10;
/// Size of an answer up to which it is not counted towards the memory budget.
const SMALL_ANSWER_BYTES: usize = 4 << 10;

/// The body of an answer. Memory for its data is reserved until the call has ended, as the decoder keeps the data.
pub(super) struct CountedBody {
    body: Incoming,
    lengths: MessageLengths,
    memory: Reservation,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = match ready!(Pin::new(&mut self.body).poll_frame(context)) {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Poll::Ready(Some(Err(Status::from_error(Box::new(error))))),
            None => return Poll::Ready(None),
        };
        let answer_bytes = frame.data_ref().map_or(0, |data| self.lengths.read(data));
        if answer_bytes > SMALL_ANSWER_BYTES.max(self.memory.bytes())
            && self.memory.resize(answer_bytes).is_err()
        {
            // With a source error, as an answer that breaks off has: the part may have run.
            return Poll::Ready(Some(Err(Status::from_error(Box::new(MemoryExhausted)))));
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// The future that drives the connection's I/O; calls make progress only while it is polled.
pub(super) type Driver = Connection<TokioIo<ObservedSocket<Rc<WriteProgress>>>, Body, LocalExecutor>;

/// The sending half of a connection.
#[derive(Clone)]
pub(super) struct Http2Channel {
    sender: SendRequest<Body>,
    memory: MemoryBudget,
}

impl Http2Channel {
    /// Performs the HTTP/2 handshake on a connected socket.
    ///
    /// # Errors
    /// The handshake has failed.
    pub async fn handshake(
        stream: TcpStream,
        progress: Rc<WriteProgress>,
        memory: MemoryBudget,
    ) -> Result<(Self, Driver), hyper::Error> {
        let io = TokioIo::new(ObservedSocket { stream, observer: progress });
        let mut builder = Builder::new(LocalExecutor);
        builder
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .max_send_buf_size(MAX_SEND_BUFFER_BYTES);
        let (sender, driver) = builder.handshake::<_, Body>(io).await?;
        Ok((Http2Channel { sender, memory }, driver))
    }
}

impl tower_service::Service<http::Request<Body>> for Http2Channel {
    type Response = http::Response<CountedBody>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let response = self.sender.send_request(request);
        let memory = self.memory.reservation();
        Box::pin(async move {
            Ok(response.await?.map(|body| CountedBody { body, lengths: MessageLengths::default(), memory }))
        })
    }
}

/// Spawns hyper's connection tasks on the current thread.
#[derive(Clone)]
pub(super) struct LocalExecutor;

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalExecutor {
    fn execute(&self, task: F) {
        spawn_local(async move { drop(task.await) });
    }
}
