//! Settings of the failure detector.

use super::table::MemberTableSettings;
use crate::clock::Millis;

/// Settings of the failure detector. The defaults are those that SWIM and Lifeguard publish for a local network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectorSettings {
    /// Bounds of the member table.
    pub table: MemberTableSettings,
    /// One member is probed in each interval (SWIM's T').
    pub probe_interval: Millis,
    /// After this time without an answer a member is probed through others.
    pub ack_timeout: Millis,
    /// Number of members asked for an indirect probe (SWIM's k).
    pub indirect_probes: usize,
    /// Shortest suspicion timeout, in probe intervals times log10 of the number of members (Lifeguard's alpha).
    pub min_suspicion_factor: f64,
    /// Longest suspicion timeout, as a multiple of the shortest (Lifeguard's beta).
    pub max_suspicion_factor: f64,
    /// Upper limit of the local health score (Lifeguard's S).
    pub max_local_health: u32,
    /// Most updates that are piggybacked on a message.
    pub max_piggybacked_updates: usize,
    /// Each update is sent this many times log10 of the number of members (SWIM's lambda).
    pub retransmit_factor: u32,
    /// A full exchange of the table with a random member takes place once in this many probe intervals (anti-entropy);
    /// 0: never.
    pub sync_interval_factor: u32,
    /// Most members in one message of a full exchange.
    pub max_sync_members: usize,
}

impl Default for DetectorSettings {
    fn default() -> Self {
        DetectorSettings {
            table: MemberTableSettings { max_members: 1024, forget_after: 60_000.0 },
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
