//! The end of queries: gives the final answer, updates admission control, and removes the parts.

use super::action::Action;
use super::part::Part;
use super::query_progress::{Query, WEIGHT_ROUNDING};
use super::state::Balancer;
use super::{Class, Millis, PartId, QueryId, RejectReason};

/// Coverage below this counts as 0.
const MIN_ANSWERED_COVERAGE: f64 = 4.0 * WEIGHT_ROUNDING;

/// The answer that can be given to a query when it ends.
#[derive(Clone, Copy, PartialEq)]
enum AvailableAnswer {
    None,
    Partial,
    Complete,
}

/// The result of a query, derived from its parts.
struct QueryResult {
    /// The weight of the answered parts.
    answered: f64,
    answer: AvailableAnswer,
    /// A part of the query may have used capacity of a replica.
    has_used_capacity: bool,
    /// A replica may have executed a part of the query.
    maybe_executed: bool,
}

impl QueryResult {
    /// The share of its full value that the query has if it is answered in time.
    fn value(&self, class: &Class) -> f64 {
        match self.answer {
            AvailableAnswer::None => 0.0,
            AvailableAnswer::Partial => class.partial_value_factor * self.answered / class.complete_coverage,
            AvailableAnswer::Complete => 1.0,
        }
    }
}

impl Balancer {
    /// Ends a query. It is answered if its parts allow an answer, rejected for `reason` if a retry is safe, and failed
    /// otherwise.
    pub(super) fn finish(&mut self, id: QueryId, reason: RejectReason, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        let class = query.class;
        let result = self.query_result(query);
        // A query whose parts were all rejected has used no capacity, and is not a sample of the accuracy of its
        // chance.
        if query.admission_chance > 0.0 && result.has_used_capacity {
            let is_in_time = self.now <= query.objective_at;
            let value = if is_in_time { result.value(&class) } else { 0.0 };
            let chance = query.admission_chance;
            self.admission.record_query(self.admission_context(), chance, value);
        }
        if result.answer != AvailableAnswer::None {
            let complete = result.answer == AvailableAnswer::Complete;
            actions.push(Action::Answer { query: id, complete });
            if !query.in_second_step && class.second_step_parts > 0 {
                return self.begin_second_step(id, complete, actions);
            }
        } else if query.is_idempotent() || !result.maybe_executed {
            let retry_after = self.retry_after(query);
            actions.push(Action::Reject { query: id, retry_after, reason });
        } else {
            actions.push(Action::Fail { query: id });
        }
        self.close(id, actions);
    }

    fn query_result(&self, query: &Query) -> QueryResult {
        let class = &query.class;
        let parts = || query.parts.iter().filter_map(|part| self.parts.get(part));
        let answered: f64 = parts().filter(|part| part.is_answered).map(|part| part.weight).sum();
        let is_complete = if query.in_second_step {
            query.first_step_complete && parts().all(|part| part.is_answered)
        } else {
            answered >= class.complete_coverage - WEIGHT_ROUNDING
        };
        let needs_all = query.in_second_step && class.minimum_coverage >= class.complete_coverage;
        let minimum = if needs_all { 1.0 } else { class.minimum_coverage };
        let is_answerable = !query.parts.is_empty()
            && answered >= minimum.max(MIN_ANSWERED_COVERAGE) - WEIGHT_ROUNDING
            && parts().any(|part| part.is_answered);
        let answer = match (is_answerable, is_complete) {
            (false, _) => AvailableAnswer::None,
            (true, false) => AvailableAnswer::Partial,
            (true, true) => AvailableAnswer::Complete,
        };
        QueryResult {
            answered,
            answer,
            has_used_capacity: parts().any(Part::may_have_used_capacity),
            maybe_executed: query.in_second_step || parts().any(|part| part.maybe_executed_at().is_some()),
        }
    }

    /// The Retry-After of a rejected query: the maximum if it was rejected because of load, otherwise one median
    /// latency.
    fn retry_after(&self, query: &Query) -> Option<Millis> {
        let median = self.latency.median();
        // During a shutdown the time is short, but another aggregator can serve the query at once.
        let is_shutting_down = self.answer_limit.is_finite();
        let is_late = self.now + median > query.objective_at && !is_shutting_down;
        let is_due_to_load = self.admission.is_shedding() || is_late;
        let wait = if is_due_to_load { f64::INFINITY } else { median };
        self.settings.max_retry_after.map(|max_wait| max_wait.min(wait))
    }

    fn begin_second_step(&mut self, id: QueryId, is_complete: bool, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.in_second_step = true;
        query.first_step_complete = is_complete;
        query.admission_chance = 0.0;
        let parts = std::mem::take(&mut query.parts);
        self.release(&parts, actions);
    }

    /// Removes a query and releases its parts.
    pub(super) fn close(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.in_flight = self.in_flight.saturating_sub(1);
        self.release(&query.parts, actions);
    }

    /// Releases parts that their query no longer needs. Attempts in flight are cancelled where that is allowed; a part
    /// is kept until its attempts have ended.
    fn release(&mut self, parts: &[PartId], actions: &mut Vec<Action>) {
        for id in parts {
            self.in_flight = self.in_flight.saturating_sub(1);
            self.cancel_attempts(*id, actions);
            let Some(part) = self.parts.get_mut(id) else { continue };
            let shard = part.shard;
            let is_unanswered = !part.is_answered && !part.is_released;
            let first_sent_at = part.attempts.first().map(|attempt| attempt.sent_at);
            let unanswered_since =
                first_sent_at.filter(|sent_at| is_unanswered && *sent_at >= self.resumed_at);
            if let Some(sent_at) = unanswered_since {
                self.admission.record_unanswered(self.now - sent_at, part.expected_latency);
            }
            part.is_released = true;
            if !part.is_in_flight() {
                self.parts.remove(id);
            }
            if unanswered_since.is_some() {
                self.admission.record_part(self.admission_context(), shard, false);
            }
        }
    }
}
