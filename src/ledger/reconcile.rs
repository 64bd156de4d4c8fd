//! Compares the ledgers of several aggregators, which do not exchange records, and sums their totals.

use super::UnixMs;
use super::accounts::Totals;
use super::book::Book;
use super::record::{Entry, Gap};
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Clock differences above this many milliseconds are reported, both within one ledger and between two ledgers that
/// recorded the same query.
const CLOCK_TOLERANCE_MS: UnixMs = 5_000;
/// Maximum number of listed duplicates and of listed clock differences. Further duplicates are only counted; further
/// clock differences are dropped.
const MAX_LISTED: usize = 100;
/// Number of queries that are compared in one pass over the ledgers.
const MAX_QUERIES_IN_MEMORY: u64 = 100_000;

/// The totals of several ledgers, and the gaps and contradictions found in them.
#[derive(Clone, Debug, Default)]
pub struct Reconciliation {
    /// Usage by billing line, summed over all ledgers.
    pub totals: Totals,
    /// Number of entries in all ledgers.
    pub entries: u64,
    /// Ids of queries that two aggregators recorded. A client's retry is a new query with its own id, so the same
    /// request reached both. Both are billed, since both aggregators did the work.
    pub duplicates: Vec<String>,
    /// Number of duplicates, including those that are not listed.
    pub duplicate_count: usize,
    /// Gaps, each with the aggregator that recorded it.
    pub gaps: Vec<(String, Gap)>,
    /// Descriptions of clocks that disagree.
    pub clock_differences: Vec<String>,
    /// Descriptions of ledgers of the same aggregator, which may contain the same queries.
    pub overlaps: Vec<String>,
}

impl Reconciliation {
    /// Whether the totals are known to be complete: no gap was recorded and no aggregator has two of the ledgers.
    pub fn is_complete(&self) -> bool {
        self.gaps.is_empty() && self.overlaps.is_empty()
    }
}

/// The entries of a ledger, which are read once or several times.
pub trait EntrySource {
    /// Why the entries cannot be read.
    type Error;

    /// Calls `visit` for each entry with its sequence number, in order.
    ///
    /// # Errors
    /// The entries cannot be read.
    fn visit(&self, visit: &mut dyn FnMut(u64, &Entry)) -> Result<(), Self::Error>;
}

/// The ledger of one aggregator.
pub struct Ledger<S> {
    /// The ledger's directory, used in messages.
    pub directory: String,
    /// The state after all its records.
    pub book: Book,
    /// Its entries; those after the book are ignored.
    pub entries: S,
}

impl<S: EntrySource> Ledger<S> {
    fn visit(&self, visit: &mut dyn FnMut(u64, &Entry)) -> Result<(), S::Error> {
        let last = self.book.position().sequence;
        self.entries.visit(&mut |sequence, entry| {
            if sequence <= last {
                visit(sequence, entry);
            }
        })
    }
}

/// The position of a finding: the index of the ledger and the number of the record.
type Position = (usize, u64);

/// The first findings in the order of their positions, which may be found in any order.
#[derive(Default)]
struct FirstFindings(BTreeMap<(Position, FindingKind), String>);

/// The order of the findings at a record.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FindingKind {
    ClockStep,
    Duplicate,
}

impl FirstFindings {
    fn add(&mut self, position: Position, kind: FindingKind, text: String) {
        self.0.insert((position, kind), text);
        if self.0.len() > MAX_LISTED {
            self.0.pop_last();
        }
    }

    fn into_texts(self) -> Vec<String> {
        self.0.into_values().collect()
    }
}

/// Where and when a query was recorded.
struct Occurrence {
    /// Index of the ledger.
    ledger: usize,
    at: UnixMs,
}

/// Compares ledgers and sums their totals. The entries are read in several passes, so that the memory does not grow with
/// their number.
///
/// # Errors
/// The entries of a ledger cannot be read.
pub fn reconcile<S: EntrySource>(ledgers: &[Ledger<S>]) -> Result<Reconciliation, S::Error> {
    let mut reconciler = Reconciler {
        ledgers,
        result: Reconciliation::default(),
        duplicates: FirstFindings::default(),
        clock_differences: FirstFindings::default(),
    };
    reconciler.find_overlaps();
    for (index, ledger) in ledgers.iter().enumerate() {
        reconciler.add_totals(&ledger.book);
        reconciler.add_gaps(&ledger.book);
        reconciler.check_clock(index)?;
    }
    // Within one ledger, a query that is recorded again is no duplicate.
    if ledgers.len() > 1 {
        let passes = reconciler.result.entries.div_ceil(MAX_QUERIES_IN_MEMORY);
        for pass in 0..passes {
            reconciler.find_duplicates(pass, passes)?;
        }
    }
    Ok(reconciler.finish())
}

