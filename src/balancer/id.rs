//! Identifiers that the caller of the balancer assigns, and the unit of time.

/// Milliseconds, as a point on the caller's monotonic clock or as a span.
pub type Millis = f64;

/// A query, numbered by the caller. A number is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// A part of a query, numbered by the caller. A number is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// A leaf server as a holder of shards, numbered by the caller. A restart keeps the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);
