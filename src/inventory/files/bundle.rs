//! The files of an inventory, loaded into memory.

use crate::endpoints::SourceLocation;
use std::sync::Arc;

/// The kind of content that a file adds to an inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// An inventory file: hosts, groups and their variables.
    Inventory,
    /// Variables of the named group.
    GroupVars(String),
    /// Variables of the named host.
    HostVars(String),
}

/// A file's content and its role.
#[derive(Clone, Debug)]
pub struct BundleFile {
    /// Path as it was opened, for diagnostics.
    pub name: Arc<str>,
    /// Path relative to the inventory's base directory. It goes into the digest, which therefore does not depend on the
    /// location of the inventory.
    pub relative_path: String,
    /// Whether the file has hosts and groups or variables.
    pub role: Role,
    /// The raw bytes of the file.
    pub content: Vec<u8>,
    /// The content of the checksum file; `None` if no checksum is required or the file cannot be read.
    pub checksum: Option<String>,
}

/// All files of an inventory.
#[derive(Clone, Debug, Default)]
pub struct Bundle {
    /// The files in the order in which they are parsed; a [`SourceLocation`] refers to them by index.
    pub files: Vec<BundleFile>,
}

impl Bundle {
    /// The name of the file that a location refers to; empty if there is no such file.
    pub(in super::super) fn file_name(&self, location: SourceLocation) -> &str {
        self.files.get(usize::from(location.file)).map_or("", |file| &*file.name)
    }
}
