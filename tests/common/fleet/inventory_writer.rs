//! Writes an inventory file in the ways that common tools do.

use super::super::process::scratch_dir;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// How a tool writes an inventory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteMethod {
    /// A new file is renamed over the old one.
    Rename,
    /// The existing file is truncated and rewritten.
    InPlace,
    /// The existing file is truncated and rewritten in two halves with a pause in between.
    Paused,
    /// A symbolic link to the directory is replaced, as Kubernetes does with `..data`.
    SymlinkSwap,
    /// The whole directory is replaced.
    DirectorySwap,
    /// The file is removed and written again after a delay.
    RemoveAndRewrite,
}

/// All methods.
pub const WRITE_METHODS: [WriteMethod; 6] = [
    WriteMethod::Rename,
    WriteMethod::InPlace,
    WriteMethod::Paused,
    WriteMethod::SymlinkSwap,
    WriteMethod::DirectorySwap,
    WriteMethod::RemoveAndRewrite,
];

/// Writes the versions of an inventory file by one method.
pub struct InventoryWriter {
    method: WriteMethod,
    base: PathBuf,
    file: String,
    versions: u32,
}

impl InventoryWriter {
    pub fn new(method: WriteMethod, file: &str) -> Self {
        InventoryWriter { method, base: scratch_dir("written"), file: file.to_owned(), versions: 0 }
    }

    /// Where the aggregator finds the file.
    pub fn path(&self) -> PathBuf {
        match self.method {
            WriteMethod::DirectorySwap => self.base.join("live").join(&self.file),
            _ => self.base.join(&self.file),
        }
    }

    /// Writes a new version, which is complete and in place when this returns.
    pub fn write(&mut self, text: &str) {
        self.versions += 1;
        let fresh = self.base.join(format!("fresh{}", self.versions));
        match self.method {
            WriteMethod::Rename => {
                fs::write(&fresh, text).expect("written");
                fs::rename(&fresh, self.path()).expect("renamed");
            }
            WriteMethod::InPlace => fs::write(self.path(), text).expect("written"),
            WriteMethod::Paused => {
                let open = OpenOptions::new().write(true).create(true).truncate(true).open(self.path());
                let mut file = open.expect("opened");
                // The split is in the middle of a line and not at the very end of the list.
                let (half, rest) = text.as_bytes().split_at(text.len() / 2);
                file.write_all(half).expect("written");
                thread::sleep(Duration::from_millis(150));
                file.write_all(rest).expect("written");
            }
            WriteMethod::SymlinkSwap => {
                fs::create_dir(&fresh).expect("made");
                fs::write(fresh.join(&self.file), text).expect("written");
                let data = self.base.join("..data");
                let link = self.base.join("..link");
                symlink(&fresh, &link).expect("linked");
                fs::rename(&link, &data).expect("renamed");
                if self.versions == 1 {
                    symlink(Path::new("..data").join(&self.file), self.path()).expect("linked");
                } else {
                    fs::remove_dir_all(self.base.join(format!("fresh{}", self.versions - 1)))
                        .expect("removed");
                }
            }
            WriteMethod::DirectorySwap => {
                fs::create_dir(&fresh).expect("made");
                fs::write(fresh.join(&self.file), text).expect("written");
                let live = self.base.join("live");
                let old = self.base.join(format!("old{}", self.versions));
                if self.versions > 1 {
                    fs::rename(&live, &old).expect("renamed");
                }
                fs::rename(&fresh, &live).expect("renamed");
                let _ = fs::remove_dir_all(old);
            }
            WriteMethod::RemoveAndRewrite => {
                let _ = fs::remove_file(self.path());
                thread::sleep(Duration::from_millis(120));
                fs::write(&fresh, text).expect("written");
                fs::rename(&fresh, self.path()).expect("renamed");
            }
        }
    }
}
