//! Accepts client connections up to the client capacity and starts a session for each.

use super::session;
use crate::aggregator::{ClientId, Event};
use crate::net::listener::ACCEPT_RETRY_DELAY;
use crate::net::messages::{CLIENT_QUEUE_LENGTH, EventSender};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::sleep;
use tracing::warn;

/// Maximum number of concurrent client connections. The event loop changes it, the accept loop enforces it.
pub(crate) struct ClientCapacity {
    permits: Arc<Semaphore>,
    connections: usize,
}

impl ClientCapacity {
    pub fn new(connections: usize) -> Self {
        ClientCapacity { permits: Arc::new(Semaphore::new(connections)), connections }
    }

    /// The semaphore with one permit per connection; a permit is released when its connection ends.
    pub fn permits(&self) -> Arc<Semaphore> {
        self.permits.clone()
    }

    /// Changes the capacity. If it shrinks, excess connections stay open until the aggregator closes them.
    pub fn resize(&mut self, connections: usize) {
        if connections > self.connections {
            self.permits.add_permits(connections - self.connections);
            self.connections = connections;
            return;
        }
        self.connections -= self.permits.forget_permits(self.connections - connections);
        if self.connections > connections {
            warn!(open = self.connections, capacity = connections, "more clients are connected than allowed");
        }
    }
}

/// Accepts clients until the sender of `stop` is dropped; then accepts the connections that are still queued, closes
/// the listener and reports [`Event::ListenerClosed`].
///
/// The capacity is slightly above the number of connections at which the aggregator closes idle clients. Further
/// clients wait in the kernel's accept queue, so that the process cannot run out of file descriptors.
pub(crate) async fn accept_clients(
    listener: TcpListener,
    events: EventSender,
    permits: Arc<Semaphore>,
    mut stop: oneshot::Receiver<()>,
) {
    let mut acceptor = Acceptor { next_client_id: 0, events };
    loop {
        let accepted = tokio::select! {
            biased;
            _ = &mut stop => break,
            accepted = async {
                let permit = permits.clone().acquire_owned().await;
                (permit, listener.accept().await)
            } => accepted,
        };
        match accepted {
            (Ok(permit), Ok((stream, _))) => acceptor.start_session(stream, permit).await,
            (_, Err(error)) => {
                warn!("failed to accept a client connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
            (Err(_), _) => return,
        }
    }
    acceptor.accept_queued(listener, &permits).await;
    let _ = acceptor.events.send(Event::ListenerClosed).await;
}

struct Acceptor {
    next_client_id: u64,
    events: EventSender,
}

impl Acceptor {
    /// Registers the client with the event loop before any of its events are sent, and starts its session task.
    async fn start_session(&mut self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let client = ClientId(self.next_client_id);
        self.next_client_id += 1;
        let (sender, messages) = mpsc::channel(CLIENT_QUEUE_LENGTH);
        if self.events.open_client(client, sender).await.is_err() {
            return;
        }
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            session::run(stream, client, messages, &events).await;
            drop(permit);
        });
    }

    /// Accepts all connections in the kernel's accept queue: closing the listener would reset them and lose their
    /// requests.
    ///
    /// The standard library's listener is used because it queries the kernel directly, while tokio's relies on cached
    /// readiness. If the capacity is exhausted, this waits until another connection ends.
    async fn accept_queued(&mut self, listener: TcpListener, permits: &Arc<Semaphore>) {
        let Ok(listener) = listener.into_std() else { return };
        while let Ok(permit) = permits.clone().acquire_owned().await {
            let Ok((stream, _)) = listener.accept() else { break };
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            if let Ok(stream) = TcpStream::from_std(stream) {
                self.start_session(stream, permit).await;
            }
        }
    }
}
