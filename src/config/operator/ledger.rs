//! Section `ledger`: use by tenant, kept on disk.

use super::setting::{Count, FieldContext, choices, records};
use crate::ledger::{self, Calendar, ClassPrices, PriceList};
use crate::yaml::Node;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

const MILLIS_PER_HOUR: u64 = 3_600_000;

records! {
    /// Use by tenant, kept on disk; off unless there is a directory.
    LedgerRecord {
        /// The directory, beside this file unless absolute; one process owns it.
        dir: Option<String> = None,
        /// Whether an answer waits until its entry is safe.
        mode: LedgerMode = LedgerMode::Group,
        /// Milliseconds between two commits: in group mode a crash loses no more than that.
        commit_ms: Count<1, 1000> = Count(50),
        /// Milliseconds that an answer waits for its entry at most, in strict mode.
        answer_wait_ms: Count<1, 1000> = Count(250),
        /// The time zone of the billing periods, by its name in the IANA database.
        time_zone: String = "Asia/Taipei".to_owned(),
        /// Hours after a period's end until it closes.
        grace_hours: Count<0, 744> = Count(24),
        /// In which form a period is exported when it closes.
        export: LedgerExport = LedgerExport::Off,
        /// Megabytes of a segment, beyond which it is sealed.
        segment_mb: Count<1, 1024> = Count(8),
        /// Units of work by class; a class that is not there costs a unit a part.
        prices: BTreeMap<String, PriceRecord> = BTreeMap::new(),
    }

    /// Units of work, in thousandths.
    PriceRecord {
        /// For a query answered.
        query: Count<0, 1_000_000_000> = Count(0),
        /// For each part served.
        part: Count<0, 1_000_000_000> = Count(1000),
    }
}

choices! {
    /// Whether answers wait for the ledger.
    LedgerMode {
        /// They do not; a crash loses what came since the last commit.
        Group = "group",
        /// They do.
        Strict = "strict",
    }

    /// The form of exports.
    LedgerExport {
        /// By command alone.
        Off = "off",
        /// Rows under a header.
        Csv = "csv",
        /// A JSON object a line.
        JsonLines = "jsonl",
        /// Arrow's IPC file.
        Arrow = "arrow",
    }
}

/// A ledger to be kept.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Its directory.
    pub dir: PathBuf,
    /// How long an answer waits for its entry at most; `None` if answers do not wait.
    pub max_answer_wait: Option<Duration>,
    /// Time between two commits.
    pub commit_interval: Duration,
    /// The billing periods.
    pub calendar: Calendar,
    /// How it is stored.
    pub options: ledger::Options,
    /// What use costs.
    pub prices: PriceList,
}

impl LedgerRecord {
    /// The ledger that the record sets up, or `None` where it names no directory or an unknown time zone; the latter is
    /// reported to `root`. `tree` is the whole file, for line numbers.
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

/// The line of the time zone or, where the default is at fault, of the section.
fn time_zone_line(tree: &Node) -> u32 {
    let Some(section) = tree.get("ledger") else { return 1 };
    match section.get("time_zone") {
        Some(time_zone) => time_zone.line,
        None => section.line,
    }
}
