//! What clients and leaf servers have observed, on one clock.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEnd {
    Answered {
        status: u16,
        body: String,
    },
    /// The connection ended without a byte of an answer.
    Closed,
    /// The connection ended within the answer.
    Truncated,
    /// No byte or no complete answer arrived before the timeout.
    Unanswered,
    /// The client disconnected without waiting for the answer.
    Disconnected,
}

/// A request as observed by its client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub shards: Vec<u32>,
    /// When its last byte was written.
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: RequestEnd,
    /// It was not the first one on its connection.
    pub reused_connection: bool,
}

/// An attempt as observed by its leaf server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub leaf: usize,
    pub arrived_at: Instant,
    /// When it was answered or cancelled, or its connection ended; `None` while in flight.
    pub ended_at: Option<Instant>,
    /// The leaf server answered that it did not run the part.
    pub rejected: bool,
}

/// Everything observed in one run.
pub struct Observations {
    pub started_at: Instant,
    pub requests: Mutex<Vec<Request>>,
    /// By the id of the part, in the order of arrival.
    pub attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
    /// Refused connections at aggregators that should still accept new ones.
    pub refused: Mutex<Vec<String>>,
    /// By leaf server: when the last aggregator should have received its drain.
    pub drains: Mutex<BTreeMap<usize, Instant>>,
    /// Longest delay with which a sleeping thread of the test woke up: a stall of the machine, which affects all processes.
    pub longest_stall: Mutex<Duration>,
}

impl Observations {
    pub fn new() -> Self {
        Observations {
            started_at: Instant::now(),
            requests: Mutex::default(),
            attempts: Mutex::default(),
            refused: Mutex::default(),
            drains: Mutex::default(),
            longest_stall: Mutex::default(),
        }
    }

    /// Records an attempt and returns its index among those of its part.
    pub fn begin_attempt(&self, part: &str, leaf: usize, arrived_at: Instant) -> usize {
        let mut attempts = self.attempts.lock().expect("lock not poisoned");
        let part_attempts = attempts.entry(part.to_owned()).or_default();
        part_attempts.push(Attempt { leaf, arrived_at, ended_at: None, rejected: false });
        part_attempts.len() - 1
    }

    /// Records the end of an attempt, unless it has ended.
    pub fn end_attempt(&self, part: &str, index: usize, rejected: bool) {
        let mut attempts = self.attempts.lock().expect("lock not poisoned");
        let Some(attempt) = attempts.get_mut(part).and_then(|part_attempts| part_attempts.get_mut(index))
        else {
            return;
        };
        if attempt.ended_at.is_none() {
            attempt.ended_at = Some(Instant::now());
            attempt.rejected = rejected;
        }
    }

    /// Measures how late a sleeping thread wakes up, while `is_running` returns true.
    pub fn measure_stalls(&self, is_running: impl Fn() -> bool) {
        const SLEEP_INTERVAL: Duration = Duration::from_millis(5);
        while is_running() {
            let slept_at = Instant::now();
            std::thread::sleep(SLEEP_INTERVAL);
            let late = slept_at.elapsed().saturating_sub(SLEEP_INTERVAL);
            let mut longest = self.longest_stall.lock().expect("lock not poisoned");
            *longest = (*longest).max(late);
        }
    }
}
