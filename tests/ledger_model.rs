//! A model of the export protocol, checked for every interleaving of a writer that may crash at any step, records that
//! are appended concurrently, and an importer that uses export names as idempotency keys. The steps are those of
//! `Store::export`: intent, file, completion record.

use stateright::{Checker, Model, Property};

/// A range of sequence numbers: exclusive start and inclusive end.
type Range = (u8, u8);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    /// Durable: number of entries in the journal, intents, and finished exports.
    entries: u8,
    intents: Vec<Range>,
    finished: Vec<Range>,
    /// Durable: exported files, by the number in their name.
    files: Vec<Option<Range>>,
    /// Lost in a crash: number and range of the export that the writer is writing.
    in_progress: Option<(usize, Range)>,
    /// The range that was imported under each name. The importer never crashes.
    imported: Vec<Option<Range>>,
    crashes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Append,
    Begin,
    WriteFile,
    Finish,
    Crash,
    Import(usize),
}

struct Protocol {
    /// Whether the name and the range are recorded in the journal before the file is written.
    records_intent: bool,
}

const MAX_ENTRIES: u8 = 4;
const MAX_CRASHES: u8 = 3;

impl State {
    fn slot_at<T: Clone + Default>(list: &mut Vec<T>, index: usize) -> &mut T {
        if list.len() <= index {
            list.resize(index + 1, T::default());
        }
        &mut list[index]
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State::default()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.entries < MAX_ENTRIES {
            actions.push(Step::Append);
        }
        match state.in_progress {
            None => actions.push(Step::Begin),
            Some((name, range)) if state.files.get(name).copied().flatten() != Some(range) => {
                actions.push(Step::WriteFile);
            }
            Some(_) => actions.push(Step::Finish),
        }
        if state.crashes < MAX_CRASHES {
            actions.push(Step::Crash);
        }
        actions.extend((0..state.files.len()).filter(|name| state.files[*name].is_some()).map(Step::Import));
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Append => state.entries += 1,
            Step::Begin => {
                // An interrupted export is completed first, with the same range.
                let interrupted =
                    state.intents.get(state.finished.len()).copied().filter(|_| self.records_intent);
                let after = state.finished.last().map_or(0, |range| range.1);
                let range = interrupted.unwrap_or((after, state.entries));
                if range.0 == range.1 {
                    return None;
                }
                if self.records_intent && interrupted.is_none() {
                    state.intents.push(range);
                }
                state.in_progress = Some((state.finished.len(), range));
            }
            Step::WriteFile => {
                let (name, range) = state.in_progress?;
                *State::slot_at(&mut state.files, name) = Some(range);
            }
            Step::Finish => {
                let (_, range) = state.in_progress.take()?;
                state.finished.push(range);
            }
            Step::Crash => {
                state.in_progress = None;
                state.crashes += 1;
            }
            Step::Import(name) => {
                let file = state.files[name];
                let imported = State::slot_at(&mut state.imported, name);
                if imported.is_some() {
                    return None;
                }
                *imported = file;
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no entry is imported twice", |_, state: &State| {
                let import_count = |entry: u8| {
                    state
                        .imported
                        .iter()
                        .flatten()
                        .filter(|range| range.0 < entry && entry <= range.1)
                        .count()
                };
                (1..=state.entries).all(|entry| import_count(entry) <= 1)
            }),
            Property::always("a finished export is imported with its recorded range", |_, state: &State| {
                state.finished.iter().enumerate().all(|(name, range)| {
                    state.imported.get(name).copied().flatten().is_none_or(|imported| imported == *range)
                })
            }),
            Property::always("exports are contiguous", |_, state: &State| {
                state
                    .finished
                    .iter()
                    .zip(state.finished.iter().skip(1))
                    .all(|(earlier, later)| earlier.1 == later.0)
                    && state.finished.first().is_none_or(|range| range.0 == 0)
            }),
            Property::sometimes("every entry is imported", |_, state: &State| {
                let import_count = |entry: u8| {
                    state
                        .imported
                        .iter()
                        .flatten()
                        .filter(|range| range.0 < entry && entry <= range.1)
                        .count()
                };
                state.entries == MAX_ENTRIES
                    && state.crashes == MAX_CRASHES
                    && (1..=MAX_ENTRIES).all(|entry| import_count(entry) == 1)
            }),
        ]
    }
}

#[test]
fn with_an_intent_each_entry_is_imported_once_in_any_interleaving() {
    let checker = Protocol { records_intent: true }.checker().spawn_bfs().join();
    println!("{} states, {} distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_an_intent_the_model_finds_an_export_name_with_two_contents() {
    let checker = Protocol { records_intent: false }.checker().spawn_bfs().join();
    let violation = checker.discovery("a finished export is imported with its recorded range");
    let path = violation.expect("a violation is found").into_actions();
    println!("counterexample: {path:?}");
    assert!(path.contains(&Step::Crash));
}
