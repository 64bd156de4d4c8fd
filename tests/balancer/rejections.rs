//! The reasons with which queries are rejected.

use crate::harness::*;
use sailmux::balancer::*;

/// The reason with which a query was rejected.
fn reject_reason(harness: &Harness, query: QueryId) -> Option<RejectReason> {
    harness.actions.iter().find_map(|action| match action {
        Action::Reject { query: rejected, reason, .. } if *rejected == query => Some(*reason),
        _ => None,
    })
}

#[test]
fn a_client_retry_past_its_latency_objective_is_too_late() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    let query = QueryId(900);
    for i in 0..20 {
        harness.query(f64::from(i) / 100.0, &[0]);
    }
    let parts = vec![only_part(PartId(901))];
    harness.handle(
        2.0,
        Event::Query { query, class: 0, tenant: None, time_left: 1400.0, is_retry: true, parts },
    );
    assert_eq!(reject_reason(&harness, query), Some(RejectReason::TooLate));
}

#[test]
fn a_query_over_the_in_flight_limit_gets_that_reason() {
    let mut harness = Harness::new(Settings { max_in_flight: 4, ..settings() }, 1);
    harness.list_replicas(3);
    harness.query(0.0, &[0]);
    harness.query(0.0, &[0]);
    let (query, _) = harness.query(0.0, &[0]);
    assert_eq!(reject_reason(&harness, query), Some(RejectReason::InFlightLimit));
}

#[test]
fn a_query_for_a_shard_without_holders_has_a_low_chance() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    harness.handle(1.0, Event::EndpointList { complete: true, entries: vec![] });
    let (query, _) = harness.query(2.0, &[0]);
    assert_eq!(reject_reason(&harness, query), Some(RejectReason::LowChance));
}

#[test]
fn a_failed_part_over_the_retry_budget_gives_that_reason() {
    let no_retries = RetryBudget { free_attempts: 0.0, share: 0.0, window: 10_000.0 };
    let mut harness = Harness::new(Settings { retry_budget: Some(no_retries), ..settings() }, 1);
    harness.list_replicas(3);
    let (query, parts) = harness.query(1.0, &[0]);
    harness.end_attempt(10.0, parts[0], 0, Outcome::Reset, 9.0);
    assert_eq!(reject_reason(&harness, query), Some(RejectReason::RetryBudget));
}

#[test]
fn a_query_without_attempts_left_gives_lost_parts_as_the_reason() {
    let mut harness = Harness::new(Settings { max_attempts: 1, ..settings() }, 1);
    harness.list_replicas(3);
    let (query, parts) = harness.query(1.0, &[0]);
    harness.end_attempt(10.0, parts[0], 0, Outcome::Error, 9.0);
    assert_eq!(reject_reason(&harness, query), Some(RejectReason::PartsLost));
}

#[test]
fn a_query_unanswered_at_its_deadline_gets_that_reason() {
    let mut harness = Harness::new(Settings { hedging_allowed: false, ..settings() }, 1);
    harness.list_replicas(3);
    let (query, _) = harness.query(1.0, &[0]);
    harness.run_timer(1.0, 3200.0);
    assert_eq!(reject_reason(&harness, query), Some(RejectReason::DeadlineReached));
}

/// During a shutdown, a query that arrives in time is answered by the limit, and one that arrives later is rejected at once
/// and sends nothing. A client's time that the limit cuts short is not taken for that of a retry.
#[test]
fn an_answer_limit_ends_queries_by_then_and_rejects_later_ones() {
    let mut harness = Harness::new(Settings { hedging_allowed: false, ..settings() }, 1);
    harness.list_replicas(3);
    harness.balancer.limit_answers_to(1000.0);
    let (early, _) = harness.query(100.0, &[0]);
    assert!(!harness.is_rejected(early), "there is time for it");
    harness.run_timer(100.0, 1000.0);
    assert_eq!(reject_reason(&harness, early), Some(RejectReason::DeadlineReached));
    let sent = harness.sends.len();
    let (late, _) = harness.query(1000.0, &[0]);
    assert_eq!(reject_reason(&harness, late), Some(RejectReason::DeadlineReached));
    assert_eq!(harness.sends.len(), sent);
}
