//! The load-balancing policy: events in, actions out, no IO.
//!
//! It alone decides which replica gets a part, whether a part is retried or hedged, and which queries are rejected.

mod action;
mod event;
mod id;
mod logic;
mod settings;
mod state;

pub use action::{Action, LogEvent};
pub use event::{Event, LoadReport, Outcome, PartSpec, ReplicaEntry, ReplicaState};
pub use id::{Millis, PartId, QueryId, ReplicaId};
pub use settings::{Class, Idempotency, LoadReportMode, RetryBudget, Settings, SettingsError, Tenant};
pub use state::Balancer;
