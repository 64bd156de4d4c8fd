//! When the aggregators of a large fleet open their watches, side by side on one clock: each is harmless alone.

mod common;

use common::event_rate::most_within;
use sailmux::endpoints::DiscoveryTiming;
use std::collections::BinaryHeap;

const AGGREGATORS: u32 = 100;

/// Calls of all aggregators to a discovery that serves so many a second and turns the others away at once, from the moment
/// all watches break: when each aggregator was told, and all calls.
fn simulate_broken_watches(served_a_second: usize, seed: u64) -> (Vec<f64>, Vec<f64>) {
    let mut paces: Vec<DiscoveryTiming> = (0..AGGREGATORS)
        .map(|i| DiscoveryTiming::shared_discovery(seed + u64::from(i) * 7919, AGGREGATORS))
        .collect();
    let mut due: BinaryHeap<(std::cmp::Reverse<u64>, usize)> = BinaryHeap::new();
    let micros = |ms: f64| std::cmp::Reverse((ms * 1e3) as u64);
    // All had been told something when it broke.
    due.extend(paces.iter_mut().enumerate().map(|(i, p)| (micros(p.next_delay(true)), i)));
    let (mut told, mut calls, mut served) = (Vec::new(), Vec::new(), Vec::new());
    while let Some((std::cmp::Reverse(at), i)) = due.pop() {
        let now = at as f64 / 1e3;
        if now > 60_000.0 {
            break;
        }
        calls.push(now);
        if served.iter().rev().take_while(|t| **t > now - 1000.0).count() < served_a_second {
            served.push(now);
            told.push(now);
        } else {
            due.push((micros(now + paces[i].next_delay(false)), i));
        }
    }
    (told, calls)
}

/// A discovery that can serve twenty aggregators a second has told a hundred within seconds, and is never asked more than about
/// twice what the fleet's share comes to.
#[test]
fn an_overloaded_discovery_updates_all_aggregators_within_seconds() {
    for seed in [1, 971, 70_580] {
        let (told, calls) = simulate_broken_watches(20, seed);
        assert_eq!(told.len(), AGGREGATORS as usize, "seed {seed}: some aggregators stay blind");
        let last = told.iter().copied().fold(0.0, f64::max);
        assert!(last < 20_000.0, "seed {seed}: the last aggregator is told after {last} ms");
        let most = most_within(&calls, 1000.0);
        assert!(most <= 200, "seed {seed}: {most} calls within a second");
        assert!(calls.len() < 600, "seed {seed}: {} calls", calls.len());
    }
}

/// A release starts a hundred aggregators in one moment, each with a list that may be old: all ask within a tenth of the
/// drain's bound of 1 s, spread over that time.
#[test]
fn first_watches_are_opened_soon_and_spread_over_the_fleet() {
    let mut calls: Vec<f64> = (0..AGGREGATORS)
        .map(|i| DiscoveryTiming::shared_discovery(u64::from(i), AGGREGATORS).initial_delay())
        .collect();
    calls.sort_by(f64::total_cmp);
    assert!(calls.iter().all(|c| (0.0..100.0).contains(c)), "{calls:?}");
    assert!(most_within(&calls, 10.0) <= 25, "{calls:?}");
}

/// However large the fleet, an aggregator is never blind for long against the protocol's bounds: 1 s from a drain's telling
/// to its effect, 6 s from discovery's knowing to a change counting as told, asked or not. Three hundred aggregators
/// restarted in the herd asked up to 3 s after their start, and sent to replicas gone meanwhile.
#[test]
fn no_backoff_is_long_against_the_bounds_on_drains_and_changes() {
    for aggregators in [1, 10, 100, 300, 1000, u32::MAX] {
        for seed in [3, 476_429_189_053, 828_407_217_065] {
            let mut pace = DiscoveryTiming::shared_discovery(seed, aggregators);
            let first = pace.initial_delay();
            assert!(first < 100.0, "{aggregators} aggregators, seed {seed}: first call after {first} ms");
            for round in 0..50 {
                let told = pace.next_delay(true);
                assert!(
                    told < 100.0,
                    "{aggregators} aggregators, seed {seed}, round {round}: {told} ms after a watch"
                );
                let failed: Vec<f64> = (0..20).map(|_| pace.next_delay(false)).collect();
                assert!(
                    failed.iter().all(|w| *w <= 2000.0),
                    "{aggregators} aggregators, seed {seed}: {failed:?}"
                );
            }
        }
    }
}

/// Where discovery's agent is the aggregator's own, the size of the fleet makes no wait longer; after a watch that falls silent
/// there is time for a call that stays silent and two that are refused before what they would have told counts as told.
#[test]
fn a_local_agent_is_watched_again_within_the_bound_on_changes() {
    for aggregators in [1, 300, u32::MAX] {
        for seed in 0..1000 {
            let mut pace = DiscoveryTiming::local_agent(seed, aggregators);
            let mut chain = pace.watch_timeout() + pace.next_delay(true) + pace.response_timeout();
            chain += (0..3).map(|_| pace.next_delay(false)).sum::<f64>();
            assert!(chain < 6000.0, "{aggregators} aggregators, seed {seed}: {chain} ms");
            assert!(
                (0..50).all(|_| pace.next_delay(false) <= 600.0),
                "{aggregators} aggregators, seed {seed}"
            );
        }
    }
}

/// One aggregator, or a number that makes no sense, waits neither long nor not at all.
#[test]
fn small_fleets_retry_soon() {
    for aggregators in [0, 1, 2, u32::MAX] {
        let mut pace = DiscoveryTiming::shared_discovery(7, aggregators);
        let waits: Vec<f64> = (0..100).map(|_| pace.next_delay(false)).collect();
        let most = if aggregators < 10 { 600.0 } else { 15_000.0 };
        assert!(waits.iter().all(|w| (50.0..=most).contains(w)), "{aggregators}: {waits:?}");
        assert!(aggregators > 10 || pace.initial_delay() == 0.0);
    }
}
