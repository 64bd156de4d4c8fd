//! Speaks the bench's wire on standard input and output: one [`sailmux::Balancer`] per instance, nothing shared.

#[path = "../decide/simwire.rs"]
mod simwire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match simwire::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sailmux-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
