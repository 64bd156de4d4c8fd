//! Reads CSV files with a header: each row is a host, each column a variable.

use super::ansible::{Hosts, VariableMap};
use super::error::HostError;
use super::files::BundleFile;
use super::mapping::{Field, Mapping};
use super::options::Options;
use crate::diagnostic::Diagnostic;
use crate::endpoints::SourceLocation;
use crate::yaml::{Kind, Node};
use csv::{ReaderBuilder, StringRecord, Trim};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

/// Delimiters that are detected, in descending order of preference.
const DELIMITERS: [u8; 4] = [b',', b';', b'\t', b'|'];

/// Reads a CSV file, adds its hosts to `hosts` and appends its problems to `problems`.
pub(super) fn read(
    hosts: &mut Hosts,
    file_index: u16,
    file: &BundleFile,
    text: &str,
    options: &Options,
    problems: &mut Vec<Diagnostic>,
) {
    let delimiter = options.delimiter.unwrap_or_else(|| detect_delimiter(text, &options.mapping));
    let reader = ReaderBuilder::new()
        .delimiter(delimiter)
        .trim(Trim::All)
        .comment(Some(b'#'))
        .flexible(true)
        .has_headers(false)
        .from_reader(text.as_bytes());
    let mut table = Table { hosts, file_index, options, columns: None, first_lines: HashMap::new() };
    for row in reader.into_records() {
        let result = match row {
            Ok(row) => table.add(&row),
            Err(error) => {
                let line = error.position().map_or(1, |position| position.line() as u32);
                Err(Problem { line, field: "", error: RowError::Csv(error), is_fatal: true })
            }
        };
        if let Err(problem) = result {
            problems.push(Diagnostic::at(&file.name, problem.line, problem.field, problem.error.to_string()));
            if problem.is_fatal {
                return;
            }
        }
    }
}

/// A problem with a row or the header.
struct Problem {
    line: u32,
    /// `header`, `row` or `name`; empty for a CSV syntax error.
    field: &'static str,
    error: RowError,
    /// Whether reading stops, because the following rows cannot be read or added.
    is_fatal: bool,
}

enum RowError {
    Csv(csv::Error),
    DuplicateColumn(String),
    MissingNameColumn { wanted: Vec<String>, columns: Vec<String> },
    CellCount { cells: usize, columns: usize },
    MissingName,
    Duplicate { name: String, first_line: u32 },
    Host(HostError),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Csv(error) => write!(f, "{error}"),
            Self::DuplicateColumn(name) => write!(f, "column {name} is listed twice"),
            Self::MissingNameColumn { wanted, columns } => {
                write!(f, "has no column {}; its columns are {}", wanted.join(" or "), columns.join(", "))
            }
            Self::CellCount { cells, columns } => {
                write!(f, "has {cells} cells, but the header has {columns} columns")
            }
            Self::MissingName => f.write_str("is missing"),
            Self::Duplicate { name, first_line } => {
                write!(f, "{name} is listed twice, first on line {first_line}")
            }
            Self::Host(error) => write!(f, "{error}"),
        }
    }
}

/// The state of reading a CSV file.
struct Table<'a> {
    hosts: &'a mut Hosts,
    /// Index of the file in the bundle.
    file_index: u16,
    options: &'a Options,
    /// Column names; `None` until the header is read.
    columns: Option<Vec<String>>,
    /// The line on which each host is first listed.
    first_lines: HashMap<String, u32>,
}

