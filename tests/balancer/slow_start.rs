//! Slow start: a replica that is warming up receives its share of the parts, without bursts.

use crate::event_rate::most_within;
use crate::harness::*;
use sailmux::balancer::*;

/// One of three replicas is warming up. At first it receives a small share of what a warm peer serves.
#[test]
fn a_warming_up_replica_gets_a_small_share() {
    let mut harness = Harness::new(settings(), 5);
    harness.list_replicas(3);
    harness.warm_up(5000.0, 50.0);
    harness.update_replica(5000.0, ReplicaEntry { started_at: Some(4900.0), ..entry(0) });
    let from = harness.sends.len();
    for i in 0..100 {
        let now = 5000.0 + 20.0 * f64::from(i);
        harness.query(now, &[0]);
        harness.end_all(now + 10.0, Outcome::Ok, 50.0);
    }
    let to_warming = harness.sends[from..].iter().filter(|sent| sent.replica == ReplicaId(0)).count();
    assert!(
        to_warming <= 6,
        "{to_warming} of 100 parts in 2 s were sent to a replica at a fifth of its capacity"
    );
}

/// A replica that has refused connections warms up again before the endpoint list shows its restart; it receives no
/// burst.
#[test]
fn a_replica_that_refused_connections_gets_slow_start() {
    let mut harness = Harness::new(settings(), 9);
    harness.list_replicas(3);
    harness.warm_up(5000.0, 50.0);
    let mut attempts_at_replica = vec![];
    let mut is_retried = false;
    for i in 0..1800 {
        let now = 5000.0 + 20.0 * f64::from(i);
        harness.query(now, &[0]);
        for InFlight { part, attempt } in harness.in_flight.clone() {
            let to = harness.replica_of(part, attempt);
            let is_down = to == ReplicaId(0) && now < 14_000.0;
            if to == ReplicaId(0) && now >= 14_000.0 {
                is_retried = true;
            }
            if to == ReplicaId(0) && now < 22_000.0 {
                attempts_at_replica.push(now);
            }
            let outcome = if is_down { Outcome::ConnectFailed } else { Outcome::Ok };
            harness.end_attempt(now + 10.0, part, attempt, outcome, 50.0);
        }
    }
    let peak = attempts_at_replica
        .iter()
        .map(|t| attempts_at_replica.iter().filter(|u| **u >= *t && **u < *t + 1000.0).count())
        .max();
    assert!(
        peak.unwrap_or(0) <= 12,
        "{peak:?} parts of 50 in one second were sent to a replica that may be warming up"
    );
    assert!(is_retried, "the replica is tried again once it is up");
}

/// While the warm replicas reject all attempts, the rate that they served before still determines how many parts the
/// replica that is warming up receives.
#[test]
fn a_warming_up_replica_is_used_while_the_warm_replicas_reject() {
    let mut harness = Harness::new(settings(), 7);
    harness.list_replicas(3);
    for i in 0..100 {
        harness.query(50.0 * f64::from(i), &[0]);
        harness.answer_all_except(50.0 * f64::from(i) + 40.0, 40.0, &[]);
    }
    harness.update_replica(5000.0, ReplicaEntry { started_at: Some(5000.0), ..entry(0) });
    let mut to_warming = 0;
    for i in 0..300 {
        let now = 5000.0 + 50.0 * f64::from(i);
        let sent = harness.sends.len();
        harness.query(now, &[0]);
        if now > 12_000.0 {
            to_warming += harness.sends[sent..].iter().filter(|sent| sent.replica == ReplicaId(0)).count();
        }
        for InFlight { part, attempt } in harness.in_flight.clone() {
            let to_warming = harness.replica_of(part, attempt) == ReplicaId(0);
            harness.end_attempt(
                now + 10.0,
                part,
                attempt,
                if to_warming { Outcome::Ok } else { Outcome::Rejected },
                10.0,
            );
        }
    }
    assert!(
        to_warming > 20,
        "{to_warming} parts in 8 s at 20 queries per second, with the warm-up two thirds complete"
    );
}

