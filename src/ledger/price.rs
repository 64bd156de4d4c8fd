//! The price list: units of work by class, for a query and for each part served.

use std::collections::BTreeMap;

/// Units in thousandths, by class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PriceList {
    /// For a query answered, and for each of its parts served; a class that is not there costs a unit a part.
    pub classes: BTreeMap<String, (u64, u64)>,
}

impl PriceList {
    /// Work billed for an answered query, in thousandths of a unit.
    pub fn work(&self, class: &str, served: u32) -> u64 {
        let (query, part) = self.classes.get(class).copied().unwrap_or((0, 1000));
        query.saturating_add(part.saturating_mul(u64::from(served)))
    }
}
