//! The rules of suspicion and refutation, checked over every interleaving by the very table that runs
//! (`sailmux::gossip::MemberTable`): one subject, two others that may suspect it and declare it dead, and a network that
//! loses, repeats and reorders news as it likes.

use sailmux::gossip::{MemberId, MemberStatus, MemberTable, MemberTableSettings, MemberUpdate};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SETTINGS: MemberTableSettings = MemberTableSettings { max_members: 8, forget_after: 1e12 };
/// Incarnations are bounded, so that the number of states is finite.
const MAX_INCARNATION: u64 = 2;
const OBSERVERS: usize = 2;

/// What an update states about the subject, as far as precedence counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Statement {
    incarnation: u64,
    status: MemberStatus,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The subject's own incarnation.
    subject_incarnation: u64,
    /// What each observer holds of the subject.
    views: [Statement; OBSERVERS],
    /// All updates about the subject ever sent: each may arrive repeatedly and in any order, or never.
    sent: BTreeSet<Statement>,
    declared_dead: bool,
    a_view_went_back: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The subject does not answer a probe of an observer.
    Suspect(usize),
    /// An observer's suspicion times out.
    DeclareDead(usize),
    /// The subject sends its own update.
    Publish,
    /// An update arrives at an observer.
    DeliverToObserver(Statement, usize),
    /// An update arrives at the subject.
    DeliverToSubject(Statement),
}

struct Rules {
    /// The subject publishes the incarnation by which it refutes; otherwise the one it began with.
    refutes: bool,
}

fn update(statement: Statement, reporter: u64) -> MemberUpdate {
    MemberUpdate {
        id: MemberId(0),
        address: "127.0.0.1:7000".into(),
        zone: "a".into(),
        incarnation: statement.incarnation,
        status: statement.status,
        reporter: MemberId(reporter),
    }
}

fn alive(incarnation: u64) -> Statement {
    Statement { incarnation, status: MemberStatus::Alive }
}

fn observer_update(observer: usize) -> MemberUpdate {
    let id = observer as u64 + 1;
    MemberUpdate { id: MemberId(id), ..update(alive(0), id) }
}

/// What the table of an observer holds of the subject after an update.
fn view_after(view: Statement, observer: usize, received: Statement) -> Statement {
    let mut table = MemberTable::new(SETTINGS, observer_update(observer), 0.0);
    table.apply(0.0, update(view, 0));
    table.apply(1.0, update(received, 0));
    let held = table.update(MemberId(0)).expect("in the table");
    Statement { incarnation: held.incarnation, status: held.status }
}

/// The subject's incarnation after an update.
fn incarnation_after(incarnation: u64, received: Statement) -> u64 {
    let mut table = MemberTable::new(SETTINGS, update(alive(incarnation), 0), 0.0);
    table.apply(1.0, update(received, 1));
    table.local().incarnation.min(MAX_INCARNATION + 1)
}

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            subject_incarnation: 0,
            views: [alive(0); OBSERVERS],
            sent: BTreeSet::new(),
            declared_dead: false,
            a_view_went_back: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (observer, view) in state.views.iter().enumerate() {
            match view.status {
                MemberStatus::Alive if view.incarnation <= MAX_INCARNATION => {
                    actions.push(Step::Suspect(observer));
                }
                MemberStatus::Suspect => actions.push(Step::DeclareDead(observer)),
                _ => {}
            }
        }
        actions.push(Step::Publish);
        for statement in &state.sent {
            for observer in 0..OBSERVERS {
                actions.push(Step::DeliverToObserver(*statement, observer));
            }
            actions.push(Step::DeliverToSubject(*statement));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Suspect(observer) => state.report(observer, MemberStatus::Suspect),
            Step::DeclareDead(observer) => {
                state.declared_dead = true;
                state.report(observer, MemberStatus::Dead);
            }
            Step::Publish => {
                let incarnation = if self.refutes { state.subject_incarnation } else { 0 };
                state.sent.insert(alive(incarnation));
            }
            Step::DeliverToSubject(statement) => {
                state.subject_incarnation = incarnation_after(state.subject_incarnation, statement);
            }
            Step::DeliverToObserver(statement, observer) => {
                let after = view_after(state.views[observer], observer, statement);
                state.a_view_went_back |= after < state.views[observer];
                state.views[observer] = after;
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(VIEWS_NEVER_GO_BACK, |_, state: &State| !state.a_view_went_back),
            Property::always(ALIVE_ONLY_AS_PUBLISHED, |_, state: &State| {
                state.views.iter().all(|view| {
                    view.status != MemberStatus::Alive || view.incarnation == 0 || state.sent.contains(view)
                })
            }),
            Property::sometimes(DEAD_IS_ALIVE_AGAIN, |_, state: &State| {
                state.declared_dead && state.views.iter().all(|view| view.status == MemberStatus::Alive)
            }),
        ]
    }
}

impl State {
    /// An observer applies and sends a report of its own about the subject.
    fn report(&mut self, observer: usize, status: MemberStatus) {
        let report = Statement { incarnation: self.views[observer].incarnation, status };
        self.views[observer] = view_after(self.views[observer], observer, report);
        self.sent.insert(report);
    }
}

const VIEWS_NEVER_GO_BACK: &str = "what an observer holds of the subject never goes back in precedence";
const ALIVE_ONLY_AS_PUBLISHED: &str =
    "an observer holds the subject alive only at an incarnation that the subject published";
const DEAD_IS_ALIVE_AGAIN: &str = "a subject declared dead is held alive by all observers again";

#[test]
fn suspicions_and_deaths_are_refuted_and_never_undone_by_old_updates() {
    let checker = Rules { refutes: true }.checker().spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_refutation_the_dead_stay_dead() {
    let checker = Rules { refutes: false }.checker().spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    assert!(checker.discovery(DEAD_IS_ALIVE_AGAIN).is_none());
    assert!(checker.discovery(VIEWS_NEVER_GO_BACK).is_none());
}
