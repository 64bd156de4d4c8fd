//! The effective endpoints, merged from all sources, with counts derived from them.

use super::layout::ReadyCounts;
use super::merge::MergedEndpoint;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The effective endpoints, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct EffectiveEndpoints {
    by_name: HashMap<Arc<str>, MergedEndpoint>,
    ready_counts: ReadyCounts,
    /// Number of endpoints at each address.
    address_counts: HashMap<Arc<str>, u32>,
}

/// Result of [`EffectiveEndpoints::replace`].
pub(super) struct Replaced {
    pub before: Option<MergedEndpoint>,
    /// The endpoint is new at its address, and another endpoint has the same address.
    pub joined_shared_address: bool,
}

impl EffectiveEndpoints {
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn get(&self, name: &str) -> Option<&MergedEndpoint> {
        self.by_name.get(name)
    }

    /// All endpoints, ordered by name.
    pub fn sorted(&self) -> BTreeMap<&Arc<str>, &MergedEndpoint> {
        self.by_name.iter().collect()
    }

    /// Numbers of ready endpoints by cell.
    pub fn ready_counts(&self) -> &ReadyCounts {
        &self.ready_counts
    }

    /// Replaces the endpoint with this name, or removes it if `after` is `None`.
    pub fn replace(&mut self, name: &Arc<str>, after: Option<MergedEndpoint>) -> Replaced {
        let before = self.by_name.remove(name);
        if let Some(before) = &before {
            self.ready_counts.remove(&before.endpoint);
            self.leave_address(&before.endpoint.address);
        }
        let mut joined_shared_address = false;
        if let Some(after) = after {
            self.ready_counts.add(&after.endpoint);
            let endpoints_at_address = self.join_address(&after.endpoint.address);
            let address_changed =
                before.as_ref().is_none_or(|merged| merged.endpoint.address != after.endpoint.address);
            joined_shared_address = endpoints_at_address > 1 && address_changed;
            self.by_name.insert(name.clone(), after);
        }
        Replaced { before, joined_shared_address }
    }

    /// Counts an endpoint at an address; returns the new number of endpoints there.
    fn join_address(&mut self, address: &Arc<str>) -> u32 {
        let count = self.address_counts.entry(address.clone()).or_default();
        *count += 1;
        *count
    }

    fn leave_address(&mut self, address: &Arc<str>) {
        let Some(count) = self.address_counts.get_mut(address) else { return };
        *count -= 1;
        if *count == 0 {
            self.address_counts.remove(address);
        }
    }
}
