//! What applying a file's list would do, worked out before anything changes.

use super::effective::EffectiveEndpoints;
use super::file_source::FileLists;
use super::guard::{EndpointCounts, HoldReason, ListGuard, ProposedChange};
use super::history::{Change, Difference};
use super::layout::Holders;
use super::merge::MergedEndpoint;
use super::record::FileList;
use super::sources::{Sources, SubstitutedFile};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What applying a list would do. The registry makes one before it applies or holds back a list; the command
/// `inventory plan` prints one.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The names whose endpoints may change, by the list itself or by its draining states.
    pub(super) changed_names: BTreeSet<Arc<str>>,
    /// The changes, by endpoint name.
    pub changes: BTreeMap<Arc<str>, Change>,
    /// Counts of the changes.
    pub difference: Difference,
    /// Why the list would be held back; `None` if it would be applied.
    pub hold_reason: Option<HoldReason>,
    /// Numbers of endpoints before and after.
    pub counts: EndpointCounts,
    /// Ready endpoints of each shard after it, for the first shards, one for each cell; others repeat these.
    pub ready_endpoints_by_shard: Vec<u32>,
}

/// Makes a plan for the list of a file, which need not be one of the sources' files.
pub(super) fn plan(
    sources: &Sources,
    effective: &EffectiveEndpoints,
    guard: &ListGuard,
    file: u16,
    list: &FileList,
) -> Plan {
    let changed_names = changed_names(sources, file, list);
    let applied = sources.file(file).map(|source| &**source.applied());
    let if_applied = SubstitutedFile { file, lists: FileLists { applied: Some(list), held_back: None } };
    let if_held_back = SubstitutedFile { file, lists: FileLists { applied, held_back: Some(list) } };

    let mut projection = Projection::new(effective);
    for name in &changed_names {
        let before = effective.get(name);
        let held_back = sources.merged_with(name, Some(if_held_back));
        let after = sources.merged_with(name, Some(if_applied));
        projection.add(name, before, held_back.as_ref(), after);
    }

    let hold = guard.check(&projection.proposed_change(list)).or_else(|| projection.truncation(list));
    let shards = 0..guard.layout.cells;
    Plan {
        changed_names,
        difference: Difference::of(projection.changes.values()),
        hold_reason: hold,
        counts: projection.counts,
        ready_endpoints_by_shard: shards
            .map(|shard| projection.holders_if_applied.of_shard(guard.layout, shard))
            .collect(),
        changes: projection.changes,
    }
}

fn changed_names(sources: &Sources, file: u16, list: &FileList) -> BTreeSet<Arc<str>> {
    match sources.file(file) {
        Some(source) => source.changed_names(list),
        None => list.records.iter().map(|record| record.name.clone()).collect(),
    }
}

/// The endpoints as they would be, counted while the changed names are added.
struct Projection {
    counts: EndpointCounts,
    holders_if_held_back: Holders,
    holders_if_applied: Holders,
    changes: BTreeMap<Arc<str>, Change>,
}

impl Projection {
    fn new(effective: &EffectiveEndpoints) -> Self {
        let endpoints = effective.len();
        Projection {
            counts: EndpointCounts { before: endpoints, after: endpoints, removed: 0 },
            holders_if_held_back: effective.holders().clone(),
            holders_if_applied: effective.holders().clone(),
            changes: BTreeMap::new(),
        }
    }

    /// Adds an endpoint as it is now, as it is with the list held back, and as it is with the list applied.
    fn add(
        &mut self,
        name: &Arc<str>,
        before: Option<&MergedEndpoint>,
        held_back: Option<&MergedEndpoint>,
        after: Option<MergedEndpoint>,
    ) {
        if let Some(before) = before {
            self.holders_if_held_back.remove(&before.endpoint);
            self.holders_if_applied.remove(&before.endpoint);
        }
        if let Some(held_back) = held_back {
            self.holders_if_held_back.add(&held_back.endpoint);
        }
        if let Some(after) = &after {
            self.holders_if_applied.add(&after.endpoint);
        }
        match (before, &after) {
            (Some(_), None) => {
                self.counts.removed += 1;
                self.counts.after -= 1;
            }
            (None, Some(_)) => self.counts.after += 1,
            _ => {}
        }
        let before = before.map(|merged| &merged.endpoint);
        let after = after.map(|merged| merged.endpoint);
        if before != after.as_ref() {
            self.changes.insert(name.clone(), Change { before: before.cloned(), after });
        }
    }

    fn proposed_change(&self, list: &FileList) -> ProposedChange<'_> {
        ProposedChange {
            counts: self.counts,
            names_endpoints: list.partial || !list.records.is_empty(),
            holders_before: &self.holders_if_held_back,
            holders_after: &self.holders_if_applied,
        }
    }

    /// A truncated list is held back only if it would change something.
    fn truncation(&self, list: &FileList) -> Option<HoldReason> {
        (list.truncated_mid_line && !self.changes.is_empty()).then_some(HoldReason::TruncatedMidLine)
    }
}
