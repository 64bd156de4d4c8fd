//! Carries out the aggregator's effects: sends replies to clients, messages to leaf connections and overrides to the
//! store. It never blocks and takes no decisions.

use super::client_listener::Capacities;
use super::flight;
use super::hot_restart::HotRestartHandle;
use super::leaf_connection;
use super::ledger_writer::{LedgerWriter, PendingReply};
use super::messages::{ClientMessage, EventSender, GatewayMessage, LEAF_QUEUE_LENGTH, LeafMessage};
use super::metrics::NetMetrics;
use crate::aggregator::{
    AdminCallId, AdminOutcome, ClientId, ConnectionId, Effect, GatewayId, Lifecycle, Limits, Reply, Siblings,
};
use crate::clock::Millis;
use crate::hot_restart::Overrides;
use crate::ledger::{Entry, LedgerEvent};
use crate::logging;
use std::collections::HashMap;
use std::ops::ControlFlow;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tracing::info;

/// Carries out effects. Owned by the event loop.
pub(super) struct EffectDispatcher {
    events: EventSender,
    clients: HashMap<ClientId, mpsc::Sender<ClientMessage>>,
    gateways: HashMap<GatewayId, mpsc::Sender<GatewayMessage>>,
    leaf_connections: HashMap<ConnectionId, mpsc::Sender<LeafMessage>>,
    /// Dropped to stop accepting clients, one for each listener.
    stop_accepting: Vec<oneshot::Sender<()>>,
    capacities: Capacities,
    /// Admin calls that have not been answered yet.
    admin_calls: HashMap<AdminCallId, oneshot::Sender<AdminOutcome>>,
    next_admin_call: u64,
    hot_restart: Option<HotRestartHandle>,
    ledger: Option<LedgerWriter>,
    /// Paths of the inventory files, for log lines.
    inventory_paths: Vec<Arc<str>>,
    metrics: NetMetrics,
}

/// The channels and handles through which an [`EffectDispatcher`] carries out effects.
pub(super) struct EffectTargets {
    pub events: EventSender,
    pub capacities: Capacities,
    pub hot_restart: Option<HotRestartHandle>,
    pub ledger: Option<LedgerWriter>,
    pub inventory_paths: Vec<Arc<str>>,
    pub metrics: NetMetrics,
}

impl EffectDispatcher {
    pub fn new(targets: EffectTargets) -> Self {
        EffectDispatcher {
            events: targets.events,
            clients: HashMap::new(),
            gateways: HashMap::new(),
            leaf_connections: HashMap::new(),
            stop_accepting: Vec::new(),
            capacities: targets.capacities,
            admin_calls: HashMap::new(),
            next_admin_call: 0,
            hot_restart: targets.hot_restart,
            ledger: targets.ledger,
            inventory_paths: targets.inventory_paths,
            metrics: targets.metrics,
        }
    }

    /// Carries out effects in order; breaks at [`Effect::Exit`].
    pub fn dispatch(&mut self, effects: Vec<Effect>) -> ControlFlow<()> {
        for effect in effects {
            self.dispatch_one(effect)?;
        }
        ControlFlow::Continue(())
    }

