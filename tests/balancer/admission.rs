//! Admission control and load shedding: which queries are rejected on arrival or ended early.

use crate::harness::*;
use sailmux::balancer::*;

/// A marked client retry whose latency objective has passed has no value and is not forwarded.
#[test]
fn a_client_retry_past_its_latency_objective_is_rejected() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    for i in 0..20 {
        harness.query(f64::from(i) / 100.0, &[0]);
    }
    let sent = harness.sends.len();
    let query = QueryId(900);
    let parts = vec![only_part(PartId(901))];
    harness.handle(
        2.0,
        Event::Query { query, class: 0, tenant: None, time_left: 1400.0, is_retry: true, parts },
    );
    assert_eq!(harness.sends.len(), sent);
    assert!(harness.is_rejected(query));
}

/// First tries of clients with shorter deadlines than others are not treated as client retries.
#[test]
fn common_deadlines_are_not_treated_as_client_retries() {
    let mut harness = Harness::new(Settings { clients_mark_retries: false, ..settings() }, 1);
    harness.list_replicas(3);
    for i in 0..60u64 {
        let now = 10.0 * i as f64;
        let (query, part) = harness.query_with_deadline(now, i, if i % 3 == 0 { 2990.0 } else { 1400.0 });
        harness.end_attempt(now + 5.0, part, 0, Outcome::Ok, 50.0);
        assert!(i < 8 || !harness.is_rejected(query));
    }
}

/// A query with an uncommon deadline, which may be a client retry, is served if there is spare capacity.
#[test]
fn queries_with_uncommon_deadlines_are_served_with_spare_capacity() {
    let mut harness = Harness::new(Settings { clients_mark_retries: false, ..settings() }, 1);
    harness.list_replicas(3);
    harness.warm_up(3000.0, 50.0);
    for i in 0..30u64 {
        let now = 3000.0 + 100.0 * i as f64;
        let (query, _) = harness.query_with_deadline(now, i, 400.0 + 17.0 * i as f64);
        assert!(!harness.is_rejected(query), "query {i}");
        harness.end_all(now + 50.0, Outcome::Ok, 50.0);
        assert!(harness.has_action(&Action::Answer { query, complete: true }));
    }
}

#[test]
fn overload_sheds_the_lower_priority_weight_first() {
    let both_classes = vec![class(), Class { priority_weight: 0.05, ..class() }];
    let mut harness = Harness::new(Settings { classes: both_classes, ..settings() }, 1);
    harness.list_replicas(3);
    harness.warm_up(5000.0, 300.0);
    let mut rejected = [0, 0];
    for i in 0..60u64 {
        let query = QueryId(10_000 + 2 * i);
        let class = (i % 2) as usize;
        let parts = vec![only_part(PartId(10_001 + 2 * i))];
        harness.handle(
            5001.0,
            Event::Query { query, class, tenant: None, time_left: 3000.0, is_retry: false, parts },
        );
        rejected[class] += u32::from(harness.is_rejected(query));
    }
    assert!(rejected[1] > rejected[0], "{rejected:?}");
}

/// Only the proportions of quotas are used, as this aggregator may receive most of the traffic. Under overload the
/// tenant that exceeds its proportion is shed first.
#[test]
fn overload_sheds_the_tenant_over_its_quota_share_first() {
    let tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 5.0 }];
    let mut harness = Harness::new(Settings { tenants, over_quota_weight: 0.05, ..settings() }, 1);
    harness.list_replicas(3);
    harness.warm_up(5000.0, 300.0);
    let mut arrived = [0.0, 0.0];
    let mut rejected = [0.0, 0.0];
    for i in 0..120u64 {
        let before = i < 40;
        let tenant = usize::from(!before && i % 5 == 4);
        let query = QueryId(10_000 + 2 * i);
        let parts = vec![only_part(PartId(10_001 + 2 * i))];
        harness.handle(
            5001.0,
            Event::Query { query, class: 0, tenant: Some(tenant), time_left: 3000.0, is_retry: false, parts },
        );
        if before {
            harness.end_attempt(5001.0, PartId(10_001 + 2 * i), 0, Outcome::Ok, 300.0);
            continue;
        }
        arrived[tenant] += 1.0;
        rejected[tenant] += f64::from(u8::from(harness.is_rejected(query)));
    }
    assert!(rejected[0] / arrived[0] > rejected[1] / arrived[1], "{rejected:?} of {arrived:?}");
}

/// Queries for a failing shard are rejected, and queries for other shards are served.
#[test]
fn a_failing_shard_does_not_reject_queries_for_other_shards() {
    let mut harness = Harness::new(Settings { cells: 2, width: 1, ..settings() }, 5);
    harness.list_replicas(2);
    let mut rejected = [0, 0];
    for i in 0..400 {
        let now = 100.0 * f64::from(i);
        let shard = i as u32 % 2;
        let (query, _) = harness.query(now, &[shard]);
        rejected[shard as usize] += u32::from(i > 100 && harness.ended_unanswered(query));
        harness.answer_all_except(now + 50.0, 50.0, &[0]);
        harness.run_timer(now + 50.0, now + 90.0);
    }
    assert_eq!(rejected[1], 0, "{rejected:?}: shard 1 does not fail");
    assert!(rejected[0] > 50, "{rejected:?}: many of 150 queries for shard 0 cannot be answered in time");
}

