//! Connects the simulator, on standard input and output, with the balancer: one [`sailmux::Balancer`] for each
//! simulated aggregator.

#[path = "../balancer/simulator_protocol/mod.rs"]
mod simulator_protocol;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

const BUFFER_BYTES: usize = 64 * 1024;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match simulator_protocol::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sailmux-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
