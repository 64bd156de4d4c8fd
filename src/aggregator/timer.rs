//! The aggregator's timers.

use super::{AttemptId, ConnectionId};
use crate::balancer::QueryId;
use crate::clock::Millis;
use std::collections::BTreeSet;

/// The purpose of a timer. A timer whose subject no longer exists has no effect. Timers that are due at the same time
/// fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer requested by the balancer.
    Balancer,
    /// The deadline of a query.
    QueryDeadline(QueryId),
    /// Timeout for the answer to an attempt.
    AttemptTimeout(AttemptId),
    /// Time after which an attempt that is not written yet must not be sent.
    SendDeadline(AttemptId),
    /// Timeout for establishing a connection.
    ConnectTimeout(ConnectionId),
    /// Check whether the oldest unwritten message of a connection has timed out.
    WriteTimeout(ConnectionId),
    /// Check whether a connection has exceeded its idle timeout.
    IdleTimeout(ConnectionId),
    /// Timeout for the answer to a health check on a connection.
    HealthCheckTimeout(ConnectionId),
    /// The next step of draining clients.
    DrainClients,
    /// Timeout for the first answer of discovery at startup.
    DiscoveryWait,
    /// A timer requested by the endpoint registry.
    EndpointRegistry,
}

/// Timers ordered by due time. A timer set twice for the same time fires once.
#[derive(Default)]
pub(super) struct TimerQueue(BTreeSet<(DueTime, Timer)>);

impl TimerQueue {
    pub fn set(&mut self, due_at: Millis, timer: Timer) {
        self.0.insert((due_at.into(), timer));
    }

    /// Cancels a timer that has been set for this time. Without it, the timers of queries that have ended would accumulate
    /// until they are due.
    pub fn cancel(&mut self, due_at: Millis, timer: Timer) {
        self.0.remove(&(due_at.into(), timer));
    }

    /// Due time of the first timer; `None` if no timer is set.
    pub fn next_due(&self) -> Option<Millis> {
        self.0.first().map(|(due_at, _)| due_at.millis())
    }

    /// Removes and returns the first timer if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        let (due_at, _) = self.0.first()?;
        if *due_at > now.into() {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}

/// A time with a total order. Times are never negative or NaN, so the order of their bits is that of their values.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueTime(u64);

impl From<Millis> for DueTime {
    fn from(at: Millis) -> Self {
        DueTime(at.max(0.0).to_bits())
    }
}

impl DueTime {
    fn millis(self) -> Millis {
        f64::from_bits(self.0)
    }
}
