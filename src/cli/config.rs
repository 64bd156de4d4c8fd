//! `sailmux config`: the JSON Schema of the operator file.

use super::failure::Failure;
use super::print;
use crate::config::operator;

#[derive(clap::Subcommand)]
pub(super) enum Command {
    /// Print the JSON Schema of the operator file, for use in editors
    Schema,
}

impl Command {
    pub(super) fn run(self) -> Result<(), Failure> {
        match self {
            Command::Schema => print(&operator::schema()),
        }
    }
}
