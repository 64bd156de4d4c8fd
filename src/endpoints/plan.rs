//! The effect of applying the list of a file, computed before anything changes.

use super::effective::EffectiveEndpoints;
use super::file_source::FileLists;
use super::guard::{EndpointCounts, HoldReason, ListGuard, ProposedChange};
use super::history::{Change, Difference};
use super::layout::ReadyCounts;
use super::merge::MergedEndpoint;
use super::record::FileList;
use super::sources::{Sources, SubstitutedFile};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The effect of applying a list. The registry computes a plan before it applies or holds back a list; the command
/// `inventory plan` prints one.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The names whose endpoints may change if the list is applied or held back.
    pub(super) changed_names: BTreeSet<Arc<str>>,
    /// The changes, by endpoint name.
    pub changes: BTreeMap<Arc<str>, Change>,
    /// Counts of the changes, by kind.
    pub difference: Difference,
    /// The reason why the list would be held back; `None` if it would be applied.
    pub hold_reason: Option<HoldReason>,
    /// Numbers of endpoints before and after the list is applied.
    pub counts: EndpointCounts,
    /// Number of ready endpoints of each shard after the list is applied. Covers the shards below the number of cells;
    /// the counts of higher shards repeat these.
    pub ready_endpoints_by_shard: Vec<u32>,
}

/// Computes the plan for the list of a file, which need not be one of the configured files.
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

    let reason = guard.check(&projection.proposed_change(list)).or_else(|| projection.truncation(list));
    let shards = 0..guard.layout.cells;
    Plan {
        changed_names,
        difference: Difference::of(projection.changes.values()),
        hold_reason: reason,
        counts: projection.counts,
        ready_endpoints_by_shard: shards
            .map(|shard| projection.ready_if_applied.of_shard(guard.layout, shard))
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

/// Counts and changes that would result from a list, accumulated as the changed names are added.
struct Projection {
    counts: EndpointCounts,
    ready_if_held_back: ReadyCounts,
    ready_if_applied: ReadyCounts,
    changes: BTreeMap<Arc<str>, Change>,
}

impl Projection {
    fn new(effective: &EffectiveEndpoints) -> Self {
        let endpoints = effective.len();
        Projection {
            counts: EndpointCounts { before: endpoints, after: endpoints, removed: 0 },
            ready_if_held_back: effective.ready_counts().clone(),
            ready_if_applied: effective.ready_counts().clone(),
            changes: BTreeMap::new(),
        }
    }

    /// Adds an endpoint in its current state, with the list held back, and with the list applied.
    fn add(
        &mut self,
        name: &Arc<str>,
        before: Option<&MergedEndpoint>,
        held_back: Option<&MergedEndpoint>,
        after: Option<MergedEndpoint>,
    ) {
        if let Some(before) = before {
            self.ready_if_held_back.remove(&before.endpoint);
            self.ready_if_applied.remove(&before.endpoint);
        }
        if let Some(held_back) = held_back {
            self.ready_if_held_back.add(&held_back.endpoint);
        }
        if let Some(after) = &after {
            self.ready_if_applied.add(&after.endpoint);
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
            lists_endpoints: list.partial || !list.records.is_empty(),
            ready_before: &self.ready_if_held_back,
            ready_after: &self.ready_if_applied,
        }
    }

    /// A truncated list is held back only if it would change an endpoint.
    fn truncation(&self, list: &FileList) -> Option<HoldReason> {
        (list.truncated_mid_line && !self.changes.is_empty()).then_some(HoldReason::TruncatedMidLine)
    }
}
