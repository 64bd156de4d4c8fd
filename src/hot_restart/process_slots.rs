//! Process slots: each process of an aggregator holds the file lock of one slot while it runs, and publishes its status
//! in the content of that file.

use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Maximum number of concurrent processes of one aggregator: the old and the new one of a hot restart, and two more for
/// crashes and restarts during it.
const SLOT_COUNT: usize = 4;
/// Maximum number of bytes that are read of a status.
const MAX_STATUS_BYTES: u64 = 256;

/// The status that a process publishes in its slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Whether the process is ready to serve.
    #[serde(rename = "ready")]
    pub ready: bool,
    /// Digest of the overrides in force in the process (see [`snapshot::digest`](super::snapshot::digest)).
    #[serde(rename = "orders")]
    pub overrides_digest: u32,
}

/// Another running process of the same aggregator.
#[derive(Clone, Debug, PartialEq)]
pub struct Sibling {
    /// The number of its slot, from 0.
    pub slot: usize,
    /// Its status; `None` if it has not published one yet, or is writing it.
    pub status: Option<ProcessStatus>,
}

/// The slot of this process. The kernel releases its lock when the process exits or crashes.
#[derive(Debug)]
pub struct ProcessSlot {
    number: usize,
    file: File,
}

impl ProcessSlot {
    /// Acquires the first free slot in a directory; `None` if all are in use.
    pub(super) fn acquire(directory: &Path) -> io::Result<Option<Self>> {
        for number in 0..SLOT_COUNT {
            let path = slot_path(directory, number);
            let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
            if file.try_lock().is_ok() {
                file.set_len(0)?;
                touch_directory(directory, number)?;
                return Ok(Some(ProcessSlot { number, file }));
            }
        }
        Ok(None)
    }

    /// The number of the slot, from 0.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Replaces the status in the slot. A reader of a partly written status gets `None`.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn publish(&mut self, status: &ProcessStatus) -> io::Result<()> {
        let text = serde_json::to_string(status)?;
        self.file.seek(SeekFrom::Start(0))?;
        // Padded to overwrite a longer previous status.
        self.file.write_all(format!("{text:<64}\n").as_bytes())
    }
}

/// The running processes with a slot in a directory, except the one in the slot `own`.
pub(super) fn siblings(directory: &Path, own: Option<usize>) -> Vec<Sibling> {
    let mut siblings = Vec::new();
    for slot in 0..SLOT_COUNT {
        if own == Some(slot) {
            continue;
        }
        let path = slot_path(directory, slot);
        if is_locked(&path) {
            siblings.push(Sibling { slot, status: read_status(&path) });
        }
    }
    siblings
}

fn slot_path(directory: &Path, number: usize) -> PathBuf {
    directory.join(format!("seat-{number}"))
}

/// Changes the modification time of the directory, by which the other processes detect the new one.
fn touch_directory(directory: &Path, number: usize) -> io::Result<()> {
    let marker_path = directory.join(format!("came-{number}"));
    fs::write(&marker_path, "")?;
    fs::remove_file(&marker_path)
}

fn is_locked(path: &Path) -> bool {
    let Ok(file) = File::open(path) else { return false };
    matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock))
}

fn read_status(path: &Path) -> Option<ProcessStatus> {
    let file = File::open(path).ok()?;
    let mut text = String::new();
    file.take(MAX_STATUS_BYTES).read_to_string(&mut text).ok()?;
    serde_json::from_str(text.trim_end()).ok()
}
