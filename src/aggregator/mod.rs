//! The aggregator as a sans-IO state machine. The event loop of `net` turns input from sockets, files, signals and
//! timers into [`Event`]s, passes them to [`reduce`] and executes the returned [`Effect`]s in order.
//!
//! [`reduce`] is the only function that changes the [`State`]. It reads no clock and performs no I/O, so tests can run
//! any sequence of events. The [`balancer`](crate::balancer) decides which replica gets a part and when; this module
//! tracks the queries, attempts and connections.

mod admin;
mod attempts;
mod cancellations;
mod clients;
mod connections;
mod counters;
mod effect;
mod endpoint_updates;
mod event;
mod gateways;
mod health_checks;
mod id;
mod leaf_connection;
mod ledger_entries;
mod lifecycle;
mod limits;
mod log_limit;
mod queries;
mod query;
mod query_validation;
mod records;
mod reduce;
mod rejections;
mod reload;
mod reply;
mod request_ids;
mod send_deadlines;
mod shutdown_deadlines;
mod siblings;
mod state;
mod timer;

pub use admin::{AdminCommand, AdminOutcome};
pub use counters::Counters;
pub use effect::{CallPart, Effect, LogEvent};
pub use event::Event;
pub use id::{AdminCallId, AttemptId, ClientId, ConnectionId, GatewayId};
pub use lifecycle::Lifecycle;
pub use limits::Limits;
pub use query::{NewPart, NewQuery, PartOutcome};
pub use query_validation::QueryError;
pub use reduce::reduce;
pub use reply::Reply;
pub use request_ids::SharedRequestIds;
pub use siblings::Siblings;
pub use state::State;
