//! Query priority: the priority weight per part of the query's class, reduced for tenants over their quota.

use super::outlier_detection::MOVING_AVERAGE_WEIGHT;
use super::statistics::finite_or;
use super::{Settings, Tenant};

/// Capacity of a tenant's token bucket; a query takes one token.
const BUCKET_CAPACITY: f64 = 8.0;

/// The priorities of classes and the quotas of tenants.
pub(super) struct Priorities {
    /// Priority weight per part of each class, as a moving average over its queries; 0 before the first query.
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

    /// Applies new settings. `previous_class` maps a class to its index in the old ones, if it existed.
    pub fn reconfigure(&mut self, settings: &Settings, previous_class: impl Fn(usize) -> Option<usize>) {
        let old_weight = |class| {
            let previous = previous_class(class)?;
            self.weight_per_part.get(previous).copied()
        };
        self.weight_per_part =
            (0..settings.classes.len()).map(|class| old_weight(class).unwrap_or(0.0)).collect();
        self.quotas = Quotas::new(&settings.tenants);
    }

    /// Records a query. Returns its priority from 0 to 1, relative to the class with the greatest weight per part.
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

/// Token buckets of the tenants. An aggregator does not know its share of a tenant's traffic, so only the proportions
/// of the quotas are used: each query adds one token in total, divided among the buckets in proportion to the quotas.
struct Quotas {
    /// Tokens that each query adds, by tenant.
    refills: Vec<f64>,
    /// Tokens available, by tenant.
    tokens: Vec<f64>,
    /// Whether the last query of a known tenant was within the quota.
    last_within: bool,
}

impl Quotas {
    fn new(tenants: &[Tenant]) -> Self {
        let rates: Vec<f64> =
            tenants.iter().map(|tenant| finite_or(tenant.quota_per_s, 0.0).max(0.0)).collect();
        let total = rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        Quotas {
            tokens: vec![BUCKET_CAPACITY; rates.len()],
            refills: rates.iter().map(|rate| rate / total).collect(),
            last_within: true,
        }
    }

    /// Takes a token for a tenant's query. Returns whether one was available; always true for an unknown tenant, which
    /// has no quota.
    fn take(&mut self, tenant: usize) -> bool {
        for (tokens, refill) in self.tokens.iter_mut().zip(&self.refills) {
            *tokens = (*tokens + refill).min(BUCKET_CAPACITY);
        }
        let Some(tokens) = self.tokens.get_mut(tenant) else { return true };
        self.last_within = *tokens >= 1.0;
        *tokens = (*tokens - 1.0).max(0.0);
        self.last_within
    }
}
