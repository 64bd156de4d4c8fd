//! Outlier detection: replicas that fail or do not respond receive fewer parts, and healthy ones are not ejected.

use crate::harness::*;
use sailmux::balancer::*;

/// A replica that keeps answering is not ejected because one part sent to it is never answered.
#[test]
fn one_unanswered_part_does_not_eject_an_answering_replica() {
    let mut harness = Harness::new(Settings { cells: 1, width: 1, ..settings() }, 1);
    harness.list_replicas(1);
    harness.warm_up(3000.0, 50.0);
    harness.query(3000.0, &[0]);
    let unanswered = harness.in_flight[0];
    for i in 0..20 {
        let now = 3000.0 + 50.0 * f64::from(i);
        let (_, parts) = harness.query(now, &[0]);
        harness.end_attempt(now + 49.0, parts[0], 0, Outcome::Ok, 49.0);
    }
    assert!(harness.in_flight.contains(&unanswered), "the unanswered part is still in flight");
    assert!(!harness.any_replica_ejected());
}

/// Later parts avoid a replica that does not respond.
#[test]
fn an_unresponsive_replica_is_no_longer_selected() {
    let mut harness = Harness::new(settings(), 2);
    harness.list_replicas(3);
    harness.warm_up(3000.0, 50.0);
    let mut late_selections = 0;
    for i in 0..60 {
        let now = 3000.0 + 50.0 * f64::from(i);
        let (_, replica) = harness.query_one_shard(now, 0);
        late_selections += u32::from(i >= 20 && replica == ReplicaId(0));
        for InFlight { part, attempt } in harness.in_flight.clone() {
            if harness.replica_of(part, attempt) != ReplicaId(0) {
                harness.end_attempt(now + 49.0, part, attempt, Outcome::Ok, 49.0);
            }
        }
    }
    assert!(
        late_selections <= 3,
        "{late_selections} of 40 parts were still sent to the unresponsive replica"
    );
}

/// Guards against a replica that hangs, but appears idle and fast again each time a client disconnects: no single
/// attempt waits long enough to show that the replica does not respond.
#[test]
fn an_unresponsive_replica_is_ejected_even_if_its_attempts_are_cancelled_early() {
    let mut harness = Harness::new(settings(), 2);
    harness.list_replicas(3);
    harness.warm_up(3000.0, 50.0);
    let mut sent_at = std::collections::HashMap::new();
    let mut late_selections = 0;
    for i in 0..60 {
        let now = 3000.0 + 50.0 * f64::from(i);
        // The healthy replicas have queues, so that an idle one has a lower cost.
        for _ in 0..6 {
            let (part, replica) = harness.query_one_shard(now, 0);
            sent_at.insert(part, now);
            late_selections += u32::from(i >= 20 && replica == ReplicaId(0));
        }
        let end = now + 49.0;
        for InFlight { part, attempt } in harness.in_flight.clone() {
            let waited = sent_at.get(&part).map_or(0.0, |sent_at| end - sent_at);
            if harness.replica_of(part, attempt) != ReplicaId(0) {
                harness.end_attempt(end, part, attempt, Outcome::Ok, 49.0);
            } else if waited >= 100.0 {
                harness.end_attempt(end, part, attempt, Outcome::Cancelled, waited);
            }
        }
    }
    assert!(
        late_selections <= 4,
        "{late_selections} of 240 parts were still sent to the unresponsive replica"
    );
}

/// After one refused connection or error, other replicas are preferred.
#[test]
fn one_failed_attempt_makes_other_replicas_preferred() {
    for (seed, outcome) in (0..40).flat_map(|s| [(s, Outcome::ConnectFailed), (s, Outcome::Error)]) {
        let mut harness = Harness::new(settings(), seed);
        harness.list_replicas(3);
        let (part, failed) = harness.query_one_shard(1.0, 0);
        harness.end_attempt(101.0, part, 0, outcome, 100.0);
        // The other two replicas accumulate load, and the failed one is still not selected.
        for _ in 0..6 {
            assert_ne!(harness.select_replica(102.0, 0), failed, "seed {seed}, {outcome:?}");
        }
    }
}

