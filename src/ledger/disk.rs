//! The file operations that the ledger needs, and nothing more: tests put one with faults in their place.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// A directory of files. What was written is kept through a power cut once it was synced; a name, once the directory was.
pub trait Disk {
    /// The names of all files.
    ///
    /// # Errors
    /// As the system says.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A whole file.
    ///
    /// # Errors
    /// As the system says.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Adds to the end of a file, which is made if it is not there.
    ///
    /// # Errors
    /// As the system says; some of it may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to a length.
    ///
    /// # Errors
    /// As the system says.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Syncs a file's bytes.
    ///
    /// # Errors
    /// As the system says: then nothing is known of what was written since the last sync.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, in the place of any file of that name.
    ///
    /// # Errors
    /// As the system says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// As the system says.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Syncs the names.
    ///
    /// # Errors
    /// As the system says.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A directory that this process owns, by a lock that ends with the process.
pub struct RealDisk {
    dir: PathBuf,
    open: HashMap<String, File>,
    _lock: Option<File>,
}

/// The file that is locked.
const LOCK: &str = "lock";

impl RealDisk {
    /// Takes ownership of a directory, which is made if it is not there.
    ///
    /// # Errors
    /// [`ErrorKind::WouldBlock`] if another process owns it.
    pub fn own(dir: &Path) -> io::Result<Self> {
        fs::create_dir_all(dir)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(dir.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let problem = format!("{}: another process owns this ledger", dir.display());
                return Err(io::Error::new(ErrorKind::WouldBlock, problem));
            }
            Err(TryLockError::Error(e)) => return Err(e),
        }
        Ok(RealDisk { dir: dir.to_owned(), open: HashMap::new(), _lock: Some(lock) })
    }

    /// Looks at a directory that another process may own; nothing is to be written.
    pub fn look(dir: &Path) -> Self {
        RealDisk { dir: dir.to_owned(), open: HashMap::new(), _lock: None }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().create(true).append(true).open(self.dir.join(name))?;
            // One is written at a time: a few open files are enough.
            if self.open.len() >= 4 {
                self.open.clear();
            }
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for RealDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.dir)?;
        let names = entries.map(|e| e.map(|e| e.file_name().to_string_lossy().into_owned()));
        let mut names: Vec<String> =
            names.filter(|n| n.as_ref().map_or(true, |n| n != LOCK)).collect::<Result<_, _>>()?;
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.dir.join(name))
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
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.dir.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }
}
