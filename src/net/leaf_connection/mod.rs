//! Connections to leaf servers that use the platform's frames. The effect dispatcher starts a task per connection and
//! sends it messages; the task reports written messages and received answers to the aggregator.

mod attempt_names;
mod frame;
mod load_report;
mod output;

pub(super) use load_report::parse_load_report;

use super::messages::{EventSender, LeafMessage};
use crate::aggregator::{CallPart, ConnectionId, Event};
use crate::net::memory::{BudgetedBuffer, MemoryBudget, ReadError};
use attempt_names::AttemptNames;
use bytes::{BufMut, BytesMut};
use frame::{Answer, HealthReport, LeafFrame, ProtocolError};
use output::OutputBuffer;
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Time within which a frame must be complete after its first byte. Guards against a wrong length field, which would
/// make the connection treat later frames as part of this one.
const FRAME_TIMEOUT: Duration = Duration::from_millis(250);
/// Size of the encoded output from which further messages wait.
const MAX_ENCODED_BYTES: usize = 64 << 10;

/// The cause of the end of a connection.
enum ConnectionEnd {
    /// The aggregator closed it.
    Closed,
    Io(io::Error),
    Protocol(ProtocolError),
}

impl From<io::Error> for ConnectionEnd {
    fn from(error: io::Error) -> Self {
        ConnectionEnd::Io(error)
    }
}

impl From<ProtocolError> for ConnectionEnd {
    fn from(error: ProtocolError) -> Self {
        ConnectionEnd::Protocol(error)
    }
}

/// Serves one connection until either side ends it, and sends [`Event::ConnectionEnded`] once it is closed.
pub(super) async fn run(
    connection: ConnectionId,
    address: Arc<str>,
    messages: mpsc::Receiver<LeafMessage>,
    events: EventSender,
    memory: MemoryBudget,
) {
    let (reason, protocol_error) = match connect(connection, &address, messages, &events, &memory).await {
        ConnectionEnd::Closed => (None, false),
        ConnectionEnd::Io(error) => (Some(error.to_string()), false),
        ConnectionEnd::Protocol(error) => (Some(error.to_string()), true),
    };
    let _ = events.send(Event::ConnectionEnded { connection, reason, protocol_error }).await;
}

async fn connect(
    id: ConnectionId,
    address: &str,
    mut messages: mpsc::Receiver<LeafMessage>,
    events: &EventSender,
    memory: &MemoryBudget,
) -> ConnectionEnd {
    let stream = tokio::select! {
        connected = TcpStream::connect(address) => match connected {
            Ok(stream) => stream,
            Err(error) => return ConnectionEnd::Io(error),
        },
        // Before the connection is established, the aggregator sends no messages; it can only close the connection.
        _ = messages.recv() => return ConnectionEnd::Closed,
    };
    let _ = stream.set_nodelay(true);
    let _ = events.send(Event::Connected(id)).await;
    let mut connection = LeafConnection::new(id, events, memory);
    let end = connection.serve(&stream, &mut messages).await;
    if !matches!(end, ConnectionEnd::Io(_)) {
        // Closing resets the connection immediately, so that no cancelled part is sent afterwards.
        let _ = stream.set_zero_linger();
    }
    end
}

/// An established connection.
struct LeafConnection<'a> {
    id: ConnectionId,
    events: &'a EventSender,
    /// Messages that are not encoded yet: an encoded call has a copy of the payload for each part.
    waiting_messages: VecDeque<LeafMessage>,
    output: OutputBuffer,
    input: BudgetedBuffer,
    memory: &'a MemoryBudget,
    /// When the first byte of an incomplete frame was read; `None` between frames.
    frame_started_at: Option<Instant>,
    attempts: AttemptNames,
}

impl<'a> LeafConnection<'a> {
    fn new(id: ConnectionId, events: &'a EventSender, memory: &'a MemoryBudget) -> Self {
        LeafConnection {
            id,
            events,
            waiting_messages: VecDeque::new(),
            output: OutputBuffer::default(),
            input: BudgetedBuffer::new(memory),
            memory,
            frame_started_at: None,
            attempts: AttemptNames::default(),
        }
    }

    async fn serve(
        &mut self,
        stream: &TcpStream,
        messages: &mut mpsc::Receiver<LeafMessage>,
    ) -> ConnectionEnd {
        loop {
            if let Err(end) = self.step(stream, messages).await {
                return end;
            }
        }
    }

