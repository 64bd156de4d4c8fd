//! The timers that the aggregator has set.

use super::{AttemptId, ConnectionId};
use crate::balancer::QueryId;
use crate::clock::Millis;
use std::collections::BTreeSet;

/// What a timer is for; one whose subject no longer exists does nothing. Timers that are due at the same time fire in
/// the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The balancer asked for it.
    Balancer,
    /// The deadline of a query has passed.
    QueryDeadline(QueryId),
    /// An attempt should have been answered.
    AttemptTimeout(AttemptId),
    /// An attempt that is not written yet must not be sent any more.
    SendDeadline(AttemptId),
    /// A connection should be established.
    ConnectTimeout(ConnectionId),
    /// The oldest unwritten message of a connection may have waited too long.
    WriteTimeout(ConnectionId),
    /// A connection may have been idle for too long.
    IdleTimeout(ConnectionId),
    /// A health check on a connection should have been answered.
    HealthCheckTimeout(ConnectionId),
    /// The next step of draining clients is due.
    DrainClients,
    /// The wait for discovery at startup is over.
    DiscoveryWait,
    /// The endpoint registry asked for it.
    EndpointRegistry,
}

/// Timers by the time at which they are due. The same timer set twice for the same time fires once.
#[derive(Default)]
pub(super) struct TimerQueue(BTreeSet<(DueTime, Timer)>);

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, due_at: Millis, timer: Timer) {
        self.0.insert((due_at.into(), timer));
    }

    /// When the first timer is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.0.first().map(|(due_at, _)| due_at.millis())
    }

    /// Takes the first timer that is due at a time.
    pub fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        let (due_at, _) = self.0.first()?;
        if *due_at > now.into() {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}

/// A point of time that can be ordered. Times are never negative or NaN, so their bits sort as their values do.
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
