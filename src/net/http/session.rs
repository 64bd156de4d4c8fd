//! One client's connection: reads a request, waits for the aggregator's reply, writes it, and starts again.

use super::request::{self, MAX_HEAD_BYTES, Operation, Parsed, ParsedRequest, RequestError};
use super::response;
use crate::aggregator::{ClientId, Event, Reply};
use crate::net::messages::{ClientMessage, EventSender};
use crate::net::read_buffer::ReadBuffer;
use futures_util::FutureExt;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A request is in so long after its first byte, and the first one of a connection so long after it opened: against
/// clients that hold a connection by trickling.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// A request is in so long after the connection was to be closed.
const REQUEST_TIMEOUT_WHILE_CLOSING: Duration = Duration::from_millis(300);
/// A connection without a request is closed after so long, so that other clients get its place.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// A connection that is to be closed is read for so long before: a request may be on its way through the event loop.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(2);
/// A client that does not take its response for so long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// After the last response, what the client still sends is read and dropped, lest it resets the response: for so long.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// And so many bytes of it at most.
const MAX_DRAIN_BYTES: usize = 80 << 20;
/// And until the client has paused for so long.
const DRAIN_PAUSE: Duration = Duration::from_millis(500);
/// Bytes read at once of those that are dropped.
const DRAIN_READ_BYTES: usize = 16 << 10;

/// Bytes that a client may pipeline while its request is served.
const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES;
/// How often a client that has pipelined more is checked for its end; attempts must not begin 0.1 s after that.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves one client until its connection ends, and reports that it has.
pub(super) async fn run(
    stream: TcpStream,
    client: ClientId,
    messages: mpsc::Receiver<ClientMessage>,
    events: &EventSender,
) {
    let _ = stream.set_nodelay(true);
    let mut session = Session {
        stream,
        client,
        events,
        messages,
        input: ReadBuffer::default(),
        idle_since: Instant::now(),
        closing_since: None,
    };
    // An error is the client's own: it has gone.
    let _ = session.serve().await;
    let _ = events.send(Event::ClientClosed(client)).await;
}

struct Session<'a> {
    stream: TcpStream,
    client: ClientId,
    events: &'a EventSender,
    messages: mpsc::Receiver<ClientMessage>,
    input: ReadBuffer,
    /// When the connection opened, or its last response was out.
    idle_since: Instant,
    /// When the aggregator first wanted the connection closed after the request under way.
    closing_since: Option<Instant>,
}

/// What came of reading a request.
enum ReadOutcome {
    Request(Request),
    Rejected(RequestError),
    /// The connection has ended, or is to end, between requests.
    ConnectionEnded,
}

/// One request as read.
struct Request {
    event: Event,
    keep_alive: bool,
}

/// The aggregator's reply to a request.
struct ClientReply {
    reply: Reply,
    /// The aggregator wants the connection closed after it.
    close: bool,
}

