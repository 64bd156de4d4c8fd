//! Watches discovery's endpoint list: one chunked answer of JSON lines, requested again with backoff whenever it ends.
//! The event loop starts it; each list becomes an event for the aggregator.

mod answer;

use super::chunked::{BodyState, ChunkDecoder};
use super::messages::{AggregatorStopped, EventSender};
use crate::aggregator::Event;
use crate::clock::{Clock, Millis};
use crate::config::PlatformSettings;
use crate::endpoints::{DiscoveryTiming, EndpointList};
use answer::{BodyReader, MalformedAnswer};
use bytes::BytesMut;
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

/// The only status whose answer is read.
const STATUS_OK: u16 = 200;
/// A JSON line that has begun is in so long after: against an answer that trickles.
const LINE_TIMEOUT: Duration = Duration::from_secs(3);
/// The agent is on this machine: a connection that takes longer is lost.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Least time between two equal entries of the log on watches that had answered.
const MIN_LOG_INTERVAL: Millis = 1000.0;

/// What every watch of one program shares.
pub(super) struct DiscoverySource {
    /// The generation of the list that was taken last; a watch at another address goes on from it.
    pub generation: Rc<Cell<u64>>,
    /// For jitter.
    pub seed: u64,
    pub events: EventSender,
    pub clock: Rc<Clock>,
}

/// A running watch; it ends when this is dropped.
pub(super) struct DiscoveryWatchHandle {
    address: Arc<str>,
    source: DiscoverySource,
    task: JoinHandle<()>,
}

impl DiscoveryWatchHandle {
    /// Starts a watch of discovery at an address.
    pub fn start(address: Arc<str>, source: DiscoverySource, settings: &PlatformSettings) -> Self {
        let task = source.spawn_watch(address.clone(), settings);
        DiscoveryWatchHandle { address, source, task }
    }

    /// Moves the watch to another address; one that stays where it is goes on undisturbed.
    pub fn follow(&mut self, address: Arc<str>, settings: &PlatformSettings) {
        if address == self.address {
            return;
        }
        let task = self.source.spawn_watch(address.clone(), settings);
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

impl DiscoverySource {
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
        };
        tokio::task::spawn_local(async move {
            let Err(AggregatorStopped) = watch.run().await;
        })
    }
}

/// Why a watch has ended before its answer did.
#[derive(Debug)]
enum WatchError {
    Io(io::Error),
    ConnectTimeout,
    /// Nothing has arrived for too long, or a line did not end in time.
    Silent,
    Status(u16),
    Malformed(MalformedAnswer),
    Stopped(AggregatorStopped),
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::ConnectTimeout => f.write_str("the connection was not up in time"),
            Self::Silent => f.write_str("the watch has fallen silent"),
            Self::Status(code) => write!(f, "answered {code}"),
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

impl From<MalformedAnswer> for WatchError {
    fn from(problem: MalformedAnswer) -> Self {
        Self::Malformed(problem)
    }
}

impl From<AggregatorStopped> for WatchError {
    fn from(error: AggregatorStopped) -> Self {
        Self::Stopped(error)
    }
}

/// The failure of a watch that was logged last.
struct LoggedFailure {
    reason: String,
    at: Millis,
}

impl LoggedFailure {
    /// Whether a failure is the same one still: an equal one of a watch that never answered, or one so soon that a
    /// discovery that ends every watch would fill the log.
    fn covers(&self, reason: &str, has_answered: bool, now: Millis) -> bool {
        self.reason == reason && (!has_answered || now - self.at < MIN_LOG_INTERVAL)
    }
}

struct DiscoveryWatch {
    address: Arc<str>,
    generation: Rc<Cell<u64>>,
    timing: DiscoveryTiming,
    events: EventSender,
    clock: Rc<Clock>,
}

impl DiscoveryWatch {
    /// Watches for as long as the program runs.
    async fn run(mut self) -> Result<std::convert::Infallible, AggregatorStopped> {
        let mut last_logged: Option<LoggedFailure> = None;
        sleep(duration(self.timing.initial_delay())).await;
        loop {
            self.events.send(Event::DiscoveryPolled).await?;
            let mut has_answered = false;
            let result = self.watch_once(&mut has_answered).await;
            let malformed_response = matches!(result, Err(WatchError::Malformed(_)));
            let reason = match result {
                Ok(()) => "the watch has ended".to_owned(),
                Err(error) => error.to_string(),
            };
            let now = self.clock.now();
            if !last_logged.as_ref().is_some_and(|last| last.covers(&reason, has_answered, now)) {
                warn!("discovery: {reason}");
                last_logged = Some(LoggedFailure { reason, at: now });
            }
            self.events.send(Event::DiscoveryWatchLost { malformed_response }).await?;
            sleep(duration(self.timing.next_delay(has_answered))).await;
        }
    }

    /// One request and its answer; `has_answered` is set once anything of the answer's body has arrived.
    async fn watch_once(&self, has_answered: &mut bool) -> Result<(), WatchError> {
        let mut stream = self.request().await?;
        let mut raw = BytesMut::new();
        // One timeout for all of the head: an overloaded discovery may trickle.
        let deadline = Instant::now() + duration(self.timing.response_timeout());
        let decoder = read_head(&mut stream, &mut raw, deadline).await?;
        let mut body = BodyReader::new(decoder);
        let mut line_begun: Option<Instant> = None;
        loop {
            let state = body.decode(&mut raw)?;
            while let Some(list) = body.next_list()? {
                self.send_list(list).await?;
                *has_answered = true;
            }
            *has_answered |= body.skip_empty_lines();
            if state == BodyState::Complete {
                return Ok(());
            }
            body.check_line_length()?;
            let now = Instant::now();
            if body.is_between_lines() && raw.is_empty() {
                line_begun = None;
            } else {
                line_begun.get_or_insert(now);
            }
            let silence =
                if *has_answered { self.timing.watch_timeout() } else { self.timing.response_timeout() };
            let silent_at = now + duration(silence);
            let deadline = line_begun.map_or(silent_at, |begun| silent_at.min(begun + LINE_TIMEOUT));
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

    /// The generation is kept for the next watch only once the aggregator has the list.
    async fn send_list(&self, list: EndpointList) -> Result<(), AggregatorStopped> {
        let generation = list.generation;
        let wall_clock_offset = self.clock.wall_clock_offset();
        self.events.send(Event::EndpointList { list, wall_clock_offset }).await?;
        self.generation.set(generation);
        Ok(())
    }
}

fn duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time / 1e3)
}

async fn read(stream: &mut TcpStream, raw: &mut BytesMut, deadline: Instant) -> Result<(), WatchError> {
    match timeout_at(deadline, stream.read_buf(raw)).await {
        Ok(Ok(0)) => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(WatchError::Silent),
    }
}

/// Reads the answer's head, and gives the decoder of its body where it comes in chunks.
async fn read_head(
    stream: &mut TcpStream,
    raw: &mut BytesMut,
    deadline: Instant,
) -> Result<Option<ChunkDecoder>, WatchError> {
    loop {
        let Some(head) = answer::parse_head(raw)? else {
            read(stream, raw, deadline).await?;
            continue;
        };
        if head.status != STATUS_OK {
            return Err(WatchError::Status(head.status));
        }
        return Ok(head.is_chunked.then(ChunkDecoder::default));
    }
}
