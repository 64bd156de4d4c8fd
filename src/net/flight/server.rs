//! The Flight service for gateways: `DoGet` with a ticket that contains the query, and `GetFlightInfo` for such a ticket.

use super::answer::{self, FlightStream};
use super::ticket::{self, MAX_TICKET_BYTES, QueryTicket};
use crate::aggregator::{ClientId, Event, GatewayId, NewQuery};
use crate::net::messages::{AggregatorStopped, CLIENT_QUEUE_LENGTH, ClientMessage, EventSender};
use arrow_flight::flight_service_server::FlightService;
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightEndpoint, FlightInfo,
    HandshakeRequest, HandshakeResponse, PollInfo, PutResult, Result as ActionResult, SchemaAsIpc,
    SchemaResult, Ticket,
};
use futures_util::stream::BoxStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;
use tonic::{Request, Response, Status, Streaming};

/// Maximum size of a gRPC message, with room for the encoding around a ticket.
pub(super) const MAX_MESSAGE_BYTES: usize = 2 * MAX_TICKET_BYTES;

/// Serves the calls of one gateway connection.
pub(super) struct QueryService {
    gateway: GatewayId,
    /// The ID of the next call, shared by all connections.
    next_call: Arc<AtomicU64>,
    events: EventSender,
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
    pub fn new(gateway: GatewayId, next_call: Arc<AtomicU64>, events: EventSender) -> Self {
        QueryService { gateway, next_call, events }
    }

    /// Reports a call that is rejected before it reaches the aggregator, which counts it, and returns `status`.
    async fn reject(&self, status: Status) -> Status {
        let _ = self.events.send(Event::RequestMalformed(None)).await;
        status
    }

    async fn open_call(&self) -> Result<Call, AggregatorStopped> {
        let client = ClientId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (sender, messages) = mpsc::channel(CLIENT_QUEUE_LENGTH);
        self.events.open_call(client, self.gateway, sender).await?;
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
                Some(ClientMessage::Reply { reply, .. }) => {
                    let mut response = answer::response(reply)?;
                    // The call is open until its answer has been written.
                    response.extensions_mut().insert(Arc::new(call));
                    return Ok(response);
                }
                // A call ends with its reply anyway.
                Some(ClientMessage::Close | ClientMessage::CloseNow) => {}
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
