//! `sailmux inventory show`: prints the endpoints of an inventory.

use super::super::failure::Failure;
use super::super::print;
use super::source::Source;
use crate::inventory::{self, PrintFormat};
use clap::ValueEnum;

#[derive(clap::Args)]
pub(in crate::cli) struct Show {
    #[command(flatten)]
    source: Source,
    /// The output format
    #[arg(long, value_enum, default_value_t = OutputFormat::Table)]
    format: OutputFormat,
}

#[derive(Clone, Copy, ValueEnum)]
enum OutputFormat {
    Table,
    Json,
    Csv,
    Yaml,
}

impl From<OutputFormat> for PrintFormat {
    fn from(format: OutputFormat) -> Self {
        match format {
            OutputFormat::Table => PrintFormat::Table,
            OutputFormat::Json => PrintFormat::Json,
            OutputFormat::Csv => PrintFormat::Csv,
            OutputFormat::Yaml => PrintFormat::Yaml,
        }
    }
}

impl Show {
    pub(super) fn run(self) -> Result<(), Failure> {
        let list = self.source.list(&self.source.path)?;
        let endpoints = inventory::endpoints(&list);
        print(&inventory::print(&endpoints, self.format.into()))
    }
}
