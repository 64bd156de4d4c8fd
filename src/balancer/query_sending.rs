//! Advances a query: decides whether it ends now, and which of its parts are sent, retried or hedged.

use super::action::Action;
use super::attempts::HEDGE_TAILS;
use super::event::Outcome;
use super::part::Part;
use super::query_progress::{Coverage, PartStatus, Progress, Query, WEIGHT_ROUNDING};
use super::retry_budget::BudgetUse;
use super::state::Balancer;
use super::{Class, Millis, PartId, QueryId, RejectReason};

/// Upper bound of the time reserved for the second step, as a share of the latency objective.
const MAX_SECOND_STEP_SHARE: f64 = 0.5;
/// A query with at least this many parts per replica is wide: it sends one part first, as a canary, and waits for its
/// answer for up to [`MAX_CANARY_SHARE`] of the latency objective.
const CANARY_PARTS_PER_REPLICA: f64 = 0.5;
const MAX_CANARY_SHARE: f64 = 0.3;
/// A query that sends a canary is ended once attempts of more than this many parts were reset.
const MAX_RESET_PARTS: usize = 1;
/// A partial answer is sent this long before the latency objective, in units of the timer's granularity.
const PARTIAL_MARGIN_TICKS: f64 = 2.0;

/// The result of [`Balancer::send_part`].
enum SendResult {
    /// An attempt was sent, or the part waits for health checks.
    Committed,
    /// No replica is eligible now.
    NotSent,
    /// The query was ended, since the part could not be answered in time.
    QueryEnded,
}

impl Balancer {
    /// Advances one query: ends it with or without an answer, or sends the attempts that are due.
    pub(super) fn advance(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        if query.awaits_second_step() {
            if self.now >= query.deadline_at {
                self.finish(id, RejectReason::DeadlineReached, actions);
            }
            return;
        }
        let coverage = Coverage::needed(&query.class, query.in_second_step);
        let progress = self.progress(query, &coverage);
        if progress.is_unanswerable(&coverage) {
            return self.finish(id, RejectReason::PartsLost, actions);
        }
        if self.should_finish(query, &coverage, &progress) {
            return self.finish(id, RejectReason::DeadlineReached, actions);
        }
        let needs_canary = self.needs_canary(query, &progress);
        let crashes_replicas = needs_canary && self.crashes_replicas(query, &progress);
        // The random numbers are drawn before the query may end, so that they are always drawn in the same order.
        let unsent = self.in_sending_order(&progress.unsent);
        if crashes_replicas {
            return self.finish(id, RejectReason::CrashesReplicas, actions);
        }
        let mut covered = progress.answered + progress.committed;
        for part in unsent {
            if covered >= coverage.complete || needs_canary && covered > 0.0 {
                break;
            }
            match self.send_part(part, actions) {
                SendResult::Committed => covered += self.parts[&part].weight,
                SendResult::NotSent => {}
                SendResult::QueryEnded => return,
            }
        }
        self.send_further_attempts(id, &coverage, &progress, covered, actions);
    }

    /// Sends retries and hedged requests until the parts that are answered or in flight suffice for a complete answer.
    /// `covered` is the weight of those parts.
    fn send_further_attempts(
        &mut self,
        id: QueryId,
        coverage: &Coverage,
        progress: &Progress,
        mut covered: f64,
        actions: &mut Vec<Action>,
    ) {
        for part in progress.retryable.iter().chain(&progress.hedgeable) {
            if covered >= coverage.complete {
                return;
            }
            let record = &self.parts[part];
            let weight = record.weight;
            let is_retry = !record.is_in_flight();
            let is_required = is_retry && !coverage.allows_partial();
            let usage = if is_required { BudgetUse::Required } else { BudgetUse::Optional };
            if self.may_attempt(record) && self.within_budget(record.may_have_used_capacity(), usage) {
                match self.send_part(*part, actions) {
                    SendResult::Committed => covered += weight,
                    SendResult::NotSent => {}
                    SendResult::QueryEnded => return,
                }
                continue;
            }
            let is_needed_for_minimum = is_retry && progress.reachable - weight < coverage.minimum;
            if is_needed_for_minimum && !self.within_budget(false, BudgetUse::Required) {
                // If the query is rejected now, its client may still get an answer in time from another aggregator.
                return self.finish(id, RejectReason::RetryBudget, actions);
            }
        }
    }

    fn progress(&self, query: &Query, coverage: &Coverage) -> Progress {
        let mut progress = Progress::default();
        for id in &query.parts {
            if let Some(part) = self.parts.get(id) {
                progress.add(*id, part.weight, &self.part_status(part, query, coverage));
            }
        }
        progress
    }

