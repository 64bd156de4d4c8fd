//! Clients that keep their connections open and reuse them.

use super::common::process::query;
use super::observations::{Observations, Request, RequestEnd};
use super::plan::SeededRng;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after SIGTERM in which clients still open new connections.
pub const NEW_CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(400);
/// An answer up to this time after the deadline has no value; after it, the request counts as lost.
pub const LATE_ANSWER: Duration = Duration::from_millis(500);

/// An aggregator that clients connect to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub address: SocketAddr,
    pub terminated_at: Option<Instant>,
}

impl Target {
    fn accepts_new_connections(&self) -> bool {
        self.terminated_at.is_none_or(|at| at.elapsed() < NEW_CONNECTIONS_AFTER_SIGTERM)
    }
}

/// A client that sends one request at a time.
pub struct SoakClient {
    pub number: usize,
    pub rng: SeededRng,
    pub deadline: Duration,
    pub targets: Arc<Mutex<Vec<Target>>>,
    pub observations: Arc<Observations>,
}

/// An open connection and the number of requests sent on it.
struct Connection {
    stream: TcpStream,
    requests: u32,
}

impl SoakClient {
    /// Sends requests one after another while `is_running` returns true.
    pub fn run(mut self, is_running: impl Fn() -> bool) {
        let mut connection = None;
        let mut count = 0;
        while is_running() {
            let Some(mut open) = connection.take().or_else(|| self.connect()) else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            count += 1;
            let end = self.request(&mut open, count);
            if matches!(end, RequestEnd::Answered { .. }) {
                connection = Some(open);
            }
            thread::sleep(self.rng.millis(1, 40));
        }
    }

    fn connect(&mut self) -> Option<Connection> {
        let targets = self.targets.lock().expect("lock not poisoned").clone();
        let target = targets[self.rng.below(targets.len() as u64) as usize];
        if !target.accepts_new_connections() {
            return None;
        }
        let began_at = Instant::now();
        match TcpStream::connect(target.address) {
            Ok(stream) => Some(Connection { stream, requests: 0 }),
            Err(error) => {
                let since = self.observations.started_at.elapsed();
                let problem = format!("{since:?}: connection to {target:?} started at {began_at:?}: {error}");
                self.observations.refused.lock().expect("lock not poisoned").push(problem);
                None
            }
        }
    }

    /// Sends a request, waits for its end and records it.
    fn request(&mut self, connection: &mut Connection, count: u32) -> RequestEnd {
        let id = format!("c{}-{count}", self.number);
        let first = self.rng.below(3) as u32;
        let shards: Vec<u32> = (0..=self.rng.below(3) as u32).map(|next| (first + next) % 3).collect();
        let text = query(&id, &format!("{}m", self.deadline.as_millis()), &shards);
        let disconnect_after = self.rng.one_in(12).then(|| self.rng.millis(1, 60));
        let in_pieces = self.rng.one_in(10);
        let written = write(&mut connection.stream, text.as_bytes(), in_pieces);
        let sent_at = Instant::now();
        let end = match (written, disconnect_after) {
            (Err(_), _) => RequestEnd::Closed,
            (Ok(()), Some(time)) => {
                thread::sleep(time);
                let _ = connection.stream.shutdown(std::net::Shutdown::Both);
                RequestEnd::Disconnected
            }
            (Ok(()), None) => read_answer(&mut connection.stream, sent_at + self.deadline + 4 * LATE_ANSWER),
        };
        let reused_connection = connection.requests > 0;
        connection.requests += 1;
        let request =
            Request { id, shards, sent_at, ended_at: Instant::now(), end: end.clone(), reused_connection };
        self.observations.requests.lock().expect("lock not poisoned").push(request);
        end
    }
}

fn write(stream: &mut TcpStream, bytes: &[u8], in_pieces: bool) -> std::io::Result<()> {
    if !in_pieces {
        return stream.write_all(bytes);
    }
    for piece in bytes.chunks(bytes.len().div_ceil(4)) {
        stream.write_all(piece)?;
        thread::sleep(Duration::from_millis(15));
    }
    Ok(())
}

fn read_answer(stream: &mut TcpStream, timeout_at: Instant) -> RequestEnd {
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let time_left = timeout_at.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(time_left)).expect("set");
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => answer.extend_from_slice(&chunk[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return RequestEnd::Unanswered;
            }
            _ if answer.is_empty() => return RequestEnd::Closed,
            _ => return RequestEnd::Truncated,
        }
        if let Some(end) = parse_answer(&answer) {
            return end;
        }
    }
}

/// The answer, once it is complete.
fn parse_answer(answer: &[u8]) -> Option<RequestEnd> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length").then(|| value.parse::<usize>().ok())?
    });
    let status = head.split(' ').nth(1)?.parse().ok()?;
    (body.len() >= length.unwrap_or(0)).then(|| RequestEnd::Answered { status, body: body.to_owned() })
}