    /// Waits for a message, socket readiness or the frame timeout, and handles it.
    async fn step(
        &mut self,
        stream: &TcpStream,
        messages: &mut mpsc::Receiver<LeafMessage>,
    ) -> Result<(), ConnectionEnd> {
        let interest =
            if self.output.is_empty() { Interest::READABLE } else { Interest::READABLE | Interest::WRITABLE };
        let frame_deadline = self.frame_started_at.unwrap_or_else(Instant::now) + FRAME_TIMEOUT;
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return Err(ConnectionEnd::Closed) };
                self.waiting_messages.push_back(message);
                self.write(stream).await
            }
            ready = stream.ready(interest) => {
                if ready?.is_writable() && !self.output.is_empty() {
                    self.write(stream).await
                } else {
                    self.read(stream).await
                }
            }
            () = sleep_until(frame_deadline), if self.frame_started_at.is_some() => {
                Err(ProtocolError::IncompleteFrame.into())
            }
        }
    }

    /// Encodes a message and appends it to the output.
    fn encode(&mut self, message: LeafMessage) {
        match message {
            LeafMessage::Call(parts) if parts.is_empty() => {}
            LeafMessage::Call(parts) => {
                let mut body = BytesMut::new();
                for part in parts {
                    self.encode_part(&mut body, part);
                }
                self.output.push_frame(frame::CALL, &body);
            }
            LeafMessage::Cancel(attempt) => {
                if let Some(name) = self.attempts.remove_in_flight(attempt) {
                    self.output.push_frame(frame::CANCEL, name.as_bytes());
                    self.attempts.insert_cancelled(name, attempt);
                }
            }
            LeafMessage::HealthCheck => self.output.push_frame(frame::HEALTH, b""),
        }
        self.output.end_message();
    }

    fn encode_part(&mut self, body: &mut BytesMut, part: CallPart) {
        let name = format!("{}.{}", part.request_id, part.shard);
        let timeout_ms = part.timeout.max(1.0).ceil();
        let key = part.idempotency_key.map(|key| format!(",k={key}")).unwrap_or_default();
        let payload = &*part.payload;
        let line = format!("{name} {} d={timeout_ms}{key} {}\n", part.shard, payload.len());
        body.put(line.as_bytes());
        body.put(payload);
        self.attempts.insert(name, part.attempt);
    }

    /// Writes as much as the socket accepts and reports the number of messages that are completely written.
    async fn write(&mut self, stream: &TcpStream) -> Result<(), ConnectionEnd> {
        let written_before = self.output.written_messages();
        let result = self.write_waiting(stream);
        let written = self.output.written_messages();
        if written > written_before {
            let _ = self.events.send(Event::Written(self.id, written)).await;
        }
        Ok(result?)
    }

    /// Encodes and writes messages until none is left or the socket accepts no more.
    fn write_waiting(&mut self, stream: &TcpStream) -> io::Result<()> {
        loop {
            while self.output.len() < MAX_ENCODED_BYTES
                && let Some(message) = self.waiting_messages.pop_front()
            {
                self.encode(message);
            }
            self.output.write(stream)?;
            if !self.output.is_empty() || self.waiting_messages.is_empty() {
                return Ok(());
            }
        }
    }

    async fn read(&mut self, stream: &TcpStream) -> Result<(), ConnectionEnd> {
        match self.input.try_read(stream) {
            Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            Ok(_) => {}
            Err(ReadError::Io(error)) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(ReadError::Io(error)) => return Err(error.into()),
            Err(ReadError::MemoryExhausted) => return Err(ProtocolError::MemoryExhausted.into()),
        }
        while let Some(frame) = frame::first_frame(&self.input)? {
            self.frame_started_at = None;
            let frame_bytes = frame.encoded_bytes();
            let event = match frame.decode()? {
                LeafFrame::Answer(answer) => answer_event(self.id, &mut self.attempts, &answer, self.memory)?,
                LeafFrame::Health(report) => self.health_check_event(report),
            };
            self.input.consume(frame_bytes);
            let _ = self.events.send(event).await;
        }
        if self.input.is_empty() {
            self.frame_started_at = None;
        } else {
            self.frame_started_at.get_or_insert_with(Instant::now);
        }
        Ok(())
    }

    fn health_check_event(&self, HealthReport { healthy, report }: HealthReport) -> Event {
        Event::HealthCheckEnded { connection: self.id, healthy, report }
    }
}

/// Converts an answer into an event, with its own copy of the value: a part of the read buffer would keep all of that in memory.
/// An unknown name is an error: the answer may belong to an attempt in flight, which would otherwise never receive it.
fn answer_event(
    connection: ConnectionId,
    attempts: &mut AttemptNames,
    answer: &Answer<'_>,
    memory: &MemoryBudget,
) -> Result<Event, ProtocolError> {
    let attempt = attempts.remove(answer.attempt_name).ok_or(ProtocolError::UnknownAttempt)?;
    let value = memory.copy(answer.value).map_err(|_| ProtocolError::MemoryExhausted)?;
    Ok(Event::AttemptAnswered {
        connection,
        attempt,
        outcome: answer.outcome,
        rows: vec![value],
        report: answer.report,
    })
}