    fn dispatch_one(&mut self, effect: Effect) -> ControlFlow<()> {
        match effect {
            Effect::Reply { client, reply, close } => self.reply(PendingReply { client, reply, close }),
            Effect::LedgerEntry(client, entry) => self.record_entry(client, entry),
            Effect::CloseClient(client) => self.send_to_client(client, ClientMessage::Close),
            Effect::CloseClientNow(client) => self.send_to_client(client, ClientMessage::CloseNow),
            Effect::CloseGateway(gateway) => self.send_to_gateway(gateway, GatewayMessage::Close),
            Effect::CloseGatewayNow(gateway) => self.send_to_gateway(gateway, GatewayMessage::CloseNow),
            Effect::Connect(connection, address) => self.connect(connection, address),
            Effect::SendCall(connection, parts) => self.send_to_leaf(connection, LeafMessage::Call(parts)),
            Effect::SendCancellation(connection, attempt) => {
                self.send_to_leaf(connection, LeafMessage::Cancel(attempt));
            }
            Effect::SendHealthCheck(connection) => self.send_to_leaf(connection, LeafMessage::HealthCheck),
            Effect::CloseConnection(connection) => self.remove_leaf_connection(connection),
            Effect::StopAccepting => self.stop_accepting.clear(),
            Effect::SetLimits(limits) => self.set_limits(limits),
            Effect::AnswerAdmin(call, outcome) => self.answer_admin(call, outcome),
            Effect::StoreOverrides(call, overrides) => self.store_overrides(call, overrides),
            Effect::OverridesApplied(digest) => self.overrides_applied(digest),
            Effect::LimitReplyWaits { until } => self.limit_reply_waits(until),
            Effect::LifecycleChanged { from, to, ready } => self.lifecycle_changed(from, to, ready),
            Effect::Log(event) => logging::aggregator_event(&event),
            Effect::EndpointAudit(event) => logging::endpoint_event(&event, &self.inventory_paths),
            Effect::Exit => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    /// Registers a client; its replies are sent to `messages`.
    pub fn add_client(&mut self, client: ClientId, messages: mpsc::Sender<ClientMessage>) {
        self.clients.insert(client, messages);
    }

    /// Removes a client whose connection has ended.
    pub fn remove_client(&mut self, client: ClientId) {
        self.clients.remove(&client);
    }

    /// Registers a gateway's connection; requests to close it are sent to `messages`.
    pub fn add_gateway(&mut self, gateway: GatewayId, messages: mpsc::Sender<GatewayMessage>) {
        self.gateways.insert(gateway, messages);
    }

    /// Removes a gateway whose connection has ended.
    pub fn remove_gateway(&mut self, gateway: GatewayId) {
        self.gateways.remove(&gateway);
    }

    /// Drops a connection's message queue, upon which its task closes the connection and reports the end.
    pub fn remove_leaf_connection(&mut self, connection: ConnectionId) {
        self.leaf_connections.remove(&connection);
    }

    /// Registers an admin call; its outcome is sent to `reply`.
    pub fn register_admin_call(&mut self, reply: oneshot::Sender<AdminOutcome>) -> AdminCallId {
        let call = AdminCallId(self.next_admin_call);
        self.next_admin_call += 1;
        self.admin_calls.insert(call, reply);
        call
    }

    /// Registers a listener, which stops accepting clients once `stop` is dropped.
    pub fn add_listener(&mut self, stop: oneshot::Sender<()>) {
        self.stop_accepting.push(stop);
    }

    /// Reads the current state of the sibling processes; `None` if this process shares no directory with siblings.
    pub fn current_siblings(&self) -> Option<Siblings> {
        self.hot_restart.as_ref().map(HotRestartHandle::current_siblings)
    }

    /// Records which ledger entries are durable, and sends the replies that waited for them.
    pub fn handle_ledger_event(&mut self, event: &LedgerEvent, now: Millis) {
        if let Some(ledger) = &mut self.ledger {
            ledger.update_durable_entry(event);
        }
        self.release_replies(now);
    }

    /// Deadline of the oldest reply that waits for the ledger.
    pub fn next_reply_deadline(&self) -> Option<Millis> {
        self.ledger.as_ref().and_then(LedgerWriter::next_deadline)
    }

    /// Sends the replies whose ledger entries are durable or whose deadlines have passed.
    pub fn release_replies(&mut self, now: Millis) {
        let Some(ledger) = &mut self.ledger else { return };
        for reply in ledger.release(now) {
            self.send_reply(reply);
        }
    }

    /// Waits until the ledger's thread has written its entries, for a bounded time.
    pub fn finish_ledger(&mut self) {
        if let Some(ledger) = self.ledger.take() {
            ledger.finish();
        }
    }

    fn set_limits(&mut self, limits: Limits) {
        self.capacities.resize(limits);
        self.metrics.memory.set_limit(limits.peer_data_bytes);
    }

    /// The metrics of the I/O layer.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    fn reply(&mut self, mut reply: PendingReply) {
        if let Reply::Metrics(text) = &mut reply.reply {
            text.push_str(&self.metrics_text());
        }
        let ready = match &mut self.ledger {
            Some(ledger) => ledger.hold(reply),
            None => Some(reply),
        };
        if let Some(reply) = ready {
            self.send_reply(reply);
        }
    }

    fn send_reply(&self, PendingReply { client, reply, close }: PendingReply) {
        self.send_to_client(client, ClientMessage::Reply { reply, close });
    }

    /// Sends a message to a client's task. A client awaits one reply at a time, so its queue has room unless its task has
    /// ended.
    fn send_to_client(&self, client: ClientId, message: ClientMessage) {
        if let Some(messages) = self.clients.get(&client) {
            let _ = messages.try_send(message);
        }
    }

    fn send_to_gateway(&self, gateway: GatewayId, message: GatewayMessage) {
        if let Some(messages) = self.gateways.get(&gateway) {
            let _ = messages.try_send(message);
        }
    }

    fn limit_reply_waits(&mut self, until: Millis) {
        if let Some(ledger) = &mut self.ledger {
            ledger.limit_reply_waits(until);
        }
    }

    fn record_entry(&mut self, client: ClientId, entry: Entry) {
        if let Some(ledger) = &mut self.ledger {
            ledger.record(client, entry);
        }
    }

    fn connect(&mut self, connection: ConnectionId, address: Arc<str>) {
        let (sender, messages) = mpsc::channel(LEAF_QUEUE_LENGTH);
        self.leaf_connections.insert(connection, sender);
        let events = self.events.clone();
        let memory = self.metrics.memory.clone();
        match flight::location(&address) {
            Some(location) => {
                tokio::task::spawn_local(flight::leaf_client::run(
                    connection, location, messages, events, memory,
                ));
            }
            None => {
                tokio::task::spawn_local(leaf_connection::run(connection, address, messages, events, memory));
            }
        }
    }

    /// Drops the queue of a connection whose task accepts no more messages: the task has ended or will end now, and the
    /// aggregator gets an event when it ends.
    fn send_to_leaf(&mut self, connection: ConnectionId, message: LeafMessage) {
        let Some(messages) = self.leaf_connections.get(&connection) else { return };
        if messages.try_send(message).is_err() {
            self.leaf_connections.remove(&connection);
        }
    }

    fn answer_admin(&mut self, call: AdminCallId, outcome: AdminOutcome) {
        if let Some(reply) = self.admin_calls.remove(&call) {
            let _ = reply.send(outcome);
        }
    }

    fn store_overrides(&mut self, call: AdminCallId, overrides: Overrides) {
        let Some(reply) = self.admin_calls.remove(&call) else { return };
        match &self.hot_restart {
            Some(handle) => handle.store(overrides, reply),
            None => drop(reply.send(AdminOutcome::Accepted)),
        }
    }

    fn overrides_applied(&self, digest: u32) {
        if let Some(handle) = &self.hot_restart {
            handle.overrides_applied(digest);
        }
    }

    fn lifecycle_changed(&self, from: Lifecycle, to: Lifecycle, ready: bool) {
        info!(from = from.name(), to = to.name(), "lifecycle changed");
        if let Some(handle) = &self.hot_restart {
            handle.set_ready(ready);
        }
    }
}
