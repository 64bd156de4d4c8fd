//! The tower service of a Flight client, on top of exactly one HTTP/2 connection. It never reconnects by itself: the
//! aggregator manages connections.

use super::observed_socket::ObservedSocket;
use super::write_progress::WriteProgress;
use hyper::client::conn::http2::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tonic::body::Body;

/// The future that drives the connection's I/O; calls make progress only while it is polled.
pub(super) type Driver = Connection<TokioIo<ObservedSocket<Rc<WriteProgress>>>, Body, LocalExecutor>;

/// The sending half of a connection.
#[derive(Clone)]
pub(super) struct Http2Channel(SendRequest<Body>);

impl Http2Channel {
    /// Performs the HTTP/2 handshake on a connected socket.
    ///
    /// # Errors
    /// The handshake has failed.
    pub async fn handshake(
        stream: TcpStream,
        progress: Rc<WriteProgress>,
    ) -> Result<(Self, Driver), hyper::Error> {
        let io = TokioIo::new(ObservedSocket { stream, observer: progress });
        let (sender, driver) = Builder::new(LocalExecutor).handshake::<_, Body>(io).await?;
        Ok((Http2Channel(sender), driver))
    }
}

impl tower_service::Service<http::Request<Body>> for Http2Channel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}

/// Spawns hyper's connection tasks on the current thread.
#[derive(Clone)]
pub(super) struct LocalExecutor;

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalExecutor {
    fn execute(&self, task: F) {
        spawn_local(async move { drop(task.await) });
    }
}
