//! `sailmux ledger export`: exports the part of a billing period that has not been exported yet.

use super::super::failure::Failure;
use super::LedgerLocation;
use crate::ledger::{Format, Period, Request};
use clap::ValueEnum;

#[derive(clap::Args)]
pub(in crate::cli) struct Export {
    #[command(flatten)]
    location: LedgerLocation,
    /// The billing period, such as 2026-11
    period: Period,
    /// The format of the export
    #[arg(long, value_enum, default_value_t = ExportFormat::Csv)]
    format: ExportFormat,
}

#[derive(Clone, Copy, ValueEnum)]
enum ExportFormat {
    Csv,
    Jsonl,
    Arrow,
}

impl From<ExportFormat> for Format {
    fn from(format: ExportFormat) -> Self {
        match format {
            ExportFormat::Csv => Format::Csv,
            ExportFormat::Jsonl => Format::JsonLines,
            ExportFormat::Arrow => Format::Arrow,
        }
    }
}

impl Export {
    pub(super) fn run(self) -> Result<(), Failure> {
        self.location.submit(Request::Export(self.period, self.format.into()))
    }
}
