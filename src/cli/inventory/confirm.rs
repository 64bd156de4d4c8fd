//! `sailmux inventory confirm`: lets a running aggregator apply the list that it holds back.

use super::super::failure::Failure;
use super::super::print;
use super::source::Source;
use std::fs;

#[derive(clap::Args)]
pub(in crate::cli) struct Confirm {
    #[command(flatten)]
    source: Source,
}

impl Confirm {
    pub(super) fn run(self) -> Result<(), Failure> {
        let list = self.source.list(&self.source.path)?;
        let path = crate::net::confirmation_path(&self.source.path);
        let mut temporary_path = path.clone().into_os_string();
        temporary_path.push(".new");
        // Renamed, since the aggregator may read the file at any time.
        fs::write(&temporary_path, format!("{}\n", list.digest))?;
        fs::rename(&temporary_path, &path)?;
        let path = path.display();
        let count = list.records.len();
        print(&format!("{path}: list {} of {count} leaf servers is confirmed\n", list.digest))
    }
}
