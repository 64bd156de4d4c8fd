//! Retries and hedged requests: which parts are sent again, when, and within which budget.

use crate::harness::*;
use sailmux::balancer::*;
use std::collections::BTreeSet;

#[test]
fn non_idempotent_parts_are_retried_only_if_never_executed() {
    for (outcome, is_retried) in [
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
    ] {
        let mut harness =
            Harness::new(with_class(Class { idempotency: Idempotency::NotIdempotent, ..class() }), 1);
        harness.list_replicas(3);
        let (query, parts) = harness.query(1.0, &[0]);
        harness.end_attempt(10.0, parts[0], 0, outcome, 9.0);
        assert_eq!(harness.sends.len(), if is_retried { 2 } else { 1 }, "{outcome:?}");
        assert_eq!(
            harness.has_action(&Action::Fail { query }),
            !is_retried,
            "{outcome:?}: no rejection after a possible execution"
        );
        harness.run_timer(10.0, 1400.0);
        assert_eq!(
            harness.sends.len(),
            if is_retried { 2 } else { 1 },
            "no hedged request for a non-idempotent part"
        );
    }
}

#[test]
fn keyed_parts_are_not_retried_after_the_idempotency_window() {
    let keyed = Class { idempotency: Idempotency::Keyed { window: 100.0 }, ..class() };
    let mut harness = Harness::new(with_class(keyed), 1);
    harness.list_replicas(3);
    let (_, parts) = harness.query(1.0, &[0]);
    harness.end_attempt(50.0, parts[0], 0, Outcome::Error, 49.0);
    assert_eq!(harness.sends.len(), 2, "the replica drops duplicates within the window");
    let mut harness = Harness::new(with_class(keyed), 1);
    harness.list_replicas(3);
    let (query, parts) = harness.query(1.0, &[0]);
    harness.end_attempt(120.0, parts[0], 0, Outcome::Error, 119.0);
    assert_eq!(harness.sends.len(), 1);
    assert!(harness.has_action(&Action::Fail { query }));
}

/// A part that was never executed is retried even if the adaptive budget is used up.
#[test]
fn parts_that_were_never_executed_are_retried_beyond_the_adaptive_budget() {
    let mut harness = Harness::new(Settings { cells: 60, ..settings() }, 1);
    harness.list_replicas(60);
    let (_, parts) = harness.query(1.0, &(0..20).map(|i| i % 3).collect::<Vec<_>>());
    for part in &parts {
        harness.end_attempt(5.0, *part, 0, Outcome::Rejected, 4.0);
    }
    assert!(harness.sends.len() >= 40, "{} sends", harness.sends.len());
}

/// A part does not use up its attempts at one overloaded replica while another is warming up.
#[test]
fn one_overloaded_replica_does_not_use_up_all_attempts() {
    let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, 7);
    harness.list_replicas(2);
    for i in 0..100 {
        harness.query(50.0 * f64::from(i), &[0]);
        harness.answer_all_except(50.0 * f64::from(i) + 40.0, 40.0, &[]);
    }
    harness.update_replica(5000.0, ReplicaEntry { started_at: Some(5000.0), ..entry(0) });
    let (_, parts) = harness.query(5000.5, &[0]);
    let sends = |harness: &Harness| harness.sends.iter().filter(|sent| sent.part == parts[0]).count() as u32;
    for i in 0..3 {
        let at = 5001.0 + f64::from(i);
        if harness.in_flight.contains(&InFlight { part: parts[0], attempt: sends(&harness) - 1 }) {
            harness.end_attempt(at, parts[0], sends(&harness) - 1, Outcome::Rejected, 0.5);
        }
    }
    assert!(sends(&harness) < 3, "{} attempts in 3 ms", sends(&harness));
}

/// A slow attempt is not cancelled early: cancelled work has to be repeated, which makes all replicas slower.
#[test]
fn an_attempt_times_out_after_six_tail_latencies() {
    let short = Class { latency_objective: 600.0, deadline: 600.0, ..class() };
    let mut harness = Harness::new(Settings { hedging_allowed: false, ..with_class(short) }, 5);
    harness.list_replicas(3);
    harness.warm_up(20_000.0, 50.0);
    harness.run_timer(20_000.0, 20_020.0);
    let from = harness.actions.len();
    harness.query_one_shard(20_020.0, 0);
    let timeout = harness.actions[from..].iter().find_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert!(timeout.is_some_and(|t| (290.0..310.0).contains(&t)), "{timeout:?}");
}

/// A query to most replicas sends one part first. If that part and another one crash their replicas, no more parts are
/// sent.
#[test]
fn a_wide_query_sends_one_part_first() {
    let mut harness = Harness::new(Settings { cells: 6, ..settings() }, 1);
    harness.list_replicas(6);
    let (_, parts) = harness.query(1.0, &[0, 1, 2, 3, 4]);
    assert_eq!(harness.sends.len(), 1, "one part is sent first");
    let first = harness.sends[0].part;
    harness.end_attempt(100.0, first, 0, Outcome::Ok, 99.0);
    assert_eq!(harness.sends.len(), parts.len(), "the other parts are sent after the first answer");
    let (crashing, _) = harness.query(200.0, &[0, 1, 2, 3, 4]);
    for at in [220.0, 240.0, 260.0, 280.0] {
        for InFlight { part, attempt } in
            harness.in_flight.clone().into_iter().filter(|sent| sent.part > PartId(crashing.0))
        {
            harness.end_attempt(at, part, attempt, Outcome::Reset, 10.0);
        }
    }
    let crashed = harness.sends[5..].len();
    assert!(crashed <= 4, "{crashed} replicas crashed by one query");
}

