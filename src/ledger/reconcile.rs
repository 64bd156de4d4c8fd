//! Compares the ledgers of several aggregators, which do not exchange records, and sums their totals.

use super::UnixMs;
use super::accounts::Totals;
use super::book::Book;
use super::record::{Entry, Gap, Record};
use std::collections::HashMap;

/// Clock differences above this many milliseconds are reported, both within one ledger and between two ledgers that
/// recorded the same query.
const CLOCK_TOLERANCE_MS: UnixMs = 5_000;
/// Maximum number of listed duplicates and of listed clock differences. Further duplicates are only counted; further
/// clock differences are dropped.
const MAX_LISTED: usize = 100;

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

/// The ledger of one aggregator, read from its directory.
pub struct Ledger {
    /// The ledger's directory, used in messages.
    pub directory: String,
    /// The state after all its records.
    pub book: Book,
    /// Records with their sequence numbers; only entries are compared.
    pub records: Vec<(u64, Record)>,
}

/// Where and when a query was recorded.
struct Occurrence {
    /// Index of the ledger.
    ledger: usize,
    at: UnixMs,
}

/// Compares ledgers and sums their totals.
pub fn reconcile(ledgers: &[Ledger]) -> Reconciliation {
    let mut reconciler =
        Reconciler { ledgers, last_occurrences: HashMap::new(), result: Reconciliation::default() };
    reconciler.find_overlaps();
    for (index, ledger) in ledgers.iter().enumerate() {
        reconciler.add_totals(&ledger.book);
        reconciler.add_gaps(&ledger.book);
        reconciler.compare_entries(index);
    }
    reconciler.result
}

struct Reconciler<'a> {
    ledgers: &'a [Ledger],
    /// The last occurrence of each query, by query id.
    last_occurrences: HashMap<&'a str, Occurrence>,
    result: Reconciliation,
}

impl<'a> Reconciler<'a> {
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

    fn compare_entries(&mut self, index: usize) {
        let ledger = &self.ledgers[index];
        let aggregator = ledger.book.position().aggregator;
        let mut latest = UnixMs::MIN;
        for (sequence, record) in &ledger.records {
            let Record::Entry(entry) = record else { continue };
            self.result.entries += 1;
            if latest > entry.at.saturating_add(CLOCK_TOLERANCE_MS) {
                let step_ms = latest - entry.at;
                self.report_clock(format!(
                    "{aggregator}: the clock went back by {step_ms} ms at record {sequence}"
                ));
            }
            latest = latest.max(entry.at);
            self.find_duplicate(index, entry);
        }
    }

    /// Reports a query that is also in another ledger.
    fn find_duplicate(&mut self, index: usize, entry: &'a Entry) {
        let occurrence = Occurrence { ledger: index, at: entry.at };
        let Some(other) = self.last_occurrences.insert(&entry.query, occurrence) else { return };
        if other.ledger == index {
            return;
        }
        self.result.duplicate_count += 1;
        if self.result.duplicates.len() < MAX_LISTED {
            self.result.duplicates.push(entry.query.clone());
        }
        let difference_ms = (other.at - entry.at).abs();
        if difference_ms > CLOCK_TOLERANCE_MS {
            let query = &entry.query;
            let other_directory = &self.ledgers[other.ledger].directory;
            let directory = &self.ledgers[index].directory;
            self.report_clock(format!(
                "{query}: recorded {difference_ms} ms apart in {other_directory} and {directory}"
            ));
        }
    }

    fn report_clock(&mut self, finding: String) {
        if self.result.clock_differences.len() < MAX_LISTED {
            self.result.clock_differences.push(finding);
        }
    }
}
