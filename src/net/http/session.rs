//! One client connection: reads a request, waits for the aggregator's reply, writes it, and repeats.

use super::request::{Operation, Progress, Request, RequestReader};
use super::request_error::RequestError;
use super::request_head::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use super::response;
use crate::aggregator::{ClientId, Event, Reply};
use crate::net::client_end::ClientEnd;
use crate::net::discard::{discard_available, discard_until_end};
use crate::net::lingering_close::lingering_close;
use crate::net::memory::{MemoryBudget, ReadError};
use crate::net::messages::{ClientMessage, EventSender};
use crate::net::read_buffer::ReadBuffer;
use futures_util::FutureExt;
use std::io;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

/// Time within which a request must be complete, from its first byte, or from the connection's start for the first
/// request. Limits how long a client that sends slowly can occupy a connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time within which a partly received request must be complete once the aggregator wants the connection closed.
const REQUEST_TIMEOUT_WHILE_CLOSING: Duration = Duration::from_millis(300);
/// Time after which a connection without a request is closed, to free its slot for other clients.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// How long an idle connection is still read before it is closed: a request may have arrived that this task has not
/// been notified of yet.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(2);
/// Time after which a client that does not read its response is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of buffered bytes from which further pipelined requests are not kept while a request is served.
const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// Maximum number of bytes discarded before each request of a client that has pipelined more.
const DISCARDED_BYTES_PER_REQUEST: usize = 1 << 20;
/// Size of a response above which it counts towards the memory budget while it is written.
const SMALL_RESPONSE_BYTES: usize = 4 << 10;

/// Serves one client until its connection ends, then sends [`Event::ClientClosed`]. Returns why it has ended.
pub(super) async fn run(
    stream: TcpStream,
    client: ClientId,
    messages: mpsc::Receiver<ClientMessage>,
    events: &EventSender,
    memory: &MemoryBudget,
) -> ClientEnd {
    let _ = stream.set_nodelay(true);
    let mut session = Session {
        stream,
        client,
        events,
        messages,
        input: ReadBuffer::new(memory),
        memory,
        idle_since: Instant::now(),
        closing_deadline: None,
        is_discarding: false,
        is_closing_now: false,
    };
    let end = session.serve().await.unwrap_or_else(|error| match error.kind() {
        io::ErrorKind::TimedOut => ClientEnd::UnreadResponse,
        _ => ClientEnd::Disconnected,
    });
    let _ = events.send(Event::ClientClosed(client)).await;
    end
}

struct Session<'a> {
    stream: TcpStream,
    client: ClientId,
    events: &'a EventSender,
    messages: mpsc::Receiver<ClientMessage>,
    input: ReadBuffer,
    memory: &'a MemoryBudget,
    /// When the connection opened or its last response was written, whichever is later.
    idle_since: Instant,
    /// The time by which a partly received request must be complete; `None` until the aggregator has asked to close the
    /// connection after the current request.
    closing_deadline: Option<Instant>,
    /// The client has pipelined too much: what it sends is discarded, and the connection ends after the requests that have
    /// been kept.
    is_discarding: bool,
    /// The aggregator has asked to close the connection after the requests that have been read.
    is_closing_now: bool,
}

/// Outcome of reading a request.
enum ReadOutcome {
    Request(ReceivedRequest),
    Rejected(RequestError),
    /// The client has closed the connection; no complete request has been received.
    Disconnected,
    /// The connection is idle and is to be closed.
    Idle,
}

/// The state of reading a request on a connection that is being closed.
struct ClosingRead {
    /// A part of the request has been received.
    has_started: bool,
    /// The connection has been read once more since it is being closed.
    final_read_granted: bool,
    /// The time by which a partly received request must be complete.
    closing_deadline: Instant,
}

/// A request that has been read.
struct ReceivedRequest {
    event: Event,
    keep_alive: bool,
}

/// The aggregator's reply to a request.
struct ClientReply {
    reply: Reply,
    /// Whether the aggregator wants the connection closed after this reply.
    close: bool,
}

