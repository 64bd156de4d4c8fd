//! The last versions of the effective endpoint list, stored as changes, and the changes between any two of them.

use super::{Endpoint, EndpointState, Millis, SourceId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Most versions kept.
const MAX_VERSIONS: usize = 64;
/// Most changes kept over all versions, which bounds memory where large lists are replaced often.
const MAX_CHANGES: usize = 100_000;

/// One endpoint in two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// In the older version; `None` if it was absent.
    pub before: Option<Endpoint>,
    /// In the newer version; `None` if it is absent.
    pub after: Option<Endpoint>,
}

/// A version of the list.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its number, counted from 1.
    pub number: u64,
    /// When it took effect.
    pub at: Millis,
    /// The source whose list caused it.
    pub source: SourceId,
    /// Number of endpoints in it.
    pub endpoint_count: usize,
    /// What it changed, by endpoint name.
    pub changes: BTreeMap<Arc<str>, Change>,
}

/// Numbers of changed endpoints, by kind of change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Added endpoints.
    pub added: usize,
    /// Removed endpoints.
    pub removed: usize,
    /// Endpoints that began draining.
    pub started_draining: usize,
    /// Endpoints that stopped draining.
    pub stopped_draining: usize,
    /// Endpoints whose other fields changed.
    pub changed: usize,
}

impl Difference {
    /// Counts changes.
    pub fn of<'a>(changes: impl IntoIterator<Item = &'a Change>) -> Self {
        let mut difference = Difference::default();
        for change in changes {
            difference.count(change);
        }
        difference
    }

    /// Whether nothing changed.
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

/// The last versions, oldest first. Bounded: the oldest versions are dropped.
#[derive(Clone, Debug, Default)]
pub struct History {
    versions: VecDeque<Version>,
    /// Number of changes in all of `versions`.
    total_changes: usize,
}

impl History {
    /// Adds a version; the latest one is kept whatever its size.
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

    /// The versions kept, oldest first.
    pub fn versions(&self) -> impl DoubleEndedIterator<Item = &Version> {
        self.versions.iter()
    }

    /// The changes from version `from` to version `to`, by endpoint name; `None` if a version between them is no
    /// longer kept, or if there is no such version.
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
