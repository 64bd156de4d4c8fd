//! Parses load reports in the text format that frames and Flight actions use.

use crate::balancer::LoadReport;

/// Largest plausible value of a load report; greater values are ignored.
const MAX_LOAD_VALUE: f64 = 1e6;

/// Parses a report such as `busy_reqs=7,cpu_share=0.61`; `None` if it contains no known name with a valid value.
///
/// Accepts the names of `report.fields` in the settings, which the simulator uses as well, and the short names of the
/// leaf protocol. Unknown names are skipped.
pub(crate) fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(value) = parse_load_value(value) else { continue };
        match name {
            "pending" | "queue" => report.queue = Some(value),
            "busy_reqs" | "inflight" => report.inflight = Some(value),
            "cpu_share" | "util" => report.utilization = Some(value),
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

/// Parses a value and rejects implausible ones: malformed input may also parse as a number, and a single huge value
/// would dominate the mean over all leaf servers.
fn parse_load_value(text: &str) -> Option<f64> {
    let value = text.parse::<f64>().ok()?;
    (0.0..=MAX_LOAD_VALUE).contains(&value).then_some(value)
}
