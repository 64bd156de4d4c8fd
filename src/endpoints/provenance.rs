//! Which source gave each field of an endpoint, for operators who ask why an endpoint is as it is.

use super::{SourceId, SourceLocation};

/// A field of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FieldName {
    /// The address it listens at.
    Address,
    /// Its zone.
    Zone,
    /// Its cell.
    Cell,
    /// Its relative capacity.
    Weight,
    /// Whether it accepts work.
    State,
    /// The time of its last start.
    StartedAt,
}

/// Where a value comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The source.
    pub source: SourceId,
    /// The place in the source, if that is a file; the default otherwise.
    pub location: SourceLocation,
}

/// The origin of each field that some source states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Provenance {
    origins: Vec<FieldOrigin>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct FieldOrigin {
    field: FieldName,
    origin: Origin,
}

impl Provenance {
    /// The origin of a field; `None` if no source states it and it has its default.
    pub fn of(&self, field: FieldName) -> Option<Origin> {
        self.origins.iter().find(|stated| stated.field == field).map(|stated| stated.origin)
    }

    /// Adds the origin of a field, if some source states it.
    pub(super) fn record(&mut self, field: FieldName, origin: Option<Origin>) {
        if let Some(origin) = origin {
            self.origins.push(FieldOrigin { field, origin });
        }
    }
}
