//! Membership: which nodes there are, by several sources, and when a new list may take effect. Sans-IO.
//!
//! It promises the core one list of nodes at any time, and to the operators the reason for each field of it. What
//! discovery says takes effect at once, as the platform's rules want. What a file says passes the guard: a list
//! that is empty, loses too much at once or ends within a line is held back, and the last good one stands until the
//! new one is confirmed; its drains are taken all the same. It never reads a file, a socket or a clock.

mod by_hand;
mod guard;
mod history;
mod looks;
mod merge;
mod node;
mod pace;
mod record;
mod state;

pub use by_hand::Order;
pub use guard::{GuardSettings, HoldReason, Layout, Loss};
pub use history::{Change, Difference, History, Version};
pub use looks::{Looks, Opened, Verdict};
pub use merge::{FieldName, Merged, Origin, Provenance};
pub use node::{NodeEntry, NodeList, NodeState};
pub use pace::Pace;
pub use record::{FileList, NodeRecord, Place, Said, Summary, clashes};
pub use state::{Input, Membership, Notice, Output, Plan};

/// Milliseconds, on the scale of the one clock.
pub type Millis = f64;

/// Who says something about nodes; a later one in this order stands over an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceId {
    /// An inventory file, by its place in the operator's list: later files stand over earlier ones.
    File(u16),
    /// The list known at the start, until discovery has named the node.
    Known,
    /// Discovery.
    Discovery,
}
