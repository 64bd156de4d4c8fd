//! `sailmux ledger`: show, verify, tail and reconcile read ledgers that an aggregator may be writing. The requests of
//! correct, close and export are executed by the ledger's owner: the aggregator, or this process if none is running.

mod correct;
mod export;
mod reconcile;
mod show;
mod submit;
mod table;
mod tail;
mod verify;

use super::failure::Failure;
use crate::ledger::{Book, Calendar, Period, RealDisk, Record, Request, UnixMs, read_all};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(clap::Subcommand)]
pub(super) enum Command {
    /// Print the usage of each tenant
    Show(show::Show),
    /// Read all records and report damaged, torn and missing ones
    Verify(verify::Verify),
    /// Print the last records
    Tail(tail::Tail),
    /// Correct billed usage by an entry in the billing period that is open now
    Correct(correct::Correct),
    /// Close a billing period that has ended
    Close {
        #[command(flatten)]
        location: LedgerLocation,
        /// The billing period, such as 2026-11
        period: Period,
    },
    /// Export, once and under a unique name, what is new in a billing period since its last export
    Export(export::Export),
    /// Reconcile the ledgers of several aggregators
    Reconcile(reconcile::Reconcile),
}

impl Command {
    pub(super) fn run(self) -> Result<(), Failure> {
        match self {
            Command::Show(show) => show.run(),
            Command::Verify(verify) => verify.run(),
            Command::Tail(tail) => tail.run(),
            Command::Correct(correct) => correct.run(),
            Command::Close { location, period } => location.submit(Request::Close(period)),
            Command::Export(export) => export.run(),
            Command::Reconcile(reconcile) => reconcile.run(),
        }
    }
}

#[derive(clap::Args)]
pub(super) struct LedgerLocation {
    /// The ledger's directory
    dir: PathBuf,
    /// The time zone of the billing periods
    #[arg(long, default_value = "Asia/Taipei")]
    time_zone: String,
}

impl LedgerLocation {
    fn calendar(&self) -> Result<Calendar, Failure> {
        Ok(Calendar::new(&self.time_zone)?)
    }

    /// Reads all records in order, calls `on_record` for each and returns the resulting book.
    fn read(&self, on_record: impl FnMut(u64, &Record, &Book)) -> Result<Book, Failure> {
        let calendar = self.calendar()?;
        if !self.dir.is_dir() {
            return Err(Failure::message(format!("{}: is not a directory", self.dir.display())));
        }
        Ok(read_all(&RealDisk::open_read_only(&self.dir), &calendar, on_record)?)
    }
}

/// The wall-clock time.
fn now() -> UnixMs {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as UnixMs)
}
