//! Replica selection by power of two choices: of two randomly drawn holders of the shard, the one with the lower cost
//! gets the part.
//!
//! The statistics of a replica affect either its cost or whether it may be drawn at all.

use super::action::{Action, LogEvent};
use super::endpoint_set::EndpointSet;
use super::load_reports::LoadReports;
use super::outlier_detection::OutlierCriteria;
use super::part::Candidates;
use super::replica::Replica;
use super::state::Balancer;
use super::{Millis, PartId, ReplicaId};

/// Slowness up to this multiple of the median latency is treated as noise and does not raise a replica's cost.
const TOLERATED_SLOWNESS: f64 = 1.5;
/// If crossing zones has a cost, two replicas whose costs differ by less than this many parts are tied, and the one in
/// the aggregator's own zone is selected.
const ZONE_TIE_MARGIN: f64 = 1.2;

/// Computes the cost of sending a part to a replica from the statistics at one point in time.
pub(super) struct Scoring<'a> {
    pub endpoints: &'a EndpointSet,
    pub load_reports: &'a LoadReports,
    pub criteria: OutlierCriteria,
}

impl Scoring<'_> {
    /// The estimated load of a replica, in parts: calls of this aggregator in flight, recent failures, and the
    /// reported queue multiplied by the weight of load reports.
    pub fn estimated_load(&self, replica: &Replica) -> f64 {
        let reported = self.reported_queue(replica);
        replica.calls.len() as f64
            + self.criteria.decayed(&replica.outlier_stats).failures
            + self.load_reports.report_weight() * reported
    }

    pub fn reported_queue(&self, replica: &Replica) -> f64 {
        self.load_reports.queue_at(replica, self.criteria.now, self.criteria.median_latency)
    }

    /// The expected work until a part is answered, in parts at a replica of mean weight; infinite for an unknown
    /// replica.
    pub fn cost(&self, id: ReplicaId) -> f64 {
        let Some(replica) = self.endpoints.get(id) else { return f64::INFINITY };
        let slowness = (self.criteria.slowness(replica) / TOLERATED_SLOWNESS).max(1.0);
        (self.estimated_load(replica) + 1.0) * slowness * self.endpoints.mean_weight() / replica.weight
    }

    /// The lowest cost among the holders of a shard; infinite without a holder.
    pub fn least_cost(&self, shard: u32) -> f64 {
        self.endpoints.holders(shard).map(|id| self.cost(id)).fold(f64::INFINITY, f64::min)
    }

    pub fn is_outlier(&self, replica: &Replica) -> bool {
        self.criteria.is_outlier(replica)
    }

    /// Whether a replica is neither an outlier nor slow.
    pub fn is_healthy(&self, replica: &Replica) -> bool {
        !self.is_outlier(replica) && self.criteria.slowness(replica) <= TOLERATED_SLOWNESS
    }
}

