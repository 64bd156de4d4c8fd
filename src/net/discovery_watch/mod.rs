//! Watches discovery's endpoint list: one chunked response of JSON lines, requested again with backoff whenever it ends.
//! The server starts the watch at startup; each list becomes an event for the aggregator.

mod response;

use super::chunked::{BodyState, ChunkDecoder};
use super::messages::{AggregatorStopped, EventSender};
use crate::aggregator::Event;
use crate::clock::{Clock, Millis};
use crate::config::PlatformSettings;
use crate::endpoints::{DiscoveryTiming, EndpointList};
use bytes::BytesMut;
use response::{BodyReader, ListLimits, MalformedResponse};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{fmt, io};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::warn;

/// The only status whose response body is read.
const STATUS_OK: u16 = 200;
/// Time within which a JSON line that has begun must be complete, against a response that trickles.
const LINE_TIMEOUT: Duration = Duration::from_secs(3);
/// The discovery agent runs on this machine: a connection attempt that takes longer has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum interval between equal log entries on watches that had received data.
const MIN_LOG_INTERVAL: Millis = 1000.0;

/// State that is shared by successive watches at different addresses.
pub(super) struct DiscoveryWatchContext {
    /// The generation of the last list sent to the aggregator; a watch at another address requests newer ones.
    pub generation: Rc<Cell<u64>>,
    /// Seed of the jitter.
    pub seed: u64,
    pub events: EventSender,
    pub clock: Rc<Clock>,
    /// Maximum resident memory of the process, which bounds what a list may need.
    pub max_memory_bytes: usize,
}

/// Handle of a running watch, which ends when the handle is dropped.
pub(super) struct DiscoveryWatchHandle {
    address: Arc<str>,
    context: DiscoveryWatchContext,
    task: JoinHandle<()>,
}

impl DiscoveryWatchHandle {
    /// Starts a watch of discovery at an address.
    pub fn start(address: Arc<str>, context: DiscoveryWatchContext, settings: &PlatformSettings) -> Self {
        let task = context.spawn_watch(address.clone(), settings);
        DiscoveryWatchHandle { address, context, task }
    }

    /// Replaces the watch by one at another address; has no effect if the address is unchanged.
    pub fn set_address(&mut self, address: Arc<str>, settings: &PlatformSettings) {
        if address == self.address {
            return;
        }
        let task = self.context.spawn_watch(address.clone(), settings);
        let previous = std::mem::replace(&mut self.task, task);
        previous.abort();
        self.address = address;
    }
}

impl Drop for DiscoveryWatchHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DiscoveryWatchContext {
    fn spawn_watch(&self, address: Arc<str>, settings: &PlatformSettings) -> JoinHandle<()> {
        let balancer = &settings.balancer;
        let timing = if balancer.discovery_is_polled {
            DiscoveryTiming::shared_discovery(self.seed, balancer.aggregators)
        } else {
            DiscoveryTiming::local_agent(self.seed, balancer.aggregators)
        };
        let watch = DiscoveryWatch {
            address,
            generation: self.generation.clone(),
            timing,
            events: self.events.clone(),
            clock: self.clock.clone(),
            limits: ListLimits::for_memory(self.max_memory_bytes),
        };
        tokio::task::spawn_local(async move {
            let Err(AggregatorStopped) = watch.run().await;
        })
    }
}

