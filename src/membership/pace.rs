//! When a mixer asks discovery anew. One mixer that asks ten times a second is no load; a hundred that lost their watch
//! in the same moment keep an overbooked discovery from ever answering one of them. So the waits grow with the
//! number of mixers and with the calls that failed, end at a bound, and are drawn from the mixer's own seed.

use crate::api::Millis;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// The shortest mean wait, and what each mixer of the fleet adds to it: together they begin with a hundred calls a
/// second at most.
const LEAST: Millis = 100.0;
const EACH: Millis = 10.0;
/// Each failed call in a row doubles the wait, up to this many times the first one: what discovery has to tell is
/// needed within seconds.
const MOST: f64 = 4.0;
/// Against a number of mixers that is no fleet: no mean wait is longer.
const LONGEST: Millis = 10_000.0;

/// The pace of one mixer's calls.
#[derive(Debug)]
pub struct Pace {
    draw: Pcg64Mcg,
    first: Millis,
    failed: u32,
}

impl Pace {
    /// For one of so many mixers.
    pub fn new(seed: u64, mixers: u32) -> Self {
        let first = (EACH * f64::from(mixers)).clamp(LEAST, LONGEST);
        // The seed's other uses must not be echoed here.
        Pace { draw: Pcg64Mcg::seed_from_u64(seed.rotate_left(17)), first, failed: 0 }
    }

    /// The wait before the first call after the start, when many mixers may be starting.
    pub fn begin(&mut self) -> Millis {
        let most = if self.first > LEAST { self.first } else { 0.0 };
        self.uniform() * most
    }

    /// The wait after a call or a watch that has ended; `told` if it had brought anything.
    pub fn again(&mut self, told: bool) -> Millis {
        self.failed = if told { 0 } else { self.failed.saturating_add(1) };
        let times = 2f64.powi(self.failed.min(16) as i32).min(MOST);
        let mean = (self.first * times).min(LONGEST);
        mean * (0.5 + self.uniform())
    }

    fn uniform(&mut self) -> f64 {
        (self.draw.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
