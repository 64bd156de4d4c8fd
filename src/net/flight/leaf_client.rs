//! Connections to Flight leaf servers. Each connection is one HTTP/2 connection; each part is one `DoGet` call, whose
//! ticket is the part as JSON and whose answer is a stream of record batches with a string column `blob`. The action
//! `load` serves as the health check.

use super::http2_channel::Http2Channel;
use super::leaf_call::{self, Client, MalformedAnswer};
use super::write_progress::{WriteProgress, WritesBlocked};
use crate::aggregator::{AttemptId, ConnectionId, Event};
use crate::net::memory::MemoryBudget;
use crate::net::messages::{EventSender, LeafMessage};
use arrow_flight::flight_service_client::FlightServiceClient;
use std::collections::HashMap;
use std::rc::Rc;
use std::{fmt, io};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet, spawn_local};

/// Why a connection ended without being closed by the aggregator.
#[derive(Debug)]
enum LeafClientError {
    Connect(io::Error),
    Handshake(hyper::Error),
    InvalidAddress(http::uri::InvalidUri),
    Connection(hyper::Error),
    ClosedByLeaf,
    WritesBlocked,
    MalformedAnswer,
}

impl fmt::Display for LeafClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => error.fmt(f),
            Self::Handshake(error) | Self::Connection(error) => error.fmt(f),
            Self::InvalidAddress(error) => error.fmt(f),
            Self::ClosedByLeaf => f.write_str("closed by the leaf server"),
            Self::WritesBlocked => f.write_str("the leaf server does not read from the connection"),
            Self::MalformedAnswer => f.write_str("malformed answer"),
        }
    }
}

impl std::error::Error for LeafClientError {}

impl From<WritesBlocked> for LeafClientError {
    fn from(_: WritesBlocked) -> Self {
        Self::WritesBlocked
    }
}

impl From<MalformedAnswer> for LeafClientError {
    fn from(_: MalformedAnswer) -> Self {
        Self::MalformedAnswer
    }
}

/// Serves one connection until either side ends it, and sends [`Event::ConnectionEnded`] once it is closed.
pub(crate) async fn run(
    connection: ConnectionId,
    location: String,
    messages: mpsc::Receiver<LeafMessage>,
    events: EventSender,
    memory: MemoryBudget,
) {
    let result = connect(connection, &location, messages, &events, &memory).await;
    let protocol_error = matches!(result, Err(LeafClientError::MalformedAnswer));
    let reason = result.err().map(|error| error.to_string());
    let _ = events.send(Event::ConnectionEnded { connection, reason, protocol_error }).await;
}

async fn connect(
    id: ConnectionId,
    location: &str,
    mut messages: mpsc::Receiver<LeafMessage>,
    events: &EventSender,
    memory: &MemoryBudget,
) -> Result<(), LeafClientError> {
    let progress = Rc::new(WriteProgress::default());
    let dial = async {
        let stream = TcpStream::connect(location).await.map_err(LeafClientError::Connect)?;
        let _ = stream.set_nodelay(true);
        // Closing resets the connection immediately, so that no cancelled part is sent afterwards.
        let _ = stream.set_zero_linger();
        Http2Channel::handshake(stream, progress.clone(), memory.clone())
            .await
            .map_err(LeafClientError::Handshake)
    };
    let (channel, driver) = tokio::select! {
        connected = dial => connected?,
        _ = messages.recv() => return Ok(()),
    };
    let origin = format!("http://{location}").parse().map_err(LeafClientError::InvalidAddress)?;
    let client = FlightServiceClient::with_origin(channel, origin)
        .max_decoding_message_size(leaf_call::MAX_MESSAGE_BYTES);
    let mut driver = spawn_local(driver);
    let mut connection = LeafConnection {
        id,
        events,
        memory,
        client,
        calls: JoinSet::new(),
        attempts: HashMap::new(),
        written_messages: 0,
    };
    connection.send_event(Event::Connected(id)).await;
    let result = tokio::select! {
        result = connection.serve(&mut messages, &progress) => result,
        end = &mut driver => {
            // Answers that have arrived completely still count; the other calls report a truncated answer.
            while connection.calls.join_next().await.is_some() {}
            Err(match end {
                Ok(Err(error)) => LeafClientError::Connection(error),
                _ => LeafClientError::ClosedByLeaf,
            })
        }
    };
    connection.calls.shutdown().await;
    driver.abort();
    let _ = driver.await;
    result
}

/// An established connection.
struct LeafConnection<'a> {
    id: ConnectionId,
    events: &'a EventSender,
    memory: &'a MemoryBudget,
    client: Client,
    /// Calls in flight; one that ends with an error ends the connection.
    calls: JoinSet<Result<(), MalformedAnswer>>,
    /// The abort handles of the attempts' calls.
    attempts: HashMap<AttemptId, AbortHandle>,
    written_messages: u64,
}

impl LeafConnection<'_> {
    /// Handles messages until the aggregator closes the connection or an error ends it.
    async fn serve(
        &mut self,
        messages: &mut mpsc::Receiver<LeafMessage>,
        progress: &WriteProgress,
    ) -> Result<(), LeafClientError> {
        loop {
            let message = tokio::select! {
                message = messages.recv() => message,
                Some(result) = self.calls.join_next() => {
                    self.attempts.retain(|_, call| !call.is_finished());
                    if let Ok(Err(error)) = result {
                        return Err(error.into());
                    }
                    continue;
                }
            };
            let Some(message) = message else { return Ok(()) };
            self.handle(message, progress).await?;
            self.written_messages += 1;
            self.send_event(Event::Written(self.id, self.written_messages)).await;
        }
    }

    async fn handle(&mut self, message: LeafMessage, progress: &WriteProgress) -> Result<(), WritesBlocked> {
        match message {
            // Once its call is spawned, a part may have been sent and no longer counts as unsent.
            LeafMessage::Call(parts) => {
                for part in parts {
                    let attempt = part.attempt;
                    let call = leaf_call::call(
                        self.client.clone(),
                        part,
                        self.id,
                        self.events.clone(),
                        self.memory.clone(),
                    );
                    self.attempts.insert(attempt, self.calls.spawn_local(call));
                }
            }
            LeafMessage::Cancel(attempt) => {
                if let Some(call) = self.attempts.remove(&attempt) {
                    let bytes_before = progress.written_bytes();
                    call.abort();
                    progress.wait_for_reset(bytes_before).await?;
                }
            }
            LeafMessage::HealthCheck => {
                self.calls.spawn_local(leaf_call::check_health(
                    self.client.clone(),
                    self.id,
                    self.events.clone(),
                ));
            }
        }
        Ok(())
    }

    async fn send_event(&self, event: Event) {
        let _ = self.events.send(event).await;
    }
}