/// Many aggregators receive the start of a replica at different times. Together they stay within the slow start limit.
#[test]
fn forty_aggregators_together_do_not_overload_a_warming_up_replica() {
    let mut harnesses: Vec<Harness> = (0..40).map(|seed| Harness::new(settings(), seed)).collect();
    for harness in &mut harnesses {
        harness.list_replicas(3);
    }
    let started = 20_000.0;
    let mut sent_while_warming = vec![];
    let mut sent_when_warm = 0;
    for step in 0..3000u32 {
        let now = 20.0 * f64::from(step + 1);
        let harness = &mut harnesses[(step * 7 % 40) as usize];
        let age = f64::from(step * 7 % 40) * 50.0;
        if now >= started + age && now < started + age + 800.0 {
            harness.update_replica(now, ReplicaEntry { started_at: Some(started), ..entry(0) });
        }
        let from = harness.sends.len();
        harness.query(now, &[0, 1, 2]);
        let to_warming = harness.sends[from..].iter().filter(|sent| sent.replica == ReplicaId(0)).count();
        if now >= started + 2800.0 && now < started + 15_000.0 {
            sent_while_warming.extend((0..to_warming).map(|_| now));
        } else if now >= started + 30_000.0 {
            sent_when_warm += to_warming;
        }
        if step / 40 % 6 == 5 {
            harness.end_all(now + 10.0, Outcome::Ok, 150.0);
        }
    }
    // At 150 parts per second each of three warm replicas serves 50. A replica that is warming up can serve at least a
    // fifth of that.
    for t in &sent_while_warming {
        let window = sent_while_warming.iter().filter(|u| **u >= *t && **u < *t + 1000.0).count() as f64;
        let capacity = 50.0 * (0.2 + 0.8 * ((t - started) / 15_000.0).min(1.0));
        assert!(window <= 2.5 * capacity, "{window} parts in a second at {t}, capacity {capacity}");
    }
    let rate = sent_while_warming.len() as f64 / 12.2;
    assert!(rate >= 5.0, "{rate} parts per second: a replica that is warming up must relieve its peers");
    assert!(sent_when_warm > 100, "{sent_when_warm} parts: a warm replica receives its full share");
}

const AGGREGATORS: u32 = 100;

/// A hundred aggregators with little traffic share three warm replicas and one that has just started. From the first
/// second on, they send it its share of what a warm peer serves, and never overload it.
#[test]
fn a_hundred_aggregators_give_a_warming_up_replica_its_share() {
    let class = Class { latency_objective: 750.0, deadline: 2000.0, ..class() };
    let settings = Settings {
        aggregators: AGGREGATORS,
        cells: 1,
        width: 1,
        health_check_cost: 0.08,
        slow_start_share: 0.27,
        slow_start_window: 17_000.0,
        hedging_allowed: false,
        ..with_class(class)
    };
    let started_at = 10_000.0;
    let mut sent: Vec<(f64, u32)> = Vec::new();
    for seed in 0..u64::from(AGGREGATORS) {
        let mut harness = Harness::new(settings.clone(), seed);
        let warm = (0..3).map(|i| ReplicaEntry { cell: 0, ..entry(i) }).collect();
        harness.handle(0.0, Event::EndpointList { complete: true, entries: warm });
        let mut now = 1.0 + 5.0 * seed as f64;
        let mut is_listed = false;
        while now < 15_000.0 {
            // Irregular gaps with a mean of half a second.
            now += 100.0 + f64::from((seed as u32 * 37 + now as u32) % 800);
            if now >= started_at && !is_listed {
                is_listed = true;
                harness.update_replica(
                    started_at,
                    ReplicaEntry { cell: 0, started_at: Some(started_at), ..entry(3) },
                );
            }
            let (part, replica) = harness.query_one_shard(now, 0);
            sent.push((now, replica.0));
            harness.end_attempt(now + 30.0, part, 0, Outcome::Ok, 30.0);
            now += 30.0;
        }
    }
    let count = |from: f64, to: f64, to_warming: bool| {
        sent.iter().filter(|(at, id)| (from..to).contains(at) && (*id == 3) == to_warming).count() as f64
    };
    let peer = count(started_at - 4000.0, started_at, false) / 4.0 / 3.0;
    for second in 0..4 {
        let from = started_at + 1000.0 * f64::from(second);
        let share = 0.27 + 0.73 * f64::from(second) / 17.0;
        let to_warming = count(from, from + 1000.0, true);
        assert!(
            to_warming >= 0.25 * share * peer,
            "second {second}: {to_warming} parts where a warm peer serves {peer}"
        );
        assert!(
            to_warming <= 2.0 * share * peer,
            "second {second}: {to_warming} parts where a warm peer serves {peer}"
        );
    }
}

