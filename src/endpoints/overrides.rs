//! Operators' overrides of the state of endpoints. An override takes precedence over all sources while it is stored.

use super::{Endpoint, EndpointState, Millis};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One override. Times are Unix times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Override {
    /// True if the endpoint is out of service, false if it was returned to service.
    pub active: bool,
    /// Time at which the operator issued the override.
    pub given_at: Millis,
    /// Time at which the endpoint was last taken out of service; equal to `given_at` while active.
    pub active_since: Millis,
}

impl Override {
    /// Whether this override takes precedence over another one of the same subject: the later one does; of two issued
    /// at the same time, the active one.
    pub fn supersedes(&self, other: &Override) -> bool {
        self.precedence(other) == Some(Ordering::Greater)
    }

    fn precedence(&self, other: &Override) -> Option<Ordering> {
        // The earlier `active_since` breaks the last tie, so that merging does not depend on the order.
        let key = |record: &Override| (record.given_at, record.active, -record.active_since);
        key(self).partial_cmp(&key(other))
    }

    /// Applies the override to an endpoint. While the override is active, the endpoint is draining. Afterwards, it is
    /// treated as restarted while it was out of service: its start time is the one that its source provides if that
    /// is later than `active_since`, and otherwise the time at which it was returned to service.
    pub fn apply_to(&self, endpoint: &mut Endpoint) {
        if self.active {
            if endpoint.state == EndpointState::Ready {
                endpoint.state = EndpointState::Draining;
            }
        } else if endpoint.started_at_unix <= self.active_since {
            endpoint.started_at_unix = self.given_at;
        }
    }
}

/// The overrides of all endpoints, by endpoint name.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointOverrides {
    by_name: BTreeMap<Arc<str>, Override>,
}

/// An endpoint whose override has changed.
pub(super) struct OverrideChange {
    pub name: Arc<str>,
    pub was_active: bool,
    pub is_active: bool,
}

impl EndpointOverrides {
    /// Replaces all overrides; returns the changes, ordered by name.
    pub fn replace(&mut self, overrides: BTreeMap<Arc<str>, Override>) -> Vec<OverrideChange> {
        let previous = std::mem::replace(&mut self.by_name, overrides);
        let names: BTreeSet<&Arc<str>> = previous.keys().chain(self.by_name.keys()).collect();
        let mut changes = Vec::new();
        for name in names {
            let before = previous.get(name);
            let after = self.by_name.get(name);
            if before != after {
                changes.push(OverrideChange {
                    name: name.clone(),
                    was_active: before.is_some_and(|record| record.active),
                    is_active: after.is_some_and(|record| record.active),
                });
            }
        }
        changes
    }

    /// Applies the overrides to the given endpoints.
    pub fn apply_to(&self, endpoints: &mut [Endpoint]) {
        for endpoint in endpoints {
            if let Some(record) = self.by_name.get(&endpoint.name) {
                record.apply_to(endpoint);
            }
        }
    }
}
