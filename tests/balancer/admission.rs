//! Admission control and load shedding: which queries are rejected on arrival or given up.

use crate::harness::*;
use sailmux::balancer::*;

/// A marked repeat whose aim has passed is worth nothing and gets no work.
#[test]
fn a_client_retry_past_its_latency_objective_is_rejected() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    for i in 0..20 {
        harness.query(f64::from(i) / 100.0, &[0]);
    }
    let sent = harness.sends.len();
    let query = QueryId(900);
    let parts = vec![only_part(PartId(901))];
    harness.handle(
        2.0,
        Event::Query { query, class: 0, tenant: None, time_left: 1400.0, is_retry: true, parts },
    );
    assert_eq!(harness.sends.len(), sent);
    assert!(harness.is_rejected(query));
}

/// Clients with a shorter first time than others are not taken for late repeats.
#[test]
fn common_deadlines_are_not_taken_for_client_retries() {
    let mut harness = Harness::new(Settings { clients_mark_retries: false, ..settings() }, 1);
    harness.list_replicas(3);
    for i in 0..60u64 {
        let now = 10.0 * i as f64;
        let (query, part) = harness.query_with_deadline(now, i, if i % 3 == 0 { 2990.0 } else { 1400.0 });
        harness.end_attempt(now + 5.0, part, 0, Outcome::Ok, 50.0);
        assert!(i < 8 || !harness.is_rejected(query));
    }
}

/// A try with an uncommon time, which may be impatience, is served where there is room.
#[test]
fn impatient_clients_are_served_where_capacity_is_left() {
    let mut harness = Harness::new(Settings { clients_mark_retries: false, ..settings() }, 1);
    harness.list_replicas(3);
    harness.warm_up(3000.0, 50.0);
    for i in 0..30u64 {
        let now = 3000.0 + 100.0 * i as f64;
        let (query, _) = harness.query_with_deadline(now, i, 400.0 + 17.0 * i as f64);
        assert!(!harness.is_rejected(query), "try {i}");
        harness.end_all(now + 50.0, Outcome::Ok, 50.0);
        assert!(harness.has_action(&Action::Answer { query, complete: true }));
    }
}

#[test]
fn overload_sheds_the_lower_priority_weight_first() {
    let two = vec![class(), Class { priority_weight: 0.05, ..class() }];
    let mut harness = Harness::new(Settings { classes: two, ..settings() }, 1);
    harness.list_replicas(3);
    harness.warm_up(5000.0, 300.0);
    let mut rejected = [0, 0];
    for i in 0..60u64 {
        let (query, class) = (QueryId(10_000 + 2 * i), (i % 2) as usize);
        let parts = vec![only_part(PartId(10_001 + 2 * i))];
        harness.handle(
            5001.0,
            Event::Query { query, class, tenant: None, time_left: 3000.0, is_retry: false, parts },
        );
        rejected[class] += u32::from(harness.is_rejected(query));
    }
    assert!(rejected[1] > rejected[0], "{rejected:?}");
}

/// Quotas are judged in proportion, as this aggregator may take most of the traffic. Under
/// overload the tenant beyond its proportion is rejected first.
#[test]
fn overload_sheds_the_tenant_over_its_quota_share_first() {
    let tenants = vec![Tenant { quota_per_s: 5.0 }, Tenant { quota_per_s: 5.0 }];
    let mut harness = Harness::new(Settings { tenants, over_quota_weight: 0.05, ..settings() }, 1);
    harness.list_replicas(3);
    harness.warm_up(5000.0, 300.0);
    let (mut asked, mut rejected) = ([0.0, 0.0], [0.0, 0.0]);
    for i in 0..120u64 {
        let before = i < 40;
        let tenant = usize::from(!before && i % 5 == 4);
        let query = QueryId(10_000 + 2 * i);
        let parts = vec![only_part(PartId(10_001 + 2 * i))];
        let (time_left, tenant_of) = (3000.0, Some(tenant));
        harness.handle(
            5001.0,
            Event::Query { query, class: 0, tenant: tenant_of, time_left, is_retry: false, parts },
        );
        if before {
            harness.end_attempt(5001.0, PartId(10_001 + 2 * i), 0, Outcome::Ok, 300.0);
            continue;
        }
        asked[tenant] += 1.0;
        rejected[tenant] += f64::from(u8::from(harness.is_rejected(query)));
    }
    assert!(rejected[0] / asked[0] > rejected[1] / asked[1], "{rejected:?} of {asked:?}");
}

