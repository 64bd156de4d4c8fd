//! Probe state: the order of targets, the probe in flight, and probes relayed for other members.

use super::member::MemberId;
use super::table::MemberTable;
use crate::clock::Millis;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;
use std::collections::HashMap;

/// The probe in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub target: MemberId,
    pub sequence: u64,
    pub sent_at: Millis,
    pub acknowledged: bool,
    /// Whether other members have been asked to probe the target.
    pub indirect: bool,
}

/// A probe sent on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
    pub requester: MemberId,
    /// The requester's own sequence number.
    pub requester_sequence: u64,
    sent_at: Millis,
}

/// State of the probes that the local member sends.
#[derive(Debug)]
pub(super) struct Probing {
    pub in_flight: Option<Probe>,
    pub next_probe_at: Millis,
    last_sequence: u64,
    /// Targets left to probe in the current round, in reverse order.
    remaining_targets: Vec<MemberId>,
    /// Relayed probes by their own sequence number.
    relayed: HashMap<u64, RelayedProbe>,
}

impl Probing {
    pub fn new(next_probe_at: Millis) -> Self {
        Probing {
            in_flight: None,
            next_probe_at,
            last_sequence: 0,
            remaining_targets: Vec::new(),
            relayed: HashMap::new(),
        }
    }

    /// Starts a probe; returns its sequence number.
    pub fn start(&mut self, now: Millis, target: MemberId) -> u64 {
        let sequence = self.next_sequence();
        self.in_flight = Some(Probe { target, sequence, sent_at: now, acknowledged: false, indirect: false });
        sequence
    }

    /// Starts a probe on behalf of another member; returns its sequence number.
    pub fn start_relayed(&mut self, now: Millis, requester: MemberId, requester_sequence: u64) -> u64 {
        let sequence = self.next_sequence();
        self.relayed.insert(sequence, RelayedProbe { requester, requester_sequence, sent_at: now });
        sequence
    }

    /// Marks the probe in flight as indirect.
    pub fn mark_indirect(&mut self) {
        if let Some(probe) = &mut self.in_flight {
            probe.indirect = true;
        }
    }

    /// Records a response; returns whether it is the first response to the probe in flight.
    pub fn acknowledge(&mut self, sequence: u64) -> bool {
        match &mut self.in_flight {
            Some(probe) if probe.sequence == sequence && !probe.acknowledged => {
                probe.acknowledged = true;
                true
            }
            _ => false,
        }
    }

    /// Removes and returns the relayed probe with this sequence number, if there is one.
    pub fn take_relayed(&mut self, sequence: u64) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// Removes relayed probes that have not been answered within `timeout`.
    pub fn expire_relayed(&mut self, now: Millis, timeout: Millis) {
        self.relayed.retain(|_, probe| now - probe.sent_at < timeout);
    }

    /// Returns the next member to probe: round-robin over the live members, in a new random order in each round (SWIM).
    /// `None` if there is no other live member.
    pub fn next_target(&mut self, table: &MemberTable, random: &mut Pcg64Mcg) -> Option<MemberId> {
        loop {
            while let Some(id) = self.remaining_targets.pop() {
                if table.update(id).is_some_and(|update| update.status.is_live()) {
                    return Some(id);
                }
            }
            let mut ids: Vec<MemberId> = table.live_peers().map(|update| update.id).collect();
            if ids.is_empty() {
                return None;
            }
            ids.sort();
            shuffle(&mut ids, random);
            self.remaining_targets = ids;
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}

/// Shuffles the items (Fisher-Yates).
pub(super) fn shuffle<T>(items: &mut [T], random: &mut Pcg64Mcg) {
    for last in (1..items.len()).rev() {
        items.swap(last, random_index(last + 1, random));
    }
}

/// Returns a random index below `length`, which must not be 0.
pub(super) fn random_index(length: usize, random: &mut Pcg64Mcg) -> usize {
    (random.next_u64() % length as u64) as usize
}

/// Returns a random number, uniform in 0..1.
pub(super) fn uniform(random: &mut Pcg64Mcg) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
