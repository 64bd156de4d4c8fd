//! Section `inventory`: leaf servers by inventory files.

use super::setting::{Count, FieldContext, choices, records};
use crate::endpoints::{FileList, GuardSettings};
use crate::inventory::{Bounds, Field as EndpointField, Format, Mapping, Options};
use crate::yaml::Node;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Most inventory files that a process watches.
const MAX_FILES: usize = 16;

records! {
    /// Nodes by inventory files; off unless there is one.
    InventoryRecord {
        /// One file or directory with all defaults, beside this file unless absolute.
        file: Option<String> = None,
        /// Files or directories; a later one stands over an earlier one.
        files: Vec<FileRecord> = Vec::new(),
        /// Discovery goes on beside the files, and stands over them; otherwise they take its place.
        discovery: bool = false,
        /// How changes are noticed.
        watch: WatchRecord = WatchRecord::Auto,
        /// Milliseconds between two looks at the files.
        poll_ms: Count<50, 400> = Count(200),
        /// Milliseconds for which a file must stand still before it is taken.
        settle_ms: Count<5, 250> = Count(25),
        /// When a list is held back.
        guard: GuardRecord = GuardRecord::default(),
        /// What an inventory may hold at most.
        bounds: BoundsRecord = BoundsRecord::default(),
    }

    /// One inventory.
    FileRecord {
        /// File or directory, beside this file unless absolute.
        path: String = String::new(),
        /// How it is written.
        format: FormatRecord = FormatRecord::Auto,
        /// CSV's delimiter, one character; found out where it is left out.
        delimiter: Option<String> = None,
        /// It only adds to nodes that another source names, as a list of drains does; it may be empty.
        partial: bool = false,
        /// The last line of each whole file; a file without it is not taken.
        end_marker: Option<String> = None,
        /// A file PATH.sha256 holds each file's SHA-256; a file that differs is not taken.
        checksum: bool = false,
        /// Whether a file that ends within a line is held back.
        final_newline: NewlineRecord = NewlineRecord::Required,
        /// The column or variable for a field: name, address, port, cell, zone, state, weight, protocol, started_at_ms.
        fields: BTreeMap<String, String> = BTreeMap::new(),
        /// For a field, what the file's values stand for, as `state: {Active: ready, Decommissioning: draining}`.
        values: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new(),
        /// The value of a field that a host does not state.
        defaults: BTreeMap<String, String> = BTreeMap::new(),
    }

    /// When a new list is held back. Drains never are.
    GuardRecord {
        /// Percent of the nodes that one list may lose; a single node may always go.
        most_lost_percent: Count<0, 100> = Count(25),
        /// Seconds after which a held list that stands unchanged is taken; left out: only a command takes it.
        confirm_after_s: Option<Count<1, 86_400>> = None,
    }

    /// What an inventory may hold at most.
    BoundsRecord {
        /// Bytes of all its files.
        bytes: Count<1024, 268_435_456> = Count(16 << 20),
        /// Hosts, ranges written out.
        hosts: Count<1, 1_000_000> = Count(50_000),
        /// Groups within groups.
        depth: Count<1, 64> = Count(32),
        /// Values of one YAML file, aliases written out.
        values: Count<100, 50_000_000> = Count(2_000_000),
    }
}

choices! {
    /// How changes of files are noticed.
    WatchRecord {
        /// By the system's notices, and by looks.
        Auto = "auto",
        /// By the system's notices alone.
        Notify = "notify",
        /// By looks alone.
        Poll = "poll",
    }

    /// How an inventory is written.
    FormatRecord {
        /// By the file's name.
        Auto = "auto",
        /// Rows under a header.
        Csv = "csv",
        /// Ansible's groups.
        Yaml = "yaml",
    }

    /// Whether a whole file ends with a line end.
    NewlineRecord {
        /// One that ends within a line is held back.
        Required = "required",
        /// It may end within a line.
        Optional = "optional",
    }
}

/// Inventories and how they are watched.
#[derive(Clone, Debug)]
pub struct Inventory {
    /// The files, in ascending order of precedence.
    pub files: Vec<InventoryFile>,
    /// Discovery is used beside them.
    pub discovery: bool,
    /// How changes are noticed.
    pub watch: WatchRecord,
    /// Time between two polls of the files.
    pub poll: Duration,
    /// Time for which a file must be unchanged before it is read.
    pub settle: Duration,
    /// When a list is held back.
    pub guard: GuardSettings,
}

/// One inventory, as it was read at startup.
#[derive(Clone, Debug)]
pub struct InventoryFile {
    /// File or directory.
    pub path: PathBuf,
    /// How it is read.
    pub options: Options,
    /// Its content; empty if it was not read.
    pub list: Arc<FileList>,
}

impl InventoryRecord {
    /// The inventories that the record sets up, or `None` where it names no file. Settings that are right one by one and
    /// wrong together are reported to `root`. `tree` is the whole file, for line numbers.
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
            context.report(section.line, "names partial files only: nothing names the leaf servers");
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

    /// The records of all files, with `file` written out as a record.
    fn file_records(&self, line: u32, context: &mut FieldContext<'_>) -> Vec<FileRecord> {
        let mut records = self.files.clone();
        if let Some(path) = &self.file {
            if !records.is_empty() {
                context.field("file").report(line, "and files exclude each other");
            }
            records.push(FileRecord { path: path.clone(), ..FileRecord::default() });
        }
        if records.len() > MAX_FILES {
            context.field("files").report(line, format!("are more than {MAX_FILES}"));
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
    /// How the file is read; what is wrong is reported to `context`.
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

/// The entries of `setting` by the endpoint field that each names; names of no field are reported.
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
            let message = format!("is no field; there are {known}");
            context.field(setting).field(name).report(lines.of(setting), message);
        }
    }
    by_field
}

/// Lines of the section, for diagnostics.
struct SectionLines<'a> {
    /// The section's own line; 1 if the file has none.
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

/// Lines of one file's record, for diagnostics.
#[derive(Clone, Copy)]
struct FileLines<'a> {
    section_line: u32,
    /// The record in `files`; `None` where the short form `file` is used.
    node: Option<&'a Node>,
}

impl FileLines<'_> {
    /// The line of a field or, where it is left out, of the record.
    fn of(&self, field: &str) -> u32 {
        let Some(node) = self.node else { return self.section_line };
        node.get(field).map_or(node.line, |value| value.line)
    }
}
