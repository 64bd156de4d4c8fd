//! Invariants of the balancer's actions, checked over random sequences of events.

use crate::harness::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sailmux::balancer::*;
use std::collections::BTreeMap;

const CELLS: u32 = 5;
const COMPLETE_COVERAGE: f64 = 0.8;
const MINIMUM_COVERAGE: f64 = 0.4;
const DEADLINE_MS: f64 = 3000.0;

/// A random step: its kind, two choices whose meaning depends on the kind, and the time since the previous step.
#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    first_choice: u32,
    second_choice: u32,
    elapsed_ms: u32,
}

/// An attempt, and its outcome once it has ended.
struct Attempt {
    sent_at: f64,
    outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the attempt may have been executed; only some outcomes prove that it was not.
    fn may_have_been_executed(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
    }
}

struct Part {
    query: QueryId,
    attempts: Vec<Attempt>,
}

impl Part {
    fn is_answered(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.outcome == Some(Outcome::Ok))
    }

    fn may_have_been_executed(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_been_executed)
    }
}

struct Query {
    deadline: f64,
    parts: Vec<PartId>,
    has_ended: bool,
}

/// Checks every action against the invariants.
struct InvariantChecker {
    idempotency: Idempotency,
    budget: RetryBudget,
    hedging_allowed: bool,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    draining: Vec<ReplicaId>,
    /// When each attempt after a part's first one was sent.
    retries: Vec<f64>,
}

impl InvariantChecker {
    fn check(&mut self, now: f64, action: &Action) -> Result<(), TestCaseError> {
        match action {
            Action::Send { part, replica, .. } => self.check_send(now, *part, *replica),
            Action::Answer { query, complete } => self.check_answer(*query, *complete),
            Action::Reject { query, .. } => self.check_end_without_answer(*query, true),
            Action::Fail { query } => self.check_end_without_answer(*query, false),
            _ => Ok(()),
        }
    }

    fn check_send(&mut self, now: f64, part: PartId, replica: ReplicaId) -> Result<(), TestCaseError> {
        prop_assert!(!self.draining.contains(&replica), "sent to a draining replica");
        let part = self.parts.get_mut(&part).expect("a known part");
        prop_assert!(!self.queries[&part.query].has_ended, "sent a part of an ended query");
        prop_assert!(!part.is_answered(), "sent a part that is already answered");
        let attempts = &mut part.attempts;
        let first_possible_execution =
            attempts.iter().find(|attempt| attempt.may_have_been_executed()).map(|attempt| attempt.sent_at);
        match (self.idempotency, first_possible_execution) {
            (Idempotency::NotIdempotent, Some(_)) => prop_assert!(false, "non-idempotent part retried"),
            (Idempotency::Keyed { window }, Some(at)) => prop_assert!(now <= at + window),
            _ => {}
        }
        prop_assert!(attempts.len() < 3, "too many attempts");
        let all_ended = attempts.iter().all(|attempt| attempt.outcome.is_some());
        prop_assert!(self.hedging_allowed || all_ended, "two attempts in flight without hedging");
        if !attempts.is_empty() {
            self.retries.push(now);
            let in_window = self.retries.iter().filter(|at| **at > now - self.budget.window).count();
            prop_assert!(in_window as f64 <= self.budget.free_attempts, "retry budget exceeded");
        }
        attempts.push(Attempt { sent_at: now, outcome: None });
        Ok(())
    }

    fn check_answer(&mut self, query: QueryId, complete: bool) -> Result<(), TestCaseError> {
        let query = self.queries.get_mut(&query).expect("a known query");
        prop_assert!(!query.has_ended, "answered twice");
        query.has_ended = true;
        let answered = query.parts.iter().filter(|part| self.parts[part].is_answered()).count();
        let coverage = answered as f64 / query.parts.len() as f64;
        let needed = if complete { COMPLETE_COVERAGE } else { MINIMUM_COVERAGE };
        prop_assert!(coverage >= needed - 1e-4, "answer with insufficient coverage {coverage}");
        Ok(())
    }

    fn check_end_without_answer(&mut self, query: QueryId, is_rejected: bool) -> Result<(), TestCaseError> {
        let query = self.queries.get_mut(&query).expect("a known query");
        prop_assert!(!query.has_ended, "ended twice");
        query.has_ended = true;
        let may_have_been_executed = query.parts.iter().any(|part| self.parts[part].may_have_been_executed());
        let may_reject = self.idempotency != Idempotency::NotIdempotent || !may_have_been_executed;
        prop_assert!(may_reject || !is_rejected, "non-idempotent query rejected after a possible execution");
        Ok(())
    }

    fn all_queries_ended(&self) -> bool {
        self.queries.values().all(|query| query.has_ended)
    }
}

/// A balancer that is driven by random steps, with a checker of its actions.
struct Simulation {
    harness: Harness,
    checker: InvariantChecker,
    now: f64,
    next_id: u64,
}

