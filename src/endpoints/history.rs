//! The most recent versions of the effective endpoint list, stored as changes, and the changes between any two of
//! them.

use super::{Endpoint, EndpointState, Millis, SourceId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum number of versions kept.
const MAX_VERSIONS: usize = 64;
/// Maximum number of changes kept over all versions; bounds memory use where large lists are replaced often.
const MAX_CHANGES: usize = 10_000;

/// The difference of one endpoint between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The endpoint in the older version; `None` if it was absent.
    pub before: Option<Endpoint>,
    /// The endpoint in the newer version; `None` if it is absent.
    pub after: Option<Endpoint>,
}

/// A version of the effective endpoint list.
#[derive(Clone, Debug)]
pub struct Version {
    /// Version number, counted from 1.
    pub number: u64,
    /// Time at which the version took effect.
    pub at: Millis,
    /// The source whose list caused it.
    pub source: SourceId,
    /// Number of endpoints in this version.
    pub endpoint_count: usize,
    /// Changes from the previous version, by endpoint name.
    pub changes: BTreeMap<Arc<str>, Change>,
}

/// Numbers of changed endpoints, by kind of change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Added endpoints.
    pub added: usize,
    /// Removed endpoints.
    pub removed: usize,
    /// Endpoints that started draining.
    pub started_draining: usize,
    /// Endpoints that stopped draining.
    pub stopped_draining: usize,
    /// Endpoints whose other fields changed.
    pub changed: usize,
}

impl Difference {
    /// Counts the given changes by kind.
    pub fn of<'a>(changes: impl IntoIterator<Item = &'a Change>) -> Self {
        let mut difference = Difference::default();
        for change in changes {
            difference.count(change);
        }
        difference
    }

    /// Whether all counts are 0.
    pub fn is_empty(&self) -> bool {
        *self == Difference::default()
    }

    fn count(&mut self, change: &Change) {
        let is_draining = |endpoint: &Endpoint| endpoint.state == EndpointState::Draining;
        match (&change.before, &change.after) {
            (None, Some(_)) => self.added += 1,
            (Some(_), None) => self.removed += 1,
            (Some(before), Some(after)) if !is_draining(before) && is_draining(after) => {
                self.started_draining += 1;
            }
            (Some(before), Some(after)) if is_draining(before) && !is_draining(after) => {
                self.stopped_draining += 1;
            }
            _ => self.changed += 1,
        }
    }
}

/// The most recent versions, oldest first. Drops the oldest versions to stay within its bounds.
#[derive(Clone, Debug, Default)]
pub struct History {
    versions: VecDeque<Version>,
    /// Number of changes in all of `versions`.
    total_changes: usize,
}

impl History {
    /// Adds a version. The latest version is kept regardless of its size.
    pub(super) fn push(&mut self, version: Version) {
        self.total_changes += version.changes.len();
        self.versions.push_back(version);
        while self.exceeds_bounds() {
            let Some(oldest) = self.versions.pop_front() else { return };
            self.total_changes -= oldest.changes.len();
        }
    }

    fn exceeds_bounds(&self) -> bool {
        let too_many_versions = self.versions.len() > MAX_VERSIONS;
        let too_many_changes = self.total_changes > MAX_CHANGES && self.versions.len() > 1;
        too_many_versions || too_many_changes
    }

    /// The stored versions, oldest first.
    pub fn versions(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }

    /// The changes from version `from` to version `to`, by endpoint name; `None` if `from` is later than
    /// `to`, `to` does not exist, or a version between them has been dropped.
    pub fn between(&self, from: u64, to: u64) -> Option<BTreeMap<Arc<str>, Change>> {
        let oldest = self.versions.front()?.number;
        let latest = self.versions.back()?.number;
        if from + 1 < oldest || to > latest || from > to {
            return None;
        }
        let mut combined: BTreeMap<Arc<str>, Change> = BTreeMap::new();
        for version in &self.versions {
            if version.number <= from || version.number > to {
                continue;
            }
            for (name, change) in &version.changes {
                combined
                    .entry(name.clone())
                    .and_modify(|earlier| earlier.after.clone_from(&change.after))
                    .or_insert_with(|| change.clone());
            }
        }
        combined.retain(|_, change| change.before != change.after);
        Some(combined)
    }
}
