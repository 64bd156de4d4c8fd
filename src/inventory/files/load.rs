//! Reads all files of an inventory.

use super::super::options::{Bounds, Options};
use super::bundle::{Bundle, BundleFile, Role};
use super::signature::FileStamp;
use super::{GROUP_VARS, HOST_VARS, base_directory, checksum_path};
use crate::diagnostic::{Diagnostic, Diagnostics};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Extensions that Ansible ignores in a directory.
const IGNORED_EXTENSIONS: [&str; 9] = ["orig", "bak", "ini", "cfg", "retry", "pyc", "pyo", "swp", "sha256"];
/// Extensions that files of variables may have behind the name of their group or host.
const VARIABLE_SUFFIXES: [&str; 3] = [".yml", ".yaml", ".json"];

/// A file that is kept open, and its stamp before it was read.
struct OpenFile {
    file: File,
    stamp: FileStamp,
}

impl OpenFile {
    /// Whether the file has not changed since it was read.
    fn is_unchanged(&mut self, content: &[u8]) -> bool {
        let has_same_stamp =
            self.file.metadata().is_ok_and(|metadata| FileStamp::new(&metadata) == self.stamp);
        // The times of files have a granularity of some milliseconds, so the bytes decide.
        has_same_stamp && self.read_again().is_ok_and(|bytes| bytes == content)
    }

    fn read_again(&mut self) -> io::Result<Vec<u8>> {
        self.file.seek(SeekFrom::Start(0))?;
        let mut bytes = Vec::new();
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

/// The content of an inventory. Its files stay open, so that they can be compared with it again even if their names
/// refer to other files by then.
pub struct LoadedFiles {
    /// The content.
    pub bundle: Bundle,
    open_files: Vec<OpenFile>,
}

impl LoadedFiles {
    /// Whether a file was modified less than `age` ago, so that its stamp may not show another change.
    pub fn modified_within(&self, age: Duration) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.open_files.iter().any(|open| now.saturating_sub(open.stamp.modified()) < age)
    }

    /// Whether all files are unchanged since they were read. A file that was renamed is unchanged.
    pub fn is_stable(&mut self) -> bool {
        let mut files = self.open_files.iter_mut().zip(&self.bundle.files);
        files.all(|(open, file)| open.is_unchanged(&file.content))
    }
}

/// Reads all files of an inventory.
///
/// # Errors
/// A file cannot be read, or the inventory exceeds a bound.
pub fn load_files(path: &Path, options: &Options) -> Result<LoadedFiles, Diagnostics> {
    let mut loader = FileLoader {
        base: base_directory(path),
        has_checksums: options.checksum,
        bounds: options.bounds,
        bytes: 0,
        files: Vec::new(),
        open_files: Vec::new(),
    };
    loader.read_all(path).map_err(|problem| Diagnostics(vec![problem]))?;
    Ok(LoadedFiles { bundle: Bundle { files: loader.files }, open_files: loader.open_files })
}

struct FileLoader<'a> {
    /// The inventory's directory.
    base: &'a Path,
    has_checksums: bool,
    bounds: Bounds,
    /// Bytes read so far.
    bytes: u64,
    files: Vec<BundleFile>,
    open_files: Vec<OpenFile>,
}

