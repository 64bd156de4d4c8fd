//! Property test of precedence, against a model that stores the last list of each source and merges them from scratch
//! after each update.

use crate::harness::{Harness, entry, list, located, record};
use proptest::prelude::*;
use sailmux::endpoints::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The state of an endpoint in a list of discovery or of a file.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ListedState {
    Ready,
    Draining,
    Absent,
}

fn listed_state() -> impl Strategy<Value = ListedState> {
    prop_oneof![Just(ListedState::Ready), Just(ListedState::Draining), Just(ListedState::Absent)]
}

/// A row of a file for an endpoint.
#[derive(Clone, Copy, Debug)]
struct FileRow {
    cell: Option<u8>,
    weight: Option<u8>,
    state: ListedState,
}

/// An update of a source; endpoints are identified by numbers.
#[derive(Clone, Debug)]
enum Update {
    /// An absent state removes the endpoint.
    Discovery { complete: bool, rows: BTreeMap<u8, ListedState> },
    /// An absent state means that the row has no state field.
    File { file: u8, rows: BTreeMap<u8, FileRow> },
}

fn updates() -> impl Strategy<Value = Vec<Update>> {
    let discovery = (any::<bool>(), prop::collection::vec((0..5u8, listed_state()), 0..4))
        .prop_map(|(complete, rows)| Update::Discovery { complete, rows: rows.into_iter().collect() });
    let row = (prop::option::of(0..3u8), prop::option::of(0..4u8), listed_state())
        .prop_map(|(cell, weight, state)| FileRow { cell, weight, state });
    let file = (0..2u8, prop::collection::vec((0..5u8, row), 0..5))
        .prop_map(|(file, rows)| Update::File { file, rows: rows.into_iter().collect() });
    prop::collection::vec(prop_oneof![discovery, file], 1..24)
}

fn endpoint_name(number: u8) -> String {
    format!("n{number}")
}

/// The fields of an endpoint that the model covers.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Expected {
    cell: u32,
    weight: f64,
    draining: bool,
}

impl Expected {
    fn of(endpoint: &Endpoint) -> Self {
        let draining = endpoint.state == EndpointState::Draining;
        Expected { cell: endpoint.cell, weight: endpoint.weight, draining }
    }
}

/// The last list of each source, and the endpoints that discovery has removed.
#[derive(Default)]
struct Model {
    discovery: BTreeMap<u8, ListedState>,
    removed: Vec<u8>,
    files: [BTreeMap<u8, FileRow>; 2],
}

impl Model {
    fn update(&mut self, update: &Update) {
        match update {
            Update::Discovery { complete, rows } => {
                if *complete {
                    let missing: Vec<u8> =
                        self.discovery.keys().filter(|number| !rows.contains_key(number)).copied().collect();
                    for number in missing {
                        self.remove(number);
                    }
                }
                for (number, state) in rows {
                    self.removed.retain(|removed| removed != number);
                    if *state == ListedState::Absent {
                        self.remove(*number);
                    } else {
                        self.discovery.insert(*number, *state);
                    }
                }
            }
            Update::File { file, rows } => self.files[usize::from(*file)].clone_from(rows),
        }
    }

    fn remove(&mut self, number: u8) {
        self.discovery.remove(&number);
        self.removed.push(number);
    }

    fn endpoint(&self, number: u8) -> Option<Expected> {
        if self.removed.contains(&number) {
            return None;
        }
        let discovered = self.discovery.get(&number);
        let rows: Vec<&FileRow> = self.files.iter().filter_map(|file| file.get(&number)).collect();
        let cell_in_files = rows.iter().rev().find_map(|row| row.cell).map(u32::from);
        let weight_in_files = rows.iter().rev().find_map(|row| row.weight).map(f64::from);
        Some(Expected {
            cell: discovered.map(|_| 1).or(cell_in_files)?,
            weight: discovered.map(|_| 1.0).or(weight_in_files).unwrap_or(1.0),
            draining: discovered == Some(&ListedState::Draining)
                || rows.iter().any(|row| row.state == ListedState::Draining),
        })
    }
}

fn discovery_input(generation: u64, complete: bool, rows: &BTreeMap<u8, ListedState>) -> Input {
    let entries = rows.iter().map(|(number, state)| {
        let state = match state {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Absent => EndpointState::Gone,
        };
        entry(&endpoint_name(*number), 1, state)
    });
    Input::Discovery(EndpointList { generation, complete, entries: entries.collect() })
}

fn file_input(digest: &str, file: u8, rows: &BTreeMap<u8, FileRow>) -> Input {
    let records = rows.iter().map(|(number, row)| EndpointRecord {
        cell: row.cell.map(u32::from).and_then(located),
        weight: row.weight.map(f64::from).and_then(located),
        state: match row.state {
            ListedState::Ready => located(EndpointState::Ready),
            ListedState::Draining => located(EndpointState::Draining),
            ListedState::Absent => None,
        },
        ..record(&endpoint_name(*number), 0, None)
    });
    Input::File(u16::from(file), list(digest, records.collect()))
}

/// Applies the lists among the outputs, as the aggregator does.
fn apply_lists(endpoints: &mut BTreeMap<Arc<str>, Endpoint>, outputs: Vec<Output>) {
    for output in outputs {
        let Output::List(list) = output else { continue };
        if list.complete {
            endpoints.clear();
        }
        for endpoint in list.entries {
            if endpoint.state == EndpointState::Gone {
                endpoints.remove(&endpoint.name);
            } else {
                endpoints.insert(endpoint.name.clone(), endpoint);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn precedence_agrees_with_the_model(updates in updates()) {
        // A guard that holds back only empty lists, and confirms them immediately.
        let guard = GuardSettings { max_removed_fraction: 1.0, confirm_after: Some(0.0) };
        let empty_list = || list("empty", vec![]);
        let mut harness =
            Harness::with_guard(guard, Some(EndpointList::default()), vec![empty_list(), empty_list()]);
        let mut model = Model::default();
        let mut aggregator_endpoints: BTreeMap<Arc<str>, Endpoint> = BTreeMap::new();
        for (step, update) in updates.into_iter().enumerate() {
            model.update(&update);
            let input = match &update {
                Update::Discovery { complete, rows } => discovery_input(step as u64, *complete, rows),
                Update::File { file, rows } => file_input(&format!("d{step}"), *file, rows),
            };
            let mut outputs = Vec::new();
            harness.registry.handle(step as Millis, input, &mut outputs);
            harness.registry.handle(step as Millis, Input::TimerFired, &mut outputs);
            apply_lists(&mut aggregator_endpoints, outputs);
            for number in 0..5u8 {
                let name = endpoint_name(number);
                let expected = model.endpoint(number);
                let merged = harness.registry.endpoint(&name).map(|merged| Expected::of(&merged.endpoint));
                prop_assert_eq!(merged, expected, "{} after step {}", name, step);
                let received = aggregator_endpoints.get(name.as_str()).map(Expected::of);
                prop_assert_eq!(received, expected, "the aggregator's {} after step {}", name, step);
            }
        }
    }
}
