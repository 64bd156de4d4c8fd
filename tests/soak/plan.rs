//! What one seed draws: the settings, the faults and their times.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::time::Duration;

/// Leaf servers: two for each of the three cells.
pub const LEAF_SERVERS: usize = 6;
/// How long clients send requests.
pub const LOAD_TIME: Duration = Duration::from_secs(5);

/// What a repeated part does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Retryable,
    Dedup { window: Duration },
    Fragile,
}

/// What a leaf server does wrong for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeafFault {
    Hangs,
    ResetsConnections,
    AnswersHalf,
    Rejects,
}

/// One thing that happens, `at` a time since the start of the load.
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
    DiscoverySilent {
        length: Duration,
    },
    /// A process stands still for less than the pages allow.
    Pause {
        aggregator: usize,
    },
    Signal {
        aggregator: usize,
        signal: &'static str,
    },
    /// The first aggregator's successor starts at its address; the first one is told to end once that is ready.
    HotRestart,
    /// One more process, which clients use once it is ready.
    Start,
    /// One more process, told to end as soon as it listens.
    StartAndTerminate,
}

/// All that one seed draws.
#[derive(Debug)]
pub struct Plan {
    pub effect: Effect,
    pub deadline: Duration,
    pub aggregators: usize,
    pub clients: usize,
    /// Idle connections that a crowd of clients opens to the first aggregator.
    pub crowd: usize,
    pub steps: Vec<(Duration, Step)>,
}

/// Seeded draws.
pub struct Draws(Pcg64Mcg);

impl Draws {
    pub fn new(seed: u64) -> Self {
        Draws(Pcg64Mcg::seed_from_u64(seed))
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
        let mut draws = Draws::new(seed);
        let effect = match draws.below(3) {
            0 => Effect::Retryable,
            1 => Effect::Dedup { window: draws.millis(300, 900) },
            _ => Effect::Fragile,
        };
        let aggregators = 2 + draws.below(2) as usize;
        let mut plan = Plan {
            effect,
            deadline: draws.millis(500, 2500),
            aggregators,
            clients: 4 + draws.below(5) as usize,
            crowd: if draws.one_in(3) { 700 } else { 0 },
            steps: Vec::new(),
        };
        plan.draw_faults(&mut draws);
        plan.draw_signals(&mut draws);
        for step in [Step::HotRestart, Step::Start, Step::StartAndTerminate] {
            if draws.one_in(2) {
                plan.steps.push((draws.millis(500, 4000), step));
            }
        }
        plan.steps.sort_by_key(|(at, _)| *at);
        plan
    }

    fn draw_faults(&mut self, draws: &mut Draws) {
        for _ in 0..2 + draws.below(3) {
            let fault = match draws.below(4) {
                0 => LeafFault::Hangs,
                1 => LeafFault::ResetsConnections,
                2 => LeafFault::AnswersHalf,
                _ => LeafFault::Rejects,
            };
            let leaf = draws.below(LEAF_SERVERS as u64) as usize;
            let length = draws.millis(200, 2000);
            self.steps.push((draws.millis(300, 4000), Step::LeafFault { leaf, fault, length }));
        }
        if draws.one_in(2) {
            let leaf = draws.below(LEAF_SERVERS as u64) as usize;
            self.steps.push((draws.millis(500, 2500), Step::Drain { leaf }));
        }
        if draws.one_in(3) {
            let length = draws.millis(500, 3000);
            self.steps.push((draws.millis(200, 2000), Step::DiscoverySilent { length }));
        }
        if draws.one_in(3) {
            let aggregator = draws.below(self.aggregators as u64) as usize;
            self.steps.push((draws.millis(500, 4000), Step::Pause { aggregator }));
        }
    }

    /// Signals in series: reloads at any time, a shutdown for all aggregators but the last, and more signals into it.
    fn draw_signals(&mut self, draws: &mut Draws) {
        for aggregator in 0..self.aggregators {
            let mut signal = |at, signal| self.steps.push((at, Step::Signal { aggregator, signal }));
            for _ in 0..draws.below(3) {
                signal(draws.millis(0, 4500), "-HUP");
            }
            if aggregator + 1 == self.aggregators {
                continue;
            }
            let shutdown_at = draws.millis(500, 3500);
            signal(shutdown_at, "-TERM");
            for _ in 0..draws.below(3) {
                let next = if draws.one_in(2) { "-HUP" } else { "-TERM" };
                signal(shutdown_at + draws.millis(0, 700), next);
            }
        }
    }
}
