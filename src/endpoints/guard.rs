//! The guard of inventory files: decides whether a new list takes effect or is held back until it is confirmed.

use super::Millis;
use super::layout::{ReadyCounts, ShardLayout};
use std::fmt;

/// Settings of the guard, from the operator file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GuardSettings {
    /// Maximum fraction of the endpoints that one list may remove, in 0..=1. Removing a single endpoint is always
    /// allowed.
    pub max_removed_fraction: f64,
    /// Time after which an unchanged held-back list is confirmed automatically; `None` if only an operator confirms
    /// lists.
    pub confirm_after: Option<Millis>,
}

impl Default for GuardSettings {
    fn default() -> Self {
        GuardSettings { max_removed_fraction: 0.25, confirm_after: None }
    }
}

/// The reason why a list is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// The list is empty, or no endpoint would be left.
    Empty,
    /// The list removes too many endpoints at once.
    TooManyRemoved {
        /// Number of endpoints that the list removes.
        removed: usize,
        /// Number of effective endpoints.
        total: usize,
    },
    /// This shard would be left without a ready endpoint.
    ShardWithoutReadyEndpoint(u32),
    /// The file ends within a line: its writer has not finished, or has crashed.
    TruncatedMidLine,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "no leaf server would be left"),
            Self::TooManyRemoved { removed, total } => {
                write!(f, "{removed} of {total} leaf servers would be removed at once")
            }
            Self::ShardWithoutReadyEndpoint(shard) => {
                write!(f, "shard {shard} would be left without a leaf server")
            }
            Self::TruncatedMidLine => write!(f, "the file ends within a line"),
        }
    }
}

/// Numbers of endpoints before and after a list takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Number of endpoints before.
    pub before: usize,
    /// Number of endpoints after.
    pub after: usize,
    /// Number of endpoints that are present before and absent after.
    pub removed: usize,
}

/// The changes of a list that the guard checks.
pub(super) struct ProposedChange<'a> {
    pub counts: EndpointCounts,
    /// The list has at least one endpoint, or is partial and may be empty.
    pub lists_endpoints: bool,
    /// Ready endpoints with only the draining states of the list applied, since these are never held back.
    pub ready_before: &'a ReadyCounts,
    /// Ready endpoints with the complete list applied.
    pub ready_after: &'a ReadyCounts,
}

/// Decides which lists are held back.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListGuard {
    pub layout: ShardLayout,
    pub settings: GuardSettings,
}

impl ListGuard {
    /// The reason to hold a change back; `None` if it may take effect.
    pub fn check(&self, change: &ProposedChange<'_>) -> Option<HoldReason> {
        let EndpointCounts { before, after, removed } = change.counts;
        let list_is_empty = !change.lists_endpoints && removed > 0;
        if before > 0 && (after == 0 || list_is_empty) {
            return Some(HoldReason::Empty);
        }
        if removed > 1 && removed as f64 > self.settings.max_removed_fraction * before as f64 {
            return Some(HoldReason::TooManyRemoved { removed, total: before });
        }
        // Checking one shard for each cell is enough: shards that start at the same cell are held by the same cells.
        (0..self.layout.cells)
            .find(|shard| self.loses_last_ready_endpoint(change, *shard))
            .map(HoldReason::ShardWithoutReadyEndpoint)
    }

    fn loses_last_ready_endpoint(&self, change: &ProposedChange<'_>, shard: u32) -> bool {
        change.ready_before.of_shard(self.layout, shard) > 0
            && change.ready_after.of_shard(self.layout, shard) == 0
    }
}
