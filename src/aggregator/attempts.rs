//! Attempts of parts: starting, assignment to connections, submission to their writers, answers and outcomes.

use super::leaf_connection::ConnectionPhase;
use super::records::{Attempt, AttemptStage, PartKey};
use super::reduce::Reduction;
use super::state::State;
use super::timer::Timer;
use super::{AttemptId, CallPart, ConnectionId, Effect, PartOutcome};
use crate::balancer::{self, LoadReport, Outcome, PartId, ReplicaId};
use crate::clock::Millis;
use bytes::Bytes;

impl Reduction<'_> {
    pub(super) fn start_attempt(
        &mut self,
        part: PartId,
        replica: ReplicaId,
        timeout: Millis,
        send_by: Option<Millis>,
    ) {
        let id = AttemptId(self.state.allocate_id());
        let Some(record) = self.state.parts.get_mut(&part) else { return };
        let Some(query) = self.state.queries.get(&record.query) else { return };
        let part_key = PartKey { request_id: query.request_id.clone(), shard: record.shard };
        let number = record.attempts_started;
        record.attempts_started += 1;
        record.open_attempts.insert(number, id);
        let must_wait = record.unconfirmed_cancellations > 0;
        if must_wait {
            record.waiting_attempt = Some(id);
        }
        let timeout_at = self.now + timeout;
        let attempt = Attempt {
            part,
            part_key,
            number,
            replica,
            started_at: self.now,
            timeout_at,
            send_by,
            stage: AttemptStage::Waiting,
        };
        self.state.attempts.insert(id, attempt);
        self.state.set_timer(timeout_at, Timer::AttemptTimeout(id));
        if let Some(send_by) = send_by {
            self.state.set_timer(send_by, Timer::SendDeadline(id));
        }
        if !must_wait {
            self.queue_attempt(id);
        }
    }

    /// Queues an attempt on a connection that can accept it: an established one, one that is being established, or a new
    /// one.
    pub(super) fn queue_attempt(&mut self, id: AttemptId) {
        let Some(attempt) = self.state.attempts.get(&id) else { return };
        let replica = attempt.replica;
        let part_key = attempt.part_key.clone();
        let Some(connection) = self.connection_for(replica, Some(&part_key)) else {
            self.end_attempt(id, Outcome::ConnectFailed, None);
            return;
        };
        if let Some(attempt) = self.state.attempts.get_mut(&id) {
            attempt.stage = AttemptStage::Queued { connection };
        }
        if let Some(record) = self.state.connections.get_mut(&connection) {
            record.attempts.insert(id);
            record.queued.push(id);
            record.last_used_at = self.now;
        }
    }

    /// Passes the attempts queued on established connections to the writers. Attempts on the same connection share calls
    /// if the settings allow it.
    pub(super) fn flush_calls(&mut self) {
        let parts_per_call = self.state.settings.balancer.parts_per_call.max(1) as usize;
        let write_timeout_at = self.now + self.state.settings.connect_timeout;
        let State { connections, attempts, parts, queries, timers, .. } = &mut *self.state;
        for (id, connection) in connections.iter_mut() {
            if connection.phase != ConnectionPhase::Established || connection.queued.is_empty() {
                continue;
            }
            let queued = std::mem::take(&mut connection.queued);
            for attempts_of_call in queued.chunks(parts_per_call) {
                let message = connection.submit_message(self.now);
                let mut call = Vec::new();
                for attempt_id in attempts_of_call {
                    let Some(attempt) = attempts.get_mut(attempt_id) else { continue };
                    let Some(part) = parts.get(&attempt.part) else { continue };
                    let Some(query) = queries.get_mut(&part.query) else { continue };
                    query.was_sent = true;
                    attempt.stage = AttemptStage::Submitted { connection: *id, message };
                    call.push(CallPart {
                        attempt: *attempt_id,
                        request_id: query.request_id.clone(),
                        shard: part.shard,
                        timeout: attempt.timeout_at - self.now,
                        payload: query.payload.clone(),
                        idempotency_key: query.idempotency_key.clone(),
                    });
                }
                self.effects.push(Effect::SendCall(*id, call));
            }
            timers.set(write_timeout_at, Timer::WriteTimeout(*id));
        }
    }

    /// Ends an attempt and reports its outcome to the balancer. If the leaf server may still be working on it, the
    /// attempt is cancelled there.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, report: Option<LoadReport>) {
        let Some(attempt) = self.state.attempts.get(&id) else { return };
        let part = attempt.part;
        let number = attempt.number;
        let elapsed = self.now - attempt.started_at;
        match attempt.stage {
            AttemptStage::Cancelled { .. } => return,
            AttemptStage::Waiting => self.remove_attempt(id),
            AttemptStage::Queued { connection } => {
                if let Some(connection) = self.state.connections.get_mut(&connection) {
                    connection.queued.retain(|queued| *queued != id);
                }
                self.remove_attempt(id);
            }
            AttemptStage::Submitted { connection, .. } => {
                self.end_submitted_attempt(id, connection, outcome);
            }
        }
        self.count_attempt_outcome(outcome);
        self.remove_open_attempt(part, number, id);
        self.balancer_events.push_back(balancer::Event::AttemptEnded {
            part,
            attempt: number,
            outcome,
            elapsed,
            report,
        });
    }

    fn count_attempt_outcome(&mut self, outcome: Outcome) {
        let counters = &mut self.state.counters;
        let counter = match outcome {
            Outcome::Ok => &mut counters.attempts_served,
            Outcome::Error => &mut counters.attempts_failed,
            Outcome::Rejected => &mut counters.attempts_rejected,
            Outcome::Timeout => &mut counters.attempts_timed_out,
            Outcome::ConnectFailed => &mut counters.attempts_connect_failed,
            Outcome::Reset => &mut counters.attempts_reset,
            Outcome::Cancelled => &mut counters.attempts_cancelled,
            Outcome::NotSent => &mut counters.attempts_not_sent,
        };
        *counter += 1;
    }

    fn remove_open_attempt(&mut self, part: PartId, number: u32, id: AttemptId) {
        let Some(record) = self.state.parts.get_mut(&part) else { return };
        record.open_attempts.remove(&number);
        if record.waiting_attempt == Some(id) {
            record.waiting_attempt = None;
        }
        if record.open_attempts.is_empty() && !self.state.queries.contains_key(&record.query) {
            self.state.parts.remove(&part);
        }
    }

    pub(super) fn remove_attempt(&mut self, id: AttemptId) {
        let Some(attempt) = self.state.attempts.remove(&id) else { return };
        self.state.timers.cancel(attempt.timeout_at, Timer::AttemptTimeout(id));
        if let Some(send_by) = attempt.send_by {
            self.state.timers.cancel(send_by, Timer::SendDeadline(id));
        }
        let connection = match attempt.stage {
            AttemptStage::Waiting => return,
            AttemptStage::Queued { connection }
            | AttemptStage::Submitted { connection, .. }
            | AttemptStage::Cancelled { connection, .. } => connection,
        };
        if let Some(record) = self.state.connections.get_mut(&connection) {
            record.attempts.remove(&id);
            record.last_used_at = self.now;
        }
        self.close_if_drained(connection);
    }

    pub(super) fn attempt_answered(
        &mut self,
        connection: ConnectionId,
        id: AttemptId,
        part_outcome: PartOutcome,
        rows: Vec<Bytes>,
        report: Option<LoadReport>,
    ) {
        if let Some(record) = self.state.connections.get_mut(&connection) {
            record.last_received_at = self.now;
        }
        self.state.counters.load_reports_received += u64::from(report.is_some());
        let Some(part) = self.part_in_flight_on(connection, id) else {
            self.late_answer_received(connection, id);
            return;
        };
        if part_outcome == PartOutcome::Served
            && let Some(part) = self.state.parts.get_mut(&part)
        {
            part.value.get_or_insert(rows);
        }
        let outcome = match part_outcome {
            PartOutcome::Served => Outcome::Ok,
            PartOutcome::Failed => Outcome::Error,
            PartOutcome::Rejected => Outcome::Rejected,
            PartOutcome::Truncated => Outcome::Reset,
        };
        self.end_attempt(id, outcome, report);
    }

    /// The part of an attempt, if the attempt is in flight on the connection.
    fn part_in_flight_on(&self, connection: ConnectionId, id: AttemptId) -> Option<PartId> {
        let attempt = self.state.attempts.get(&id)?;
        match attempt.stage {
            AttemptStage::Submitted { connection: submitted_on, .. } if submitted_on == connection => {
                Some(attempt.part)
            }
            _ => None,
        }
    }

    pub(super) fn attempt_timed_out(&mut self, id: AttemptId) {
        let Some(attempt) = self.state.attempts.get(&id) else { return };
        let started_at = attempt.started_at;
        let stage = attempt.stage;
        self.end_attempt(id, Outcome::Timeout, None);
        if let AttemptStage::Submitted { connection, .. } = stage {
            self.drain_if_unresponsive(connection, started_at);
        }
    }
}
