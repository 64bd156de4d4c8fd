//! Settings of the balancer and their validation. `config` reads them from the platform's file.

use super::Millis;
use std::fmt;

/// Coverage may exceed one by this through rounding.
const COVERAGE_ROUNDING: f64 = 1e-4;

/// What a retry of a part may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Retries are harmless.
    Idempotent,
    /// Replicas drop repeats of a key for a time after the first attempt that may have been executed.
    Keyed {
        /// How long repeats are dropped.
        window: Millis,
    },
    /// A part may be retried only if no earlier attempt may have been executed.
    NotIdempotent,
}

/// A class of queries.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Answers within this time have their full value.
    pub latency_objective: Millis,
    /// The latency objective grows by this many times the query's own work.
    pub objective_stretch: f64,
    /// The client's whole wait, over all its tries.
    pub deadline: Millis,
    /// The share of the value that is left between latency objective and deadline.
    pub late_value_factor: f64,
    /// The value of a complete answer.
    pub priority_weight: f64,
    /// What retries may do.
    pub idempotency: Idempotency,
    /// The weight of the parts that makes an answer complete.
    pub complete_coverage: f64,
    /// The weight of the parts below which no answer may be given.
    pub minimum_coverage: f64,
    /// The share of the value that a partial answer has, for its coverage.
    pub partial_value_factor: f64,
    /// The parts of the second step; 0 for none.
    pub second_step_parts: u32,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Queries a second, over all aggregators, that have their full priority.
    pub quota_per_s: f64,
}

/// When replicas report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportMode {
    /// With answers and with health checks.
    Inline,
    /// With health checks only.
    OnHealthCheck,
    /// Never.
    Off,
}

/// A limit on attempts beyond each part's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Further attempts allowed whatever the traffic.
    pub free_attempts: f64,
    /// Further attempts for each query and part received.
    pub share: f64,
    /// The sliding window over which both are counted.
    pub window: Millis,
}

/// The settings of one aggregator's balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of queries, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// The share of its priority that a query beyond its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Priority weights count for each unit of work rather than for each query.
    pub weight_by_work: bool,
    /// Clients mark queries that repeat an earlier one.
    pub clients_mark_retries: bool,
    /// The number of aggregators that share the traffic.
    pub aggregators: u32,
    /// The shortest time between two calls of the balancer.
    pub timer_granularity: Millis,
    /// Cells of the layout; shard `s` is held by cells `(s + j) mod cells`, `j < width`.
    pub cells: u32,
    /// Consecutive cells that hold a shard.
    pub width: u32,
    /// Parts that may share a call to a replica.
    pub parts_per_call: u32,
    /// When replicas report their load.
    pub load_report_mode: LoadReportMode,
    /// Health checks may be sent.
    pub health_checks_allowed: bool,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Two attempts of a part may be in flight at once.
    pub hedging_allowed: bool,
    /// The most attempts of a part.
    pub max_attempts: u32,
    /// The most queries and parts in flight.
    pub max_in_flight: u32,
    /// The longest Retry-After, if clients are sent one.
    pub max_retry_after: Option<Millis>,
    /// The endpoint list has to be polled; otherwise it is pushed.
    pub discovery_is_polled: bool,
    /// The longest time without a poll of the endpoint list.
    pub max_poll_interval: Millis,
    /// The share of its capacity that a replica has at its start.
    pub slow_start_share: f64,
    /// The time within which a replica warms up.
    pub slow_start_window: Millis,
    /// A replica that gets more than this many times its present capacity, from all aggregators together, fails.
    pub overload_factor: f64,
    /// The retry budget, if one is configured.
    pub retry_budget: Option<RetryBudget>,
    /// The cost of an attempt that crosses zones.
    pub cross_zone_cost: f64,
    /// The cost of one health check a part, as a share of the whole result.
    pub health_check_cost: f64,
    /// The index of this aggregator's zone.
    pub zone: u32,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClass,
    /// The class of this index has an invalid time, share or weight.
    InvalidClass(usize),
    /// There is no cell, no width, or a width above the number of cells.
    InvalidLayout,
    /// The setting of this name is negative, zero where it must not be, or not a number.
    InvalidValue(&'static str),
}

impl Settings {
    /// Checks that the settings are valid together.
    ///
    /// # Errors
    /// The first setting that is not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        if let Some(index) = self.classes.iter().position(|class| !class.is_valid()) {
            return Err(SettingsError::InvalidClass(index));
        }
        if self.cells == 0 || self.width == 0 || self.width > self.cells {
            return Err(SettingsError::InvalidLayout);
        }
        if self.overload_factor.is_nan() || self.overload_factor <= 0.0 {
            return Err(SettingsError::InvalidValue("overload_factor"));
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::InvalidValue("max_attempts"));
        }
        let invalid = self.non_negative_values().into_iter().find(|(_, value)| !is_non_negative(*value));
        invalid.map_or(Ok(()), |(name, _)| Err(SettingsError::InvalidValue(name)))
    }

    fn non_negative_values(&self) -> [(&'static str, f64); 10] {
        let budget = self.retry_budget.unwrap_or(RetryBudget { free_attempts: 0.0, share: 0.0, window: 0.0 });
        [
            ("over_quota_weight", self.over_quota_weight),
            ("timer_granularity", self.timer_granularity),
            ("max_poll_interval", self.max_poll_interval),
            ("slow_start_share", self.slow_start_share),
            ("slow_start_window", self.slow_start_window),
            ("max_retry_after", self.max_retry_after.unwrap_or(0.0)),
            ("health_check_cost", self.health_check_cost),
            ("retry_budget.free_attempts", budget.free_attempts),
            ("retry_budget.share", budget.share),
            ("retry_budget.window", budget.window),
        ]
    }
}

impl Class {
    fn is_valid(&self) -> bool {
        let window = if let Idempotency::Keyed { window } = self.idempotency { window } else { 0.0 };
        let values = [
            self.latency_objective,
            self.objective_stretch,
            self.deadline,
            self.late_value_factor,
            self.priority_weight,
            self.complete_coverage,
            self.minimum_coverage,
            self.partial_value_factor,
            window,
        ];
        values.into_iter().all(is_non_negative)
            && self.latency_objective > 0.0
            && self.deadline > 0.0
            && self.complete_coverage > 0.0
            && self.complete_coverage <= 1.0 + COVERAGE_ROUNDING
    }
}

fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClass => write!(f, "settings name no class"),
            Self::InvalidClass(index) => write!(f, "class {index} has an invalid time, share or weight"),
            Self::InvalidLayout => write!(f, "the layout needs 1 <= width <= cells"),
            Self::InvalidValue(name) => {
                write!(f, "setting {name} is negative, zero where it must not be, or not a number")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
