//! The balancer's random number generator, seeded so that runs are reproducible.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A generator of uniform random numbers with a fixed algorithm.
pub(super) struct RandomSource(Pcg64Mcg);

impl RandomSource {
    pub fn new(seed: u64) -> Self {
        RandomSource(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a number in `0.0..1.0`.
    pub fn unit_interval(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number in `0..bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.0.next_u64()) * bound as u128) >> 64) as usize
    }

    /// Returns a number in `0..bound` other than `first`, or `first` if there is no other.
    pub fn other_than(&mut self, first: usize, bound: usize) -> usize {
        if bound < 2 {
            return first;
        }
        (first + 1 + self.below(bound - 1)) % bound
    }
}
