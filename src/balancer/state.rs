//! The balancer: owns the state of all modules, and dispatches each event to the modules concerned.

use super::action::Action;
use super::admission::{Admission, AdmissionContext};
use super::client_retries::TryTimeouts;
use super::endpoint_set::EndpointSet;
use super::endpoint_watch::EndpointWatch;
use super::event::{CallResult, Event, LoadReport, ReplicaEntry};
use super::health_checks::HealthChecks;
use super::latency::LatencyEstimates;
use super::load_reports::{LoadReports, ReportedQueue};
use super::outlier_detection::{FailingShare, OutlierCriteria, half_life};
use super::part::Part;
use super::priority::Priorities;
use super::query_arrival::QueryArrival;
use super::query_progress::Query;
use super::random::RandomSource;
use super::retry_budget::RetryBudgets;
use super::settings::{Settings, SettingsError};
use super::slow_start::SlowStart;
use super::statistics::finite_or;
use super::sweep::{STALL_SWEEPS, sweep_interval};
use super::{Millis, PartId, QueryId, ReplicaId};
use std::collections::BTreeMap;

/// The longest and the shortest latency objective of all classes.
#[derive(Clone, Copy)]
pub(super) struct Objectives {
    pub longest: Millis,
    pub shortest: Millis,
}

impl Objectives {
    fn of(settings: &Settings) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        Objectives {
            longest: objectives.clone().fold(0.0, f64::max),
            shortest: objectives.fold(f64::INFINITY, f64::min),
        }
    }
}

/// The load-balancing policy of one aggregator: a state machine that turns events into actions.
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) objectives: Objectives,
    pub(super) random: RandomSource,
    pub(super) now: Millis,
    /// When this aggregator last resumed after a stall.
    pub(super) resumed_at: Millis,
    pub(super) next_sweep_at: Option<Millis>,
    pub(super) last_sweep_at: Millis,
    /// Queries that arrive are answered by then; infinite unless this aggregator is shutting down.
    pub(super) answer_limit: Millis,

    pub(super) endpoints: EndpointSet,
    pub(super) endpoint_watch: EndpointWatch,
    pub(super) latency: LatencyEstimates,
    pub(super) load_reports: LoadReports,
    pub(super) health_checks: HealthChecks,
    pub(super) slow_start: SlowStart,
    pub(super) failing_share: FailingShare,
    pub(super) retry_budgets: RetryBudgets,
    pub(super) admission: Admission,
    pub(super) priorities: Priorities,
    pub(super) try_timeouts: TryTimeouts,

    pub(super) queries: BTreeMap<QueryId, Query>,
    /// Parts of the current queries, and parts of ended queries that still have an attempt in flight.
    pub(super) parts: BTreeMap<PartId, Part>,
    /// The number of queries and parts in flight, compared with `Settings::max_in_flight`.
    pub(super) in_flight: usize,
    pub(super) queries_awaiting_checks: Vec<QueryId>,
}

