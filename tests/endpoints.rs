//! The endpoint registry: the guard, what discovery may do that files may not, history, and precedence against a
//! slow, plain model.

use proptest::prelude::*;
use sailmux::endpoints::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const LAYOUT: Layout = Layout { cells: 3, width: 1 };
const LOCATION: SourceLocation = SourceLocation { file: 0, line: 7 };

fn sourced<T>(value: T) -> Option<Sourced<T>> {
    Some(Sourced { value, location: LOCATION })
}

fn record(name: &str, cell: u32, state: Option<EndpointState>) -> EndpointRecord {
    EndpointRecord {
        address: sourced(format!("{name}:1").into()),
        cell: sourced(cell),
        state: state.and_then(sourced),
        ..EndpointRecord::named(name, LOCATION)
    }
}

fn list(digest: &str, mut records: Vec<EndpointRecord>) -> Arc<FileList> {
    records.sort_by(|left, right| left.name.cmp(&right.name));
    Arc::new(FileList { records, digest: digest.into(), files: vec!["n.csv".into()], ..FileList::default() })
}

/// A list of ready endpoints, given by name and cell.
fn ready_list(digest: &str, endpoints: &[(&str, u32)]) -> Arc<FileList> {
    list(digest, endpoints.iter().map(|(name, cell)| record(name, *cell, None)).collect())
}

const SIX: [(&str, u32); 6] = [("a0", 0), ("b0", 0), ("a1", 1), ("b1", 1), ("a2", 2), ("b2", 2)];

/// A registry with the outputs of the last input.
struct Harness {
    registry: EndpointRegistry,
    outputs: Vec<Output>,
}

impl Harness {
    fn new(known: Option<EndpointList>, files: Vec<Arc<FileList>>) -> Self {
        Self::with_guard(GuardSettings::default(), known, files)
    }

    fn with_guard(guard: GuardSettings, known: Option<EndpointList>, files: Vec<Arc<FileList>>) -> Self {
        let mut harness = Harness { registry: EndpointRegistry::new(LAYOUT, guard), outputs: Vec::new() };
        harness.handle(0.0, Input::Started { known, files });
        harness
    }

    fn handle(&mut self, now: Millis, input: Input) -> &[Output] {
        self.outputs.clear();
        self.registry.handle(now, input, &mut self.outputs);
        &self.outputs
    }

    fn endpoint_count(&self) -> usize {
        self.registry.endpoints().len()
    }

    fn state(&self, name: &str) -> Option<EndpointState> {
        self.registry.endpoint(name).map(|merged| merged.entry.state)
    }

    fn hold_reason(&self) -> Option<HoldReason> {
        self.outputs.iter().find_map(|output| match output {
            Output::Audit(AuditEvent::ListHeldBack { reason, .. }) => Some(*reason),
            _ => None,
        })
    }

    fn list_was_applied(&self) -> bool {
        self.outputs.iter().any(|output| matches!(output, Output::Audit(AuditEvent::ListApplied { .. })))
    }
}

fn entry(name: &str, cell: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: format!("{name}:9").into(),
        zone: "z".into(),
        cell,
        weight: 1.0,
        state,
        started_at_unix: 0.0,
    }
}

