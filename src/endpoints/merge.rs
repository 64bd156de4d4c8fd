//! Precedence: merges what all sources state about one endpoint name.
//!
//! The rules, in the order in which they apply:
//!
//! 1. An endpoint that discovery removed is gone, whatever the files state, until discovery lists it again
//!    (applied by [`Sources`](super::sources::Sources), before merging).
//! 2. An endpoint exists if discovery, the list known at the start, or a file that is not partial names it.
//! 3. If any source, a list held back included, states that it is draining, it is draining.
//! 4. Each other field comes from the source of highest precedence that states it: discovery, then the list known at
//!    the start, then the files from the last to the first.
//! 5. Without an address or a cell from any source there is no endpoint. A missing zone is empty, a missing weight 1,
//!    a missing state ready, a missing start time 0.

use super::record::{EndpointRecord, Located, SourceLocation};
use super::{Endpoint, EndpointState, FieldName, Millis, Origin, Provenance, SourceId};
use std::sync::Arc;

/// An endpoint as merged from all sources.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The origin of each of its fields.
    pub provenance: Provenance,
}

/// What one source states about an endpoint name.
pub(super) enum Statement<'a> {
    /// A complete entry, from discovery or the list known at the start.
    Entry { source: SourceId, endpoint: &'a Endpoint },
    /// A record of a file's applied list. A partial file only adds to endpoints that another source names.
    Record { file: u16, record: &'a EndpointRecord, partial: bool },
    /// A record of a file's list held back: only its draining state counts.
    HeldBackRecord { file: u16, record: &'a EndpointRecord },
}

impl Statement<'_> {
    fn names_endpoint(&self) -> bool {
        match self {
            Self::Entry { .. } => true,
            Self::Record { partial, .. } => !partial,
            Self::HeldBackRecord { .. } => false,
        }
    }

    /// The origin of the draining state, if that is what it states.
    fn draining_origin(&self) -> Option<Origin> {
        match self {
            Self::Entry { source, endpoint } => {
                (endpoint.state == EndpointState::Draining).then_some(Origin::of_entry(*source))
            }
            Self::Record { file, record, .. } | Self::HeldBackRecord { file, record } => {
                let state = record.state.as_ref().filter(|_| record.is_draining())?;
                Some(Origin::in_file(*file, state.location))
            }
        }
    }
}

impl Origin {
    fn of_entry(source: SourceId) -> Self {
        Origin { source, location: SourceLocation::default() }
    }

    fn in_file(file: u16, location: SourceLocation) -> Self {
        Origin { source: SourceId::File(file), location }
    }
}

/// Merges statements in ascending order of precedence; `None` if there is no such endpoint.
pub(super) fn merge(name: &Arc<str>, statements: &[Statement<'_>]) -> Option<MergedEndpoint> {
    if !statements.iter().any(Statement::names_endpoint) {
        return None;
    }
    let mut fields = Fields::default();
    let mut draining_origin = None;
    for statement in statements {
        match statement {
            Statement::Entry { source, endpoint } => fields.set_from_entry(*source, endpoint),
            Statement::Record { file, record, .. } => fields.set_from_record(*file, record),
            Statement::HeldBackRecord { .. } => {}
        }
        draining_origin = statement.draining_origin().or(draining_origin);
    }
    if let Some(origin) = draining_origin {
        fields.state.set(&EndpointState::Draining, origin);
    }
    let provenance = fields.provenance();
    let entry = fields.into_endpoint(name)?;
    Some(MergedEndpoint { endpoint: entry, provenance })
}

/// The fields of an endpoint, each as the statement of highest precedence so far gives it.
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
    fn set_from_entry(&mut self, source: SourceId, endpoint: &Endpoint) {
        let origin = Origin::of_entry(source);
        self.address.set(&endpoint.address, origin);
        // An empty zone is an unknown one.
        if !endpoint.zone.is_empty() {
            self.zone.set(&endpoint.zone, origin);
        }
        self.cell.set(&endpoint.cell, origin);
        self.weight.set(&endpoint.weight, origin);
        self.state.set(&endpoint.state, origin);
        // 0 is long ago or unknown: a file may state the time.
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

    /// The endpoint; `None` without an address or a cell.
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

/// A value and its origin, once some source states it; a later statement replaces an earlier one.
struct Field<T> {
    stated: Option<Stated<T>>,
}

struct Stated<T> {
    value: T,
    origin: Origin,
}

impl<T> Default for Field<T> {
    fn default() -> Self {
        Field { stated: None }
    }
}

impl<T: Clone> Field<T> {
    fn set(&mut self, value: &T, origin: Origin) {
        self.stated = Some(Stated { value: value.clone(), origin });
    }

    fn set_from_file(&mut self, file: u16, located: Option<&Located<T>>) {
        if let Some(located) = located {
            self.set(&located.value, Origin::in_file(file, located.location));
        }
    }

    fn origin(&self) -> Option<Origin> {
        self.stated.as_ref().map(|stated| stated.origin)
    }

    fn into_value(self) -> Option<T> {
        self.stated.map(|stated| stated.value)
    }
}
