//! Loads all files of an inventory into memory.

use super::super::options::{Bounds, Options};
use super::bundle::{Bundle, BundleFile, Role};
use super::signature::FileStamp;
use super::{GROUP_VARS, HOST_VARS, base_directory, checksum_path};
use crate::diagnostic::{Diagnostic, Diagnostics};
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Extensions of files in a directory that are not read: those that Ansible ignores, and checksum files.
const IGNORED_EXTENSIONS: [&str; 9] = ["orig", "bak", "ini", "cfg", "retry", "pyc", "pyo", "swp", "sha256"];
/// Extensions that may follow the name of the group or host in the name of a variable file.
const VARIABLE_SUFFIXES: [&str; 3] = [".yml", ".yaml", ".json"];

/// A file that is kept open, with its stamp from before it was read.
struct OpenFile {
    file: File,
    stamp: FileStamp,
}

impl OpenFile {
    /// Whether the file still has this content and the stamp from before the read.
    fn is_unchanged(&mut self, content: &[u8]) -> bool {
        let has_same_stamp =
            self.file.metadata().is_ok_and(|metadata| FileStamp::new(&metadata) == self.stamp);
        // File times have a granularity of some milliseconds, so an equal stamp does not prove equal content.
        has_same_stamp && self.reread().is_ok_and(|bytes| bytes == content)
    }

    fn reread(&mut self) -> io::Result<Vec<u8>> {
        self.file.seek(SeekFrom::Start(0))?;
        let mut bytes = Vec::new();
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

/// The content of an inventory with its files held open, so that they can be read again for comparison even if their
/// paths refer to other files by then.
pub struct LoadedFiles {
    /// The files and their content.
    pub bundle: Bundle,
    open_files: Vec<OpenFile>,
}

impl LoadedFiles {
    /// Whether a file was modified less than `age` ago. Within the granularity of file times, its stamp may not show a
    /// further change.
    pub fn modified_within(&self, age: Duration) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.open_files.iter().any(|open| now.saturating_sub(open.stamp.modified()) < age)
    }

    /// Whether all files are unchanged since they were read. A renamed file counts as unchanged.
    pub fn is_stable(&mut self) -> bool {
        let mut files = self.open_files.iter_mut().zip(&self.bundle.files);
        files.all(|(open, file)| open.is_unchanged(&file.content))
    }
}

/// Loads an inventory file or the inventory files of a directory, with `group_vars` and `host_vars`.
///
/// # Errors
/// A file cannot be read, or the inventory exceeds one of its bounds.
pub fn load_files(path: &Path, options: &Options) -> Result<LoadedFiles, Diagnostics> {
    let mut loader = FileLoader {
        base: base_directory(path),
        reads_checksums: options.checksum,
        bounds: options.bounds,
        bytes: 0,
        files: Vec::new(),
        open_files: Vec::new(),
    };
    loader.read_all(path).map_err(|problem| Diagnostics(vec![problem]))?;
    Ok(LoadedFiles { bundle: Bundle { files: loader.files }, open_files: loader.open_files })
}

struct FileLoader<'a> {
    /// Base directory of the inventory.
    base: &'a Path,
    reads_checksums: bool,
    bounds: Bounds,
    /// Number of bytes read so far.
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
                return Err(file_diagnostic(
                    &path,
                    "is a subdirectory; only group_vars and host_vars are supported",
                ));
            }
        }
        Ok(())
    }

    /// Reads the variables of each `NAME` in sorted order: from the files `NAME`, `NAME.yml`, `NAME.yaml` and
    /// `NAME.json`, and from all files of a directory `NAME`.
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
            return Err(file_diagnostic(path, format!("exceeds the maximum of {} files", self.bounds.files)));
        }
        let read_error = |error: io::Error| file_diagnostic(path, error.to_string());
        let mut file = File::open(path).map_err(read_error)?;
        // The stamp is taken before the read, so that a write during the read changes it.
        let metadata = file.metadata().map_err(read_error)?;
        if !metadata.is_file() {
            return Err(file_diagnostic(path, "is not a regular file"));
        }
        let mut content = Vec::new();
        let bytes_left = self.bounds.bytes.saturating_sub(self.bytes);
        (&mut file).take(bytes_left + 1).read_to_end(&mut content).map_err(read_error)?;
        self.bytes += content.len() as u64;
        if self.bytes > self.bounds.bytes {
            let message = format!("exceeds the maximum inventory size of {} bytes", self.bounds.bytes);
            return Err(file_diagnostic(path, message));
        }
        let mut checksum = None;
        if self.reads_checksums && role == Role::Inventory {
            checksum = fs::read_to_string(checksum_path(path)).ok();
        }
        self.open_files.push(OpenFile { file, stamp: FileStamp::new(&metadata) });
        let relative_path = path.strip_prefix(self.base).unwrap_or(path).display().to_string();
        let name = path.display().to_string().into();
        self.files.push(BundleFile { name, relative_path, role, content, checksum });
        Ok(())
    }
}

fn file_diagnostic(path: &Path, message: impl Into<String>) -> Diagnostic {
    Diagnostic::for_file(&path.display().to_string(), message)
}

/// The last component of a path; empty if it is not valid UTF-8.
fn file_name(path: &Path) -> &str {
    path.file_name().and_then(|name| name.to_str()).unwrap_or_default()
}

fn is_hidden_or_backup(name: &str) -> bool {
    name.starts_with('.') || name.ends_with('~')
}

/// Only known extensions are ignored, because the part after a dot may belong to a host name.
fn has_ignored_extension(path: &Path) -> bool {
    let extension = path.extension().and_then(|extension| extension.to_str());
    extension.is_some_and(|extension| IGNORED_EXTENSIONS.contains(&extension))
}

fn sorted_entries(directory: &Path) -> Result<Vec<PathBuf>, Diagnostic> {
    let read_error = |error: io::Error| file_diagnostic(directory, error.to_string());
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).map_err(read_error)? {
        paths.push(entry.map_err(read_error)?.path());
    }
    paths.sort();
    Ok(paths)
}
