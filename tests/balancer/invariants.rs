//! Invariants of every decision, checked over random orders of events.

use crate::harness::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sailmux::balancer::*;
use std::collections::BTreeMap;

/// Does this end, if there is one, prove that the attempt never ran?
fn never_ran(end: Option<Outcome>) -> bool {
    matches!(end, Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent))
}

type Attempts = Vec<(f64, Option<Outcome>)>;

type Step = (u8, u32, u32, u32);

/// Checks every action against the rules, whatever the order of events.
struct InvariantChecker {
    effect: Idempotency,
    window: f64,
    free: f64,
    copies: bool,
    queries: BTreeMap<QueryId, (f64, Vec<PartId>, bool)>,
    parts: BTreeMap<PartId, (QueryId, Attempts)>,
    down: Vec<ReplicaId>,
    extras: Vec<f64>,
}

impl InvariantChecker {
    fn check(&mut self, now: f64, action: &Action) -> Result<(), TestCaseError> {
        match action {
            Action::Send { part, replica, .. } => {
                prop_assert!(!self.down.contains(replica), "sent to a drained replica");
                let (query, attempts) = self.parts.get_mut(part).expect("a part that was told");
                prop_assert!(!self.queries[query].2, "sent a part of an ended query");
                prop_assert!(attempts.iter().all(|a| a.1 != Some(Outcome::Ok)), "sent an answered part");
                let ran = attempts.iter().find(|a| !never_ran(a.1)).map(|a| a.0);
                match (self.effect, ran) {
                    (Idempotency::NotIdempotent, Some(_)) => prop_assert!(false, "unsafe part repeated"),
                    (Idempotency::Keyed { window }, Some(at)) => prop_assert!(now <= at + window),
                    _ => {}
                }
                prop_assert!(attempts.len() < 3, "too many attempts");
                prop_assert!(self.copies || attempts.iter().all(|a| a.1.is_some()), "two at once");
                if !attempts.is_empty() {
                    self.extras.push(now);
                    let made = self.extras.iter().filter(|t| **t > now - self.window).count();
                    prop_assert!(made as f64 <= self.free, "over the budget");
                }
                attempts.push((now, None));
            }
            Action::Answer { query, complete: whole } => {
                let (_, parts, ended) = self.queries.get_mut(query).expect("a query that was told");
                prop_assert!(!*ended, "answered twice");
                *ended = true;
                let ok = |p: &&PartId| self.parts[*p].1.iter().any(|a| a.1 == Some(Outcome::Ok));
                let share = parts.iter().filter(ok).count() as f64 / parts.len() as f64;
                prop_assert!(share >= if *whole { 0.8 } else { 0.4 } - 1e-4, "dishonest at {share}");
            }
            Action::Reject { query, .. } | Action::Fail { query } => {
                let (_, parts, ended) = self.queries.get_mut(query).expect("a query that was told");
                prop_assert!(!*ended, "ended twice");
                *ended = true;
                let ran = |p: &PartId| self.parts[p].1.iter().any(|a| !never_ran(a.1));
                let may_refuse = self.effect != Idempotency::NotIdempotent || !parts.iter().any(ran);
                prop_assert!(may_refuse || matches!(action, Action::Fail { .. }), "refused after a run");
            }
            _ => {}
        }
        Ok(())
    }
}

#[test]
fn invariants_hold_for_any_order_of_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let step = (0u8..12, 0u32..6, 0u32..4, 1u32..160);
    let steps = prop::collection::vec(step, 1..220);
    let run = |(effect, copies, steps): (u8, bool, Vec<Step>)| {
        let effect = match effect {
            0 => Idempotency::Idempotent,
            1 => Idempotency::Keyed { window: 300.0 },
            _ => Idempotency::NotIdempotent,
        };
        let budget = RetryBudget { free_attempts: 4.0, share: 0.0, window: 2000.0 };
        let class = Class { idempotency: effect, complete_coverage: 0.8, minimum_coverage: 0.4, ..class() };
        let settings = Settings {
            retry_budget: Some(budget),
            hedging_allowed: copies,
            cells: 5,
            clients_mark_retries: false,
            ..with_class(class)
        };
        let mut harness = Harness::new(settings, 11);
        let mut referee = InvariantChecker {
            effect,
            window: budget.window,
            free: budget.free_attempts,
            copies,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            down: vec![],
            extras: vec![],
        };
        harness.list_replicas(5);
        let mut now = 0.0;
        let mut next = 0;
        for (kind, a, b, dt) in steps {
            now += f64::from(dt);
            let from = harness.actions.len();
            match kind {
                0..=2 => {
                    let n = u64::from(a + 1);
                    let (query, id) = (QueryId(next), next + 1);
                    let specs: Vec<PartSpec> = (0..n)
                        .map(|i| PartSpec {
                            part: PartId(id + i),
                            shard: b + i as u32,
                            weight: 1.0 / n as f64,
                            cost_hint: None,
                        })
                        .collect();
                    next += n + 1;
                    let ids: Vec<PartId> = specs.iter().map(|s| s.part).collect();
                    referee.queries.insert(query, (now + 3000.0, ids.clone(), false));
                    referee.parts.extend(ids.into_iter().map(|p| (p, (query, vec![]))));
                    let time_left = 3000.0;
                    let event = Event::Query {
                        query,
                        class: 0,
                        tenant: None,
                        time_left,
                        is_retry: false,
                        parts: specs,
                    };
                    harness.handle(now, event);
                }
                3..=8 if !harness.in_flight.is_empty() => {
                    let InFlight { part, attempt } = harness.in_flight[a as usize % harness.in_flight.len()];
                    let outcome = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Error,
                        Outcome::Rejected,
                        Outcome::Timeout,
                        Outcome::Reset,
                    ][usize::from(kind - 3)];
                    referee.parts.get_mut(&part).expect("sent").1[attempt as usize].1 = Some(outcome);
                    harness.end_attempt(now, part, attempt, outcome, f64::from(dt));
                }
                9 => {
                    let replica = ReplicaId(a % 5);
                    let state = if b % 2 == 0 { ReplicaState::Draining } else { ReplicaState::Up };
                    referee.down.retain(|r| *r != replica);
                    if state != ReplicaState::Up {
                        referee.down.push(replica);
                    }
                    harness.update_replica(now, ReplicaEntry { state, ..entry(replica.0) });
                }
                10 => {
                    let query = QueryId(u64::from(a));
                    if let Some(q) = referee.queries.get_mut(&query) {
                        q.2 = true;
                    }
                    harness.handle(now, Event::ClientDisconnected { query });
                }
                _ => harness.handle(now, Event::Timer),
            }
            for action in &harness.actions[from..] {
                referee.check(now, action)?;
            }
        }
        while now < 100_000.0 && referee.queries.values().any(|q| !q.2) {
            let from = harness.actions.len();
            now += 20.0;
            harness.handle(now, Event::Timer);
            for action in &harness.actions[from..] {
                referee.check(now, action)?;
            }
            let lost = referee.queries.values().any(|q| !q.2 && now > q.0 + 160.0);
            prop_assert!(!lost, "a query has no final answer in time");
        }
        Ok(())
    };
    runner.run(&(0u8..3, any::<bool>(), steps), run).expect("all rules hold");
}
