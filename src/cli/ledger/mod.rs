//! `sailmux ledger`: show, verify, tail and reconcile read ledgers that an aggregator may be writing; correct, close and
//! export have the request carried out by the ledger's owner: the aggregator, or this process if none runs.

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
    /// Print what each tenant used
    Show(show::Show),
    /// Read every record and report what is damaged, torn or missing
    Verify(verify::Verify),
    /// Print the last records
    Tail(tail::Tail),
    /// Correct what was billed, by an entry in the period that is open now
    Correct(correct::Correct),
    /// Close a period that is over
    Close {
        #[command(flatten)]
        location: LedgerLocation,
        /// The period, such as 2026-11
        period: Period,
    },
    /// Export what is new in a period, once and under a unique name
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
    /// The time zone of the periods
    #[arg(long, default_value = "Asia/Taipei")]
    time_zone: String,
}

impl LedgerLocation {
    fn calendar(&self) -> Result<Calendar, Failure> {
        Ok(Calendar::new(&self.time_zone)?)
    }

    /// Reads all records in order, and returns the book after them.
    fn read(&self, each: impl FnMut(u64, &Record, &Book)) -> Result<Book, Failure> {
        let calendar = self.calendar()?;
        if !self.dir.is_dir() {
            return Err(Failure::message(format!("{}: is no directory", self.dir.display())));
        }
        Ok(read_all(&RealDisk::open_read_only(&self.dir), &calendar, each)?)
    }
}

/// The wall clock.
fn now() -> UnixMs {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as UnixMs)
}
