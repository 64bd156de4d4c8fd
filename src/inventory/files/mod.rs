//! File access of the inventory: reads an inventory file or a directory of inventory files, and the directories
//! `group_vars` and `host_vars` in the same base directory.

mod bundle;
mod load;
mod signature;

pub use bundle::{Bundle, BundleFile, Role};
pub use load::{LoadedFiles, load_files};
pub use signature::{FileSignature, FileStamp, signature};

use std::ffi::OsString;
use std::path::{Path, PathBuf};

const GROUP_VARS: &str = "group_vars";
const HOST_VARS: &str = "host_vars";

/// The directory that contains the inventory files and the variable directories.
fn base_directory(path: &Path) -> &Path {
    if path.is_dir() { path } else { path.parent().unwrap_or(Path::new("")) }
}

/// The path of the checksum file of an inventory file.
fn checksum_path(path: &Path) -> PathBuf {
    let mut name: OsString = path.as_os_str().to_owned();
    name.push(".sha256");
    name.into()
}
