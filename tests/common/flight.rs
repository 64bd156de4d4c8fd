//! Flight stand-ins: a node and a gateway, each on a thread with a runtime of its own.

use super::process::{Listed, PATIENCE, listed};
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
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Channel, Server};
use tonic::{Request, Response, Status, Streaming};

/// What a node is to do with a part.
pub enum Play {
    /// Answer with a row.
    Good(&'static str),
    Bad,
    Later,
    /// Answer with what cannot be read.
    Spoilt,
    /// Give a row and break the whole connection off.
    Cut(&'static str),
}

/// A part that has come to a node.
pub struct Asked {
    pub ticket: String,
    play: oneshot::Sender<Play>,
    /// Told once the mixer has called the part off.
    pub dropped: Receiver<()>,
}

impl Asked {
    pub fn play(self, play: Play) {
        let _ = self.play.send(play);
    }
}

/// A node that answers by Flight; the test decides what it does with each part.
pub struct FlightNode {
    pub address: SocketAddr,
    asked: Receiver<Asked>,
    runtime: Option<Runtime>,
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime")
}

impl FlightNode {
    pub fn new() -> Self {
        let runtime = runtime();
        let (to, asked) = channel();
        let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a port");
        let address = listener.local_addr().expect("bound");
        let server = Server::builder().add_service(FlightServiceServer::new(Service { to }));
        runtime.spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
        FlightNode { address, asked, runtime: Some(runtime) }
    }

    pub fn listed(&self, name: &'static str, cell: u32) -> Listed {
        listed(name, format!("grpc+tcp://{}", self.address), cell)
    }

    pub fn try_part(&self) -> Option<Asked> {
        self.asked.try_recv().ok()
    }

    /// Breaks all connections off.
    pub fn cut(&mut self) {
        self.runtime.take().expect("it ran").shutdown_background();
    }
}

struct Service {
    to: Sender<Asked>,
}

/// Tells when it is dropped.
struct Tell(Sender<()>);

impl Drop for Tell {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

fn row(text: &str) -> RecordBatch {
    let column: ArrayRef = Arc::new(StringArray::from(vec![text]));
    RecordBatch::try_from_iter([("blob", column)]).expect("a batch")
}

type Boxed<T> = BoxStream<'static, Result<T, Status>>;

#[tonic::async_trait]
impl FlightService for Service {
    type HandshakeStream = Boxed<HandshakeResponse>;
    type ListFlightsStream = Boxed<FlightInfo>;
    type DoGetStream = Boxed<FlightData>;
    type DoPutStream = Boxed<PutResult>;
    type DoExchangeStream = Boxed<FlightData>;
    type DoActionStream = Boxed<arrow_flight::Result>;
    type ListActionsStream = Boxed<ActionType>;

    async fn do_get(&self, request: Request<Ticket>) -> Result<Response<Boxed<FlightData>>, Status> {
        let (play, decided) = oneshot::channel();
        let (told, dropped) = channel();
        let tell = Tell(told);
        let ticket = String::from_utf8(request.into_inner().ticket.to_vec()).expect("text");
        let _ = self.to.send(Asked { ticket, play, dropped });
        let encode = |batches: Boxed<RecordBatch>| {
            let batches = batches.map_err(|s| FlightError::Tonic(Box::new(s)));
            FlightDataEncoderBuilder::new().build(batches).map_err(Status::from).boxed()
        };
        match decided.await {
            Ok(Play::Good(text)) => Ok(Response::new(encode(stream::iter([Ok(row(text))]).boxed()))),
            Ok(Play::Cut(text)) => {
                let more = stream::pending().inspect(move |_| assert!(tell.0.send(()).is_ok()));
                Ok(Response::new(encode(stream::iter([Ok(row(text))]).chain(more).boxed())))
            }
            Ok(Play::Spoilt) => {
                let none = FlightData { data_header: "noise".into(), ..FlightData::default() };
                Ok(Response::new(stream::iter([Ok(none)]).boxed()))
            }
            Ok(Play::Later) => Err(Status::resource_exhausted("full")),
            Ok(Play::Bad) => Err(Status::internal("broken")),
            Err(_) => std::future::pending().await,
        }
    }

    async fn do_action(
        &self,
        action: Request<Action>,
    ) -> Result<Response<Boxed<arrow_flight::Result>>, Status> {
        assert_eq!(action.into_inner().r#type, "load");
        let load = arrow_flight::Result { body: "inflight=7,qps=3".into() };
        Ok(Response::new(stream::iter([Ok(load)]).boxed()))
    }
    async fn handshake(
        &self,
        _: Request<Streaming<HandshakeRequest>>,
    ) -> Result<Response<Boxed<HandshakeResponse>>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn list_flights(&self, _: Request<Criteria>) -> Result<Response<Boxed<FlightInfo>>, Status> {
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
    async fn do_put(&self, _: Request<Streaming<FlightData>>) -> Result<Response<Boxed<PutResult>>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn do_exchange(
        &self,
        _: Request<Streaming<FlightData>>,
    ) -> Result<Response<Boxed<FlightData>>, Status> {
        Err(Status::unimplemented(""))
    }
    async fn list_actions(&self, _: Request<Empty>) -> Result<Response<Boxed<ActionType>>, Status> {
        Err(Status::unimplemented(""))
    }
}

/// What a gateway was given: whether it is whole, and its rows.
pub type Pulled = Result<(String, Vec<(u32, String)>), Status>;

/// A gateway with a connection to the mixer's Flight front.
pub struct Gateway {
    runtime: Runtime,
    client: FlightServiceClient<Channel>,
}

pub fn ticket(id: &str, shards: &[u32]) -> String {
    let range = |s: &u32| format!(r#"{{"range":{s},"portion":{}}}"#, 1.0 / shards.len() as f64);
    let ranges: Vec<String> = shards.iter().map(range).collect();
    format!(r#"{{"id":"{id}","kind":"c","owner":"acme","ranges":[{}],"predicate":"p"}}"#, ranges.join(","))
}

impl Gateway {
    pub fn connect(address: &str) -> Self {
        let runtime = runtime();
        let endpoint = Channel::from_shared(format!("http://{address}")).expect("an address");
        let client = FlightServiceClient::new(runtime.block_on(endpoint.connect()).expect("accepted"));
        Gateway { runtime, client }
    }

    /// Pulls in the background; the future result is waited for with patience, or dropped for a cancel.
    pub fn pull(&self, ticket: String, deadline: Duration) -> Pull {
        let mut client = self.client.clone();
        let (to, from) = channel();
        let task = self.runtime.spawn(async move {
            let mut request = Request::new(Ticket { ticket: ticket.into() });
            request.set_timeout(deadline);
            let _ = to.send(pull(&mut client, request).await);
        });
        Pull { task, from }
    }

    pub fn info(&self, ticket: &str) -> Result<FlightInfo, Status> {
        let descriptor = FlightDescriptor::new_cmd(ticket.to_owned());
        let mut client = self.client.clone();
        self.runtime.block_on(client.get_flight_info(descriptor)).map(Response::into_inner)
    }
}

/// A pull under way.
pub struct Pull {
    task: tokio::task::JoinHandle<()>,
    from: Receiver<Pulled>,
}

impl Pull {
    pub fn result(&self) -> Pulled {
        self.from.recv_timeout(PATIENCE).expect("an end in time")
    }

    pub fn cancel(self) {
        self.task.abort();
    }
}

async fn pull(client: &mut FlightServiceClient<Channel>, request: Request<Ticket>) -> Pulled {
    let stream = client.do_get(request).await?.into_inner();
    let stream = stream.map_err(|s| FlightError::Tonic(Box::new(s)));
    let mut batches = FlightRecordBatchStream::new_from_flight_data(stream);
    let mut rows = Vec::new();
    while let Some(batch) = batches.try_next().await.map_err(Status::from)? {
        let ranges = batch.column(0).as_primitive::<UInt32Type>().values().to_vec();
        let blobs = batch.column(1).as_string::<i32>().iter().map(|b| b.unwrap_or_default().to_owned());
        rows.extend(ranges.into_iter().zip(blobs));
    }
    let total = batches.schema().and_then(|s| s.metadata().get("total").cloned());
    Ok((total.expect("told"), rows))
}
