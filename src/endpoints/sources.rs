//! The set of all endpoint sources.

use super::discovery_source::DiscoverySource;
use super::file_source::{FileLists, FileSource};
use super::merge::{MergedEndpoint, merge};
use std::sync::Arc;

/// Replaces the lists of one file in a merge, to compute the effect of a list before it is applied.
#[derive(Clone, Copy)]
pub(super) struct SubstitutedFile<'a> {
    pub file: u16,
    pub lists: FileLists<'a>,
}

/// The inventory files and discovery.
#[derive(Clone, Debug, Default)]
pub(super) struct Sources {
    /// In the order of the operator file, which is the ascending order of precedence.
    pub files: Vec<FileSource>,
    pub discovery: DiscoverySource,
}

impl Sources {
    pub fn file(&self, file: u16) -> Option<&FileSource> {
        self.files.get(usize::from(file))
    }

    pub fn file_mut(&mut self, file: u16) -> Option<&mut FileSource> {
        self.files.get_mut(usize::from(file))
    }

    /// Merges the entries of all sources for an endpoint name.
    pub fn merged(&self, name: &Arc<str>) -> Option<MergedEndpoint> {
        self.merged_with(name, None)
    }

    /// Like [`merged`](Self::merged), with the lists of one file substituted.
    pub fn merged_with(
        &self,
        name: &Arc<str>,
        substituted: Option<SubstitutedFile<'_>>,
    ) -> Option<MergedEndpoint> {
        if self.discovery.has_removed(name) {
            return None;
        }
        let mut entries = Vec::new();
        for (index, source) in self.files.iter().enumerate() {
            let file = index as u16;
            let lists = match substituted {
                Some(substitute) if substitute.file == file => substitute.lists,
                _ => FileLists::of(source),
            };
            lists.add_entries(file, name, &mut entries);
        }
        // Discovery has the highest precedence, since it has the most direct view of the leaf servers.
        entries.extend(self.discovery.entry(name));
        merge(name, &entries)
    }
}
