//! The load-balancing policy: a state machine without IO that turns events into actions.
//!
//! It alone decides which replica receives a part, whether a part is retried or hedged, and which queries are
//! rejected. The modules and the questions that they answer:
//!
//! | question | module |
//! | --- | --- |
//! | which replica receives a part (power of two choices) | `selection` |
//! | which replicas hold a shard | `endpoint_set` |
//! | when a part is retried or hedged, and what changes when an attempt ends | `attempts`, `retry_budget` |
//! | when a replica is ejected as an outlier | `outlier_detection` |
//! | how many parts a replica receives while it warms up | `slow_start` |
//! | how much weight load reports have, and when a health check is sent | `load_reports`, `health_checks` |
//! | which queries are shed, and why a query is rejected | `query_arrival`, `admission`, `priority`, `client_retries`, `rejection` |
//! | which parts of a query are sent next, and when the query is answered | `query_sending`, `query_progress`, `query_end` |
//!
//! [`Balancer`] owns the state of all modules and is the only code that connects them. Random numbers are drawn in a
//! fixed order, so that the same events and seed produce the same actions.

mod action;
mod admission;
mod attempts;
mod client_retries;
mod endpoint_set;
mod endpoint_watch;
mod event;
mod health_checks;
mod id;
mod latency;
mod load_reports;
mod outlier_detection;
mod part;
mod priority;
mod query_arrival;
mod query_end;
mod query_progress;
mod query_sending;
mod random;
mod rejection;
mod replica;
mod retry_budget;
mod selection;
mod settings;
mod slow_start;
mod state;
mod statistics;
mod sweep;

pub use action::{Action, LogEvent};
pub use endpoint_set::max_departed_replicas;
pub use event::{Event, LoadReport, Outcome, PartSpec, ReplicaEntry, ReplicaState};
pub use id::{Millis, PartId, QueryId, ReplicaId};
pub use rejection::RejectReason;
pub use settings::{Class, Idempotency, LoadReportMode, RetryBudget, Settings, SettingsError, Tenant};
pub use state::Balancer;
