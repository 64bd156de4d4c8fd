//! Settings of the balancer and their validation. The `config` module reads them from the platform file.

use super::Millis;
use std::fmt;

/// Tolerance for rounding errors by which coverage may exceed 1.
const COVERAGE_ROUNDING: f64 = 1e-4;

/// Whether a part may be sent again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Repeated execution has no further effect, so retries are always safe.
    Idempotent,
    /// Replicas drop repeats of an idempotency key for a limited time after the first attempt that may have been
    /// executed.
    Keyed {
        /// The time for which repeats are dropped, in milliseconds.
        window: Millis,
    },
    /// A part may be retried only if no earlier attempt may have been executed.
    NotIdempotent,
}

/// A class of queries, with the value and the limits of its answers.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// The time within which an answer has its full value, in milliseconds; greater than 0.
    pub latency_objective: Millis,
    /// Multiple of the sum of the parts' cost hints that is added to the latency objective; 0 for a fixed objective.
    pub objective_stretch: f64,
    /// The client's total wait over all its tries, in milliseconds; greater than 0. An answer after it has no value.
    pub deadline: Millis,
    /// The share of the value that an answer between latency objective and deadline has; 0 if late answers have no
    /// value.
    pub late_value_factor: f64,
    /// The value of a complete answer in time, relative to the other classes.
    pub priority_weight: f64,
    /// Whether parts may be sent again after an attempt that may have been executed.
    pub idempotency: Idempotency,
    /// The minimum weight of the answered parts for a complete answer, greater than 0 and at most 1.
    pub complete_coverage: f64,
    /// The minimum weight of the answered parts for a partial answer. Partial answers are not given if it is not below
    /// `complete_coverage`.
    pub minimum_coverage: f64,
    /// The share of the value that a partial answer has, in proportion to its coverage.
    pub partial_value_factor: f64,
    /// The number of parts of the second step; 0 for queries of one step.
    pub second_step_parts: u32,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Queries per second, over all aggregators, that keep their full priority. The balancer uses only the proportions
    /// between tenants.
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

/// A limit on the attempts of parts beyond the first one of each.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Further attempts allowed in a window regardless of the traffic.
    pub free_attempts: f64,
    /// Further attempts allowed for each query and part received.
    pub share: f64,
    /// The length of the sliding window in which attempts, queries and parts are counted, in milliseconds.
    pub window: Millis,
}

/// The settings of one aggregator's balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of queries, by index; at least one.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// The factor by which the priority of a query over its tenant's quota is multiplied; at least 0.
    pub over_quota_weight: f64,
    /// Whether priority weights apply to each unit of work rather than to each query.
    pub weight_by_work: bool,
    /// Whether clients mark queries that repeat an earlier one.
    pub clients_mark_retries: bool,
    /// The number of aggregators that share the traffic.
    pub aggregators: u32,
    /// The shortest time between two calls of the balancer, in milliseconds.
    pub timer_granularity: Millis,
    /// The number of cells; at least 1. Shard `s` is held by cells `(s + j) mod cells`, `j < width`.
    pub cells: u32,
    /// The number of consecutive cells that hold a shard, from 1 to `cells`.
    pub width: u32,
    /// The maximum number of parts in one call to a replica.
    pub parts_per_call: u32,
    /// When replicas report their load.
    pub load_report_mode: LoadReportMode,
    /// Whether health checks may be sent.
    pub health_checks_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether two attempts of a part may be in flight at once.
    pub hedging_allowed: bool,
    /// The maximum number of attempts of a part; at least 1.
    pub max_attempts: u32,
    /// The maximum number of queries and parts in flight, counted together.
    pub max_in_flight: u32,
    /// The longest Retry-After, in milliseconds. None if clients are not sent one.
    pub max_retry_after: Option<Millis>,
    /// Whether the endpoint list has to be polled; otherwise discovery pushes it.
    pub discovery_is_polled: bool,
    /// The longest time without a poll of the endpoint list, in milliseconds.
    pub max_poll_interval: Millis,
    /// The share of its capacity that a replica has right after its start, from 0 to 1.
    pub slow_start_share: f64,
    /// The time that a replica takes to warm up, in milliseconds.
    pub slow_start_window: Millis,
    /// A replica that receives more than this multiple of its current capacity, from all aggregators together, fails under
    /// the load; greater than 0.
    pub overload_factor: f64,
    /// The configured retry budget; None if only the adaptive budget limits retries.
    pub retry_budget: Option<RetryBudget>,
    /// The cost of an attempt that crosses zones; at 0 or below, zones do not affect the selection.
    pub cross_zone_cost: f64,
    /// The cost of one health check for each part, as a share of the total value.
    pub health_check_cost: f64,
    /// The index of this aggregator's zone.
    pub zone: u32,
}

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The settings contain no class.
    NoClass,
    /// The class with this index has an invalid time, share or weight.
    InvalidClass(usize),
    /// `cells` or `width` is 0, or `width` is greater than `cells`.
    InvalidLayout,
    /// The setting with this name is negative, zero where it must not be, or not a finite number.
    InvalidValue(&'static str),
}

impl Settings {
    /// Checks that the settings are valid and consistent with each other.
    ///
    /// # Errors
    /// The first invalid setting.
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
            Self::NoClass => write!(f, "the settings contain no query class"),
            Self::InvalidClass(index) => write!(f, "class {index} has an invalid time, share or weight"),
            Self::InvalidLayout => write!(f, "the layout needs 1 <= width <= cells"),
            Self::InvalidValue(name) => {
                write!(f, "setting {name} is negative, zero where it must not be, or not a finite number")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