impl Table<'_> {
    /// Processes a row: the first one is the header, every other one a host.
    fn add(&mut self, row: &StringRecord) -> Result<(), Problem> {
        let line = row.position().map_or(1, |position| position.line() as u32);
        let Some(columns) = &self.columns else {
            match read_header(row, &self.options.mapping) {
                Ok(columns) => self.columns = Some(columns),
                Err(error) => return Err(Problem { line, field: "header", error, is_fatal: true }),
            }
            return Ok(());
        };
        if row.len() != columns.len() {
            let error = RowError::CellCount { cells: row.len(), columns: columns.len() };
            return Err(Problem { line, field: "row", error, is_fatal: false });
        }
        let name = self.host_name(columns, row).ok_or(Problem {
            line,
            field: "name",
            error: RowError::MissingName,
            is_fatal: false,
        })?;
        let location = SourceLocation { file: self.file_index, line };
        let variables = row_variables(columns, row, location);
        if let Some(first_line) = self.first_lines.insert(name.clone(), line) {
            let error = RowError::Duplicate { name, first_line };
            return Err(Problem { line, field: "name", error, is_fatal: false });
        }
        self.hosts.add_row(&name, location, variables).map_err(|error| Problem {
            line,
            field: "name",
            error: RowError::Host(error),
            is_fatal: true,
        })
    }

    fn host_name(&self, columns: &[String], row: &StringRecord) -> Option<String> {
        let cell = |wanted: &String| {
            let mut cells = columns.iter().zip(row.iter());
            cells.find(|(column, cell)| *column == wanted && !cell.is_empty())
        };
        let candidates = self.options.mapping.candidates(Field::Name);
        candidates.iter().find_map(cell).map(|(_, cell)| cell.to_owned())
    }
}

/// The non-empty cells of a row as variables, by column name.
fn row_variables(columns: &[String], row: &StringRecord, location: SourceLocation) -> VariableMap {
    let mut variables = VariableMap::new();
    for (column, cell) in columns.iter().zip(row.iter()) {
        if cell.is_empty() {
            continue;
        }
        // A cell is always a string, even if YAML would read its text as `null`.
        let kind = Kind::Scalar { text: cell.to_owned(), is_plain: false };
        let value = Rc::new(Node { line: location.line, tag: String::new(), size: 1, kind });
        variables.insert(column.clone(), value, location);
    }
    variables
}

/// Reads the column names. Names of mapped columns are matched regardless of case.
fn read_header(row: &StringRecord, mapping: &Mapping) -> Result<Vec<String>, RowError> {
    let mut columns: Vec<String> = row.iter().map(str::to_owned).collect();
    for wanted in Field::ALL.into_iter().flat_map(|field| mapping.candidates(field)) {
        if columns.contains(&wanted) {
            continue;
        }
        if let Some(column) = columns.iter_mut().find(|column| column.eq_ignore_ascii_case(&wanted)) {
            *column = wanted;
        }
    }
    for (index, column) in columns.iter().enumerate() {
        if !column.is_empty() && columns[..index].contains(column) {
            return Err(RowError::DuplicateColumn(column.clone()));
        }
    }
    let wanted = mapping.candidates(Field::Name);
    if !wanted.iter().any(|name| columns.contains(name)) {
        return Err(RowError::MissingNameColumn { wanted, columns });
    }
    Ok(columns)
}

/// Chooses the delimiter that gives the header the most mapped columns, and among equals the most columns.
fn detect_delimiter(text: &str, mapping: &Mapping) -> u8 {
    let header = text.lines().find(|line| !line.trim().is_empty() && !line.starts_with('#'));
    let header = header.unwrap_or_default();
    let wanted: Vec<String> = Field::ALL.into_iter().flat_map(|field| mapping.candidates(field)).collect();
    let score = |delimiter: u8| {
        let mut reader = ReaderBuilder::new()
            .delimiter(delimiter)
            .trim(Trim::All)
            .has_headers(false)
            .from_reader(header.as_bytes());
        let row = reader.records().next().and_then(Result::ok).unwrap_or_default();
        let is_known = |column: &&str| wanted.iter().any(|name| name.eq_ignore_ascii_case(column));
        (row.iter().filter(is_known).count(), row.len())
    };
    // `max_by_key` returns the last of equal elements; the order is reversed to get the most preferred one.
    DELIMITERS.into_iter().rev().max_by_key(|delimiter| score(*delimiter)).unwrap_or(b',')
}
