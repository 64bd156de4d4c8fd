//! Parses the platform's settings, which come in `RELAY_CONFIG` and in the simulator's `up` message: one function for
//! each section of the JSON object.

use crate::balancer::{Class, Idempotency, LoadReportMode, Millis, RetryBudget, Settings, Tenant};
use crate::endpoints::ShardLayout;
use crate::json::{Field, FieldError};

const DEFAULT_CONNECT_TIMEOUT: Millis = 1_000.0;
const DEFAULT_DRAIN_GRACE: Millis = 1_000.0;
const DEFAULT_IDLE_TIMEOUT: Millis = 30_000.0;
const DEFAULT_CALLS_PER_CONNECTION: f64 = 1.0;

/// The platform's settings of one aggregator: those of the balancer and those of the rest of the aggregator.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Settings of the balancer.
    pub balancer: Settings,
    /// Class names, by the balancer's index.
    pub classes: Vec<String>,
    /// Tenant names, by the balancer's index.
    pub tenants: Vec<String>,
    /// Zone names, by the balancer's index.
    pub zones: Vec<String>,
    /// Number of shards; `None` if the settings do not have it.
    pub shards: Option<u32>,
    /// Maximum number of concurrent calls on one connection to a leaf server; at least 1, the default.
    pub calls_per_connection: u32,
    /// Time after which an attempt to connect to a leaf server fails; 1 s by default.
    pub connect_timeout: Millis,
    /// Time after which a draining or removed leaf server may get no new parts; 1 s by default.
    pub drain_grace: Millis,
    /// Time after which leaf servers close an idle connection; 30 s by default.
    pub idle_timeout: Millis,
}

impl PlatformSettings {
    /// The assignment of shards to cells.
    pub fn layout(&self) -> ShardLayout {
        ShardLayout { cells: self.balancer.cells.max(1), width: self.balancer.width.max(1) }
    }
}

/// The balancer's index of a zone: its position in `zones`, or `u32::MAX`, which no zone has, if the name is unknown.
pub fn zone_index(zones: &[String], zone: &str) -> u32 {
    match zones.iter().position(|name| name == zone) {
        Some(index) => index as u32,
        None => u32::MAX,
    }
}

/// Parses the platform's settings: `facts` in the simulator's `up` message, or `settings` in `RELAY_CONFIG`.
///
/// # Errors
/// The first field that is missing or has an invalid value, or the settings that contradict each other.
pub fn parse_platform_settings(settings: &Field<'_>) -> Result<PlatformSettings, FieldError> {
    let classes = parse_classes(settings)?;
    let tenants = parse_tenants(settings)?;
    let zones = parse_zones(settings)?;
    let zone = zone_index(&zones, settings.get("zone").str_or("")?);
    let balancer = parse_balancer_settings(settings, classes, tenants, zone)?;
    balancer.validate().map_err(|error| settings.error(error.to_string()))?;
    let limits = settings.get("limits");
    let invariants = settings.get("invariants");
    Ok(PlatformSettings {
        balancer,
        classes: parse_names(settings.get("categories"))?,
        tenants: parse_names(settings.get("tenants"))?,
        zones,
        shards: settings.get("specifics").get("shards").optional_u32()?,
        calls_per_connection: parse_calls_per_connection(&limits)?,
        connect_timeout: limits.get("dialTimeoutMs").f64_or(DEFAULT_CONNECT_TIMEOUT)?,
        drain_grace: invariants.get("drainGraceMs").f64_or(DEFAULT_DRAIN_GRACE)?,
        idle_timeout: limits.get("keepaliveMs").f64_or(DEFAULT_IDLE_TIMEOUT)?,
    })
}

