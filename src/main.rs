//! The program; see the README for how it is started, and `cli` for its commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    sailmux::cli::main()
}
