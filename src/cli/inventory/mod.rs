//! `sailmux inventory`: reads inventory files without an aggregator. Only `confirm` affects a running aggregator, by a
//! file beside the inventory.

mod changes;
mod check;
mod confirm;
mod diff;
mod explain;
mod plan;
mod show;
mod source;

pub(super) use source::check_cells;

use super::failure::Failure;

#[derive(clap::Subcommand)]
pub(super) enum Command {
    /// Read an inventory and print all of its problems; the exit code is 1 if there are any
    Check(check::Check),
    /// Print the leaf servers of an inventory
    Show(show::Show),
    /// Print each variable of a host, where it is set, and why that value has precedence
    Explain(explain::Explain),
    /// Print the changes between two inventories
    Diff(diff::Diff),
    /// Print what applying an inventory would change, and whether it would be held back
    Plan(plan::Plan),
    /// Confirm the endpoint list that a running aggregator holds back, so that it is applied
    Confirm(confirm::Confirm),
}

impl Command {
    pub(super) fn run(self) -> Result<(), Failure> {
        match self {
            Command::Check(check) => check.run(),
            Command::Show(show) => show.run(),
            Command::Explain(explain) => explain.run(),
            Command::Diff(diff) => diff.run(),
            Command::Plan(plan) => plan.run(),
            Command::Confirm(confirm) => confirm.run(),
        }
    }
}
