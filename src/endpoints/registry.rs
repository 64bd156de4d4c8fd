//! The endpoint registry: receives the lists of all sources and maintains the effective endpoint list.

use super::effective::EffectiveEndpoints;
use super::file_source::FileSource;
use super::guard::{GuardSettings, ListGuard};
use super::history::{Change, Difference, History, Version};
use super::layout::ShardLayout;
use super::merge::MergedEndpoint;
use super::overrides::EndpointOverrides;
use super::plan::{Plan, plan};
use super::record::FileList;
use super::sources::Sources;
use super::{AuditEvent, Endpoint, EndpointList, EndpointState, Input, Millis, Output, Override, SourceId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Merges the endpoints of all sources. Part of the aggregator's state; also used by the command `inventory plan`.
pub struct EndpointRegistry {
    guard: ListGuard,
    sources: Sources,
    effective: EffectiveEndpoints,
    history: History,
    /// Number of the latest version in `history`; 0 before the first.
    version: u64,
    overrides: EndpointOverrides,
}

/// The endpoints changed by an input.
struct AppliedChanges {
    /// The changed endpoints in their new form, ordered by name; removed ones have the state [`EndpointState::Gone`].
    entries: Vec<Endpoint>,
    difference: Difference,
}

impl EndpointRegistry {
    /// Creates a registry without sources; [`Input::Started`] adds them.
    pub fn new(layout: ShardLayout, guard: GuardSettings) -> Self {
        EndpointRegistry {
            guard: ListGuard { layout, settings: guard },
            sources: Sources::default(),
            effective: EffectiveEndpoints::default(),
            history: History::default(),
            version: 0,
            overrides: EndpointOverrides::default(),
        }
    }

    /// Handles an input and appends its outputs in the order in which the caller must carry them out.
    pub fn handle(&mut self, now: Millis, input: Input, outputs: &mut Vec<Output>) {
        let first_new = outputs.len();
        match input {
            Input::Started { initial_list, files } => self.on_started(now, initial_list, files, outputs),
            Input::Discovery(list) => self.on_discovery(now, list, outputs),
            Input::File(file, list) => self.on_file(now, file, list, outputs),
            Input::FileRejected(file, problem) => {
                let source = SourceId::File(file);
                outputs.push(Output::Audit(AuditEvent::ListRejected { source, problem }));
            }
            Input::FileConfirmed(file, digest) => self.on_file_confirmed(now, file, digest, outputs),
            Input::Layout(layout) => self.guard.layout = layout,
            Input::Overrides(overrides) => self.on_overrides(overrides, outputs),
            Input::SendCompleteList => outputs.push(Output::List(self.complete_list())),
            Input::TimerFired => self.on_timer(now, outputs),
        }
        for output in &mut outputs[first_new..] {
            if let Output::List(list) = output {
                self.overrides.apply_to(&mut list.entries);
            }
        }
    }

    /// The effective endpoints by name, without overrides.
    pub fn endpoints(&self) -> BTreeMap<&Arc<str>, &MergedEndpoint> {
        self.effective.sorted()
    }

    /// One effective endpoint, without overrides.
    pub fn endpoint(&self, name: &str) -> Option<&MergedEndpoint> {
        self.effective.get(name)
    }

    /// The most recent versions of the effective list.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The list held back for a file, if there is one.
    pub fn held_back(&self, file: u16) -> Option<&Arc<FileList>> {
        self.sources.file(file)?.held_back()
    }

    /// Computes the effect of applying a list for a file, without changing anything.
    pub fn plan(&self, file: u16, list: &FileList) -> Plan {
        plan(&self.sources, &self.effective, &self.guard, file, list)
    }

    fn complete_list(&self) -> EndpointList {
        let entries = self.endpoints().into_values().map(|merged| merged.endpoint.clone()).collect();
        EndpointList { generation: self.version, complete: true, entries }
    }

    fn on_started(
        &mut self,
        now: Millis,
        initial_list: Option<EndpointList>,
        files: Vec<Arc<FileList>>,
        outputs: &mut Vec<Output>,
    ) {
        let source = if files.is_empty() { SourceId::InitialList } else { SourceId::File(0) };
        let generation = initial_list.as_ref().map_or(1, |list| list.generation);
        self.sources.files = files.iter().cloned().map(FileSource::new).collect();
        if let Some(initial_list) = initial_list {
            self.sources.discovery.add_initial_list(initial_list.entries);
        }
        let mut names: BTreeSet<Arc<str>> = self.sources.discovery.names().cloned().collect();
        for list in &files {
            names.extend(list.records.iter().map(|record| record.name.clone()));
        }
        let applied = self.apply_sources(now, source, names, outputs);
        for (index, list) in files.iter().enumerate() {
            let summary = list.summary();
            outputs.push(Output::Audit(AuditEvent::ListApplied {
                source: SourceId::File(index as u16),
                digest: list.digest.clone(),
                summary,
                difference: Difference { added: summary.endpoints, ..Difference::default() },
                confirmed: false,
            }));
        }
        outputs.push(Output::List(EndpointList { generation, complete: true, entries: applied.entries }));
    }

    /// Lists from discovery are never held back, because the platform's time limits for a change start when the change
    /// is announced.
    fn on_discovery(&mut self, now: Millis, list: EndpointList, outputs: &mut Vec<Output>) {
        let has_files = !self.sources.files.is_empty();
        let names = self.sources.discovery.update(&list, has_files);
        let applied = self.apply_sources(now, SourceId::Discovery, names, outputs);
        outputs.push(Output::Audit(AuditEvent::DiscoveryApplied {
            generation: list.generation,
            complete: list.complete,
            endpoint_count: self.effective.len(),
            difference: applied.difference,
        }));
        if !has_files {
            // If discovery is the only source, its list is forwarded unchanged.
            outputs.push(Output::List(list));
        } else if !applied.entries.is_empty() {
            let generation = list.generation;
            outputs.push(Output::List(EndpointList {
                generation,
                complete: false,
                entries: applied.entries,
            }));
        }
    }

    fn on_file(&mut self, now: Millis, file: u16, list: Arc<FileList>, outputs: &mut Vec<Output>) {
        let source = SourceId::File(file);
        let Some(file_source) = self.sources.file(file) else { return };
        if file_source.held_back_with(&list.digest).is_some() {
            return;
        }
        if file_source.applied().digest == list.digest {
            self.withdraw_held_back(now, file, outputs);
            return;
        }
        if let Some(problem) = cell_out_of_range(&list, self.guard.layout.cells) {
            outputs.push(Output::Audit(AuditEvent::ListRejected { source, problem }));
            return;
        }
        let plan = self.plan(file, &list);
        let Some(reason) = plan.hold_reason else {
            self.apply_list(now, file, list, plan, false, outputs);
            return;
        };
        let digest = list.digest.clone();
        if let Some(file_source) = self.sources.file_mut(file) {
            file_source.hold_back(list, now);
        }
        self.send_changes(now, source, plan.changed_names, outputs);
        let difference = plan.difference;
        outputs.push(Output::Audit(AuditEvent::ListHeldBack { source, digest, reason, difference }));
        if let Some(confirm_after) = self.guard.settings.confirm_after {
            outputs.push(Output::SetTimer(now + confirm_after));
        }
    }

    fn withdraw_held_back(&mut self, now: Millis, file: u16, outputs: &mut Vec<Output>) {
        let source = SourceId::File(file);
        let Some(list) = self.sources.file_mut(file).and_then(FileSource::withdraw) else { return };
        self.send_changes(now, source, list.draining_names().collect(), outputs);
        outputs.push(Output::Audit(AuditEvent::HeldListWithdrawn { source }));
    }

    fn apply_list(
        &mut self,
        now: Millis,
        file: u16,
        list: Arc<FileList>,
        plan: Plan,
        confirmed: bool,
        outputs: &mut Vec<Output>,
    ) {
        let source = SourceId::File(file);
        let digest = list.digest.clone();
        let summary = list.summary();
        if let Some(file_source) = self.sources.file_mut(file) {
            file_source.apply(list);
        }
        self.send_changes(now, source, plan.changed_names, outputs);
        let difference = plan.difference;
        outputs.push(Output::Audit(AuditEvent::ListApplied {
            source,
            digest,
            summary,
            difference,
            confirmed,
        }));
    }

    fn on_file_confirmed(&mut self, now: Millis, file: u16, digest: Arc<str>, outputs: &mut Vec<Output>) {
        let held_back = self.sources.file(file).and_then(|source| source.held_back_with(&digest)).cloned();
        let Some(list) = held_back else {
            let source = SourceId::File(file);
            outputs.push(Output::Audit(AuditEvent::ConfirmationUnmatched { source, digest }));
            return;
        };
        let plan = self.plan(file, &list);
        self.apply_list(now, file, list, plan, true, outputs);
    }

    fn on_timer(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let Some(confirm_after) = self.guard.settings.confirm_after else { return };
        for index in 0..self.sources.files.len() {
            let due = self.sources.files[index].held_back_for(confirm_after, now);
            if let Some(digest) = due.map(|list| list.digest.clone()) {
                self.on_file_confirmed(now, index as u16, digest, outputs);
            }
        }
    }

    fn on_overrides(&mut self, overrides: BTreeMap<Arc<str>, Override>, outputs: &mut Vec<Output>) {
        let mut entries = Vec::new();
        for change in self.overrides.replace(overrides) {
            entries.extend(self.effective.get(&change.name).map(|merged| merged.endpoint.clone()));
            if change.was_active != change.is_active {
                let (name, active) = (change.name, change.is_active);
                outputs.push(Output::Audit(AuditEvent::OverrideChanged { name, active }));
            }
        }
        self.push_changes(entries, outputs);
    }

    /// Merges the given names again and outputs the changed endpoints.
    fn send_changes(
        &mut self,
        now: Millis,
        source: SourceId,
        names: BTreeSet<Arc<str>>,
        outputs: &mut Vec<Output>,
    ) {
        let applied = self.apply_sources(now, source, names, outputs);
        self.push_changes(applied.entries, outputs);
    }

    fn push_changes(&self, entries: Vec<Endpoint>, outputs: &mut Vec<Output>) {
        if !entries.is_empty() {
            outputs.push(Output::List(EndpointList { generation: self.version, complete: false, entries }));
        }
    }

    /// Merges the given names again; if any endpoint has changed, adds a version to the history.
    fn apply_sources(
        &mut self,
        now: Millis,
        source: SourceId,
        names: BTreeSet<Arc<str>>,
        outputs: &mut Vec<Output>,
    ) -> AppliedChanges {
        let mut entries = Vec::new();
        let mut changes = BTreeMap::new();
        for name in names {
            let merged = self.sources.merged(&name);
            let after = merged.as_ref().map(|merged| merged.endpoint.clone());
            let replaced = self.effective.replace(&name, merged);
            if let Some(endpoint) = &after
                && replaced.joined_shared_address
                && !self.sources.files.is_empty()
            {
                let address = endpoint.address.clone();
                outputs.push(Output::Audit(AuditEvent::SharedAddress { address, name: name.clone() }));
            }
            let before = replaced.before.map(|merged| merged.endpoint);
            if before == after {
                continue;
            }
            if let Some(endpoint) = &after {
                entries.push(endpoint.clone());
            } else if let Some(endpoint) = &before {
                entries.push(Endpoint { state: EndpointState::Gone, ..endpoint.clone() });
            }
            changes.insert(name, Change { before, after });
        }
        let difference = Difference::of(changes.values());
        if !changes.is_empty() {
            self.version += 1;
            let endpoint_count = self.effective.len();
            self.history.push(Version { number: self.version, at: now, source, endpoint_count, changes });
        }
        AppliedChanges { entries, difference }
    }
}

/// Describes the first record whose cell is out of range, if any.
fn cell_out_of_range(list: &FileList, cells: u32) -> Option<String> {
    for record in &list.records {
        let Some(cell) = &record.cell else { continue };
        if cell.value >= cells {
            let file = list.file_name(cell.location);
            let line = cell.location.line;
            return Some(format!("{file}:{line}: {}.cell: {} is not below {cells}", record.name, cell.value));
        }
    }
    None
}
