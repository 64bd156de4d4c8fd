//! The priority of a query: its class's weight for each part of work, and its tenant's quota.

use super::outlier_detection::MOVING_AVERAGE_WEIGHT;
use super::statistics::finite_or;
use super::{Settings, Tenant};

/// Queries that a tenant's unused quota saves up for, at most.
const MAX_SAVED_QUERIES: f64 = 8.0;

/// The priorities of classes and the quotas of tenants.
pub(super) struct Priorities {
    /// Weight of each class for a part of its queries, a moving average; 0 before the first query.
    weight_per_part: Vec<f64>,
    quotas: Quotas,
}

impl Priorities {
    pub fn new(settings: &Settings) -> Self {
        Priorities {
            weight_per_part: vec![0.0; settings.classes.len()],
            quotas: Quotas::new(&settings.tenants),
        }
    }

    /// Takes new settings; `previous_class` tells which class each new one was before.
    pub fn reconfigure(&mut self, settings: &Settings, previous_class: impl Fn(usize) -> Option<usize>) {
        let old_weight = |class| {
            let previous = previous_class(class)?;
            self.weight_per_part.get(previous).copied()
        };
        self.weight_per_part =
            (0..settings.classes.len()).map(|class| old_weight(class).unwrap_or(0.0)).collect();
        self.quotas = Quotas::new(&settings.tenants);
    }

    /// Takes in a query and gives its priority, from 0 to 1, against the class with the greatest weight for a part.
    pub fn record_query(
        &mut self,
        settings: &Settings,
        class: usize,
        tenant: Option<usize>,
        part_count: usize,
    ) -> f64 {
        let work = if settings.weight_by_work { 1.0 } else { part_count.max(1) as f64 };
        let current = settings.classes[class].priority_weight / work;
        let average = self.weight_per_part[class];
        let own =
            if average == 0.0 { current } else { average + MOVING_AVERAGE_WEIGHT * (current - average) };
        self.weight_per_part[class] = own;
        let greatest = self.weight_per_part.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        let is_over_quota = tenant.is_some_and(|tenant| !self.quotas.take(tenant));
        (own / greatest).min(1.0) * if is_over_quota { settings.over_quota_weight } else { 1.0 }
    }

    /// Whether the last query of a known tenant was within the tenant's quota.
    pub fn last_query_within_quota(&self) -> bool {
        self.quotas.last_within
    }
}

/// Quotas as proportions of the traffic, since an aggregator does not know how much of a tenant's traffic it gets:
/// each query brings every tenant its share of one query, saved up to a bound.
struct Quotas {
    shares: Vec<f64>,
    saved: Vec<f64>,
    last_within: bool,
}

impl Quotas {
    fn new(tenants: &[Tenant]) -> Self {
        let rates: Vec<f64> =
            tenants.iter().map(|tenant| finite_or(tenant.quota_per_s, 0.0).max(0.0)).collect();
        let total = rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        Quotas {
            saved: vec![MAX_SAVED_QUERIES; rates.len()],
            shares: rates.iter().map(|rate| rate / total).collect(),
            last_within: true,
        }
    }

    /// Counts a tenant's query; whether it was within the quota. An unknown tenant has no quota to exceed.
    fn take(&mut self, tenant: usize) -> bool {
        for (saved, share) in self.saved.iter_mut().zip(&self.shares) {
            *saved = (*saved + share).min(MAX_SAVED_QUERIES);
        }
        let Some(saved) = self.saved.get_mut(tenant) else { return true };
        self.last_within = *saved >= 1.0;
        *saved = (*saved - 1.0).max(0.0);
        self.last_within
    }
}
