//! Power of two choices: the less loaded of two sampled replicas is selected, with ties broken at random.

use crate::harness::*;
use sailmux::balancer::*;

/// Of two replicas, the one with more parts in flight is never selected.
#[test]
fn the_less_loaded_of_two_replicas_is_selected() {
    for seed in 0..50 {
        let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, seed);
        harness.list_replicas(2);
        let first = harness.select_replica(1.0, 0);
        let second = harness.select_replica(2.0, 0);
        assert_ne!(first, second, "the busier replica was selected, or one replica was drawn twice");
    }
}

/// Without any statistics, each of three replicas is selected about equally often.
#[test]
fn equally_loaded_replicas_are_selected_evenly() {
    let mut selections = [0u32; 3];
    for seed in 0..600 {
        let mut harness = Harness::new(settings(), seed);
        harness.list_replicas(3);
        selections[harness.select_replica(1.0, 0).0 as usize] += 1;
    }
    assert!(selections.iter().all(|n| (150..250).contains(n)), "{selections:?}");
}

/// Parts in one call count as one request: a replica with more parts in its call ties with another replica.
#[test]
fn parts_sharing_one_call_count_as_one_request() {
    let mut busier_selected = 0;
    let mut trials = 0;
    for seed in 0..300 {
        let shared = Settings { parts_per_call: 8, cells: 2, width: 1, ..settings() };
        let mut harness = Harness::new(shared, seed);
        let twin = |i: u32| ReplicaEntry { replica: ReplicaId(i), ..entry(0) };
        let others = (2..9).map(|i| ReplicaEntry { replica: ReplicaId(i), ..entry(1) });
        let entries = [twin(0), twin(1)].into_iter().chain(others).collect();
        harness.handle(0.0, Event::EndpointList { complete: true, entries });
        harness.query(1.0, &[0, 0, 0]);
        let parts_on = |id: u32, harness: &Harness| {
            harness.sends.iter().filter(|sent| sent.replica == ReplicaId(id)).count()
        };
        let on_first = parts_on(0, &harness);
        let on_second = parts_on(1, &harness);
        if on_first != on_second && on_first > 0 && on_second > 0 {
            trials += 1;
            let busier = ReplicaId(u32::from(on_second > on_first));
            busier_selected += u32::from(harness.select_replica(2.0, 0) == busier);
        }
    }
    assert!(trials > 50, "{trials}");
    assert!(
        busier_selected * 4 > trials && busier_selected * 4 < trials * 3,
        "{busier_selected} of {trials}"
    );
}

/// A shard's only replica that is not an outlier still loses to an outlier once it has far more parts in flight.
#[test]
fn a_single_healthy_replica_does_not_get_all_parts() {
    let mut harness = Harness::new(Settings { hedging_allowed: false, ..settings() }, 5);
    harness.list_replicas(3);
    harness.warm_up(20_000.0, 50.0);
    harness.run_timer(20_000.0, 20_020.0);
    // Two replicas stall for eight times the usual latency of a part.
    let mut stalled_parts = vec![];
    while stalled_parts.len() < 2 {
        let (part, replica) = harness.query_one_shard(20_020.0, 0);
        match replica {
            ReplicaId(0) => harness.end_attempt(20_021.0, part, 0, Outcome::Ok, 50.0),
            _ => stalled_parts.push(part),
        }
    }
    harness.run_timer(20_020.0, 20_420.0);
    let to: Vec<ReplicaId> = (0..60).map(|_| harness.select_replica(20_420.0, 0)).collect();
    let healthy_count = to.iter().filter(|r| **r == ReplicaId(0)).count();
    assert!(
        (20..50).contains(&healthy_count),
        "{healthy_count} of 60 parts were sent to the healthy replica"
    );
}
