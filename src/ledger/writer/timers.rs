//! Timers of the ledger's thread: for commits, for operators' requests and for closing periods.

use std::time::{Duration, Instant};

/// Interval of checks for periods that are due to be closed.
const PERIOD_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of checks for requests of operators.
const REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The timers of the ledger's thread.
pub(super) struct Timers {
    /// Time at which the records accepted since the last commit must be committed; `None` if there are none.
    commit_at: Option<Instant>,
    last_period_check: Instant,
    last_request_check: Instant,
}

impl Timers {
    pub fn new() -> Self {
        let now = Instant::now();
        Timers { commit_at: None, last_period_check: now, last_request_check: now }
    }

    /// The latest time at which the thread must wake up. `retry_at` is the time of the next write attempt; `None` unless
    /// the disk fails.
    pub fn next_wake(&self, retry_at: Option<Instant>) -> Instant {
        let request_check = self.last_request_check + REQUEST_CHECK_INTERVAL;
        // While the disk fails, there is no commit before the next attempt.
        let write_at = retry_at.or(self.commit_at);
        write_at.map_or(request_check, |write_at| write_at.min(request_check))
    }

    /// Schedules a commit after the interval unless one is already scheduled.
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
        self.last_request_check.elapsed() >= REQUEST_CHECK_INTERVAL
    }

    pub fn restart_request_check(&mut self) {
        self.last_request_check = Instant::now();
    }

    pub fn is_period_check_due(&self) -> bool {
        self.last_period_check.elapsed() >= PERIOD_CHECK_INTERVAL
    }

    pub fn restart_period_check(&mut self) {
        self.last_period_check = Instant::now();
    }
}
