//! The plan that a seed determines: the settings, the faults and their times.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::time::Duration;

/// Leaf servers: two for each of the three cells.
pub const LEAF_SERVERS: usize = 6;
/// Time for which clients send requests.
pub const LOAD_TIME: Duration = Duration::from_secs(5);

/// The effect of a repeated part, by the setting `effect`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Retryable,
    Dedup { window: Duration },
    Fragile,
}

/// A temporary fault of a leaf server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafFault {
    Hangs,
    ResetsConnections,
    TruncatesAnswer,
    Rejects,
}

/// An event of the plan.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    LeafFault {
        leaf: usize,
        fault: LeafFault,
        length: Duration,
    },
    Drain {
        leaf: usize,
    },
    DiscoveryUnresponsive {
        length: Duration,
    },
    /// Stops a process for less than the tolerated pause.
    Pause {
        aggregator: usize,
    },
    Signal {
        aggregator: usize,
        signal: &'static str,
    },
    /// Starts a successor of the first aggregator at its address; the first one receives SIGTERM once that is ready.
    HotRestart,
    /// Starts another process, which clients use once it is ready.
    Start,
    /// Starts another process, which receives SIGTERM as soon as it listens.
    StartAndTerminate,
}

/// The settings and events of one seed.
#[derive(Debug)]
pub struct Plan {
    pub effect: Effect,
    pub deadline: Duration,
    pub aggregators: usize,
    pub clients: usize,
    /// Number of idle connections to the first aggregator.
    pub idle_connections: usize,
    /// The events by time since the start of the load.
    pub steps: Vec<(Duration, Step)>,
}

/// A seeded random number generator.
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }

    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

impl Plan {
    pub fn draw(seed: u64) -> Self {
        let mut rng = SeededRng::new(seed);
        let effect = match rng.below(3) {
            0 => Effect::Retryable,
            1 => Effect::Dedup { window: rng.millis(300, 900) },
            _ => Effect::Fragile,
        };
        let aggregators = 2 + rng.below(2) as usize;
        let mut plan = Plan {
            effect,
            deadline: rng.millis(500, 2500),
            aggregators,
            clients: 4 + rng.below(5) as usize,
            idle_connections: if rng.one_in(3) { 700 } else { 0 },
            steps: Vec::new(),
        };
        plan.draw_faults(&mut rng);
        plan.draw_signals(&mut rng);
        for step in [Step::HotRestart, Step::Start, Step::StartAndTerminate] {
            if rng.one_in(2) {
                plan.steps.push((rng.millis(500, 4000), step));
            }
        }
        plan.steps.sort_by_key(|(at, _)| *at);
        plan
    }

    fn draw_faults(&mut self, rng: &mut SeededRng) {
        for _ in 0..2 + rng.below(3) {
            let fault = match rng.below(4) {
                0 => LeafFault::Hangs,
                1 => LeafFault::ResetsConnections,
                2 => LeafFault::TruncatesAnswer,
                _ => LeafFault::Rejects,
            };
            let leaf = rng.below(LEAF_SERVERS as u64) as usize;
            let length = rng.millis(200, 2000);
            self.steps.push((rng.millis(300, 4000), Step::LeafFault { leaf, fault, length }));
        }
        if rng.one_in(2) {
            let leaf = rng.below(LEAF_SERVERS as u64) as usize;
            self.steps.push((rng.millis(500, 2500), Step::Drain { leaf }));
        }
        if rng.one_in(3) {
            let length = rng.millis(500, 3000);
            self.steps.push((rng.millis(200, 2000), Step::DiscoveryUnresponsive { length }));
        }
        if rng.one_in(3) {
            let aggregator = rng.below(self.aggregators as u64) as usize;
            self.steps.push((rng.millis(500, 4000), Step::Pause { aggregator }));
        }
    }

    /// Series of signals: reloads at any time, a shutdown of all aggregators but the last, and more signals during it.
    fn draw_signals(&mut self, rng: &mut SeededRng) {
        for aggregator in 0..self.aggregators {
            let mut signal = |at, signal| self.steps.push((at, Step::Signal { aggregator, signal }));
            for _ in 0..rng.below(3) {
                signal(rng.millis(0, 4500), "-HUP");
            }
            if aggregator + 1 == self.aggregators {
                continue;
            }
            let shutdown_at = rng.millis(500, 3500);
            signal(shutdown_at, "-TERM");
            for _ in 0..rng.below(3) {
                let next = if rng.one_in(2) { "-HUP" } else { "-TERM" };
                signal(shutdown_at + rng.millis(0, 700), next);
            }
        }
    }
}