#[test]
fn a_list_that_removes_too_much_is_held_back_except_for_its_draining_states() {
    type Case = (&'static str, &'static [(&'static str, u32)], HoldReason);
    let cases: [Case; 3] = [
        ("empty", &[], HoldReason::Empty),
        ("share", &[("a0", 0), ("a1", 1), ("a2", 2)], HoldReason::TooManyRemoved { removed: 3, total: 6 }),
        // A single endpoint may be removed, but not the last one of a shard.
        (
            "shard",
            &[("a0", 0), ("b0", 0), ("a1", 1), ("b1", 1), ("a2", 2)],
            HoldReason::ShardWithoutHolder(2),
        ),
    ];
    for (digest, endpoints, reason) in cases {
        let mut harness = Harness::new(None, vec![ready_list("six", &SIX)]);
        let a2_is_draining = digest == "shard";
        if a2_is_draining {
            let draining =
                SIX.map(|(name, cell)| record(name, cell, (name == "a2").then_some(EndpointState::Draining)));
            harness.handle(1.0, Input::File(0, list("drained", draining.to_vec())));
            assert!(harness.list_was_applied());
        }
        let shorter = endpoints.iter().map(|(name, cell)| {
            let draining = *name == "a0" || *name == "a2" && a2_is_draining;
            record(name, *cell, draining.then_some(EndpointState::Draining))
        });
        harness.handle(2.0, Input::File(0, list(digest, shorter.collect())));
        assert_eq!(harness.hold_reason(), Some(reason), "{digest}");
        assert_eq!(harness.endpoint_count(), 6, "{digest}: the applied list stays in force");
        if digest != "empty" {
            let draining = Some(EndpointState::Draining);
            assert_eq!(harness.state("a0"), draining, "{digest}: its draining state takes effect");
            let sends_one_change =
                |output: &Output| matches!(output, Output::List(list) if list.entries.len() == 1);
            assert!(harness.outputs.iter().any(sends_one_change));
        }
        // A confirmation of another list changes nothing; the right one applies the list.
        harness.handle(3.0, Input::FileConfirmed(0, "other".into()));
        assert_eq!(harness.endpoint_count(), 6);
        harness.handle(4.0, Input::FileConfirmed(0, digest.into()));
        assert!(harness.list_was_applied(), "{digest}");
        assert_eq!(harness.endpoint_count(), endpoints.len());
    }
}

#[test]
fn draining_states_take_effect_even_if_a_shard_is_left_without_a_ready_endpoint() {
    let mut harness = Harness::new(None, vec![ready_list("six", &SIX)]);
    let all_draining = SIX.map(|(name, cell)| record(name, cell, Some(EndpointState::Draining)));
    harness.handle(1.0, Input::File(0, list("drained", all_draining.to_vec())));
    assert!(harness.list_was_applied());
    assert!(SIX.iter().all(|(name, _)| harness.state(name) == Some(EndpointState::Draining)));
}

#[test]
fn a_list_held_back_is_applied_after_the_set_time_and_withdrawn_when_the_file_is_as_before() {
    let guard = GuardSettings { confirm_after: Some(1000.0), ..GuardSettings::default() };
    let six = ready_list("six", &SIX);
    let mut harness = Harness::with_guard(guard, None, vec![six.clone()]);
    let short = list("short", vec![record("a0", 0, Some(EndpointState::Draining))]);
    harness.handle(100.0, Input::File(0, short.clone()));
    let sets_timer = |output: &Output| matches!(output, Output::SetTimer(at) if *at == 1100.0);
    assert!(harness.outputs.iter().any(sets_timer));
    harness.handle(500.0, Input::File(0, six.clone()));
    let last = harness.outputs.last().expect("an output");
    assert!(matches!(last, Output::Audit(AuditEvent::HeldListWithdrawn { .. })), "{last:?}");
    assert_eq!(harness.state("a0"), Some(EndpointState::Ready), "its draining state is withdrawn with it");
    harness.handle(1100.0, Input::TimerFired);
    assert_eq!(harness.endpoint_count(), 6, "the time counts from when it was last held back");
    harness.handle(1200.0, Input::File(0, short.clone()));
    harness.handle(1900.0, Input::File(0, short));
    harness.handle(2199.0, Input::TimerFired);
    assert_eq!(harness.endpoint_count(), 6);
    harness.handle(2200.0, Input::TimerFired);
    assert_eq!(harness.endpoint_count(), 1);
}

#[test]
fn a_truncated_list_is_held_back_unless_it_changes_nothing() {
    let mut harness = Harness::new(None, vec![ready_list("six", &SIX)]);
    let mut seven = SIX.to_vec();
    seven.push(("c0", 0));
    let truncated = FileList { ragged: true, ..(*ready_list("truncated", &seven)).clone() };
    harness.handle(1.0, Input::File(0, Arc::new(truncated)));
    assert_eq!(harness.hold_reason(), Some(HoldReason::TruncatedMidLine));
    assert_eq!(harness.endpoint_count(), 6);
    let unchanged = FileList { ragged: true, ..(*ready_list("unchanged", &SIX)).clone() };
    harness.handle(2.0, Input::File(0, Arc::new(unchanged)));
    assert!(harness.list_was_applied());
}

#[test]
fn discovery_takes_effect_at_once_and_files_do_not_bring_back_what_it_removed() {
    let complete = |names: &[&str]| EndpointList {
        generation: 5,
        complete: true,
        entries: names.iter().map(|name| entry(name, 0, EndpointState::Ready)).collect(),
    };
    let mut harness = Harness::new(Some(complete(&["a0", "b0"])), vec![ready_list("six", &SIX)]);
    let address = harness.registry.endpoint("a0").map(|merged| merged.entry.address.to_string());
    assert_eq!(address, Some("a0:9".into()), "discovery's address");
    // Discovery removes all it had: that takes effect, and the files do not bring it back.
    harness.handle(1.0, Input::Discovery(complete(&[])));
    assert_eq!((harness.state("a0"), harness.state("b0")), (None, None));
    assert_eq!(harness.endpoint_count(), 4, "endpoints that discovery never named stay");
    harness.handle(2.0, Input::File(0, ready_list("again", &[SIX[0], SIX[2], SIX[3], SIX[4], SIX[5]])));
    assert_eq!(harness.state("a0"), None);
    // An endpoint is back when discovery lists it, and still draining if the file states so.
    let draining =
        SIX.map(|(name, cell)| record(name, cell, (name == "a0").then_some(EndpointState::Draining)));
    harness.handle(3.0, Input::File(0, list("drained", draining.to_vec())));
    let back =
        EndpointList { generation: 6, complete: false, entries: vec![entry("a0", 0, EndpointState::Ready)] };
    harness.handle(4.0, Input::Discovery(back));
    assert_eq!(harness.state("a0"), Some(EndpointState::Draining));
    let provenance = &harness.registry.endpoint("a0").expect("listed").provenance;
    let state_origin = provenance.of(FieldName::State).expect("stated");
    assert_eq!((state_origin.source, state_origin.location.line), (SourceId::File(0), 7));
    let address_origin = provenance.of(FieldName::Address).expect("stated");
    assert_eq!(address_origin.source, SourceId::Discovery);
}

#[test]
fn discovery_as_the_only_source_is_passed_on_unchanged() {
    let update =
        EndpointList { generation: 9, complete: true, entries: vec![entry("x", 1, EndpointState::Ready)] };
    let known = EndpointList { complete: true, ..EndpointList::default() };
    let mut harness = Harness::new(Some(known), vec![]);
    let outputs = harness.handle(1.0, Input::Discovery(update.clone()));
    let [Output::Audit(AuditEvent::DiscoveryApplied { .. }), Output::List(passed_on)] = outputs else {
        panic!("{outputs:?}");
    };
    assert!(passed_on.complete);
    assert_eq!(passed_on.generation, 9);
    assert_eq!(passed_on.entries, update.entries);
}

#[test]
fn a_partial_file_drains_endpoints_but_adds_none() {
    let mut partial = (*list("d", vec![])).clone();
    partial.partial = true;
    let mut harness = Harness::new(None, vec![ready_list("six", &SIX), Arc::new(partial.clone())]);
    let draining = |name: &str| EndpointRecord {
        state: sourced(EndpointState::Draining),
        ..EndpointRecord::named(name, SourceLocation::default())
    };
    partial.records = vec![draining("a1"), draining("nobody")];
    partial.digest = "d2".into();
    harness.handle(1.0, Input::File(1, Arc::new(partial.clone())));
    assert_eq!((harness.state("a1"), harness.state("nobody")), (Some(EndpointState::Draining), None));
    // Empty again: it removes no endpoint, so it is not held back.
    partial.records = vec![];
    partial.digest = "d3".into();
    harness.handle(2.0, Input::File(1, Arc::new(partial)));
    assert!(harness.list_was_applied());
    assert_eq!(harness.state("a1"), Some(EndpointState::Ready));
}

#[test]
fn a_list_with_a_cell_out_of_range_is_rejected() {
    let mut harness = Harness::new(None, vec![ready_list("six", &SIX)]);
    harness.handle(3.0, Input::File(0, ready_list("far", &[("a0", 99_999)])));
    let names_the_cell = |output: &Output| match output {
        Output::Audit(AuditEvent::ListRejected { problem, .. }) => problem.contains("n.csv:7: a0.cell"),
        _ => false,
    };
    assert!(harness.outputs.iter().any(names_the_cell), "{:?}", harness.outputs);
    assert_eq!(harness.endpoint_count(), 6);
}

#[test]
fn history_gives_the_difference_between_any_two_versions_and_is_bounded() {
    let mut harness = Harness::new(None, vec![ready_list("1", &SIX)]);
    let second = [SIX[0], SIX[1], SIX[2], SIX[3], SIX[4], SIX[5], ("c1", 1)];
    harness.handle(1.0, Input::File(0, ready_list("2", &second)));
    let third = [SIX[1], SIX[2], SIX[3], SIX[4], SIX[5], ("c1", 2)];
    harness.handle(2.0, Input::File(0, ready_list("3", &third)));
    let difference = |from, to| {
        let changes = harness.registry.history().between(from, to)?;
        Some(Difference::of(changes.values()))
    };
    assert_eq!(difference(1, 2), Some(Difference { added: 1, ..Default::default() }));
    assert_eq!(difference(2, 3), Some(Difference { gone: 1, changed: 1, ..Default::default() }));
    assert_eq!(difference(1, 3), Some(Difference { added: 1, gone: 1, ..Default::default() }));
    assert_eq!(difference(3, 3), Some(Difference::default()));
    assert_eq!(difference(1, 4), None);
    for i in 0..500 {
        let name = format!("v{i}");
        let next = [SIX[1], SIX[2], SIX[3], SIX[4], SIX[5], (&*name, 0)];
        harness.handle(3.0, Input::File(0, ready_list(&name, &next)));
    }
    assert!(harness.registry.history().versions().count() <= 64);
    assert_eq!(harness.registry.history().between(1, 2), None);
}

#[test]
fn two_endpoints_of_two_files_at_one_address_are_reported() {
    let twin = EndpointRecord { address: sourced("a0:1".into()), ..record("twin", 0, None) };
    let harness = Harness::new(None, vec![ready_list("six", &SIX), list("t", vec![twin])]);
    let reports_twin = |output: &Output| match output {
        Output::Audit(AuditEvent::SharedAddress { name, .. }) => &**name == "twin",
        _ => false,
    };
    assert!(harness.outputs.iter().any(reports_twin));
}

// ---- Precedence, against a model that keeps the last statement of each source and asks all of them each time ------

/// What discovery states about an endpoint, or a file about its state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StatedState {
    Ready,
    Draining,
    Absent,
}

fn stated_state() -> impl Strategy<Value = StatedState> {
    prop_oneof![Just(StatedState::Ready), Just(StatedState::Draining), Just(StatedState::Absent)]
}

/// What a file states about an endpoint.
#[derive(Clone, Copy, Debug)]
struct FileRow {
    cell: Option<u8>,
    weight: Option<u8>,
    state: StatedState,
}

/// An update of a source; endpoints are numbered.
#[derive(Clone, Debug)]
enum Update {
    /// An absent state is a removal.
    Discovery { complete: bool, rows: BTreeMap<u8, StatedState> },
    /// An absent state states nothing.
    File { file: u8, rows: BTreeMap<u8, FileRow> },
}

fn updates() -> impl Strategy<Value = Vec<Update>> {
    let discovery = (any::<bool>(), prop::collection::vec((0..5u8, stated_state()), 0..4))
        .prop_map(|(complete, rows)| Update::Discovery { complete, rows: rows.into_iter().collect() });
    let row = (prop::option::of(0..3u8), prop::option::of(0..4u8), stated_state())
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

/// The last statement of each source, and what discovery removed.
#[derive(Default)]
struct Model {
    discovery: BTreeMap<u8, StatedState>,
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
                    missing.into_iter().for_each(|number| self.remove(number));
                }
                for (number, state) in rows {
                    self.removed.retain(|removed| removed != number);
                    if *state == StatedState::Absent {
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
        let cell_of_files = rows.iter().rev().find_map(|row| row.cell).map(u32::from);
        let weight_of_files = rows.iter().rev().find_map(|row| row.weight).map(f64::from);
        Some(Expected {
            cell: discovered.map(|_| 1).or(cell_of_files)?,
            weight: discovered.map(|_| 1.0).or(weight_of_files).unwrap_or(1.0),
            draining: discovered == Some(&StatedState::Draining)
                || rows.iter().any(|row| row.state == StatedState::Draining),
        })
    }
}

fn discovery_input(generation: u64, complete: bool, rows: &BTreeMap<u8, StatedState>) -> Input {
    let entries = rows.iter().map(|(number, state)| {
        let state = match state {
            StatedState::Ready => EndpointState::Ready,
            StatedState::Draining => EndpointState::Draining,
            StatedState::Absent => EndpointState::Gone,
        };
        entry(&endpoint_name(*number), 1, state)
    });
    Input::Discovery(EndpointList { generation, complete, entries: entries.collect() })
}

fn file_input(digest: &str, file: u8, rows: &BTreeMap<u8, FileRow>) -> Input {
    let records = rows.iter().map(|(number, row)| EndpointRecord {
        cell: row.cell.map(u32::from).and_then(sourced),
        weight: row.weight.map(f64::from).and_then(sourced),
        state: match row.state {
            StatedState::Ready => sourced(EndpointState::Ready),
            StatedState::Draining => sourced(EndpointState::Draining),
            StatedState::Absent => None,
        },
        ..record(&endpoint_name(*number), 0, None)
    });
    Input::File(u16::from(file), list(digest, records.collect()))
}

/// Carries out the lists among some outputs, as the aggregator does.
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
        // A guard that holds back only empty lists, and confirms them at once.
        let guard = GuardSettings { most_lost: 1.0, confirm_after: Some(0.0) };
        let empty = || list("empty", vec![]);
        let mut harness =
            Harness::with_guard(guard, Some(EndpointList::default()), vec![empty(), empty()]);
        let mut model = Model::default();
        let mut aggregator: BTreeMap<Arc<str>, Endpoint> = BTreeMap::new();
        for (step, update) in updates.into_iter().enumerate() {
            model.update(&update);
            let input = match &update {
                Update::Discovery { complete, rows } => discovery_input(step as u64, *complete, rows),
                Update::File { file, rows } => file_input(&format!("d{step}"), *file, rows),
            };
            let mut outputs = Vec::new();
            harness.registry.handle(step as Millis, input, &mut outputs);
            harness.registry.handle(step as Millis, Input::TimerFired, &mut outputs);
            apply_lists(&mut aggregator, outputs);
            for number in 0..5u8 {
                let name = endpoint_name(number);
                let expected = model.endpoint(number);
                let merged = harness.registry.endpoint(&name).map(|merged| Expected::of(&merged.entry));
                prop_assert_eq!(merged, expected, "{} after step {}", name, step);
                let received = aggregator.get(name.as_str()).map(Expected::of);
                prop_assert_eq!(received, expected, "the aggregator's {} after step {}", name, step);
            }
        }
    }
}
