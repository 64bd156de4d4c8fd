//! The record of one connection to a leaf server.

use super::AttemptId;
use super::records::PartKey;
use crate::balancer::ReplicaId;
use crate::clock::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How far a connection has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Being established.
    Connecting,
    /// Established.
    Established,
    /// Closed by the aggregator; the end is not confirmed yet.
    Closing,
}

/// A health check whose answer is due on a connection.
pub(super) struct PendingHealthCheck {
    pub sent_at: Millis,
    /// The balancer has been given an outcome already.
    pub reported: bool,
}

/// A connection to a leaf server.
pub(super) struct LeafConnection {
    pub replica: ReplicaId,
    pub phase: ConnectionPhase,
    /// Attempts on it, cancelled ones included until their cancellation is confirmed.
    pub attempts: BTreeSet<AttemptId>,
    /// Attempts whose cancellation was written but that were not answered: the leaf server may still work on them.
    pub cancelled: BTreeMap<AttemptId, PartKey>,
    /// Attempts not passed to the writer yet, in order.
    pub queued: Vec<AttemptId>,
    /// Messages written to the last byte.
    pub messages_written: u64,
    /// When each message that is not written yet was passed to the writer, oldest first.
    pub unwritten_since: VecDeque<Millis>,
    /// Health checks without an answer, oldest first; answers come in that order.
    pub health_checks: VecDeque<PendingHealthCheck>,
    /// Health checks that wait for the connection to be established.
    pub queued_health_checks: u32,
    /// When an attempt was last on it.
    pub last_used_at: Millis,
    /// When the leaf server last sent something on it.
    pub last_heard_at: Millis,
    /// It takes nothing new, and is closed once nothing is in flight on it.
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
            last_heard_at: now,
            draining: false,
        }
    }

    /// Counts a message passed to the writer; returns its number.
    pub fn submit_message(&mut self, now: Millis) -> u64 {
        self.unwritten_since.push_back(now);
        self.messages_submitted()
    }

    /// Messages passed to the writer so far.
    pub fn messages_submitted(&self) -> u64 {
        self.messages_written + self.unwritten_since.len() as u64
    }

    /// Notes that all messages up to a number are written.
    pub fn mark_written(&mut self, up_to: u64) {
        let newly_written = up_to.saturating_sub(self.messages_written) as usize;
        self.unwritten_since.drain(..newly_written.min(self.unwritten_since.len()));
        self.messages_written = up_to;
    }

    /// Calls that the leaf server may be working on, if every part is a call of its own.
    pub fn calls_in_flight(&self) -> usize {
        self.attempts.len() + self.cancelled.len()
    }

    /// Whether no attempt and no health check is waiting or in flight.
    pub fn is_unused(&self) -> bool {
        self.attempts.is_empty()
            && self.queued_health_checks == 0
            && self.health_checks.iter().all(|check| check.reported)
    }
}
