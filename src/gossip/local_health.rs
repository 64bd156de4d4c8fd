//! Local health (Lifeguard): a member that had to refute an update may itself be slow, so it extends its timeouts and
//! probe intervals until its probes are answered again.

use crate::clock::Millis;

/// The local health score: 0 is healthy, `max_score` the least healthy.
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

    /// Lowers the score by one, to no less than 0: a lower score is healthier.
    pub fn decrease_score(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Raises the score by one, to no more than `max_score`: a higher score is less healthy.
    pub fn increase_score(&mut self) {
        self.score = (self.score + 1).min(self.max_score);
    }

    /// Returns a timeout or interval multiplied by one plus the score.
    pub fn extended(self, duration: Millis) -> Millis {
        duration * f64::from(1 + self.score)
    }
}
