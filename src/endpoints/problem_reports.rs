//! Rate limit for reports of an endpoint source's problems: at most one per second, and the current problem is always
//! reported eventually.

use super::Millis;

/// Minimum time between two reported problems of one source.
const MIN_REPORT_INTERVAL: Millis = 1000.0;

/// The problem of one source, reported when it changes. A problem that occurs too soon after the last report is kept
/// and reported at the end of the interval, unless another problem has replaced it or the source has recovered.
#[derive(Clone, Debug, Default)]
pub struct ProblemReports {
    /// The current problem, until it is reported.
    unreported: Option<String>,
    /// The problem reported last; `None` after the source has recovered.
    reported: Option<String>,
    reported_at: Option<Millis>,
}

impl ProblemReports {
    /// Records the source's current problem; returns it if it must be reported now.
    pub fn record(&mut self, now: Millis, problem: String) -> Option<String> {
        let is_reported = self.reported.as_ref() == Some(&problem);
        self.unreported = (!is_reported).then_some(problem);
        self.take_due(now)
    }

    /// The problem whose report was delayed, once the interval is over.
    pub fn take_due(&mut self, now: Millis) -> Option<String> {
        if self.reported_at.is_some_and(|at| now - at < MIN_REPORT_INTERVAL) {
            return None;
        }
        let problem = self.unreported.take()?;
        self.reported = Some(problem.clone());
        self.reported_at = Some(now);
        Some(problem)
    }

    /// Whether a problem has not been reported yet.
    pub fn is_pending(&self) -> bool {
        self.unreported.is_some()
    }

    /// Records that the source has recovered: the next problem is reported even if it equals the last one.
    pub fn clear(&mut self) {
        self.unreported = None;
        self.reported = None;
    }
}
