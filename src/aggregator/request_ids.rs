//! The request ids that no query may use now: those of queries in flight, and those of queries that may have run. A client
//! gives every request a fresh id, so that an id that comes again would run a query twice.

use crate::clock::Millis;
use crate::hot_restart::request_id_fingerprint;
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::sync::Arc;

/// Time for which the id of a query that may have run is remembered.
const RETENTION: Millis = 60_000.0;
/// Maximum number of remembered ids; the oldest are forgotten first.
const MAX_REMEMBERED: usize = 32_768;

/// The request ids that the processes of one aggregator share. Implemented by the I/O layer.
pub trait SharedRequestIds {
    /// Claims an id for this process; `false` if it has been claimed and not been released.
    fn claim(&mut self, fingerprint: u64) -> bool;
    /// Releases an id of which nothing was sent to a leaf server.
    fn release(&mut self, fingerprint: u64);
}

/// The ids in use in this process, and those shared with its siblings.
#[derive(Default)]
pub(super) struct RequestIds {
    in_flight: BTreeSet<Arc<str>>,
    remembered: RememberedIds,
    /// `None` if there are no sibling processes to share with.
    pub shared: Option<Box<dyn SharedRequestIds>>,
}

impl RequestIds {
    /// Claims an id for a new query; `false` if a query that is in flight or may have run has it.
    pub fn claim(&mut self, id: &Arc<str>, now: Millis) -> bool {
        self.remembered.forget_before(now - RETENTION);
        let fingerprint = request_id_fingerprint(id);
        if self.in_flight.contains(id) || self.remembered.contains(fingerprint) {
            return false;
        }
        if !self.shared.as_mut().is_none_or(|shared| shared.claim(fingerprint)) {
            return false;
        }
        self.in_flight.insert(id.clone());
        true
    }

    /// Ends the use of an id by a query in flight. `was_sent`: the query may have run, so the id must not be used again.
    pub fn release(&mut self, id: &Arc<str>, was_sent: bool, now: Millis) {
        if !self.in_flight.remove(id) {
            return;
        }
        let fingerprint = request_id_fingerprint(id);
        if was_sent {
            self.remembered.insert(fingerprint, now);
        } else if let Some(shared) = &mut self.shared {
            shared.release(fingerprint);
        }
    }
}

/// Fingerprints of ids, which take less memory than the ids.
#[derive(Default)]
struct RememberedIds {
    fingerprints: HashSet<u64>,
    /// In the order in which the queries ended.
    ended: VecDeque<(Millis, u64)>,
}

impl RememberedIds {
    fn contains(&self, fingerprint: u64) -> bool {
        self.fingerprints.contains(&fingerprint)
    }

    fn insert(&mut self, fingerprint: u64, now: Millis) {
        if !self.fingerprints.insert(fingerprint) {
            return;
        }
        self.ended.push_back((now, fingerprint));
        if self.ended.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_before(&mut self, time: Millis) {
        while self.ended.front().is_some_and(|(ended_at, _)| *ended_at < time) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, oldest)) = self.ended.pop_front() {
            self.fingerprints.remove(&oldest);
        }
    }
}
