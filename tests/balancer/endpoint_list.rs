//! The endpoint list: draining replicas, and the watch if the list has to be requested.

use crate::harness::*;
use sailmux::balancer::*;

#[test]
fn draining_replicas_get_no_new_part_even_if_no_other_is_left() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    for i in 0..3 {
        harness.update_replica(1.0, ReplicaEntry { state: ReplicaState::Draining, ..entry(i) });
    }
    let (query, _) = harness.query(2.0, &[0]);
    harness.run_timer(2.0, 1600.0);
    assert!(harness.sends.is_empty());
    assert!(harness.is_rejected(query));
}

/// A list that has to be polled is requested even if an initial list was applied, and again after a failure.
#[test]
fn a_polled_list_is_watched_once_and_again_after_a_failure() {
    let mut harness = Harness::new(Settings { discovery_is_polled: true, ..settings() }, 1);
    harness.list_replicas(3);
    harness.run_timer(0.0, 100.0);
    assert_eq!(harness.actions.iter().filter(|a| **a == Action::WatchEndpoints).count(), 1);
    harness.handle(200.0, Event::EndpointList { complete: false, entries: vec![] });
    harness.run_timer(200.0, 30_000.0);
    assert_eq!(
        harness.actions.iter().filter(|a| **a == Action::WatchEndpoints).count(),
        1,
        "the watch stays open"
    );
    harness.handle(30_000.0, Event::EndpointListFailed);
    harness.run_timer(30_000.0, 40_000.0);
    assert!(harness.actions.iter().filter(|a| **a == Action::WatchEndpoints).count() >= 2);
}

/// A watch that always fails does not stop service. It is requested again with backoff, and within the configured poll
/// interval.
#[test]
fn a_failing_watch_is_retried_with_backoff_and_does_not_stop_service() {
    let mut harness = Harness::new(Settings { discovery_is_polled: true, ..settings() }, 1);
    harness.list_replicas(3);
    let mut requested_at = vec![];
    let mut previous_count = 0;
    for step in 0..3000 {
        let now = 20.0 * f64::from(step);
        harness.handle(now, Event::Timer);
        let request_count = harness.actions.iter().filter(|a| **a == Action::WatchEndpoints).count();
        if request_count > previous_count {
            previous_count = request_count;
            requested_at.push(now);
            harness.handle(now + 5.0, Event::EndpointListFailed);
        }
    }
    assert!(requested_at.len() < 60, "{} requests in a minute", requested_at.len());
    let longest = requested_at.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
    assert!(longest < 10_000.0, "{longest} ms without a request");
    harness.select_replica(60_100.0, 0);
}
