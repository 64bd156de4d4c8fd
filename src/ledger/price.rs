//! The price list: billed work by query class, set in the operator file.

use std::collections::BTreeMap;

/// Prices of a class that is not listed: nothing per query, one unit per part.
const DEFAULT_PRICES: ClassPrices = ClassPrices { query: 0, part: 1000 };

/// The prices of a class, in thousandths of a unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPrices {
    /// Price of an answered query, whatever its number of parts.
    pub query: u64,
    /// Price of each part served.
    pub part: u64,
}

/// Prices by query class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PriceList {
    /// Prices by class name; a class that is not listed costs one unit per part.
    pub classes: BTreeMap<String, ClassPrices>,
}

impl PriceList {
    /// The work billed for an answered query with that number of served parts, in thousandths of a unit.
    pub fn work(&self, class: &str, parts_served: u32) -> u64 {
        let prices = self.classes.get(class).copied().unwrap_or(DEFAULT_PRICES);
        let parts_price = prices.part.saturating_mul(u64::from(parts_served));
        prices.query.saturating_add(parts_price)
    }
}
