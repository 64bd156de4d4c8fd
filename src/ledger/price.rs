//! The price list: billed work by query class. The operator's file sets it.

use std::collections::BTreeMap;

/// Prices of a class that is not listed: nothing for the query, one unit for each part.
const DEFAULT_PRICES: (u64, u64) = (0, 1000);

/// Prices by class, in thousandths of a unit of work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PriceList {
    /// The price of an answered query and of each part served; a class that is not listed costs one unit a part.
    pub classes: BTreeMap<String, (u64, u64)>,
}

impl PriceList {
    /// The work billed for an answered query, in thousandths of a unit.
    pub fn work(&self, class: &str, served: u32) -> u64 {
        let (query_price, part_price) = self.classes.get(class).copied().unwrap_or(DEFAULT_PRICES);
        let parts_price = part_price.saturating_mul(u64::from(served));
        query_price.saturating_add(parts_price)
    }
}