/// A replica that fails immediately has no parts in flight, but must not be preferred: its recent failures still
/// count.
#[test]
fn a_replica_that_fails_immediately_is_rarely_selected() {
    let mut harness = Harness::new(settings(), 3);
    harness.list_replicas(3);
    let mut sent_to_failing = 0;
    for i in 0..200u32 {
        let now = 1.0 + 10.0 * f64::from(i);
        let (part, replica) = harness.query_one_shard(now, 0);
        if replica == ReplicaId(0) {
            sent_to_failing += 1;
            harness.end_attempt(now + 1.0, part, 0, Outcome::Error, 1.0);
            harness.actions.clear();
        }
        let answered = harness.in_flight.clone();
        for InFlight { part, attempt } in answered {
            harness.end_attempt(now + 2.0, part, attempt, Outcome::Ok, 200.0);
        }
    }
    assert!(sent_to_failing < 20, "{sent_to_failing} of 200 parts were sent to the failing replica");
}

/// A replica that fails immediately loses to idle replicas but wins over loaded ones, since it may answer some parts.
#[test]
fn a_replica_that_fails_immediately_loses_to_idle_and_wins_over_loaded_ones() {
    let mut harness = Harness::new(Settings { hedging_allowed: false, ..settings() }, 5);
    harness.list_replicas(3);
    let failing = ReplicaId(0);
    let mut sent_to_failing = 0;
    for i in 0..120 {
        let now = 30.0 * f64::from(i);
        let (_, parts) = harness.query(now, &[0]);
        // The failing replica returns errors immediately. The others do not answer for now, and the failed part is
        // retried at one of them.
        while harness
            .in_flight
            .iter()
            .any(|sent| sent.part == parts[0] && harness.replica_of(sent.part, sent.attempt) == failing)
        {
            sent_to_failing += 1;
            let attempt = harness.sends.iter().filter(|sent| sent.part == parts[0]).count() as u32 - 1;
            harness.end_attempt(now + 1.0, parts[0], attempt, Outcome::Error, 1.0);
        }
        assert!(
            harness.in_flight.iter().any(|sent| sent.part == parts[0]),
            "part {i} is not in flight after its error"
        );
        if i % 8 == 7 {
            harness.end_all(now + 2.0, Outcome::Ok, 100.0);
        }
    }
    assert!(
        (20..80).contains(&sent_to_failing),
        "{sent_to_failing} of 120 parts were sent to the failing replica"
    );
}

/// An aggregator that stalled for a second does not count the stall against the replicas.
#[test]
fn a_stall_of_the_aggregator_ejects_no_replica() {
    let mut harness = Harness::new(Settings { cells: 6, ..settings() }, 1);
    harness.list_replicas(6);
    for i in 0..60 {
        let now = 20.0 * f64::from(i);
        harness.query(now, &[0, 3]);
        harness.answer_all_except(now + 15.0, 15.0, &[]);
    }
    harness.query(1200.0, &[0, 3]);
    let sent = harness.sends.len();
    harness.actions.clear();
    harness.handle(2350.0, Event::Timer);
    assert_eq!(harness.sends.len(), sent, "no hedged requests: the answers arrive right after the stall");
    harness.answer_all_except(2350.0, 1150.0, &[]);
    harness.handle(2370.0, Event::Timer);
    assert!(!harness.any_replica_ejected());
}

/// While all replicas refuse connections, parts wait; the first replica that returns receives no burst.
#[test]
fn replicas_that_all_refuse_connections_are_tried_one_part_at_a_time() {
    let mut harness = Harness::new(settings(), 4);
    harness.list_replicas(3);
    harness.warm_up(5000.0, 50.0);
    for i in 0..40 {
        let now = 5000.0 + 10.0 * f64::from(i);
        harness.query(now, &[0]);
        harness.end_all(now + 5.0, Outcome::ConnectFailed, 5.0);
    }
    harness.in_flight.clear();
    let from = harness.sends.len();
    for _ in 0..30 {
        harness.query(5500.0, &[0]);
    }
    assert!(harness.sends.len() - from <= 3, "{} parts sent at once", harness.sends.len() - from);
}
