//! Query arrival: computes a query's deadlines and priority and decides on its admission.

use super::action::{Action, LogEvent};
use super::admission::{AdmissionCandidate, Forecast, Occupancy, PartForecast, has_spare_capacity};
use super::client_retries::ClientTry;
use super::event::PartSpec;
use super::health_checks::sampled_share;
use super::part::Part;
use super::query_progress::Query;
use super::selection::Scoring;
use super::state::Balancer;
use super::statistics::finite_or;
use super::sweep::SWEEP_TICKS;
use super::{Class, Millis, PartId, QueryId, RejectReason};

/// A query continues after its latency objective if a late answer keeps at least this share of the value.
const MIN_LATE_VALUE: f64 = 0.2;

/// A query on arrival.
pub(super) struct QueryArrival {
    pub query: QueryId,
    pub class: usize,
    pub tenant: Option<usize>,
    pub time_left: Millis,
    pub is_retry: bool,
}

/// The times that apply to a query, on the caller's clock.
struct QueryTimes {
    /// The time left to the latency objective, after deducting the client's wait in earlier tries.
    objective: Millis,
    objective_at: Millis,
    deadline_at: Millis,
    /// The latest time at which an answer still reaches the client.
    answer_by: Millis,
    /// The latency objective can no longer be met; an answer has its late value.
    is_late: bool,
}

impl Balancer {
    pub(super) fn receive_query(
        &mut self,
        arrival: &QueryArrival,
        parts: &[PartSpec],
        actions: &mut Vec<Action>,
    ) {
        let id = arrival.query;
        if self.queries.contains_key(&id) {
            return;
        }
        self.retry_budgets.record_received(self.now, 1);
        let Some(class) = self.settings.classes.get(arrival.class).copied() else {
            return actions.push(Action::Fail { query: id });
        };
        let times = self.query_times(arrival, &class, parts);
        let query = self.new_query(class, &times);
        self.queries.insert(id, query);
        self.in_flight += 1;
        self.add_parts(id, parts);

        let late_value = if times.is_late { class.late_value_factor } else { 1.0 };
        let weight = self.priorities.record_query(&self.settings, arrival.class, arrival.tenant, parts.len());
        let priority = weight * late_value;
        let objective = if times.is_late { class.latency_objective } else { times.objective };
        let available = objective.min(times.answer_by - self.now);
        let forecast = self.forecast(id, &class, available - self.second_step_time(&class, false));
        let occupancy = Occupancy { in_flight: self.in_flight, max_in_flight: self.settings.max_in_flight };
        let candidate = AdmissionCandidate { forecast, priority, available };
        let shed = self.admission.shed_reason(self.admission_context(), &candidate, occupancy);
        if shed.is_some() && self.admission.record_shed(self.now) {
            actions.push(Action::Log(LogEvent::LoadSheddingStarted { class: arrival.class }));
        }
        let no_parts = parts.is_empty().then_some(RejectReason::NoParts);
        let too_late = (late_value == 0.0).then_some(RejectReason::TooLate);
        let past_limit = (self.now >= self.answer_limit).then_some(RejectReason::DeadlineReached);
        if let Some(reason) = no_parts.or(past_limit).or(too_late).or(shed) {
            return self.finish(id, reason, actions);
        }
        if !times.is_late
            && let Some(query) = self.queries.get_mut(&id)
        {
            query.admission_chance = forecast.chance;
        }
        self.advance(id, actions);
    }

    /// Adds the parts of a query's second step and sends them.
    pub(super) fn receive_second_step(&mut self, id: QueryId, parts: &[PartSpec], actions: &mut Vec<Action>) {
        if self.queries.get(&id).is_some_and(Query::awaits_second_step) {
            self.add_parts(id, parts);
            self.advance(id, actions);
        }
    }

