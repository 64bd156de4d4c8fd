//! Attempts: the first attempt of a part, retries and hedged requests. Decides when each may be sent, and updates the
//! state when it ends.

use super::action::Action;
use super::event::{CallResult, Outcome};
use super::outlier_detection::MAX_OUTLIER_SCORE;
use super::part::{Attempt, Part};
use super::query_progress::Query;
use super::replica::CallNumber;
use super::retry_budget::{BudgetUse, LatencyPressure};
use super::state::Balancer;
use super::statistics::finite_or;
use super::{Idempotency, Millis, PartId, ReplicaId};

/// A hedged request is due when the time left is this many tail latencies: enough for one more attempt, with a margin.
pub(super) const HEDGE_TAILS: f64 = 2.0;
/// If hedging is not allowed, an attempt times out after at least this many tail latencies, since cancelling an
/// attempt in progress wastes the work already done.
const MIN_TIMEOUT_TAILS: f64 = 6.0;

/// An attempt that has ended.
struct EndedAttempt {
    replica: ReplicaId,
    outcome: Outcome,
    elapsed: Millis,
    call: CallNumber,
    estimated_load: f64,
    reported_queue: f64,
    /// It was sent after the last stall of this aggregator, so the measured duration is that of the replica.
    is_reliable: bool,
}

impl Balancer {
    /// Sends an attempt of a part to a replica.
    pub(super) fn send_attempt(&mut self, part: PartId, replica: ReplicaId, actions: &mut Vec<Action>) {
        let timeout = self.attempt_timeout(part);
        let scoring = self.scoring();
        let target = scoring.endpoints.get(replica);
        let estimated_load = target.map_or(0.0, |replica| scoring.estimated_load(replica));
        let reported_queue = target.map_or(0.0, |replica| scoring.reported_queue(replica));
        let Some(record) = self.parts.get_mut(&part) else { return };
        let Some(query) = self.queries.get(&record.query) else { return };
        let Some(target) = self.endpoints.get_mut(replica) else { return };
        let call = target.calls.add_part(self.now, self.settings.parts_per_call.max(1));
        self.retry_budgets.record_attempt(self.now, record.attempts.is_empty());
        let send_by = record.send_retries_by(query.class.idempotency, self.settings.timer_granularity);
        record.attempts.push(Attempt {
            replica,
            sent_at: self.now,
            call,
            estimated_load,
            reported_queue,
            outcome: None,
            may_have_used_capacity: true,
        });
        actions.push(Action::Send { part, replica, timeout, send_by });
    }

    /// The timeout of a part's next attempt. With hedging it is the time to the query's deadline. Without hedging a
    /// retry has to wait for the timeout, so the time left is divided among the remaining attempts.
    fn attempt_timeout(&self, part: PartId) -> Millis {
        let Some(record) = self.parts.get(&part) else { return 0.0 };
        let Some(query) = self.queries.get(&record.query) else { return 0.0 };
        let time_left = (query.deadline_at - self.now).max(self.settings.timer_granularity);
        let attempts_left = query.max_attempts.saturating_sub(record.attempts.len() as u32 + 1);
        let may_retry = query.class.idempotency != Idempotency::NotIdempotent && attempts_left > 0;
        if query.hedging_allowed || !may_retry {
            return time_left;
        }
        // Before enough latencies are measured there is no estimate of the tail latency.
        let min_timeout =
            if self.latency.is_established() { self.latency.tail() * MIN_TIMEOUT_TAILS } else { 0.0 };
        time_left.min((time_left / f64::from(attempts_left + 1)).max(min_timeout))
    }

    /// Whether the limits and the class's idempotency allow another attempt of a part.
    pub(super) fn may_attempt(&self, part: &Part) -> bool {
        let Some(query) = self.queries.get(&part.query) else { return false };
        if part.is_released || part.is_answered || part.attempts.len() >= query.max_attempts.max(1) as usize {
            return false;
        }
        let in_flight = part.in_flight().count();
        if in_flight > 1 || in_flight == 1 && !query.hedging_allowed {
            return false;
        }
        let idempotency = query.class.idempotency;
        if idempotency == Idempotency::NotIdempotent && part.maybe_executed_at().is_some() {
            return false;
        }
        let send_by = part.send_retries_by(idempotency, self.settings.timer_granularity);
        send_by.is_none_or(|send_by| self.now < send_by)
    }

