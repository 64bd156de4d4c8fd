//! Accepts client connections of any protocol up to the client capacity, which all protocols share, and drains the
//! listeners at shutdown.

use super::listener::ACCEPT_RETRY_DELAY;
use super::messages::EventSender;
use crate::aggregator::{Event, Limits};
use std::io;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::sleep;
use tracing::warn;

/// Maximum number of concurrent client connections. The event loop changes it, the accept loops enforce it.
struct ClientCapacity {
    permits: Arc<Semaphore>,
    connections: usize,
}

impl ClientCapacity {
    fn new(connections: usize) -> Self {
        ClientCapacity { permits: Arc::new(Semaphore::new(connections)), connections }
    }

    /// The semaphore with one permit per connection; a permit is released when its connection ends.
    fn permits(&self) -> Arc<Semaphore> {
        self.permits.clone()
    }

    /// Changes the capacity. If it shrinks, excess connections stay open until the aggregator closes them.
    fn resize(&mut self, connections: usize) {
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

/// The capacities for client connections.
pub(super) struct Capacities {
    all_clients: ClientCapacity,
    gateways: ClientCapacity,
}

impl Capacities {
    pub fn new(limits: Limits) -> Self {
        Capacities {
            all_clients: ClientCapacity::new(limits.max_client_connections()),
            gateways: ClientCapacity::new(limits.max_gateway_connections()),
        }
    }

    /// The capacity of the listener for HTTP clients.
    pub fn http(&self) -> ListenerCapacity {
        ListenerCapacity { all_clients: self.all_clients.permits(), protocol: None }
    }

    /// The capacity of the listener for gateways.
    pub fn flight(&self) -> ListenerCapacity {
        ListenerCapacity { all_clients: self.all_clients.permits(), protocol: Some(self.gateways.permits()) }
    }

    /// Changes the capacities to those of new limits.
    pub fn resize(&mut self, limits: Limits) {
        self.all_clients.resize(limits.max_client_connections());
        self.gateways.resize(limits.max_gateway_connections());
    }
}

/// The capacities that a listener's connections count towards: that of all clients, and for some protocols one of their own.
#[derive(Clone)]
pub(super) struct ListenerCapacity {
    all_clients: Arc<Semaphore>,
    protocol: Option<Arc<Semaphore>>,
}

/// The permits of one connection, released when dropped.
pub(super) struct ConnectionPermit {
    _all_clients: OwnedSemaphorePermit,
    _protocol: Option<OwnedSemaphorePermit>,
}

impl ListenerCapacity {
    async fn acquire(&self) -> Result<ConnectionPermit, AcquireError> {
        let protocol = match &self.protocol {
            Some(protocol) => Some(protocol.clone().acquire_owned().await?),
            None => None,
        };
        let all_clients = self.all_clients.clone().acquire_owned().await?;
        Ok(ConnectionPermit { _all_clients: all_clients, _protocol: protocol })
    }
}

/// Starts the task that serves a connection in one protocol.
pub(super) trait SessionStarter {
    /// Registers the connection with the event loop before any of its events are sent, and starts its task, which drops
    /// `permit` when the connection has ended.
    async fn start_session(&mut self, stream: TcpStream, permit: ConnectionPermit);
}

/// Accepts clients until the sender of `stop` is dropped; then accepts the connections that are still queued, closes
/// the listener and reports [`Event::ListenerClosed`].
///
/// The capacity is slightly above the number of connections at which the aggregator closes idle clients. Further
/// clients wait in the kernel's accept queue, so that the process cannot run out of file descriptors.
pub(super) async fn accept_clients(
    listener: TcpListener,
    mut sessions: impl SessionStarter,
    events: EventSender,
    capacity: ListenerCapacity,
    mut stop: oneshot::Receiver<()>,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            _ = &mut stop => break,
            accepted = accept_within_capacity(&listener, &capacity) => accepted,
        };
        match accepted {
            // Another listener may have taken the last permit; then this connection waits for the next one.
            Ok(stream) => match capacity.acquire().await {
                Ok(permit) => sessions.start_session(stream, permit).await,
                Err(_) => return,
            },
            Err(error) => {
                warn!("failed to accept a client connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    accept_queued(listener, &mut sessions, &capacity).await;
    let _ = events.send(Event::ListenerClosed).await;
}

/// Accepts a connection once there is capacity. No permit is held meanwhile: it would be lost to the other listeners.
async fn accept_within_capacity(
    listener: &TcpListener,
    capacity: &ListenerCapacity,
) -> io::Result<TcpStream> {
    drop(capacity.acquire().await);
    let (stream, _) = listener.accept().await?;
    Ok(stream)
}

/// Accepts all connections in the kernel's accept queue: closing the listener would reset them and lose their requests.
///
/// The standard library's listener is used because it queries the kernel directly, while tokio's relies on cached
/// readiness. If the capacity is exhausted, this waits until another connection ends.
async fn accept_queued(
    listener: TcpListener,
    sessions: &mut impl SessionStarter,
    capacity: &ListenerCapacity,
) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok(permit) = capacity.acquire().await {
        let Ok((stream, _)) = listener.accept() else { break };
        if stream.set_nonblocking(true).is_err() {
            continue;
        }
        if let Ok(stream) = TcpStream::from_std(stream) {
            sessions.start_session(stream, permit).await;
        }
    }
}
