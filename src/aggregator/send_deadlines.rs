//! Withdrawal of attempts that must not be sent: their send deadline has passed, or their leaf server must not receive
//! them.

use super::AttemptId;
use super::leaf_connection::{ConnectionPhase, LeafConnection};
use super::records::AttemptStage;
use super::reduce::Reduction;
use super::state::State;
use super::timer::Timer;
use crate::balancer::{Outcome, ReplicaId};

impl Reduction<'_> {
    /// Handles a passed send deadline. If the message is still in the writer, only closing the connection prevents the
    /// rest of it from being sent.
    pub(super) fn send_deadline_passed(&mut self, id: AttemptId) {
        let Some(attempt) = self.state.attempts.get(&id) else { return };
        match attempt.stage {
            AttemptStage::Waiting | AttemptStage::Queued { .. } => {
                self.end_attempt(id, Outcome::NotSent, None);
            }
            AttemptStage::Submitted { connection, message } => {
                let record = self.state.connections.get(&connection);
                if record.is_some_and(|record| message > record.messages_written) {
                    self.close_connection(connection);
                }
            }
            AttemptStage::Cancelled { .. } => {}
        }
    }

    /// Limits the send deadlines of attempts for a leaf server that no longer accepts new work: an attempt that is not
    /// written within half of the grace period is not sent.
    pub(super) fn shorten_send_deadlines(&mut self, replica: ReplicaId) {
        let State { attempts, timers, settings, .. } = &mut *self.state;
        let latest = self.now + settings.drain_grace / 2.0;
        for (id, attempt) in attempts.iter_mut() {
            let is_cancelled = matches!(attempt.stage, AttemptStage::Cancelled { .. });
            if attempt.replica != replica || is_cancelled {
                continue;
            }
            let send_by = attempt.send_by.map_or(latest, |send_by| send_by.min(latest));
            attempt.send_by = Some(send_by);
            timers.set(latest, Timer::SendDeadline(*id));
        }
    }

    /// Ends the attempts queued on established connections whose send deadline has passed but whose timer has not fired
    /// yet.
    pub(super) fn withdraw_overdue_attempts(&mut self) {
        let State { connections, attempts, .. } = &*self.state;
        let is_overdue = |id: &&AttemptId| {
            let send_by = attempts.get(id).and_then(|attempt| attempt.send_by);
            send_by.is_some_and(|send_by| send_by < self.now)
        };
        let is_established = |connection: &&LeafConnection| connection.phase == ConnectionPhase::Established;
        let established = connections.values().filter(is_established);
        let queued = established.flat_map(|connection| &connection.queued);
        let overdue: Vec<AttemptId> = queued.filter(is_overdue).copied().collect();
        for id in overdue {
            self.end_attempt(id, Outcome::NotSent, None);
        }
    }

    /// Ends the attempts for a leaf server that have not been passed to a writer.
    pub(super) fn withdraw_unsent_attempts(&mut self, replica: ReplicaId, outcome: Outcome) {
        let is_unsent =
            |stage: AttemptStage| matches!(stage, AttemptStage::Waiting | AttemptStage::Queued { .. });
        let attempts = self.state.attempts.iter();
        let unsent = attempts.filter(|(_, attempt)| attempt.replica == replica && is_unsent(attempt.stage));
        let unsent: Vec<AttemptId> = unsent.map(|(id, _)| *id).collect();
        for id in unsent {
            self.end_attempt(id, outcome, None);
        }
    }
}