impl Simulation {
    fn new(idempotency: Idempotency, hedging_allowed: bool) -> Self {
        let budget = RetryBudget { free_attempts: 4.0, share: 0.0, window: 2000.0 };
        let class = Class {
            idempotency,
            complete_coverage: COMPLETE_COVERAGE,
            minimum_coverage: MINIMUM_COVERAGE,
            ..class()
        };
        let settings = Settings {
            retry_budget: Some(budget),
            hedging_allowed,
            cells: CELLS,
            clients_mark_retries: false,
            ..with_class(class)
        };
        let mut harness = Harness::new(settings, 11);
        harness.list_replicas(CELLS);
        let checker = InvariantChecker {
            idempotency,
            budget,
            hedging_allowed,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            draining: vec![],
            retries: vec![],
        };
        Simulation { harness, checker, now: 0.0, next_id: 0 }
    }

    fn apply_step(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.now += f64::from(step.elapsed_ms);
        let first_new = self.harness.actions.len();
        match step.kind {
            0..=2 => self.send_query(step.first_choice + 1, step.second_choice),
            3..=8 if !self.harness.in_flight.is_empty() => self.end_attempt(step),
            9 => self
                .change_replica(ReplicaId(step.first_choice % CELLS), step.second_choice.is_multiple_of(2)),
            10 => self.disconnect_client(QueryId(u64::from(step.first_choice))),
            _ => self.harness.handle(self.now, Event::Timer),
        }
        self.check_since(first_new)
    }

    fn check_since(&mut self, first_new: usize) -> Result<(), TestCaseError> {
        for action in &self.harness.actions[first_new..] {
            self.checker.check(self.now, action)?;
        }
        Ok(())
    }

    fn send_query(&mut self, part_count: u32, first_shard: u32) {
        let query = QueryId(self.next_id);
        let first_id = self.next_id + 1;
        let weight = 1.0 / f64::from(part_count);
        let mut specs: Vec<PartSpec> = vec![];
        for i in 0..part_count {
            let part = PartId(first_id + u64::from(i));
            specs.push(PartSpec { part, shard: first_shard + i, weight, cost_hint: None });
            self.checker.parts.insert(part, Part { query, attempts: vec![] });
        }
        self.next_id = first_id + u64::from(part_count);
        let parts = specs.iter().map(|spec| spec.part).collect();
        let deadline = self.now + DEADLINE_MS;
        self.checker.queries.insert(query, Query { deadline, parts, has_ended: false });
        let event = Event::Query {
            query,
            class: 0,
            tenant: None,
            time_left: DEADLINE_MS,
            is_retry: false,
            parts: specs,
        };
        self.harness.handle(self.now, event);
    }

    fn end_attempt(&mut self, step: Step) {
        const OUTCOMES: [Outcome; 6] =
            [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::Timeout, Outcome::Reset];
        let outcome = OUTCOMES[usize::from(step.kind - 3)];
        let in_flight = &self.harness.in_flight;
        let InFlight { part, attempt } = in_flight[step.first_choice as usize % in_flight.len()];
        let attempts = &mut self.checker.parts.get_mut(&part).expect("a known part").attempts;
        attempts[attempt as usize].outcome = Some(outcome);
        self.harness.end_attempt(self.now, part, attempt, outcome, f64::from(step.elapsed_ms));
    }

    fn change_replica(&mut self, replica: ReplicaId, is_draining: bool) {
        self.checker.draining.retain(|other| *other != replica);
        if is_draining {
            self.checker.draining.push(replica);
        }
        let state = if is_draining { ReplicaState::Draining } else { ReplicaState::Up };
        self.harness.update_replica(self.now, ReplicaEntry { state, ..entry(replica.0) });
    }

    fn disconnect_client(&mut self, query: QueryId) {
        if let Some(known) = self.checker.queries.get_mut(&query) {
            known.has_ended = true;
        }
        self.harness.handle(self.now, Event::ClientDisconnected { query });
    }

    /// Advances the time until every query has ended, and checks that each ends soon after its deadline.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        while self.now < 100_000.0 && !self.checker.all_queries_ended() {
            let first_new = self.harness.actions.len();
            self.now += 20.0;
            self.harness.handle(self.now, Event::Timer);
            self.check_since(first_new)?;
            let is_overdue = |query: &Query| !query.has_ended && self.now > query.deadline + 160.0;
            let any_overdue = self.checker.queries.values().any(is_overdue);
            prop_assert!(!any_overdue, "a query was not ended in time");
        }
        Ok(())
    }
}

#[test]
fn invariants_hold_for_any_order_of_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let idempotency = (0u8..3).prop_map(|choice| match choice {
        0 => Idempotency::Idempotent,
        1 => Idempotency::Keyed { window: 300.0 },
        _ => Idempotency::NotIdempotent,
    });
    let step =
        (0u8..12, 0u32..6, 0u32..4, 1u32..160).prop_map(|(kind, first_choice, second_choice, elapsed_ms)| {
            Step { kind, first_choice, second_choice, elapsed_ms }
        });
    let steps = prop::collection::vec(step, 1..220);
    let run_simulation = |(idempotency, hedging_allowed, steps): (Idempotency, bool, Vec<Step>)| {
        let mut simulation = Simulation::new(idempotency, hedging_allowed);
        for step in steps {
            simulation.apply_step(step)?;
        }
        simulation.finish()
    };
    runner.run(&(idempotency, any::<bool>(), steps), run_simulation).expect("all invariants hold");
}
