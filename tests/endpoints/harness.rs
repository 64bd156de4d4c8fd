//! Test harness: a registry with its last outputs, and constructors of lists and records.

use sailmux::endpoints::*;
use std::sync::Arc;

const LAYOUT: ShardLayout = ShardLayout { cells: 3, width: 1 };
const LOCATION: SourceLocation = SourceLocation { file: 0, line: 7 };

pub fn located<T>(value: T) -> Option<Located<T>> {
    Some(Located { value, location: LOCATION })
}

pub fn record(name: &str, cell: u32, state: Option<EndpointState>) -> EndpointRecord {
    EndpointRecord {
        address: located(format!("{name}:1").into()),
        cell: located(cell),
        state: state.and_then(located),
        ..EndpointRecord::new(name, LOCATION)
    }
}

pub fn list(digest: &str, mut records: Vec<EndpointRecord>) -> Arc<FileList> {
    records.sort_by(|left, right| left.name.cmp(&right.name));
    Arc::new(FileList { records, digest: digest.into(), files: vec!["n.csv".into()], ..FileList::default() })
}

/// A list of ready endpoints, each given as name and cell.
pub fn ready_list(digest: &str, endpoints: &[(&str, u32)]) -> Arc<FileList> {
    list(digest, endpoints.iter().map(|(name, cell)| record(name, *cell, None)).collect())
}

/// Six endpoints as name and cell: two in each of the three cells.
pub const SIX: [(&str, u32); 6] = [("a0", 0), ("b0", 0), ("a1", 1), ("b1", 1), ("a2", 2), ("b2", 2)];

/// A registry under test, with the outputs of its last input.
pub struct Harness {
    pub registry: EndpointRegistry,
    pub outputs: Vec<Output>,
}

impl Harness {
    pub fn new(initial_list: Option<EndpointList>, files: Vec<Arc<FileList>>) -> Self {
        Self::with_guard(GuardSettings::default(), initial_list, files)
    }

    pub fn with_guard(
        guard: GuardSettings,
        initial_list: Option<EndpointList>,
        files: Vec<Arc<FileList>>,
    ) -> Self {
        let mut harness = Harness { registry: EndpointRegistry::new(LAYOUT, guard), outputs: Vec::new() };
        harness.handle(0.0, Input::Started { initial_list, files });
        harness
    }

    pub fn handle(&mut self, now: Millis, input: Input) -> &[Output] {
        self.outputs.clear();
        self.registry.handle(now, input, &mut self.outputs);
        &self.outputs
    }

    pub fn endpoint_count(&self) -> usize {
        self.registry.endpoints().len()
    }

    pub fn state(&self, name: &str) -> Option<EndpointState> {
        self.registry.endpoint(name).map(|merged| merged.endpoint.state)
    }

    pub fn hold_reason(&self) -> Option<HoldReason> {
        self.outputs.iter().find_map(|output| match output {
            Output::Audit(AuditEvent::ListHeldBack { reason, .. }) => Some(*reason),
            _ => None,
        })
    }

    pub fn list_was_applied(&self) -> bool {
        self.outputs.iter().any(|output| matches!(output, Output::Audit(AuditEvent::ListApplied { .. })))
    }
}

pub fn entry(name: &str, cell: u32, state: EndpointState) -> Endpoint {
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
