//! The file operations that the ledger needs. [`RealDisk`] performs them in a directory; tests use an implementation
//! that injects faults.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A flat directory of files with two separate durability guarantees: the content of a file survives a power failure
/// after [`Disk::sync`], and creating, renaming or removing a file after [`Disk::sync_directory`].
pub trait Disk {
    /// The names of all files, in any order.
    ///
    /// # Errors
    /// The directory cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The content of a file, including bytes that are not yet synced.
    ///
    /// # Errors
    /// There is no such file, or it cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// The length of a file in bytes, including bytes that are not yet synced.
    ///
    /// # Errors
    /// There is no such file, or it cannot be read.
    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(self.read(name)?.len() as u64)
    }

    /// Reads bytes of a file from `offset` on and returns their number, which is 0 only at the end of the file. A file may
    /// be larger than the memory: implementations for such files read only these bytes.
    ///
    /// # Errors
    /// There is no such file, or it cannot be read.
    fn read_at(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let bytes = self.read(name)?;
        let rest = bytes.get(offset as usize..).unwrap_or_default();
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        Ok(count)
    }

    /// Appends to a file, which is created if it does not exist. Nothing is durable before the next sync; after a power
    /// failure any prefix of the appended bytes may remain.
    ///
    /// # Errors
    /// The write failed; some of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes. Durable after the next sync of the file.
    ///
    /// # Errors
    /// The file keeps its old length or has an unknown one.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// It is unknown which bytes written since the last sync are durable, and a repeated sync may succeed although they
    /// are lost: the caller truncates the file and writes them again.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file atomically and replaces any file with the new name: after a crash the name refers either to the
    /// old file or to the new one. Durable after [`Disk::sync_directory`].
    ///
    /// # Errors
    /// There is no such file, or it cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. Durable after [`Disk::sync_directory`].
    ///
    /// # Errors
    /// There is no such file, or it cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes all created, renamed and removed directory entries durable.
    ///
    /// # Errors
    /// It is unknown which changes to the directory are durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// The file that the owner of the directory holds locked.
const LOCK_FILE: &str = "lock";
/// Maximum number of cached file handles. Few suffice, since only one file is written at a time.
const MAX_OPEN_FILES: usize = 4;

/// A directory in the file system, either locked for writing by this process or opened for reading.
pub struct RealDisk {
    directory: PathBuf,
    open_files: HashMap<String, File>,
    /// Held until the disk is dropped or the process ends.
    _lock: Option<File>,
}

impl RealDisk {
    /// Locks a directory for writing; creates it if it does not exist.
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

    /// Opens a directory for reading, even if another process owns it. The caller must not write.
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

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.directory.join(name))?.len())
    }

    fn read_at(&self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        File::open(self.directory.join(name))?.read_at(buffer, offset)
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
