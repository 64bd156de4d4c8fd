//! The `sailmux` binary; see the README for how to start it, and `cli` for its commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    sailmux::cli::main()
}
