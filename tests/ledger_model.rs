//! The protocol of exports, checked over every interleaving of a writer that may crash at any step, records that keep
//! coming, and an importer that takes names as keys. The steps are those of `Store::export`: intent, file, done.

use stateright::{Checker, Model, Property};

/// Records (after, upto].
type Range = (u8, u8);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    /// Durable: entries in the journal, intents, and which of them are done.
    entries: u8,
    intents: Vec<Range>,
    done: Vec<Range>,
    /// Durable: the files by the number in their name.
    files: Vec<Option<Range>>,
    /// Lost by a crash: what the writer is about to put under which name.
    at_hand: Option<(usize, Range)>,
    /// What was taken under each name, by the importer, which never goes down.
    imported: Vec<Option<Range>>,
    crashes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Append,
    Begin,
    WriteFile,
    Done,
    Crash,
    Import(usize),
}

struct Protocol {
    /// The range and the name are in the journal before the file is written.
    intent: bool,
}

const ENTRIES: u8 = 4;
const CRASHES: u8 = 3;

impl State {
    fn slot<T: Clone + Default>(list: &mut Vec<T>, at: usize) -> &mut T {
        if list.len() <= at {
            list.resize(at + 1, T::default());
        }
        &mut list[at]
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State::default()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.entries < ENTRIES {
            actions.push(Step::Append);
        }
        match state.at_hand {
            None => actions.push(Step::Begin),
            Some((name, range)) if state.files.get(name).copied().flatten() != Some(range) => {
                actions.push(Step::WriteFile);
            }
            Some(_) => actions.push(Step::Done),
        }
        if state.crashes < CRASHES {
            actions.push(Step::Crash);
        }
        actions.extend((0..state.files.len()).filter(|n| state.files[*n].is_some()).map(Step::Import));
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Append => s.entries += 1,
            Step::Begin => {
                // What was begun and is not done goes first, as it was.
                let halfway = s.intents.get(s.done.len()).copied().filter(|_| self.intent);
                let after = s.done.last().map_or(0, |r| r.1);
                let range = halfway.unwrap_or((after, s.entries));
                if range.0 == range.1 {
                    return None;
                }
                if self.intent && halfway.is_none() {
                    s.intents.push(range);
                }
                s.at_hand = Some((s.done.len(), range));
            }
            Step::WriteFile => {
                let (name, range) = s.at_hand?;
                *State::slot(&mut s.files, name) = Some(range);
            }
            Step::Done => {
                let (_, range) = s.at_hand.take()?;
                s.done.push(range);
            }
            Step::Crash => {
                s.at_hand = None;
                s.crashes += 1;
            }
            Step::Import(name) => {
                let file = s.files[name];
                let taken = State::slot(&mut s.imported, name);
                if taken.is_some() {
                    return None;
                }
                *taken = file;
            }
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no entry is imported twice", |_, s: &State| {
                let times = |e: u8| s.imported.iter().flatten().filter(|r| r.0 < e && e <= r.1).count();
                (1..=s.entries).all(|e| times(e) <= 1)
            }),
            Property::always("what is done and imported is what was done", |_, s: &State| {
                s.done
                    .iter()
                    .enumerate()
                    .all(|(name, r)| s.imported.get(name).copied().flatten().is_none_or(|i| i == *r))
            }),
            Property::always("exports follow one another without a hole", |_, s: &State| {
                s.done.iter().zip(s.done.iter().skip(1)).all(|(a, b)| a.1 == b.0)
                    && s.done.first().is_none_or(|r| r.0 == 0)
            }),
            Property::sometimes("every entry is imported", |_, s: &State| {
                let times = |e: u8| s.imported.iter().flatten().filter(|r| r.0 < e && e <= r.1).count();
                s.entries == ENTRIES && s.crashes == CRASHES && (1..=ENTRIES).all(|e| times(e) == 1)
            }),
        ]
    }
}

#[test]
fn with_its_intent_each_entry_is_imported_once_whatever_the_order() {
    let checker = Protocol { intent: true }.checker().spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_its_intent_the_check_finds_a_name_with_two_contents() {
    let checker = Protocol { intent: false }.checker().spawn_bfs().join();
    let found = checker.discovery("what is done and imported is what was done");
    let path = found.expect("a violation is to be found").into_actions();
    println!("found by {path:?}");
    assert!(path.contains(&Step::Crash));
}
