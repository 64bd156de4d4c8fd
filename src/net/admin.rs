//! The admin server: HTTP with one admin call per connection. hyper reads and writes HTTP; the aggregator decides on the
//! calls. The event loop polls the queue of admin calls before its other inputs, so that operators do not wait under load.

use super::listener::ACCEPT_RETRY_DELAY;
use crate::aggregator::{AdminCommand, AdminOutcome};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
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

/// Maximum number of admin calls that are queued for the event loop.
pub(super) const ADMIN_QUEUE_LENGTH: usize = 64;
/// Maximum number of connections without a complete request head; beyond it the oldest one is closed. Protects the
/// limited number of file descriptors against callers that hold a connection and send nothing.
const MAX_PENDING_CONNECTIONS: usize = 16;
/// Maximum number of connections in any state; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 64;
/// Number of yields to the executor after which every request that has arrived has been read.
const READ_YIELDS: usize = 3;
/// Time from accepting a connection within which its request head must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Time from the request head within which the response must have been sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Size limit of hyper's buffer for a request.
const MAX_BUFFER_BYTES: usize = 16 << 10;
/// Maximum length of a leaf server's name in the path, in its percent-encoded form.
const MAX_NAME_BYTES: usize = 512;

/// Interval of checks for calls in progress while the process exits.
const CALLS_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// An admin call for the event loop.
pub(crate) struct AdminRequest {
    /// The operator's command.
    pub command: AdminCommand,
    /// Receives the command's outcome.
    pub reply: oneshot::Sender<AdminOutcome>,
}

/// The number of calls whose request head has been read and that have not been answered yet. Clones share the number.
#[derive(Clone, Default)]
pub(super) struct CallsInProgress(Rc<Cell<usize>>);

/// Counts as a call in progress until it is dropped.
struct CallGuard(CallsInProgress);

impl CallsInProgress {
    fn begin(&self) -> CallGuard {
        self.0.set(self.0.get() + 1);
        CallGuard(self.clone())
    }

    /// Waits until no call is in progress. Those that have arrived are read first.
    pub async fn all_answered(&self) {
        loop {
            for _ in 0..READ_YIELDS {
                tokio::task::yield_now().await;
            }
            if self.0.get() == 0 {
                return;
            }
            tokio::time::sleep(CALLS_CHECK_INTERVAL).await;
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let calls = &self.0.0;
        calls.set(calls.get() - 1);
    }
}

/// Connections without a complete request head, the oldest first.
#[derive(Clone, Default)]
struct PendingConnections(Rc<RefCell<VecDeque<PendingConnection>>>);

struct PendingConnection {
    id: u64,
    task: AbortHandle,
}

impl PendingConnections {
    fn add(&self, id: u64, task: AbortHandle) {
        self.0.borrow_mut().push_back(PendingConnection { id, task });
    }

    fn remove(&self, id: u64) {
        self.0.borrow_mut().retain(|connection| connection.id != id);
    }

    fn exceed_limit(&self) -> bool {
        let mut connections = self.0.borrow_mut();
        connections.retain(|connection| !connection.task.is_finished());
        connections.len() > MAX_PENDING_CONNECTIONS
    }

    /// Closes the oldest connections while there are more than [`MAX_PENDING_CONNECTIONS`].
    async fn close_oldest(&self) {
        // Requests that have arrived are read first: the connections of a burst of calls are pending only until then.
        for _ in 0..READ_YIELDS {
            if !self.exceed_limit() {
                return;
            }
            tokio::task::yield_now().await;
        }
        while self.exceed_limit() {
            let oldest = self.0.borrow_mut().pop_front();
            if let Some(oldest) = oldest {
                oldest.task.abort();
            }
        }
    }
}

/// Accepts admin connections until aborted.
pub(super) async fn serve(
    listener: TcpListener,
    requests: mpsc::Sender<AdminRequest>,
    calls: CallsInProgress,
) {
    let pending = PendingConnections::default();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    for id in 0.. {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("failed to accept an admin connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = Connection {
            id,
            requests: requests.clone(),
            pending: pending.clone(),
            calls: calls.clone(),
            _permit: permit,
        };
        let task = tokio::task::spawn_local(connection.serve(stream));
        pending.add(id, task.abort_handle());
        pending.close_oldest().await;
    }
}

/// A connection to the admin server.
struct Connection {
    id: u64,
    requests: mpsc::Sender<AdminRequest>,
    pending: PendingConnections,
    calls: CallsInProgress,
    /// Counts towards [`MAX_CONNECTIONS`] until the connection ends.
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (request_read_sender, request_read) = oneshot::channel();
        let request_read_sender = RefCell::new(Some(request_read_sender));
        // Held until the response has been written.
        let call = RefCell::new(None);
        let service = service_fn(|request: Request<Incoming>| {
            self.pending.remove(self.id);
            call.borrow_mut().get_or_insert_with(|| self.calls.begin());
            if let Some(sender) = request_read_sender.borrow_mut().take() {
                let _ = sender.send(());
            }
            respond(request, self.requests.clone())
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(MAX_BUFFER_BYTES);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            _ = &mut connection => {}
            request = timeout(REQUEST_TIMEOUT, request_read) => if request.is_ok() {
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

/// Passes a command to the event loop and waits for its outcome. Commands that may change something are logged.
async fn execute(command: AdminCommand, requests: &mpsc::Sender<AdminRequest>) -> AdminOutcome {
    let is_read_only = command == AdminCommand::CheckReady;
    let description = format!("{command:?}");
    let (reply, outcome) = oneshot::channel();
    let outcome = match requests.send(AdminRequest { command, reply }).await {
        Ok(()) => outcome.await.unwrap_or(AdminOutcome::Rejected),
        Err(_) => AdminOutcome::Rejected,
    };
    if !is_read_only {
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

/// Decodes a leaf server's name from its path segment.
fn leaf_name(segment: &str) -> Result<Arc<str>, StatusCode> {
    if segment.is_empty() || segment.len() > MAX_NAME_BYTES {
        return Err(StatusCode::NOT_FOUND);
    }
    match percent_encoding::percent_decode_str(segment).decode_utf8() {
        Ok(name) => Ok(name.as_ref().into()),
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}