    /// Whether the retry budgets allow another attempt of a part. If the earlier attempts have used no replica
    /// capacity, another one adds no more load than a first attempt, and only the configured budget applies.
    pub(super) fn within_budget(&self, has_used_capacity: bool, usage: BudgetUse) -> bool {
        let granularity = self.settings.timer_granularity;
        let pressure = LatencyPressure {
            median_latency: self.latency.median(),
            shortest_objective: self.objectives.shortest,
            longest_objective: self.objectives.longest,
        };
        let configured = self.settings.retry_budget;
        (!has_used_capacity || self.retry_budgets.adaptive_allows(self.now, granularity, pressure))
            && self.retry_budgets.configured_allows(self.now, granularity, configured, usage)
    }

    /// Whether a hedged request for a part in flight is due: its last attempt has been in flight for the tail latency,
    /// and the time left is about to become too short for another attempt. If the query has spare parts, the second
    /// condition is skipped.
    pub(super) fn is_hedge_due(&self, part: &Part, query: &Query, has_spare_parts: bool) -> bool {
        let Some(last) = part.in_flight().last() else { return false };
        let age = self.now - last.sent_at.max(self.resumed_at);
        let until = if self.now < query.objective_at { query.objective_at } else { query.deadline_at };
        let is_time_short = until - self.now <= HEDGE_TAILS * self.latency.tail();
        age >= self.latency.tail() && (has_spare_parts || is_time_short)
    }

    /// Whether an untried and healthy holder of a part's shard is left. Where all holders are overloaded, as with a
    /// hot key, hedged requests would only lengthen their queues.
    pub(super) fn has_healthy_alternative(&self, part: &Part) -> bool {
        let scoring = self.scoring();
        self.endpoints
            .holders(part.shard)
            .filter(|id| !part.has_tried(*id))
            .any(|id| self.endpoints.get(id).is_some_and(|replica| scoring.is_healthy(replica)))
    }

    /// Handles the end of an attempt: updates its part, the statistics of its replica, and its query.
    pub(super) fn end_attempt(
        &mut self,
        id: PartId,
        number: usize,
        result: CallResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.close_attempt(id, number, result) else { return };
        let own_calls = self.remove_from_call(ended.replica, ended.call);
        self.update_estimates(&ended);
        if ended.outcome == Outcome::Ok {
            self.record_answer(id);
        }
        self.record_report(ended.replica, result.report, own_calls, 0.0);
        let Some(part) = self.parts.get(&id) else { return };
        let query = part.query;
        let is_answered = part.is_answered;
        if part.is_released && !part.is_in_flight() {
            self.parts.remove(&id);
        }
        if is_answered {
            self.cancel_attempts(id, actions);
        }
        self.advance(query, actions);
    }

    /// Sets the outcome of an attempt. Returns None if no such attempt is in flight.
    fn close_attempt(&mut self, id: PartId, number: usize, result: CallResult) -> Option<EndedAttempt> {
        let part = self.parts.get_mut(&id)?;
        let attempt = part.attempts.get_mut(number).filter(|attempt| attempt.outcome.is_none())?;
        let outcome = result.outcome;
        let elapsed = finite_or(result.elapsed, self.now - attempt.sent_at).max(0.0);
        let is_immediate_error =
            outcome == Outcome::Error && elapsed < self.latency.immediate_error_threshold();
        attempt.outcome = Some(outcome);
        attempt.may_have_used_capacity = !outcome.rules_out_execution() && !is_immediate_error;
        Some(EndedAttempt {
            replica: attempt.replica,
            outcome,
            elapsed,
            call: attempt.call,
            estimated_load: attempt.estimated_load,
            reported_queue: attempt.reported_queue,
            is_reliable: attempt.sent_at >= self.resumed_at,
        })
    }

