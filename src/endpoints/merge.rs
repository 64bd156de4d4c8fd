//! Precedence: merges the entries of all sources for one endpoint name.
//!
//! The rules, in the order in which they are applied:
//!
//! 1. An endpoint that discovery has removed does not exist, even if files list it, until discovery lists it again
//!    (applied by [`Sources`](super::sources::Sources) before merging).
//! 2. An endpoint exists if discovery, the initial list, or a file that is not partial lists it.
//! 3. An endpoint is draining if any source lists it as draining, including a held-back list.
//! 4. Each other field comes from the source of highest precedence that provides it: discovery, then the initial list,
//!    then the files from last to first.
//! 5. An endpoint without an address or a cell from any source is omitted. The defaults are: zone empty, weight 1,
//!    state ready, start time 0.

use super::record::{EndpointRecord, Located, SourceLocation};
use super::{Endpoint, EndpointState, FieldName, Millis, Origin, Provenance, SourceId};
use std::sync::Arc;

/// An endpoint merged from the entries of all sources.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedEndpoint {
    /// The merged endpoint, without overrides.
    pub endpoint: Endpoint,
    /// The origin of each field that a source provides.
    pub provenance: Provenance,
}

/// The entry of one source for an endpoint name.
pub(super) enum SourceEntry<'a> {
    /// An endpoint with all its fields, from discovery or the initial list.
    Endpoint { source: SourceId, endpoint: &'a Endpoint },
    /// A record of a file's applied list. A partial file only adds fields to endpoints that another source lists.
    Record { file: u16, record: &'a EndpointRecord, partial: bool },
    /// A record of a file's held-back list, of which only the draining state is used.
    HeldBackRecord { file: u16, record: &'a EndpointRecord },
}

impl SourceEntry<'_> {
    fn lists_endpoint(&self) -> bool {
        match self {
            Self::Endpoint { .. } => true,
            Self::Record { partial, .. } => !partial,
            Self::HeldBackRecord { .. } => false,
        }
    }

    /// The origin of the draining state, if the entry has that state.
    fn draining_origin(&self) -> Option<Origin> {
        match self {
            Self::Endpoint { source, endpoint } => {
                (endpoint.state == EndpointState::Draining).then_some(Origin::of_endpoint_list(*source))
            }
            Self::Record { file, record, .. } | Self::HeldBackRecord { file, record } => {
                let state = record.state.as_ref().filter(|_| record.is_draining())?;
                Some(Origin::in_file(*file, state.location))
            }
        }
    }
}

impl Origin {
    fn of_endpoint_list(source: SourceId) -> Self {
        Origin { source, location: SourceLocation::default() }
    }

    fn in_file(file: u16, location: SourceLocation) -> Self {
        Origin { source: SourceId::File(file), location }
    }
}

/// Merges entries, given in ascending order of precedence; `None` if the endpoint does not exist.
pub(super) fn merge(name: &Arc<str>, entries: &[SourceEntry<'_>]) -> Option<MergedEndpoint> {
    if !entries.iter().any(SourceEntry::lists_endpoint) {
        return None;
    }
    let mut fields = Fields::default();
    let mut draining_origin = None;
    for entry in entries {
        match entry {
            SourceEntry::Endpoint { source, endpoint } => fields.set_from_endpoint(*source, endpoint),
            SourceEntry::Record { file, record, .. } => fields.set_from_record(*file, record),
            SourceEntry::HeldBackRecord { .. } => {}
        }
        draining_origin = entry.draining_origin().or(draining_origin);
    }
    if let Some(origin) = draining_origin {
        fields.state.set(&EndpointState::Draining, origin);
    }
    let provenance = fields.provenance();
    let merged = fields.into_endpoint(name)?;
    Some(MergedEndpoint { endpoint: merged, provenance })
}

/// The fields of an endpoint, each with the value of highest precedence so far.
#[derive(Default)]
struct Fields {
    address: Field<Arc<str>>,
    zone: Field<Arc<str>>,
    cell: Field<u32>,
    weight: Field<f64>,
    state: Field<EndpointState>,
    started_at_unix: Field<Millis>,
}

impl Fields {
    fn set_from_endpoint(&mut self, source: SourceId, endpoint: &Endpoint) {
        let origin = Origin::of_endpoint_list(source);
        self.address.set(&endpoint.address, origin);
        // An empty zone is unknown: a file may provide it.
        if !endpoint.zone.is_empty() {
            self.zone.set(&endpoint.zone, origin);
        }
        self.cell.set(&endpoint.cell, origin);
        self.weight.set(&endpoint.weight, origin);
        self.state.set(&endpoint.state, origin);
        // 0 means long ago or unknown: a file may provide the time.
        if endpoint.started_at_unix > 0.0 {
            self.started_at_unix.set(&endpoint.started_at_unix, origin);
        }
    }

    fn set_from_record(&mut self, file: u16, record: &EndpointRecord) {
        self.address.set_from_file(file, record.address.as_ref());
        self.zone.set_from_file(file, record.zone.as_ref());
        self.cell.set_from_file(file, record.cell.as_ref());
        self.weight.set_from_file(file, record.weight.as_ref());
        self.state.set_from_file(file, record.state.as_ref());
        self.started_at_unix.set_from_file(file, record.started_at_unix.as_ref());
    }

    fn provenance(&self) -> Provenance {
        let mut provenance = Provenance::default();
        provenance.record(FieldName::Address, self.address.origin());
        provenance.record(FieldName::Zone, self.zone.origin());
        provenance.record(FieldName::Cell, self.cell.origin());
        provenance.record(FieldName::Weight, self.weight.origin());
        provenance.record(FieldName::State, self.state.origin());
        provenance.record(FieldName::StartedAt, self.started_at_unix.origin());
        provenance
    }

    /// Builds the endpoint; `None` if the address or the cell is missing.
    fn into_endpoint(self, name: &Arc<str>) -> Option<Endpoint> {
        Some(Endpoint {
            name: name.clone(),
            address: self.address.into_value()?,
            zone: self.zone.into_value().unwrap_or_else(|| "".into()),
            cell: self.cell.into_value()?,
            weight: self.weight.into_value().unwrap_or(1.0),
            state: self.state.into_value().unwrap_or(EndpointState::Ready),
            started_at_unix: self.started_at_unix.into_value().unwrap_or(0.0),
        })
    }
}

/// A field of an endpoint; `None` until a source provides a value. A later value replaces an earlier one.
struct Field<T> {
    current: Option<ValueWithOrigin<T>>,
}

struct ValueWithOrigin<T> {
    value: T,
    origin: Origin,
}

impl<T> Default for Field<T> {
    fn default() -> Self {
        Field { current: None }
    }
}

impl<T: Clone> Field<T> {
    fn set(&mut self, value: &T, origin: Origin) {
        self.current = Some(ValueWithOrigin { value: value.clone(), origin });
    }

    fn set_from_file(&mut self, file: u16, located: Option<&Located<T>>) {
        if let Some(located) = located {
            self.set(&located.value, Origin::in_file(file, located.location));
        }
    }

    fn origin(&self) -> Option<Origin> {
        self.current.as_ref().map(|current| current.origin)
    }

    fn into_value(self) -> Option<T> {
        self.current.map(|current| current.value)
    }
}
