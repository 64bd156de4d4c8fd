//! The operator's file: closed YAML records with defaults and bounds, a file for each section.
//!
//! A field that is unknown, of another type or out of its bounds is reported with file, line and field; all problems are
//! reported at once. The records (`...Record`) are the file's form, from which the JSON Schema is derived;
//! [`Operator`] is what the program uses. Called by `config` at startup, and by `cli` to check files.

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
    /// The operators' file.
    OperatorFile {
        /// Arrow Flight for gateways.
        flight: FlightRecord = FlightRecord::default(),
        /// Nodes by inventory files.
        inventory: InventoryRecord = InventoryRecord::default(),
        /// Use by tenant, kept on disk.
        ledger: LedgerRecord = LedgerRecord::default(),
        /// What the program writes to its standard error.
        log: LogRecord = LogRecord::default(),
    }
}

/// The JSON Schema of the operator's file, for editors.
pub fn schema() -> String {
    let schema = schemars::schema_for!(OperatorFile);
    format!("{:#}\n", schema.as_value())
}

/// What the operator's file sets up; without a file everything is off.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    /// Where gateways connect by Arrow Flight.
    pub flight_listen: Option<SocketAddr>,
    /// Inventories.
    pub inventory: Option<Inventory>,
    /// Use by tenant.
    pub ledger: Option<Ledger>,
    /// The log.
    pub log: LogRecord,
}

impl Operator {
    /// Reads an operator's file and the inventories that it names.
    ///
    /// # Errors
    /// Everything that is wrong with any of them.
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

    /// Reads an operator's file alone.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn read(path: &Path) -> Result<Self, Diagnostics> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(Diagnostics(vec![Diagnostic::for_file(&file, error.to_string())])),
        }
    }

    /// Reads the text of an operator's file. Relative paths in it start at the directory of `file`.
    ///
    /// # Errors
    /// Everything that is wrong with it.
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
