//! The state of the aggregator. Only [`reduce`](super::reduce) changes it.

use super::leaf_connection::LeafConnection;
use super::ledger_entries::Billing;
use super::log_limit::ShardLogLimit;
use super::records::{Attempt, Client, Gateway, LeafServer, Part, Query};
use super::rejections::RejectionCounters;
use super::request_ids::{RequestIds, SharedRequestIds};
use super::shutdown_deadlines::ShutdownDeadlines;
use super::timer::{Timer, TimerQueue};
use super::{AttemptId, ClientId, ConnectionId, Counters, GatewayId, Lifecycle, Limits, Siblings};
use crate::balancer::{Balancer, PartId, QueryId, ReplicaId, SettingsError};
use crate::clock::Millis;
use crate::config::PlatformSettings;
use crate::endpoints::{EndpointRegistry, GuardSettings};
use crate::hot_restart::Overrides;
use crate::ledger::PriceList;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The state of one process of an aggregator.
pub struct State {
    pub(super) settings: PlatformSettings,
    pub(super) balancer: Balancer,
    pub(super) counters: Counters,
    pub(super) rejections: RejectionCounters,
    pub(super) outlier_log_limit: ShardLogLimit,

    pub(super) clients: BTreeMap<ClientId, Client>,
    pub(super) gateways: BTreeMap<GatewayId, Gateway>,
    pub(super) queries: BTreeMap<QueryId, Query>,
    pub(super) request_ids: RequestIds,
    pub(super) parts: BTreeMap<PartId, Part>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,

    pub(super) endpoints: EndpointRegistry,
    pub(super) leaf_servers: BTreeMap<ReplicaId, LeafServer>,
    pub(super) replica_ids: HashMap<Arc<str>, ReplicaId>,
    pub(super) next_replica: u32,
    pub(super) connections: BTreeMap<ConnectionId, LeafConnection>,

    pub(super) timers: TimerQueue,
    /// How far the wall clock is ahead of the aggregator's clock, as last reported.
    pub(super) wall_clock_offset: Millis,
    /// The last identifier allocated to a query, part, attempt or connection.
    pub(super) last_id: u64,

    pub(super) lifecycle: Lifecycle,
    /// `None` until a graceful shutdown is requested.
    pub(super) shutdown_deadlines: Option<ShutdownDeadlines>,
    /// Overrides set by operators on the admin address.
    pub(super) overrides: Overrides,
    pub(super) siblings: Siblings,
    /// Limits of the aggregator as a whole; in force if this process has no siblings.
    pub(super) undivided_limits: Limits,
    /// Limits in force: this process's share of `undivided_limits`.
    pub(super) limits: Limits,
    /// `false` once [`Effect::StopAccepting`](super::Effect::StopAccepting) has been emitted.
    pub(super) accepting_clients: bool,
    /// Number of listeners that are not closed yet. Every connection that a closed one has accepted is in `clients` or
    /// `gateways`, or has ended.
    pub(super) open_listeners: usize,
    /// [`Effect::Exit`](super::Effect::Exit) has been emitted.
    pub(super) exited: bool,
    /// `None` if no ledger is kept.
    pub(super) billing: Option<Billing>,
}

impl State {
    /// The state of a process that has just started. `seed` makes the balancer's random choices reproducible.
    ///
    /// # Errors
    /// The balancer rejects the settings.
    pub fn new(
        settings: PlatformSettings,
        limits: Limits,
        seed: u64,
        guard: GuardSettings,
    ) -> Result<Self, SettingsError> {
        Ok(State {
            balancer: Balancer::new(settings.balancer.clone(), seed)?,
            endpoints: EndpointRegistry::new(settings.layout(), guard),
            settings,
            counters: Counters::default(),
            rejections: RejectionCounters::default(),
            outlier_log_limit: ShardLogLimit::default(),
            clients: BTreeMap::new(),
            gateways: BTreeMap::new(),
            queries: BTreeMap::new(),
            request_ids: RequestIds::default(),
            parts: BTreeMap::new(),
            attempts: BTreeMap::new(),
            leaf_servers: BTreeMap::new(),
            replica_ids: HashMap::new(),
            next_replica: 0,
            connections: BTreeMap::new(),
            timers: TimerQueue::default(),
            wall_clock_offset: 0.0,
            last_id: 0,
            lifecycle: Lifecycle::Starting { since: 0.0 },
            shutdown_deadlines: None,
            overrides: Overrides::default(),
            siblings: Siblings::default(),
            undivided_limits: limits,
            limits,
            accepting_clients: true,
            open_listeners: 1,
            exited: false,
            billing: None,
        })
    }

    /// Adds a listener to the one for HTTP clients. At shutdown each of them has to be closed before the process exits.
    pub fn add_listener(&mut self) {
        self.open_listeners += 1;
    }

    /// Shares request ids with the sibling processes of this aggregator.
    pub fn share_request_ids(&mut self, shared: Box<dyn SharedRequestIds>) {
        self.request_ids.shared = Some(shared);
    }

    /// Starts recording each final answer in a ledger, billed at the given prices.
    pub fn enable_ledger(&mut self, prices: PriceList) {
        self.billing = Some(Billing::new(prices));
    }

    /// The time at which the next [`Event::TimerFired`](super::Event::TimerFired) is due; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.next_due()
    }

    /// The current lifecycle state of the process.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// The settings in force.
    pub fn settings(&self) -> &PlatformSettings {
        &self.settings
    }

    /// The endpoint list, with the source of each entry.
    pub fn endpoints(&self) -> &EndpointRegistry {
        &self.endpoints
    }

    /// The counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// All counters in the Prometheus text format; counters by tenant come last.
    pub fn counters_text(&self) -> String {
        let mut text = self.counters.text();
        text += &self.rejections.text();
        if let Some(billing) = &self.billing {
            text += &billing.metrics_text();
        }
        text
    }

    /// Allocates an identifier that is unique in this process.
    pub(super) fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn set_timer(&mut self, due_at: Millis, timer: Timer) {
        self.timers.set(due_at, timer);
    }
}