impl FileLoader<'_> {
    fn read_all(&mut self, path: &Path) -> Result<(), Diagnostic> {
        if path.is_dir() {
            self.read_directory(path)?;
        } else {
            self.read_file(path, Role::Inventory)?;
        }
        self.read_variables(&self.base.join(GROUP_VARS), Role::GroupVars)?;
        self.read_variables(&self.base.join(HOST_VARS), Role::HostVars)
    }

    fn read_directory(&mut self, directory: &Path) -> Result<(), Diagnostic> {
        for path in sorted_entries(directory)? {
            let name = file_name(&path);
            if is_hidden_or_backup(name) || has_ignored_extension(&path) {
                continue;
            }
            if !path.is_dir() {
                self.read_file(&path, Role::Inventory)?;
            } else if name != GROUP_VARS && name != HOST_VARS {
                return Err(whole_file(&path, "is a directory within an inventory, which is not read"));
            }
        }
        Ok(())
    }

    /// Reads files `NAME`, `NAME.yml`, `NAME.yaml`, `NAME.json`, or all files of a directory `NAME`, in order.
    fn read_variables(&mut self, directory: &Path, role: fn(String) -> Role) -> Result<(), Diagnostic> {
        if !directory.is_dir() {
            return Ok(());
        }
        for path in sorted_entries(directory)? {
            let name = file_name(&path);
            if is_hidden_or_backup(name) {
                continue;
            }
            if path.is_dir() {
                self.read_variable_directory(&path, &role(name.to_owned()))?;
            } else if !has_ignored_extension(&path) {
                let stem = VARIABLE_SUFFIXES.iter().find_map(|suffix| name.strip_suffix(suffix));
                self.read_file(&path, role(stem.unwrap_or(name).to_owned()))?;
            }
        }
        Ok(())
    }

    fn read_variable_directory(&mut self, directory: &Path, role: &Role) -> Result<(), Diagnostic> {
        for path in sorted_entries(directory)? {
            let is_hidden = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'));
            if path.is_file() && !is_hidden && !has_ignored_extension(&path) {
                self.read_file(&path, role.clone())?;
            }
        }
        Ok(())
    }

    fn read_file(&mut self, path: &Path, role: Role) -> Result<(), Diagnostic> {
        if self.files.len() >= self.bounds.files {
            return Err(whole_file(path, format!("is one of more than {} files", self.bounds.files)));
        }
        let unreadable = |error: io::Error| whole_file(path, error.to_string());
        let mut file = File::open(path).map_err(unreadable)?;
        // The stamp of before the read: a write during the read changes it.
        let metadata = file.metadata().map_err(unreadable)?;
        if !metadata.is_file() {
            return Err(whole_file(path, "is no file"));
        }
        let mut content = Vec::new();
        let bytes_left = self.bounds.bytes.saturating_sub(self.bytes);
        (&mut file).take(bytes_left + 1).read_to_end(&mut content).map_err(unreadable)?;
        self.bytes += content.len() as u64;
        if self.bytes > self.bounds.bytes {
            let message = format!("passes {} bytes, the most for an inventory", self.bounds.bytes);
            return Err(whole_file(path, message));
        }
        let mut checksum = None;
        if self.has_checksums && role == Role::Inventory {
            checksum = fs::read_to_string(checksum_path(path)).ok();
        }
        self.open_files.push(OpenFile { file, stamp: FileStamp::new(&metadata) });
        let relative_path = path.strip_prefix(self.base).unwrap_or(path).display().to_string();
        let name = path.display().to_string().into();
        self.files.push(BundleFile { name, relative_path, role, content, checksum });
        Ok(())
    }
}

fn whole_file(path: &Path, message: impl Into<String>) -> Diagnostic {
    Diagnostic::for_file(&path.display().to_string(), message)
}

/// The name of a file; empty if it is not UTF-8.
fn file_name(path: &Path) -> &str {
    path.file_name().and_then(|name| name.to_str()).unwrap_or_default()
}

fn is_hidden_or_backup(name: &str) -> bool {
    name.starts_with('.') || name.ends_with('~')
}

/// Only known extensions are ignored: what stands behind a dot may be a part of a host's name.
fn has_ignored_extension(path: &Path) -> bool {
    let extension = path.extension().and_then(|extension| extension.to_str());
    extension.is_some_and(|extension| IGNORED_EXTENSIONS.contains(&extension))
}

fn sorted_entries(directory: &Path) -> Result<Vec<PathBuf>, Diagnostic> {
    let unreadable = |error: io::Error| whole_file(directory, error.to_string());
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).map_err(unreadable)? {
        paths.push(entry.map_err(unreadable)?.path());
    }
    paths.sort();
    Ok(paths)
}