/// In a burst on overloaded peers, every selection prefers the replica that is warming up, where slow start allows it.
/// All aggregators together still do not exceed the configured limit in any window, apart from random variation.
#[test]
fn a_burst_of_all_aggregators_does_not_overload_a_warming_up_replica() {
    const OVERLOAD_FACTOR: f64 = 1.5;
    const INITIAL_SHARE: f64 = 0.27;
    let started_at = 10_000.0;
    for aggregators in [20, 300] {
        // Each of three warm peers serves 40 parts per second, its full capacity.
        let capacity = 40.0;
        let gap = f64::from(aggregators) * 1000.0 / (3.0 * capacity);
        let class = Class { latency_objective: 750.0, deadline: 2000.0, ..class() };
        let settings = Settings {
            aggregators,
            cells: 1,
            width: 1,
            health_checks_allowed: false,
            slow_start_share: INITIAL_SHARE,
            slow_start_window: 60_000.0,
            overload_factor: OVERLOAD_FACTOR,
            hedging_allowed: false,
            ..with_class(class)
        };
        let mut to_warming: Vec<f64> = Vec::new();
        for seed in 0..u64::from(aggregators) {
            let mut harness = Harness::new(settings.clone(), seed);
            let warm = (0..3).map(|i| ReplicaEntry { cell: 0, ..entry(i) }).collect();
            harness.handle(0.0, Event::EndpointList { complete: true, entries: warm });
            let mut now = gap * (seed as f64 + 0.5) / f64::from(aggregators);
            let mut is_listed = false;
            while now < started_at + 4000.0 {
                if now >= started_at && !is_listed {
                    is_listed = true;
                    harness.update_replica(
                        started_at,
                        ReplicaEntry { cell: 0, started_at: Some(started_at), ..entry(3) },
                    );
                }
                let (_, parts) = harness.query(now, &[0]);
                let to = harness.sends.iter().find(|sent| sent.part == parts[0]).map(|sent| sent.replica.0);
                if to == Some(3) {
                    to_warming.push(now);
                }
                // The warm replicas do not answer during the burst, so that the other replica always has the lower
                // cost.
                if now < started_at && to.is_some() {
                    harness.end_attempt(now + 30.0, parts[0], 0, Outcome::Ok, 30.0);
                }
                now += if now < started_at { gap } else { gap / 4.0 };
            }
        }
        to_warming.sort_by(f64::total_cmp);
        let max_rate = OVERLOAD_FACTOR * INITIAL_SHARE * capacity;
        let peak = most_within(&to_warming, 1000.0) as f64;
        assert!(peak > 0.25 * max_rate, "{aggregators} aggregators: {peak} parts, there was no burst");
        let limit = max_rate + 2.0 * max_rate.sqrt() + 2.0;
        assert!(
            peak <= limit,
            "{aggregators} aggregators: {peak} parts within a second, more than {limit} overload it"
        );
    }
}
