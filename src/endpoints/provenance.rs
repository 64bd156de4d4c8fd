//! The source of each field value of an endpoint, so that operators can trace where a value comes from.

use super::{SourceId, SourceLocation};

/// A field of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FieldName {
    /// The address at which the leaf server listens.
    Address,
    /// The zone.
    Zone,
    /// The cell.
    Cell,
    /// The relative capacity.
    Weight,
    /// Whether the leaf server accepts work.
    State,
    /// The time of the leaf server's last start.
    StartedAt,
}

/// The origin of a field value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The source that provided the value.
    pub source: SourceId,
    /// The location in the source if the source is a file; the default otherwise.
    pub location: SourceLocation,
}

/// The origin of each field that a source provides.
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
    /// The origin of a field; `None` if no source provides it, so that it has its default value.
    pub fn of(&self, field: FieldName) -> Option<Origin> {
        self.origins.iter().find(|entry| entry.field == field).map(|entry| entry.origin)
    }

    /// Adds the origin of a field, if a source provides it.
    pub(super) fn record(&mut self, field: FieldName, origin: Option<Origin>) {
        if let Some(origin) = origin {
            self.origins.push(FieldOrigin { field, origin });
        }
    }
}
