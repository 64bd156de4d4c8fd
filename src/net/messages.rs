//! What the tasks and threads of this module send to the event loop, and what the loop sends to them.

use crate::aggregator::{AttemptId, CallPart, ClientId, Event, Reply};
use crate::ledger::LedgerEvent;
use std::fmt;
use tokio::sync::mpsc;

/// Events that wait for the event loop; a sender waits while the queue is full.
const EVENT_QUEUE_LENGTH: usize = 1024;

/// Messages that wait for a client's task: the reply, and one request to close on top of it.
pub(crate) const CLIENT_QUEUE_LENGTH: usize = 4;

/// Messages that wait for a leaf connection's task; a connection whose queue is full is given up.
pub(crate) const LEAF_QUEUE_LENGTH: usize = 256;

/// The event loop has ended; nothing more is carried out.
#[derive(Debug)]
pub(crate) struct AggregatorStopped;

impl fmt::Display for AggregatorStopped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the aggregator has stopped")
    }
}

impl std::error::Error for AggregatorStopped {}

/// What the event loop receives.
pub(crate) enum LoopInput {
    /// A client has connected.
    ClientOpened {
        /// Its number.
        client: ClientId,
        /// Where messages for it go.
        messages: mpsc::Sender<ClientMessage>,
    },
    /// An event for the aggregator.
    Event(Event),
    /// An event of the ledger, which also concerns replies that wait for it.
    Ledger(LedgerEvent),
}

/// A message for a client's task.
pub(crate) enum ClientMessage {
    /// The reply to the client's request.
    Reply {
        /// What is to be answered.
        reply: Reply,
        /// The connection ends after this reply.
        close: bool,
    },
    /// Close the connection once no request is under way.
    Close,
}

/// A message for a leaf connection's task. The aggregator counts these and awaits [`Event::Written`] for each.
pub(crate) enum LeafMessage {
    /// Send these parts in one call.
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

    /// Announces a client before any event of its own.
    ///
    /// # Errors
    /// The event loop has ended.
    pub async fn open_client(
        &self,
        client: ClientId,
        messages: mpsc::Sender<ClientMessage>,
    ) -> Result<(), AggregatorStopped> {
        self.send_input(LoopInput::ClientOpened { client, messages }).await
    }

    /// Sends an event of the ledger from the ledger's thread; blocks while the queue is full.
    ///
    /// # Errors
    /// The event loop has ended.
    pub fn blocking_send_ledger(&self, event: LedgerEvent) -> Result<(), AggregatorStopped> {
        self.0.blocking_send(LoopInput::Ledger(event)).map_err(|_| AggregatorStopped)
    }

    /// Sends an event of the ledger that may be lost: it is dropped where the queue is full or the loop has ended.
    pub fn try_send_ledger(&self, event: LedgerEvent) {
        let _ = self.0.try_send(LoopInput::Ledger(event));
    }

    async fn send_input(&self, input: LoopInput) -> Result<(), AggregatorStopped> {
        self.0.send(input).await.map_err(|_| AggregatorStopped)
    }
}
