//! `sailmux inventory`: reads inventory files without the aggregator. Only `confirm` acts on a running one, through a
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
    /// Read an inventory and print every problem; exit code 1 if there is one
    Check(check::Check),
    /// Print the leaf servers of an inventory
    Show(show::Show),
    /// Print each variable of a host, where it is set, and why that value has precedence
    Explain(explain::Explain),
    /// Print what changed between two inventories
    Diff(diff::Diff),
    /// Print what applying an inventory would change, and whether it would be held back
    Plan(plan::Plan),
    /// Let a running aggregator apply the endpoint list that it holds back
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
