//! Suspicions that have not timed out. Each confirmation by another member shortens the timeout (Lifeguard).

use super::member::{MemberId, MemberStatus, MemberUpdate};
use super::settings::DetectorSettings;
use crate::clock::Millis;
use std::collections::{BTreeSet, HashMap};

#[derive(Debug)]
struct Suspicion {
    started_at: Millis,
    incarnation: u64,
    /// Members that have reported it, including the first.
    reporters: BTreeSet<MemberId>,
}

/// A suspicion that has timed out.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpiredSuspicion {
    pub member: MemberId,
    pub incarnation: u64,
}

/// The current suspicions, by suspected member.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    by_member: HashMap<MemberId, Suspicion>,
}

impl Suspicions {
    /// Follows an update that the table has applied: a suspicion starts a new timeout, any other status ends the
    /// suspicion of that member.
    pub fn on_applied(&mut self, now: Millis, update: &MemberUpdate) {
        if update.status != MemberStatus::Suspect {
            self.by_member.remove(&update.id);
            return;
        }
        let reporters = BTreeSet::from([update.reporter]);
        let suspicion = Suspicion { started_at: now, incarnation: update.incarnation, reporters };
        self.by_member.insert(update.id, suspicion);
    }

    /// Handles an update that the table already had; returns whether it confirms a suspicion by a new reporter.
    /// Confirmations beyond `max_confirmations` are ignored.
    pub fn confirm(&mut self, update: &MemberUpdate, max_confirmations: usize) -> bool {
        if update.status != MemberStatus::Suspect {
            return false;
        }
        let Some(suspicion) = self.by_member.get_mut(&update.id) else { return false };
        suspicion.incarnation == update.incarnation
            && suspicion.reporters.len() <= max_confirmations
            && suspicion.reporters.insert(update.reporter)
    }

    /// Removes and returns the suspicions that have timed out. The timeout depends on the number of live members.
    pub fn take_expired(
        &mut self,
        now: Millis,
        settings: &DetectorSettings,
        live_members: usize,
    ) -> Vec<ExpiredSuspicion> {
        let mut expired = Vec::new();
        self.by_member.retain(|member, suspicion| {
            let timeout = suspicion_timeout(settings, live_members, suspicion.reporters.len());
            let is_expired = now - suspicion.started_at >= timeout;
            if is_expired {
                expired.push(ExpiredSuspicion { member: *member, incarnation: suspicion.incarnation });
            }
            !is_expired
        });
        expired
    }
}

/// Returns the suspicion timeout, which falls from the longest to the shortest with the logarithm of the number of
/// reporters.
fn suspicion_timeout(settings: &DetectorSettings, live_members: usize, reporters: usize) -> Millis {
    let members = live_members.max(1) as f64;
    let shortest = settings.min_suspicion_factor * members.log10().max(1.0) * settings.probe_interval;
    let longest = settings.max_suspicion_factor * shortest;
    let expected_reporters = settings.indirect_probes.min(live_members.saturating_sub(2)).max(1) as f64;
    let reduction = (reporters as f64 + 1.0).ln() / (expected_reporters + 1.0).ln();
    (longest - (longest - shortest) * reduction.min(1.0)).max(shortest)
}