    /// Marks a part as answered, unless it is already answered or has been released by its query.
    fn record_answer(&mut self, id: PartId) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        if part.is_released || part.is_answered {
            return;
        }
        part.is_answered = true;
        let query = part.query;
        let shard = part.shard;
        let first_sent_at = part.attempts[0].sent_at;
        if first_sent_at >= self.resumed_at {
            self.admission.record_latency(self.now - first_sent_at, part.expected_latency);
        }
        let is_in_time = self.queries.get(&query).is_some_and(|query| self.now <= query.objective_at);
        self.admission.record_part(self.admission_context(), shard, is_in_time);
    }

    /// Removes a part from its call. Returns the number of calls to the replica that remain in flight.
    fn remove_from_call(&mut self, replica: ReplicaId, call: CallNumber) -> f64 {
        let Some(replica) = self.endpoints.get_mut(replica) else { return 0.0 };
        replica.calls.remove_part(call);
        replica.calls.len() as f64
    }

    /// Updates the statistics of the replica, the latency estimates and the weight of load reports after an attempt.
    fn update_estimates(&mut self, ended: &EndedAttempt) {
        self.update_replica_statistics(ended);
        let is_reliable_answer = ended.is_reliable && ended.outcome == Outcome::Ok;
        if is_reliable_answer && ended.reported_queue != 0.0 {
            let latency_in_parts = ended.elapsed / self.latency.queued_part_time();
            self.load_reports.record_answer(ended.reported_queue, latency_in_parts, ended.estimated_load);
        }
    }

    fn update_replica_statistics(&mut self, ended: &EndedAttempt) {
        let criteria = self.outlier_criteria();
        let threshold = self.latency.immediate_error_threshold();
        let Some(replica) = self.endpoints.get_mut(ended.replica) else { return };
        let is_warm = self.slow_start.is_warm(self.now, &replica.warm_up);
        let ratio = (ended.elapsed / criteria.median_latency).min(MAX_OUTLIER_SCORE);
        self.failing_share.record(ended.outcome, ratio);
        replica.outlier_stats.refresh(&criteria);
        match ended.outcome {
            Outcome::Ok => {
                replica.outlier_stats.record_answer(self.now, ratio, ended.is_reliable);
                if ended.is_reliable {
                    self.latency.record(ended.elapsed, ended.estimated_load);
                }
                if is_warm {
                    self.slow_start.record_warm_answer();
                }
            }
            Outcome::Cancelled | Outcome::Timeout => {
                if ended.is_reliable {
                    replica.outlier_stats.record_no_response(&criteria, ended.elapsed);
                }
            }
            Outcome::NotSent => {}
            Outcome::Error if ended.elapsed < threshold => replica.outlier_stats.record_immediate_error(),
            Outcome::Error | Outcome::Rejected => replica.outlier_stats.record_failure(ended.outcome),
            Outcome::ConnectFailed | Outcome::Reset => {
                // Two consecutive failures indicate that the process has crashed or exited. It will restart cold, and
                // the endpoint list will show that only seconds later.
                if replica.outlier_stats.has_failed_before() {
                    replica.warm_up.connections_lost_at = Some(self.now);
                }
                replica.outlier_stats.record_failure(ended.outcome);
            }
        }
    }

    /// Cancels the attempts of a part that are in flight, if cancellation is allowed.
    pub(super) fn cancel_attempts(&self, id: PartId, actions: &mut Vec<Action>) {
        if !self.settings.cancellation_allowed {
            return;
        }
        let Some(part) = self.parts.get(&id) else { return };
        let numbered = part.attempts.iter().zip(0u32..);
        let in_flight = numbered.filter(|(attempt, _)| attempt.outcome.is_none());
        actions.extend(in_flight.map(|(_, number)| Action::Cancel { part: id, attempt: number }));
    }
}
