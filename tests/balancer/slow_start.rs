//! Slow start: a replica that is warming up gets its share, and never a burst.

use crate::event_rate::most_within;
use crate::harness::*;
use sailmux::balancer::*;

/// One of three replicas is warming up: at first it gets a small share of what a warm peer serves, never a burst.
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
    let warming = harness.sends[from..].iter().filter(|sent| sent.replica == ReplicaId(0)).count();
    assert!(warming <= 6, "{warming} of 100 parts in 2 s went to a replica at a fifth of its capacity");
}

/// A replica that refused connections warms up again before any list says so; it gets no burst.
#[test]
fn a_replica_that_refused_connections_returns_by_slow_start() {
    let mut harness = Harness::new(settings(), 9);
    harness.list_replicas(3);
    harness.warm_up(5000.0, 50.0);
    let mut to_lost = vec![];
    let mut tried_again = false;
    for i in 0..1800 {
        let now = 5000.0 + 20.0 * f64::from(i);
        harness.query(now, &[0]);
        for InFlight { part, attempt } in harness.in_flight.clone() {
            let to = harness.replica_of(part, attempt);
            let gone = to == ReplicaId(0) && now < 14_000.0;
            if to == ReplicaId(0) && now >= 14_000.0 {
                tried_again = true;
            }
            if to == ReplicaId(0) && now < 22_000.0 {
                to_lost.push(now);
            }
            let outcome = if gone { Outcome::ConnectFailed } else { Outcome::Ok };
            harness.end_attempt(now + 10.0, part, attempt, outcome, 50.0);
        }
    }
    let peak =
        to_lost.iter().map(|t| to_lost.iter().filter(|u| **u >= *t && **u < *t + 1000.0).count()).max();
    assert!(
        peak.unwrap_or(0) <= 12,
        "{peak:?} parts of 50 in one second went to a replica that may be warming up"
    );
    assert!(tried_again, "it is tried again");
}

/// With the warm replicas rejecting all, what they served before still admits parts to the one that is warming up.
#[test]
fn a_warming_up_replica_is_used_while_the_warm_ones_reject() {
    let mut harness = Harness::new(settings(), 7);
    harness.list_replicas(3);
    for i in 0..100 {
        harness.query(50.0 * f64::from(i), &[0]);
        harness.answer_all_except(50.0 * f64::from(i) + 40.0, 40.0, &[]);
    }
    harness.update_replica(5000.0, ReplicaEntry { started_at: Some(5000.0), ..entry(0) });
    let mut warming = 0;
    for i in 0..300 {
        let now = 5000.0 + 50.0 * f64::from(i);
        let sent = harness.sends.len();
        harness.query(now, &[0]);
        if now > 12_000.0 {
            warming += harness.sends[sent..].iter().filter(|sent| sent.replica == ReplicaId(0)).count();
        }
        for InFlight { part, attempt } in harness.in_flight.clone() {
            let warming = harness.replica_of(part, attempt) == ReplicaId(0);
            harness.end_attempt(
                now + 10.0,
                part,
                attempt,
                if warming { Outcome::Ok } else { Outcome::Rejected },
                10.0,
            );
        }
    }
    assert!(warming > 20, "{warming} parts in 8 s, two thirds through its ramp, at 20 queries a second");
}

/// Many aggregators learn of a start at different times; together they stay within the slow-start bound.
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
        let warming = harness.sends[from..].iter().filter(|sent| sent.replica == ReplicaId(0)).count();
        if now >= started + 2800.0 && now < started + 15_000.0 {
            sent_while_warming.extend((0..warming).map(|_| now));
        } else if now >= started + 30_000.0 {
            sent_when_warm += warming;
        }
        if step / 40 % 6 == 5 {
            harness.end_all(now + 10.0, Outcome::Ok, 150.0);
        }
    }
    // At 150 parts a second a warm one of three serves 50, and the one that is warming up can serve a fifth of that at least.
    for t in &sent_while_warming {
        let window = sent_while_warming.iter().filter(|u| **u >= *t && **u < *t + 1000.0).count() as f64;
        let capacity = 50.0 * (0.2 + 0.8 * ((t - started) / 15_000.0).min(1.0));
        assert!(window <= 2.5 * capacity, "{window} parts in a second at {t}, capacity {capacity}");
    }
    let seconds = sent_while_warming.len() as f64 / 12.2;
    assert!(
        seconds >= 5.0,
        "{seconds} parts a second: a replica that is warming up is used, its neighbours need it"
    );
    assert!(sent_when_warm > 100, "{sent_when_warm}: once warm it takes its share");
}

const AGGREGATORS: u32 = 100;

/// A hundred aggregators that seldom send share three warm replicas and one that has just started: together they give
/// it its share of what a warm peer serves, from the first second on, and never overload it.
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
            // Uneven gaps, half a second in the mean.
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
    let count = |from: f64, to: f64, warming: bool| {
        sent.iter().filter(|(at, id)| (from..to).contains(at) && (*id == 3) == warming).count() as f64
    };
    let peer = count(started_at - 4000.0, started_at, false) / 4.0 / 3.0;
    for second in 0..4 {
        let from = started_at + 1000.0 * f64::from(second);
        let share = 0.27 + 0.73 * f64::from(second) / 17.0;
        let warming = count(from, from + 1000.0, true);
        assert!(
            warming >= 0.25 * share * peer,
            "second {second}: {warming} parts where a warm peer serves {peer}"
        );
        assert!(
            warming <= 2.0 * share * peer,
            "second {second}: {warming} parts where a warm peer serves {peer}"
        );
    }
}

/// A burst on overloaded peers: every selection falls on the replica that is warming up, where allowed. All aggregators
/// together still send it no more than the settings allow in any window, chance included.
#[test]
fn a_burst_of_all_aggregators_does_not_overload_a_warming_up_replica() {
    const OVERLOAD_FACTOR: f64 = 1.5;
    const INITIAL_SHARE: f64 = 0.27;
    let started_at = 10_000.0;
    for aggregators in [20, 300] {
        // Each of three warm peers serves forty parts a second, all it can.
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
        let mut warming: Vec<f64> = Vec::new();
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
                    warming.push(now);
                }
                // The warm ones answer slowly once the burst is on; the other one is always the less loaded.
                if now < started_at && to.is_some() {
                    harness.end_attempt(now + 30.0, parts[0], 0, Outcome::Ok, 30.0);
                }
                now += if now < started_at { gap } else { gap / 4.0 };
            }
        }
        warming.sort_by(f64::total_cmp);
        let bearable = OVERLOAD_FACTOR * INITIAL_SHARE * capacity;
        let most = most_within(&warming, 1000.0) as f64;
        assert!(most > 0.25 * bearable, "{aggregators} aggregators: {most} parts, there was no burst");
        let limit = bearable + 2.0 * bearable.sqrt() + 2.0;
        assert!(
            most <= limit,
            "{aggregators} aggregators: {most} parts within a second, {limit} overload it"
        );
    }
}
