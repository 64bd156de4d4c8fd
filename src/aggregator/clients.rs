//! Client connections: limits on idle ones, and replies to requests.

use super::records::Client;
use super::reduce::Reduction;
use super::{ClientId, Effect, Reply};
use crate::balancer;
use crate::clock::Millis;
use crate::ledger;

/// Time after connecting within which a client is expected to send its first request.
const FIRST_REQUEST_WINDOW: Millis = 2000.0;

/// The order in which idle clients are closed when there are too many.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum CloseOrder {
    /// Has sent no request within [`FIRST_REQUEST_WINDOW`].
    NoRequestSent,
    /// Has been answered: closing it loses no request.
    Answered,
    /// Has connected recently: its first request may be in transit and would be lost.
    AwaitingFirstRequest,
}

impl Client {
    fn close_order(&self, now: Millis) -> CloseOrder {
        if self.answered {
            CloseOrder::Answered
        } else if self.idle_since + FIRST_REQUEST_WINDOW <= now {
            CloseOrder::NoRequestSent
        } else {
            CloseOrder::AwaitingFirstRequest
        }
    }

    fn is_idle(&self) -> bool {
        self.query.is_none() && !self.closing
    }
}

impl Reduction<'_> {
    pub(super) fn client_opened(&mut self, client: ClientId) {
        self.state.counters.clients_opened += 1;
        let record = Client { query: None, idle_since: self.now, answered: false, closing: false };
        self.state.clients.insert(client, record);
        self.enforce_client_limit();
    }

    /// Closes an idle client if too many clients are connected. Clients keep idle connections open, which would exhaust
    /// the file descriptors.
    fn enforce_client_limit(&mut self) {
        let open = self.state.clients.values().filter(|client| !client.closing).count();
        if open <= self.state.limits.client_connections {
            return;
        }
        let now = self.now;
        let idle = self.state.clients.iter().filter(|(_, client)| client.is_idle());
        let first_to_close = idle.min_by(|(_, a), (_, b)| {
            a.close_order(now).cmp(&b.close_order(now)).then(a.idle_since.total_cmp(&b.idle_since))
        });
        if let Some(client) = first_to_close.map(|(id, _)| *id) {
            self.close_idle_client(client);
        }
    }

    /// Closes the longest idle client if too many are idle. Otherwise clients that send a single request and keep the
    /// connection would exhaust the capacity for new clients.
    fn enforce_idle_client_limit(&mut self) {
        let is_idle = |client: &Client| client.answered && client.is_idle();
        let idle_count = self.state.clients.values().filter(|client| is_idle(client)).count();
        if idle_count <= self.state.limits.idle_client_connections {
            return;
        }
        let idle = self.state.clients.iter().filter(|(_, client)| is_idle(client));
        let longest_idle = idle.min_by(|(_, a), (_, b)| a.idle_since.total_cmp(&b.idle_since));
        if let Some(client) = longest_idle.map(|(id, _)| *id) {
            self.close_idle_client(client);
        }
    }

    fn close_idle_client(&mut self, client: ClientId) {
        if let Some(record) = self.state.clients.get_mut(&client) {
            record.closing = true;
            self.state.counters.idle_clients_closed += 1;
            self.effects.push(Effect::CloseClient(client));
        }
    }

    pub(super) fn client_closed(&mut self, client: ClientId) {
        let Some(client) = self.state.clients.remove(&client) else { return };
        self.state.counters.clients_closed += 1;
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
            client.idle_since = self.now;
        }
    }

    pub(super) fn reply(&mut self, client: ClientId, reply: Reply) {
        let Some(record) = self.state.clients.get_mut(&client) else { return };
        record.query = None;
        record.idle_since = self.now;
        record.answered = true;
        let close = self.closes_after_reply();
        self.effects.push(Effect::Reply { client, reply, close });
        self.enforce_idle_client_limit();
    }
}
