//! A model of the export protocol, checked over every interleaving of a writer that may crash at any step, records that
//! are appended meanwhile, and an importer that takes names as idempotency keys. The steps are those of `Store::export`:
//! intent, file, done.

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
    /// Lost by a crash: the name and the range that the writer is about to write.
    in_progress: Option<(usize, Range)>,
    /// What was imported under each name, by the importer, which never crashes.
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
    fn entry_at<T: Clone + Default>(list: &mut Vec<T>, at: usize) -> &mut T {
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
        match state.in_progress {
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
        let mut state = before.clone();
        match step {
            Step::Append => state.entries += 1,
            Step::Begin => {
                // What was begun and is not done goes first, as it was.
                let interrupted = state.intents.get(state.done.len()).copied().filter(|_| self.intent);
                let after = state.done.last().map_or(0, |r| r.1);
                let range = interrupted.unwrap_or((after, state.entries));
                if range.0 == range.1 {
                    return None;
                }
                if self.intent && interrupted.is_none() {
                    state.intents.push(range);
                }
                state.in_progress = Some((state.done.len(), range));
            }
            Step::WriteFile => {
                let (name, range) = state.in_progress?;
                *State::entry_at(&mut state.files, name) = Some(range);
            }
            Step::Done => {
                let (_, range) = state.in_progress.take()?;
                state.done.push(range);
            }
            Step::Crash => {
                state.in_progress = None;
                state.crashes += 1;
            }
            Step::Import(name) => {
                let file = state.files[name];
                let taken = State::entry_at(&mut state.imported, name);
                if taken.is_some() {
                    return None;
                }
                *taken = file;
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no entry is imported twice", |_, state: &State| {
                let times = |entry: u8| {
                    state
                        .imported
                        .iter()
                        .flatten()
                        .filter(|range| range.0 < entry && entry <= range.1)
                        .count()
                };
                (1..=state.entries).all(|entry| times(entry) <= 1)
            }),
            Property::always("what is done and imported is what was done", |_, state: &State| {
                state
                    .done
                    .iter()
                    .enumerate()
                    .all(|(name, r)| state.imported.get(name).copied().flatten().is_none_or(|i| i == *r))
            }),
            Property::always("exports follow one another without a hole", |_, state: &State| {
                state.done.iter().zip(state.done.iter().skip(1)).all(|(a, b)| a.1 == b.0)
                    && state.done.first().is_none_or(|r| r.0 == 0)
            }),
            Property::sometimes("every entry is imported", |_, state: &State| {
                let times = |entry: u8| {
                    state
                        .imported
                        .iter()
                        .flatten()
                        .filter(|range| range.0 < entry && entry <= range.1)
                        .count()
                };
                state.entries == ENTRIES
                    && state.crashes == CRASHES
                    && (1..=ENTRIES).all(|entry| times(entry) == 1)
            }),
        ]
    }
}

#[test]
fn with_an_intent_each_entry_is_imported_once_in_any_interleaving() {
    let checker = Protocol { intent: true }.checker().spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_an_intent_the_model_finds_a_name_with_two_contents() {
    let checker = Protocol { intent: false }.checker().spawn_bfs().join();
    let found = checker.discovery("what is done and imported is what was done");
    let path = found.expect("a violation is to be found").into_actions();
    println!("found by {path:?}");
    assert!(path.contains(&Step::Crash));
}
