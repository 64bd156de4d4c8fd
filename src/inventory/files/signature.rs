//! Detects changed files by their metadata, without reading them.

use super::{GROUP_VARS, HOST_VARS, base_directory, checksum_path};
use std::fs::{self, Metadata};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Number of directory levels that are searched, including the base directory.
const MAX_DEPTH: usize = 3;

/// Device, inode, length and modification time of a file. A file is unchanged if both its stamp and its content are
/// equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileStamp {
    device: u64,
    inode: u64,
    length: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
}

impl FileStamp {
    pub(super) fn new(metadata: &Metadata) -> Self {
        FileStamp {
            device: metadata.dev(),
            inode: metadata.ino(),
            length: metadata.len(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
        }
    }

    /// Modification time since the Unix epoch.
    pub(super) fn modified(&self) -> Duration {
        Duration::new(self.modified_seconds.max(0) as u64, self.modified_nanoseconds.max(0) as u32)
    }
}

/// Path and metadata of a file, for comparison with a later state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileSignature {
    path: PathBuf,
    stamp: FileStamp,
    /// Inode change time (ctime): the last change of content, name or permissions.
    changed_seconds: i64,
    changed_nanoseconds: i64,
}

/// Paths and metadata of all files of an inventory, sorted by path; `None` if the inventory does not exist. Equal
/// signatures mean that nothing changed, except for changes within the granularity of the file system's clock.
pub fn signature(path: &Path) -> Option<Vec<FileSignature>> {
    fs::metadata(path).ok()?;
    let base = base_directory(path);
    let mut unvisited =
        vec![path.to_owned(), base.join(GROUP_VARS), base.join(HOST_VARS), checksum_path(path)];
    let mut files = Vec::new();
    while let Some(next) = unvisited.pop() {
        let Ok(metadata) = fs::metadata(&next) else { continue };
        if metadata.is_dir() {
            let depth = next.strip_prefix(base).map_or(0, |below| below.components().count());
            if depth < MAX_DEPTH {
                let entries = fs::read_dir(&next).into_iter().flatten().flatten();
                unvisited.extend(entries.map(|entry| entry.path()));
            }
            continue;
        }
        files.push(FileSignature {
            path: next,
            stamp: FileStamp::new(&metadata),
            changed_seconds: metadata.ctime(),
            changed_nanoseconds: metadata.ctime_nsec(),
        });
    }
    files.sort();
    files.dedup();
    Some(files)
}
