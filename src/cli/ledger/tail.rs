//! `sailmux ledger tail`: prints the last records.

use super::super::failure::Failure;
use super::super::print;
use super::LedgerLocation;
use std::collections::VecDeque;

#[derive(clap::Args)]
pub(in crate::cli) struct Tail {
    #[command(flatten)]
    location: LedgerLocation,
    /// Number of records to print
    #[arg(short = 'n', long, default_value_t = 20)]
    lines: usize,
}

impl Tail {
    pub(super) fn run(self) -> Result<(), Failure> {
        let mut last = VecDeque::new();
        self.location.read(|sequence, record, _| {
            last.push_back(format!("{sequence:>10}  {record}\n"));
            if last.len() > self.lines {
                last.pop_front();
            }
        })?;
        print(&last.into_iter().collect::<String>())
    }
}
