//! Counters by tenant, served to metrics collectors. The aggregator counts every entry here, whether or not the ledger
//! could store it.

use super::record::Entry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The label value of all unconfigured tenants, so that clients cannot create an unbounded number of time series.
const UNKNOWN_TENANT: &str = "(unknown)";

/// Labels of one counter; the field names are the exposed label names.
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
        let mut register = |name: &str, help: &str| {
            let family: Family<Labels, Counter> = Family::default();
            registry.register(name, help, family.clone());
            family
        };
        TenantMetrics {
            queries: register("queries", "Queries with a final answer"),
            parts: register("parts", "Parts served in answers, each once"),
            attempts: register("attempts", "Attempts sent for them"),
            work: register("work_milliunits", "Work billed, in thousandths of a unit"),
            registry,
        }
    }
}

impl TenantMetrics {
    /// Counts an entry.
    pub fn count(&self, entry: &Entry) {
        let tenant = if entry.tenant_is_known { entry.tenant.as_str() } else { UNKNOWN_TENANT };
        let labels = Labels {
            tenant: tenant.to_owned(),
            class: entry.class.clone(),
            share: entry.share.as_str(),
            outcome: entry.outcome.as_str(),
        };
        self.queries.get_or_create(&labels).inc();
        if entry.outcome.is_billed() {
            self.parts.get_or_create(&labels).inc_by(u64::from(entry.parts_served));
            self.work.get_or_create(&labels).inc_by(entry.work);
        }
        self.attempts.get_or_create(&labels).inc_by(u64::from(entry.attempts));
    }

    /// The counters in the `OpenMetrics` text format without the end marker, to be appended to other counters.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let written = encode(&mut text, &self.registry);
        debug_assert!(written.is_ok());
        text.trim_end_matches("# EOF\n").to_owned()
    }
}
