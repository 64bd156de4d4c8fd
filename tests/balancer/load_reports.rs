//! Load reports: which reports affect the selection, and how much.

use crate::harness::*;
use sailmux::balancer::*;

/// A replica that reports a long queue is not selected.
#[test]
fn a_long_reported_queue_prevents_selection() {
    for seed in 0..50 {
        let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, seed);
        harness.list_replicas(2);
        harness.report_queue(1.0, 0, 5.0);
        harness.report_queue(1.0, 1, 0.0);
        assert_eq!(harness.select_replica(2.0, 0), ReplicaId(1));
    }
}

/// Load reports affect the selection only if they predict latency: uncorrelated reports must not decide it, and
/// correlated ones must.
#[test]
fn load_reports_affect_selection_if_they_predict_latency() {
    for are_predictive in [false, true] {
        let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, 7);
        harness.list_replicas(2);
        let mut random = 88_172_645_463_325_252_u64;
        let mut split = 0;
        for i in 0..3000u32 {
            let now = 1.0 + 100.0 * f64::from(i);
            let queues = [(); 2].map(|()| {
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                (random % 9) as f64
            });
            (0..).zip(queues).for_each(|(replica, queue)| harness.report_queue(now, replica, queue));
            // The second part is sent while the first one is in flight.
            let parts = [1.0, 2.0].map(|after| harness.query_one_shard(now + after, 0));
            split += u32::from(i >= 2000 && parts[0].1 != parts[1].1);
            for (part, replica) in parts {
                let elapsed = if are_predictive { 10.0 * (1.0 + queues[replica.0 as usize]) } else { 20.0 };
                harness.end_attempt(now + 2.0 + elapsed, part, 0, Outcome::Ok, elapsed);
            }
            harness.actions.clear();
        }
        assert_eq!(
            are_predictive,
            split < 700,
            "predictive reports: {are_predictive}, parts on both replicas {split} of 1000 times"
        );
        assert!(are_predictive || split > 900, "{split} of 1000");
    }
}

/// A load report that is negative or not a finite number is ignored.
#[test]
fn invalid_load_reports_are_ignored() {
    for invalid in [f64::NAN, f64::INFINITY, -7.0] {
        let mut selections = [0u32; 2];
        for seed in 0..60 {
            let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, seed);
            harness.list_replicas(2);
            harness.report_queue(1.0, 0, invalid);
            harness.report_queue(1.0, 1, 0.0);
            selections[harness.select_replica(2.0, 0).0 as usize] += 1;
        }
        assert!(selections.iter().all(|n| *n > 10), "{invalid}: {selections:?}");
    }
}

/// If replicas report only their utilization, the selection uses it.
#[test]
fn reported_utilization_replaces_a_missing_queue() {
    for seed in 0..40 {
        let mut harness =
            Harness::new(Settings { cells: 2, width: 2, health_checks_allowed: false, ..settings() }, seed);
        harness.list_replicas(2);
        let reported = |utilization: f64, id: u32| Event::HealthCheckEnded {
            replica: ReplicaId(id),
            outcome: Outcome::Ok,
            elapsed: 1.0,
            report: Some(LoadReport { utilization: Some(utilization), ..LoadReport::default() }),
        };
        harness.handle(1.0, reported(0.95, 0));
        harness.handle(1.0, reported(0.2, 1));
        assert_eq!(harness.select_replica(2.0, 0), ReplicaId(1));
        harness.handle(3.0, reported(f64::NAN, 1));
        harness.handle(3.0, reported(-1.0, 1));
        assert_eq!(harness.select_replica(4.0, 0), ReplicaId(1), "invalid values are ignored");
    }
}

/// A stale inline load report is renewed by a health check if health checks are allowed.
#[test]
fn stale_inline_load_reports_are_renewed_by_health_checks() {
    let mut harness =
        Harness::new(Settings { load_report_mode: LoadReportMode::Inline, cells: 6, ..settings() }, 1);
    harness.list_replicas(6);
    for i in 0..60 {
        harness.query(100.0 * f64::from(i), &[0]);
        harness.end_all(100.0 * f64::from(i) + 40.0, Outcome::Error, 40.0);
    }
    let checked = harness.health_checks.len();
    harness.query(60_000.0, &[0]);
    assert!(
        harness.health_checks.len() > checked,
        "after failures, with stale reports, the sampled replicas are checked"
    );
}
