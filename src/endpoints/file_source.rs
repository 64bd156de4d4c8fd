//! One inventory file as a source: its applied list, and a newer list that is held back.

use super::Millis;
use super::merge::Statement;
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
        self.held_back.as_ref().map(|held| &held.list)
    }

    /// The list held back, if it has this digest.
    pub fn held_back_with(&self, digest: &str) -> Option<&Arc<FileList>> {
        self.held_back().filter(|list| &*list.digest == digest)
    }

    /// The list that has been held back for `confirm_after` without a change.
    pub fn held_back_for(&self, confirm_after: Millis, now: Millis) -> Option<&Arc<FileList>> {
        let held = self.held_back.as_ref()?;
        (held.since + confirm_after <= now).then_some(&held.list)
    }

    /// Applies a list; one held back is dropped.
    pub fn apply(&mut self, list: Arc<FileList>) {
        self.applied = list;
        self.held_back = None;
    }

    /// Holds a list back, in place of one held back before.
    pub fn hold_back(&mut self, list: Arc<FileList>, now: Millis) {
        self.held_back = Some(HeldBackList { list, since: now });
    }

    /// Drops the list held back and returns it.
    pub fn withdraw(&mut self) -> Option<Arc<FileList>> {
        self.held_back.take().map(|held| held.list)
    }

    /// The names whose endpoints may change once `list` is applied or held back in place of the present lists.
    pub fn changed_names(&self, list: &FileList) -> BTreeSet<Arc<str>> {
        let mut names = BTreeSet::from_iter(self.applied.changed_names(list));
        if let Some(held_back) = self.held_back() {
            names.extend(held_back.draining_names());
        }
        names
    }
}

/// The lists of a file from which statements are made: its own, or others to try out.
#[derive(Clone, Copy)]
pub(super) struct FileLists<'a> {
    pub applied: Option<&'a FileList>,
    pub held_back: Option<&'a FileList>,
}

impl<'a> FileLists<'a> {
    pub fn of(source: &'a FileSource) -> Self {
        FileLists { applied: Some(&source.applied), held_back: source.held_back().map(|list| &**list) }
    }

    /// Adds what the lists state about an endpoint, in ascending order of precedence.
    pub fn add_statements(self, file: u16, name: &str, statements: &mut Vec<Statement<'a>>) {
        if let Some(list) = self.applied
            && let Some(record) = list.get(name)
        {
            statements.push(Statement::Record { file, record, partial: list.partial });
        }
        if let Some(record) = self.held_back.and_then(|list| list.get(name)) {
            statements.push(Statement::HeldBackRecord { file, record });
        }
    }
}
