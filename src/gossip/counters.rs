//! Counters of the failure detector.

/// Counters of one member's failure detector since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DetectorCounters {
    /// Probes sent by this member that were not answered and so started or confirmed a suspicion.
    pub suspicions: u64,
    /// Updates about this member that it has refuted.
    pub refutations: u64,
    /// Members that this member has declared dead because a suspicion timed out.
    pub declared_dead: u64,
    /// Messages sent to other members, of all kinds.
    pub messages_sent: u64,
}
