//! Sibling processes: other processes of the same aggregator, which run during a hot restart.

use super::Effect;
use super::reduce::Reduction;

/// The state of the other processes of this aggregator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Siblings {
    /// Number of other processes that are running.
    pub others: usize,
    /// Whether at least one of them has reported that it is ready.
    pub any_ready: bool,
}

impl Reduction<'_> {
    pub(super) fn siblings_changed(&mut self, siblings: Siblings) {
        self.state.siblings = siblings;
        self.divide_limits();
    }

    /// Divides the limits on open connections among the processes of this aggregator.
    pub(super) fn divide_limits(&mut self) {
        let processes = 1 + self.state.siblings.others;
        self.state.limits = self.state.undivided_limits.divided_among(processes);
        self.effects.push(Effect::SetLimits(self.state.limits));
        self.close_excess_gateways();
    }
}