/// Reads the sections in the order in which their errors are reported.
fn parse_balancer_settings(
    settings: &Field<'_>,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    zone: u32,
) -> Result<Settings, FieldError> {
    let over_quota_weight = settings.get("overShareWorth").f64_or(0.0)?;
    let weight_by_work = is_weighted_by_work(settings.get("worthBy"));
    let clients_mark_retries = settings.get("clients").get("marksRetry").bool_or(false)?;
    let aggregators = settings.get("replicasOfMe").as_u32()?;
    let timer_granularity = settings.get("periodMs").as_f64()?;
    let sharding = parse_sharding(&settings.get("specifics"))?;
    let load_report_mode = parse_load_report_mode(&settings.get("report").get("how"))?;
    let limits = parse_limits(&settings.get("limits"))?;
    let discovery_is_polled = parse_discovery_is_polled(&settings.get("discovery"))?;
    let invariants = parse_invariants(&settings.get("invariants"))?;
    let costs = parse_costs(&settings.get("tariffs"))?;
    Ok(Settings {
        classes,
        tenants,
        over_quota_weight,
        weight_by_work,
        clients_mark_retries,
        aggregators,
        timer_granularity,
        cells: sharding.cells,
        width: sharding.width,
        parts_per_call: sharding.parts_per_call,
        load_report_mode,
        health_checks_allowed: limits.health_checks_allowed,
        cancellation_allowed: limits.cancellation_allowed,
        hedging_allowed: limits.hedging_allowed,
        max_attempts: limits.max_attempts,
        max_in_flight: limits.max_in_flight,
        max_retry_after: limits.max_retry_after,
        discovery_is_polled,
        max_poll_interval: invariants.max_poll_interval,
        slow_start_share: invariants.slow_start_share,
        slow_start_window: invariants.slow_start_window,
        overload_factor: invariants.overload_factor,
        retry_budget: invariants.retry_budget,
        cross_zone_cost: costs.cross_zone,
        health_check_cost: costs.health_check,
        zone,
    })
}

fn parse_classes(settings: &Field<'_>) -> Result<Vec<Class>, FieldError> {
    let specifics = settings.get("specifics");
    let mut classes = Vec::new();
    for (index, category) in settings.get("categories").as_list()?.iter().enumerate() {
        classes.push(parse_class(category, &specifics, index)?);
    }
    Ok(classes)
}

fn parse_class(category: &Field<'_>, specifics: &Field<'_>, index: usize) -> Result<Class, FieldError> {
    Ok(Class {
        latency_objective: category.get("aimMs").as_f64()?,
        objective_stretch: category.get("aimStretch").f64_or(0.0)?,
        deadline: category.get("hardLimitMs").as_f64()?,
        late_value_factor: category.get("lateValue").f64_or(0.0)?,
        priority_weight: category.get("worth").f64_or(1.0)?,
        idempotency: parse_idempotency(category)?,
        complete_coverage: number_of_class(&specifics.get("completeFrom"), index)?,
        minimum_coverage: number_of_class(&specifics.get("floorByClass"), index)?,
        partial_value_factor: number_of_class(&specifics.get("classPartial"), index)?,
        second_step_parts: number_of_class(&specifics.get("fetchParts"), index)? as u32,
    })
}

fn parse_idempotency(category: &Field<'_>) -> Result<Idempotency, FieldError> {
    let effect = category.get("effect");
    match effect.as_str()? {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::Keyed { window: category.get("windowMs").f64_or(0.0)? }),
        "fragile" => Ok(Idempotency::NotIdempotent),
        other => effect.report(
            effect.error(format!("must be retryable, dedup or fragile, not {other:?}")),
            Idempotency::Idempotent,
        ),
    }
}

/// The number of one class in a list with a number for each class.
fn number_of_class(numbers: &Field<'_>, class: usize) -> Result<f64, FieldError> {
    match numbers.as_list()?.get(class) {
        Some(number) => number.as_f64(),
        None => numbers.report(numbers.error("must have a number for every class"), 0.0),
    }
}

fn parse_tenants(settings: &Field<'_>) -> Result<Vec<Tenant>, FieldError> {
    let mut tenants = Vec::new();
    for tenant in settings.get("tenants").list_or_empty()? {
        tenants.push(Tenant { quota_per_s: tenant.get("quotaPerS").as_f64()? });
    }
    Ok(tenants)
}

fn parse_zones(settings: &Field<'_>) -> Result<Vec<String>, FieldError> {
    let mut zones = Vec::new();
    for zone in settings.get("zones").list_or_empty()? {
        zones.push(zone.as_str()?.to_owned());
    }
    Ok(zones)
}

/// The names of the entries of `categories` or `tenants`.
fn parse_names(entries: Field<'_>) -> Result<Vec<String>, FieldError> {
    let mut names = Vec::new();
    for entry in entries.list_or_empty()? {
        names.push(entry.get("name").as_str()?.to_owned());
    }
    Ok(names)
}

fn parse_calls_per_connection(limits: &Field<'_>) -> Result<u32, FieldError> {
    let calls = limits.get("streamsPerConn").f64_or(DEFAULT_CALLS_PER_CONNECTION)?;
    Ok(calls.max(1.0) as u32)
}

