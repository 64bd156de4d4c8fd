//! Operators' overrides of the state of endpoints. An override takes precedence over what every source states, for
//! as long as it is kept.

use super::{Endpoint, EndpointState, Millis};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One override. Times are Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Override {
    /// True: the endpoint is taken out of service. False: it was put back.
    pub active: bool,
    /// When the operator gave it.
    pub given_at: Millis,
    /// When the endpoint was last taken out of service; equal to `given_at` while active.
    pub active_since: Millis,
}

impl Override {
    /// Whether it takes precedence over another override of the same subject: the later one does; of two given at the
    /// same time, the active one.
    pub fn supersedes(&self, other: &Override) -> bool {
        self.precedence(other) == Some(Ordering::Greater)
    }

    fn precedence(&self, other: &Override) -> Option<Ordering> {
        // The earlier `since` breaks the last tie, so that merging does not depend on the order.
        let key = |record: &Override| (record.given_at, record.active, -record.active_since);
        key(self).partial_cmp(&key(other))
    }

    /// Changes an endpoint to what it is under this override. While active, the endpoint is draining. After that, it
    /// counts as restarted while it was out of service: at the start time that its source states if that is later
    /// than `since`, else when it was put back.
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
    /// Replaces all overrides; returns what changed, in order of names.
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

    /// Applies the overrides to endpoints.
    pub fn apply_to(&self, endpoints: &mut [Endpoint]) {
        for endpoint in endpoints {
            if let Some(record) = self.by_name.get(&endpoint.name) {
                record.apply_to(endpoint);
            }
        }
    }
}
