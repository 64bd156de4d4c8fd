//! Compares the ledgers of several aggregators, which never exchange records, and adds them up.

use super::UnixMs;
use super::accounts::Totals;
use super::book::Book;
use super::record::{Entry, Gap, Record};
use std::collections::HashMap;

/// Clocks that differ by more than this many milliseconds are reported: within one ledger, or between two that
/// recorded the same query.
const CLOCK_TOLERANCE_MS: UnixMs = 5_000;
/// Findings of one kind that are listed; more are only counted, if at all.
const MAX_LISTED: usize = 100;

/// The sum of several ledgers, and what is missing or contradictory in them.
#[derive(Clone, Debug, Default)]
pub struct Reconciliation {
    /// All billing lines together.
    pub totals: Totals,
    /// Number of entries in all ledgers.
    pub entries: u64,
    /// Queries that two aggregators recorded. A client's retry is a new query with an id of its own, so one client
    /// request reached both; by rule both count, since both did the work.
    pub duplicates: Vec<String>,
    /// Number of such queries, including those that are not listed.
    pub duplicate_count: usize,
    /// Gaps, each with the aggregator that recorded it.
    pub gaps: Vec<(String, Gap)>,
    /// Descriptions of clocks that disagree.
    pub clock_differences: Vec<String>,
    /// Descriptions of ledgers of the same aggregator, of which it is unknown whether they hold the same queries.
    pub overlaps: Vec<String>,
}

impl Reconciliation {
    /// Whether the totals are proven to be complete: no gap was recorded and no two ledgers are of one aggregator.
    pub fn is_complete(&self) -> bool {
        self.gaps.is_empty() && self.overlaps.is_empty()
    }
}

/// The ledger of one aggregator, as it was read.
pub struct Ledger {
    /// The directory, for messages.
    pub directory: String,
    /// The state after all its records.
    pub book: Book,
    /// Its records with their sequence numbers; only entries are compared.
    pub records: Vec<(u64, Record)>,
}

/// Where and when a query was recorded.
struct Sighting {
    /// Index of the ledger.
    ledger: usize,
    at: UnixMs,
}

/// Compares ledgers and adds them up.
pub fn reconcile(ledgers: &[Ledger]) -> Reconciliation {
    let mut reconciler = Reconciler { ledgers, sightings: HashMap::new(), result: Reconciliation::default() };
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
    /// The last ledger in which each query was found.
    sightings: HashMap<&'a str, Sighting>,
    result: Reconciliation,
}

impl<'a> Reconciler<'a> {
    fn find_overlaps(&mut self) {
        let mut places: HashMap<&str, &str> = HashMap::new();
        for ledger in self.ledgers {
            let aggregator = ledger.book.position().aggregator;
            let place = &ledger.directory;
            if let Some(other) = places.insert(aggregator, place) {
                self.result.overlaps.push(format!("{other} and {place} are both {aggregator}'s"));
            }
        }
    }

    fn add_totals(&mut self, book: &Book) {
        for (line, sums) in book.totals() {
            self.result.totals.entry(line.clone()).or_default().add(sums);
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
                let back = latest - entry.at;
                self.report_clock(format!(
                    "{aggregator}: the clock went back by {back} ms at record {sequence}"
                ));
            }
            latest = latest.max(entry.at);
            self.find_duplicate(index, entry);
        }
    }

    /// Reports a query that another ledger recorded as well.
    fn find_duplicate(&mut self, index: usize, entry: &'a Entry) {
        let sighting = Sighting { ledger: index, at: entry.at };
        let Some(other) = self.sightings.insert(&entry.query, sighting) else { return };
        if other.ledger == index {
            return;
        }
        self.result.duplicate_count += 1;
        if self.result.duplicates.len() < MAX_LISTED {
            self.result.duplicates.push(entry.query.clone());
        }
        let apart = (other.at - entry.at).abs();
        if apart > CLOCK_TOLERANCE_MS {
            let query = &entry.query;
            let other_place = &self.ledgers[other.ledger].directory;
            let place = &self.ledgers[index].directory;
            self.report_clock(format!("{query}: {other_place} and {place} saw it {apart} ms apart"));
        }
    }

    fn report_clock(&mut self, finding: String) {
        if self.result.clock_differences.len() < MAX_LISTED {
            self.result.clock_differences.push(finding);
        }
    }
}
