//! `sailmux check`: reads all files that the aggregator would read and prints all of their problems.

use super::failure::Failure;
use super::inventory::check_cells;
use super::{path_in_environment, print};
use crate::config::operator::InventoryFile;
use crate::config::{Config, Operator};
use crate::diagnostic::Diagnostic;
use crate::inventory;
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
pub(super) struct Check {
    /// Platform configuration file; default: `RELAY_CONFIG`
    #[arg(long, value_name = "PATH")]
    config: Option<PathBuf>,
    /// Operator file; default: `SAILMUX_OPERATOR`
    #[arg(long, value_name = "PATH")]
    operator: Option<PathBuf>,
}

/// The results so far.
#[derive(Default)]
struct Report {
    /// A line for each file without problems.
    valid: String,
    /// The problems of the other files.
    problems: Vec<String>,
}

impl Report {
    fn add(&mut self, path: &Path, problems: impl IntoIterator<Item: ToString>) {
        let problems: Vec<String> = problems.into_iter().map(|problem| problem.to_string()).collect();
        if problems.is_empty() {
            self.valid.push_str(&format!("{}: valid\n", path.display()));
        }
        self.problems.extend(problems);
    }
}

impl Check {
    pub(super) fn run(self) -> Result<(), Failure> {
        let config = self.config.or_else(|| path_in_environment("RELAY_CONFIG"));
        let operator = self.operator.or_else(|| path_in_environment("SAILMUX_OPERATOR"));
        let mut report = Report::default();
        if config.is_none() && operator.is_none() {
            let problem = "nothing to check: specify files with --config and --operator";
            report.problems.push(problem.to_owned());
        }
        let mut cells = None;
        if let Some(path) = &config {
            report.add(path, Config::check_file(path));
            cells = Config::from_file(path).ok().map(|config| config.settings.layout().cells);
        }
        if let Some(path) = &operator {
            check_operator(path, cells, &mut report);
        }
        print(&report.valid)?;
        if report.problems.is_empty() { Ok(()) } else { Err(Failure::Messages(report.problems)) }
    }
}

/// Checks the operator file and the inventories that it refers to.
fn check_operator(path: &Path, cells: Option<u32>, report: &mut Report) {
    let operator = match Operator::read(path) {
        Ok(operator) => operator,
        Err(problems) => return report.add(path, problems.0),
    };
    report.add(path, Vec::<Diagnostic>::new());
    for file in operator.inventory.iter().flat_map(|inventory| &inventory.files) {
        report.add(&file.path, inventory_problems(file, cells));
    }
}

fn inventory_problems(file: &InventoryFile, cells: Option<u32>) -> Vec<Diagnostic> {
    let list = inventory::load_files(&file.path, &file.options)
        .and_then(|gathered| inventory::read(&gathered.bundle, &file.options));
    match list.and_then(|list| check_cells(&list, cells)) {
        Ok(()) => Vec::new(),
        Err(problems) => problems.0,
    }
}
