//! One gateway connection: serves its calls over HTTP/2 until either side closes it. A close asked for by the aggregator
//! is graceful: the gateway is told to send no more calls, and those in flight are answered first.

use super::call_request;
use super::call_tracker::CallTracker;
use super::server::{MAX_MESSAGE_BYTES, QueryService};
use crate::aggregator::{Event, GatewayId};
use crate::net::client_listener::{ConnectionPermit, SessionStarter};
use crate::net::lingering_close::lingering_close;
use crate::net::memory::MemoryBudget;
use crate::net::messages::{EventSender, GATEWAY_QUEUE_LENGTH, GatewayMessage};
use arrow_flight::flight_service_server::FlightServiceServer;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tower_service::Service;
use tracing::debug;

/// First client ID of Flight calls; the HTTP server uses the IDs below.
const FIRST_CALL_ID: u64 = 1 << 63;
/// Maximum number of calls in flight on one connection.
const MAX_CALLS_PER_CONNECTION: u32 = 256;
/// Data of requests that a gateway may send before it has been read, for each call and for all calls of a connection.
const WINDOW_BYTES: u32 = 64 << 10;
/// Maximum size of a call's headers, in the reckoning of HTTP/2, which adds 32 bytes for each field.
const MAX_HEADER_LIST_BYTES: u32 = 4 << 10;
/// Maximum size of an answer's data that waits for the gateway to read.
const MAX_SEND_BUFFER_BYTES: usize = 64 << 10;
/// Time without calls after which a gateway that has not acknowledged the close of its connection is disconnected.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Numbers the gateways and their calls, and starts a task for each connection.
pub(in crate::net) struct GatewaySessions {
    next_gateway: u64,
    next_call: Arc<AtomicU64>,
    events: EventSender,
    budget: MemoryBudget,
}

impl GatewaySessions {
    pub fn new(events: EventSender, budget: MemoryBudget) -> Self {
        GatewaySessions {
            next_gateway: 0,
            next_call: Arc::new(AtomicU64::new(FIRST_CALL_ID)),
            events,
            budget,
        }
    }
}

impl SessionStarter for GatewaySessions {
    async fn start_session(&mut self, mut stream: TcpStream, permit: ConnectionPermit) {
        let gateway = GatewayId(self.next_gateway);
        self.next_gateway += 1;
        let (sender, messages) = mpsc::channel(GATEWAY_QUEUE_LENGTH);
        if self.events.open_gateway(gateway, sender).await.is_err() {
            return;
        }
        let events = self.events.clone();
        let budget = self.budget.clone();
        let service = QueryService::new(gateway, self.next_call.clone(), events.clone());
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let calls = CallTracker::default();
            serve(&mut stream, service, &calls, &budget, messages).await;
            if calls.has_answered() {
                // An I/O error means that the gateway has disconnected.
                let _ = lingering_close(&mut stream, pending()).await;
            }
            drop(stream);
            drop(permit);
            let _ = events.send(Event::GatewayClosed(gateway)).await;
        });
    }
}

/// Serves the connection until the gateway closes it, or until it is closed because the aggregator asks for it or the gateway
/// does not read an answer.
async fn serve(
    stream: &mut TcpStream,
    service: QueryService,
    calls: &CallTracker,
    budget: &MemoryBudget,
    mut messages: mpsc::Receiver<GatewayMessage>,
) {
    let flight = FlightServiceServer::new(service).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let tracker = calls.clone();
    let service = service_fn(move |request| {
        let mut flight = flight.clone();
        let tracker = tracker.clone();
        let budget = budget.clone();
        async move {
            let call = match call_request::read(request, MAX_MESSAGE_BYTES, &budget, &tracker).await {
                Ok(call) => call,
                Err(status) => return Ok(status.into_http()),
            };
            let response = flight.call(call.request).await?;
            Ok::<_, Infallible>(tracker.track_answer(response, call.memory))
        }
    });
    let mut builder = http2::Builder::new(calls.clone());
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CALLS_PER_CONNECTION)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .max_send_buf_size(MAX_SEND_BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        result = connection.as_mut() => return log_end(result),
        message = messages.recv() => if matches!(message, Some(GatewayMessage::CloseNow)) {
            calls.reject_incomplete();
        },
        () = calls.stalled() => {}
    }
    connection.as_mut().graceful_shutdown();
    let forward_close_now = async {
        while let Some(message) = messages.recv().await {
            if matches!(message, GatewayMessage::CloseNow) {
                calls.reject_incomplete();
            }
        }
        pending::<()>().await;
    };
    tokio::select! {
        result = connection => log_end(result),
        () = calls.none_open_for(CLOSE_TIMEOUT) => {
            debug!("gateway has not acknowledged the close of its connection");
        }
        () = calls.none_open_after_rejection() => {
            debug!("gateway disconnected without waiting for further calls");
        }
        () = forward_close_now => {}
    }
}

fn log_end(result: hyper::Result<()>) {
    if let Err(error) = result {
        debug!("gateway connection failed: {error}");
    }
}
