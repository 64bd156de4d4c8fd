//! The price list: billed work by query class. The operator's file sets it.

use std::collections::BTreeMap;

/// Prices of a class that is not listed: nothing for the query, one unit for each part.
const DEFAULT_PRICES: ClassPrices = ClassPrices { query: 0, part: 1000 };

/// The prices of a class, in thousandths of a unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPrices {
    /// Price of an answered query.
    pub query: u64,
    /// Price of each part that was served.
    pub part: u64,
}

/// Prices by class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PriceList {
    /// The prices of each class; one that is not listed costs one unit a part.
    pub classes: BTreeMap<String, ClassPrices>,
}

impl PriceList {
    /// The work billed for an answered query, in thousandths of a unit.
    pub fn work(&self, class: &str, served: u32) -> u64 {
        let prices = self.classes.get(class).copied().unwrap_or(DEFAULT_PRICES);
        let parts_price = prices.part.saturating_mul(u64::from(served));
        prices.query.saturating_add(parts_price)
    }
}
