//! Runs the real program as a process with minimal fake peers: clients, leaf servers and discovery. Tests wait for events
//! rather than fixed times, and the operating system assigns the ports.
// Each test program uses only some of these items.
#![allow(unused_imports)]

mod client;
mod discovery;
mod leaf_server;
mod program;
mod setup;
mod waiting;

pub use client::*;
pub use discovery::*;
pub use leaf_server::*;
pub use program::*;
pub use setup::*;
pub use waiting::*;
