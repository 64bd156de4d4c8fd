//! Counters by tenant, for collectors: as the ledger's entries are made, whether or not a disk keeps them.

use super::entry::Entry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of one counter. Tenants that the settings do not know share one, so that a hostile client makes no labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    tenant: String,
    class: String,
    share: &'static str,
    outcome: &'static str,
}

/// Counters by tenant, class, share and outcome.
#[derive(Debug)]
pub struct TenantMetrics {
    registry: Registry,
    queries: Family<Labels, Counter>,
    parts: Family<Labels, Counter>,
    attempts: Family<Labels, Counter>,
    work: Family<Labels, Counter>,
}

impl Default for TenantMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("sailmux_tenant");
        let mut family = |name: &str, help: &str| {
            let family: Family<Labels, Counter> = Family::default();
            registry.register(name, help, family.clone());
            family
        };
        TenantMetrics {
            queries: family("queries", "Queries with a final answer"),
            parts: family("parts", "Parts served in answers, each once"),
            attempts: family("attempts", "Attempts sent for them"),
            work: family("work_milliunits", "Work billed, in thousandths of a unit"),
            registry,
        }
    }
}

impl TenantMetrics {
    /// Counts an entry.
    pub fn count(&self, entry: &Entry) {
        let labels = Labels {
            tenant: if entry.known { entry.tenant.clone() } else { "(unknown)".to_owned() },
            class: entry.class.clone(),
            share: entry.share.word(),
            outcome: entry.outcome.word(),
        };
        self.queries.get_or_create(&labels).inc();
        if entry.outcome.is_billed() {
            self.parts.get_or_create(&labels).inc_by(u64::from(entry.served));
            self.work.get_or_create(&labels).inc_by(entry.work);
        }
        self.attempts.get_or_create(&labels).inc_by(u64::from(entry.attempts));
    }

    /// In the text form that collectors read, to stand behind other counters.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into memory: there is nothing that could fail.
        let written = encode(&mut text, &self.registry);
        debug_assert!(written.is_ok());
        text.trim_end_matches("# EOF\n").to_owned()
    }
}
