//! The admin server: one call of an operator to a connection. hyper reads and writes HTTP; what a call means is decided
//! by the aggregator. The event loop serves its queue first, so that no load makes an operator wait.

use super::listener::ACCEPT_RETRY_DELAY;
use crate::aggregator::{AdminCommand, AdminOutcome};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tracing::{info, warn};

/// Admin calls that wait for the event loop.
pub(super) const ADMIN_QUEUE_LENGTH: usize = 64;
/// Connections whose request is not in; beyond them the one that has waited longest is closed. Against callers that
/// hold a connection and send nothing: descriptors are few.
const MAX_SILENT_CONNECTIONS: usize = 16;
/// Connections with those whose request is in: further ones wait in the listener's queue.
const MAX_CONNECTIONS: usize = 64;
/// Rounds of the executor after which a request that has arrived has been read for sure.
const READ_ROUNDS: usize = 3;
/// A request is in so long after its connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// And its response is taken so long after that.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Buffer for a request.
const MAX_BUFFER_BYTES: usize = 16 << 10;
/// Longest name of a leaf server, in its percent-encoded form.
const MAX_NAME_BYTES: usize = 512;

/// An admin call for the event loop.
pub(crate) struct AdminRequest {
    /// What the operator wants.
    pub command: AdminCommand,
    /// Where the outcome goes.
    pub reply: oneshot::Sender<AdminOutcome>,
}

/// Connections whose request is not in yet, the longest waiting first.
#[derive(Clone, Default)]
struct SilentConnections(Rc<RefCell<VecDeque<SilentConnection>>>);

struct SilentConnection {
    number: u64,
    task: AbortHandle,
}

impl SilentConnections {
    fn add(&self, number: u64, task: AbortHandle) {
        self.0.borrow_mut().push_back(SilentConnection { number, task });
    }

    fn remove(&self, number: u64) {
        self.0.borrow_mut().retain(|connection| connection.number != number);
    }

    fn are_too_many(&self) -> bool {
        let mut connections = self.0.borrow_mut();
        connections.retain(|connection| !connection.task.is_finished());
        connections.len() > MAX_SILENT_CONNECTIONS
    }

    /// Closes the connections that have waited longest, where there are too many.
    async fn shed(&self) {
        // Requests that have arrived are read first: a burst of calls is silent only until it has been read.
        for _ in 0..READ_ROUNDS {
            if !self.are_too_many() {
                return;
            }
            tokio::task::yield_now().await;
        }
        while self.are_too_many() {
            let longest = self.0.borrow_mut().pop_front();
            if let Some(longest) = longest {
                longest.task.abort();
            }
        }
    }
}

/// Serves operators until aborted.
pub(super) async fn serve(listener: TcpListener, requests: mpsc::Sender<AdminRequest>) {
    let silent = SilentConnections::default();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    for number in 0.. {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("accepting operators: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection =
            Connection { number, requests: requests.clone(), silent: silent.clone(), _permit: permit };
        let task = tokio::task::spawn_local(connection.serve(stream));
        silent.add(number, task.abort_handle());
        silent.shed().await;
    }
}

/// One caller's connection.
struct Connection {
    number: u64,
    requests: mpsc::Sender<AdminRequest>,
    silent: SilentConnections,
    /// Returned when the connection ends.
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (request_read, request_in) = oneshot::channel();
        let request_read = RefCell::new(Some(request_read));
        let service = service_fn(|request: Request<Incoming>| {
            self.silent.remove(self.number);
            if let Some(request_read) = request_read.borrow_mut().take() {
                let _ = request_read.send(());
            }
            respond(request, self.requests.clone())
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(MAX_BUFFER_BYTES);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            _ = &mut connection => {}
            request = timeout(REQUEST_TIMEOUT, request_in) => if request.is_ok() {
                let _ = timeout(RESPONSE_TIMEOUT, connection).await;
            },
        }
    }
}

async fn respond(
    request: Request<Incoming>,
    requests: mpsc::Sender<AdminRequest>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, text) = match parse_command(request.method(), request.uri().path()) {
        Err(status) => (status, "no such call\n"),
        Ok(command) => match execute(command, &requests).await {
            AdminOutcome::Accepted => (StatusCode::OK, "yes\n"),
            AdminOutcome::Rejected => (StatusCode::SERVICE_UNAVAILABLE, "no\n"),
            AdminOutcome::UnknownEndpoint => (StatusCode::NOT_FOUND, "no such leaf server\n"),
        },
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

/// Has the event loop carry out a command, and logs those that change something.
async fn execute(command: AdminCommand, requests: &mpsc::Sender<AdminRequest>) -> AdminOutcome {
    let is_question = command == AdminCommand::CheckReady;
    let description = format!("{command:?}");
    let (reply, outcome) = oneshot::channel();
    let outcome = match requests.send(AdminRequest { command, reply }).await {
        Ok(()) => outcome.await.unwrap_or(AdminOutcome::Rejected),
        Err(_) => AdminOutcome::Rejected,
    };
    if !is_question {
        info!(command = description, outcome = ?outcome, "admin command");
    }
    outcome
}

fn parse_command(method: &Method, path: &str) -> Result<AdminCommand, StatusCode> {
    let segments: Vec<&str> = path.strip_prefix("/-/").ok_or(StatusCode::NOT_FOUND)?.split('/').collect();
    let (expected_method, command) = match segments.as_slice() {
        ["ready"] => (Method::GET, AdminCommand::CheckReady),
        ["drain"] => (Method::POST, AdminCommand::Drain),
        ["resume"] => (Method::POST, AdminCommand::Resume),
        ["leaf-servers", name, "disable"] => (Method::POST, AdminCommand::Disable(leaf_name(name)?)),
        ["leaf-servers", name, "enable"] => (Method::POST, AdminCommand::Enable(leaf_name(name)?)),
        _ => return Err(StatusCode::NOT_FOUND),
    };
    if *method == expected_method { Ok(command) } else { Err(StatusCode::METHOD_NOT_ALLOWED) }
}

/// A leaf server's name from its path segment.
fn leaf_name(segment: &str) -> Result<Arc<str>, StatusCode> {
    if segment.is_empty() || segment.len() > MAX_NAME_BYTES {
        return Err(StatusCode::NOT_FOUND);
    }
    match percent_encoding::percent_decode_str(segment).decode_utf8() {
        Ok(name) => Ok(name.as_ref().into()),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}
