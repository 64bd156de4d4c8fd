//! The placement of shards on cells, and the number of ready endpoints of each shard.

use super::{Endpoint, EndpointState};
use std::collections::HashMap;

/// The placement of shards on cells: shard `s` is held by the cells `(s + j) mod cells` for each `j` below `width`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLayout {
    /// Number of cells.
    pub cells: u32,
    /// Number of consecutive cells that hold each shard.
    pub width: u32,
}

impl ShardLayout {
    /// The cells that hold a shard.
    pub fn cells_of_shard(self, shard: u32) -> impl Iterator<Item = u32> {
        let cells = self.cells.max(1);
        let width = self.width.clamp(1, cells);
        (0..width).map(move |offset| (shard % cells + offset) % cells)
    }
}

/// Number of ready endpoints in each cell, maintained by [`add`](Self::add) and [`remove`](Self::remove). Draining
/// endpoints are not counted. Cells without a ready endpoint have no entry.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadyCounts {
    ready_by_cell: HashMap<u32, u32>,
}

impl ReadyCounts {
    pub fn add(&mut self, endpoint: &Endpoint) {
        if endpoint.state == EndpointState::Ready {
            *self.ready_by_cell.entry(endpoint.cell).or_default() += 1;
        }
    }

    pub fn remove(&mut self, endpoint: &Endpoint) {
        if endpoint.state != EndpointState::Ready {
            return;
        }
        let Some(ready) = self.ready_by_cell.get_mut(&endpoint.cell) else { return };
        *ready -= 1;
        if *ready == 0 {
            self.ready_by_cell.remove(&endpoint.cell);
        }
    }

    /// Number of ready endpoints that hold a shard.
    pub fn of_shard(&self, layout: ShardLayout, shard: u32) -> u32 {
        layout.cells_of_shard(shard).map(|cell| self.of_cell(cell)).sum()
    }

    fn of_cell(&self, cell: u32) -> u32 {
        self.ready_by_cell.get(&cell).copied().unwrap_or(0)
    }
}