impl Balancer {
    /// Creates a balancer without endpoints. The seed determines all its random choices.
    ///
    /// # Errors
    /// The first setting that is invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let objectives = Objectives::of(&settings);
        Ok(Balancer {
            objectives,
            random: RandomSource::new(seed),
            now: f64::NEG_INFINITY,
            resumed_at: f64::NEG_INFINITY,
            next_sweep_at: None,
            last_sweep_at: 0.0,
            answer_limit: f64::INFINITY,
            endpoints: EndpointSet::new(&settings),
            endpoint_watch: EndpointWatch::new(settings.discovery_is_polled),
            latency: LatencyEstimates::new(objectives.shortest),
            load_reports: LoadReports::default(),
            health_checks: HealthChecks::new(),
            slow_start: SlowStart::new(&settings),
            failing_share: FailingShare::default(),
            retry_budgets: RetryBudgets::default(),
            admission: Admission::new(),
            priorities: Priorities::new(&settings),
            try_timeouts: TryTimeouts::new(settings.classes.len()),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            in_flight: 0,
            queries_awaiting_checks: Vec::new(),
            settings,
        })
    }

    /// Replaces the settings. `previous_class` maps each new class to its index in the old settings; None for a class
    /// that is new. Queries in flight keep the settings that applied when they arrived.
    ///
    /// # Errors
    /// The first setting that is invalid; the old settings remain in effect.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        previous_class: &[Option<usize>],
    ) -> Result<(), SettingsError> {
        settings.validate()?;
        let previous = |class: usize| previous_class.get(class).copied().flatten();
        self.objectives = Objectives::of(&settings);
        self.priorities.reconfigure(&settings, previous);
        self.try_timeouts.reconfigure(settings.classes.len(), previous);
        self.slow_start.reconfigure(&settings);
        self.endpoints.reconfigure(&settings);
        self.load_reports.reindex(self.endpoints.up());
        self.settings = settings;
        Ok(())
    }

    /// Limits the time of the queries that arrive from now on: each is answered by `at`, and rejected if it arrives later.
    /// Called when this aggregator shuts down, since it may be killed after that.
    pub fn limit_answers_to(&mut self, at: Millis) {
        self.answer_limit = at;
    }

    /// Handles one event and appends the resulting actions to `actions`, in order. Events with unknown ids are
    /// ignored. `now` must not decrease; if it does, the latest time seen is used.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = finite_or(now, self.now.max(0.0)).max(self.now);
        self.detect_stall();
        match event {
            Event::EndpointList { complete, entries } => self.apply_endpoint_list(complete, &entries),
            Event::EndpointListFailed => self.retry_endpoint_watch(),
            Event::Query { query, class, tenant, time_left, is_retry, parts } => {
                let arrival = QueryArrival { query, class, tenant, time_left, is_retry };
                self.receive_query(&arrival, &parts, actions);
            }
            Event::SecondStep { query, parts } => self.receive_second_step(query, &parts, actions),
            Event::AttemptEnded { part, attempt, outcome, elapsed, report } => {
                let result = CallResult { outcome, elapsed, report };
                self.end_attempt(part, attempt as usize, result, actions);
            }
            Event::ClientDisconnected { query } => self.close(query, actions),
            Event::HealthCheckEnded { replica, outcome, elapsed, report } => {
                self.end_health_check(replica, CallResult { outcome, elapsed, report });
                for query in std::mem::take(&mut self.queries_awaiting_checks) {
                    self.advance(query, actions);
                }
            }
            Event::Timer => {}
        }
        if self.next_sweep_at.is_none_or(|at| self.now >= at) {
            self.sweep(actions);
            let at = self.now + sweep_interval(&self.settings);
            self.next_sweep_at = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }

    /// Whether the last query of a known tenant was within the tenant's quota.
    pub fn last_query_within_quota(&self) -> bool {
        self.priorities.last_query_within_quota()
    }

    /// Whether a replica is in slow start; false for an unknown replica.
    pub fn is_warming_up(&self, replica: ReplicaId) -> bool {
        self.endpoints
            .get(replica)
            .is_some_and(|replica| !self.slow_start.is_warm(self.now, &replica.warm_up))
    }

    /// Detects a stall of this aggregator, such as a paused process or a busy core, by an overdue sweep. After a
    /// stall, answers are handled late although the replicas were not slow, so measurements that span the stall are
    /// not counted against replicas.
    fn detect_stall(&mut self) {
        let stall = STALL_SWEEPS * sweep_interval(&self.settings);
        if self.next_sweep_at.is_some_and(|at| self.now - at > stall) {
            self.resumed_at = self.now;
        }
    }

    fn apply_endpoint_list(&mut self, is_complete: bool, entries: &[ReplicaEntry]) {
        self.endpoint_watch.on_list();
        self.endpoints.apply(self.now, is_complete, entries);
        self.load_reports.reindex(self.endpoints.up());
    }

    fn retry_endpoint_watch(&mut self) {
        let Settings { discovery_is_polled, max_poll_interval, .. } = self.settings;
        let jitter = self.random.unit_interval();
        self.endpoint_watch.on_failure(self.now, discovery_is_polled, max_poll_interval, jitter);
    }

    /// Records a replica's load report, if a queue length can be derived from it. `own_calls` and `lower_bound` are as
    /// in [`ReportedQueue::from_report`].
    pub(super) fn record_report(
        &mut self,
        id: ReplicaId,
        report: Option<LoadReport>,
        own_calls: f64,
        lower_bound: f64,
    ) {
        let Some(replica) = self.endpoints.get_mut(id) else { return };
        let queue =
            report.and_then(|report| ReportedQueue::from_report(&report, own_calls, lower_bound, self.now));
        if let Some(queue) = queue {
            self.load_reports.record(replica, queue);
        }
    }

    /// The context for admission control at the current time.
    pub(super) fn admission_context(&self) -> AdmissionContext {
        AdmissionContext { now: self.now, longest_objective: self.objectives.longest }
    }

    /// The parameters of outlier detection at the current time.
    pub(super) fn outlier_criteria(&self) -> OutlierCriteria {
        OutlierCriteria {
            now: self.now,
            resumed_at: self.resumed_at,
            median_latency: self.latency.median(),
            half_life: half_life(self.slow_start.peer_rate(), self.objectives.longest),
        }
    }
}
