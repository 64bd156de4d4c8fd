//! The Flight server for gateways: `DoGet` with a ticket that contains the query, and `GetFlightInfo` for such a
//! ticket.

use super::answer::{self, FlightStream};
use super::observed_socket::{ObservedSocket, WriteObserver};
use super::ticket::{self, MAX_TICKET_BYTES, QueryTicket};
use crate::aggregator::{ClientId, Event, GatewayId, Limits, NewQuery};
use crate::net::listener::ACCEPT_RETRY_DELAY;
use crate::net::messages::{AggregatorStopped, CLIENT_QUEUE_LENGTH, ClientMessage, EventSender};
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, Result as ActionResult, SchemaAsIpc,
    SchemaResult, Ticket,
};
use futures_util::stream::{self, BoxStream, Stream};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::sleep;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};
use tracing::warn;

/// First client ID of Flight calls; the HTTP server uses the IDs below.
const FIRST_CLIENT_ID: u64 = 1 << 63;
/// Maximum number of gateway connections, in addition to the HTTP server's connections.
const MAX_GATEWAY_CONNECTIONS: usize = 16;
/// Number of permitted HTTP client connections per permitted gateway connection.
const CLIENTS_PER_GATEWAY: usize = 8;
/// Maximum number of calls in flight on one connection.
const MAX_CALLS_PER_CONNECTION: u32 = 256;
/// Maximum size of a gRPC message, with room for the encoding around a ticket.
const MAX_MESSAGE_BYTES: usize = 2 * MAX_TICKET_BYTES;

type GatewaySocket = ObservedSocket<OpenGateway>;

/// Serves gateways until the sender of `stopped` is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    events: EventSender,
    limits: Limits,
    stopped: oneshot::Receiver<()>,
) {
    let connections = (limits.client_connections / CLIENTS_PER_GATEWAY).clamp(1, MAX_GATEWAY_CONNECTIONS);
    let incoming = accept_gateways(listener, connections, events.clone());
    let service =
        FlightServiceServer::new(QueryService { events, next_client_id: AtomicU64::new(FIRST_CLIENT_ID) })
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let server = Server::builder().max_concurrent_streams(MAX_CALLS_PER_CONNECTION).add_service(service);
    let stopped = async { drop(stopped.await) };
    if let Err(error) = server.serve_with_incoming_shutdown(incoming, stopped).await {
        warn!("Flight server failed: {error}");
    }
}

/// Returns a stream of at most `connections` concurrent gateway connections. Further gateways wait in the listener's
/// queue, which bounds the number of file descriptors.
fn accept_gateways(
    listener: TcpListener,
    connections: usize,
    events: EventSender,
) -> impl Stream<Item = io::Result<GatewaySocket>> {
    let acceptor = Acceptor { listener, permits: Arc::new(Semaphore::new(connections)), events, accepted: 0 };
    stream::unfold(acceptor, |mut acceptor| async {
        let accepted = acceptor.accept().await?;
        Some((accepted, acceptor))
    })
}

struct Acceptor {
    listener: TcpListener,
    permits: Arc<Semaphore>,
    events: EventSender,
    /// Number of gateways accepted so far.
    accepted: u64,
}

impl Acceptor {
    /// Accepts a gateway once there is a permit; `None` if the aggregator has stopped.
    async fn accept(&mut self) -> Option<io::Result<GatewaySocket>> {
        if self.permits.available_permits() == 0 {
            warn!(open = self.accepted, "all gateway connections are in use; further gateways wait");
        }
        let permit = self.permits.clone().acquire_owned().await.ok()?;
        match self.listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let gateway = GatewayId(self.accepted);
                self.accepted += 1;
                self.events.send(Event::GatewayOpened(gateway)).await.ok()?;
                let observer = OpenGateway { gateway, events: self.events.clone(), _permit: permit };
                Some(Ok(ObservedSocket { stream, observer }))
            }
            Err(error) => {
                sleep(ACCEPT_RETRY_DELAY).await;
                Some(Err(error))
            }
        }
    }
}

/// Holds a permit for as long as the socket is open, and reports its end; it does not observe writes.
struct OpenGateway {
    gateway: GatewayId,
    events: EventSender,
    _permit: OwnedSemaphorePermit,
}

impl WriteObserver for OpenGateway {}

impl Drop for OpenGateway {
    fn drop(&mut self) {
        let gateway = self.gateway;
        let events = self.events.clone();
        tokio::spawn(async move { events.send(Event::GatewayClosed(gateway)).await });
    }
}

struct QueryService {
    events: EventSender,
    next_client_id: AtomicU64,
}

/// A call in flight. Dropping it reports its end to the aggregator, whether it completes or is cancelled.
struct Call {
    client: ClientId,
    events: EventSender,
    messages: mpsc::Receiver<ClientMessage>,
}

