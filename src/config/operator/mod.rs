//! The operator file: closed YAML records with defaults and bounds, one module for each section.
//!
//! A field that is unknown, of another type or out of its bounds is reported with file, line and field; all problems are
//! reported at once. The records (`...Record`) mirror the file, and the JSON Schema is derived from them; [`Operator`]
//! holds the resolved settings. Called by `config` at startup, and by `cli` to check files.

mod flight;
mod inventory;
mod ledger;
mod log;
mod setting;

pub use flight::FlightRecord;
pub use inventory::{
    BoundsRecord, FileRecord, FormatRecord, GuardRecord, Inventory, InventoryFile, InventoryRecord,
    NewlineRecord, WatchRecord,
};
pub use ledger::{Ledger, LedgerExport, LedgerMode, LedgerRecord, PriceRecord};
pub use log::{LogFormat, LogLevel, LogRecord};
pub use setting::{Address, Count, FieldContext, Setting};

use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::inventory as inventory_files;
use crate::yaml;
use setting::records;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

records! {
    /// The operator file: settings of an aggregator that its operators maintain.
    OperatorFile {
        /// Arrow Flight listener for gateways; off unless `listen` is set.
        flight: FlightRecord = FlightRecord::default(),
        /// Leaf servers from inventory files; off unless `file` or `files` is set.
        inventory: InventoryRecord = InventoryRecord::default(),
        /// Ledger of each tenant's usage, stored on disk; off unless `dir` is set.
        ledger: LedgerRecord = LedgerRecord::default(),
        /// Log events, written to standard error.
        log: LogRecord = LogRecord::default(),
    }
}

/// The JSON Schema of the operator file, for editors.
pub fn schema() -> String {
    let schema = schemars::schema_for!(OperatorFile);
    format!("{:#}\n", schema.as_value())
}

/// The resolved settings of the operator file. Without a file, everything but the log is off.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    /// Listen address for Arrow Flight; `None` turns it off.
    pub flight_listen: Option<SocketAddr>,
    /// Inventories of leaf servers; `None` if the file names none.
    pub inventory: Option<Inventory>,
    /// Ledger of each tenant's usage; `None` turns it off.
    pub ledger: Option<Ledger>,
    /// Format and level of the log.
    pub log: LogRecord,
}

impl Operator {
    /// Reads an operator file and the inventories that it names.
    ///
    /// # Errors
    /// All problems of any of them.
    pub fn load(path: &Path) -> Result<Self, Diagnostics> {
        let mut operator = Self::read(path)?;
        let mut diagnostics = Vec::new();
        for file in operator.inventory.iter_mut().flat_map(|inventory| &mut inventory.files) {
            let gathered = inventory_files::load_files(&file.path, &file.options);
            let list = gathered.and_then(|found| inventory_files::read(&found.bundle, &file.options));
            match list {
                Ok(list) => file.list = Arc::new(list),
                Err(found) => diagnostics.extend(found.0),
            }
        }
        if diagnostics.is_empty() { Ok(operator) } else { Err(Diagnostics(diagnostics)) }
    }

    /// Reads an operator file without its inventories.
    ///
    /// # Errors
    /// All problems of the file.
    pub fn read(path: &Path) -> Result<Self, Diagnostics> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(Diagnostics(vec![Diagnostic::for_file(&file, error.to_string())])),
        }
    }

    /// Parses the text of an operator file. Relative paths in it are relative to the directory of `file`.
    ///
    /// # Errors
    /// All problems of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostics> {
        let tree = match yaml::parse(text, &yaml::Bounds::default()) {
            Ok(tree) => tree,
            Err(error) => {
                return Err(Diagnostics(vec![Diagnostic::at(file, error.line, "", error.message)]));
            }
        };
        let base = Path::new(file).parent().unwrap_or(Path::new(""));
        let mut diagnostics = Vec::new();
        let mut root = FieldContext::root(file, &mut diagnostics);
        let record = OperatorFile::read(&tree, &mut root).unwrap_or_default();
        let operator = Operator {
            flight_listen: record.flight.listen.map(|address| address.0),
            inventory: record.inventory.resolve(&tree, &mut root, base),
            ledger: record.ledger.resolve(&tree, &mut root, base),
            log: record.log,
        };
        if diagnostics.is_empty() { Ok(operator) } else { Err(Diagnostics(diagnostics)) }
    }
}
