//! sailmux, a query aggregator: it sends each part of a query to a leaf server that holds the part's shard and
//! gives the client one answer before the query's deadline.
//!
//! The load-balancing policy is a sans-IO state machine: the caller owns clock, sockets and timers, feeds
//! [`balancer::Event`]s to a [`Balancer`] and carries out the [`balancer::Action`]s it returns, in order. The basic
//! algorithm is power of two choices; `docs/design.md` describes the extensions and when they apply.
//!
//! ```
//! use sailmux::balancer::*;
//!
//! let class = Class {
//!     latency_objective: 1500.0, objective_stretch: 0.0, deadline: 3000.0, late_value_factor: 0.0,
//!     priority_weight: 1.0, idempotency: Idempotency::Idempotent, complete_coverage: 1.0, minimum_coverage: 1.0,
//!     partial_value_factor: 0.9, second_step_parts: 0,
//! };
//! let settings = Settings {
//!     classes: vec![class], tenants: vec![], over_quota_weight: 0.1, weight_by_work: false, aggregators: 2,
//!     clients_mark_retries: true, timer_granularity: 5.0, cells: 3, width: 3, parts_per_call: 1,
//!     load_report_mode: LoadReportMode::OnHealthCheck, health_checks_allowed: true, cancellation_allowed: true,
//!     hedging_allowed: true, max_attempts: 3, max_in_flight: 200, max_retry_after: Some(500.0),
//!     discovery_is_polled: false, max_poll_interval: 10_000.0, slow_start_share: 0.2,
//!     slow_start_window: 15_000.0, overload_factor: 2.5, retry_budget: None, cross_zone_cost: 0.0,
//!     health_check_cost: 0.0, zone: 0,
//! };
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let entries = (0..3)
//!     .map(|i| ReplicaEntry {
//!         replica: ReplicaId(i), cell: i, weight: 1.0, state: ReplicaState::Up, started_at: None, zone: 0,
//!     })
//!     .collect();
//! balancer.handle(0.0, Event::EndpointList { complete: true, entries }, &mut actions);
//! let parts = vec![PartSpec { part: PartId(0), shard: 0, weight: 1.0, cost_hint: None }];
//! let query = QueryId(0);
//! let arrival = Event::Query { query, class: 0, tenant: None, time_left: 3000.0, is_retry: false, parts };
//! balancer.handle(5.0, arrival, &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { part: PartId(0), .. })));
//!
//! actions.clear();
//! let outcome = Outcome::Ok;
//! let end = Event::AttemptEnded { part: PartId(0), attempt: 0, outcome, elapsed: 90.0, report: None };
//! balancer.handle(95.0, end, &mut actions);
//! assert_eq!(actions[0], Action::Answer { query, complete: true });
//! # Ok::<(), SettingsError>(())
//! ```

pub mod aggregator;
pub mod balancer;
pub mod cli;
pub mod clock;
pub mod config;
pub mod diagnostic;
pub mod endpoints;
pub mod gossip;
pub mod hex;
pub mod hot_restart;
pub mod inventory;
pub mod json;
pub mod ledger;
pub mod logging;
pub mod net;
pub mod yaml;

pub use balancer::Balancer;
