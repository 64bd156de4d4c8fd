//! The balancer's random source, seeded so that a run can be repeated.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Uniform random numbers by a fixed algorithm.
pub(super) struct RandomSource(Pcg64Mcg);

impl RandomSource {
    pub fn new(seed: u64) -> Self {
        RandomSource(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number in `0.0..1.0`.
    pub fn unit_interval(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number in `0..bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.0.next_u64()) * bound as u128) >> 64) as usize
    }

    /// A number in `0..bound` other than `first`, or `first` if there is no other.
    pub fn other_than(&mut self, first: usize, bound: usize) -> usize {
        if bound < 2 {
            return first;
        }
        (first + 1 + self.below(bound - 1)) % bound
    }
}
