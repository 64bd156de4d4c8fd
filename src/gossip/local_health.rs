//! Lifeguard's local health: a member whose own probes fail, or that others suspect, may be slow itself and allows
//! more time.

use crate::clock::Millis;

/// The local health score: 0 is healthy.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max_score: u32,
}

impl LocalHealth {
    pub fn new(max_score: u32) -> Self {
        LocalHealth { score: 0, max_score }
    }

    pub fn score(self) -> u32 {
        self.score
    }

    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(self.max_score);
    }

    /// A timeout or interval, extended by the score.
    pub fn extended(self, span: Millis) -> Millis {
        span * f64::from(1 + self.score)
    }
}
