//! Options for reading an inventory, set by the operator file or the command line.

use super::mapping::Mapping;
use std::path::Path;

/// The format of an inventory file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// CSV with a header.
    Csv,
    /// Ansible's YAML inventory. Includes JSON, which is a subset of YAML.
    Yaml,
}

impl Format {
    /// The format by file extension: `.csv` and `.tsv` are CSV, anything else is YAML.
    pub fn of(path: &str) -> Self {
        let extension = Path::new(path).extension().and_then(|extension| extension.to_str());
        match extension.unwrap_or_default().to_ascii_lowercase().as_str() {
            "csv" | "tsv" => Format::Csv,
            _ => Format::Yaml,
        }
    }
}

/// Upper bounds on an inventory, which limit the time and memory that reading it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum total size of all files, in bytes; 16 MiB by default.
    pub bytes: u64,
    /// Maximum number of files, including variable files; 4096 by default.
    pub files: usize,
    /// Maximum number of hosts after ranges are expanded; 50,000 by default.
    pub hosts: usize,
    /// Maximum depth of nested groups; 32 by default. YAML nodes may be nested twice as deeply.
    pub depth: usize,
    /// Maximum number of values in one YAML file after aliases are expanded; 2 million by default.
    pub values: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { bytes: 16 << 20, files: 4096, hosts: 50_000, depth: 32, values: 2_000_000 }
    }
}

/// Options for reading an inventory.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Format of the inventory files; `None` chooses it by file extension.
    pub format: Option<Format>,
    /// Delimiter of CSV files; `None` detects it from the header.
    pub delimiter: Option<u8>,
    /// Mapping of columns, variables and their values to endpoint fields.
    pub mapping: Mapping,
    /// Whether the inventory only supplements endpoints of another source. Addresses and cells are then optional, and
    /// the inventory may be empty.
    pub partial: bool,
    /// Last line that every inventory file must have; `None` disables the check.
    pub end_marker: Option<String>,
    /// Whether every inventory file needs a matching SHA-256 checksum in a file with the same name and the suffix
    /// `.sha256`.
    pub checksum: bool,
    /// Whether a file without a final newline counts as complete.
    pub accepts_missing_final_newline: bool,
    /// Upper bounds on size, hosts and nesting.
    pub bounds: Bounds,
}
