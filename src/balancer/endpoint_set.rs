//! The set of known replicas: which cell each belongs to, and which hold a shard.

use super::replica::Replica;
use super::slow_start::SlowStart;
use super::statistics::RunningMean;
use super::{Millis, ReplicaEntry, ReplicaId, ReplicaState, Settings};
use std::collections::BTreeMap;
use std::collections::btree_map;

/// All replicas that are up or draining, and for some time those that have been removed.
pub(super) struct EndpointSet {
    replicas: BTreeMap<ReplicaId, Replica>,
    /// Replicas that are up, by cell.
    cells: Vec<Vec<ReplicaId>>,
    cell_count: u32,
    /// Number of consecutive cells that hold a shard.
    width: u32,
    /// Mean weight of the replicas that are up.
    mean_weight: f64,
}

impl EndpointSet {
    pub fn new(settings: &Settings) -> Self {
        EndpointSet {
            replicas: BTreeMap::new(),
            cells: Vec::new(),
            cell_count: settings.cells,
            width: settings.width,
            mean_weight: 1.0,
        }
    }

    pub fn reconfigure(&mut self, settings: &Settings) {
        self.cell_count = settings.cells;
        self.width = settings.width;
        self.reindex();
    }

    /// Applies a complete endpoint list, or changes to it.
    pub fn apply(&mut self, now: Millis, is_complete: bool, entries: &[ReplicaEntry]) {
        let is_first = self.replicas.is_empty();
        if is_complete {
            for replica in self.replicas.values_mut() {
                replica.is_up = false;
            }
        }
        for entry in entries {
            let replica = self.replicas.entry(entry.replica).or_default();
            apply_entry(replica, entry, now, !is_complete && !is_first);
        }
        self.reindex();
    }

    fn reindex(&mut self) {
        self.cells = vec![Vec::new(); self.cell_count as usize];
        let mut weights = RunningMean::default();
        for (id, replica) in self.replicas.iter().filter(|(_, replica)| replica.is_up) {
            weights.replace(None, replica.weight);
            if let Some(cell) = self.cells.get_mut(replica.cell as usize) {
                cell.push(*id);
            }
        }
        self.mean_weight = weights.excluding(None).max(f64::MIN_POSITIVE);
    }

    /// The replicas that are up in the cells that hold a shard, in cell order.
    pub fn holders(&self, shard: u32) -> impl Iterator<Item = ReplicaId> + '_ {
        let cell_count = u64::from(self.cell_count);
        let first = u64::from(shard);
        (0..self.width)
            .filter_map(move |offset| self.cells.get(((first + u64::from(offset)) % cell_count) as usize))
            .flatten()
            .copied()
    }

    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.replicas.get(&id)
    }

    pub fn get_mut(&mut self, id: ReplicaId) -> Option<&mut Replica> {
        self.replicas.get_mut(&id)
    }

    pub fn is_up(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|replica| replica.is_up)
    }

    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// The replicas that are up.
    pub fn up(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values().filter(|replica| replica.is_up)
    }

    pub fn iter_mut(&mut self) -> btree_map::IterMut<'_, ReplicaId, Replica> {
        self.replicas.iter_mut()
    }

    pub fn warm_count(&self, now: Millis, slow_start: &SlowStart) -> usize {
        self.up().filter(|replica| slow_start.is_warm(now, &replica.warm_up)).count()
    }

    pub fn mean_weight(&self) -> f64 {
        self.mean_weight
    }

    /// Removes replicas that have been down for at least `after` and have no call in flight.
    pub fn remove_departed(&mut self, now: Millis, after: Millis) {
        self.replicas.retain(|_, replica| {
            replica.down_since = if replica.is_up { None } else { replica.down_since.or(Some(now)) };
            replica.down_since.is_none_or(|since| now - since < after) || !replica.calls.is_empty()
        });
        self.remove_departed_beyond_limit();
    }

    /// Removes the replicas that have been absent for longest, if there are too many of them.
    fn remove_departed_beyond_limit(&mut self) {
        let departed = self.replicas.iter().filter_map(|(id, replica)| Some((replica.down_since?, *id)));
        let mut departed: Vec<(Millis, ReplicaId)> = departed.collect();
        let limit = max_departed_replicas(self.replicas.len() - departed.len());
        let excess = departed.len().saturating_sub(limit);
        departed.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        for (_, id) in departed.into_iter().take(excess) {
            if self.replicas.get(&id).is_some_and(|replica| replica.calls.is_empty()) {
                self.replicas.remove(&id);
            }
        }
    }
}

/// Number of absent replicas that are remembered beside `listed` ones, so that those that return keep their statistics and
/// lists that always bring new names do not accumulate.
pub fn max_departed_replicas(listed: usize) -> usize {
    const MIN_DEPARTED_REPLICAS: usize = 1000;
    (2 * listed).max(MIN_DEPARTED_REPLICAS)
}

/// Applies one entry of the endpoint list. `is_incremental_update`: the entry is a change to a list that has already
/// been applied.
fn apply_entry(replica: &mut Replica, entry: &ReplicaEntry, now: Millis, is_incremental_update: bool) {
    let was_up = replica.is_up;
    replica.is_up = entry.state == ReplicaState::Up;
    replica.cell = entry.cell;
    replica.zone = entry.zone;
    let is_valid_weight = entry.weight.is_finite() && entry.weight > 0.0;
    replica.weight = if is_valid_weight { entry.weight } else { 1.0 };

    let listed_start = entry.started_at.filter(|at| at.is_finite() && *at > 0.0).map(|at| at.min(now));
    // A replica without a start time that comes up by an incremental update is assumed to have started now.
    let is_unknown_start = is_incremental_update
        && !was_up
        && replica.is_up
        && listed_start.is_none()
        && replica.warm_up.listed_start.is_none();
    let has_restarted = listed_start.is_some() && listed_start != replica.warm_up.listed_start;
    if has_restarted || is_unknown_start {
        replica.outlier_stats.reset();
        replica.reported_queue = None;
        replica.warm_up.listed_start = if is_unknown_start { Some(now) } else { listed_start };
    }
}