    fn query_times(&mut self, arrival: &QueryArrival, class: &Class, parts: &[PartSpec]) -> QueryTimes {
        let hinted_cost: f64 =
            parts.iter().filter_map(|part| part.cost_hint).filter(|hint| hint.is_finite()).sum();
        let time_left = finite_or(arrival.time_left, class.deadline).clamp(0.0, class.deadline);
        // The answer has to be sent before the client gives up, and may be delayed until the next sweep.
        let margin = (SWEEP_TICKS + 1.0) * self.settings.timer_granularity.max(1.0);
        let answer_by = (self.now + time_left).min(self.answer_limit) - margin;
        let full_objective = class.latency_objective + class.objective_stretch * hinted_cost.max(0.0);
        let waited = self.waited_in_earlier_tries(arrival, class, time_left, full_objective, parts);
        let objective = full_objective - waited;
        let objective_at = (self.now + objective).min(answer_by);
        let allows_late_answer = class.late_value_factor >= MIN_LATE_VALUE;
        QueryTimes {
            objective,
            objective_at,
            deadline_at: if allows_late_answer { answer_by } else { objective_at },
            answer_by,
            is_late: objective < self.latency.median(),
        }
    }

    /// The time that the client has waited in earlier tries; 0 for a first try.
    fn waited_in_earlier_tries(
        &mut self,
        arrival: &QueryArrival,
        class: &Class,
        time_left: Millis,
        objective: Millis,
        parts: &[PartSpec],
    ) -> Millis {
        let client_try = ClientTry { time_left, is_marked_retry: arrival.is_retry };
        let queued_part_time = self.latency.queued_part_time();
        let criteria = self.outlier_criteria();
        let scoring = Scoring { endpoints: &self.endpoints, load_reports: &self.load_reports, criteria };
        let has_spare_capacity = || {
            let latencies = parts.iter().map(|part| queued_part_time * scoring.least_cost(part.shard));
            has_spare_capacity(latencies.sum(), objective, parts.len())
        };
        let is_first_try = self.try_timeouts.record_try(
            arrival.class,
            &client_try,
            self.settings.clients_mark_retries,
            has_spare_capacity,
        );
        if is_first_try { 0.0 } else { (class.deadline - time_left).max(0.0) }
    }

    fn new_query(&mut self, class: Class, times: &QueryTimes) -> Query {
        let sampled = sampled_share(
            self.settings.health_check_cost,
            &self.latency,
            self.objectives.shortest,
            &self.failing_share,
        );
        let uses_health_checks = sampled.is_some_and(|share| self.random.unit_interval() < share);
        Query {
            uses_health_checks,
            class,
            max_attempts: self.settings.max_attempts,
            hedging_allowed: self.settings.hedging_allowed,
            admission_chance: 0.0,
            objective_at: times.objective_at,
            deadline_at: times.deadline_at,
            parts: Vec::new(),
            in_second_step: false,
            first_step_complete: false,
        }
    }

    fn add_parts(&mut self, id: QueryId, specs: &[PartSpec]) {
        self.retry_budgets.record_received(self.now, specs.len());
        for spec in specs {
            if self.parts.contains_key(&spec.part) {
                continue;
            }
            let weight = finite_or(spec.weight, 0.0).max(0.0);
            let part = Part::new(id, spec.shard, weight, self.expected_latency(spec.shard));
            let Some(query) = self.queries.get_mut(&id) else { return };
            query.parts.push(spec.part);
            self.parts.insert(spec.part, part);
            self.in_flight += 1;
        }
    }

    fn forecast(&self, id: QueryId, class: &Class, time: Millis) -> Forecast {
        let forecast_of = |id: &PartId| {
            let part = &self.parts[id];
            PartForecast { shard: part.shard, weight: part.weight, expected_latency: part.expected_latency }
        };
        let mut parts: Vec<PartForecast> = self.queries[&id].parts.iter().map(forecast_of).collect();
        self.admission.forecast(self.admission_context(), class, &mut parts, time)
    }
}
