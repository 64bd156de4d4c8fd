//! The endpoints in force, as merged from all sources, with counts derived from them.

use super::layout::Holders;
use super::merge::MergedEndpoint;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The endpoints in force, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct EffectiveEndpoints {
    by_name: HashMap<Arc<str>, MergedEndpoint>,
    holders: Holders,
    /// Number of endpoints at each address.
    address_counts: HashMap<Arc<str>, u32>,
}

/// What [`EffectiveEndpoints::replace`] has replaced.
pub(super) struct Replaced {
    pub before: Option<MergedEndpoint>,
    /// The endpoint came to an address that another endpoint has too.
    pub joined_shared_address: bool,
}

impl EffectiveEndpoints {
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn get(&self, name: &str) -> Option<&MergedEndpoint> {
        self.by_name.get(name)
    }

    /// All endpoints, in order of names.
    pub fn sorted(&self) -> BTreeMap<&Arc<str>, &MergedEndpoint> {
        self.by_name.iter().collect()
    }

    /// Ready endpoints by cell.
    pub fn holders(&self) -> &Holders {
        &self.holders
    }

    /// Replaces the endpoint of a name, or removes it if there is none any more.
    pub fn replace(&mut self, name: &Arc<str>, after: Option<MergedEndpoint>) -> Replaced {
        let before = self.by_name.remove(name);
        if let Some(before) = &before {
            self.holders.remove(&before.endpoint);
            self.leave_address(&before.endpoint.address);
        }
        let mut joined_shared_address = false;
        if let Some(after) = after {
            self.holders.add(&after.endpoint);
            let endpoints_at_address = self.join_address(&after.endpoint.address);
            let address_changed =
                before.as_ref().is_none_or(|b| b.endpoint.address != after.endpoint.address);
            joined_shared_address = endpoints_at_address > 1 && address_changed;
            self.by_name.insert(name.clone(), after);
        }
        Replaced { before, joined_shared_address }
    }

    /// Counts an endpoint at an address; returns how many there are now.
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
