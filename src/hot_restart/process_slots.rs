//! Process slots: by the file lock on its slot each process of an aggregator shows the others that it runs, and by
//! the content of the slot what its status is.

use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Most processes of one aggregator at a time: the old and the new one, and two more for crashes and restarts.
const SLOTS: usize = 4;
/// Most bytes that are read of a status.
const MAX_STATUS_BYTES: u64 = 256;

/// What a process publishes in its slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// It is ready to serve.
    #[serde(rename = "ready")]
    pub ready: bool,
    /// Digest of the overrides in force in that process (see [`snapshot::digest`](super::snapshot::digest)).
    #[serde(rename = "orders")]
    pub overrides_digest: u32,
}

/// Another running process of the same aggregator.
#[derive(Clone, Debug, PartialEq)]
pub struct Sibling {
    /// The number of its slot.
    pub slot: usize,
    /// Its status; `None` before it has published one, or while it is writing.
    pub status: Option<ProcessStatus>,
}

/// The slot of this process. The kernel releases its lock when the process ends, however it ends.
#[derive(Debug)]
pub struct ProcessSlot {
    number: usize,
    file: File,
}

impl ProcessSlot {
    /// Acquires the first free slot of a directory; `None` if all are in use.
    pub(super) fn acquire(directory: &Path) -> io::Result<Option<Self>> {
        for number in 0..SLOTS {
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

    /// Its number.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Replaces the status in the slot. A reader that sees half of it reads no status.
    ///
    /// # Errors
    /// Those of writing the file.
    pub fn publish(&mut self, status: &ProcessStatus) -> io::Result<()> {
        let text = serde_json::to_string(status)?;
        self.file.seek(SeekFrom::Start(0))?;
        // Padded, so that nothing is left of a longer status.
        self.file.write_all(format!("{text:<64}\n").as_bytes())
    }
}

/// The running processes with a slot in a directory, other than the one in the slot `own`.
pub(super) fn siblings(directory: &Path, own: Option<usize>) -> Vec<Sibling> {
    let mut siblings = Vec::new();
    for slot in 0..SLOTS {
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

/// Changes the modification time of the directory, by which the other processes notice the new one.
fn touch_directory(directory: &Path, number: usize) -> io::Result<()> {
    let marker = directory.join(format!("came-{number}"));
    fs::write(&marker, "")?;
    fs::remove_file(&marker)
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
