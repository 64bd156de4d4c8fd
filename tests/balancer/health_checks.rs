//! Health checks: when replicas are checked before a part is sent, and what a check proves.

use crate::harness::*;
use sailmux::balancer::*;

/// A health check whose price is more than a better choice saves is never sent, however bad the times; a cheap one is.
#[test]
fn health_checks_that_cost_more_than_they_save_are_not_sent() {
    for (price, expected) in [(0.01, true), (0.08, false)] {
        let mut sent = 0;
        for seed in 0..20 {
            let mut harness = Harness::new(Settings { health_check_cost: price, ..settings() }, seed);
            harness.list_replicas(3);
            for i in 0..20u32 {
                let now = 1.0 + 50.0 * f64::from(i);
                let (part, _) = harness.query_one_shard(now, 0);
                harness.end_attempt(now + 40.0, part, 0, Outcome::Error, 40.0);
            }
            sent += harness.health_checks.len();
        }
        assert_eq!(sent > 0, expected, "{sent} health checks at a price of {price}");
    }
}

/// Where reports come by health checks and things go badly, the two drawn are asked before the part goes.
#[test]
fn sampled_replicas_are_checked_before_a_part_is_sent() {
    let mut harness = Harness::new(settings(), 3);
    harness.list_replicas(3);
    for i in 0..40 {
        harness.query(50.0 * f64::from(i), &[0]);
        harness.end_all(50.0 * f64::from(i) + 40.0, Outcome::Error, 40.0);
    }
    harness.run_timer(2000.0, 40_000.0);
    harness.unresponsive = vec![ReplicaId(0), ReplicaId(1), ReplicaId(2)];
    let (sent, asked) = (harness.sends.len(), harness.health_checks.len());
    harness.query(40_000.0, &[0]);
    assert_eq!(
        (harness.sends.len(), harness.health_checks.len()),
        (sent, asked + 2),
        "two health checks, no part yet"
    );
    harness.report_queue(40_002.0, harness.health_checks[asked].0, 0.0);
    harness.report_queue(40_003.0, harness.health_checks[asked + 1].0, 9.0);
    assert_eq!(
        harness.sends[sent].replica, harness.health_checks[asked],
        "sent as soon as both have told, to the less busy"
    );
}

/// A silent health check holds a part back only for so long, and speaks against its server.
#[test]
fn an_unanswered_health_check_delays_a_part_only_briefly() {
    let mut answered = 0;
    for seed in 0..20 {
        let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, seed);
        harness.list_replicas(2);
        harness.warm_up(20_000.0, 1000.0); // so slow that every query looks
        harness.run_timer(21_000.0, 40_000.0);
        harness.unresponsive = vec![ReplicaId(0)];
        let sent = harness.sends.len();
        harness.query(40_000.0, &[0]);
        harness.run_timer(40_000.0, 40_300.0);
        assert_eq!(harness.sends.len(), sent + 1);
        answered += u32::from(harness.sends[sent].replica == ReplicaId(1));
    }
    assert_eq!(answered, 20, "{answered} of 20 parts went to the one that answered its health check");
}

/// A server that reports less than it holds is betrayed by its own health check, which waited.
#[test]
fn a_slow_health_check_outweighs_a_low_load_report() {
    for seed in 0..40 {
        let mut harness = Harness::new(Settings { cells: 2, width: 2, ..settings() }, seed);
        harness.list_replicas(2);
        let told = |took: f64, queue: f64, id: u32| Event::HealthCheckEnded {
            replica: ReplicaId(id),
            outcome: Outcome::Ok,
            elapsed: took,
            report: Some(LoadReport { queue: Some(queue), ..LoadReport::default() }),
        };
        (0..10).for_each(|_| harness.handle(1.0, told(1.0, 1.0, 1)));
        harness.run_timer(1.0, 50.0);
        harness.handle(60.0, told(1000.0, 0.0, 0));
        harness.handle(60.0, told(1.0, 1.0, 1));
        assert_eq!(harness.select_replica(61.0, 0), ReplicaId(1));
    }
}

/// When health checks tell that a part's holders cannot serve it in time, the query ends before it is work. An aggregator
/// anew for each look: what parts did is forgotten within seconds, and one false report takes reports' credit.
#[test]
fn a_query_is_rejected_unsent_when_health_checks_show_its_replicas_too_slow() {
    let (mut asked, mut rejected) = (0, 0);
    for seed in 0..60 {
        let mut harness = Harness::new(Settings { cells: 5, width: 1, ..settings() }, seed);
        harness.list_replicas(5);
        for i in 0..60 {
            harness.query(50.0 * f64::from(i), &[0, 1]);
            let outcome = if i % 2 == 0 { Outcome::Ok } else { Outcome::Error };
            harness.end_all(50.0 * f64::from(i) + 40.0, outcome, 40.0);
        }
        harness.run_timer(3000.0, 40_000.0);
        warm_up_from(&mut harness, 40_000.0);
        harness.unresponsive = vec![ReplicaId(0), ReplicaId(1)];
        let (sent, probed) = (harness.sends.len(), harness.health_checks.len());
        let (query, _) = harness.query(60_000.0, &[0]);
        if harness.health_checks.len() == probed {
            continue;
        }
        asked += 1;
        assert!(!harness.is_rejected(query), "nothing is known yet");
        harness.report_queue(60_002.0, 0, 5000.0);
        rejected += u32::from(harness.is_rejected(query) && harness.sends.len() == sent);
    }
    assert!(asked > 0, "some queries look by health checks");
    assert_eq!(rejected, asked, "of those that looked");
}

/// Quick answers for a while, so that the chances are known.
fn warm_up_from(harness: &mut Harness, from: f64) {
    for i in 0..100 {
        harness.query(from + 50.0 * f64::from(i), &[0, 1]);
        harness.end_all(from + 50.0 * f64::from(i) + 40.0, Outcome::Ok, 40.0);
    }
}
