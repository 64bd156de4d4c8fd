//! Lost entries that are not recorded yet, collected into one gap.

use super::super::UnixMs;
use super::super::record::Gap;

/// The gap that lost entries make up; none as long as nothing was lost.
#[derive(Debug, Default)]
pub(super) struct LostEntries {
    gap: Option<Gap>,
}

impl LostEntries {
    /// Adds a lost entry. The reason counts for the first one of a gap.
    pub fn add_entry(&mut self, at: UnixMs, reason: &str) {
        match &mut self.gap {
            Some(gap) => gap.add_entry(at),
            None => self.gap = Some(Gap::of_one_entry(at, reason)),
        }
    }

    /// Adds the entries of a gap that was itself lost.
    pub fn add_gap(&mut self, lost: &Gap, reason: &str) {
        if lost.entries > 0 {
            self.add_entry(lost.from, reason);
        }
        if let Some(gap) = &mut self.gap {
            gap.entries += lost.entries.saturating_sub(1);
            gap.to = gap.to.max(lost.to);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.gap.is_none()
    }

    pub fn gap(&self) -> Option<&Gap> {
        self.gap.as_ref()
    }

    /// The gap, once it is recorded.
    pub fn take(&mut self) -> Option<Gap> {
        self.gap.take()
    }
}
