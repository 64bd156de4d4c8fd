//! Simulates when the aggregators of a large fleet open their watches of discovery, on one clock: the calls of a single
//! aggregator are harmless, but those of a fleet together may overload discovery.

mod common;

use common::event_rate::most_within;
use sailmux::endpoints::DiscoveryTiming;
use std::collections::BinaryHeap;

const AGGREGATORS: u32 = 100;

/// The times of calls to discovery, in milliseconds.
#[derive(Default)]
struct Calls {
    all: Vec<f64>,
    served: Vec<f64>,
}

/// Simulates that the watches of all aggregators break at the same moment and are opened again, at a discovery service that
/// serves `served_per_second` calls a second and rejects the others at once.
fn simulate_broken_watches(served_per_second: usize, seed: u64) -> Calls {
    let mut timings: Vec<DiscoveryTiming> = (0..AGGREGATORS)
        .map(|i| DiscoveryTiming::shared_discovery(seed + u64::from(i) * 7919, AGGREGATORS))
        .collect();
    let mut due: BinaryHeap<(std::cmp::Reverse<u64>, usize)> = BinaryHeap::new();
    let micros = |ms: f64| std::cmp::Reverse((ms * 1e3) as u64);
    // Every watch had sent events before it broke.
    due.extend(timings.iter_mut().enumerate().map(|(i, timing)| (micros(timing.next_delay(true)), i)));
    let mut calls = Calls::default();
    while let Some((std::cmp::Reverse(at), i)) = due.pop() {
        let now = at as f64 / 1e3;
        if now > 60_000.0 {
            break;
        }
        calls.all.push(now);
        if calls.served.iter().rev().take_while(|time| **time > now - 1000.0).count() < served_per_second {
            calls.served.push(now);
        } else {
            due.push((micros(now + timings[i].next_delay(false)), i));
        }
    }
    calls
}

/// A discovery service that can serve 20 aggregators a second has updated 100 of them within 20 s, and never gets more than
/// about twice the calls that it is sized for.
#[test]
fn an_overloaded_discovery_updates_all_aggregators_within_seconds() {
    for seed in [1, 971, 70_580] {
        let calls = simulate_broken_watches(20, seed);
        assert_eq!(
            calls.served.len(),
            AGGREGATORS as usize,
            "seed {seed}: some aggregators are never updated"
        );
        let last_update = calls.served.iter().copied().fold(0.0, f64::max);
        assert!(last_update < 20_000.0, "seed {seed}: the last aggregator is updated after {last_update} ms");
        let max_calls = most_within(&calls.all, 1000.0);
        assert!(max_calls <= 200, "seed {seed}: {max_calls} calls within a second");
        assert!(calls.all.len() < 600, "seed {seed}: {} calls", calls.all.len());
    }
}

/// 100 aggregators start at once, each with a list that may be outdated. All open their watches within 100 ms, a tenth of
/// the 1 s in which a drain must take effect, and spread over that time.
#[test]
fn first_watches_are_opened_soon_and_spread_over_the_fleet() {
    let mut calls: Vec<f64> = (0..AGGREGATORS)
        .map(|i| DiscoveryTiming::shared_discovery(u64::from(i), AGGREGATORS).initial_delay())
        .collect();
    calls.sort_by(f64::total_cmp);
    assert!(calls.iter().all(|time| (0.0..100.0).contains(time)), "{calls:?}");
    assert!(most_within(&calls, 10.0) <= 25, "{calls:?}");
}

/// For any fleet size, the delays are short compared to the protocol's bounds: 1 s from the event of a drain to its effect,
/// 6 s from a change at discovery to its effect.
#[test]
fn no_backoff_is_long_against_the_bounds_on_drains_and_changes() {
    for aggregators in [1, 10, 100, 300, 1000, u32::MAX] {
        for seed in [3, 476_429_189_053, 828_407_217_065] {
            let mut timing = DiscoveryTiming::shared_discovery(seed, aggregators);
            let first_delay = timing.initial_delay();
            assert!(
                first_delay < 100.0,
                "{aggregators} aggregators, seed {seed}: first call after {first_delay} ms"
            );
            for round in 0..50 {
                let delay = timing.next_delay(true);
                assert!(
                    delay < 100.0,
                    "{aggregators} aggregators, seed {seed}, round {round}: {delay} ms after a watch"
                );
                let failed_call_delays: Vec<f64> = (0..20).map(|_| timing.next_delay(false)).collect();
                assert!(
                    failed_call_delays.iter().all(|delay| *delay <= 2000.0),
                    "{aggregators} aggregators, seed {seed}: {failed_call_delays:?}"
                );
            }
        }
    }
}

/// With a local discovery agent, the delays do not grow with the fleet. After a watch has stopped responding, there is time
/// for one call that times out and two that are rejected before a change must be in effect.
#[test]
fn a_local_agent_is_watched_again_within_the_bound_on_changes() {
    for aggregators in [1, 300, u32::MAX] {
        for seed in 0..1000 {
            let mut timing = DiscoveryTiming::local_agent(seed, aggregators);
            let mut total_delay =
                timing.watch_timeout() + timing.next_delay(true) + timing.response_timeout();
            total_delay += (0..3).map(|_| timing.next_delay(false)).sum::<f64>();
            assert!(total_delay < 6000.0, "{aggregators} aggregators, seed {seed}: {total_delay} ms");
            assert!(
                (0..50).all(|_| timing.next_delay(false) <= 600.0),
                "{aggregators} aggregators, seed {seed}"
            );
        }
    }
}

/// The delays of small fleets, and of invalid fleet sizes, are neither long nor zero.
#[test]
fn small_fleets_retry_soon() {
    for aggregators in [0, 1, 2, u32::MAX] {
        let mut timing = DiscoveryTiming::shared_discovery(7, aggregators);
        let delays: Vec<f64> = (0..100).map(|_| timing.next_delay(false)).collect();
        let max_delay = if aggregators < 10 { 600.0 } else { 15_000.0 };
        assert!(delays.iter().all(|delay| (50.0..=max_delay).contains(delay)), "{aggregators}: {delays:?}");
        assert!(aggregators > 10 || timing.initial_delay() == 0.0);
    }
}
