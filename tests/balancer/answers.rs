//! Complete and partial answers, and queries of two steps.

use crate::harness::*;
use sailmux::balancer::*;

#[test]
fn every_query_ends_once_before_its_deadline() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    let (query, _) = harness.query(1.0, &[0, 1, 2]);
    harness.run_timer(1.0, 2990.0);
    let final_answers =
        harness.actions.iter().filter(|a| matches!(a, Action::Reject { query: q, .. } if *q == query));
    assert_eq!(final_answers.count(), 1, "one final answer before the client gives up");
}

#[test]
fn a_query_is_answered_when_its_last_part_is_answered() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    let (query, parts) = harness.query(1.0, &[0, 1]);
    harness.end_attempt(100.0, parts[0], 0, Outcome::Ok, 99.0);
    assert!(!harness.has_action(&Action::Answer { query, complete: true }));
    harness.end_attempt(101.0, parts[1], 0, Outcome::Ok, 100.0);
    assert!(harness.has_action(&Action::Answer { query, complete: true }));
}

#[test]
fn a_partial_answer_is_never_marked_complete() {
    let partial = Class { complete_coverage: 1.0, minimum_coverage: 0.5, ..class() };
    let mut harness = Harness::new(with_class(partial), 1);
    harness.list_replicas(3);
    let (query, parts) = harness.query(1.0, &[0, 1]);
    harness.end_attempt(100.0, parts[0], 0, Outcome::Ok, 99.0);
    harness.run_timer(100.0, 1600.0);
    assert!(harness.has_action(&Action::Answer { query, complete: false }));
    assert!(!harness.has_action(&Action::Answer { query, complete: true }));
}

/// A shard without replicas does not end a query that can be answered from its other parts.
#[test]
fn a_query_for_a_shard_without_replicas_gets_a_partial_answer() {
    let partial = Class { minimum_coverage: 0.5, partial_value_factor: 0.8, ..class() };
    let mut harness = Harness::new(Settings { width: 1, ..with_class(partial) }, 1);
    harness.list_replicas(2);
    for i in 0..40 {
        let now = 100.0 * f64::from(i);
        harness.query(now, &[0, 1]);
        harness.answer_all_except(now + 50.0, 50.0, &[]);
    }
    let (query, _) = harness.query(4000.0, &[0, 1, 2]);
    assert!(!harness.ended_unanswered(query), "two of three parts suffice for a partial answer");
    harness.answer_all_except(4050.0, 50.0, &[]);
    harness.run_timer(4050.0, 5600.0);
    assert!(harness.has_action(&Action::Answer { query, complete: false }));
}

/// The first answer starts the second step. The answer of the second step is complete only if both steps are.
#[test]
fn a_second_step_is_sent_and_answered() {
    let mut harness = Harness::new(
        with_class(Class { second_step_parts: 1, complete_coverage: 0.5, minimum_coverage: 0.5, ..class() }),
        1,
    );
    harness.list_replicas(3);
    let (query, parts) = harness.query(1.0, &[0, 1]);
    let first = harness.in_flight[0];
    harness.end_attempt(50.0, first.part, first.attempt, Outcome::Ok, 49.0);
    assert!(harness.has_action(&Action::Answer { query, complete: true }));
    harness.actions.clear();
    let part = PartId(parts[1].0 + 50);
    let specs = vec![only_part(part)];
    harness.handle(55.0, Event::SecondStep { query, parts: specs });
    assert!(harness.sends.iter().any(|sent| sent.part == part));
    harness.end_attempt(100.0, part, 0, Outcome::Ok, 45.0);
    assert!(harness.has_action(&Action::Answer { query, complete: true }));
    harness.run_timer(100.0, 3000.0);
    assert!(!harness.is_rejected(query), "the query has ended with its second answer");
}

/// The first partial answer is given early enough for the second step to be answered before the latency objective.
#[test]
fn an_early_partial_answer_leaves_time_for_the_second_step() {
    let partial = Class { minimum_coverage: 0.5, partial_value_factor: 0.8, second_step_parts: 1, ..class() };
    let mut harness =
        Harness::new(Settings { cells: 9, width: 1, hedging_allowed: false, ..with_class(partial) }, 1);
    harness.list_replicas(9);
    let (query, parts) = harness.query(0.0, &[0, 1, 2]);
    harness.answer_all_except(50.0, 50.0, &[2]);
    harness.run_timer(50.0, 1400.0);
    assert!(
        harness.has_action(&Action::Answer { query, complete: false }),
        "the first step is answered 100 ms before the latency objective"
    );
    let part = PartId(parts[2].0 + 50);
    let specs = vec![only_part(part)];
    harness.actions.clear();
    harness.handle(1400.0, Event::SecondStep { query, parts: specs });
    harness.end_attempt(1450.0, part, 0, Outcome::Ok, 50.0);
    assert!(harness.has_action(&Action::Answer { query, complete: false }));
}
