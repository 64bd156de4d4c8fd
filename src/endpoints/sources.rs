//! All sources of endpoints together.

use super::discovery_source::DiscoverySource;
use super::file_source::{FileLists, FileSource};
use super::merge::{MergedEndpoint, merge};
use std::sync::Arc;

/// Lists to try out in place of those of one file.
#[derive(Clone, Copy)]
pub(super) struct SubstitutedFile<'a> {
    pub file: u16,
    pub lists: FileLists<'a>,
}

/// The inventory files and discovery.
#[derive(Clone, Debug, Default)]
pub(super) struct Sources {
    /// In the operator's order, which is the ascending order of precedence.
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

    /// The endpoint that all sources together give for a name.
    pub fn merged(&self, name: &Arc<str>) -> Option<MergedEndpoint> {
        self.merged_with(name, None)
    }

    /// The endpoint for a name, with the lists of one file substituted.
    pub fn merged_with(
        &self,
        name: &Arc<str>,
        substituted: Option<SubstitutedFile<'_>>,
    ) -> Option<MergedEndpoint> {
        if self.discovery.has_removed(name) {
            return None;
        }
        let mut statements = Vec::new();
        for (index, source) in self.files.iter().enumerate() {
            let file = index as u16;
            let lists = match substituted {
                Some(substitute) if substitute.file == file => substitute.lists,
                _ => FileLists::of(source),
            };
            lists.add_statements(file, name, &mut statements);
        }
        // Discovery comes last, with the highest precedence: it is closest to the leaf servers.
        statements.extend(self.discovery.statement(name));
        merge(name, &statements)
    }
}
