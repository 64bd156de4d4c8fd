//! A caller of the balancer that records the balancer's actions and the attempts in flight.

use sailmux::Balancer;
use sailmux::balancer::*;

/// An idempotent class that allows no partial answers, with a latency objective of 1.5 s and a deadline of 3 s.
pub fn class() -> Class {
    Class {
        latency_objective: 1500.0,
        objective_stretch: 0.0,
        deadline: 3000.0,
        late_value_factor: 0.0,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        complete_coverage: 1.0,
        minimum_coverage: 1.0,
        partial_value_factor: 0.9,
        second_step_parts: 0,
    }
}

/// Settings with one class, three cells that each hold every shard, and every optional mechanism allowed.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class()],
        tenants: vec![],
        over_quota_weight: 0.1,
        weight_by_work: false,
        clients_mark_retries: true,
        aggregators: 2,
        timer_granularity: 5.0,
        cells: 3,
        width: 3,
        parts_per_call: 1,
        load_report_mode: LoadReportMode::OnHealthCheck,
        health_checks_allowed: true,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_attempts: 3,
        max_in_flight: 1000,
        max_retry_after: Some(500.0),
        discovery_is_polled: false,
        max_poll_interval: 10_000.0,
        slow_start_share: 0.2,
        slow_start_window: 15_000.0,
        overload_factor: 2.5,
        retry_budget: None,
        cross_zone_cost: 0.0,
        health_check_cost: 0.01,
        zone: 0,
    }
}

/// An endpoint list entry of a replica that is up; the replica and its cell have the same number.
pub fn entry(number: u32) -> ReplicaEntry {
    ReplicaEntry {
        replica: ReplicaId(number),
        cell: number,
        weight: 1.0,
        state: ReplicaState::Up,
        started_at: None,
        zone: 0,
    }
}

/// The default settings with `class` as the only class.
pub fn with_class(class: Class) -> Settings {
    Settings { classes: vec![class], ..settings() }
}

/// The part of a query for shard 0 alone.
pub fn only_part(part: PartId) -> PartSpec {
    PartSpec { part, shard: 0, weight: 1.0, cost_hint: None }
}

/// An attempt that the balancer has sent.
pub struct Sent {
    pub part: PartId,
    pub replica: ReplicaId,
}

/// An attempt in flight; a part's attempts are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlight {
    pub part: PartId,
    pub attempt: u32,
}

