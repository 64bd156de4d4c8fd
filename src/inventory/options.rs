//! How an inventory is read. The operator's file sets it.

use super::mapping::Mapping;
use std::path::Path;

/// The format of an inventory file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// CSV with a header.
    Csv,
    /// Ansible's YAML inventory; JSON is YAML too.
    Yaml,
}

impl Format {
    /// The format by a file's name: `.csv` and `.tsv` are CSV, any other is YAML.
    pub fn of(path: &str) -> Self {
        let extension = Path::new(path).extension().and_then(|extension| extension.to_str());
        match extension.unwrap_or_default().to_ascii_lowercase().as_str() {
            "csv" | "tsv" => Format::Csv,
            _ => Format::Yaml,
        }
    }
}

/// Upper bounds on an inventory, so that no file takes unbounded time or memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of all its files.
    pub bytes: u64,
    /// Files, including those with variables.
    pub files: usize,
    /// Hosts, after ranges are expanded.
    pub hosts: usize,
    /// Depth of nested values and of nested groups.
    pub depth: usize,
    /// Values of one YAML file, after aliases are expanded.
    pub values: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { bytes: 16 << 20, files: 4096, hosts: 50_000, depth: 32, values: 2_000_000 }
    }
}

/// How an inventory is read.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The format; by the file's name if it is not set.
    pub format: Option<Format>,
    /// The delimiter of CSV; detected if it is not set.
    pub delimiter: Option<u8>,
    /// Columns, variables and values as the tools name them.
    pub mapping: Mapping,
    /// The inventory only adds to endpoints that another source lists: it needs no address and no cell, and may be
    /// empty.
    pub partial: bool,
    /// The last line that each complete file has.
    pub end_marker: Option<String>,
    /// Whether a complete file has its SHA-256 in a file of the same name with `.sha256`.
    pub checksum: bool,
    /// Whether a complete file may lack the last line end.
    pub accepts_missing_final_newline: bool,
    /// Upper bounds.
    pub bounds: Bounds,
}
