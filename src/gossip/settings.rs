//! Settings of the failure detector.

use super::table::MemberTableSettings;
use crate::clock::Millis;

/// Settings of the failure detector. The defaults are the values published for SWIM and Lifeguard on a local network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectorSettings {
    /// Bounds of the member table.
    pub table: MemberTableSettings,
    /// Time between two probes; each interval probes one member (SWIM's T').
    pub probe_interval: Millis,
    /// Time to wait for the response to a direct probe before the target is probed through other members.
    pub ack_timeout: Millis,
    /// Number of members that are asked to probe a target indirectly (SWIM's k).
    pub indirect_probes: usize,
    /// Shortest suspicion timeout, in probe intervals times log10 of the number of members (Lifeguard's alpha).
    pub min_suspicion_factor: f64,
    /// Longest suspicion timeout, as a multiple of the shortest (Lifeguard's beta).
    pub max_suspicion_factor: f64,
    /// Maximum local health score (Lifeguard's S).
    pub max_local_health: u32,
    /// Maximum number of updates piggybacked on a message.
    pub max_piggybacked_updates: usize,
    /// Number of times each update is sent, as a multiple of log10 of the number of members (SWIM's lambda).
    pub retransmit_factor: u32,
    /// Mean number of probe intervals between full exchanges of the table with a random member (anti-entropy); 0 disables
    /// them.
    pub sync_interval_factor: u32,
    /// Maximum number of members in one message of a full exchange.
    pub max_sync_members: usize,
}

impl Default for DetectorSettings {
    fn default() -> Self {
        DetectorSettings {
            table: MemberTableSettings { max_members: 1024, dead_retention: 60_000.0 },
            probe_interval: 1000.0,
            ack_timeout: 500.0,
            indirect_probes: 3,
            min_suspicion_factor: 4.0,
            max_suspicion_factor: 6.0,
            max_local_health: 8,
            max_piggybacked_updates: 8,
            retransmit_factor: 4,
            sync_interval_factor: 30,
            max_sync_members: 16,
        }
    }
}