impl Drop for Call {
    fn drop(&mut self) {
        let client = self.client;
        let events = self.events.clone();
        tokio::spawn(async move { events.send(Event::ClientClosed(client)).await });
    }
}

impl From<AggregatorStopped> for Status {
    fn from(_: AggregatorStopped) -> Self {
        Status::unavailable("ending")
    }
}

impl QueryService {
    /// Reports a call that is rejected before it reaches the aggregator, which counts it, and returns `status`.
    async fn reject(&self, status: Status) -> Status {
        let _ = self.events.send(Event::RequestMalformed(None)).await;
        status
    }

    async fn open_call(&self) -> Result<Call, AggregatorStopped> {
        let client = ClientId(self.next_client_id.fetch_add(1, Ordering::Relaxed));
        let (sender, messages) = mpsc::channel(CLIENT_QUEUE_LENGTH);
        self.events.open_client(client, sender).await?;
        Ok(Call { client, events: self.events.clone(), messages })
    }
}

fn read_query(request: &Request<Ticket>) -> Result<NewQuery, Status> {
    let time_left = ticket::time_left(request.metadata())?;
    let ticket = QueryTicket::parse(&request.get_ref().ticket)?;
    Ok(ticket.into_query(time_left))
}

#[tonic::async_trait]
impl FlightService for QueryService {
    type HandshakeStream = BoxStream<'static, Result<HandshakeResponse, Status>>;
    type ListFlightsStream = BoxStream<'static, Result<FlightInfo, Status>>;
    type DoGetStream = FlightStream;
    type DoPutStream = BoxStream<'static, Result<PutResult, Status>>;
    type DoExchangeStream = FlightStream;
    type DoActionStream = BoxStream<'static, Result<ActionResult, Status>>;
    type ListActionsStream = BoxStream<'static, Result<ActionType, Status>>;

    async fn do_get(&self, request: Request<Ticket>) -> Result<Response<FlightStream>, Status> {
        let query = match read_query(&request) {
            Ok(query) => query,
            Err(status) => return Err(self.reject(status).await),
        };
        let mut call = self.open_call().await?;
        self.events.send(Event::QueryReceived(call.client, query)).await?;
        loop {
            match call.messages.recv().await {
                Some(ClientMessage::Reply { reply, .. }) => return answer::response(reply),
                // A call ends with its reply anyway.
                Some(ClientMessage::Close) => {}
                None => return Err(AggregatorStopped.into()),
            }
        }
    }

    async fn get_flight_info(
        &self,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let descriptor = request.into_inner();
        if let Err(error) = QueryTicket::parse(&descriptor.cmd) {
            return Err(self.reject(error.into()).await);
        }
        let ticket = Ticket { ticket: descriptor.cmd.clone() };
        let info = FlightInfo::new()
            .try_with_schema(&answer::schema(true))
            .map_err(|error| Status::internal(error.to_string()))?;
        let endpoint = FlightEndpoint::new().with_ticket(ticket);
        Ok(Response::new(info.with_descriptor(descriptor).with_endpoint(endpoint)))
    }

    async fn get_schema(&self, _: Request<FlightDescriptor>) -> Result<Response<SchemaResult>, Status> {
        let options = arrow_ipc::writer::IpcWriteOptions::default();
        let result = SchemaAsIpc::new(&answer::schema(true), &options).try_into();
        result
            .map(Response::new)
            .map_err(|error: arrow_schema::ArrowError| Status::internal(error.to_string()))
    }

    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Self::HandshakeStream>, Status> {
        Err(Status::unimplemented("handshake"))
    }

    async fn list_flights(&self, _: Request<Criteria>) -> Result<Response<Self::ListFlightsStream>, Status> {
        Err(Status::unimplemented("list_flights"))
    }

    async fn poll_flight_info(&self, _: Request<FlightDescriptor>) -> Result<Response<PollInfo>, Status> {
        Err(Status::unimplemented("poll_flight_info"))
    }

    async fn do_put(&self, _: Request<Streaming<FlightData>>) -> Result<Response<Self::DoPutStream>, Status> {
        Err(Status::unimplemented("do_put"))
    }

    async fn do_exchange(&self, _: Request<Streaming<FlightData>>) -> Result<Response<FlightStream>, Status> {
        Err(Status::unimplemented("do_exchange"))
    }

    async fn do_action(&self, _: Request<Action>) -> Result<Response<Self::DoActionStream>, Status> {
        Err(Status::unimplemented("do_action"))
    }

    async fn list_actions(&self, _: Request<Empty>) -> Result<Response<Self::ListActionsStream>, Status> {
        Err(Status::unimplemented("list_actions"))
    }
}
