//! Load reports in their text form, as frames and Flight actions carry them.

use crate::balancer::LoadReport;

/// Figures above that are no load.
const MAX_FIGURE: f64 = 1e6;

/// Parses a report such as `busy_reqs=7,cpu_share=0.61`; none where it has no known figure.
///
/// Figures go by the names of `report.fields` in the settings, as on the simulator's wire, or by the protocol page's own
/// short ones; unknown names are skipped.
pub(crate) fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let Some((name, figure)) = pair.split_once('=') else { continue };
        let Some(figure) = parse_figure(figure) else { continue };
        match name {
            "pending" | "queue" => report.queue = Some(figure),
            "busy_reqs" | "inflight" => report.inflight = Some(figure),
            "cpu_share" | "util" => report.utilization = Some(figure),
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

/// Noise may parse as a number too: one such figure would rule the mean over all leaf servers.
fn parse_figure(text: &str) -> Option<f64> {
    let figure = text.parse::<f64>().ok()?;
    (0.0..=MAX_FIGURE).contains(&figure).then_some(figure)
}
