//! What a hundred mixers do together, side by side on one clock: each is harmless alone.

use sailmux::membership::Pace;
use std::collections::BinaryHeap;

const MIXERS: u32 = 100;

/// Calls of all mixers to a discovery that serves so many a second and turns the others away at once, from the moment
/// all watches break: when each mixer was told, and all calls.
fn after_a_break(served_a_second: usize, seed: u64) -> (Vec<f64>, Vec<f64>) {
    let mut paces: Vec<Pace> = (0..MIXERS).map(|i| Pace::new(seed + u64::from(i) * 7919, MIXERS)).collect();
    let mut due: BinaryHeap<(std::cmp::Reverse<u64>, usize)> = BinaryHeap::new();
    let micros = |ms: f64| std::cmp::Reverse((ms * 1e3) as u64);
    // All had been told something when it broke.
    due.extend(paces.iter_mut().enumerate().map(|(i, p)| (micros(p.again(true)), i)));
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
            due.push((micros(now + paces[i].again(false)), i));
        }
    }
    (told, calls)
}

/// Most events in any window.
fn most_within(times: &[f64], window: f64) -> usize {
    let from = |i: usize| times[i..].iter().take_while(|t| **t <= times[i] + window).count();
    (0..times.len()).map(from).max().unwrap_or(0)
}

/// A discovery that can serve twenty mixers a second has told a hundred within seconds, and is never asked more than about
/// twice what the fleet's share comes to.
#[test]
fn an_overbooked_discovery_tells_all_mixers_within_seconds() {
    for seed in [1, 971, 70_580] {
        let (told, calls) = after_a_break(20, seed);
        assert_eq!(told.len(), MIXERS as usize, "seed {seed}: some mixers stay blind");
        let last = told.iter().copied().fold(0.0, f64::max);
        assert!(last < 20_000.0, "seed {seed}: the last mixer is told after {last} ms");
        let most = most_within(&calls, 1000.0);
        assert!(most <= 200, "seed {seed}: {most} calls within a second");
        assert!(calls.len() < 600, "seed {seed}: {} calls", calls.len());
    }
}

/// A release starts a hundred mixers in one moment; their first calls are spread.
#[test]
fn first_calls_are_spread_over_the_fleet() {
    let mut calls: Vec<f64> = (0..MIXERS).map(|i| Pace::new(u64::from(i), MIXERS).begin()).collect();
    calls.sort_by(f64::total_cmp);
    assert!(most_within(&calls, 100.0) <= 30, "{calls:?}");
}

/// One mixer, or a number that makes no sense, waits neither long nor not at all.
#[test]
fn few_mixers_ask_again_soon() {
    for mixers in [0, 1, 2, u32::MAX] {
        let mut pace = Pace::new(7, mixers);
        let waits: Vec<f64> = (0..100).map(|_| pace.again(false)).collect();
        let most = if mixers < 10 { 600.0 } else { 15_000.0 };
        assert!(waits.iter().all(|w| (50.0..=most).contains(w)), "{mixers}: {waits:?}");
        assert!(mixers > 10 || pace.begin() == 0.0);
    }
}
