//! Operators' overrides as records that merge without conflicts: for each subject the later override wins; of two
//! given at the same time, the active one. Merging is commutative, associative and idempotent.

use crate::clock::Millis;
use crate::endpoints::Override;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt;
use std::sync::Arc;

/// Maximum number of subjects with an override, which bounds the effect of a faulty script.
pub const MAX_OVERRIDES: usize = 4096;

/// Minimum time between two overrides of one subject, so that the later one wins even if the clock stepped back
/// between them.
const MIN_OVERRIDE_INTERVAL: Millis = 1.0;

/// The subject that an override applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OverrideSubject {
    /// The aggregator itself: while active, it is draining.
    Aggregator,
    /// A leaf server, by name: while active, it gets no new attempts.
    LeafServer(Arc<str>),
}

/// [`MAX_OVERRIDES`] subjects have an override already, so that a new one cannot be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyOverrides;

impl fmt::Display for TooManyOverrides {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the limit of {MAX_OVERRIDES} overrides is reached")
    }
}

impl std::error::Error for TooManyOverrides {}

/// All overrides, by subject.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    by_subject: BTreeMap<OverrideSubject, Override>,
}

impl Overrides {
    /// Records an operator's command at `now` (Unix milliseconds); returns whether it changes anything. A command for
    /// the current state changes nothing. A later command wins over an earlier one, even if the clock stepped back
    /// between them.
    ///
    /// # Errors
    /// [`TooManyOverrides`] if the subject is new and the limit is reached.
    pub fn set(
        &mut self,
        subject: OverrideSubject,
        active: bool,
        now: Millis,
    ) -> Result<bool, TooManyOverrides> {
        let is_full = self.is_full();
        match self.by_subject.entry(subject) {
            Entry::Occupied(mut occupied) => {
                let previous = *occupied.get();
                if previous.active == active {
                    return Ok(false);
                }
                let given_at = now.max(previous.given_at + MIN_OVERRIDE_INTERVAL);
                let active_since = if active { given_at } else { previous.active_since };
                occupied.insert(Override { active, given_at, active_since });
                Ok(true)
            }
            Entry::Vacant(_) if !active => Ok(false),
            Entry::Vacant(_) if is_full => Err(TooManyOverrides),
            Entry::Vacant(vacant) => {
                vacant.insert(Override { active, given_at: now, active_since: now });
                Ok(true)
            }
        }
    }

    /// Adopts the overrides of another process that supersede those stored here; returns whether there were any. New
    /// subjects beyond [`MAX_OVERRIDES`] are ignored.
    pub fn merge(&mut self, other: &Overrides) -> bool {
        let mut changed = false;
        for (subject, record) in &other.by_subject {
            changed |= self.merge_one(subject, record);
        }
        changed
    }

    fn merge_one(&mut self, subject: &OverrideSubject, record: &Override) -> bool {
        let is_full = self.is_full();
        match self.by_subject.entry(subject.clone()) {
            Entry::Occupied(mut occupied) if record.supersedes(occupied.get()) => {
                occupied.insert(*record);
                true
            }
            Entry::Vacant(vacant) if !is_full => {
                vacant.insert(*record);
                true
            }
            _ => false,
        }
    }

    fn is_full(&self) -> bool {
        self.by_subject.len() >= MAX_OVERRIDES
    }

    /// Removes the inactive overrides given before `time`, by when every process has merged them.
    pub fn forget_before(&mut self, time: Millis) {
        self.by_subject.retain(|_, record| record.active || record.given_at >= time);
    }

    /// The override of a subject.
    pub fn get(&self, subject: &OverrideSubject) -> Option<&Override> {
        self.by_subject.get(subject)
    }

    /// Whether a subject has an active override.
    pub fn is_active(&self, subject: &OverrideSubject) -> bool {
        self.get(subject).is_some_and(|record| record.active)
    }

    /// All overrides, ordered by subject.
    pub fn iter(&self) -> impl Iterator<Item = (&OverrideSubject, &Override)> {
        self.by_subject.iter()
    }

    /// The overrides of leaf servers, by name.
    pub fn leaf_servers(&self) -> BTreeMap<Arc<str>, Override> {
        let mut by_name = BTreeMap::new();
        for (subject, record) in &self.by_subject {
            if let OverrideSubject::LeafServer(name) = subject {
                by_name.insert(name.clone(), *record);
            }
        }
        by_name
    }
}

impl FromIterator<(OverrideSubject, Override)> for Overrides {
    fn from_iter<I: IntoIterator<Item = (OverrideSubject, Override)>>(items: I) -> Self {
        let mut overrides = Overrides::default();
        for (subject, record) in items {
            overrides.merge_one(&subject, &record);
        }
        overrides
    }
}
