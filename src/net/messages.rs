//! Messages between the event loop and the other tasks and threads of this module.

use crate::aggregator::{AttemptId, CallPart, ClientId, Event, GatewayId, Reply};
use crate::ledger::LedgerEvent;
use std::fmt;
use tokio::sync::mpsc;

/// Capacity of the event loop's queue; senders wait while it is full.
const EVENT_QUEUE_LENGTH: usize = 1024;

/// Capacity of a client task's queue, which holds at most a reply and the two close requests.
pub(crate) const CLIENT_QUEUE_LENGTH: usize = 4;

/// Capacity of the queue of a gateway connection's task, which gets each message at most once.
pub(crate) const GATEWAY_QUEUE_LENGTH: usize = 2;

/// Capacity of a leaf connection task's queue; a connection whose queue is full is closed.
pub(crate) const LEAF_QUEUE_LENGTH: usize = 256;

/// The event loop has ended, so events are no longer processed.
#[derive(Debug)]
pub(crate) struct AggregatorStopped;

impl fmt::Display for AggregatorStopped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the aggregator has stopped")
    }
}

impl std::error::Error for AggregatorStopped {}

/// An input of the event loop.
pub(crate) enum LoopInput {
    /// A client has connected, or a gateway has begun a call.
    ClientOpened {
        /// The client's ID, unique among HTTP connections and Flight calls.
        client: ClientId,
        /// The connection that carries the call; `None` for an HTTP connection.
        gateway: Option<GatewayId>,
        /// Queue of the client's task.
        messages: mpsc::Sender<ClientMessage>,
    },
    /// A gateway has connected.
    GatewayOpened {
        /// The gateway's connection.
        gateway: GatewayId,
        /// Queue of the connection's task.
        messages: mpsc::Sender<GatewayMessage>,
    },
    /// An event for the aggregator.
    Event(Event),
    /// An event of the ledger; replies that wait for the ledger depend on it too.
    Ledger(LedgerEvent),
}

/// A message for a client's task.
pub(crate) enum ClientMessage {
    /// The reply to the client's request.
    Reply {
        /// The reply to render in the client's protocol.
        reply: Reply,
        /// Whether the connection ends after this reply; Flight calls ignore it.
        close: bool,
    },
    /// Close the connection once no request is in progress; Flight calls ignore it.
    Close,
    /// Close the connection, also if a request has been received in part; Flight calls ignore it.
    CloseNow,
}

/// A message for the task of a gateway's connection.
pub(crate) enum GatewayMessage {
    /// Close the connection gracefully: the calls in flight are answered, those that are being received among them.
    Close,
    /// Close the connection; calls whose requests have been received in part are rejected.
    CloseNow,
}

/// A message for a leaf connection's task. The aggregator counts these and expects [`Event::Written`] to confirm each.
pub(crate) enum LeafMessage {
    /// Send these parts, in one frame if the protocol allows it.
    Call(Vec<CallPart>),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Check the leaf server's health.
    HealthCheck,
}

/// The sending half of the event loop's queue.
#[derive(Clone)]
pub(crate) struct EventSender(mpsc::Sender<LoopInput>);

/// Creates the event loop's queue.
pub(crate) fn event_queue() -> (EventSender, mpsc::Receiver<LoopInput>) {
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE_LENGTH);
    (EventSender(sender), receiver)
}

impl EventSender {
    /// Sends an event, and waits while the queue is full.
    ///
    /// # Errors
    /// The event loop has ended.
    pub async fn send(&self, event: Event) -> Result<(), AggregatorStopped> {
        self.send_input(LoopInput::Event(event)).await
    }

    /// Sends an event from a thread; blocks while the queue is full.
    ///
    /// # Errors
    /// The event loop has ended.
    pub fn blocking_send(&self, event: Event) -> Result<(), AggregatorStopped> {
        self.0.blocking_send(LoopInput::Event(event)).map_err(|_| AggregatorStopped)
    }

    /// Registers a client; must precede all events of that client.
    ///
    /// # Errors
    /// The event loop has ended.
    pub async fn open_client(
        &self,
        client: ClientId,
        messages: mpsc::Sender<ClientMessage>,
    ) -> Result<(), AggregatorStopped> {
        self.send_input(LoopInput::ClientOpened { client, gateway: None, messages }).await
    }

    /// Registers a call on a gateway's connection; must precede all events of that call.
    ///
    /// # Errors
    /// The event loop has ended.
    pub async fn open_call(
        &self,
        call: ClientId,
        gateway: GatewayId,
        messages: mpsc::Sender<ClientMessage>,
    ) -> Result<(), AggregatorStopped> {
        self.send_input(LoopInput::ClientOpened { client: call, gateway: Some(gateway), messages }).await
    }

    /// Registers a gateway's connection; must precede all events of that connection.
    ///
    /// # Errors
    /// The event loop has ended.
    pub async fn open_gateway(
        &self,
        gateway: GatewayId,
        messages: mpsc::Sender<GatewayMessage>,
    ) -> Result<(), AggregatorStopped> {
        self.send_input(LoopInput::GatewayOpened { gateway, messages }).await
    }

    /// Sends an event of the ledger from the ledger's thread; blocks while the queue is full.
    ///
    /// # Errors
    /// The event loop has ended.
    pub fn blocking_send_ledger(&self, event: LedgerEvent) -> Result<(), AggregatorStopped> {
        self.0.blocking_send(LoopInput::Ledger(event)).map_err(|_| AggregatorStopped)
    }

    /// Sends an event of the ledger that may be lost: it is dropped if the queue is full or the event loop has ended.
    pub fn try_send_ledger(&self, event: LedgerEvent) {
        let _ = self.0.try_send(LoopInput::Ledger(event));
    }

    async fn send_input(&self, input: LoopInput) -> Result<(), AggregatorStopped> {
        self.0.send(input).await.map_err(|_| AggregatorStopped)
    }
}
