//! The real program as a process, and what it talks to: clients, leaf servers and discovery, each as small as the tests
//! allow. Waits are for events; ports are the system's choice.
// Each test program uses a part of this.
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
