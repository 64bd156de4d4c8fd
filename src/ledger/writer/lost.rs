//! Lost entries that are not yet recorded, combined into one gap.

use super::super::UnixMs;
use super::super::record::Gap;

/// The gap of all lost entries that are not yet recorded; `None` if there are none.
#[derive(Debug, Default)]
pub(super) struct LostEntries {
    gap: Option<Gap>,
}

impl LostEntries {
    /// Adds a lost entry. The gap keeps the reason of its first entry.
    pub fn add_entry(&mut self, at: UnixMs, reason: &str) {
        match &mut self.gap {
            Some(gap) => gap.add_entry(at),
            None => self.gap = Some(Gap::from_entry(at, reason)),
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

    /// Removes the gap after it was recorded.
    pub fn take(&mut self) -> Option<Gap> {
        self.gap.take()
    }
}
