//! The guard of inventory files: whether a new list takes effect or is held back until it is confirmed.

use super::Millis;
use super::layout::{Holders, ShardLayout};
use std::fmt;

/// The operator's settings of the guard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuardSettings {
    /// Largest fraction of the endpoints that one list may remove. Removing a single endpoint is always allowed.
    pub max_removed_fraction: f64,
    /// A list held back for this long without a change is confirmed; `None`: only by an operator's command.
    pub confirm_after: Option<Millis>,
}

impl Default for GuardSettings {
    fn default() -> Self {
        GuardSettings { max_removed_fraction: 0.25, confirm_after: None }
    }
}

/// Why a list is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// The list is empty, or no endpoint would be left.
    Empty,
    /// It removes too many endpoints at once.
    TooManyRemoved {
        /// Endpoints that it removes.
        removed: usize,
        /// Endpoints in force.
        total: usize,
    },
    /// This shard would be left without an endpoint that is ready.
    ShardWithoutReadyEndpoint(u32),
    /// The file is truncated within a line: its writer has not finished, or has crashed.
    TruncatedMidLine,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "no leaf server would be left"),
            Self::TooManyRemoved { removed, total } => {
                write!(f, "{removed} of {total} nodes would be lost at once")
            }
            Self::ShardWithoutReadyEndpoint(shard) => {
                write!(f, "shard {shard} would be left without a leaf server")
            }
            Self::TruncatedMidLine => write!(f, "it ends within a line"),
        }
    }
}

/// Numbers of endpoints before and after a list would take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints before.
    pub before: usize,
    /// Endpoints after.
    pub after: usize,
    /// Endpoints that are there before and not after.
    pub removed: usize,
}

/// What a list would change, as far as the guard needs to know.
pub(super) struct ProposedChange<'a> {
    pub counts: EndpointCounts,
    /// The list names at least one endpoint, or is partial and need not name any.
    pub names_endpoints: bool,
    /// Ready endpoints once the draining states of the list are in effect, which are never held back.
    pub holders_before: &'a Holders,
    /// Ready endpoints once all of the list is in effect.
    pub holders_after: &'a Holders,
}

/// Decides which lists are held back.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListGuard {
    pub layout: ShardLayout,
    pub settings: GuardSettings,
}

impl ListGuard {
    /// Why a change must be held back; `None` if it may take effect.
    pub fn check(&self, change: &ProposedChange<'_>) -> Option<HoldReason> {
        let EndpointCounts { before, after, removed } = change.counts;
        let list_is_empty = !change.names_endpoints && removed > 0;
        if before > 0 && (after == 0 || list_is_empty) {
            return Some(HoldReason::Empty);
        }
        if removed > 1 && removed as f64 > self.settings.max_removed_fraction * before as f64 {
            return Some(HoldReason::TooManyRemoved { removed, total: before });
        }
        // One round over the cells is enough: shards that start at the same cell have the same holders.
        (0..self.layout.cells)
            .find(|shard| self.loses_last_holder(change, *shard))
            .map(HoldReason::ShardWithoutReadyEndpoint)
    }

    fn loses_last_holder(&self, change: &ProposedChange<'_>, shard: u32) -> bool {
        change.holders_before.of_shard(self.layout, shard) > 0
            && change.holders_after.of_shard(self.layout, shard) == 0
    }
}
