//! The operators' orders as records that merge: of each subject the later order stands, at the same time the one that
//! takes it out. So it does not matter which process wrote what when, or how often it is read.

use crate::decide::api::Millis;
use crate::membership::Order;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt;
use std::sync::Arc;

/// Subjects under an order, at most: against a script that orders ever new names out.
pub const ORDERS_MOST: usize = 4096;

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// The mixer: out is drained.
    Mixer,
    /// An index node by its name: out is given nothing more.
    Node(Arc<str>),
}

/// There are as many orders as there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooMany;

impl fmt::Display for TooMany {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{ORDERS_MOST} orders stand already")
    }
}

impl std::error::Error for TooMany {}

/// All orders that stand, by subject.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    records: BTreeMap<Subject, Order>,
}

impl Orders {
    /// Takes an operator's order; whether it changes anything. An order to what it finds already is no change: two
    /// calls out need one back. A later call stands over an earlier one whatever the clock did between them.
    ///
    /// # Errors
    /// No room for another subject.
    pub fn give(&mut self, subject: Subject, out: bool, now: Millis) -> Result<bool, TooMany> {
        let full = self.records.len() >= ORDERS_MOST;
        match self.records.entry(subject) {
            Entry::Occupied(mut old) => {
                let before = *old.get();
                if before.out == out {
                    return Ok(false);
                }
                let at = now.max(before.at + 1.0);
                old.insert(Order { out, at, since: if out { at } else { before.since } });
                Ok(true)
            }
            Entry::Vacant(_) if !out => Ok(false),
            Entry::Vacant(_) if full => Err(TooMany),
            Entry::Vacant(free) => {
                free.insert(Order { out, at: now, since: now });
                Ok(true)
            }
        }
    }

    /// Takes over what stands over the own orders; whether anything did. Beyond the bound the rest is left.
    pub fn merge(&mut self, other: &Orders) -> bool {
        let mut changed = false;
        for (subject, order) in &other.records {
            let full = self.records.len() >= ORDERS_MOST;
            match self.records.entry(subject.clone()) {
                Entry::Occupied(mut own) if order.stands_over(own.get()) => {
                    own.insert(*order);
                    changed = true;
                }
                Entry::Vacant(free) if !full => {
                    free.insert(*order);
                    changed = true;
                }
                _ => {}
            }
        }
        changed
    }

    /// Lets go of what has been back since before a time: nobody needs to know any more.
    pub fn forget_before(&mut self, time: Millis) {
        self.records.retain(|_, o| o.out || o.at >= time);
    }

    /// The earliest time at which something now back was ordered so.
    pub fn oldest_back(&self) -> Option<Millis> {
        self.records.values().filter(|o| !o.out).map(|o| o.at).reduce(f64::min)
    }

    /// The order that stands for a subject.
    pub fn get(&self, subject: &Subject) -> Option<&Order> {
        self.records.get(subject)
    }

    /// Is it out?
    pub fn is_out(&self, subject: &Subject) -> bool {
        self.get(subject).is_some_and(|o| o.out)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, &Order)> {
        self.records.iter()
    }

    /// Those about nodes.
    pub fn nodes(&self) -> BTreeMap<Arc<str>, Order> {
        let node = |(subject, order): (&Subject, &Order)| match subject {
            Subject::Node(name) => Some((name.clone(), *order)),
            Subject::Mixer => None,
        };
        self.records.iter().filter_map(node).collect()
    }
}

impl FromIterator<(Subject, Order)> for Orders {
    fn from_iter<I: IntoIterator<Item = (Subject, Order)>>(all: I) -> Self {
        let mut orders = Orders::default();
        for (subject, order) in all {
            orders.merge(&Orders { records: BTreeMap::from([(subject, order)]) });
        }
        orders
    }
}
