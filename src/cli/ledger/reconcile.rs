//! `sailmux ledger reconcile`: compares the ledgers of several aggregators and adds them up.

use super::super::failure::Failure;
use super::super::print;
use super::LedgerLocation;
use super::table::totals_table;
use crate::ledger::{Entry, EntrySource, Gap, Ledger, Reconciliation, Record, reconcile, totals_to_json};
use serde_json::{Value, json};
use std::path::PathBuf;

#[derive(clap::Args)]
pub(in crate::cli) struct Reconcile {
    /// The directories of the ledgers
    #[arg(required = true)]
    dirs: Vec<PathBuf>,
    /// The time zone of the billing periods
    #[arg(long, default_value = "Asia/Taipei")]
    time_zone: String,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
}

impl Reconcile {
    pub(super) fn run(self) -> Result<(), Failure> {
        let mut ledgers = Vec::new();
        for dir in self.dirs {
            let location = LedgerLocation { dir, time_zone: self.time_zone.clone() };
            let book = location.read(|_, _, _| {})?;
            let directory = location.dir.display().to_string();
            ledgers.push(Ledger { directory, book, entries: DirectoryEntries(location) });
        }
        let reconciled = reconcile(&ledgers)?;
        let text = if self.json { json_text(&reconciled) } else { plain_text(&reconciled) };
        print(&text)?;
        if reconciled.is_complete() { Ok(()) } else { Err(Failure::Reported) }
    }
}

/// The entries of a ledger's directory.
struct DirectoryEntries(LedgerLocation);

impl EntrySource for DirectoryEntries {
    type Error = Failure;

    fn visit(&self, visit: &mut dyn FnMut(u64, &Entry)) -> Result<(), Failure> {
        self.0.read(|sequence, record, _| {
            if let Record::Entry(entry) = record {
                visit(sequence, entry);
            }
        })?;
        Ok(())
    }
}

fn json_text(reconciled: &Reconciliation) -> String {
    let gaps: Vec<Value> =
        reconciled.gaps.iter().map(|(aggregator, gap)| gap_object(aggregator, gap)).collect();
    let object = json!({
        "complete": reconciled.is_complete(),
        "entries": reconciled.entries,
        "totals": totals_to_json(&reconciled.totals),
        "gaps": gaps,
        "overlaps": reconciled.overlaps,
        "clocks": reconciled.clock_differences,
        "met_at_two_mixers": reconciled.duplicate_count,
    });
    format!("{object:#}\n")
}

fn gap_object(aggregator: &str, gap: &Gap) -> Value {
    json!({
        "mixer": aggregator,
        "from": gap.from,
        "to": gap.to,
        "entries": gap.entries,
        "reason": gap.reason,
    })
}

fn plain_text(reconciled: &Reconciliation) -> String {
    let mut text = totals_table(&reconciled.totals);
    for finding in reconciled.overlaps.iter().chain(&reconciled.clock_differences) {
        text.push_str(&format!("{finding}\n"));
    }
    for (aggregator, gap) in &reconciled.gaps {
        text.push_str(&format!("{aggregator}: {}\n", Record::Gap(gap.clone())));
    }
    if reconciled.duplicate_count > 0 {
        let count = reconciled.duplicate_count;
        text.push_str(&format!("{count} queries were received by two aggregators; both are billed\n"));
    }
    text.push_str(if reconciled.is_complete() {
        "complete: no sequence number is missing, no gap is recorded, no ledger is listed twice\n"
    } else {
        "not complete: see above\n"
    });
    text
}
