//! Maps the names of a connection's attempts in frames to attempt IDs.

use crate::aggregator::AttemptId;
use std::collections::HashMap;

/// Maps names to attempts and back. A name consists of request ID and shard, so a retry of a part has the same name.
#[derive(Default)]
pub(super) struct AttemptNames {
    in_flight: HashMap<String, AttemptId>,
    names: HashMap<AttemptId, String>,
    /// Attempts that were cancelled and not answered since. The aggregator limits their number per connection.
    cancelled: HashMap<String, AttemptId>,
}

impl AttemptNames {
    /// Records an attempt that is being sent.
    pub fn insert(&mut self, name: String, attempt: AttemptId) {
        self.in_flight.insert(name.clone(), attempt);
        self.names.insert(attempt, name);
    }

    /// Removes an attempt that is to be cancelled and returns its name; `None` if it has already been answered.
    pub fn remove_in_flight(&mut self, attempt: AttemptId) -> Option<String> {
        let name = self.names.remove(&attempt)?;
        // A retry of the same part may be in flight under the same name.
        if self.in_flight.get(&name) == Some(&attempt) {
            self.in_flight.remove(&name);
        }
        Some(name)
    }

    /// Records an attempt whose cancellation is being sent; it may still be answered.
    pub fn insert_cancelled(&mut self, name: String, attempt: AttemptId) {
        self.cancelled.insert(name, attempt);
    }

    /// Removes and returns the attempt that an answer belongs to, cancelled or not; `None` if the name is unknown.
    pub fn remove(&mut self, name: &str) -> Option<AttemptId> {
        let attempt = self.in_flight.remove(name).or_else(|| self.cancelled.remove(name))?;
        self.names.remove(&attempt);
        Some(attempt)
    }
}
