//! `sailmux inventory check`: reads an inventory and prints all of its problems.

use super::super::failure::Failure;
use super::super::print;
use super::source::Source;

#[derive(clap::Args)]
pub(in crate::cli) struct Check {
    #[command(flatten)]
    source: Source,
}

impl Check {
    pub(super) fn run(self) -> Result<(), Failure> {
        let list = self.source.list(&self.source.path)?;
        let counts = list.summary();
        let path = self.source.path.display();
        let truncated =
            if list.truncated_mid_line { "; the file ends within a line and would be held back" } else { "" };
        print(&format!(
            "{path}: valid, {} leaf servers, {} draining{truncated}\n",
            counts.endpoints, counts.draining
        ))
    }
}
