//! Validation of queries against the settings in force.

use super::{NewPart, NewQuery};
use crate::config::PlatformSettings;
use std::error::Error;
use std::fmt;

/// Maximum difference from one of the sum of a query's weights, since clients round them.
const WEIGHT_TOLERANCE: f64 = 0.01;

/// The reason why a query is invalid. The messages are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// The settings have no class with that name.
    UnknownClass,
    /// The settings list tenants, but not this one.
    UnknownTenant,
    /// The query has no parts.
    NoParts,
    /// Two parts query the same shard.
    DuplicateShard,
    /// A part queries a shard that does not exist.
    UnknownShard,
    /// A weight, cost hint or time is negative, infinite or NaN.
    InvalidNumber,
    /// A weight is zero, or the weights do not sum to one.
    InvalidWeights,
    /// The client already has a query in flight, or another query with the same request id is in flight or may have run.
    RequestIdInUse,
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            QueryError::UnknownClass => "unknown class",
            QueryError::UnknownTenant => "unknown tenant",
            QueryError::NoParts => "no parts",
            QueryError::DuplicateShard => "a shard is named twice",
            QueryError::UnknownShard => "no such shard",
            QueryError::InvalidNumber => "a figure makes no sense",
            QueryError::InvalidWeights => "the weights are no shares of one",
            QueryError::RequestIdInUse => "the id is in use",
        })
    }
}

impl Error for QueryError {}

impl From<QueryError> for String {
    fn from(error: QueryError) -> Self {
        error.to_string()
    }
}

/// Indices of a valid query's class and tenant in the balancer's settings.
pub(super) struct QueryIndices {
    pub class: usize,
    /// `None` if the query has no tenant or the settings list no tenants.
    pub tenant: Option<usize>,
}

/// Performs the checks that do not depend on the queries in flight.
pub(super) fn validate_query(
    query: &NewQuery,
    settings: &PlatformSettings,
) -> Result<QueryIndices, QueryError> {
    let class = settings.classes.iter().position(|name| *name == query.class);
    let class = class.ok_or(QueryError::UnknownClass)?;
    let tenant = find_tenant(query, settings)?;
    validate_shards(&query.parts, settings.shards)?;
    if has_invalid_number(query) {
        return Err(QueryError::InvalidNumber);
    }
    validate_weights(&query.parts)?;
    Ok(QueryIndices { class, tenant })
}

fn find_tenant(query: &NewQuery, settings: &PlatformSettings) -> Result<Option<usize>, QueryError> {
    let Some(name) = &query.tenant else { return Ok(None) };
    let tenant = settings.tenants.iter().position(|listed| listed == name);
    // If tenants have quotas, queries of an unknown tenant would not be limited by any quota.
    if tenant.is_none() && !settings.tenants.is_empty() {
        return Err(QueryError::UnknownTenant);
    }
    Ok(tenant)
}

fn validate_shards(parts: &[NewPart], shard_count: Option<u32>) -> Result<(), QueryError> {
    let mut shards: Vec<u32> = parts.iter().map(|part| part.shard).collect();
    shards.sort_unstable();
    let Some(last) = shards.last() else { return Err(QueryError::NoParts) };
    // Leaf servers identify a part by request id and shard.
    if shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(QueryError::DuplicateShard);
    }
    if *last >= shard_count.unwrap_or(u32::MAX) {
        return Err(QueryError::UnknownShard);
    }
    Ok(())
}

fn has_invalid_number(query: &NewQuery) -> bool {
    let is_invalid = |number: f64| !number.is_finite() || number < 0.0;
    let part_is_invalid = |part: &NewPart| is_invalid(part.weight) || part.cost_hint.is_some_and(is_invalid);
    query.parts.iter().any(part_is_invalid) || query.time_left.is_some_and(is_invalid)
}

fn validate_weights(parts: &[NewPart]) -> Result<(), QueryError> {
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if parts.iter().any(|part| part.weight == 0.0) || (sum - 1.0).abs() > WEIGHT_TOLERANCE {
        return Err(QueryError::InvalidWeights);
    }
    Ok(())
}
