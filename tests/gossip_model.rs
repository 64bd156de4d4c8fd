//! Model check of suspicion and refutation over every interleaving, on the production member table
//! (`sailmux::gossip::MemberTable`): one subject, two observers that may suspect it and declare it dead, and a network
//! that may lose, duplicate and reorder any update.

use sailmux::gossip::{MemberId, MemberStatus, MemberTable, MemberTableSettings, MemberUpdate};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SETTINGS: MemberTableSettings = MemberTableSettings { max_members: 8, dead_retention: 1e12 };
/// Limit on incarnations that keeps the number of states finite.
const MAX_INCARNATION: u64 = 2;
const OBSERVERS: usize = 2;

/// The fields of an update about the subject that determine precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SubjectState {
    incarnation: u64,
    status: MemberStatus,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The subject's own incarnation.
    subject_incarnation: u64,
    /// The subject's state in each observer's table.
    views: [SubjectState; OBSERVERS],
    /// All updates about the subject sent so far; each may arrive never, once or repeatedly, in any order.
    sent: BTreeSet<SubjectState>,
    declared_dead: bool,
    a_view_regressed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The subject does not answer an observer's probe.
    Suspect(usize),
    /// An observer's suspicion times out.
    DeclareDead(usize),
    /// The subject sends its own update.
    Publish,
    /// An update arrives at an observer.
    DeliverToObserver(SubjectState, usize),
    /// An update arrives at the subject.
    DeliverToSubject(SubjectState),
}

struct SuspicionModel {
    /// Whether the subject publishes the incarnation raised by refutation; otherwise it publishes its initial one.
    refutes: bool,
}

fn update(subject: SubjectState, reporter: u64) -> MemberUpdate {
    MemberUpdate {
        id: MemberId(0),
        address: "127.0.0.1:7000".into(),
        zone: "a".into(),
        incarnation: subject.incarnation,
        status: subject.status,
        reporter: MemberId(reporter),
    }
}

fn alive(incarnation: u64) -> SubjectState {
    SubjectState { incarnation, status: MemberStatus::Alive }
}

fn observer_update(observer: usize) -> MemberUpdate {
    let id = observer as u64 + 1;
    MemberUpdate { id: MemberId(id), ..update(alive(0), id) }
}

/// Returns the subject's state in an observer's table after an update.
fn view_after(view: SubjectState, observer: usize, received: SubjectState) -> SubjectState {
    let mut table = MemberTable::new(SETTINGS, observer_update(observer), 0.0);
    table.apply(0.0, update(view, 0));
    table.apply(1.0, update(received, 0));
    let current = table.update(MemberId(0)).expect("in the table");
    SubjectState { incarnation: current.incarnation, status: current.status }
}

/// Returns the subject's incarnation after it has received an update.
fn incarnation_after(incarnation: u64, received: SubjectState) -> u64 {
    let mut table = MemberTable::new(SETTINGS, update(alive(incarnation), 0), 0.0);
    table.apply(1.0, update(received, 1));
    table.local().incarnation.min(MAX_INCARNATION + 1)
}

impl Model for SuspicionModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            subject_incarnation: 0,
            views: [alive(0); OBSERVERS],
            sent: BTreeSet::new(),
            declared_dead: false,
            a_view_regressed: false,
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
        for update in &state.sent {
            for observer in 0..OBSERVERS {
                actions.push(Step::DeliverToObserver(*update, observer));
            }
            actions.push(Step::DeliverToSubject(*update));
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
            Step::DeliverToSubject(received) => {
                state.subject_incarnation = incarnation_after(state.subject_incarnation, received);
            }
            Step::DeliverToObserver(received, observer) => {
                let after = view_after(state.views[observer], observer, received);
                state.a_view_regressed |= after < state.views[observer];
                state.views[observer] = after;
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(VIEWS_NEVER_REGRESS, |_, state: &State| !state.a_view_regressed),
            Property::always(ALIVE_ONLY_AS_PUBLISHED, |_, state: &State| {
                state.views.iter().all(|view| {
                    view.status != MemberStatus::Alive || view.incarnation == 0 || state.sent.contains(view)
                })
            }),
            Property::sometimes(DEAD_SUBJECT_IS_ALIVE_AGAIN, |_, state: &State| {
                state.declared_dead && state.views.iter().all(|view| view.status == MemberStatus::Alive)
            }),
        ]
    }
}

impl State {
    /// An observer applies and sends its own update about the subject.
    fn report(&mut self, observer: usize, status: MemberStatus) {
        let report = SubjectState { incarnation: self.views[observer].incarnation, status };
        self.views[observer] = view_after(self.views[observer], observer, report);
        self.sent.insert(report);
    }
}

const VIEWS_NEVER_REGRESS: &str = "the subject's state in an observer's table never decreases in precedence";
const ALIVE_ONLY_AS_PUBLISHED: &str =
    "an observer has the subject as alive only at an incarnation that the subject published";
const DEAD_SUBJECT_IS_ALIVE_AGAIN: &str =
    "all observers have a subject that was declared dead as alive again";

#[test]
fn refuted_suspicions_and_deaths_are_not_restored_by_old_updates() {
    let checker = SuspicionModel { refutes: true }.checker().spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_refutation_a_dead_subject_stays_dead() {
    let checker = SuspicionModel { refutes: false }.checker().spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.discovery(DEAD_SUBJECT_IS_ALIVE_AGAIN).is_none());
    assert!(checker.discovery(VIEWS_NEVER_REGRESS).is_none());
}