impl Session<'_> {
    async fn serve(&mut self) -> io::Result<()> {
        let mut is_first = true;
        loop {
            let request = match self.read_request(is_first).await? {
                ReadOutcome::Request(request) => request,
                ReadOutcome::Rejected(error) => return self.reject(error).await,
                ReadOutcome::ConnectionEnded => return Ok(()),
            };
            is_first = false;
            // The request may have been read long after it arrived, and its client may have left meanwhile.
            if self.client_has_left().await? {
                return Ok(());
            }
            let _ = self.events.send(request.event).await;
            let Some(ClientReply { reply, close }) = self.await_reply().await? else { return Ok(()) };
            let close = close || self.closing_since.is_some() || !request.keep_alive;
            self.write(&response::render_reply(reply, close)).await?;
            if close {
                return self.drain().await;
            }
            self.idle_since = Instant::now();
        }
    }

    /// Where the next request begins cannot be known after one that is rejected, so the connection ends.
    async fn reject(&mut self, error: RequestError) -> io::Result<()> {
        let _ = self.events.send(Event::RequestMalformed(Some(self.client))).await;
        self.write(&response::render_error(error)).await?;
        self.drain().await
    }

    async fn read_request(&mut self, is_first: bool) -> io::Result<ReadOutcome> {
        let mut deadline = self.idle_since + IDLE_TIMEOUT;
        let mut has_begun = false;
        let mut final_read_granted = false;
        loop {
            if !has_begun && !self.input.is_empty() {
                has_begun = true;
                let begun_at = if is_first { self.idle_since } else { Instant::now() };
                deadline = begun_at + REQUEST_TIMEOUT;
            }
            match request::parse(&self.input) {
                Ok(Parsed::Complete(parsed)) => return Ok(ReadOutcome::Request(self.take_request(parsed))),
                Ok(Parsed::Incomplete { continue_expected }) => {
                    self.input.mark_incomplete();
                    if continue_expected {
                        self.write(response::CONTINUE).await?;
                    }
                }
                Err(error) => return Ok(ReadOutcome::Rejected(error)),
            }
            if let Some(closing_since) = self.closing_since {
                if has_begun {
                    deadline = deadline.min(closing_since + REQUEST_TIMEOUT_WHILE_CLOSING);
                } else if final_read_granted {
                    return Ok(ReadOutcome::ConnectionEnded);
                } else {
                    // A close that crosses a request would lose it.
                    final_read_granted = true;
                    deadline = deadline.min(Instant::now() + FINAL_READ_TIMEOUT);
                }
            }
            tokio::select! {
                read = timeout_at(deadline, self.input.read(&self.stream)) => match read {
                    Ok(Ok(0)) => return Ok(ReadOutcome::ConnectionEnded),
                    Ok(Ok(_)) => {}
                    Ok(Err(error)) => return Err(error),
                    Err(_) if has_begun => return Ok(ReadOutcome::Rejected(RequestError::Timeout)),
                    Err(_) => return Ok(ReadOutcome::ConnectionEnded),
                },
                message = self.messages.recv() => match message {
                    Some(ClientMessage::Close) => self.begin_closing(),
                    Some(ClientMessage::Reply { .. }) => {}
                    None => return Ok(ReadOutcome::ConnectionEnded),
                },
            }
        }
    }

    /// Takes a parsed request off the input.
    fn take_request(&mut self, parsed: ParsedRequest) -> Request {
        let event = match parsed.operation {
            Operation::Health => Event::HealthRequested(self.client),
            Operation::Metrics => Event::MetricsRequested(self.client),
            Operation::Query(mut query) => {
                // A pipelined query's deadline runs from its arrival.
                let arrived_at = self.input.arrival_before(parsed.bytes_behind);
                let waited = arrived_at.map_or(0.0, |at| at.elapsed().as_secs_f64() * 1e3);
                query.time_left = query.time_left.map(|time_left| (time_left - waited).max(0.0));
                Event::QueryReceived(self.client, query)
            }
        };
        self.input.consume_up_to(parsed.bytes_behind);
        Request { event, keep_alive: parsed.keep_alive }
    }

    fn begin_closing(&mut self) {
        self.closing_since.get_or_insert_with(Instant::now);
    }

    /// Reads what has arrived, as far as a client may pipeline; whether the client has left by then.
    async fn client_has_left(&mut self) -> io::Result<bool> {
        while self.input.len() < MAX_PIPELINED_BYTES {
            match self.input.try_read(&self.stream) {
                Ok(0) => return Ok(true),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        // A connection that has just been accepted counts as readable before the kernel was asked.
        yield_now().await;
        let ready = self.stream.ready(Interest::READABLE).now_or_never().transpose()?;
        Ok(ready.is_some_and(tokio::io::Ready::is_read_closed))
    }

    /// Waits for the reply; none where the client leaves before.
    async fn await_reply(&mut self) -> io::Result<Option<ClientReply>> {
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(ClientMessage::Reply { reply, close }) => return Ok(Some(ClientReply { reply, close })),
                    Some(ClientMessage::Close) => self.begin_closing(),
                    None => return Ok(None),
                },
                // Only a client that leaves, or pipelines, is readable now.
                read = self.input.read(&self.stream), if self.input.len() < MAX_PIPELINED_BYTES => {
                    if read? == 0 {
                        return Ok(None);
                    }
                }
                end = end_of_stream(&self.stream), if self.input.len() >= MAX_PIPELINED_BYTES => {
                    end?;
                    return Ok(None);
                }
            }
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await?
    }

    /// Ends the connection so that what was written arrives, though the client may still be sending.
    async fn drain(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        self.input = ReadBuffer::default();
        let end = Instant::now() + DRAIN_TIMEOUT;
        let mut discarded = vec![0; DRAIN_READ_BYTES];
        let mut drained_bytes = 0;
        while drained_bytes < MAX_DRAIN_BYTES {
            let deadline = end.min(Instant::now() + DRAIN_PAUSE);
            tokio::select! {
                read = timeout_at(deadline, self.stream.read(&mut discarded)) => match read {
                    Ok(Ok(bytes)) if bytes > 0 => drained_bytes += bytes,
                    _ => break,
                },
                // Its place is wanted, or the program ends.
                _ = self.messages.recv() => break,
            }
        }
        Ok(())
    }
}

/// Waits for the end of what a client sends, though some of it stays unread before that.
async fn end_of_stream(stream: &TcpStream) -> io::Result<()> {
    // The socket stays readable while there is unread data, so waiting for readability would return at once.
    while !stream.ready(Interest::READABLE).await?.is_read_closed() {
        sleep(END_CHECK_INTERVAL).await;
    }
    Ok(())
}
