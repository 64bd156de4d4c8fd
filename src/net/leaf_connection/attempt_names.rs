//! The names under which a connection's attempts go in frames.

use crate::aggregator::AttemptId;
use std::collections::HashMap;

/// Attempts by name and back. A name is made of query and shard, so a second attempt of a part has the same one.
#[derive(Default)]
pub(super) struct AttemptNames {
    in_flight: HashMap<String, AttemptId>,
    names: HashMap<AttemptId, String>,
    /// Cancelled and not answered since; the aggregator uses a connection for a bounded number of these.
    cancelled: HashMap<String, AttemptId>,
}

impl AttemptNames {
    /// Records an attempt that is sent.
    pub fn insert(&mut self, name: String, attempt: AttemptId) {
        self.in_flight.insert(name.clone(), attempt);
        self.names.insert(attempt, name);
    }

    /// Removes an attempt that is to be cancelled; its name, unless it was answered already.
    pub fn remove_in_flight(&mut self, attempt: AttemptId) -> Option<String> {
        let name = self.names.remove(&attempt)?;
        // A later attempt of the same part may be in flight under the same name.
        if self.in_flight.get(&name) == Some(&attempt) {
            self.in_flight.remove(&name);
        }
        Some(name)
    }

    /// Records an attempt whose cancellation is sent: it may be answered all the same.
    pub fn insert_cancelled(&mut self, name: String, attempt: AttemptId) {
        self.cancelled.insert(name, attempt);
    }

    /// Removes the attempt that an answer belongs to, cancelled or not; none where nothing was asked under that name.
    pub fn remove(&mut self, name: &str) -> Option<AttemptId> {
        let attempt = self.in_flight.remove(name).or_else(|| self.cancelled.remove(name))?;
        self.names.remove(&attempt);
        Some(attempt)
    }
}
