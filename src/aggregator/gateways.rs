//! Gateways' Flight connections: the calls on each, and their close. They share the limits on client connections with HTTP
//! clients; see `clients`.

use super::clients::ClientConnection;
use super::records::{ConnectionUsage, Gateway};
use super::reduce::Reduction;
use super::{ClientId, Effect, GatewayId};
use crate::clock::Millis;

impl Gateway {
    /// Whether no call is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.calls == 0
    }
}

impl Reduction<'_> {
    pub(super) fn gateway_opened(&mut self, gateway: GatewayId) {
        self.state.counters.gateways_opened += 1;
        let record = Gateway { calls: 0, usage: ConnectionUsage::new(self.now) };
        self.state.gateways.insert(gateway, record);
        self.enforce_client_limit(Some(gateway));
        self.close_connections_if_due();
    }

    pub(super) fn gateway_closed(&mut self, gateway: GatewayId) {
        if self.state.gateways.remove(&gateway).is_some() {
            self.state.counters.gateways_closed += 1;
        }
    }

    pub(super) fn call_opened(&mut self, call: ClientId, gateway: GatewayId) {
        self.add_client(call, Some(gateway));
        if let Some(record) = self.state.gateways.get_mut(&gateway) {
            record.calls += 1;
        }
    }

    pub(super) fn call_answered(&mut self, gateway: GatewayId) {
        if let Some(record) = self.state.gateways.get_mut(&gateway) {
            record.usage.answered = true;
        }
    }

    pub(super) fn call_closed(&mut self, gateway: GatewayId) {
        let Some(record) = self.state.gateways.get_mut(&gateway) else { return };
        record.calls -= 1;
        record.usage.idle_since = self.now;
        // Unlike an idle HTTP client, an idle gateway stays connected until capacity runs short.
        self.enforce_client_limit(None);
        self.enforce_idle_client_limit();
    }

    /// Closes idle gateways, the longest idle first, until the limits on connections hold. Called when the limit shrinks.
    pub(super) fn close_excess_gateways(&mut self) {
        let limits = self.state.limits;
        let excess_connections = self.open_connections().saturating_sub(limits.client_connections);
        let excess_gateways = self.open_gateways().saturating_sub(limits.gateway_connections);
        let excess = excess_connections.max(excess_gateways);
        let idle =
            self.state.gateways.iter().filter(|(_, gateway)| gateway.is_idle() && !gateway.usage.closing);
        let mut idle: Vec<(Millis, GatewayId)> =
            idle.map(|(id, gateway)| (gateway.usage.idle_since, *id)).collect();
        idle.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        for (_, gateway) in idle.into_iter().take(excess) {
            self.close_idle_connection(ClientConnection::Gateway(gateway));
        }
    }

    /// Closes a gateway's connection gracefully: calls in flight are answered first.
    pub(super) fn close_gateway(&mut self, gateway: GatewayId) {
        if let Some(record) = self.state.gateways.get_mut(&gateway) {
            record.usage.closing = true;
            self.effects.push(Effect::CloseGateway(gateway));
        }
    }
}
