//! Health checks: when replicas are checked before a part is sent, and how the results are used.

use crate::harness::*;
use sailmux::balancer::*;

/// Health checks that cost more than a better selection saves are never sent, however many attempts fail. Cheap ones
/// are sent.
#[test]
fn health_checks_that_cost_more_than_they_save_are_not_sent() {
    for (cost, expected) in [(0.01, true), (0.08, false)] {
        let mut sent = 0;
        for seed in 0..20 {
            let mut harness = Harness::new(Settings { health_check_cost: cost, ..settings() }, seed);
            harness.list_replicas(3);
            for i in 0..20u32 {
                let now = 1.0 + 50.0 * f64::from(i);
                let (part, _) = harness.query_one_shard(now, 0);
                harness.end_attempt(now + 40.0, part, 0, Outcome::Error, 40.0);
            }
            sent += harness.health_checks.len();
        }
        assert_eq!(sent > 0, expected, "{sent} health checks at a cost of {cost}");
    }
}

/// If load reports come with health checks and attempts fail, both sampled replicas are checked before the part is
/// sent.
#[test]
fn sampled_replicas_are_checked_before_a_part_is_sent() {
    let mut harness = Harness::new(settings(), 3);
    harness.list_replicas(3);
    for i in 0..40 {
        harness.query(50.0 * f64::from(i), &[0]);
        harness.end_all(50.0 * f64::from(i) + 40.0, Outcome::Error, 40.0);
    }
    harness.run_timer(2000.0, 40_000.0);
    harness.unresponsive = vec![ReplicaId(0), ReplicaId(1), ReplicaId(2)];
    let sent = harness.sends.len();
    let checked = harness.health_checks.len();
    harness.query(40_000.0, &[0]);
    assert_eq!(
        (harness.sends.len(), harness.health_checks.len()),
        (sent, checked + 2),
        "two health checks, no part yet"
    );
    harness.report_queue(40_002.0, harness.health_checks[checked].0, 0.0);
    harness.report_queue(40_003.0, harness.health_checks[checked + 1].0, 9.0);
    assert_eq!(
        harness.sends[sent].replica, harness.health_checks[checked],
        "sent to the less loaded replica as soon as both have reported"
    );
}

/// An unanswered health check delays a part only for a limited time, and counts against its replica.
#[test]
fn an_unanswered_health_check_delays_a_part_only_briefly() {
    let mut answered = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, seed);
        harness.list_replicas(2);
        harness.warm_up(20_000.0, 1000.0); // So slow that replicas are checked for every query.
        harness.run_timer(21_000.0, 40_000.0);
        harness.unresponsive = vec![ReplicaId(0)];
        let sent = harness.sends.len();
        harness.query(40_000.0, &[0]);
        harness.run_timer(40_000.0, 40_300.0);
        assert_eq!(harness.sends.len(), sent + 1);
        answered += u32::from(harness.sends[sent].replica == ReplicaId(1));
    }
    assert_eq!(
        answered, 20,
        "{answered} of 20 parts were sent to the replica that answered its health check"
    );
}

/// A replica that reports a shorter queue than its actual one is detected by the duration of its health check, which
/// had to wait in the queue.
#[test]
fn a_slow_health_check_outweighs_a_low_load_report() {
    for seed in 0..40 {
        let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, seed);
        harness.list_replicas(2);
        let ended = |elapsed: f64, queue: f64, id: u32| Event::HealthCheckEnded {
            replica: ReplicaId(id),
            outcome: Outcome::Ok,
            elapsed,
            report: Some(LoadReport { queue: Some(queue), ..LoadReport::default() }),
        };
        (0..10).for_each(|_| harness.handle(1.0, ended(1.0, 1.0, 1)));
        harness.run_timer(1.0, 50.0);
        harness.handle(60.0, ended(1000.0, 0.0, 0));
        harness.handle(60.0, ended(1.0, 1.0, 1));
        assert_eq!(harness.select_replica(61.0, 0), ReplicaId(1));
    }
}

/// If health checks show that a part's replicas cannot serve it in time, its query ends before the part is sent. Each
/// seed needs a new balancer: latency samples expire within seconds, and one false report lowers the weight of all
/// reports.
#[test]
fn a_query_is_rejected_unsent_when_health_checks_show_its_replicas_too_slow() {
    let mut with_checks = 0;
    let mut rejected = 0;
    for seed in 0..60 {
        let mut harness = Harness::new(Settings { cells: 5, width: 1, ..settings() }, seed);
        harness.list_replicas(5);
        for i in 0..60 {
            harness.query(50.0 * f64::from(i), &[0, 1]);
            let outcome = if i % 2 == 0 { Outcome::Ok } else { Outcome::Error };
            harness.end_all(50.0 * f64::from(i) + 40.0, outcome, 40.0);
        }
        harness.run_timer(3000.0, 40_000.0);
        warm_up_from(&mut harness, 40_000.0);
        harness.unresponsive = vec![ReplicaId(0), ReplicaId(1)];
        let sent = harness.sends.len();
        let checked = harness.health_checks.len();
        let (query, _) = harness.query(60_000.0, &[0]);
        if harness.health_checks.len() == checked {
            continue;
        }
        with_checks += 1;
        assert!(!harness.is_rejected(query), "the health check is still in flight");
        harness.report_queue(60_002.0, 0, 5000.0);
        rejected += u32::from(harness.is_rejected(query) && harness.sends.len() == sent);
    }
    assert!(with_checks > 0, "some queries cause health checks");
    assert_eq!(rejected, with_checks, "number of rejected queries, of those with health checks");
}

/// Sends and answers queries with low latency, so that the chance of a query is established.
fn warm_up_from(harness: &mut Harness, from: f64) {
    for i in 0..100 {
        harness.query(from + 50.0 * f64::from(i), &[0, 1]);
        harness.end_all(from + 50.0 * f64::from(i) + 40.0, Outcome::Ok, 40.0);
    }
}

/// Guards against sending a part for a client that has disconnected while its query awaits health checks.
#[test]
fn a_query_whose_client_disconnects_while_it_awaits_health_checks_sends_nothing() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    harness.unresponsive = (0..3).map(ReplicaId).collect();
    let is_sent =
        |harness: &Harness, parts: &[PartId]| harness.sends.iter().any(|sent| sent.part == parts[0]);
    let mut waiting = harness.query(1.0, &[0]);
    while is_sent(&harness, &waiting.1) {
        assert!(harness.sends.len() < 100, "no query awaits a health check");
        waiting = harness.query(1.0, &[0]);
    }
    let (query, parts) = waiting;
    harness.handle(2.0, Event::ClientDisconnected { query });
    for replica in harness.health_checks.clone() {
        harness.handle(
            3.0,
            Event::HealthCheckEnded { replica, outcome: Outcome::Ok, elapsed: 2.0, report: None },
        );
    }
    harness.run_timer(3.0, 500.0);
    assert!(!is_sent(&harness, &parts));
}
