//! Files that are written in pieces, so that their size is not limited by the memory.

use super::disk::Disk;
use crate::hex;
use sha2::{Digest, Sha256};
use std::io;

/// Number of bytes that are collected before they are written.
const WRITE_BYTES: usize = 64 << 10;

/// A file that is being written under a temporary name, and its hash so far.
pub(super) struct OutputFile {
    temporary_name: String,
    pending: Vec<u8>,
    hash: Sha256,
}

impl OutputFile {
    /// Starts a file, which replaces any file with the temporary name.
    ///
    /// # Errors
    /// The disk failed.
    pub fn create(disk: &mut impl Disk, temporary_name: String) -> io::Result<Self> {
        remove_if_present(disk, &temporary_name)?;
        Ok(OutputFile { temporary_name, pending: Vec::new(), hash: Sha256::new() })
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// The disk failed.
    pub fn write(&mut self, disk: &mut impl Disk, bytes: &[u8]) -> io::Result<()> {
        self.hash.update(bytes);
        self.pending.extend_from_slice(bytes);
        if self.pending.len() >= WRITE_BYTES {
            self.flush(disk)?;
        }
        Ok(())
    }

    /// Makes the file durable under its name: after a crash it is either complete or absent. Returns its SHA-256 in hex.
    ///
    /// # Errors
    /// The disk failed.
    pub fn finish(mut self, disk: &mut impl Disk, name: &str) -> io::Result<String> {
        self.flush(disk)?;
        disk.sync(&self.temporary_name)?;
        disk.rename(&self.temporary_name, name)?;
        disk.sync_directory()?;
        Ok(hex::encode(&self.hash.finalize()))
    }

    fn flush(&mut self, disk: &mut impl Disk) -> io::Result<()> {
        disk.append(&self.temporary_name, &self.pending)?;
        self.pending.clear();
        Ok(())
    }
}

/// A temporary file from which its content is copied into another one.
pub(super) struct SpoolFile {
    name: String,
    pending: Vec<u8>,
    length: u64,
}

impl SpoolFile {
    /// Starts a file, which replaces any file with that name.
    ///
    /// # Errors
    /// The disk failed.
    pub fn create(disk: &mut impl Disk, name: String) -> io::Result<Self> {
        remove_if_present(disk, &name)?;
        Ok(SpoolFile { name, pending: Vec::new(), length: 0 })
    }

    /// Number of bytes written so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// The disk failed.
    pub fn write(&mut self, disk: &mut impl Disk, bytes: &[u8]) -> io::Result<()> {
        self.length += bytes.len() as u64;
        self.pending.extend_from_slice(bytes);
        if self.pending.len() >= WRITE_BYTES {
            disk.append(&self.name, &self.pending)?;
            self.pending.clear();
        }
        Ok(())
    }

    /// Removes the file.
    ///
    /// # Errors
    /// The disk failed.
    pub fn remove(self, disk: &mut impl Disk) -> io::Result<()> {
        remove_if_present(disk, &self.name)
    }

    /// Appends the content to another file and removes this one.
    ///
    /// # Errors
    /// The disk failed.
    pub fn move_into(self, disk: &mut impl Disk, output: &mut OutputFile) -> io::Result<()> {
        let stored = self.length - self.pending.len() as u64;
        let mut piece = vec![0; WRITE_BYTES];
        let mut offset = 0;
        while offset < stored {
            let wanted = piece.len().min((stored - offset) as usize);
            let read = disk.read_at(&self.name, offset, &mut piece[..wanted])?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            output.write(disk, &piece[..read])?;
            offset += read as u64;
        }
        output.write(disk, &self.pending)?;
        self.remove(disk)
    }
}

fn remove_if_present(disk: &mut impl Disk, name: &str) -> io::Result<()> {
    if disk.list()?.iter().any(|existing| existing == name) {
        disk.remove(name)?;
    }
    Ok(())
}
