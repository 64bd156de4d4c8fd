//! The arguments that select an inventory and determine how it is read.

use super::super::failure::Failure;
use super::super::path_in_environment;
use crate::config::operator::InventoryFile;
use crate::config::{Config, Operator};
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::endpoints::FileList;
use crate::inventory::{self, Bundle, Format, Options};
use clap::ValueEnum;
use std::fs;
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
pub(super) struct Source {
    /// Inventory: a file or directory
    pub path: PathBuf,
    /// Number of cells, which each leaf server's cell must be below; default: as in the file of `RELAY_CONFIG`, if set
    #[arg(long, value_name = "N")]
    cells: Option<u32>,
    /// Operator file, whose options for the inventory are used; default: `SAILMUX_OPERATOR`
    #[arg(long, value_name = "PATH")]
    operator: Option<PathBuf>,
    /// Read the inventory in this format, regardless of its file name
    #[arg(long, value_enum, value_name = "FORMAT")]
    read_as: Option<InputFormat>,
}

#[derive(Clone, Copy, ValueEnum)]
enum InputFormat {
    Csv,
    Yaml,
}

impl From<InputFormat> for Format {
    fn from(format: InputFormat) -> Self {
        match format {
            InputFormat::Csv => Format::Csv,
            InputFormat::Yaml => Format::Yaml,
        }
    }
}

impl Source {
    /// The operator file, if one is specified.
    pub fn operator(&self) -> Result<Option<Operator>, Failure> {
        let path = self.operator.clone().or_else(|| path_in_environment("SAILMUX_OPERATOR"));
        path.map(|path| Operator::read(&path).map_err(Failure::diagnostics)).transpose()
    }

    /// The options for reading an inventory with this path: those of the operator file, or the defaults.
    pub fn options(&self, path: &Path) -> Result<Options, Failure> {
        let operator = self.operator()?;
        let inventory = operator.as_ref().and_then(|operator| operator.inventory.as_ref());
        let files = inventory.map_or([].as_slice(), |inventory| &inventory.files);
        let mut options = configured_file(files, path).map(|file| file.options.clone()).unwrap_or_default();
        if let Some(format) = self.read_as {
            options.format = Some(format.into());
        }
        Ok(options)
    }

    /// The number of cells, if the command line or the platform configuration file specifies it.
    pub fn cells(&self) -> Option<u32> {
        if self.cells.is_some() {
            return self.cells;
        }
        let config = Config::from_file(&path_in_environment("RELAY_CONFIG")?).ok()?;
        Some(config.settings.layout().cells)
    }

    /// The content of an inventory.
    pub fn bundle(path: &Path, options: &Options) -> Result<Bundle, Failure> {
        Ok(inventory::load_files(path, options).map_err(Failure::diagnostics)?.bundle)
    }

    /// The endpoint list of an inventory.
    pub fn list(&self, path: &Path) -> Result<FileList, Failure> {
        let options = self.options(path)?;
        let bundle = Self::bundle(path, &options)?;
        let list = inventory::read(&bundle, &options).map_err(Failure::diagnostics)?;
        check_cells(&list, self.cells()).map_err(Failure::diagnostics)?;
        Ok(list)
    }
}

/// The configured inventory with this path. If only one inventory is configured, it is used for any path, since a
/// candidate has another path than the file that it replaces.
fn configured_file<'a>(files: &'a [InventoryFile], path: &Path) -> Option<&'a InventoryFile> {
    let same = files.iter().find(|file| is_same_file(&file.path, path));
    match files {
        [only] => Some(only),
        _ => same,
    }
}

fn is_same_file(first: &Path, second: &Path) -> bool {
    match (fs::canonicalize(first), fs::canonicalize(second)) {
        (Ok(first), Ok(second)) => first == second,
        _ => first == second,
    }
}

/// Checks that all cells of a list are below the number of cells, if that is known.
pub(in super::super) fn check_cells(list: &FileList, cells: Option<u32>) -> Result<(), Diagnostics> {
    let Some(cells) = cells else { return Ok(()) };
    let mut problems = Vec::new();
    for record in &list.records {
        let Some(cell) = record.cell.as_ref().filter(|cell| cell.value >= cells) else { continue };
        let field = format!("{}.cell", record.name);
        let message = format!("{} is not below {cells}", cell.value);
        problems.push(Diagnostic::at(list.file_name(cell.location), cell.location.line, field, message));
    }
    if problems.is_empty() { Ok(()) } else { Err(Diagnostics(problems)) }
}
