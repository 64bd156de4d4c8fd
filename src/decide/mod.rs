//! The decision module: events in, actions out, no IO. It decides which server gets a part, whether a part is tried
//! again, and what is turned away; nothing else in the program does. `api` is its interface, `logic` all decisions,
//! `state` what it remembers. `simwire`, the adapter to the simulator, is built into `sailmux-simhost` alone.

pub mod api;
mod logic;
mod state;

pub use state::Balancer;
