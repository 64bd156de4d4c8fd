//! Gateways' Flight connections.

use super::GatewayId;
use super::reduce::Reduction;

impl Reduction<'_> {
    pub(super) fn gateway_opened(&mut self, _: GatewayId) {
        self.state.counters.gateways_opened += 1;
    }

    pub(super) fn gateway_closed(&mut self, _: GatewayId) {
        self.state.counters.gateways_closed += 1;
    }
}