/// A late part causes no hedged request while the latency objective is far away.
#[test]
fn no_hedged_request_while_the_latency_objective_is_far() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    harness.warm_up(3000.0, 50.0);
    let sent = harness.sends.len();
    harness.query(3000.0, &[0]);
    harness.run_timer(3000.0, 3400.0);
    assert_eq!(
        harness.sends.len(),
        sent + 1,
        "in flight for eight median latencies, with over a second left"
    );
    harness.run_timer(3400.0, 4450.0);
    assert!(harness.sends.len() > sent + 1, "a hedged request is sent before the latency objective");
}

/// If all other replicas are slow as well, a late part is not hedged: the shard is overloaded, not just one replica.
#[test]
fn no_hedged_request_where_all_replicas_are_slow() {
    let run = |slow: &[u32]| {
        let mut harness = Harness::new(Settings { cells: 6, ..settings() }, 3);
        harness.list_replicas(6);
        for i in 0..120 {
            let now = 100.0 * f64::from(i);
            harness.query(now, &[0, 3, 3, 3, 3]);
            harness.answer_all_except(now + 50.0, 50.0, slow);
            harness.answer_all_except(now + 60.0, 1000.0, &[3, 4, 5]);
        }
        harness.run_timer(12_000.0, 12_100.0);
        let sent = harness.sends.len();
        harness.query(12_100.0, &[0]);
        harness.run_timer(12_100.0, 13_550.0);
        harness.sends.len() - sent
    };
    assert!(run(&[]) > 1, "late part of a shard with fast replicas: hedged");
    assert!(run(&[0, 1, 2]) <= 1, "late part of a shard with three slow replicas: not hedged");
}

/// Settings with a retry budget of this many attempts per minute.
fn with_retry_budget(free_attempts: f64) -> Settings {
    Settings { retry_budget: Some(RetryBudget { free_attempts, share: 0.0, window: 60_000.0 }), ..settings() }
}

#[test]
fn the_configured_budget_bounds_retries() {
    let mut harness = Harness::new(with_retry_budget(2.0), 1);
    harness.list_replicas(3);
    for i in 0..20 {
        let now = 1.0 + 50.0 * f64::from(i);
        let (_, parts) = harness.query(now, &[0]);
        harness.end_attempt(now + 1.0, parts[0], 0, Outcome::Error, 1.0);
    }
    harness.run_timer(1001.0, 3000.0);
    let distinct_parts: BTreeSet<PartId> = harness.sends.iter().map(|sent| sent.part).collect();
    assert_eq!(harness.sends.len() - distinct_parts.len(), 2);
}

/// If the configured budget is used up, a query with a failed part is rejected at once. Its Retry-After leaves enough
/// time for a client retry to meet the latency objective.
#[test]
fn a_failed_part_beyond_the_retry_budget_rejects_its_query_at_once() {
    let mut harness = Harness::new(with_retry_budget(0.0), 1);
    harness.list_replicas(3);
    let (query, parts) = harness.query(1.0, &[0]);
    harness.end_attempt(10.0, parts[0], 0, Outcome::Reset, 9.0);
    let retry_after = harness.actions.iter().find_map(|a| match a {
        Action::Reject { query: q, retry_after, .. } if *q == query => Some(*retry_after),
        _ => None,
    });
    let wait = retry_after.expect("rejected at once").expect("with a Retry-After");
    assert!(wait < 500.0, "Retry-After of {wait} ms is the maximum, too late for a client retry");
}

/// Hedged requests use at most half of the configured budget; the rest is reserved for retries of failed parts.
#[test]
fn hedged_requests_leave_half_of_the_retry_budget_to_retries() {
    let mut harness = Harness::new(with_retry_budget(4.0), 2);
    harness.list_replicas(3);
    for i in 0..60 {
        let now = 100.0 * f64::from(i);
        harness.query(now, &[0, 1, 2]);
        harness.answer_all_except(now + 50.0, 50.0, &[]);
    }
    let sent = harness.sends.len();
    harness.query(6000.0, &[0; 18]);
    harness.answer_all_except(6050.0, 50.0, &[0]);
    let late = harness.in_flight.len();
    assert!(late > 4, "{late} parts are in flight at the unresponsive replica");
    for i in 0..70 {
        harness.run_timer(6050.0 + 20.0 * f64::from(i), 6070.0 + 20.0 * f64::from(i));
        harness.answer_all_except(6070.0 + 20.0 * f64::from(i), 20.0, &[0]);
    }
    assert_eq!(
        harness.sends.len() - sent,
        18 + 2,
        "first attempts and two hedged requests of a budget of four"
    );
    let (_, parts) = harness.query(7450.0, &[0]);
    let before = harness.sends.len();
    harness.end_attempt(7460.0, parts[0], 0, Outcome::Rejected, 10.0);
    assert_eq!(harness.sends.len(), before + 1, "a failed part is still retried");
}
