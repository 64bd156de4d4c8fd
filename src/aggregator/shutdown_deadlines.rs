//! The deadlines of a graceful shutdown. The platform kills a process some time after SIGTERM; by then every reply must have
//! been sent, and every connection on which a request could still arrive must be closed.

use crate::balancer;
use crate::clock::Millis;

/// The longest deadline that the platform waits for; it counts a longer one as this.
const MAX_COUNTED_DEADLINE: Millis = 3000.0;
/// Time from SIGTERM to the earliest SIGKILL, without the longest deadline.
const KILL_DELAY: Millis = 700.0;
/// Time before the earliest SIGKILL by which replies are decided. The process may be held up for 150 ms before it handles
/// SIGTERM, and again before it writes.
const REPLY_MARGIN: Millis = 300.0;
/// Time before the earliest SIGKILL by which connections without a query are closed.
const CLOSE_MARGIN: Millis = 200.0;

/// The deadlines of a graceful shutdown, on the aggregator's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShutdownDeadlines {
    /// Queries that have arrived since SIGTERM are answered by then; later ones are rejected.
    pub replies: Millis,
    /// Connections without a query in progress are closed then, even if a request has been received in part.
    pub connections: Millis,
}

impl ShutdownDeadlines {
    /// The deadlines of a shutdown that was requested at `requested_at`, for queries of these classes.
    pub fn new(requested_at: Millis, classes: &[balancer::Class]) -> Self {
        let longest_deadline = classes.iter().map(|class| class.deadline).fold(0.0, Millis::max);
        let earliest_kill = requested_at + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        ShutdownDeadlines { replies: earliest_kill - REPLY_MARGIN, connections: earliest_kill - CLOSE_MARGIN }
    }
}
