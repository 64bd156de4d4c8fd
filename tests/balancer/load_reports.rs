//! Load reports: which count for the selection, and how much.

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

/// Load reports that do not predict the latency of the next part must not decide the selection; those that do must.
#[test]
fn load_reports_count_as_far_as_they_predict_latency() {
    for reports_predict in [false, true] {
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
                let elapsed = if reports_predict { 10.0 * (1.0 + queues[replica.0 as usize]) } else { 20.0 };
                harness.end_attempt(now + 2.0 + elapsed, part, 0, Outcome::Ok, elapsed);
            }
            harness.actions.clear();
        }
        assert_eq!(
            reports_predict,
            split < 700,
            "reports that predict: {reports_predict}, parts on both replicas {split} of 1000 times"
        );
        assert!(reports_predict || split > 900, "{split} of 1000");
    }
}

/// A load report that is negative or not a finite number is ignored.
#[test]
fn invalid_load_reports_are_ignored() {
    for senseless in [f64::NAN, f64::INFINITY, -7.0] {
        let mut firsts = [0u32; 2];
        for seed in 0..60 {
            let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, seed);
            harness.list_replicas(2);
            harness.report_queue(1.0, 0, senseless);
            harness.report_queue(1.0, 1, 0.0);
            firsts[harness.select_replica(2.0, 0).0 as usize] += 1;
        }
        assert!(firsts.iter().all(|n| *n > 10), "{senseless}: {firsts:?}");
    }
}

/// Where replicas report only their utilization, the selection follows that.
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
        assert_eq!(harness.select_replica(4.0, 0), ReplicaId(1), "an invalid value is ignored");
    }
}

/// An inline load report that is old is renewed by a health check where those are allowed.
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
        "after failures, with reports long old, the sampled replicas are checked"
    );
}
