//! `sailmux config`.

use super::{Failure, say};
use crate::config::operator;

#[derive(clap::Subcommand)]
pub(super) enum Config {
    /// Print the JSON Schema of the operators' file, for editors
    Schema,
}

impl Config {
    pub(super) fn run(self) -> Result<(), Failure> {
        match self {
            Config::Schema => say(&operator::schema()),
        }
    }
}
