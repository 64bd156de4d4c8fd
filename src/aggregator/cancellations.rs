//! Cancellation of attempts that were passed to a connection's writer. The next attempt of the part waits until the
//! cancellation is written or the connection has ended, since a leaf server cannot distinguish the two attempts.

use super::leaf_connection::ConnectionPhase;
use super::records::AttemptStage;
use super::reduce::Reduction;
use super::timer::Timer;
use super::{AttemptId, ConnectionId, Effect};
use crate::balancer::{Outcome, PartId};

impl Reduction<'_> {
    /// Cancels an attempt for the balancer, which identifies it by its number within its part.
    pub(super) fn cancel_attempt(&mut self, part: PartId, number: u32) {
        let Some(part) = self.state.parts.get(&part) else { return };
        if let Some(attempt) = part.open_attempts.get(&number).copied() {
            self.end_attempt(attempt, Outcome::Cancelled, None);
        }
    }

    /// Ends an attempt that was passed to a writer. It is cancelled first if the leaf server may still be working on it.
    pub(super) fn end_submitted_attempt(
        &mut self,
        id: AttemptId,
        connection: ConnectionId,
        outcome: Outcome,
    ) {
        let Some(record) = self.state.connections.get_mut(&connection) else {
            self.remove_attempt(id);
            return;
        };
        if record.phase == ConnectionPhase::Closing {
            self.mark_cancelled(id, connection, None);
        } else if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
            let message = record.submit_message(self.now);
            self.mark_cancelled(id, connection, Some(message));
            self.effects.push(Effect::SendCancellation(connection, id));
            let write_timeout_at = self.now + self.state.settings.connect_timeout;
            self.state.set_timer(write_timeout_at, Timer::WriteTimeout(connection));
        } else {
            self.remove_attempt(id);
        }
    }

    fn mark_cancelled(&mut self, id: AttemptId, connection: ConnectionId, message: Option<u64>) {
        let Some(attempt) = self.state.attempts.get_mut(&id) else { return };
        attempt.stage = AttemptStage::Cancelled { connection, message };
        if let Some(part) = self.state.parts.get_mut(&attempt.part) {
            part.unconfirmed_cancellations += 1;
        }
    }

    /// Handles a written cancellation. The leaf server may ignore it, so the attempt counts as a call in flight until it
    /// is answered. A connection that reaches its limit of such calls is drained.
    pub(super) fn cancellation_written(&mut self, id: AttemptId, connection: ConnectionId) {
        let max_calls = (self.state.settings.calls_per_connection as usize).saturating_sub(1);
        if let Some(record) = self.state.connections.get_mut(&connection)
            && let Some(attempt) = self.state.attempts.get(&id)
        {
            record.cancelled.insert(id, attempt.part_key.clone());
            record.draining |= record.cancelled.len() >= max_calls;
        }
        self.confirm_cancellation(id);
    }

    /// Removes a cancelled attempt. The leaf server can no longer confuse it with the part's next attempt, which may now
    /// be sent.
    pub(super) fn confirm_cancellation(&mut self, id: AttemptId) {
        let Some(part) = self.state.attempts.get(&id).map(|attempt| attempt.part) else { return };
        self.remove_attempt(id);
        let Some(record) = self.state.parts.get_mut(&part) else { return };
        record.unconfirmed_cancellations = record.unconfirmed_cancellations.saturating_sub(1);
        if record.unconfirmed_cancellations == 0
            && let Some(next_attempt) = record.waiting_attempt.take()
        {
            self.queue_attempt(next_attempt);
        }
    }

    /// Handles an answer to an attempt that is no longer in flight.
    pub(super) fn late_answer_received(&mut self, connection: ConnectionId, id: AttemptId) {
        self.state.counters.late_answers_ignored += 1;
        if self.state.attempts.contains_key(&id) {
            self.confirm_cancellation(id);
        } else if let Some(record) = self.state.connections.get_mut(&connection) {
            record.cancelled.remove(&id);
        }
    }
}
