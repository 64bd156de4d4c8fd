//! `sailmux ledger verify`: reads every record, and compares exports with the hashes in the journal.

use super::super::failure::Failure;
use super::super::print;
use super::LedgerLocation;
use crate::hex;
use crate::ledger::{Book, BookPosition, ExportRecord, Record, RecordedGap};
use sha2::{Digest, Sha256};
use std::fs::File;
use std::io::{self, ErrorKind, Read};
use std::path::Path;

/// Number of bytes of an export that are read at a time.
const READ_BYTES: usize = 64 << 10;

#[derive(clap::Args)]
pub(in crate::cli) struct Verify {
    #[command(flatten)]
    location: LedgerLocation,
}

impl Verify {
    pub(super) fn run(self) -> Result<(), Failure> {
        let mut entries = 0;
        let book = self.location.read(|_, record, _| {
            entries += u64::from(matches!(record, Record::Entry(_)));
        })?;
        print(&summary(&self.location.dir, &book, entries))?;
        let problems: Vec<String> =
            book.exports().iter().filter_map(|export| export_problem(&self.location.dir, export)).collect();
        if problems.is_empty() { Ok(()) } else { Err(Failure::Messages(problems)) }
    }
}

fn summary(directory: &Path, book: &Book, entries: u64) -> String {
    let BookPosition { sequence, aggregator, epoch } = book.position();
    let directory = directory.display();
    let mut text =
        format!("{directory}: {aggregator}, {epoch} runs, records up to {sequence}, {entries} entries\n");
    for RecordedGap { sequence, gap } in book.gaps() {
        text.push_str(&format!("record {sequence}: {}\n", Record::Gap(gap.clone())));
    }
    let unfinished = book.exports().iter().filter(|export| !export.is_finished());
    let unfinished: Vec<&str> = unfinished.map(|export| export.name.as_str()).collect();
    if !unfinished.is_empty() {
        text.push_str(&format!("exports to be completed at the next start: {}\n", unfinished.join(", ")));
    }
    text
}

/// Why the file of an export does not match its hash in the journal. A missing file is not a problem: the billing system
/// may have moved it.
fn export_problem(directory: &Path, export: &ExportRecord) -> Option<String> {
    let hash = export.hash.as_ref()?;
    let path = directory.join(export.file_name());
    match file_hash(&path) {
        Ok(found) if found == *hash => None,
        Ok(_) => Some(format!("{}: does not match the hash of this export in the journal", path.display())),
        Err(error) if error.kind() == ErrorKind::NotFound => None,
        Err(error) => Some(format!("{}: {error}", path.display())),
    }
}

/// The SHA-256 of a file in hex. The file may be larger than the memory.
fn file_hash(path: &Path) -> io::Result<String> {
    let mut file = File::open(path)?;
    let mut hash = Sha256::new();
    let mut piece = vec![0; READ_BYTES];
    loop {
        let read = file.read(&mut piece)?;
        if read == 0 {
            return Ok(hex::encode(&hash.finalize()));
        }
        hash.update(&piece[..read]);
    }
}