/// Queries that need a shard in trouble are rejected, those that do not are served.
#[test]
fn faults_of_one_shard_do_not_reject_queries_of_others() {
    let mut harness = Harness::new(Settings { cells: 2, width: 1, ..settings() }, 5);
    harness.list_replicas(2);
    let mut rejected = [0, 0];
    for i in 0..400 {
        let now = 100.0 * f64::from(i);
        let shard = i as u32 % 2;
        let (query, _) = harness.query(now, &[shard]);
        rejected[shard as usize] += u32::from(i > 100 && harness.is_refused(query));
        harness.answer_all_except(now + 50.0, 50.0, &[0]);
        harness.run_timer(now + 50.0, now + 90.0);
    }
    assert_eq!(rejected[1], 0, "{rejected:?}: shard 1 is sound");
    assert!(rejected[0] > 50, "{rejected:?}: many of 150 for shard 0 can't be in time");
}

/// Who turned nearly all away lets a trial in once the evidence is old.
#[test]
fn a_trial_query_is_admitted_once_the_evidence_is_old() {
    let mut harness = Harness::new(settings(), 1);
    harness.list_replicas(3);
    harness.warm_up(3000.0, 300.0);
    for i in 0..150 {
        let now = 3000.0 + 1600.0 * f64::from(i);
        harness.query_with_deadline(now, 1000 + i as u64, 3000.0);
        harness.run_timer(now, now + 1500.0);
        harness.end_all(now + 1500.0, Outcome::Timeout, 1500.0);
    }
    let now = 3000.0 + 1600.0 * 150.0;
    harness.run_timer(now, now + 8000.0);
    let sent = harness.sends.len();
    let (query, _) = harness.query_with_deadline(now + 8000.0, 9000, 3000.0);
    assert!(!harness.is_rejected(query), "a trial gets in");
    harness.run_timer(now + 8000.0, now + 8200.0);
    assert!(harness.sends.len() > sent);
}

/// A class with an objective of 500 ms that keeps a share of its worth later.
fn with_late_value(late_value: f64) -> Settings {
    let class =
        Class { latency_objective: 500.0, deadline: 2000.0, late_value_factor: late_value, ..class() };
    Settings { hedging_allowed: false, ..with_class(class) }
}

#[test]
fn a_query_past_its_objective_goes_on_only_for_enough_late_value() {
    for (late_value, goes_on) in [(0.1, false), (0.5, true)] {
        let mut harness = Harness::new(with_late_value(late_value), 1);
        harness.list_replicas(3);
        let (query, _) = harness.query(0.0, &[0]);
        harness.run_timer(0.0, 600.0);
        assert_eq!(harness.is_rejected(query), !goes_on, "late value {late_value}");
    }
}

/// Queries that were let in by good chances and came to nothing, as one part of each found a full replica, make the next
/// ones doubtful though nearly all parts are quick: most are rejected at the door, some still find out. It ends once
/// what is let in comes in time.
#[test]
fn admission_is_recalibrated_when_admitted_queries_miss_their_objective() {
    let mut harness = Harness::new(Settings { cells: 24, ..with_late_value(0.0) }, 3);
    harness.list_replicas(24);
    let mut now = 0.0;
    let mut ask = |harness: &mut Harness, full: bool| {
        let shards: Vec<u32> = (0..8).map(|i| 3 * i).collect();
        let (query, parts) = harness.query(now, &shards);
        let let_in = !harness.is_rejected(query);
        harness.run_timer(now, now + 20.0);
        now += 20.0;
        let last = parts.len() - usize::from(full);
        for part in parts[..last].iter().filter(|_| let_in) {
            harness.end_attempt(now, *part, 0, Outcome::Ok, 20.0);
        }
        if full && let_in {
            harness.run_timer(now, now + 520.0);
            now += 520.0;
            harness.end_attempt(now, parts[last], 0, Outcome::Cancelled, 540.0);
        }
        now += 20.0;
        let_in
    };
    let sound = (0..40).filter(|_| ask(&mut harness, false)).count();
    assert_eq!(sound, 40, "all while they come in time");
    let full = (0..60).filter(|_| ask(&mut harness, true)).count();
    assert!((3..30).contains(&full), "{full} of 60 while none comes in time");
    let back: Vec<bool> = (0..60).map(|_| ask(&mut harness, false)).collect();
    assert!(back[40..].iter().all(|let_in| *let_in), "all again: {back:?}");
}
