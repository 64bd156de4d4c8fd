//! A caller of the module that remembers what is out.
#![allow(dead_code)]

pub mod faulty;
pub mod fleet;
pub mod flight;
pub mod leaf_setups;
pub mod process;
pub mod timeline;

use sailmux::Balancer;
use sailmux::balancer::*;

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

pub fn entry(i: u32) -> ReplicaEntry {
    ReplicaEntry {
        replica: ReplicaId(i),
        cell: i,
        weight: 1.0,
        state: ReplicaState::Up,
        started_at: None,
        zone: 0,
    }
}

pub fn with_class(class: Class) -> Settings {
    Settings { classes: vec![class], ..settings() }
}

pub struct Rig {
    pub balancer: Balancer,
    pub actions: Vec<Action>,
    /// Attempts out.
    pub out: Vec<(PartId, u32)>,
    /// Every send: when, which part, where.
    pub sends: Vec<(f64, PartId, ReplicaId)>,
    /// Every probe: when and to whom.
    pub probes: Vec<(f64, ReplicaId)>,
    /// Replicas whose probes stay without an end.
    pub mute: Vec<ReplicaId>,
    next: u64,
}

impl Rig {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("settings are sound");
        Rig { balancer, actions: vec![], out: vec![], sends: vec![], probes: vec![], mute: vec![], next: 0 }
    }

    /// Feeds an event and remembers what it brings. Probes end at once, with nothing reported.
    pub fn feed(&mut self, now: f64, event: Event) {
        let from = self.actions.len();
        self.balancer.handle(now, event, &mut self.actions);
        let mut asked = vec![];
        for action in &self.actions[from..] {
            match action {
                Action::Send { part, replica, .. } => {
                    let attempt = self.sends.iter().filter(|s| s.1 == *part).count() as u32;
                    self.sends.push((now, *part, *replica));
                    self.out.push((*part, attempt));
                }
                Action::HealthCheck { replica } => asked.push(*replica),
                _ => {}
            }
        }
        for replica in asked {
            self.probes.push((now, replica));
            if !self.mute.contains(&replica) {
                self.feed(
                    now,
                    Event::HealthCheckEnded { replica, outcome: Outcome::Ok, elapsed: 1.0, report: None },
                );
            }
        }
    }

    pub fn list(&mut self, n: u32) {
        let entries = (0..n).map(entry).collect();
        self.feed(0.0, Event::EndpointList { complete: true, entries });
    }

    pub fn change(&mut self, now: f64, entry: ReplicaEntry) {
        self.feed(now, Event::EndpointList { complete: false, entries: vec![entry] });
    }

    pub fn query(&mut self, now: f64, shards: &[u32]) -> (QueryId, Vec<PartId>) {
        let query = QueryId(self.next);
        let weight = 1.0 / shards.len() as f64;
        let part = |(i, shard): (u64, &u32)| PartSpec {
            part: PartId(self.next + 1 + i),
            shard: *shard,
            weight,
            cost_hint: None,
        };
        let parts: Vec<PartSpec> = (0..).zip(shards).map(part).collect();
        self.next += 1 + shards.len() as u64;
        let ids = parts.iter().map(|p| p.part).collect();
        let time_left = 3000.0;
        self.feed(now, Event::Query { query, class: 0, tenant: None, time_left, is_retry: false, parts });
        (query, ids)
    }

    pub fn send(&mut self, now: f64, shard: u32) -> (PartId, ReplicaId) {
        let (_, parts) = self.query(now, &[shard]);
        let sent = self.sends.iter().find(|s| s.1 == parts[0]).expect("the part was sent");
        (parts[0], sent.2)
    }

    pub fn send_one(&mut self, now: f64, shard: u32) -> ReplicaId {
        self.send(now, shard).1
    }

    pub fn end(&mut self, now: f64, part: PartId, attempt: u32, outcome: Outcome, took: f64) {
        self.out.retain(|o| *o != (part, attempt));
        self.feed(now, Event::AttemptEnded { part, attempt, outcome, elapsed: took, report: None });
    }

    pub fn report(&mut self, now: f64, replica: u32, queue: f64) {
        let report = Some(LoadReport { queue: Some(queue), ..LoadReport::default() });
        let replica = ReplicaId(replica);
        self.feed(now, Event::HealthCheckEnded { replica, outcome: Outcome::Ok, elapsed: 1.0, report });
    }

    /// Timer events every 20 ms over a span.
    pub fn pass(&mut self, from: f64, to: f64) {
        let mut now = from;
        while now < to {
            now += 20.0;
            self.feed(now, Event::Timer);
        }
    }

    pub fn has(&self, action: &Action) -> bool {
        self.actions.contains(action)
    }

    /// Where an attempt went.
    pub fn sent_to(&self, part: PartId, attempt: u32) -> ReplicaId {
        self.sends.iter().filter(|s| s.1 == part).nth(attempt as usize).expect("sent").2
    }

    /// Has any replica been suspected, by the log?
    pub fn suspected(&self) -> bool {
        let suspected = |a: &Action| matches!(a, Action::Log(LogEvent::ReplicaEjected(_)));
        self.actions.iter().any(suspected)
    }
}

/// Ends all that is out, each with the same outcome.
pub fn end_all(rig: &mut Rig, now: f64, outcome: Outcome, took: f64) {
    for (part, attempt) in rig.out.clone() {
        rig.end(now, part, attempt, outcome, took);
    }
}
