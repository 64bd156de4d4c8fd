//! The directory shared by the processes of one aggregator: the stored overrides, and the process slots.

use super::process_slots::{self, ProcessSlot, Sibling};
use super::{Overrides, RequestIdTable, snapshot};
use crate::clock::Millis;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::{DirBuilderExt, MetadataExt};
use std::path::{Path, PathBuf};

/// Stores the overrides, as a [`snapshot`].
const OVERRIDES_FILE: &str = "orders";
/// Holds new overrides until it is renamed to [`OVERRIDES_FILE`].
const TEMPORARY_FILE: &str = "orders.new";
/// Stored overrides that cannot be used are moved here.
const UNUSABLE_FILE: &str = "orders.unusable";
/// Locked while a process reads, merges and writes the overrides.
const LOCK_FILE: &str = "lock";

/// The table of request ids.
const REQUEST_IDS_FILE: &str = "request-ids";

/// Permissions of the directory: owner only.
const DIRECTORY_MODE: u32 = 0o700;

/// The result of reading the stored overrides.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredOverrides {
    /// There is no file.
    Missing,
    /// The overrides in the file.
    Present(Overrides),
    /// The file could not be used and was moved aside.
    MovedAside {
        /// The file's new path.
        path: PathBuf,
        /// The reason why the file could not be used.
        reason: snapshot::SnapshotError,
    },
}

/// The modification time of the shared directory, by which changes are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeMarker {
    seconds: i64,
    nanoseconds: i64,
}

/// The result of [`SharedDirectory::merge_overrides`].
#[derive(Clone, Debug, PartialEq)]
pub struct MergedOverrides {
    /// The overrides that are stored after the merge.
    pub merged: Overrides,
    /// The overrides that were stored before the merge.
    pub found: StoredOverrides,
}

/// The directory shared by the processes of one aggregator.
#[derive(Clone, Debug)]
pub struct SharedDirectory {
    path: PathBuf,
}

impl SharedDirectory {
    /// Opens the directory of an aggregator below `parent`, and creates it if needed. Aggregators with the same
    /// `parent` are distinguished by name and listen address.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn open(parent: &Path, aggregator: &str, listen_address: &str) -> io::Result<Self> {
        let key = crc32fast::hash(format!("{aggregator}\n{listen_address}").as_bytes());
        let path = parent.join(format!("sailmux-{key:08x}"));
        fs::DirBuilder::new().recursive(true).mode(DIRECTORY_MODE).create(&path)?;
        Ok(SharedDirectory { path })
    }

    /// A marker that changes whenever overrides are stored or a process acquires a slot, but not when a process ends;
    /// `None` if it cannot be read.
    pub fn change_marker(&self) -> Option<ChangeMarker> {
        let metadata = fs::metadata(&self.path).ok()?;
        Some(ChangeMarker { seconds: metadata.mtime(), nanoseconds: metadata.mtime_nsec() })
    }

    /// Reads the stored overrides. A file that cannot be used is moved aside.
    ///
    /// # Errors
    /// The file cannot be read or moved.
    pub fn read_overrides(&self) -> io::Result<StoredOverrides> {
        let path = self.path.join(OVERRIDES_FILE);
        let Some(bytes) = read_if_present(&path)? else { return Ok(StoredOverrides::Missing) };
        match snapshot::decode(&bytes) {
            Ok(overrides) => Ok(StoredOverrides::Present(overrides)),
            Err(reason) => {
                let moved_to = self.path.join(UNUSABLE_FILE);
                fs::rename(&path, &moved_to)?;
                Ok(StoredOverrides::MovedAside { path: moved_to, reason })
            }
        }
    }

    /// Merges overrides into the stored ones, under the lock, and removes inactive ones given before `forget_before`.
    ///
    /// # Errors
    /// The files cannot be read, written or locked; the stored overrides are then unchanged.
    pub fn merge_overrides(&self, own: &Overrides, forget_before: Millis) -> io::Result<MergedOverrides> {
        // The lock is held until the end of the function.
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK_FILE))?;
        lock.lock()?;
        let found = self.read_overrides()?;
        let (mut merged, found_usable) = match &found {
            StoredOverrides::Present(overrides) => (overrides.clone(), true),
            StoredOverrides::Missing | StoredOverrides::MovedAside { .. } => (Overrides::default(), false),
        };
        let changed = merged.merge(own);
        if changed || !found_usable {
            merged.forget_before(forget_before);
            self.write_overrides(&merged)?;
        }
        Ok(MergedOverrides { merged, found })
    }

    /// Replaces the stored overrides atomically.
    fn write_overrides(&self, overrides: &Overrides) -> io::Result<()> {
        let temporary = self.path.join(TEMPORARY_FILE);
        let written = fs::write(&temporary, snapshot::encode(overrides))
            .and_then(|()| fs::rename(&temporary, self.path.join(OVERRIDES_FILE)));
        if written.is_err() {
            let _ = fs::remove_file(&temporary);
        }
        written
    }

    /// Opens the table of request ids.
    ///
    /// # Errors
    /// The file cannot be opened or extended.
    pub fn request_ids(&self) -> io::Result<RequestIdTable> {
        RequestIdTable::open(&self.path.join(REQUEST_IDS_FILE))
    }

    /// Acquires a free process slot; `None` if all are in use.
    ///
    /// # Errors
    /// The slot's file cannot be created.
    pub fn acquire_slot(&self) -> io::Result<Option<ProcessSlot>> {
        ProcessSlot::acquire(&self.path)
    }

    /// The other running processes of this aggregator. `own` is the slot of the calling process, if it has one.
    pub fn siblings(&self, own: Option<usize>) -> Vec<Sibling> {
        process_slots::siblings(&self.path, own)
    }
}

/// The content of a file, up to one byte more than the maximum of a snapshot; `None` if there is no file.
fn read_if_present(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut bytes = Vec::new();
    file.take(snapshot::MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}
