//! One mixer: see the README for how it is started.

use sailmux::config::Config;
use std::error::Error;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sailmux: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::load()?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, sailmux::net::serve(config))?)
}
