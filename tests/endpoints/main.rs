//! Tests of the endpoint registry: the guard, discovery compared with files, history, and precedence.

mod harness;
mod precedence;

use harness::{Harness, SIX, entry, list, located, ready_list, record};
use sailmux::endpoints::*;
use std::sync::Arc;

#[test]
fn a_list_that_removes_too_many_endpoints_is_held_back_except_for_its_draining_states() {
    type Case = (&'static str, &'static [(&'static str, u32)], HoldReason);
    let cases: [Case; 3] = [
        ("empty", &[], HoldReason::Empty),
        ("share", &[("a0", 0), ("a1", 1), ("a2", 2)], HoldReason::TooManyRemoved { removed: 3, total: 6 }),
        // Removing a single endpoint is allowed, unless it is the last one of a shard.
        (
            "shard",
            &[("a0", 0), ("b0", 0), ("a1", 1), ("b1", 1), ("a2", 2)],
            HoldReason::ShardWithoutReadyEndpoint(2),
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
        assert_eq!(harness.endpoint_count(), 6, "{digest}: the applied list stays in effect");
        if digest != "empty" {
            let draining = Some(EndpointState::Draining);
            assert_eq!(harness.state("a0"), draining, "{digest}: the draining state takes effect");
            let sends_one_change =
                |output: &Output| matches!(output, Output::List(list) if list.entries.len() == 1);
            assert!(harness.outputs.iter().any(sends_one_change));
        }
        // A confirmation of another list has no effect; a confirmation of this list applies it.
        harness.handle(3.0, Input::FileConfirmed(0, "other".into()));
        assert_eq!(harness.endpoint_count(), 6);
        harness.handle(4.0, Input::FileConfirmed(0, digest.into()));
        assert!(harness.list_was_applied(), "{digest}");
        assert_eq!(harness.endpoint_count(), endpoints.len());
    }
}

#[test]
fn draining_states_take_effect_even_if_a_shard_has_no_ready_endpoint_left() {
    let mut harness = Harness::new(None, vec![ready_list("six", &SIX)]);
    let all_draining = SIX.map(|(name, cell)| record(name, cell, Some(EndpointState::Draining)));
    harness.handle(1.0, Input::File(0, list("drained", all_draining.to_vec())));
    assert!(harness.list_was_applied());
    assert!(SIX.iter().all(|(name, _)| harness.state(name) == Some(EndpointState::Draining)));
}

#[test]
fn a_held_back_list_is_applied_after_confirm_after_and_withdrawn_when_the_file_is_restored() {
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
    assert_eq!(
        harness.state("a0"),
        Some(EndpointState::Ready),
        "the draining state is withdrawn with the list"
    );
    harness.handle(1100.0, Input::TimerFired);
    assert_eq!(harness.endpoint_count(), 6, "the time is measured from when the list was last held back");
    harness.handle(1200.0, Input::File(0, short.clone()));
    harness.handle(1900.0, Input::File(0, short));
    harness.handle(2199.0, Input::TimerFired);
    assert_eq!(harness.endpoint_count(), 6);
    harness.handle(2200.0, Input::TimerFired);
    assert_eq!(harness.endpoint_count(), 1);
}

#[test]
fn a_truncated_list_is_held_back_only_if_it_changes_an_endpoint() {
    let mut harness = Harness::new(None, vec![ready_list("six", &SIX)]);
    let mut seven = SIX.to_vec();
    seven.push(("c0", 0));
    let truncated = FileList { truncated_mid_line: true, ..(*ready_list("truncated", &seven)).clone() };
    harness.handle(1.0, Input::File(0, Arc::new(truncated)));
    assert_eq!(harness.hold_reason(), Some(HoldReason::TruncatedMidLine));
    assert_eq!(harness.endpoint_count(), 6);
    let unchanged = FileList { truncated_mid_line: true, ..(*ready_list("unchanged", &SIX)).clone() };
    harness.handle(2.0, Input::File(0, Arc::new(unchanged)));
    assert!(harness.list_was_applied());
}

#[test]
fn discovery_takes_effect_immediately_and_files_do_not_restore_endpoints_it_removed() {
    let complete = |names: &[&str]| EndpointList {
        generation: 5,
        complete: true,
        entries: names.iter().map(|name| entry(name, 0, EndpointState::Ready)).collect(),
    };
    let mut harness = Harness::new(Some(complete(&["a0", "b0"])), vec![ready_list("six", &SIX)]);
    let address = harness.registry.endpoint("a0").map(|merged| merged.endpoint.address.to_string());
    assert_eq!(address, Some("a0:9".into()), "the address from discovery takes precedence");
    // Discovery removes all its endpoints: that takes effect, and the files do not restore them.
    harness.handle(1.0, Input::Discovery(complete(&[])));
    assert_eq!((harness.state("a0"), harness.state("b0")), (None, None));
    assert_eq!(harness.endpoint_count(), 4, "endpoints that discovery never listed remain");
    harness.handle(2.0, Input::File(0, ready_list("again", &[SIX[0], SIX[2], SIX[3], SIX[4], SIX[5]])));
    assert_eq!(harness.state("a0"), None);
    // The endpoint is restored when discovery lists it again, as draining because the file lists it as draining.
    let draining =
        SIX.map(|(name, cell)| record(name, cell, (name == "a0").then_some(EndpointState::Draining)));
    harness.handle(3.0, Input::File(0, list("drained", draining.to_vec())));
    let relisted =
        EndpointList { generation: 6, complete: false, entries: vec![entry("a0", 0, EndpointState::Ready)] };
    harness.handle(4.0, Input::Discovery(relisted));
    assert_eq!(harness.state("a0"), Some(EndpointState::Draining));
    let provenance = &harness.registry.endpoint("a0").expect("the endpoint exists").provenance;
    let state_origin = provenance.of(FieldName::State).expect("the state has an origin");
    assert_eq!((state_origin.source, state_origin.location.line), (SourceId::File(0), 7));
    let address_origin = provenance.of(FieldName::Address).expect("the address has an origin");
    assert_eq!(address_origin.source, SourceId::Discovery);
}

#[test]
fn lists_of_discovery_as_the_only_source_are_forwarded_unchanged() {
    let update =
        EndpointList { generation: 9, complete: true, entries: vec![entry("x", 1, EndpointState::Ready)] };
    let known = EndpointList { complete: true, ..EndpointList::default() };
    let mut harness = Harness::new(Some(known), vec![]);
    let outputs = harness.handle(1.0, Input::Discovery(update.clone()));
    let [Output::Audit(AuditEvent::DiscoveryApplied { .. }), Output::List(forwarded)] = outputs else {
        panic!("{outputs:?}");
    };
    assert!(forwarded.complete);
    assert_eq!(forwarded.generation, 9);
    assert_eq!(forwarded.entries, update.entries);
}

#[test]
fn a_partial_file_drains_endpoints_but_adds_none() {
    let mut partial = (*list("d", vec![])).clone();
    partial.partial = true;
    let mut harness = Harness::new(None, vec![ready_list("six", &SIX), Arc::new(partial.clone())]);
    let draining = |name: &str| EndpointRecord {
        state: located(EndpointState::Draining),
        ..EndpointRecord::new(name, SourceLocation::default())
    };
    partial.records = vec![draining("a1"), draining("unlisted")];
    partial.digest = "d2".into();
    harness.handle(1.0, Input::File(1, Arc::new(partial.clone())));
    assert_eq!((harness.state("a1"), harness.state("unlisted")), (Some(EndpointState::Draining), None));
    // An empty partial list removes no endpoint, so it is not held back.
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
    let reports_the_cell = |output: &Output| match output {
        Output::Audit(AuditEvent::ListRejected { problem, .. }) => problem.contains("n.csv:7: a0.cell"),
        _ => false,
    };
    assert!(harness.outputs.iter().any(reports_the_cell), "{:?}", harness.outputs);
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
    assert_eq!(difference(2, 3), Some(Difference { removed: 1, changed: 1, ..Default::default() }));
    assert_eq!(difference(1, 3), Some(Difference { added: 1, removed: 1, ..Default::default() }));
    assert_eq!(difference(3, 3), Some(Difference::default()));
    assert_eq!(difference(1, 4), None);
    for number in 0..500 {
        let name = format!("v{number}");
        let next = [SIX[1], SIX[2], SIX[3], SIX[4], SIX[5], (&*name, 0)];
        harness.handle(3.0, Input::File(0, ready_list(&name, &next)));
    }
    assert!(harness.registry.history().versions().count() <= 64);
    assert_eq!(harness.registry.history().between(1, 2), None);
}

#[test]
fn an_address_shared_by_endpoints_of_two_files_is_reported() {
    let duplicate = EndpointRecord { address: located("a0:1".into()), ..record("duplicate", 0, None) };
    let harness = Harness::new(None, vec![ready_list("six", &SIX), list("t", vec![duplicate])]);
    let reports_duplicate = |output: &Output| match output {
        Output::Audit(AuditEvent::SharedAddress { name, .. }) => &**name == "duplicate",
        _ => false,
    };
    assert!(harness.outputs.iter().any(reports_duplicate));
}
