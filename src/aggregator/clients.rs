//! Client connections: limits on idle ones, and replies to requests.

use super::records::{Client, ConnectionUsage};
use super::reduce::Reduction;
use super::{ClientId, Effect, GatewayId, Reply};
use crate::balancer;
use crate::clock::Millis;
use crate::ledger;

/// Time after connecting within which a client is expected to send its first request.
const FIRST_REQUEST_WINDOW: Millis = 2000.0;

/// The order in which idle connections are closed when there are too many.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum CloseOrder {
    /// Has sent no request within [`FIRST_REQUEST_WINDOW`].
    NoRequestSent,
    /// Has been answered: closing it loses no request.
    Answered,
    /// Has connected recently: its first request may be in transit and would be lost.
    AwaitingFirstRequest,
}

/// A client's connection in either protocol.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientConnection {
    Http(ClientId),
    Gateway(GatewayId),
}

impl ConnectionUsage {
    fn close_order(&self, now: Millis) -> CloseOrder {
        if self.answered {
            CloseOrder::Answered
        } else if self.idle_since + FIRST_REQUEST_WINDOW <= now {
            CloseOrder::NoRequestSent
        } else {
            CloseOrder::AwaitingFirstRequest
        }
    }
}

impl Client {
    /// Whether this is an HTTP connection rather than a call on a gateway's connection.
    pub(super) fn is_connection(&self) -> bool {
        self.gateway.is_none()
    }

    fn is_idle_connection(&self) -> bool {
        self.is_connection() && self.query.is_none()
    }
}

impl Reduction<'_> {
    pub(super) fn client_opened(&mut self, client: ClientId) {
        self.add_client(client, None);
        self.enforce_client_limit(None);
        // It may have waited in the listen queue until another connection was closed.
        self.close_connections_if_due();
    }

    pub(super) fn add_client(&mut self, client: ClientId, gateway: Option<GatewayId>) {
        self.state.counters.clients_opened += 1;
        let record = Client { query: None, gateway, usage: ConnectionUsage::new(self.now) };
        self.state.clients.insert(client, record);
    }

    /// Number of connections, without the idle ones that are being closed. One that is being closed may have a request in
    /// progress, and occupies its slot until the answer.
    pub(super) fn open_connections(&self) -> usize {
        let clients = self.state.clients.values().filter(|client| client.is_connection());
        let clients = clients.filter(|client| client.query.is_some() || !client.usage.closing);
        clients.count() + self.open_gateways()
    }

    /// Number of gateways' connections, counted in the same way.
    pub(super) fn open_gateways(&self) -> usize {
        let gateways = self.state.gateways.values();
        gateways.filter(|gateway| !gateway.is_idle() || !gateway.usage.closing).count()
    }

    /// The connections without a request in progress that are not being closed.
    fn idle_connections(&self) -> impl Iterator<Item = (ClientConnection, &ConnectionUsage)> {
        let clients = self.state.clients.iter().filter(|(_, client)| client.is_idle_connection());
        let clients = clients.map(|(id, client)| (ClientConnection::Http(*id), &client.usage));
        let gateways = self.state.gateways.iter().filter(|(_, gateway)| gateway.is_idle());
        let gateways = gateways.map(|(id, gateway)| (ClientConnection::Gateway(*id), &gateway.usage));
        clients.chain(gateways).filter(|(_, usage)| !usage.closing)
    }

    /// Closes an idle connection if too many are open, of a gateway if there are too many of these. Clients and gateways keep idle connections open, which would
    /// exhaust the file descriptors. `newcomer` is a gateway that has just connected: told to leave before its first call,
    /// it would connect again and again while the others have calls in flight.
    pub(super) fn enforce_client_limit(&mut self, newcomer: Option<GatewayId>) {
        let limits = self.state.limits;
        let too_many_gateways = self.open_gateways() > limits.gateway_connections;
        if !too_many_gateways && self.open_connections() <= limits.client_connections {
            return;
        }
        let now = self.now;
        let newcomer = newcomer.map(ClientConnection::Gateway);
        let candidates = self.idle_connections().filter(|(connection, _)| {
            let is_gateway = matches!(connection, ClientConnection::Gateway(_));
            Some(*connection) != newcomer && (is_gateway || !too_many_gateways)
        });
        let first_to_close = candidates.min_by(|(_, a), (_, b)| {
            a.close_order(now).cmp(&b.close_order(now)).then(a.idle_since.total_cmp(&b.idle_since))
        });
        if let Some(connection) = first_to_close.map(|(connection, _)| connection) {
            self.close_idle_connection(connection);
        }
    }

    /// Closes the longest idle connection if too many are idle. Otherwise clients that send a single request and keep the
    /// connection would exhaust the capacity for new clients.
    pub(super) fn enforce_idle_client_limit(&mut self) {
        let idle_count = self.idle_connections().filter(|(_, usage)| usage.answered).count();
        if idle_count <= self.state.limits.idle_client_connections {
            return;
        }
        let idle = self.idle_connections().filter(|(_, usage)| usage.answered);
        let longest_idle = idle.min_by(|(_, a), (_, b)| a.idle_since.total_cmp(&b.idle_since));
        if let Some(connection) = longest_idle.map(|(connection, _)| connection) {
            self.close_idle_connection(connection);
        }
    }

    pub(super) fn close_idle_connection(&mut self, connection: ClientConnection) {
        self.state.counters.idle_clients_closed += 1;
        match connection {
            ClientConnection::Http(client) => self.close_client(client),
            ClientConnection::Gateway(gateway) => self.close_gateway(gateway),
        }
    }

    pub(super) fn close_client(&mut self, client: ClientId) {
        if let Some(record) = self.state.clients.get_mut(&client) {
            record.usage.closing = true;
            self.effects.push(Effect::CloseClient(client));
        }
    }

    pub(super) fn client_closed(&mut self, client: ClientId) {
        let Some(client) = self.state.clients.remove(&client) else { return };
        self.state.counters.clients_closed += 1;
        if let Some(gateway) = client.gateway {
            self.call_closed(gateway);
        }
        if let Some(query) = client.query {
            self.count_outcome(ledger::Outcome::ClientDisconnected);
            self.record_in_ledger(query, ledger::Outcome::ClientDisconnected);
            self.remove_query(query);
            self.balancer_events.push_back(balancer::Event::ClientDisconnected { query });
        }
    }

    pub(super) fn request_malformed(&mut self, client: Option<ClientId>) {
        self.state.counters.queries_malformed += 1;
        if let Some(client) = client.and_then(|client| self.state.clients.get_mut(&client)) {
            client.usage.idle_since = self.now;
        }
    }

    pub(super) fn reply(&mut self, client: ClientId, reply: Reply) {
        let Some(record) = self.state.clients.get_mut(&client) else { return };
        record.query = None;
        record.usage.idle_since = self.now;
        record.usage.answered = true;
        if let Some(gateway) = record.gateway {
            self.call_answered(gateway);
        }
        let close = self.closes_after_reply();
        self.effects.push(Effect::Reply { client, reply, close });
        self.enforce_idle_client_limit();
    }
}
