//! Section `inventory`: leaf servers from inventory files.

use super::setting::{Count, FieldContext, choices, records};
use crate::endpoints::{FileList, GuardSettings};
use crate::inventory::{Bounds, Field as EndpointField, Format, Mapping, Options};
use crate::yaml::Node;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of entries in `files`.
const MAX_FILES: usize = 16;

records! {
    /// Leaf servers from inventory files; off unless `file` or `files` is set.
    InventoryRecord {
        /// A file or directory read with default options; relative to the directory of this file unless absolute.
        file: Option<String> = None,
        /// Files or directories, at most 16; a later one takes precedence over an earlier one.
        files: Vec<FileRecord> = Vec::new(),
        /// Whether discovery is used as well, with precedence over the files; otherwise the files replace it.
        discovery: bool = false,
        /// How changes of the files are detected.
        watch: WatchRecord = WatchRecord::Auto,
        /// Milliseconds between two polls of the files.
        poll_ms: Count<50, 400> = Count(200),
        /// Milliseconds for which a file must be unchanged before it is read.
        settle_ms: Count<5, 250> = Count(25),
        /// Checks that hold back a new list.
        guard: GuardRecord = GuardRecord::default(),
        /// Upper limits on an inventory.
        bounds: BoundsRecord = BoundsRecord::default(),
    }

    /// An inventory file or directory, and how it is read.
    FileRecord {
        /// Path of the file or directory, relative to the directory of the operator file unless absolute; required.
        path: String = String::new(),
        /// Format of the inventory.
        format: FormatRecord = FormatRecord::Auto,
        /// Delimiter of CSV, one ASCII character; detected if not set.
        delimiter: Option<String> = None,
        /// Whether it only adds to leaf servers that another source lists, as a list of drains does; it may be empty.
        partial: bool = false,
        /// Last line of each complete file; a file without it is rejected.
        end_marker: Option<String> = None,
        /// Whether PATH.sha256 holds the SHA-256 of each file PATH; a file that does not match it is rejected.
        checksum: bool = false,
        /// Whether a file without a final newline is held back.
        final_newline: NewlineRecord = NewlineRecord::Required,
        /// Column or variable for each field: name, address, port, cell, zone, state, weight, protocol, started_at_ms.
        fields: BTreeMap<String, String> = BTreeMap::new(),
        /// Meaning of the file's values of a field, such as `state: {Active: ready, Decommissioning: draining}`.
        values: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new(),
        /// Value of each field for the hosts that do not set it.
        defaults: BTreeMap<String, String> = BTreeMap::new(),
    }

    /// Checks that hold back a new list. Drains are never held back.
    GuardRecord {
        /// Maximum percentage of the leaf servers that one list may remove; a single one may always be removed.
        most_lost_percent: Count<0, 100> = Count(25),
        /// Seconds after which an unchanged list that is held back is applied; if not set, only a command applies it.
        confirm_after_s: Option<Count<1, 86_400>> = None,
    }

    /// Upper limits on an inventory.
    BoundsRecord {
        /// Bytes of all its files together.
        bytes: Count<1024, 268_435_456> = Count(16 << 20),
        /// Number of hosts, after ranges are expanded.
        hosts: Count<1, 1_000_000> = Count(50_000),
        /// Depth of nested groups and of nested values.
        depth: Count<1, 64> = Count(32),
        /// Values in one YAML file, after aliases are expanded.
        values: Count<100, 50_000_000> = Count(2_000_000),
    }
}

choices! {
    /// How changes of the files are detected.
    WatchRecord {
        /// By file-system notifications and by polling.
        Auto = "auto",
        /// By file-system notifications; by polling only if the system provides none.
        Notify = "notify",
        /// By polling only.
        Poll = "poll",
    }

    /// Format of an inventory.
    FormatRecord {
        /// By the file name: CSV for `.csv` and `.tsv`, otherwise YAML.
        Auto = "auto",
        /// CSV with a header.
        Csv = "csv",
        /// Ansible inventory in YAML or JSON.
        Yaml = "yaml",
    }

    /// Whether a complete file must end with a newline.
    NewlineRecord {
        /// A file that ends within a line is held back as truncated.
        Required = "required",
        /// A file may end within a line.
        Optional = "optional",
    }
}

/// The resolved settings of all inventories.
#[derive(Clone, Debug)]
pub struct Inventory {
    /// The files, in ascending order of precedence.
    pub files: Vec<InventoryFile>,
    /// Whether discovery is used as well.
    pub discovery: bool,
    /// How changes of the files are detected.
    pub watch: WatchRecord,
    /// Time between two polls of the files.
    pub poll: Duration,
    /// Time for which a file must be unchanged before it is read.
    pub settle: Duration,
    /// Checks that hold back a new list.
    pub guard: GuardSettings,
}

/// An inventory file or directory, with its content at startup.
#[derive(Clone, Debug)]
pub struct InventoryFile {
    /// Path of the file or directory.
    pub path: PathBuf,
    /// Options for reading it, such as its format.
    pub options: Options,
    /// Endpoints at startup; empty until the file is read.
    pub list: Arc<FileList>,
}

