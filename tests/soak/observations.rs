//! What clients and leaf servers have seen, on one clock.

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
    /// Nothing came in its time.
    Unanswered,
    /// The client left.
    Left,
}

/// One request as its client saw it.
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

/// One attempt as its leaf server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub leaf: usize,
    pub arrived_at: Instant,
    /// Answered, cancelled, or its connection ended.
    pub ended_at: Option<Instant>,
    /// The leaf server told that it did not run.
    pub rejected: bool,
}

/// All that was seen in one run.
pub struct Observations {
    pub started_at: Instant,
    pub requests: Mutex<Vec<Request>>,
    /// By the id of the part, in the order of arrival.
    pub attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
    /// Connections refused within the time in which new ones still come.
    pub refused: Mutex<Vec<String>>,
    /// By leaf server: when the last aggregator was told that it drains.
    pub drains: Mutex<BTreeMap<usize, Instant>>,
    /// The longest time by which a sleeping thread of the test was late: what the machine does to everyone.
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

    /// Records an attempt; its index among those of its part.
    pub fn begin_attempt(&self, part: &str, leaf: usize, arrived_at: Instant) -> usize {
        let mut attempts = self.attempts.lock().expect("whole");
        let of_part = attempts.entry(part.to_owned()).or_default();
        of_part.push(Attempt { leaf, arrived_at, ended_at: None, rejected: false });
        of_part.len() - 1
    }

    /// Records the end of an attempt, unless it has ended.
    pub fn end_attempt(&self, part: &str, index: usize, rejected: bool) {
        let mut attempts = self.attempts.lock().expect("whole");
        let Some(attempt) = attempts.get_mut(part).and_then(|of_part| of_part.get_mut(index)) else { return };
        if attempt.ended_at.is_none() {
            attempt.ended_at = Some(Instant::now());
            attempt.rejected = rejected;
        }
    }

    /// Measures how late a sleeping thread wakes, until it is told to end.
    pub fn watch_for_stalls(&self, is_running: impl Fn() -> bool) {
        const NAP: Duration = Duration::from_millis(5);
        while is_running() {
            let slept_at = Instant::now();
            std::thread::sleep(NAP);
            let late = slept_at.elapsed().saturating_sub(NAP);
            let mut longest = self.longest_stall.lock().expect("whole");
            *longest = (*longest).max(late);
        }
    }
}
