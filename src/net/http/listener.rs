//! Starts a session for each HTTP connection.

use super::session;
use crate::aggregator::ClientId;
use crate::net::client_listener::{ConnectionPermit, SessionStarter};
use crate::net::messages::{CLIENT_QUEUE_LENGTH, EventSender};
use crate::net::metrics::NetMetrics;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Numbers the HTTP connections and starts their sessions.
pub(crate) struct HttpSessions {
    next_client_id: u64,
    events: EventSender,
    metrics: NetMetrics,
}

impl HttpSessions {
    pub fn new(events: EventSender, metrics: NetMetrics) -> Self {
        HttpSessions { next_client_id: 0, events, metrics }
    }
}

impl SessionStarter for HttpSessions {
    async fn start_session(&mut self, stream: TcpStream, permit: ConnectionPermit) {
        let client = ClientId(self.next_client_id);
        self.next_client_id += 1;
        let (sender, messages) = mpsc::channel(CLIENT_QUEUE_LENGTH);
        if self.events.open_client(client, sender).await.is_err() {
            return;
        }
        let events = self.events.clone();
        let NetMetrics { client_ends, memory } = self.metrics.clone();
        tokio::task::spawn_local(async move {
            let end = session::run(stream, client, messages, &events, &memory).await;
            client_ends.record(client, end);
            drop(permit);
        });
    }
}
