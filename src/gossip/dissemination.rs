//! The queue of updates that are piggybacked on messages, each a limited number of times.

use super::member::{MemberId, MemberUpdate};

#[derive(Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    times_sent: u32,
}

/// Updates to disseminate, at most one per member.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    queue: Vec<QueuedUpdate>,
}

impl UpdateQueue {
    /// Adds an update; replaces a queued one about the same member.
    pub fn push(&mut self, update: MemberUpdate) {
        self.remove(update.id);
        self.queue.push(QueuedUpdate { update, times_sent: 0 });
    }

    /// Returns the updates for the next message: those sent the fewest times, at most `max_updates`. An update that has
    /// been sent `max_times_sent` times is removed from the queue.
    pub fn next_batch(&mut self, max_updates: usize, max_times_sent: u32) -> Vec<MemberUpdate> {
        self.queue.sort_by_key(|queued| queued.times_sent);
        let mut batch = Vec::new();
        for queued in self.queue.iter_mut().take(max_updates) {
            queued.times_sent += 1;
            batch.push(queued.update.clone());
        }
        self.queue.retain(|queued| queued.times_sent < max_times_sent);
        batch
    }

    fn remove(&mut self, member: MemberId) {
        self.queue.retain(|queued| queued.update.id != member);
    }
}
