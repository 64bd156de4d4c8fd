//! Counters of the failure detector.

/// Counters of one member's failure detector, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DetectorCounters {
    /// Probes of this member that were not answered and raised or confirmed a suspicion.
    pub suspicions: u64,
    /// Updates about this member that it refuted.
    pub refutations: u64,
    /// Members that this one declared dead when their suspicion timed out.
    pub declared_dead: u64,
    /// Messages sent.
    pub messages_sent: u64,
}