/// A balancer and the actions that it has returned. Times are in milliseconds.
pub struct Harness {
    pub balancer: Balancer,
    /// Every action, in order; tests may clear the list.
    pub actions: Vec<Action>,
    pub in_flight: Vec<InFlight>,
    /// Every attempt, in the order sent.
    pub sends: Vec<Sent>,
    /// The replica of every health check, in the order sent.
    pub health_checks: Vec<ReplicaId>,
    /// Replicas whose health checks are not answered.
    pub unresponsive: Vec<ReplicaId>,
    next_id: u64,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Harness {
            balancer: Balancer::new(settings, seed).expect("valid settings"),
            actions: vec![],
            in_flight: vec![],
            sends: vec![],
            health_checks: vec![],
            unresponsive: vec![],
            next_id: 0,
        }
    }

    /// Passes an event to the balancer and records its actions. Health checks succeed at once and report no load.
    pub fn handle(&mut self, now: f64, event: Event) {
        let first_new = self.actions.len();
        self.balancer.handle(now, event, &mut self.actions);
        let mut to_check = vec![];
        for action in &self.actions[first_new..] {
            match action {
                Action::Send { part, replica, .. } => {
                    let attempt = self.sends.iter().filter(|sent| sent.part == *part).count() as u32;
                    self.sends.push(Sent { part: *part, replica: *replica });
                    self.in_flight.push(InFlight { part: *part, attempt });
                }
                Action::HealthCheck { replica } => to_check.push(*replica),
                _ => {}
            }
        }
        for replica in to_check {
            self.health_checks.push(replica);
            if !self.unresponsive.contains(&replica) {
                self.handle(
                    now,
                    Event::HealthCheckEnded { replica, outcome: Outcome::Ok, elapsed: 1.0, report: None },
                );
            }
        }
    }

    /// Applies a complete endpoint list of this many replicas at time 0.
    pub fn list_replicas(&mut self, count: u32) {
        let entries = (0..count).map(entry).collect();
        self.handle(0.0, Event::EndpointList { complete: true, entries });
    }

    /// Applies an endpoint list update of one replica.
    pub fn update_replica(&mut self, now: f64, entry: ReplicaEntry) {
        self.handle(now, Event::EndpointList { complete: false, entries: vec![entry] });
    }

    /// Sends a query with a part for each shard and 3 s left.
    pub fn query(&mut self, now: f64, shards: &[u32]) -> (QueryId, Vec<PartId>) {
        let query = QueryId(self.next_id);
        let weight = 1.0 / shards.len() as f64;
        let mut parts: Vec<PartSpec> = vec![];
        for (id, shard) in (self.next_id + 1..).zip(shards) {
            parts.push(PartSpec { part: PartId(id), shard: *shard, weight, cost_hint: None });
        }
        self.next_id += 1 + shards.len() as u64;
        let ids = parts.iter().map(|spec| spec.part).collect();
        let time_left = 3000.0;
        self.handle(now, Event::Query { query, class: 0, tenant: None, time_left, is_retry: false, parts });
        (query, ids)
    }

    /// Sends a query of one part with this time left; its ids are derived from `number`.
    pub fn query_with_deadline(&mut self, now: f64, number: u64, time_left: f64) -> (QueryId, PartId) {
        let query = QueryId(50_000 + 2 * number);
        let part = PartId(50_001 + 2 * number);
        let parts = vec![only_part(part)];
        self.handle(now, Event::Query { query, class: 0, tenant: None, time_left, is_retry: false, parts });
        (query, part)
    }

    /// Sends a query for one shard whose part is sent at once. Returns the part and its replica.
    pub fn query_one_shard(&mut self, now: f64, shard: u32) -> (PartId, ReplicaId) {
        let (_, parts) = self.query(now, &[shard]);
        let sent = self.sends.iter().find(|sent| sent.part == parts[0]).expect("the part was sent");
        (parts[0], sent.replica)
    }

    /// Sends a query for one shard. Returns the replica that its part is sent to.
    pub fn select_replica(&mut self, now: f64, shard: u32) -> ReplicaId {
        self.query_one_shard(now, shard).1
    }

    pub fn end_attempt(&mut self, now: f64, part: PartId, attempt: u32, outcome: Outcome, elapsed: f64) {
        self.in_flight.retain(|other| *other != InFlight { part, attempt });
        self.handle(now, Event::AttemptEnded { part, attempt, outcome, elapsed, report: None });
    }

    /// Ends all attempts in flight with the same outcome.
    pub fn end_all(&mut self, now: f64, outcome: Outcome, elapsed: f64) {
        for InFlight { part, attempt } in self.in_flight.clone() {
            self.end_attempt(now, part, attempt, outcome, elapsed);
        }
    }

    /// Answers the attempts in flight, and those that are sent upon these answers, except at some replicas.
    pub fn answer_all_except(&mut self, now: f64, elapsed: f64, excluded: &[u32]) {
        for _ in 0..2 {
            for InFlight { part, attempt } in self.in_flight.clone() {
                if !excluded.contains(&self.replica_of(part, attempt).0) {
                    self.end_attempt(now, part, attempt, Outcome::Ok, elapsed);
                }
            }
        }
    }

    /// Sends and answers one query after another from time 0, so that the balancer has latency estimates. Clears the
    /// recorded actions.
    pub fn warm_up(&mut self, until: f64, latency: f64) {
        let mut now = 0.0;
        while now < until {
            self.query(now, &[0]);
            now += latency;
            self.end_all(now, Outcome::Ok, latency);
        }
        self.actions.clear();
    }

    /// Ends a health check of a replica with a report of its queue length.
    pub fn report_queue(&mut self, now: f64, replica: u32, queue: f64) {
        let report = Some(LoadReport { queue: Some(queue), ..LoadReport::default() });
        let replica = ReplicaId(replica);
        self.handle(now, Event::HealthCheckEnded { replica, outcome: Outcome::Ok, elapsed: 1.0, report });
    }

    /// Sends a timer event every 20 ms from `from` to `to`.
    pub fn run_timer(&mut self, from: f64, to: f64) {
        let mut now = from;
        while now < to {
            now += 20.0;
            self.handle(now, Event::Timer);
        }
    }

    pub fn has_action(&self, action: &Action) -> bool {
        self.actions.contains(action)
    }

    /// Whether the query was rejected.
    pub fn is_rejected(&self, query: QueryId) -> bool {
        let rejects =
            |action: &Action| matches!(action, Action::Reject { query: other, .. } if *other == query);
        self.actions.iter().any(rejects)
    }

    /// Whether the query ended without an answer, rejected or failed.
    pub fn ended_unanswered(&self, query: QueryId) -> bool {
        self.is_rejected(query) || self.has_action(&Action::Fail { query })
    }

    /// The replica that an attempt was sent to.
    pub fn replica_of(&self, part: PartId, attempt: u32) -> ReplicaId {
        let mut attempts = self.sends.iter().filter(|sent| sent.part == part);
        attempts.nth(attempt as usize).expect("the attempt was sent").replica
    }

    /// Whether a log event reports the ejection of any replica.
    pub fn any_replica_ejected(&self) -> bool {
        let ejects = |action: &Action| matches!(action, Action::Log(LogEvent::ReplicaEjected(_)));
        self.actions.iter().any(ejects)
    }
}