impl Session<'_> {
    async fn serve(&mut self) -> io::Result<ClientEnd> {
        let mut is_first = true;
        loop {
            let request = match self.read_request(is_first).await? {
                ReadOutcome::Request(request) => request,
                ReadOutcome::Rejected(error) => return self.reject(error).await,
                ReadOutcome::Disconnected => return Ok(ClientEnd::Disconnected),
                ReadOutcome::Idle => return Ok(ClientEnd::Idle),
            };
            is_first = false;
            // The request may have waited in the buffer, and the client may have disconnected since.
            if self.client_has_disconnected().await? {
                return Ok(ClientEnd::Disconnected);
            }
            let _ = self.events.send(request.event).await;
            let Some(ClientReply { reply, close }) = self.await_reply().await? else {
                return Ok(ClientEnd::Disconnected);
            };
            if close {
                self.begin_closing(REQUEST_TIMEOUT_WHILE_CLOSING);
            }
            // Pipelined requests that have been read are answered first.
            let closes_now = self.closing_deadline.is_some() && self.input.is_empty();
            let close = closes_now || !request.keep_alive;
            self.write_response(&response::render_reply(reply, close)).await?;
            if close {
                self.lingering_close().await?;
                return Ok(ClientEnd::Finished);
            }
            self.idle_since = Instant::now();
        }
    }

    /// Responds to a malformed request and ends the connection, as the start of the next request is unknown.
    async fn reject(&mut self, error: RequestError) -> io::Result<ClientEnd> {
        let _ = self.events.send(Event::RequestMalformed(Some(self.client))).await;
        self.write(&response::render_error(error)).await?;
        self.lingering_close().await?;
        Ok(match error {
            RequestError::Timeout => ClientEnd::RequestTimeout,
            RequestError::MemoryExhausted => ClientEnd::MemoryExhausted,
            RequestError::PipelineTooLong => ClientEnd::PipelineTooLong,
            _ => ClientEnd::Malformed,
        })
    }

    async fn read_request(&mut self, is_first: bool) -> io::Result<ReadOutcome> {
        let mut deadline = self.idle_since + IDLE_TIMEOUT;
        let mut has_started = false;
        let mut final_read_granted = false;
        let mut reader = RequestReader::default();
        loop {
            if !has_started && !self.input.is_empty() {
                has_started = true;
                let started_at = if is_first { self.idle_since } else { Instant::now() };
                deadline = started_at + REQUEST_TIMEOUT;
                self.input.set_evictable(Some(started_at));
            }
            match reader.advance(&mut self.input, self.memory) {
                Ok(Progress::Complete(request)) => {
                    return Ok(ReadOutcome::Request(self.take_request(request)));
                }
                Ok(Progress::Incomplete { .. }) if self.is_discarding => {
                    return Ok(ReadOutcome::Rejected(RequestError::PipelineTooLong));
                }
                Ok(Progress::Incomplete { continue_expected }) => {
                    self.input.mark_incomplete();
                    if continue_expected {
                        self.write(response::CONTINUE).await?;
                    }
                }
                Err(error) => return Ok(ReadOutcome::Rejected(error)),
            }
            if let Some(closing_deadline) = self.closing_deadline {
                let closing = ClosingRead { has_started, final_read_granted, closing_deadline };
                match self.limit_closing_read(&closing, deadline) {
                    ControlFlow::Break(outcome) => return Ok(outcome),
                    ControlFlow::Continue(limited) => deadline = limited,
                }
                final_read_granted |= !has_started;
            }
            let eviction = self.input.eviction();
            tokio::select! {
                read = timeout_at(deadline, self.input.read(&self.stream)) => match read {
                    Ok(Ok(0)) => return Ok(ReadOutcome::Disconnected),
                    // A client that sends without a pause must not keep others waiting.
                    Ok(Ok(_)) => yield_now().await,
                    Ok(Err(ReadError::Io(error))) => return Err(error),
                    Ok(Err(ReadError::MemoryExhausted)) => {
                        return Ok(ReadOutcome::Rejected(RequestError::MemoryExhausted));
                    }
                    Err(_) if has_started => return Ok(ReadOutcome::Rejected(RequestError::Timeout)),
                    Err(_) => return Ok(ReadOutcome::Idle),
                },
                message = self.messages.recv() => match message {
                    Some(ClientMessage::Close) => self.begin_closing(REQUEST_TIMEOUT_WHILE_CLOSING),
                    Some(ClientMessage::CloseNow) => self.close_now(),
                    Some(ClientMessage::Reply { .. }) => {}
                    None => return Ok(ReadOutcome::Idle),
                },
                () = eviction.evicted() => return Ok(ReadOutcome::Rejected(RequestError::MemoryExhausted)),
            }
        }
    }

    /// The deadline of the next read of a connection that is being closed, or the outcome if nothing more is read.
    fn limit_closing_read(
        &self,
        closing: &ClosingRead,
        deadline: Instant,
    ) -> ControlFlow<ReadOutcome, Instant> {
        let now = Instant::now();
        if closing.has_started {
            let deadline = deadline.min(closing.closing_deadline);
            // A client that sends without a pause would always have more to read.
            if self.is_closing_now && deadline <= now {
                return ControlFlow::Break(ReadOutcome::Rejected(RequestError::Timeout));
            }
            return ControlFlow::Continue(deadline);
        }
        if closing.final_read_granted {
            return ControlFlow::Break(ReadOutcome::Idle);
        }
        // A request that arrives at the same time would be lost by an immediate close.
        ControlFlow::Continue(deadline.min(now + FINAL_READ_TIMEOUT))
    }

    /// Consumes a request from the input and converts it into an event.
    fn take_request(&mut self, request: Request) -> ReceivedRequest {
        let event = match request.operation {
            Operation::Health => Event::HealthRequested(self.client),
            Operation::Metrics => Event::MetricsRequested(self.client),
            Operation::Query(mut query) => {
                // The time that a pipelined query has waited in the buffer counts against its deadline.
                let arrived_at = self.input.arrival_before(request.trailing_bytes);
                let waited_ms = arrived_at.map_or(0.0, |at| at.elapsed().as_secs_f64() * 1e3);
                query.time_left = query.time_left.map(|time_left| (time_left - waited_ms).max(0.0));
                Event::QueryReceived(self.client, query)
            }
        };
        self.input.set_evictable(None);
        self.input.consume_all_but(request.trailing_bytes);
        ReceivedRequest { event, keep_alive: request.keep_alive }
    }

    /// Closes the connection after the current request. One that has been received in part must be complete within
    /// `timeout`.
    fn begin_closing(&mut self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.closing_deadline = Some(self.closing_deadline.map_or(deadline, |earlier| earlier.min(deadline)));
    }

    /// Closes the connection after the requests that have been read completely.
    fn close_now(&mut self) {
        self.begin_closing(FINAL_READ_TIMEOUT);
        self.is_closing_now = true;
    }

    /// Reads what has arrived and returns whether the client has disconnected.
    async fn client_has_disconnected(&mut self) -> io::Result<bool> {
        while self.can_pipeline() {
            match self.input.try_read(&self.stream) {
                Ok(0) => return Ok(true),
                Ok(_) => {}
                Err(ReadError::Io(error)) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(ReadError::Io(error)) => return Err(error),
                Err(ReadError::MemoryExhausted) => self.is_discarding = true,
            }
        }
        if !self.can_pipeline() {
            let discarded = discard_available(&self.stream, DISCARDED_BYTES_PER_REQUEST)?;
            return Ok(discarded.is_end_of_stream);
        }
        // tokio reports a newly accepted connection as readable before it has polled the kernel.
        yield_now().await;
        let ready = self.stream.ready(Interest::READABLE).now_or_never().transpose()?;
        Ok(ready.is_some_and(tokio::io::Ready::is_read_closed))
    }

    /// Whether pipelined requests are still kept. Once they are not, whatever the client sends is discarded, since its
    /// disconnect is behind that.
    fn can_pipeline(&mut self) -> bool {
        self.is_discarding |= self.input.len() >= MAX_PIPELINED_BYTES;
        !self.is_discarding && !self.is_closing_now
    }

    /// Waits for the reply; `None` if the client disconnects first.
    async fn await_reply(&mut self) -> io::Result<Option<ClientReply>> {
        loop {
            let can_pipeline = self.can_pipeline();
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(ClientMessage::Reply { reply, close }) => return Ok(Some(ClientReply { reply, close })),
                    Some(ClientMessage::Close) => self.begin_closing(REQUEST_TIMEOUT_WHILE_CLOSING),
                    Some(ClientMessage::CloseNow) => self.close_now(),
                    None => return Ok(None),
                },
                // While a request is served, data means a pipelined request, and an end of stream a disconnect.
                read = self.input.read(&self.stream), if can_pipeline => match read {
                    Ok(0) => return Ok(None),
                    Ok(_) => {}
                    Err(ReadError::Io(error)) => return Err(error),
                    Err(ReadError::MemoryExhausted) => self.is_discarding = true,
                },
                end = discard_until_end(&self.stream), if !can_pipeline => {
                    end?;
                    return Ok(None);
                }
            }
        }
    }

    /// Writes a response. One that the client does not read is given up early if its memory is needed.
    async fn write_response(&mut self, response: &[u8]) -> io::Result<()> {
        let mut reservation = self.memory.reservation();
        if response.len() > SMALL_RESPONSE_BYTES {
            reservation.force_resize(response.len());
            reservation.set_evictable(Some(Instant::now()));
        }
        tokio::select! {
            written = self.write(response) => written,
            () = reservation.evicted() => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await?
    }

    /// Performs a lingering close, so that the response arrives even if the client is still sending. It ends early if the
    /// aggregator needs the connection's slot or is shutting down.
    async fn lingering_close(&mut self) -> io::Result<()> {
        self.input.clear();
        let cancelled = async { drop(self.messages.recv().await) };
        lingering_close(&mut self.stream, cancelled).await
    }
}
