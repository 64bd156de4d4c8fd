//! When the ledger's thread commits, looks for requests and closes periods.

use std::time::{Duration, Instant};

/// Time between two searches for periods that are due.
const PERIOD_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two searches for requests of operators.
const REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The timers of the ledger's thread.
pub(super) struct Timers {
    /// When the records taken since the last commit must be committed.
    commit_at: Option<Instant>,
    periods_checked: Instant,
    requests_checked: Instant,
}

impl Timers {
    pub fn new() -> Self {
        let now = Instant::now();
        Timers { commit_at: None, periods_checked: now, requests_checked: now }
    }

    /// When the thread must wake up at the latest. `retry_at` is the next attempt on a disk that fails.
    pub fn next_wake(&self, retry_at: Option<Instant>) -> Instant {
        let request_check = self.requests_checked + REQUEST_CHECK_INTERVAL;
        // While the disk fails no commit is carried out before the next attempt.
        let write = retry_at.or(self.commit_at);
        write.map_or(request_check, |write| write.min(request_check))
    }

    /// Commits after the interval, unless an earlier commit is scheduled.
    pub fn schedule_commit(&mut self, interval: Duration) {
        self.commit_at.get_or_insert_with(|| Instant::now() + interval);
    }

    pub fn clear_commit(&mut self) {
        self.commit_at = None;
    }

    pub fn is_commit_due(&self) -> bool {
        self.commit_at.is_some_and(|commit_at| commit_at <= Instant::now())
    }

    pub fn is_request_check_due(&self) -> bool {
        self.requests_checked.elapsed() >= REQUEST_CHECK_INTERVAL
    }

    pub fn restart_request_check(&mut self) {
        self.requests_checked = Instant::now();
    }

    pub fn is_period_check_due(&self) -> bool {
        self.periods_checked.elapsed() >= PERIOD_CHECK_INTERVAL
    }

    pub fn restart_period_check(&mut self) {
        self.periods_checked = Instant::now();
    }
}
