//! Section `ledger`: the ledger of each tenant's usage, stored on disk.

use super::setting::{Count, FieldContext, choices, records};
use crate::ledger::{self, Calendar, ClassPrices, PriceList};
use crate::yaml::Node;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

const MILLIS_PER_HOUR: u64 = 3_600_000;

records! {
    /// Ledger of each tenant's usage, stored on disk; off unless `dir` is set.
    LedgerRecord {
        /// Directory of the ledger, relative to the directory of this file unless absolute; for one process only.
        dir: Option<String> = None,
        /// Whether an answer is held until its ledger entry is durable.
        mode: LedgerMode = LedgerMode::Group,
        /// Milliseconds between two commits in group mode: a crash loses at most the entries of this time.
        commit_ms: Count<1, 1000> = Count(50),
        /// Maximum time in milliseconds that an answer is held for its ledger entry, in strict mode.
        answer_wait_ms: Count<1, 1000> = Count(250),
        /// Time zone of the billing periods, by its name in the IANA time zone database.
        time_zone: String = "Asia/Taipei".to_owned(),
        /// Hours from the end of a billing period until it closes; later entries are billed in a later period.
        grace_hours: Count<0, 744> = Count(24),
        /// Format in which a billing period is exported when it closes.
        export: LedgerExport = LedgerExport::Off,
        /// Size of a segment in MiB; a segment that has reached it is sealed.
        segment_mb: Count<1, 1024> = Count(8),
        /// Prices by class; a class that is not listed costs one unit of work per part.
        prices: BTreeMap<String, PriceRecord> = BTreeMap::new(),
    }

    /// Prices of a class, in thousandths of a unit of work.
    PriceRecord {
        /// Price of each answered query.
        query: Count<0, 1_000_000_000> = Count(0),
        /// Price of each part served.
        part: Count<0, 1_000_000_000> = Count(1000),
    }
}

choices! {
    /// Whether answers are held until their ledger entries are durable.
    LedgerMode {
        /// Answers are sent at once; a crash loses the entries since the last commit.
        Group = "group",
        /// Answers are held until their entries are durable, for at most `answer_wait_ms`.
        Strict = "strict",
    }

    /// Format in which a billing period is exported when it closes.
    LedgerExport {
        /// No automatic export; periods are exported by command only.
        Off = "off",
        /// CSV with a header.
        Csv = "csv",
        /// One JSON object per line.
        JsonLines = "jsonl",
        /// Arrow IPC file format.
        Arrow = "arrow",
    }
}

/// The resolved settings of a ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Directory of the ledger.
    pub dir: PathBuf,
    /// Maximum time that an answer is held for its ledger entry; `None` if answers are sent at once.
    pub max_answer_wait: Option<Duration>,
    /// Time between two commits, if answers are sent at once.
    pub commit_interval: Duration,
    /// Calendar of the billing periods.
    pub calendar: Calendar,
    /// Options of the ledger's storage.
    pub options: ledger::Options,
    /// Prices of queries and parts, by class.
    pub prices: PriceList,
}

impl LedgerRecord {
    /// The settings of the ledger, or `None` if the record has no directory or an unknown time zone; the latter is
    /// reported to `root`. `tree` is the complete file, for line numbers.
    pub(super) fn resolve(&self, tree: &Node, root: &mut FieldContext<'_>, base: &Path) -> Option<Ledger> {
        let calendar = match Calendar::new(&self.time_zone) {
            Ok(calendar) => calendar,
            Err(message) => {
                root.field("ledger").field("time_zone").report(time_zone_line(tree), message);
                return None;
            }
        };
        Some(Ledger {
            dir: base.join(self.dir.as_ref()?),
            max_answer_wait: self.is_strict().then_some(Duration::from_millis(self.answer_wait_ms.0)),
            commit_interval: Duration::from_millis(self.commit_ms.0),
            calendar,
            options: self.store_options(),
            prices: self.price_list(),
        })
    }

    fn is_strict(&self) -> bool {
        self.mode == LedgerMode::Strict
    }

    fn store_options(&self) -> ledger::Options {
        ledger::Options {
            segment_bytes: (self.segment_mb.0 << 20) as usize,
            grace_ms: (self.grace_hours.0 * MILLIS_PER_HOUR) as i64,
            loss_window_ms: if self.is_strict() { 0 } else { self.commit_ms.0 as i64 },
            export_format: match self.export {
                LedgerExport::Off => None,
                LedgerExport::Csv => Some(ledger::Format::Csv),
                LedgerExport::JsonLines => Some(ledger::Format::JsonLines),
                LedgerExport::Arrow => Some(ledger::Format::Arrow),
            },
        }
    }

    fn price_list(&self) -> PriceList {
        let mut classes = BTreeMap::new();
        for (class, price) in &self.prices {
            let prices = ClassPrices { query: price.query.0, part: price.part.0 };
            classes.insert(class.clone(), prices);
        }
        PriceList { classes }
    }
}

/// The line of the time zone or, if the record uses the default, of the section.
fn time_zone_line(tree: &Node) -> u32 {
    let Some(section) = tree.get("ledger") else { return 1 };
    match section.get("time_zone") {
        Some(time_zone) => time_zone.line,
        None => section.line,
    }
}
