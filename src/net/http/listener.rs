//! Accepts clients within the client capacity and starts a session for each.

use super::session;
use crate::aggregator::{ClientId, Event};
use crate::net::listener::ACCEPT_RETRY_DELAY;
use crate::net::messages::{CLIENT_QUEUE_LENGTH, EventSender};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::sleep;
use tracing::warn;

/// How many clients may be connected at once. Changed by the event loop, used by the accept loop.
pub(crate) struct ClientCapacity {
    permits: Arc<Semaphore>,
    connections: usize,
}

impl ClientCapacity {
    pub fn new(connections: usize) -> Self {
        ClientCapacity { permits: Arc::new(Semaphore::new(connections)), connections }
    }

    /// One permit for each connection; a permit returns when its connection ends.
    pub fn permits(&self) -> Arc<Semaphore> {
        self.permits.clone()
    }

    /// Changes the capacity. Connections above a smaller one stay until the aggregator closes them.
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

/// Accepts clients until the sender of `stop` is dropped; then empties the listener's queue, closes the listener and
/// reports [`Event::ListenerClosed`].
///
/// The capacity is a few more than the number at which the aggregator closes idle clients. Further clients wait in the
/// kernel's queue, so that descriptors never run out.
pub(crate) async fn accept_clients(
    listener: TcpListener,
    events: EventSender,
    permits: Arc<Semaphore>,
    mut stop: oneshot::Receiver<()>,
) {
    let mut acceptor = Acceptor { next_client: 0, events };
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
                warn!("accepting clients: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
            (Err(_), _) => return,
        }
    }
    acceptor.empty_queue(listener, &permits).await;
    let _ = acceptor.events.send(Event::ListenerClosed).await;
}

struct Acceptor {
    next_client: u64,
    events: EventSender,
}

impl Acceptor {
    /// Announces the client to the aggregator before anything else, and starts its task.
    async fn start_session(&mut self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let client = ClientId(self.next_client);
        self.next_client += 1;
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

    /// Accepts what the kernel has queued: a queued connection that nobody reads is a request lost.
    ///
    /// The plain listener asks the kernel itself and not what the event loop last heard of it. Where the capacity is
    /// used up, this waits for the next connection that ends.
    async fn empty_queue(&mut self, listener: TcpListener, permits: &Arc<Semaphore>) {
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
