//! What the module does where there is more to do than the servers can: upgrade+hand and herd+mass, December.

mod common;

use common::*;
use sailmux::api::*;

fn refused(rig: &Rig, query: QueryId) -> bool {
    rig.actions.iter().any(|a| matches!(a, Action::Refuse { query: q, .. } if *q == query))
}

/// The time-out of the last attempt sent.
fn last_timeout(rig: &Rig) -> f64 {
    let timeout = |a: &Action| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    };
    rig.actions.iter().rev().find_map(timeout).expect("something was sent")
}

/// A class with an aim of 500 ms that keeps a share of its worth later.
fn late(late_value: f64) -> Settings {
    let class = Class { aim: 500.0, deadline: 2000.0, late_value, ..class() };
    Settings { second_copies: false, ..with_class(class) }
}

#[test]
fn a_late_answer_of_little_worth_is_not_worked_for() {
    for (late_value, goes_on) in [(0.1, false), (0.5, true)] {
        let mut rig = Rig::new(late(late_value), 1);
        rig.list(3);
        let (query, _) = rig.query(0.0, &[0]);
        rig.pass(0.0, 600.0);
        assert_eq!(refused(&rig, query), !goes_on, "late value {late_value}");
    }
}

/// A burst at a shard with one warm holder and an idle cold one, which is given a part now and then alone: what the warm one
/// cannot do in time is turned away at once, and not let in on the cold one's account.
#[test]
fn an_idle_cold_holder_does_not_hide_an_overloaded_warm_one() {
    let mut rig = Rig::new(late(0.0), 1);
    rig.list(1);
    let mut now = 0.0;
    while now < 6000.0 {
        // Enough of them that answers are known faster than they are forgotten.
        (0..8).for_each(|_| drop(rig.query(now, &[0])));
        rig.pass(now, now + 40.0);
        now += 40.0;
        end_all(&mut rig, now, Outcome::Ok, 40.0);
    }
    rig.change(now, ReplicaEntry { started_at: Some(now), ..entry(1) });
    let turned_away = (0..100).filter(|_| {
        let (query, _) = rig.query(now, &[0]);
        refused(&rig, query)
    });
    // The aim has room for some dozens of parts, one after the other.
    let turned_away = turned_away.count();
    assert!((25..100).contains(&turned_away), "{turned_away} of 100 turned away");
}

/// Patience with a silent server is six tails where its other answers would tell, three where they come seldom.
#[test]
fn silence_is_borne_for_less_long_where_a_server_is_seldom_heard_of() {
    let timeout = |gap: f64| {
        let mut rig = Rig::new(Settings { second_copies: false, ..settings() }, 1);
        rig.list(3);
        let mut now = 0.0;
        for _ in 0..100 {
            rig.query(now, &[0]);
            rig.pass(now, now + 100.0);
            end_all(&mut rig, now + 100.0, Outcome::Ok, 100.0);
            rig.pass(now + 100.0, now + gap);
            now += gap;
        }
        rig.actions.clear();
        rig.query(now, &[0]);
        last_timeout(&rig)
    };
    let (often, seldom) = (timeout(120.0), timeout(4000.0));
    assert!((often - 600.0).abs() < 30.0, "{often}");
    // A third of the time left is the least that an attempt gets: 500 of 1,500 ms.
    assert!(seldom < often && seldom >= 300.0, "{seldom}");
}
