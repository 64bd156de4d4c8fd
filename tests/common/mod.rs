//! Helpers shared by several test programs.
#![allow(dead_code)]

pub mod event_rate;
pub mod faulty;
pub mod fleet;
pub mod flight;
pub mod hostile;
pub mod http2;
pub mod leaf_setups;
pub mod process;
pub mod timeline;
