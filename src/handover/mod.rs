//! What the processes of one mixer share while a new version takes over from the old one: the operators' orders, and
//! who is there. It promises that an order answered yes holds in every process of the mixer and in the next one, and
//! that a file that is torn, foreign or of a later version is told and moved aside, never believed and never lost.
//! It never passes on load, health or latencies, which are found anew within a second and are wrong when old.
//!
//! [`Orders`] and [`snapshot`] are sans-IO; [`Folder`] and [`Seat`] are the half that touches the disk.

mod folder;
mod orders;
pub mod snapshot;

pub use crate::membership::Order;
pub use folder::{Folder, Found, Other, Seat, Word};
pub use orders::{ORDERS_MOST, Orders, Subject, TooMany};