    fn part_status(&self, part: &Part, query: &Query, coverage: &Coverage) -> PartStatus {
        if part.is_answered {
            return PartStatus::Answered;
        }
        let in_flight = part.in_flight().count();
        if in_flight > 0 {
            let hedge_is_due = in_flight < 2
                && self.is_hedge_due(part, query, coverage.has_spare_parts())
                && self.has_healthy_alternative(part);
            return PartStatus::InFlight { hedge_is_due };
        }
        if part.attempts.is_empty() {
            PartStatus::Unsent
        } else if self.may_attempt(part) {
            PartStatus::Retryable
        } else {
            PartStatus::Unanswerable
        }
    }

    /// Whether a query that can still be answered should end now: its answer is final, a partial answer is due, or its
    /// deadline has passed.
    fn should_finish(&self, query: &Query, coverage: &Coverage, progress: &Progress) -> bool {
        let margin = PARTIAL_MARGIN_TICKS * self.settings.timer_granularity;
        let partial_is_due = self.now + margin + self.second_step_time(&query.class, query.in_second_step)
            >= query.objective_at
            && progress.prefers_partial_to_late_answer(coverage, &query.class);
        progress.is_settled(coverage) || partial_is_due || self.now >= query.deadline_at
    }

    /// Whether a query sends one part first, as a canary, and the others once that part is answered. This applies to
    /// queries to most replicas, so that a query that crashes replicas does not crash all of them at once.
    fn needs_canary(&self, query: &Query, progress: &Progress) -> bool {
        let is_wide = query.parts.len() as f64 >= CANARY_PARTS_PER_REPLICA * self.endpoints.len() as f64;
        let time_left = query.objective_at - self.now;
        let has_time = time_left > (1.0 - MAX_CANARY_SHARE) * query.class.latency_objective;
        is_wide && !query.in_second_step && progress.answered == 0.0 && has_time
    }

    /// Whether the query appears to crash replicas: attempts of more than [`MAX_RESET_PARTS`] parts were reset.
    fn crashes_replicas(&self, query: &Query, progress: &Progress) -> bool {
        let was_reset = |part: &&PartId| {
            self.parts[*part].attempts.iter().any(|attempt| attempt.outcome == Some(Outcome::Reset))
        };
        progress.retryable.len() > 1 && query.parts.iter().filter(was_reset).count() > MAX_RESET_PARTS
    }

    /// Sorts unsent parts by the expected load of their shards, lowest first. Random jitter of up to one queued part
    /// is added to each load.
    fn in_sending_order(&mut self, unsent: &[PartId]) -> Vec<PartId> {
        let queued_part_time = self.latency.queued_part_time();
        let mut sortable: Vec<(f64, PartId)> = Vec::with_capacity(unsent.len());
        for id in unsent {
            let queued_parts = self.expected_latency(self.parts[id].shard) / queued_part_time;
            sortable.push((queued_parts + self.random.unit_interval(), *id));
        }
        sortable.sort_by(|a, b| a.0.total_cmp(&b.0));
        sortable.into_iter().map(|(_, id)| id).collect()
    }

    /// Selects a replica for a part and sends it an attempt, unless health checks have to be awaited first.
    fn send_part(&mut self, part: PartId, actions: &mut Vec<Action>) -> SendResult {
        let Some(replica) = self.select(part, actions) else {
            let awaits_checks = self.parts[&part].candidates.is_some();
            return if awaits_checks { SendResult::Committed } else { SendResult::NotSent };
        };
        let Part { query: query_id, shard, .. } = self.parts[&part];
        let query = &self.queries[&query_id];
        if query.class.minimum_coverage < query.class.complete_coverage - WEIGHT_ROUNDING {
            if self.admission.is_shard_failing(self.admission_context(), shard) {
                return SendResult::NotSent;
            }
        } else {
            // Without this part the query cannot be answered, so work on the other parts would be wasted.
            let time_left = query.deadline_at - self.now;
            if self.admission.is_too_late(time_left / self.expected_latency(shard)) {
                self.finish(query_id, RejectReason::PartTooLate, actions);
                return SendResult::QueryEnded;
            }
        }
        self.send_attempt(part, replica, actions);
        SendResult::Committed
    }

    /// The time to reserve for a class's second step; 0 without one or once it has begun. A first answer that leaves
    /// too little time for the second step has no value.
    pub(super) fn second_step_time(&self, class: &Class, has_begun: bool) -> Millis {
        let has_second_step = class.second_step_parts > 0 && !has_begun;
        let needed = if has_second_step { HEDGE_TAILS * self.latency.tail() } else { 0.0 };
        needed.min(MAX_SECOND_STEP_SHARE * class.latency_objective)
    }
}
