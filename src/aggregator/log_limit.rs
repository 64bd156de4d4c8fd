//! Limits how often a condition that may hold for every part is logged.

use crate::clock::Millis;
use std::collections::BTreeMap;

/// Minimum interval between two log lines about the same shard.
const MIN_INTERVAL: Millis = 1000.0;

/// The times of the last log lines, by shard. The settings limit the number of shards.
#[derive(Default)]
pub(super) struct ShardLogLimit(BTreeMap<u32, Millis>);

impl ShardLogLimit {
    /// Whether a line about a shard may be logged now; if so, it is recorded.
    pub fn allows(&mut self, shard: u32, now: Millis) -> bool {
        if self.0.get(&shard).is_some_and(|last| now - last < MIN_INTERVAL) {
            return false;
        }
        self.0.insert(shard, now);
        true
    }
}
