//! The record of a connection to a leaf server.

use super::AttemptId;
use super::records::PartKey;
use crate::balancer::ReplicaId;
use crate::clock::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The phase of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Being established.
    Connecting,
    /// Established.
    Established,
    /// Closed by the aggregator; [`Event::ConnectionEnded`](super::Event::ConnectionEnded) is pending.
    Closing,
}

/// A health check that awaits its answer on a connection.
pub(super) struct PendingHealthCheck {
    pub sent_at: Millis,
    /// Whether an outcome has been reported to the balancer, such as a timeout.
    pub reported: bool,
}

/// A connection to a leaf server.
pub(super) struct LeafConnection {
    pub replica: ReplicaId,
    pub phase: ConnectionPhase,
    /// Attempts on the connection, including cancelled ones until their cancellation is confirmed.
    pub attempts: BTreeSet<AttemptId>,
    /// Unanswered attempts whose cancellation has been written; the leaf server may still be working on them.
    pub cancelled: BTreeMap<AttemptId, PartKey>,
    /// Attempts that were not passed to the writer yet, in order.
    pub queued: Vec<AttemptId>,
    /// Number of messages written completely.
    pub messages_written: u64,
    /// When each unwritten message was passed to the writer, oldest first.
    pub unwritten_since: VecDeque<Millis>,
    /// Unanswered health checks, oldest first. The leaf server answers in this order.
    pub health_checks: VecDeque<PendingHealthCheck>,
    /// Number of health checks that wait for the connection to be established.
    pub queued_health_checks: u32,
    /// When an attempt was last added to or removed from the connection.
    pub last_used_at: Millis,
    /// When the aggregator last received something on the connection.
    pub last_received_at: Millis,
    /// Whether it accepts no new work and is closed once nothing is in flight on it.
    pub draining: bool,
}

impl LeafConnection {
    /// A connection that is being established.
    pub fn new(replica: ReplicaId, now: Millis) -> Self {
        LeafConnection {
            replica,
            phase: ConnectionPhase::Connecting,
            attempts: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            queued: Vec::new(),
            messages_written: 0,
            unwritten_since: VecDeque::new(),
            health_checks: VecDeque::new(),
            queued_health_checks: 0,
            last_used_at: now,
            last_received_at: now,
            draining: false,
        }
    }

    /// Records that a message is passed to the writer, and returns its number.
    pub fn submit_message(&mut self, now: Millis) -> u64 {
        self.unwritten_since.push_back(now);
        self.messages_submitted()
    }

    /// Number of messages passed to the writer.
    pub fn messages_submitted(&self) -> u64 {
        self.messages_written + self.unwritten_since.len() as u64
    }

    /// Records that all messages up to a number have been written.
    pub fn mark_written(&mut self, up_to: u64) {
        let newly_written = up_to.saturating_sub(self.messages_written) as usize;
        self.unwritten_since.drain(..newly_written.min(self.unwritten_since.len()));
        self.messages_written = up_to;
    }

    /// Number of calls that the leaf server may be working on, with each part counted as a separate call.
    pub fn calls_in_flight(&self) -> usize {
        self.attempts.len() + self.cancelled.len()
    }

    /// Whether no attempt or health check is queued or in flight.
    pub fn is_unused(&self) -> bool {
        self.attempts.is_empty()
            && self.queued_health_checks == 0
            && self.health_checks.iter().all(|check| check.reported)
    }
}
