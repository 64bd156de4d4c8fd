//! What one inventory file states about endpoints: fields that may be absent, each with its place in the file.

use super::{EndpointState, Millis};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

/// A place in an inventory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceLocation {
    /// The file, as an index into [`FileList::files`].
    pub file: u16,
    /// The line, counted from 1.
    pub line: u32,
}

/// A value and its place.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Where it is stated.
    pub location: SourceLocation,
}

/// What a file states about one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// The endpoint's name.
    pub name: Arc<str>,
    /// Where it is named.
    pub location: SourceLocation,
    /// The address it listens at; may be a Flight location.
    pub address: Option<Located<Arc<str>>>,
    /// Its zone.
    pub zone: Option<Located<Arc<str>>>,
    /// Its cell.
    pub cell: Option<Located<u32>>,
    /// Its relative capacity.
    pub weight: Option<Located<f64>>,
    /// Its state: ready or draining, never gone.
    pub state: Option<Located<EndpointState>>,
    /// Unix time of its last start, in milliseconds.
    pub started_at_unix: Option<Located<Millis>>,
}

impl EndpointRecord {
    /// A record that names an endpoint and states nothing else.
    pub fn new(name: &str, location: SourceLocation) -> Self {
        EndpointRecord {
            name: name.into(),
            location,
            address: None,
            zone: None,
            cell: None,
            weight: None,
            state: None,
            started_at_unix: None,
        }
    }

    /// Whether it states that the endpoint is draining.
    pub fn is_draining(&self) -> bool {
        self.state.as_ref().is_some_and(|state| state.value == EndpointState::Draining)
    }

    /// Whether both records state the same, wherever they stand.
    pub fn states_same_as(&self, other: &EndpointRecord) -> bool {
        self.name == other.name
            && same_value(self.address.as_ref(), other.address.as_ref())
            && same_value(self.zone.as_ref(), other.zone.as_ref())
            && same_value(self.cell.as_ref(), other.cell.as_ref())
            && same_value(self.weight.as_ref(), other.weight.as_ref())
            && same_value(self.state.as_ref(), other.state.as_ref())
            && same_value(self.started_at_unix.as_ref(), other.started_at_unix.as_ref())
    }
}

fn same_value<T: PartialEq>(left: Option<&Located<T>>, right: Option<&Located<T>>) -> bool {
    left.map(|located| &located.value) == right.map(|located| &located.value)
}

/// The list that one inventory gives; made by `inventory::read`.
#[derive(Clone, Debug, Default)]
pub struct FileList {
    /// The records, sorted by name, with each name once.
    pub records: Vec<EndpointRecord>,
    /// The names of the files that were read for it, as operators know them.
    pub files: Vec<Arc<str>>,
    /// Digest of the content: the first digits, in hex, of a SHA-256 over all files.
    pub digest: Arc<str>,
    /// The file is truncated within a line: its writer may not have finished.
    pub truncated_mid_line: bool,
    /// The list only adds to endpoints that another source names.
    pub partial: bool,
}

impl FileList {
    /// The record of an endpoint.
    pub fn get(&self, name: &str) -> Option<&EndpointRecord> {
        let index = self.records.binary_search_by(|record| record.name.as_ref().cmp(name)).ok()?;
        Some(&self.records[index])
    }

    /// The names, in order, of the records that differ between two lists. Walks both lists once.
    pub fn changed_names(&self, other: &FileList) -> Vec<Arc<str>> {
        let mut left = self.records.iter().peekable();
        let mut right = other.records.iter().peekable();
        let mut names = Vec::new();
        loop {
            let order = match (left.peek(), right.peek()) {
                (None, None) => return names,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(left), Some(right)) => left.name.cmp(&right.name),
            };
            let from_left = left.next_if(|_| order.is_le());
            let from_right = right.next_if(|_| order.is_ge());
            match (from_left, from_right) {
                (Some(left), Some(right)) if left.states_same_as(right) => {}
                (Some(record), _) | (None, Some(record)) => names.push(record.name.clone()),
                (None, None) => return names,
            }
        }
    }

    /// The names of the endpoints that it states to be draining.
    pub(super) fn draining_names(&self) -> impl Iterator<Item = Arc<str>> {
        self.records.iter().filter(|record| record.is_draining()).map(|record| record.name.clone())
    }

    /// Counts of the list, for the log and the command line.
    pub fn summary(&self) -> ListSummary {
        let draining = self.records.iter().filter(|record| record.is_draining()).count();
        ListSummary { endpoints: self.records.len(), draining }
    }

    /// The name of the file of a place; empty if there is none.
    pub fn file_name(&self, location: SourceLocation) -> &str {
        self.files.get(usize::from(location.file)).map_or("", |file| file)
    }
}

/// Counts of a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListSummary {
    /// Endpoints named.
    pub endpoints: usize,
    /// Those that are draining.
    pub draining: usize,
}

/// Two records that give one address under two names, so that the load of one leaf server would count as that of two.
#[derive(Clone, Copy, Debug)]
pub struct SharedAddress<'a> {
    /// The first record with the address.
    pub first: &'a EndpointRecord,
    /// A later record with it.
    pub second: &'a EndpointRecord,
}

/// The addresses that occur under more than one name, in the order of the later records.
pub fn shared_addresses(records: &[EndpointRecord]) -> Vec<SharedAddress<'_>> {
    let mut first_by_address: HashMap<&str, &EndpointRecord> = HashMap::with_capacity(records.len());
    let mut shared = Vec::new();
    for record in records {
        let Some(address) = &record.address else { continue };
        match first_by_address.entry(&address.value) {
            Entry::Occupied(first) => shared.push(SharedAddress { first: first.get(), second: record }),
            Entry::Vacant(vacant) => {
                vacant.insert(record);
            }
        }
    }
    shared
}
