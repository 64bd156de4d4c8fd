//! Discovery as an endpoint source, including the initial list and the names that discovery has removed.

use super::merge::SourceEntry;
use super::{Endpoint, EndpointList, EndpointState, SourceId};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

/// Maximum number of removed names that are kept; the oldest are dropped first.
const MAX_REMOVED_NAMES: usize = 50_000;

#[derive(Clone, Debug)]
struct DiscoveredEndpoint {
    /// [`SourceId::InitialList`] until discovery lists the endpoint itself.
    source: SourceId,
    endpoint: Endpoint,
}

/// The endpoints listed by discovery or by the initial list.
#[derive(Clone, Debug, Default)]
pub(super) struct DiscoverySource {
    endpoints: HashMap<Arc<str>, DiscoveredEndpoint>,
    removed: RemovedNames,
}

impl DiscoverySource {
    /// Adds the endpoints of the initial list.
    pub fn add_initial_list(&mut self, endpoints: Vec<Endpoint>) {
        for endpoint in endpoints {
            let discovered = DiscoveredEndpoint { source: SourceId::InitialList, endpoint };
            self.endpoints.insert(discovered.endpoint.name.clone(), discovered);
        }
    }

    /// The names of all endpoints.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.endpoints.keys()
    }

    /// Applies a list from discovery; returns the names whose endpoints may change. With `track_removed`, the removed
    /// names are kept, which is needed if a file may still list them.
    pub fn update(&mut self, list: &EndpointList, track_removed: bool) -> BTreeSet<Arc<str>> {
        let mut names: BTreeSet<Arc<str>> = list.entries.iter().map(|entry| entry.name.clone()).collect();
        if list.complete {
            let missing: Vec<Arc<str>> =
                self.names().filter(|name| !names.contains(*name)).cloned().collect();
            for name in missing {
                self.remove(&name, track_removed);
                names.insert(name);
            }
        }
        for entry in &list.entries {
            if entry.state == EndpointState::Gone {
                self.remove(&entry.name, track_removed);
            } else {
                self.removed.discard(&entry.name);
                let listed = DiscoveredEndpoint { source: SourceId::Discovery, endpoint: entry.clone() };
                self.endpoints.insert(entry.name.clone(), listed);
            }
        }
        names
    }

    fn remove(&mut self, name: &Arc<str>, track_removed: bool) {
        self.endpoints.remove(name);
        if track_removed {
            self.removed.insert(name);
        }
    }

    /// Whether discovery has removed an endpoint and not listed it again.
    pub fn has_removed(&self, name: &str) -> bool {
        self.removed.contains(name)
    }

    /// The entry of discovery or of the initial list for an endpoint name.
    pub fn entry(&self, name: &str) -> Option<SourceEntry<'_>> {
        let discovered = self.endpoints.get(name)?;
        Some(SourceEntry::Endpoint { source: discovered.source, endpoint: &discovered.endpoint })
    }
}

/// A bounded set of removed names, which drops the oldest names first.
#[derive(Clone, Debug, Default)]
struct RemovedNames {
    names: HashSet<Arc<str>>,
    /// Names in the order of removal. A name that was listed again is not removed here until it is the oldest.
    order: VecDeque<Arc<str>>,
}

impl RemovedNames {
    fn insert(&mut self, name: &Arc<str>) {
        if !self.names.insert(name.clone()) {
            return;
        }
        self.order.push_back(name.clone());
        while self.order.len() > MAX_REMOVED_NAMES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.names.remove(&oldest);
        }
    }

    fn discard(&mut self, name: &str) {
        self.names.remove(name);
    }

    fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}