/// An aggregator that has rejected almost all queries admits a trial query once its statistics have decayed.
#[test]
fn a_trial_query_is_admitted_once_the_statistics_have_decayed() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    harness.warm_up(3000.0, 300.0);
    for i in 0..150 {
        let now = 3000.0 + 1600.0 * f64::from(i);
        harness.query_with_deadline(now, 1000 + i as u64, 3000.0);
        harness.run_timer(now, now + 1500.0);
        harness.end_all(now + 1500.0, Outcome::Timeout, 1500.0);
    }
    let now = 3000.0 + 1600.0 * 150.0;
    harness.run_timer(now, now + 8000.0);
    let sent = harness.sends.len();
    let (query, _) = harness.query_with_deadline(now + 8000.0, 9000, 3000.0);
    assert!(!harness.is_rejected(query), "a trial query is admitted");
    harness.run_timer(now + 8000.0, now + 8200.0);
    assert!(harness.sends.len() > sent);
}

/// Settings with a latency objective of 500 ms and this late value factor.
fn with_late_value(late_value: f64) -> Settings {
    let class =
        Class { latency_objective: 500.0, deadline: 2000.0, late_value_factor: late_value, ..class() };
    Settings { hedging_allowed: false, ..with_class(class) }
}

#[test]
fn a_query_continues_past_its_objective_only_for_enough_late_value() {
    for (late_value, continues) in [(0.1, false), (0.5, true)] {
        let mut harness = Harness::new(with_late_value(late_value), 1);
        harness.list_replicas(3);
        let (query, _) = harness.query(0.0, &[0]);
        harness.run_timer(0.0, 600.0);
        assert_eq!(harness.is_rejected(query), !continues, "late value {late_value}");
    }
}

/// Queries that are admitted with high chances but miss their latency objective lower the calibration, although nearly
/// all their parts are fast: one part of each is sent to an overloaded replica. Most of the following queries are
/// rejected, and a few are admitted as trials. All are admitted again once admitted queries meet their objective.
#[test]
fn admission_is_recalibrated_when_admitted_queries_miss_their_objective() {
    let mut harness = Harness::new(Settings { cells: 24, ..with_late_value(0.0) }, 3);
    harness.list_replicas(24);
    let mut now = 0.0;
    let mut is_admitted = |harness: &mut Harness, overloaded: bool| {
        let shards: Vec<u32> = (0..8).map(|i| 3 * i).collect();
        let (query, parts) = harness.query(now, &shards);
        let admitted = !harness.is_rejected(query);
        harness.run_timer(now, now + 20.0);
        now += 20.0;
        let last = parts.len() - usize::from(overloaded);
        for part in parts[..last].iter().filter(|_| admitted) {
            harness.end_attempt(now, *part, 0, Outcome::Ok, 20.0);
        }
        if overloaded && admitted {
            harness.run_timer(now, now + 520.0);
            now += 520.0;
            harness.end_attempt(now, parts[last], 0, Outcome::Cancelled, 540.0);
        }
        now += 20.0;
        admitted
    };
    let before = (0..40).filter(|_| is_admitted(&mut harness, false)).count();
    assert_eq!(before, 40, "all are admitted while answers are in time");
    let during = (0..60).filter(|_| is_admitted(&mut harness, true)).count();
    assert!((3..30).contains(&during), "{during} of 60 are admitted while no answer is in time");
    let after: Vec<bool> = (0..60).map(|_| is_admitted(&mut harness, false)).collect();
    assert!(after[40..].iter().all(|admitted| *admitted), "all are admitted again: {after:?}");
}

/// Sends a query of three parts with this time left, after a third of the earlier parts took 100 ms and the others 300
/// ms.
fn query_with_mixed_latencies(time_left: f64) -> (Harness, QueryId) {
    let mut harness = Harness::new(settings(), 1);
    let entries = (0..12).map(|number| ReplicaEntry { cell: number % 3, ..entry(number) }).collect();
    harness.handle(0.0, Event::EndpointList { complete: true, entries });
    let mut now = 0.0;
    for i in 0..60u32 {
        let latency = if i.is_multiple_of(3) { 100.0 } else { 300.0 };
        for shard in 0..6 {
            harness.query(now, &[shard % 3]);
        }
        harness.run_timer(now, now + latency);
        now += latency;
        harness.end_all(now, Outcome::Ok, latency);
    }
    let query = QueryId(90_000);
    let weight = 1.0 / 3.0;
    let spec =
        |shard: u32| PartSpec { part: PartId(90_001 + u64::from(shard)), shard, weight, cost_hint: None };
    let parts = (0..3).map(spec).collect();
    harness.handle(now, Event::Query { query, class: 0, tenant: None, time_left, is_retry: false, parts });
    (harness, query)
}

/// Guards against work on queries that cannot be answered before their clients disconnect: it keeps the replicas busy
/// without any answer. The time left of the client takes precedence over the limits of its class.
#[test]
fn a_query_unlikely_to_be_answered_before_its_client_leaves_is_rejected() {
    let (harness, query) = query_with_mixed_latencies(200.0);
    assert!(harness.is_rejected(query));
    let (harness, query) = query_with_mixed_latencies(2000.0);
    assert!(!harness.is_rejected(query));
}
