//! What the module does where there is more to do than the servers can: herd+mass, December.

mod common;

use common::*;
use sailmux::api::*;

fn refused(rig: &Rig, query: QueryId) -> bool {
    rig.actions.iter().any(|a| matches!(a, Action::Refuse { query: q, .. } if *q == query))
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
