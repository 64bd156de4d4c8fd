//! Several mixers' ledgers, which never talked, held against each other from their records alone.

use super::UnixMs;
use super::book::{Book, Totals};
use super::entry::{Gap, Record};
use std::collections::HashMap;

/// A clock that runs back by more than that within a run, or two mixers that saw one query so far apart, are told of.
const CLOCKS: UnixMs = 5_000;
/// Findings of one kind that are named; more are counted.
const NAMED: usize = 100;

/// What several ledgers add up to, and what is not proven.
#[derive(Clone, Debug, Default)]
pub struct Reconciled {
    /// All lines together.
    pub totals: Totals,
    /// Entries in all ledgers.
    pub entries: u64,
    /// Queries met at two mixers. A client's retry is a new query with a name of its own, so these are one client
    /// request that two mixers answered: by rule both count, for both did the work.
    pub twice: Vec<String>,
    /// How many there are, those not named included.
    pub twice_count: usize,
    /// Gaps, with the mixer that recorded each.
    pub gaps: Vec<(String, Gap)>,
    /// Clocks that disagree.
    pub clocks: Vec<String>,
    /// Ledgers that are the same mixer's: counted once would be wrong, counted twice too.
    pub overlaps: Vec<String>,
}

impl Reconciled {
    /// Nothing is missing: sequences are whole, no gap was recorded, no ledger stands twice.
    pub fn is_complete(&self) -> bool {
        self.gaps.is_empty() && self.overlaps.is_empty()
    }
}

/// One mixer's records with its book; sequences were held to be whole when they were read.
pub struct Ledger {
    /// Where it was read.
    pub place: String,
    /// Its book.
    pub book: Book,
    /// Its records.
    pub records: Vec<(u64, Record)>,
}

/// Holds ledgers against each other.
pub fn reconcile(ledgers: &[Ledger]) -> Reconciled {
    let mut result = Reconciled::default();
    let mut mixers: HashMap<&str, &str> = HashMap::new();
    let mut met: HashMap<&str, (usize, UnixMs)> = HashMap::new();
    for (i, ledger) in ledgers.iter().enumerate() {
        let (_, mixer, _) = ledger.book.position();
        if let Some(other) = mixers.insert(mixer, &ledger.place) {
            result.overlaps.push(format!("{other} and {} are both {mixer}'s", ledger.place));
        }
        for (line, sums) in ledger.book.totals() {
            let all = result.totals.entry(line.clone()).or_default();
            all.queries += sums.queries;
            all.billed += sums.billed;
            all.refused += sums.refused;
            all.failed += sums.failed;
            all.asked += sums.asked;
            all.parts += sums.parts;
            all.attempts += sums.attempts;
            all.work += sums.work;
            all.late += sums.late;
        }
        result.gaps.extend(ledger.book.gaps().iter().map(|(_, gap)| (mixer.to_owned(), gap.clone())));
        let mut before = UnixMs::MIN;
        for (seq, record) in &ledger.records {
            let Record::Entry(e) = record else { continue };
            result.entries += 1;
            if before > e.at.saturating_add(CLOCKS) && result.clocks.len() < NAMED {
                let back = before - e.at;
                result.clocks.push(format!("{mixer}: the clock went back by {back} ms at record {seq}"));
            }
            before = before.max(e.at);
            match met.insert(&e.query, (i, e.at)) {
                Some((other, at)) if other != i => {
                    result.twice_count += 1;
                    if result.twice.len() < NAMED {
                        result.twice.push(e.query.clone());
                    }
                    let apart = (at - e.at).abs();
                    if apart > CLOCKS && result.clocks.len() < NAMED {
                        let place = &ledgers[other].place;
                        result.clocks.push(format!(
                            "{}: {place} and {} saw it {apart} ms apart",
                            e.query, ledger.place
                        ));
                    }
                }
                _ => {}
            }
        }
    }
    result
}
