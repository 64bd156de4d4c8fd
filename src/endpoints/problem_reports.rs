//! When the problem of a source of endpoints is reported: at most one a second, and the current one in the end.

use super::Millis;

/// Least time between two reported problems of one source.
const MIN_REPORT_INTERVAL: Millis = 1000.0;

/// The problem of one source: reported when it changes. One that comes too soon after the last report is kept, and
/// reported when the interval is over unless another one has replaced it or the source has recovered.
#[derive(Clone, Debug, Default)]
pub struct ProblemReports {
    /// The current problem, while its report is due.
    unreported: Option<String>,
    /// The problem reported last; none since the source recovered.
    reported: Option<String>,
    reported_at: Option<Millis>,
}

impl ProblemReports {
    /// Records the source's current problem; returns it if it is to be reported now.
    pub fn record(&mut self, now: Millis, problem: String) -> Option<String> {
        let is_reported = self.reported.as_ref() == Some(&problem);
        self.unreported = (!is_reported).then_some(problem);
        self.take_due(now)
    }

    /// The problem whose report had to wait, once the interval is over.
    pub fn take_due(&mut self, now: Millis) -> Option<String> {
        if self.reported_at.is_some_and(|at| now - at < MIN_REPORT_INTERVAL) {
            return None;
        }
        let problem = self.unreported.take()?;
        self.reported = Some(problem.clone());
        self.reported_at = Some(now);
        Some(problem)
    }

    /// Whether a problem waits for its report.
    pub fn is_pending(&self) -> bool {
        self.unreported.is_some()
    }

    /// The source has recovered: the next problem is reported even if it equals the last one.
    pub fn clear(&mut self) {
        self.unreported = None;
        self.reported = None;
    }
}
