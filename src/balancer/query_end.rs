//! The end of queries: the one final answer, its feedback to admission control, and the removal of parts.

use super::action::Action;
use super::part::Part;
use super::query_progress::{Query, WEIGHT_ROUNDING};
use super::state::Balancer;
use super::{Class, Millis, PartId, QueryId, RejectReason};

/// Less coverage than this counts as none.
const MIN_ANSWERED_COVERAGE: f64 = 4.0 * WEIGHT_ROUNDING;

/// The answer that may be given to a query when it ends.
#[derive(Clone, Copy, PartialEq)]
enum AvailableAnswer {
    None,
    Partial,
    Complete,
}

/// A query at its end, by the attempts of its parts.
struct QueryResult {
    /// The weight of the answered parts.
    answered: f64,
    answer: AvailableAnswer,
    /// A replica may have worked on it.
    has_cost_work: bool,
    /// A replica may have executed a part of it.
    maybe_executed: bool,
}

impl QueryResult {
    /// The share of its full value that the query brings if it is answered in time.
    fn value(&self, class: &Class) -> f64 {
        match self.answer {
            AvailableAnswer::None => 0.0,
            AvailableAnswer::Partial => class.partial_value_factor * self.answered / class.complete_coverage,
            AvailableAnswer::Complete => 1.0,
        }
    }
}

impl Balancer {
    /// Ends a query: with an answer if one may be given, else rejected for a reason where a retry is harmless, else
    /// failed.
    pub(super) fn finish(&mut self, id: QueryId, reason: RejectReason, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        let class = query.class;
        let result = self.query_result(query);
        // A query that was rejected everywhere has cost nothing, and is no evidence about its chance.
        if query.admission_chance > 0.0 && result.has_cost_work {
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
            has_cost_work: parts().any(Part::may_have_cost_work),
            maybe_executed: query.in_second_step || parts().any(|part| part.maybe_executed_at().is_some()),
        }
    }

    /// The Retry-After of a rejected query: long if it was rejected for load, else one median latency.
    fn retry_after(&self, query: &Query) -> Option<Millis> {
        let median = self.latency.median();
        let is_for_load = self.admission.is_shedding() || self.now + median > query.objective_at;
        let wait = if is_for_load { f64::INFINITY } else { median };
        self.settings.max_retry_after.map(|most| most.min(wait))
    }

    fn begin_second_step(&mut self, id: QueryId, is_complete: bool, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        query.in_second_step = true;
        query.first_step_complete = is_complete;
        query.admission_chance = 0.0;
        let parts = std::mem::take(&mut query.parts);
        self.release(&parts, actions);
    }

    /// Forgets a query.
    pub(super) fn close(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.in_flight = self.in_flight.saturating_sub(1);
        self.release(&query.parts, actions);
    }

    /// Gives up parts. Attempts in flight are cancelled where that is allowed; their parts are kept until they end.
    fn release(&mut self, parts: &[PartId], actions: &mut Vec<Action>) {
        for id in parts {
            self.in_flight = self.in_flight.saturating_sub(1);
            self.cancel_attempts(*id, actions);
            let Some(part) = self.parts.get_mut(id) else { continue };
            let shard = part.shard;
            let is_missed = !part.is_answered && !part.is_over;
            let first_sent_at = part.attempts.first().map(|attempt| attempt.sent_at);
            let missed_since = first_sent_at.filter(|sent_at| is_missed && *sent_at >= self.resumed_at);
            if let Some(sent_at) = missed_since {
                self.admission.record_given_up(self.now - sent_at, part.expected_latency);
            }
            part.is_over = true;
            if !part.is_in_flight() {
                self.parts.remove(id);
            }
            if missed_since.is_some() {
                self.admission.record_part(self.admission_context(), shard, false);
            }
        }
    }
}
