//! The file operations that the ledger needs. [`RealDisk`] performs them in a directory; tests use a disk with faults.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A flat directory of files with two separate durability guarantees: the bytes of a file survive a power cut after
/// [`Disk::sync`], and names (of files created, renamed or removed) after [`Disk::sync_directory`].
pub trait Disk {
    /// The names of all files, in any order.
    ///
    /// # Errors
    /// The directory cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The content of a file, including bytes that are not synced yet.
    ///
    /// # Errors
    /// There is no such file, or it cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created if it does not exist. Nothing is durable before the next sync; a power cut
    /// may keep any prefix of what was appended.
    ///
    /// # Errors
    /// The write failed; a part of it may have been done.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length in bytes. Durable after the next sync of the file.
    ///
    /// # Errors
    /// The file has its old length, or an unknown one.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the bytes of a file durable.
    ///
    /// # Errors
    /// It is unknown what of the bytes since the last sync is durable, and a repeated sync does not tell either: the
    /// caller truncates the file and writes them again.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file and replaces any file of the new name. It is atomic: after a crash either the old or the new file
    /// has the name. Durable after [`Disk::sync_directory`].
    ///
    /// # Errors
    /// There is no such file, or it cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. Durable after [`Disk::sync_directory`].
    ///
    /// # Errors
    /// There is no such file, or it cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes all names of the directory durable.
    ///
    /// # Errors
    /// It is unknown which changes to names are durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// The file whose lock marks the owner of the directory.
const LOCK_FILE: &str = "lock";
/// Open files that are kept. Few suffice, since one file is written at a time.
const MAX_OPEN_FILES: usize = 4;

/// A directory in the file system, either owned by this process through a lock or opened for reading.
pub struct RealDisk {
    directory: PathBuf,
    open_files: HashMap<String, File>,
    /// Held until the disk is dropped or the process ends.
    _lock: Option<File>,
}

impl RealDisk {
    /// Takes ownership of a directory, which is created if it does not exist.
    ///
    /// # Errors
    /// [`ErrorKind::WouldBlock`] if another process owns it.
    pub fn own(directory: &Path) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let path = directory.join(LOCK_FILE);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        match lock.try_lock() {
            Ok(()) => Ok(RealDisk::new(directory, Some(lock))),
            Err(TryLockError::WouldBlock) => {
                let message = format!("{}: another process owns this ledger", directory.display());
                Err(io::Error::new(ErrorKind::WouldBlock, message))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Opens a directory for reading; another process may own it. The caller must not write.
    pub fn open_read_only(directory: &Path) -> Self {
        RealDisk::new(directory, None)
    }

    fn new(directory: &Path, lock: Option<File>) -> Self {
        RealDisk { directory: directory.to_owned(), open_files: HashMap::new(), _lock: lock }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let path = self.directory.join(name);
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            if self.open_files.len() >= MAX_OPEN_FILES {
                self.open_files.clear();
            }
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files.get_mut(name).ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for RealDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.directory)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.directory.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.directory.join(from), self.directory.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.directory.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.directory)?.sync_all()
    }
}