impl InventoryRecord {
    /// The settings of the inventories, or `None` if the record names no file. Settings that contradict each other are
    /// reported to `root`. `tree` is the complete file, for line numbers.
    pub(super) fn resolve(&self, tree: &Node, root: &mut FieldContext<'_>, base: &Path) -> Option<Inventory> {
        let mut context = root.field("inventory");
        let section = SectionLines::of(tree.get("inventory"));
        let records = self.file_records(section.line, &mut context);
        let bounds = self.bounds.resolve();
        let mut files = Vec::new();
        for (index, record) in records.iter().enumerate() {
            let lines = section.file(index);
            let mut context = match lines.node {
                Some(_) => context.field(&format!("files[{index}]")),
                None => context.field("file"),
            };
            let options = record.resolve(lines, &mut context, bounds);
            files.push(InventoryFile { path: base.join(&record.path), options, list: Arc::default() });
        }
        if files.is_empty() {
            return None;
        }
        if !self.discovery && files.iter().all(|file| file.options.partial) {
            context
                .report(section.line, "names partial files only, so that no source lists the leaf servers");
        }
        Some(Inventory {
            files,
            discovery: self.discovery,
            watch: self.watch,
            poll: Duration::from_millis(self.poll_ms.0),
            settle: Duration::from_millis(self.settle_ms.0),
            guard: self.guard.resolve(),
        })
    }

    /// The records of all files, including the one in the short form `file`.
    fn file_records(&self, line: u32, context: &mut FieldContext<'_>) -> Vec<FileRecord> {
        let mut records = self.files.clone();
        if let Some(path) = &self.file {
            if !records.is_empty() {
                context.field("file").report(line, "cannot be combined with files");
            }
            records.push(FileRecord { path: path.clone(), ..FileRecord::default() });
        }
        if records.len() > MAX_FILES {
            context.field("files").report(line, format!("must have at most {MAX_FILES} entries"));
        }
        records
    }
}

impl GuardRecord {
    fn resolve(&self) -> GuardSettings {
        GuardSettings {
            max_removed_fraction: self.most_lost_percent.0 as f64 / 100.0,
            confirm_after: self.confirm_after_s.map(|seconds| seconds.0 as f64 * 1e3),
        }
    }
}

impl BoundsRecord {
    fn resolve(&self) -> Bounds {
        Bounds {
            bytes: self.bytes.0,
            hosts: self.hosts.0 as usize,
            depth: self.depth.0 as usize,
            values: self.values.0,
            ..Bounds::default()
        }
    }
}

impl FileRecord {
    /// The options for reading the file; problems are reported to `context`.
    fn resolve(&self, lines: FileLines<'_>, context: &mut FieldContext<'_>, bounds: Bounds) -> Options {
        if self.path.is_empty() {
            context.field("path").report(lines.of("path"), "is missing");
        }
        Options {
            mapping: self.mapping(lines, context),
            delimiter: self.delimiter(lines, context),
            format: match self.format {
                FormatRecord::Auto => None,
                FormatRecord::Csv => Some(Format::Csv),
                FormatRecord::Yaml => Some(Format::Yaml),
            },
            partial: self.partial,
            end_marker: self.end_marker.clone(),
            checksum: self.checksum,
            accepts_missing_final_newline: self.final_newline == NewlineRecord::Optional,
            bounds,
        }
    }

    fn mapping(&self, lines: FileLines<'_>, context: &mut FieldContext<'_>) -> Mapping {
        Mapping {
            fields: by_endpoint_field("fields", &self.fields, lines, context),
            values: by_endpoint_field("values", &self.values, lines, context),
            defaults: by_endpoint_field("defaults", &self.defaults, lines, context),
        }
    }

    fn delimiter(&self, lines: FileLines<'_>, context: &mut FieldContext<'_>) -> Option<u8> {
        let delimiter = self.delimiter.as_ref()?;
        match delimiter.as_bytes() {
            [byte] if byte.is_ascii() && !matches!(byte, b'"' | b'\r' | b'\n') => Some(*byte),
            _ => {
                context.field("delimiter").report(lines.of("delimiter"), "must be one character");
                None
            }
        }
    }
}

/// The entries of `setting` by endpoint field; names that are not a field are reported.
fn by_endpoint_field<T: Clone>(
    setting: &str,
    entries: &BTreeMap<String, T>,
    lines: FileLines<'_>,
    context: &mut FieldContext<'_>,
) -> BTreeMap<EndpointField, T> {
    let mut by_field = BTreeMap::new();
    for (name, value) in entries {
        if let Some(field) = EndpointField::from_name(name) {
            by_field.insert(field, value.clone());
        } else {
            let known = EndpointField::ALL.map(EndpointField::name).join(", ");
            let message = format!("is not a field; known fields: {known}");
            context.field(setting).field(name).report(lines.of(setting), message);
        }
    }
    by_field
}

/// Line numbers of the section, for diagnostics.
struct SectionLines<'a> {
    /// Line of the section; 1 if the file does not have it.
    line: u32,
    files: &'a [Rc<Node>],
}

impl<'a> SectionLines<'a> {
    fn of(section: Option<&'a Rc<Node>>) -> Self {
        let files = section.and_then(|node| node.get("files")).and_then(|node| node.list());
        SectionLines { line: section.map_or(1, |node| node.line), files: files.unwrap_or_default() }
    }

    fn file(&self, index: usize) -> FileLines<'a> {
        FileLines { section_line: self.line, node: self.files.get(index).map(|node| &**node) }
    }
}

/// Line numbers of one file's record, for diagnostics.
#[derive(Clone, Copy)]
struct FileLines<'a> {
    section_line: u32,
    /// The record in `files`; `None` for the short form `file`.
    node: Option<&'a Node>,
}

impl FileLines<'_> {
    /// The line of a field or, if it is not set, of the record.
    fn of(&self, field: &str) -> u32 {
        let Some(node) = self.node else { return self.section_line };
        node.get(field).map_or(node.line, |value| value.line)
    }
}
