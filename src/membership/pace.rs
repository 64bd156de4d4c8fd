//! When a mixer asks discovery anew. One mixer that asks ten times a second is no load; a hundred that lost their watch
//! in the same moment keep an overbooked discovery from ever answering one of them. So the waits after failed calls
//! grow with the number of mixers and with the calls that failed, and are drawn from the mixer's own seed.
//!
//! A mixer that does not ask is not spared what it would have been told: nothing new may go to a draining node 1 s
//! after it was told, and what discovery has counts as told 6 s later at the latest, asked or not (PROTOCOL). So no
//! wait is long against those two bounds: the first call after a start and the call after a watch that told
//! something come within a fraction of the first; the calls after failures, within a fraction of the second.

use crate::decide::api::Millis;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// The shortest mean wait after a failed call, and what each mixer of the fleet adds to it: together they begin with a
/// hundred calls a second at most.
const LEAST: Millis = 100.0;
const EACH: Millis = 10.0;
/// Each failed call in a row doubles the wait, up to this many times the first one.
const MOST: f64 = 4.0;
/// How long after it was told a draining node may still be sent something new.
const DRAIN: Millis = 1000.0;
/// What discovery has counts as told this long after at the latest, whether it was asked or not.
const TOLD_BY: Millis = 6000.0;
/// A mixer that has just started, or whose watch has just ended after it told something, is blind until it asks: it
/// asks within a tenth of the drain's bound, spread over that time by its seed.
const SOON: Millis = DRAIN / 10.0;
/// After failed calls no wait is longer than a third of the time by which a change counts as told: three calls at the
/// least within it.
const LONGEST: Millis = TOLD_BY / 3.0;

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
        let first = (EACH * f64::from(mixers)).max(LEAST);
        // The seed's other uses must not be echoed here.
        Pace { draw: Pcg64Mcg::seed_from_u64(seed.rotate_left(17)), first, failed: 0 }
    }

    /// The wait before the first call after the start, when many mixers may be starting: spread, and short, since the
    /// list known at the start may be old.
    pub fn begin(&mut self) -> Millis {
        let most = if self.first > LEAST { SOON } else { 0.0 };
        self.uniform() * most
    }

    /// The wait after a call or a watch that has ended; `told` if it had brought anything.
    pub fn again(&mut self, told: bool) -> Millis {
        self.failed = if told { 0 } else { self.failed.saturating_add(1) };
        if told {
            return self.uniform() * SOON;
        }
        let times = 2f64.powi(self.failed.min(16) as i32).min(MOST);
        let mean = (self.first * times).min(LONGEST / 1.5);
        mean * (0.5 + self.uniform())
    }

    fn uniform(&mut self) -> f64 {
        (self.draw.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
