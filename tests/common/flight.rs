//! Fake Flight peers: a leaf server and a gateway, each with its own runtime thread.

use super::process::{ListedEndpoint, WAIT_TIMEOUT, listed_endpoint};
use arrow_array::cast::AsArray;
use arrow_array::types::UInt32Type;
use arrow_array::{ArrayRef, RecordBatch, StringArray};
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::{
    Action, ActionType, Criteria, Empty, FlightData, FlightDescriptor, FlightInfo, HandshakeRequest,
    HandshakeResponse, PollInfo, PutResult, SchemaResult, Ticket,
};
use futures_util::stream::{self, BoxStream, StreamExt, TryStreamExt};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Channel, Server};
use tonic::{Request, Response, Status, Streaming};

/// How a leaf server responds to a part.
pub enum LeafResponse {
    /// Answers with one row that has this value.
    Served(&'static str),
    Failed,
    Rejected,
    /// Sends data that cannot be decoded.
    Malformed,
    /// Sends one row with this value and no end of the answer; the test then closes the connection.
    Truncated(&'static str),
}

/// A part that a leaf server has received.
pub struct FlightPart {
    pub ticket: String,
    response: oneshot::Sender<LeafResponse>,
    /// Receives a message once the aggregator has cancelled the part.
    pub cancelled: Receiver<()>,
}

impl FlightPart {
    pub fn respond(self, response: LeafResponse) {
        let _ = self.response.send(response);
    }
}

/// A fake Flight leaf server; the test decides how it responds to each part.
pub struct FlightLeaf {
    pub address: SocketAddr,
    parts: Receiver<FlightPart>,
    runtime: Option<Runtime>,
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime")
}

impl FlightLeaf {
    pub fn new() -> Self {
        let runtime = runtime();
        let (part_sender, parts) = channel();
        let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a port");
        let address = listener.local_addr().expect("bound");
        let server = Server::builder().add_service(FlightServiceServer::new(LeafService { part_sender }));
        runtime.spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
        FlightLeaf { address, parts, runtime: Some(runtime) }
    }

    pub fn listed_endpoint(&self, name: &'static str, cell: u32) -> ListedEndpoint {
        listed_endpoint(name, format!("grpc+tcp://{}", self.address), cell)
    }

    pub fn try_part(&self) -> Option<FlightPart> {
        self.parts.try_recv().ok()
    }

    /// Closes all connections at once.
    pub fn close_connections(&mut self) {
        self.runtime.take().expect("the runtime is running").shutdown_background();
    }
}

struct LeafService {
    part_sender: Sender<FlightPart>,
}

/// Sends a message when it is dropped.
struct NotifyOnDrop(Sender<()>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

fn row(text: &str) -> RecordBatch {
    let column: ArrayRef = Arc::new(StringArray::from(vec![text]));
    RecordBatch::try_from_iter([("blob", column)]).expect("a batch")
}

type ResultStream<T> = BoxStream<'static, Result<T, Status>>;

#[tonic::async_trait]
impl FlightService for LeafService {
    type HandshakeStream = ResultStream<HandshakeResponse>;
    type ListFlightsStream = ResultStream<FlightInfo>;
    type DoGetStream = ResultStream<FlightData>;
    type DoPutStream = ResultStream<PutResult>;
    type DoExchangeStream = ResultStream<FlightData>;
    type DoActionStream = ResultStream<arrow_flight::Result>;
    type ListActionsStream = ResultStream<ActionType>;

    async fn do_get(&self, request: Request<Ticket>) -> Result<Response<ResultStream<FlightData>>, Status> {
        let (response, decided) = oneshot::channel();
        let (cancel_sender, cancelled) = channel();
        let notify = NotifyOnDrop(cancel_sender);
        let ticket = String::from_utf8(request.into_inner().ticket.to_vec()).expect("valid UTF-8");
        let _ = self.part_sender.send(FlightPart { ticket, response, cancelled });
        let encode = |batches: ResultStream<RecordBatch>| {
            let batches = batches.map_err(|status| FlightError::Tonic(Box::new(status)));
            FlightDataEncoderBuilder::new().build(batches).map_err(Status::from).boxed()
        };
        match decided.await {
            Ok(LeafResponse::Served(text)) => {
                Ok(Response::new(encode(stream::iter([Ok(row(text))]).boxed())))
            }
            Ok(LeafResponse::Truncated(text)) => {
                let more = stream::pending().inspect(move |_| assert!(notify.0.send(()).is_ok()));
                Ok(Response::new(encode(stream::iter([Ok(row(text))]).chain(more).boxed())))
            }
            Ok(LeafResponse::Malformed) => {
                let malformed = FlightData { data_header: "noise".into(), ..FlightData::default() };
                Ok(Response::new(stream::iter([Ok(malformed)]).boxed()))
            }
            Ok(LeafResponse::Rejected) => Err(Status::resource_exhausted("full")),
            Ok(LeafResponse::Failed) => Err(Status::internal("broken")),
            Err(_) => std::future::pending().await,
        }
    }

    async fn do_action(
        &self,
        action: Request<Action>,
    ) -> Result<Response<ResultStream<arrow_flight::Result>>, Status> {
        assert_eq!(action.into_inner().r#type, "load");
        let load = arrow_flight::Result { body: "inflight=7,qps=3".into() };
        Ok(Response::new(stream::iter([Ok(load)]).boxed()))
    }
    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<ResultStream<HandshakeResponse>>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn list_flights(&self, _: Request<Criteria>) -> Result<Response<ResultStream<FlightInfo>>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn get_flight_info(&self, _: Request<FlightDescriptor>) -> Result<Response<FlightInfo>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn poll_flight_info(&self, _: Request<FlightDescriptor>) -> Result<Response<PollInfo>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn get_schema(&self, _: Request<FlightDescriptor>) -> Result<Response<SchemaResult>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn do_put(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<ResultStream<PutResult>>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<ResultStream<FlightData>>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn list_actions(&self, _: Request<Empty>) -> Result<Response<ResultStream<ActionType>>, Status> {
        Err(Status::unimplemented(""))
    }
}

/// An answer as a gateway received it.
pub struct GatewayAnswer {
    /// The schema's metadata `total`.
    pub complete: String,
    /// Shard and value of each row.
    pub rows: Vec<(u32, String)>,
}

/// The initial window of an HTTP/2 stream, unless an endpoint sets another.
const DEFAULT_WINDOW_BYTES: u32 = 65_535;

/// A gateway with a connection to the aggregator's Flight server.
pub struct Gateway {
    runtime: Runtime,
    client: FlightServiceClient<Channel>,
}

pub fn ticket(id: &str, shards: &[u32]) -> String {
    let range = |shard: &u32| format!(r#"{{"range":{shard},"portion":{}}}"#, 1.0 / shards.len() as f64);
    let ranges: Vec<String> = shards.iter().map(range).collect();
    format!(r#"{{"id":"{id}","kind":"c","owner":"acme","ranges":[{}],"predicate":"p"}}"#, ranges.join(","))
}

impl Gateway {
    pub fn connect(address: &str) -> Self {
        Self::connect_with_window(address, DEFAULT_WINDOW_BYTES)
    }

    /// A gateway that lets the aggregator send this many bytes of an answer before it has read the earlier ones.
    pub fn connect_with_window(address: &str, window_bytes: u32) -> Self {
        let runtime = runtime();
        let endpoint = Channel::from_shared(format!("http://{address}")).expect("an address");
        let endpoint = endpoint.initial_stream_window_size(window_bytes);
        let client = FlightServiceClient::new(runtime.block_on(endpoint.connect()).expect("accepted"));
        Gateway { runtime, client }
    }

    /// Requests an answer in the background, which can be awaited or cancelled.
    pub fn start_query(&self, ticket: String, deadline: Duration) -> PendingAnswer {
        let mut client = self.client.clone();
        let (sender, result) = channel();
        let task = self.runtime.spawn(async move {
            let mut request = Request::new(Ticket { ticket: ticket.into() });
            request.set_timeout(deadline);
            let _ = sender.send(fetch_answer(&mut client, request).await);
        });
        PendingAnswer { task, result }
    }

    /// Requests an answer and leaves it unread.
    pub fn leave_unread(&self, ticket: String, deadline: Duration) -> Streaming<FlightData> {
        let mut request = Request::new(Ticket { ticket: ticket.into() });
        request.set_timeout(deadline);
        let mut client = self.client.clone();
        self.runtime.block_on(client.do_get(request)).expect("an answer").into_inner()
    }

    /// Reads an answer that was left unread.
    pub fn read(&self, answer: Streaming<FlightData>) -> Result<GatewayAnswer, Status> {
        self.runtime.block_on(read_answer(answer))
    }

    pub fn info(&self, ticket: &str) -> Result<FlightInfo, Status> {
        let descriptor = FlightDescriptor::new_cmd(ticket.to_owned());
        let mut client = self.client.clone();
        self.runtime.block_on(client.get_flight_info(descriptor)).map(Response::into_inner)
    }
}

/// A request in flight.
pub struct PendingAnswer {
    task: tokio::task::JoinHandle<()>,
    result: Receiver<Result<GatewayAnswer, Status>>,
}

impl PendingAnswer {
    pub fn result(&self) -> Result<GatewayAnswer, Status> {
        self.result.recv_timeout(WAIT_TIMEOUT).expect("a result before the timeout")
    }

    pub fn cancel(self) {
        self.task.abort();
    }
}

async fn fetch_answer(
    client: &mut FlightServiceClient<Channel>,
    request: Request<Ticket>,
) -> Result<GatewayAnswer, Status> {
    read_answer(client.do_get(request).await?.into_inner()).await
}

async fn read_answer(stream: Streaming<FlightData>) -> Result<GatewayAnswer, Status> {
    let stream = stream.map_err(|status| FlightError::Tonic(Box::new(status)));
    let mut batches = FlightRecordBatchStream::new_from_flight_data(stream);
    let mut rows = Vec::new();
    while let Some(batch) = batches.try_next().await.map_err(Status::from)? {
        let ranges = batch.column(0).as_primitive::<UInt32Type>().values().to_vec();
        let blobs = batch.column(1).as_string::<i32>().iter().map(|blob| blob.unwrap_or_default().to_owned());
        rows.extend(ranges.into_iter().zip(blobs));
    }
    let schema = batches.schema().expect("a schema");
    let complete = schema.metadata().get("total").expect("`total` in the metadata").clone();
    Ok(GatewayAnswer { complete, rows })
}

/// The connection preface of HTTP/2 and an empty SETTINGS frame.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";

/// A gateway that has opened a connection, sends nothing more and answers nothing, as if it had vanished.
pub struct SilentGateway(TcpStream);

impl SilentGateway {
    pub fn connect(address: &str) -> Self {
        let mut stream = TcpStream::connect(address).expect("accepted");
        stream.write_all(HTTP2_PREFACE).expect("written");
        SilentGateway(stream)
    }

    /// Returns once the aggregator has closed the connection; panics after `timeout`.
    pub fn wait_until_closed(&mut self, timeout: Duration) {
        self.0.set_read_timeout(Some(timeout)).expect("set");
        let started = Instant::now();
        let mut buffer = [0; 1024];
        // A reset is a close too.
        while self.0.read(&mut buffer).unwrap_or_else(|error| match error.kind() {
            ErrorKind::ConnectionReset => 0,
            _ => panic!("still open after {timeout:?}: {error}"),
        }) > 0
        {
            assert!(started.elapsed() < timeout, "still open after {timeout:?}");
        }
    }
}
