//! Connections to leaf servers: opening, sharing, draining and closing, and the outcome of the work on a closed one.

use super::leaf_connection::{ConnectionPhase, LeafConnection, PendingHealthCheck};
use super::records::{AttemptStage, PartKey};
use super::reduce::Reduction;
use super::timer::Timer;
use super::{AttemptId, ConnectionId, Effect, LogEvent};
use crate::balancer::{Outcome, ReplicaId};
use crate::clock::Millis;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of unwritten messages on a connection; limits the queue for a stalled leaf server.
const MAX_UNWRITTEN_MESSAGES: usize = 64;
/// Fraction of the leaf servers' keep-alive after which the aggregator closes an idle connection. It must close before
/// the leaf server does; otherwise an attempt may cross the leaf server's close and be reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Minimum time between the aggregator's close of an idle connection and the leaf server's.
const MIN_IDLE_MARGIN: Millis = 500.0;

/// Determines the outcome of the work on a connection that is lost.
struct ConnectionLoss {
    replica: ReplicaId,
    was_connecting: bool,
    /// Number of messages that may have been written completely.
    messages_written: u64,
    /// The outcome of attempts in those messages.
    written_outcome: Outcome,
}

impl Reduction<'_> {
    /// Selects or opens a connection to a leaf server for an attempt of a part, or for a health check. Excludes
    /// connections on which another attempt of the same part may still be answered, since the two answers could not be
    /// distinguished.
    pub(super) fn connection_for(
        &mut self,
        replica: ReplicaId,
        part: Option<&PartKey>,
    ) -> Option<ConnectionId> {
        let usable = self.state.connections.iter().filter(|(_, connection)| {
            self.can_accept_call(connection, replica)
                && part.is_none_or(|part| !self.carries_part(connection, part))
        });
        let preference = |id: ConnectionId, connection: &LeafConnection| {
            let is_pending = connection.phase != ConnectionPhase::Established;
            (is_pending, id)
        };
        let best = usable.min_by_key(|(id, connection)| preference(**id, connection));
        if let Some((id, _)) = best {
            return Some(*id);
        }
        self.open_connection(replica)
    }

    fn can_accept_call(&self, connection: &LeafConnection, replica: ReplicaId) -> bool {
        // Each attempt counts as a separate call, which is the worst case. One call is kept free: a leaf server reads no
        // cancellations on a connection at its limit, so a retry of the part would run beside the first attempt.
        let max_calls = (self.state.settings.calls_per_connection as usize).saturating_sub(1).max(1);
        connection.replica == replica
            && !connection.draining
            && connection.phase != ConnectionPhase::Closing
            && connection.calls_in_flight() < max_calls
            && connection.unwritten_since.len() < MAX_UNWRITTEN_MESSAGES
    }

    fn carries_part(&self, connection: &LeafConnection, part: &PartKey) -> bool {
        let is_attempt_of_part =
            |id: &AttemptId| self.state.attempts.get(id).is_some_and(|attempt| attempt.part_key == *part);
        connection.cancelled.values().any(|cancelled| cancelled == part)
            || connection.attempts.iter().any(is_attempt_of_part)
    }

    fn open_connection(&mut self, replica: ReplicaId) -> Option<ConnectionId> {
        if self.state.connections.len() >= self.state.limits.leaf_connections {
            return None;
        }
        let address = self.state.leaf_servers.get(&replica)?.address.clone();
        let id = ConnectionId(self.state.allocate_id());
        self.state.connections.insert(id, LeafConnection::new(replica, self.now));
        self.state.counters.connections_started += 1;
        let timeout_at = self.now + self.state.settings.connect_timeout;
        self.state.set_timer(timeout_at, Timer::ConnectTimeout(id));
        self.effects.push(Effect::Connect(id, address));
        Some(id)
    }

    pub(super) fn connection_established(&mut self, id: ConnectionId) {
        let Some(connection) = self.state.connections.get_mut(&id) else { return };
        if connection.phase != ConnectionPhase::Connecting {
            return;
        }
        connection.phase = ConnectionPhase::Established;
        connection.last_received_at = self.now;
        let health_checks = std::mem::take(&mut connection.queued_health_checks);
        self.state.counters.connections_established += 1;
        for _ in 0..health_checks {
            self.submit_health_check(id);
        }
        self.check_idle_timeout(id);
    }

    pub(super) fn connect_timed_out(&mut self, id: ConnectionId) {
        let Some(connection) = self.state.connections.get(&id) else { return };
        if connection.phase == ConnectionPhase::Connecting {
            self.state.counters.connections_failed += 1;
            self.close_connection(id);
        }
    }

    pub(super) fn messages_written(&mut self, id: ConnectionId, up_to: u64) {
        let Some(connection) = self.state.connections.get_mut(&id) else { return };
        let written_before = connection.messages_written;
        connection.mark_written(up_to);
        let mut cancelled = Vec::new();
        for attempt in &connection.attempts {
            match self.state.attempts.get(attempt).map(|attempt| attempt.stage) {
                Some(AttemptStage::Submitted { message, .. })
                    if written_before < message && message <= up_to =>
                {
                    self.state.counters.attempts_sent += 1;
                }
                Some(AttemptStage::Cancelled { message: Some(message), .. }) if message <= up_to => {
                    cancelled.push(*attempt);
                }
                _ => {}
            }
        }
        for attempt in cancelled {
            self.cancellation_written(attempt, id);
        }
    }

    /// Closes a connection whose oldest unwritten message has timed out. Otherwise messages to a leaf server that does
    /// not read would accumulate, arrive long after it began to drain, and delay retries of cancelled attempts.
    pub(super) fn check_write_timeout(&mut self, id: ConnectionId) {
        let Some(connection) = self.state.connections.get(&id) else { return };
        if connection.phase != ConnectionPhase::Established {
            return;
        }
        let Some(oldest) = connection.unwritten_since.front() else { return };
        let timeout_at = oldest + self.state.settings.connect_timeout;
        if timeout_at <= self.now {
            self.close_connection(id);
        } else {
            self.state.set_timer(timeout_at, Timer::WriteTimeout(id));
        }
    }

    pub(super) fn connection_ended(
        &mut self,
        id: ConnectionId,
        reason: Option<String>,
        protocol_error: bool,
    ) {
        let Some(connection) = self.state.connections.remove(&id) else { return };
        let counters = &mut self.state.counters;
        let was_connecting = connection.phase == ConnectionPhase::Connecting;
        counters.connections_failed += u64::from(was_connecting);
        counters.connections_protocol_errors += u64::from(protocol_error);
        if connection.phase != ConnectionPhase::Closing {
            counters.connections_broken += 1;
            if let Some(reason) = reason {
                let event = LogEvent::LeafConnectionEnded { replica: connection.replica, reason };
                self.effects.push(Effect::Log(event));
            }
        }
        let loss = ConnectionLoss {
            replica: connection.replica,
            was_connecting,
            messages_written: connection.messages_written,
            written_outcome: if protocol_error { Outcome::Error } else { Outcome::Reset },
        };
        self.end_lost_work(&connection.attempts, &connection.health_checks, &loss);
        for attempt in connection.attempts {
            self.confirm_cancellation(attempt);
        }
    }

    /// Closes a connection. Attempts whose messages were submitted remain as unconfirmed cancellations until the end of
    /// the connection is confirmed.
    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        let Some(connection) = self.state.connections.get_mut(&id) else { return };
        if connection.phase == ConnectionPhase::Closing {
            return;
        }
        let loss = ConnectionLoss {
            replica: connection.replica,
            was_connecting: connection.phase == ConnectionPhase::Connecting,
            // The writer may still write all messages before it receives the request to close.
            messages_written: connection.messages_submitted(),
            written_outcome: Outcome::Reset,
        };
        connection.phase = ConnectionPhase::Closing;
        let attempts = connection.attempts.clone();
        let health_checks = std::mem::take(&mut connection.health_checks);
        self.state.counters.connections_closed += 1;
        self.effects.push(Effect::CloseConnection(id));
        self.end_lost_work(&attempts, &health_checks, &loss);
    }

    /// Ends the attempts and health checks on a lost connection. An attempt whose message was written completely may have
    /// run; any other has not.
    fn end_lost_work(
        &mut self,
        attempts: &BTreeSet<AttemptId>,
        health_checks: &VecDeque<PendingHealthCheck>,
        loss: &ConnectionLoss,
    ) {
        for attempt in attempts {
            match self.state.attempts.get(attempt).map(|attempt| attempt.stage) {
                Some(AttemptStage::Submitted { message, .. }) if message <= loss.messages_written => {
                    self.end_attempt(*attempt, loss.written_outcome, None);
                }
                Some(AttemptStage::Queued { .. } | AttemptStage::Submitted { .. }) => {
                    self.end_attempt(*attempt, Outcome::ConnectFailed, None);
                }
                _ => {}
            }
        }
        let outcome = if loss.was_connecting { Outcome::ConnectFailed } else { Outcome::Reset };
        for check in health_checks.iter().filter(|check| !check.reported) {
            self.report_health_check(loss.replica, outcome, self.now - check.sent_at, None);
        }
    }

    /// Closes a draining connection once nothing is in flight on it.
    pub(super) fn close_if_drained(&mut self, id: ConnectionId) {
        let Some(connection) = self.state.connections.get(&id) else { return };
        if connection.draining && connection.is_unused() {
            self.close_connection(id);
        }
    }

    /// Closes a connection that has exceeded its idle timeout, or sets the timer for the next check.
    pub(super) fn check_idle_timeout(&mut self, id: ConnectionId) {
        let Some(connection) = self.state.connections.get(&id) else { return };
        let keep_alive = self.state.settings.idle_timeout;
        let by_fraction = IDLE_TIMEOUT_FRACTION * keep_alive;
        let by_margin = (keep_alive - MIN_IDLE_MARGIN).max(0.0);
        let idle_timeout = by_fraction.min(by_margin).max(1.0);
        let idle_since = if connection.is_unused() { connection.last_used_at } else { self.now };
        let timeout_at = idle_since + idle_timeout;
        if timeout_at <= self.now {
            self.close_connection(id);
        } else {
            self.state.set_timer(timeout_at, Timer::IdleTimeout(id));
        }
    }

    /// Drains a connection on which nothing has been received since a given time. The leaf server may have crashed, or
    /// restarted and lost the connection's state; new work is sent on a new connection, which detects this.
    pub(super) fn drain_if_unresponsive(&mut self, id: ConnectionId, since: Millis) {
        let Some(connection) = self.state.connections.get_mut(&id) else { return };
        if connection.last_received_at < since {
            connection.draining = true;
            self.close_if_drained(id);
        }
    }

    /// Drains all connections to a leaf server.
    pub(super) fn drain_connections(&mut self, replica: ReplicaId) {
        let mut drained = Vec::new();
        for (id, connection) in &mut self.state.connections {
            if connection.replica == replica {
                connection.draining = true;
                drained.push(*id);
            }
        }
        for id in drained {
            self.close_if_drained(id);
        }
    }
}
