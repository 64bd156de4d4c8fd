//! Runs the balancer under the simulator, which sends messages on standard input and reads replies from standard output.
//! Each simulated aggregator has a [`sailmux::Balancer`] of its own.

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
