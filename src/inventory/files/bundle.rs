//! The content of an inventory's files.

use crate::endpoints::SourceLocation;
use std::sync::Arc;

/// What a file contributes to an inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Hosts and groups.
    Inventory,
    /// Variables of the group of that name.
    GroupVars(String),
    /// Variables of the host of that name.
    HostVars(String),
}

/// A file's content and its role.
#[derive(Clone, Debug)]
pub struct BundleFile {
    /// Its path as operators know it, for diagnostics.
    pub name: Arc<str>,
    /// Its path relative to the inventory's directory, which does not depend on where that lies.
    pub relative_path: String,
    /// What it contributes.
    pub role: Role,
    /// Its content.
    pub content: Vec<u8>,
    /// The content of its checksum file, if one is asked for and exists.
    pub checksum: Option<String>,
}

/// All files of an inventory in the order in which they are read.
#[derive(Clone, Debug, Default)]
pub struct Bundle {
    /// The files; a [`SourceLocation`] refers to them by their index.
    pub files: Vec<BundleFile>,
}

impl Bundle {
    /// The name of the file of a location; empty if there is none.
    pub(in super::super) fn file_name(&self, location: SourceLocation) -> &str {
        self.files.get(usize::from(location.file)).map_or("", |file| &*file.name)
    }
}
