//! Endpoint records of an inventory: optional fields, each with its location in the file.

use super::{EndpointState, Millis};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

/// A location in an inventory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceLocation {
    /// The file, as an index into [`FileList::files`].
    pub file: u16,
    /// The line, counted from 1.
    pub line: u32,
}

/// A value with its location.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Location of the value in the inventory.
    pub location: SourceLocation,
}

/// The fields that an inventory provides for one endpoint; absent fields are `None`.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// The endpoint's name.
    pub name: Arc<str>,
    /// Location of the record in the inventory.
    pub location: SourceLocation,
    /// The address at which the leaf server listens; may be an Arrow Flight location.
    pub address: Option<Located<Arc<str>>>,
    /// The zone, a failure domain.
    pub zone: Option<Located<Arc<str>>>,
    /// The cell, which determines the shards that the endpoint holds.
    pub cell: Option<Located<u32>>,
    /// The relative capacity.
    pub weight: Option<Located<f64>>,
    /// Ready or draining, never gone.
    pub state: Option<Located<EndpointState>>,
    /// Unix time of the leaf server's last start, in milliseconds.
    pub started_at_unix: Option<Located<Millis>>,
}

impl EndpointRecord {
    /// A record with a name and no other fields.
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

    /// Whether the record has the draining state.
    pub fn is_draining(&self) -> bool {
        self.state.as_ref().is_some_and(|state| state.value == EndpointState::Draining)
    }

    /// Whether both records have the same values, regardless of their locations.
    pub fn has_same_values_as(&self, other: &EndpointRecord) -> bool {
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

/// The endpoint list of one inventory, as parsed by `inventory::read`.
#[derive(Clone, Debug, Default)]
pub struct FileList {
    /// The records, sorted by name, with each name once.
    pub records: Vec<EndpointRecord>,
    /// The names of the files that the list was read from, as shown to operators.
    pub files: Vec<Arc<str>>,
    /// Digest of the content: the leading hex digits of a SHA-256 hash over all files.
    pub digest: Arc<str>,
    /// A file ends within a line: its writer may not have finished.
    pub truncated_mid_line: bool,
    /// The list only adds fields to endpoints that another source lists.
    pub partial: bool,
}

impl FileList {
    /// The record of an endpoint.
    pub fn get(&self, name: &str) -> Option<&EndpointRecord> {
        let index = self.records.binary_search_by(|record| record.name.as_ref().cmp(name)).ok()?;
        Some(&self.records[index])
    }

    /// The names of the records that differ between two lists, in ascending order. Iterates over both lists once.
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
                (Some(left), Some(right)) if left.has_same_values_as(right) => {}
                (Some(record), _) | (None, Some(record)) => names.push(record.name.clone()),
                (None, None) => return names,
            }
        }
    }

    /// The names of the records with the draining state.
    pub(super) fn draining_names(&self) -> impl Iterator<Item = Arc<str>> {
        self.records.iter().filter(|record| record.is_draining()).map(|record| record.name.clone())
    }

    /// Counts of the list, for the log and the command line.
    pub fn summary(&self) -> ListSummary {
        let draining = self.records.iter().filter(|record| record.is_draining()).count();
        ListSummary { endpoints: self.records.len(), draining }
    }

    /// The name of the file of a location; empty if there is no such file.
    pub fn file_name(&self, location: SourceLocation) -> &str {
        self.files.get(usize::from(location.file)).map_or("", |file| file)
    }
}

/// Endpoint counts of a [`FileList`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListSummary {
    /// Number of endpoints in the list.
    pub endpoints: usize,
    /// Number of endpoints in the list that are draining.
    pub draining: usize,
}

/// Two records with different names and the same address, so that one leaf server would be balanced as if it were two.
#[derive(Clone, Copy, Debug)]
pub struct SharedAddress<'a> {
    /// The first record with the address.
    pub first: &'a EndpointRecord,
    /// A later record with the same address.
    pub second: &'a EndpointRecord,
}

/// Finds addresses that occur under more than one name, in the order of the later records.
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
