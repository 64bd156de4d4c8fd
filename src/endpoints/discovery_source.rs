//! Discovery as a source, with the list known at the start, and the names that discovery removed.

use super::merge::Statement;
use super::{Endpoint, EndpointList, EndpointState, SourceId};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

/// Most removed names that are remembered; the oldest are forgotten first.
const MAX_REMOVED_NAMES: usize = 50_000;

#[derive(Clone, Debug)]
struct DiscoveredEndpoint {
    /// [`SourceId::InitialList`] until discovery lists the endpoint itself.
    source: SourceId,
    endpoint: Endpoint,
}

/// The endpoints that discovery or the list known at the start names.
#[derive(Clone, Debug, Default)]
pub(super) struct DiscoverySource {
    endpoints: HashMap<Arc<str>, DiscoveredEndpoint>,
    removed: RemovedNames,
}

impl DiscoverySource {
    /// Adds the endpoints of the list known at the start.
    pub fn add_initial_list(&mut self, endpoints: Vec<Endpoint>) {
        for endpoint in endpoints {
            let known = DiscoveredEndpoint { source: SourceId::InitialList, endpoint };
            self.endpoints.insert(known.endpoint.name.clone(), known);
        }
    }

    /// The names of all endpoints.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.endpoints.keys()
    }

    /// Takes a list from discovery; returns the names whose endpoints may change. Names that it removes are remembered
    /// if `remember_removed`, which is needed where a file may still name them.
    pub fn update(&mut self, list: &EndpointList, remember_removed: bool) -> BTreeSet<Arc<str>> {
        let mut names: BTreeSet<Arc<str>> = list.entries.iter().map(|entry| entry.name.clone()).collect();
        if list.complete {
            let missing: Vec<Arc<str>> =
                self.names().filter(|name| !names.contains(*name)).cloned().collect();
            for name in missing {
                self.remove(&name, remember_removed);
                names.insert(name);
            }
        }
        for entry in &list.entries {
            if entry.state == EndpointState::Gone {
                self.remove(&entry.name, remember_removed);
            } else {
                self.removed.forget(&entry.name);
                let listed = DiscoveredEndpoint { source: SourceId::Discovery, endpoint: entry.clone() };
                self.endpoints.insert(entry.name.clone(), listed);
            }
        }
        names
    }

    fn remove(&mut self, name: &Arc<str>, remember: bool) {
        self.endpoints.remove(name);
        if remember {
            self.removed.remember(name);
        }
    }

    /// Whether discovery removed an endpoint and has not listed it since.
    pub fn has_removed(&self, name: &str) -> bool {
        self.removed.contains(name)
    }

    /// What discovery, or the list known at the start, states about an endpoint.
    pub fn statement(&self, name: &str) -> Option<Statement<'_>> {
        let discovered = self.endpoints.get(name)?;
        Some(Statement::Entry { source: discovered.source, endpoint: &discovered.endpoint })
    }
}

/// A bounded set of names, oldest first.
#[derive(Clone, Debug, Default)]
struct RemovedNames {
    names: HashSet<Arc<str>>,
    /// In the order of removal. A name that was listed again stays here until it is the oldest.
    order: VecDeque<Arc<str>>,
}

impl RemovedNames {
    fn remember(&mut self, name: &Arc<str>) {
        if !self.names.insert(name.clone()) {
            return;
        }
        self.order.push_back(name.clone());
        while self.order.len() > MAX_REMOVED_NAMES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.names.remove(&oldest);
        }
    }

    fn forget(&mut self, name: &str) {
        self.names.remove(name);
    }

    fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}
