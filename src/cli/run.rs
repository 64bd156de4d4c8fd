//! `sailmux run`: runs the aggregator.

use super::failure::Failure;
use crate::config::Config;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Serves queries until a graceful shutdown has finished.
pub(super) fn run() -> Result<(), Failure> {
    let config = Config::load()?;
    crate::logging::start(&config.operator.log);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, crate::net::serve(config))?)
}