/// The reason why a watch ended before its response was complete.
#[derive(Debug)]
enum WatchError {
    Io(io::Error),
    ConnectTimeout,
    /// No data arrived in time, or the head or a line was not complete in time.
    ReadTimeout,
    Status(u16),
    Malformed(MalformedResponse),
    Stopped(AggregatorStopped),
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::ConnectTimeout => f.write_str("timed out connecting"),
            Self::ReadTimeout => f.write_str("timed out waiting for data"),
            Self::Status(code) => write!(f, "response status {code}"),
            Self::Malformed(problem) => problem.fmt(f),
            Self::Stopped(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for WatchError {}

impl From<io::Error> for WatchError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<MalformedResponse> for WatchError {
    fn from(problem: MalformedResponse) -> Self {
        Self::Malformed(problem)
    }
}

impl From<AggregatorStopped> for WatchError {
    fn from(error: AggregatorStopped) -> Self {
        Self::Stopped(error)
    }
}

/// The watch failure that was logged last.
struct LoggedFailure {
    reason: String,
    at: Millis,
}

impl LoggedFailure {
    /// Whether a failure is not logged again: it has the same reason and the watch received no data, or it follows within
    /// [`MIN_LOG_INTERVAL`], as a discovery service that ends every watch would flood the log otherwise.
    fn suppresses(&self, reason: &str, received_data: bool, now: Millis) -> bool {
        self.reason == reason && (!received_data || now - self.at < MIN_LOG_INTERVAL)
    }
}

struct DiscoveryWatch {
    address: Arc<str>,
    generation: Rc<Cell<u64>>,
    timing: DiscoveryTiming,
    events: EventSender,
    clock: Rc<Clock>,
    limits: ListLimits,
}

impl DiscoveryWatch {
    /// Watches until the aggregator stops.
    async fn run(mut self) -> Result<std::convert::Infallible, AggregatorStopped> {
        let mut last_logged: Option<LoggedFailure> = None;
        sleep(to_duration(self.timing.initial_delay())).await;
        loop {
            self.events.send(Event::DiscoveryPolled).await?;
            let mut received_data = false;
            let result = self.watch_once(&mut received_data).await;
            let malformed_response = matches!(result, Err(WatchError::Malformed(_)));
            let reason = match result {
                Ok(()) => "the watch has ended".to_owned(),
                Err(error) => error.to_string(),
            };
            let now = self.clock.now();
            if !last_logged.as_ref().is_some_and(|last| last.suppresses(&reason, received_data, now)) {
                warn!("discovery: {reason}");
                last_logged = Some(LoggedFailure { reason, at: now });
            }
            self.events.send(Event::DiscoveryWatchLost { malformed_response }).await?;
            sleep(to_duration(self.timing.next_delay(received_data))).await;
        }
    }

    /// Sends one request and reads its response; sets `received_data` once a list or a heartbeat has arrived.
    async fn watch_once(&self, received_data: &mut bool) -> Result<(), WatchError> {
        let mut stream = self.request().await?;
        let mut raw = BytesMut::new();
        // One deadline for the complete head: an overloaded discovery service may trickle.
        let deadline = Instant::now() + to_duration(self.timing.response_timeout());
        let decoder = read_head(&mut stream, &mut raw, deadline).await?;
        let mut body = BodyReader::new(decoder, self.limits);
        let mut line_started_at: Option<Instant> = None;
        loop {
            let state = body.decode(&mut raw)?;
            while let Some(list) = body.next_list()? {
                self.send_list(list).await?;
                *received_data = true;
            }
            *received_data |= body.skip_empty_lines();
            if state == BodyState::Complete {
                return Ok(());
            }
            body.check_line_length()?;
            let now = Instant::now();
            if body.is_between_lines() && raw.is_empty() {
                line_started_at = None;
            } else {
                line_started_at.get_or_insert(now);
            }
            let read_timeout =
                if *received_data { self.timing.watch_timeout() } else { self.timing.response_timeout() };
            let read_deadline = now + to_duration(read_timeout);
            let deadline = line_started_at
                .map_or(read_deadline, |started_at| read_deadline.min(started_at + LINE_TIMEOUT));
            read(&mut stream, &mut raw, deadline).await?;
        }
    }

    async fn request(&self) -> Result<TcpStream, WatchError> {
        let address = &*self.address;
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let mut stream = connected.map_err(|_| WatchError::ConnectTimeout)??;
        let generation = self.generation.get();
        let request = format!(
            "GET /v1/servers?watch=1&after={generation} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        Ok(stream)
    }

    /// Sends a list to the aggregator. Its generation is stored for the next watch only after that.
    async fn send_list(&self, list: EndpointList) -> Result<(), AggregatorStopped> {
        let generation = list.generation;
        let wall_clock_offset = self.clock.wall_clock_offset();
        self.events.send(Event::EndpointList { list, wall_clock_offset }).await?;
        self.generation.set(generation);
        Ok(())
    }
}

fn to_duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time / 1e3)
}

async fn read(stream: &mut TcpStream, raw: &mut BytesMut, deadline: Instant) -> Result<(), WatchError> {
    match timeout_at(deadline, stream.read_buf(raw)).await {
        Ok(Ok(0)) => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(WatchError::ReadTimeout),
    }
}

/// Reads the response head; returns a decoder for the body if it is chunked.
async fn read_head(
    stream: &mut TcpStream,
    raw: &mut BytesMut,
    deadline: Instant,
) -> Result<Option<ChunkDecoder>, WatchError> {
    loop {
        let Some(head) = response::parse_head(raw)? else {
            read(stream, raw, deadline).await?;
            continue;
        };
        if head.status != STATUS_OK {
            return Err(WatchError::Status(head.status));
        }
        return Ok(head.is_chunked.then(ChunkDecoder::default));
    }
}
