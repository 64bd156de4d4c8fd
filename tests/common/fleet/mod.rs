//! Load tests with leaf servers that check the rules, clients that check their answers, and an inventory that is rewritten.

// Each test program uses only some of these items.
#![allow(unused_imports)]

mod inventory_run;
mod inventory_writer;
mod leaf_fleet;
mod load;

pub use inventory_run::*;
pub use inventory_writer::*;
pub use leaf_fleet::*;
pub use load::*;