struct Reconciler<'a, S> {
    ledgers: &'a [Ledger<S>],
    result: Reconciliation,
    duplicates: FirstFindings,
    clock_differences: FirstFindings,
}

impl<S: EntrySource> Reconciler<'_, S> {
    fn find_overlaps(&mut self) {
        let mut directories: HashMap<&str, &str> = HashMap::new();
        for ledger in self.ledgers {
            let aggregator = ledger.book.position().aggregator;
            let directory = &ledger.directory;
            if let Some(other) = directories.insert(aggregator, directory) {
                self.result
                    .overlaps
                    .push(format!("{other} and {directory} are both ledgers of {aggregator}"));
            }
        }
    }

    fn add_totals(&mut self, book: &Book) {
        for (line, usage) in book.totals() {
            self.result.totals.entry(line.clone()).or_default().add(usage);
        }
    }

    fn add_gaps(&mut self, book: &Book) {
        let aggregator = book.position().aggregator;
        for recorded in book.gaps() {
            self.result.gaps.push((aggregator.to_owned(), recorded.gap.clone()));
        }
    }

    /// Counts the entries of a ledger and reports where its clock went back.
    fn check_clock(&mut self, index: usize) -> Result<(), S::Error> {
        let ledger = &self.ledgers[index];
        let aggregator = ledger.book.position().aggregator;
        let mut latest = UnixMs::MIN;
        let (result, findings) = (&mut self.result, &mut self.clock_differences);
        ledger.visit(&mut |sequence, entry| {
            result.entries += 1;
            if latest > entry.at.saturating_add(CLOCK_TOLERANCE_MS) {
                let step_ms = latest - entry.at;
                let text = format!("{aggregator}: the clock went back by {step_ms} ms at record {sequence}");
                findings.add((index, sequence), FindingKind::ClockStep, text);
            }
            latest = latest.max(entry.at);
        })
    }

    /// Reports the queries that are in more than one ledger, of those whose hashes belong to a pass.
    fn find_duplicates(&mut self, pass: u64, passes: u64) -> Result<(), S::Error> {
        // The last occurrence of each query, by query id.
        let mut last_occurrences: HashMap<Box<str>, Occurrence> = HashMap::new();
        for (index, ledger) in self.ledgers.iter().enumerate() {
            ledger.visit(&mut |sequence, entry| {
                if query_hash(&entry.query) % passes != pass {
                    return;
                }
                let occurrence = Occurrence { ledger: index, at: entry.at };
                if let Some(other) = last_occurrences.insert(entry.query.as_str().into(), occurrence)
                    && other.ledger != index
                {
                    self.add_duplicate((index, sequence), entry, &other);
                }
            })?;
        }
        Ok(())
    }

    /// Reports a query that is also in another ledger.
    fn add_duplicate(&mut self, position: Position, entry: &Entry, other: &Occurrence) {
        self.result.duplicate_count += 1;
        self.duplicates.add(position, FindingKind::Duplicate, entry.query.clone());
        let difference_ms = (other.at - entry.at).abs();
        if difference_ms > CLOCK_TOLERANCE_MS {
            let query = &entry.query;
            let other_directory = &self.ledgers[other.ledger].directory;
            let directory = &self.ledgers[position.0].directory;
            let text =
                format!("{query}: recorded {difference_ms} ms apart in {other_directory} and {directory}");
            self.clock_differences.add(position, FindingKind::Duplicate, text);
        }
    }

    fn finish(self) -> Reconciliation {
        Reconciliation {
            duplicates: self.duplicates.into_texts(),
            clock_differences: self.clock_differences.into_texts(),
            ..self.result
        }
    }
}

fn query_hash(query: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    query.hash(&mut hasher);
    hasher.finish()
}
