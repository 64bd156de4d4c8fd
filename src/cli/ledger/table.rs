//! Formatting of billing lines as a table.

use crate::inventory::columns;
use crate::ledger::{BillingLine, Totals, Usage};

const HEADER: [&str; 12] = [
    "PERIOD", "TENANT", "CLASS", "SHARE", "QUERIES", "BILLED", "REFUSED", "FAILED", "PARTS", "ATTEMPTS",
    "UNITS", "LATE",
];

/// Billing lines as a table with a header.
pub(super) fn totals_table(totals: &Totals) -> String {
    let mut rows = vec![HEADER.map(str::to_owned)];
    rows.extend(totals.iter().map(|(line, sums)| row(line, sums)));
    columns(&rows)
}

fn row(line: &BillingLine, sums: &Usage) -> [String; 12] {
    [
        line.period.to_string(),
        line.account.name(),
        line.class.clone(),
        line.share.as_str().to_owned(),
        sums.queries.to_string(),
        sums.billed.to_string(),
        sums.rejected.to_string(),
        sums.failed.to_string(),
        sums.parts.to_string(),
        sums.attempts.to_string(),
        format!("{}.{:03}", sums.work / 1000, sums.work % 1000),
        sums.late.to_string(),
    ]
}
