//! The rules of suspicion and refutation, checked over every interleaving by the very table that runs
//! (`sailmux::gossip::Table`): one subject, two others that may suspect it and declare it dead, and a network that
//! loses, repeats and reorders news as it likes.

use sailmux::gossip::{MemberId, News, Status, Table, TableSettings};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SETTINGS: TableSettings = TableSettings { most: 8, forget_after: 1e12 };
/// Incarnations are bounded, so that the space of states is finite.
const MOST: u64 = 2;
const OTHERS: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The subject's own incarnation.
    me: u64,
    /// What each other member holds of the subject.
    views: [(u64, Status); OTHERS],
    /// News about the subject ever sent: any of it may arrive, again and in any order, or never.
    sent: BTreeSet<(u64, Status)>,
    declared: bool,
    went_back: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Another's probe of the subject went unanswered.
    Suspect(usize),
    /// Another's suspicion ran out.
    Declare(usize),
    /// The subject sends its own news.
    Publish,
    /// News arrives at another (0, 1) or at the subject (2).
    Deliver(u64, Status, usize),
}

struct Rules {
    /// The subject publishes the incarnation by which it refuted; without it, it sends what it began with.
    refute: bool,
}

fn news(incarnation: u64, status: Status, said_by: u64) -> News {
    News {
        id: MemberId(0),
        address: "127.0.0.1:7000".into(),
        zone: "a".into(),
        incarnation,
        status,
        said_by: MemberId(said_by),
    }
}

fn other(j: usize) -> News {
    News { id: MemberId(j as u64 + 1), ..news(0, Status::Alive, j as u64 + 1) }
}

/// What the table of another makes of what it held and one piece of news.
fn take(view: (u64, Status), j: usize, arrived: (u64, Status)) -> (u64, Status) {
    let mut table = Table::new(SETTINGS, other(j), 0.0);
    table.apply(0.0, news(view.0, view.1, 0));
    table.apply(1.0, news(arrived.0, arrived.1, 0));
    let held = &table.get(MemberId(0)).expect("held").news;
    (held.incarnation, held.status)
}

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let start = (0, Status::Alive);
        vec![State {
            me: 0,
            views: [start; OTHERS],
            sent: BTreeSet::new(),
            declared: false,
            went_back: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        for j in 0..OTHERS {
            match s.views[j].1 {
                Status::Alive if s.views[j].0 <= MOST => actions.push(Step::Suspect(j)),
                Status::Suspect => actions.push(Step::Declare(j)),
                _ => {}
            }
        }
        actions.push(Step::Publish);
        for &(inc, status) in &s.sent {
            for to in 0..=OTHERS {
                actions.push(Step::Deliver(inc, status, to));
            }
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Suspect(j) | Step::Declare(j) => {
                let status = if matches!(step, Step::Suspect(_)) { Status::Suspect } else { Status::Dead };
                let said = (s.views[j].0, status);
                s.declared |= status == Status::Dead;
                s.views[j] = take(s.views[j], j, said);
                s.sent.insert(said);
            }
            Step::Publish => {
                let inc = if self.refute { s.me } else { 0 };
                s.sent.insert((inc, Status::Alive));
            }
            Step::Deliver(inc, status, to) if to == OTHERS => {
                let mut table = Table::new(SETTINGS, news(s.me, Status::Alive, 0), 0.0);
                table.apply(1.0, news(inc, status, 1));
                s.me = table.me().incarnation.min(MOST + 1);
            }
            Step::Deliver(inc, status, j) => {
                let after = take(s.views[j], j, (inc, status));
                s.went_back |= after < s.views[j];
                s.views[j] = after;
            }
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "what a member holds of another never goes back in the order",
                |_, s: &State| !s.went_back,
            ),
            Property::always(
                "a member holds the subject alive only at an incarnation the subject gave",
                |_, s: &State| {
                    s.views.iter().all(|(inc, status)| {
                        *status != Status::Alive || s.sent.contains(&(*inc, Status::Alive)) || *inc == 0
                    })
                },
            ),
            Property::sometimes("a member declared dead is held alive by all again", |_, s: &State| {
                s.declared && s.views.iter().all(|v| v.1 == Status::Alive)
            }),
        ]
    }
}

#[test]
fn suspicions_and_deaths_are_refuted_and_never_undone_by_old_news() {
    let checker = Rules { refute: true }.checker().spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_refutation_the_dead_stay_dead() {
    let checker = Rules { refute: false }.checker().spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    assert!(checker.discovery("a member declared dead is held alive by all again").is_none());
    assert!(checker.discovery("what a member holds of another never goes back in the order").is_none());
}
