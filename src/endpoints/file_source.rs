//! An inventory file as an endpoint source: its applied list, and a newer list that is held back.

use super::Millis;
use super::merge::SourceEntry;
use super::record::FileList;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A list that waits for its confirmation.
#[derive(Clone, Debug)]
struct HeldBackList {
    list: Arc<FileList>,
    since: Millis,
}

/// The lists of one inventory file.
#[derive(Clone, Debug)]
pub(super) struct FileSource {
    applied: Arc<FileList>,
    held_back: Option<HeldBackList>,
}

impl FileSource {
    pub fn new(applied: Arc<FileList>) -> Self {
        FileSource { applied, held_back: None }
    }

    pub fn applied(&self) -> &Arc<FileList> {
        &self.applied
    }

    pub fn held_back(&self) -> Option<&Arc<FileList>> {
        self.held_back.as_ref().map(|held_back| &held_back.list)
    }

    /// The held-back list, if it has this digest.
    pub fn held_back_with(&self, digest: &str) -> Option<&Arc<FileList>> {
        self.held_back().filter(|list| &*list.digest == digest)
    }

    /// The held-back list, if it has been held back without a change for `confirm_after`.
    pub fn held_back_for(&self, confirm_after: Millis, now: Millis) -> Option<&Arc<FileList>> {
        let held_back = self.held_back.as_ref()?;
        (held_back.since + confirm_after <= now).then_some(&held_back.list)
    }

    /// Applies a list and drops a held-back one.
    pub fn apply(&mut self, list: Arc<FileList>) {
        self.applied = list;
        self.held_back = None;
    }

    /// Holds a list back, replacing one held back before.
    pub fn hold_back(&mut self, list: Arc<FileList>, now: Millis) {
        self.held_back = Some(HeldBackList { list, since: now });
    }

    /// Drops the held-back list and returns it.
    pub fn withdraw(&mut self) -> Option<Arc<FileList>> {
        self.held_back.take().map(|held_back| held_back.list)
    }

    /// The names whose endpoints may change when `list` is applied or held back in place of the current lists.
    pub fn changed_names(&self, list: &FileList) -> BTreeSet<Arc<str>> {
        let mut names = BTreeSet::from_iter(self.applied.changed_names(list));
        if let Some(held_back) = self.held_back() {
            names.extend(held_back.draining_names());
        }
        names
    }
}

/// The lists of a file that are merged: its own, or substitutes to compute the effect of a new list.
#[derive(Clone, Copy)]
pub(super) struct FileLists<'a> {
    pub applied: Option<&'a FileList>,
    pub held_back: Option<&'a FileList>,
}

impl<'a> FileLists<'a> {
    pub fn of(source: &'a FileSource) -> Self {
        FileLists { applied: Some(&source.applied), held_back: source.held_back().map(|list| &**list) }
    }

    /// Appends the entries of the lists for an endpoint name, in ascending order of precedence.
    pub fn add_entries(self, file: u16, name: &str, entries: &mut Vec<SourceEntry<'a>>) {
        if let Some(list) = self.applied
            && let Some(record) = list.get(name)
        {
            entries.push(SourceEntry::Record { file, record, partial: list.partial });
        }
        if let Some(record) = self.held_back.and_then(|list| list.get(name)) {
            entries.push(SourceEntry::HeldBackRecord { file, record });
        }
    }
}
