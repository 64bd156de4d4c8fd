//! Invalid settings, unknown ids and empty queries.

use crate::harness::*;
use sailmux::Balancer;
use sailmux::balancer::*;

#[test]
fn invalid_settings_are_errors() {
    let invalid = [
        (Settings { classes: vec![], ..settings() }, SettingsError::NoClass),
        (Settings { width: 4, ..settings() }, SettingsError::InvalidLayout),
        (with_class(Class { latency_objective: f64::NAN, ..class() }), SettingsError::InvalidClass(0)),
        (
            Settings { timer_granularity: -1.0, ..settings() },
            SettingsError::InvalidValue("timer_granularity"),
        ),
        (
            Settings { health_check_cost: -0.1, ..settings() },
            SettingsError::InvalidValue("health_check_cost"),
        ),
        (
            Settings { health_check_cost: f64::NAN, ..settings() },
            SettingsError::InvalidValue("health_check_cost"),
        ),
    ];
    for (settings, error) in invalid {
        assert_eq!(Balancer::new(settings, 0).err(), Some(error));
    }
}

#[test]
fn unknown_ids_and_empty_queries_are_tolerated() {
    let mut harness = Harness::new(settings(), 1);
    harness.handle(0.0, Event::EndpointList { complete: true, entries: vec![] });
    let (empty, _) = harness.query(1.0, &[]);
    assert!(harness.is_rejected(empty));
    let (without_replicas, _) = harness.query(1.0, &[0]);
    assert!(harness.is_rejected(without_replicas), "no replica: rejected at once");
    harness.end_attempt(2.0, PartId(77), 3, Outcome::Ok, 1.0);
    harness.handle(2.0, Event::ClientDisconnected { query: QueryId(77) });
    harness.handle(1.0, Event::Timer);
    harness.handle(f64::NAN, Event::Timer);
    harness.handle(3.0, Event::SecondStep { query: QueryId(5), parts: vec![] });
    let query = QueryId(99);
    harness.handle(
        3.0,
        Event::Query { query, class: 9, tenant: Some(3), time_left: -1.0, is_retry: true, parts: vec![] },
    );
    assert!(harness.has_action(&Action::Fail { query }));
}
