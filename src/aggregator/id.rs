//! Identifiers of clients, gateways, connections, attempts and admin calls in events and effects.

/// A client's HTTP connection or Flight call, numbered by the listeners. It has at most one query in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A gateway's Flight connection, which carries any number of calls, numbered by the listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayId(pub u64);

/// A connection to a leaf server, numbered by the aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An attempt of a part, numbered by the aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// An operator's call on the admin address, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdminCallId(pub u64);