/// The assignment of shards to cells, and the number of parts in a call.
struct Sharding {
    cells: u32,
    width: u32,
    parts_per_call: u32,
}

fn parse_sharding(specifics: &Field<'_>) -> Result<Sharding, FieldError> {
    Ok(Sharding {
        cells: specifics.get("positions").as_u32()?,
        width: specifics.get("width").as_u32()?,
        parts_per_call: specifics.get("perCall").f64_or(1.0)? as u32,
    })
}

/// Whether queries are weighted by their work. Any value but the string `work` means no.
fn is_weighted_by_work(worth_by: Field<'_>) -> bool {
    worth_by.optional().is_some_and(|field| field.as_str() == Ok("work"))
}

fn parse_load_report_mode(how: &Field<'_>) -> Result<LoadReportMode, FieldError> {
    match how.as_str()? {
        "inline" => Ok(LoadReportMode::Inline),
        "on_probe" => Ok(LoadReportMode::OnHealthCheck),
        "off" => Ok(LoadReportMode::Off),
        other => how.report(
            how.error(format!("must be inline, on_probe or off, not {other:?}")),
            LoadReportMode::Off,
        ),
    }
}

fn parse_discovery_is_polled(discovery: &Field<'_>) -> Result<bool, FieldError> {
    match discovery.as_str()? {
        "pushed" => Ok(false),
        "on_request" => Ok(true),
        other => {
            discovery.report(discovery.error(format!("must be pushed or on_request, not {other:?}")), false)
        }
    }
}

/// The balancer's settings in the section `limits`.
struct Limits {
    health_checks_allowed: bool,
    cancellation_allowed: bool,
    hedging_allowed: bool,
    max_attempts: u32,
    max_in_flight: u32,
    max_retry_after: Option<Millis>,
}

fn parse_limits(limits: &Field<'_>) -> Result<Limits, FieldError> {
    Ok(Limits {
        health_checks_allowed: limits.get("probes").as_bool()?,
        cancellation_allowed: limits.get("cancel").as_bool()?,
        hedging_allowed: limits.get("secondCopies").as_bool()?,
        max_attempts: limits.get("maxAttempts").as_u32()?,
        max_in_flight: limits.get("maxOpen").as_f64()? as u32,
        max_retry_after: parse_max_retry_after(limits)?,
    })
}

/// The maximum Retry-After; `None` if clients get no Retry-After.
fn parse_max_retry_after(limits: &Field<'_>) -> Result<Option<Millis>, FieldError> {
    let has_retry_after = limits.get("retryAfter").as_bool()?;
    if !has_retry_after {
        return Ok(None);
    }
    limits.get("maxRetryAfterMs").as_f64().map(Some)
}

/// The balancer's settings in the section `invariants`.
struct Invariants {
    max_poll_interval: Millis,
    slow_start_share: f64,
    slow_start_window: Millis,
    overload_factor: f64,
    retry_budget: Option<RetryBudget>,
}

fn parse_invariants(invariants: &Field<'_>) -> Result<Invariants, FieldError> {
    Ok(Invariants {
        max_poll_interval: invariants.get("mustAskInMs").f64_or(0.0)?,
        slow_start_share: invariants.get("coldShare").f64_or(1.0)?,
        slow_start_window: invariants.get("warmAfterMs").f64_or(0.0)?,
        overload_factor: invariants.get("overloadFactor").f64_or(f64::INFINITY)?,
        retry_budget: parse_retry_budget(invariants)?,
    })
}

/// The retry budget; `None` unless both its share and its window are set.
fn parse_retry_budget(invariants: &Field<'_>) -> Result<Option<RetryBudget>, FieldError> {
    let free_attempts = invariants.get("extraFree").f64_or(0.0)?;
    let share = invariants.get("budgetShare").optional_f64()?;
    let window = invariants.get("lookBackMs").optional_f64()?;
    match (share, window) {
        (Some(share), Some(window)) => Ok(Some(RetryBudget { free_attempts, share, window })),
        _ => Ok(None),
    }
}

/// Costs, as shares of the value of a complete answer.
struct Costs {
    cross_zone: f64,
    health_check: f64,
}

fn parse_costs(tariffs: &Field<'_>) -> Result<Costs, FieldError> {
    Ok(Costs {
        cross_zone: tariffs.get("crossZone").f64_or(0.0)?,
        health_check: tariffs.get("probe").f64_or(0.0)?,
    })
}
