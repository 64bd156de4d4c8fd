//! Ledger entries for queries with a final answer, the counters by tenant, and events of the ledger writer.

use super::Effect;
use super::records::Part;
use super::reduce::Reduction;
use super::state::State;
use crate::balancer::QueryId;
use crate::ledger::{self, LedgerEvent, PriceList, TenantMetrics};

/// Prices and counters by tenant.
pub(super) struct Billing {
    prices: PriceList,
    metrics: TenantMetrics,
}

impl Billing {
    pub fn new(prices: PriceList) -> Self {
        Billing { prices, metrics: TenantMetrics::default() }
    }

    /// The counters by tenant in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    fn billed_work(&self, class: &str, served: u32, outcome: ledger::Outcome) -> u64 {
        if outcome.is_billed() { self.prices.work(class, served) } else { 0 }
    }
}

impl Reduction<'_> {
    /// Records a query's outcome if a ledger is kept. Must be called before the query and its parts are removed.
    pub(super) fn record_in_ledger(&mut self, query: QueryId, outcome: ledger::Outcome) {
        let State { billing, queries, parts, counters, .. } = &mut *self.state;
        let Some(billing) = billing else { return };
        let Some(query) = queries.get(&query) else { return };
        let parts_of_query = || query.parts.iter().filter_map(|part| parts.get(part));
        let is_served = |part: &&Part| part.value.is_some();
        let served = parts_of_query().filter(is_served).count() as u32;
        let entry = ledger::Entry {
            at: self.now as i64,
            tenant: query.tenant.clone().unwrap_or_default(),
            tenant_is_known: query.tenant_is_known,
            class: query.class.to_string(),
            query: query.request_id.to_string(),
            parts: query.parts.len() as u32,
            parts_served: served,
            attempts: parts_of_query().map(|part| part.attempts_started).sum(),
            work: billing.billed_work(&query.class, served, outcome),
            outcome,
            share: query.share,
        };
        counters.ledger_entries += 1;
        billing.metrics.count(&entry);
        self.effects.push(Effect::LedgerEntry(query.client, entry));
    }

    pub(super) fn count_ledger_event(&mut self, event: &LedgerEvent) {
        let counters = &mut self.state.counters;
        match event {
            LedgerEvent::EntriesLost(gap) => counters.ledger_entries_lost += gap.entries,
            LedgerEvent::WriteFailed(_) => counters.ledger_write_failures += 1,
            LedgerEvent::PeriodClosed(_) => counters.ledger_periods_closed += 1,
            LedgerEvent::ExportFinished(_) => counters.ledger_exports += 1,
            LedgerEvent::Durable(_) | LedgerEvent::Recovered | LedgerEvent::SegmentsRemoved(_) => {}
        }
    }
}