impl Balancer {
    /// The scoring of replicas at the current time.
    pub(super) fn scoring(&self) -> Scoring<'_> {
        Scoring {
            endpoints: &self.endpoints,
            load_reports: &self.load_reports,
            criteria: self.outlier_criteria(),
        }
    }

    /// Expected latency of a part at the holder of its shard that has the lowest cost; infinite without a holder.
    pub(super) fn expected_latency(&self, shard: u32) -> Millis {
        self.latency.queued_part_time() * self.scoring().least_cost(shard)
    }

    /// Selects the replica for a part's next attempt. Returns None if no replica is eligible, or while a health check
    /// of a candidate is awaited; in the latter case the candidates are kept.
    pub(super) fn select(&mut self, part: PartId, actions: &mut Vec<Action>) -> Option<ReplicaId> {
        let candidates = self.candidates(part, actions)?;
        if self.awaits_health_check(candidates.first) || self.awaits_health_check(candidates.second) {
            let query = self.parts.get(&part)?.query;
            if !self.queries_awaiting_checks.contains(&query) {
                self.queries_awaiting_checks.push(query);
            }
            return None;
        }
        self.parts.get_mut(&part)?.candidates = None;
        Some(self.less_loaded(candidates))
    }

    /// Returns the candidates drawn earlier if both are still up. Otherwise draws two new ones and starts their health
    /// checks.
    fn candidates(&mut self, part: PartId, actions: &mut Vec<Action>) -> Option<Candidates> {
        let record = self.parts.get(&part)?;
        let query = record.query;
        let both_up =
            |drawn: &Candidates| self.endpoints.is_up(drawn.first) && self.endpoints.is_up(drawn.second);
        if let Some(drawn) = record.candidates.filter(both_up) {
            return Some(drawn);
        }
        let drawn = self.draw_two(part, actions)?;
        if self.queries.get(&query).is_some_and(|query| query.uses_health_checks) {
            self.check_health(drawn.first, actions);
            self.check_health(drawn.second, actions);
        }
        self.parts.get_mut(&part)?.candidates = Some(drawn);
        Some(drawn)
    }

    /// Draws two distinct eligible replicas, or the same one twice if only one is eligible. Outliers are drawn only if
    /// fewer than two other replicas are eligible; if exactly one other replica is eligible, it is always one of the
    /// two.
    fn draw_two(&mut self, part: PartId, actions: &mut Vec<Action>) -> Option<Candidates> {
        let mut pool = self.eligible(part)?;
        let scoring = self.scoring();
        let is_not_outlier =
            |id: &ReplicaId| scoring.endpoints.get(*id).is_some_and(|replica| !scoring.is_outlier(replica));
        let non_outliers: Vec<ReplicaId> = pool.iter().copied().filter(is_not_outlier).collect();
        if non_outliers.is_empty() && pool.len() > 1 {
            let shard = self.parts.get(&part)?.shard;
            actions.push(Action::Log(LogEvent::AllHoldersOutliers { shard }));
        }
        let only_candidate = if let [only] = non_outliers.as_slice() { Some(*only) } else { None };
        if non_outliers.len() >= 2 {
            pool = non_outliers;
        }
        let first = match only_candidate {
            Some(only) => pool.iter().position(|id| *id == only)?,
            None if pool.is_empty() => return None,
            None => self.random.below(pool.len()),
        };
        let second = self.random.other_than(first, pool.len());
        Some(Candidates { first: pool[first], second: pool[second] })
    }

    /// The holders that may receive a part now: those without an earlier attempt of the part, or all of them once the
    /// last attempt was sent at least a median latency ago. None if every holder has been tried and the last attempt
    /// is more recent.
    fn eligible(&mut self, part: PartId) -> Option<Vec<ReplicaId>> {
        let record = self.parts.get(&part)?;
        let has_attempt_at = |id: ReplicaId| record.in_flight().any(|attempt| attempt.replica == id);
        let holders: Vec<ReplicaId> =
            self.endpoints.holders(record.shard).filter(|id| !has_attempt_at(*id)).collect();
        let mut admitted: Vec<ReplicaId> = Vec::with_capacity(holders.len());
        for id in &holders {
            if self.admits_by_slow_start(*id) {
                admitted.push(*id);
            }
        }
        if admitted.is_empty() {
            admitted = holders.into_iter().filter(|id| self.is_idle_after_connection_loss(*id)).collect();
        }
        let record = self.parts.get(&part)?;
        let untried: Vec<ReplicaId> = admitted.iter().copied().filter(|id| !record.has_tried(*id)).collect();
        if !untried.is_empty() {
            return Some(untried);
        }
        // Without this delay a part would use up all its attempts at one overloaded holder while the others warm up.
        let is_recent =
            record.attempts.last().is_some_and(|last| self.now < last.sent_at + self.latency.median());
        if is_recent { None } else { Some(admitted) }
    }

    /// Whether slow start allows a replica to be drawn. A replica that is warming up is allowed at random, with its
    /// admission chance.
    fn admits_by_slow_start(&mut self, id: ReplicaId) -> bool {
        let Some(replica) = self.endpoints.get(id) else { return false };
        if self.slow_start.is_warm(self.now, &replica.warm_up) {
            return true;
        }
        let relative_weight = replica.weight / self.endpoints.mean_weight();
        let chance = self.slow_start.admission_chance(
            self.now,
            &replica.warm_up,
            relative_weight,
            self.objectives.longest,
        );
        if let Some(replica) = self.endpoints.get_mut(id) {
            replica.warm_up.last_considered_at = self.now;
        }
        self.random.unit_interval() < chance
    }

    /// Whether a replica is warm according to the endpoint list and has no call in flight. If no other replica is
    /// left, such a replica is eligible although it is warming up after lost connections.
    fn is_idle_after_connection_loss(&self, id: ReplicaId) -> bool {
        self.endpoints.get(id).is_some_and(|replica| {
            let is_listed_warm =
                self.slow_start.capacity_share(self.now, replica.warm_up.listed_start) >= 1.0;
            is_listed_warm && replica.calls.is_empty()
        })
    }

    /// Returns the candidate with the lower cost. An outlier does not lose automatically: if a shard's only healthy
    /// holder won every draw, it would get all of the shard's parts and become overloaded.
    fn less_loaded(&mut self, candidates: Candidates) -> ReplicaId {
        let Candidates { first, second } = candidates;
        let scoring = self.scoring();
        let first_cost = scoring.cost(first);
        let second_cost = scoring.cost(second);
        if self.settings.cross_zone_cost > 0.0 && (first_cost - second_cost).abs() < ZONE_TIE_MARGIN {
            let is_first_local = self.is_in_own_zone(first);
            if is_first_local != self.is_in_own_zone(second) {
                return if is_first_local { first } else { second };
            }
        }
        // An overdue health check only breaks ties: one lost response must not move all load away from a replica.
        let first_overdue = self.has_overdue_health_check(first);
        let second_overdue = self.has_overdue_health_check(second);
        let coin_flip = self.random.below(2) == 0;
        let first_wins_tie = if first_overdue == second_overdue { coin_flip } else { second_overdue };
        if first_cost < second_cost || first_cost == second_cost && first_wins_tie { first } else { second }
    }

    fn is_in_own_zone(&self, id: ReplicaId) -> bool {
        self.endpoints.get(id).is_some_and(|replica| replica.zone == self.settings.zone)
    }
}
