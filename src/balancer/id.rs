//! Identifiers assigned by the caller of the balancer, and the unit of time.

/// Milliseconds, as a point on the caller's monotonic clock or as a duration.
pub type Millis = f64;

/// The identifier of a query, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// The identifier of a part of a query, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// The identifier of a leaf server as a replica of its shards, assigned by the caller. It stays the same after a
/// restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);
