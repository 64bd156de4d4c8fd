//! The process's clock: monotonic, in milliseconds as `f64`, based on Unix time so that start times from discovery can
//! be compared with it. Tests set the clock explicitly.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds: a point in time on the process's clock, or a duration.
pub type Millis = f64;

const MILLIS_PER_SECOND: f64 = 1e3;

/// Replaces a wait that `Duration` cannot represent.
const LONGEST_WAIT: Duration = Duration::from_hours(1);

/// The clock of a process; the times of all events come from it.
#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    /// Unix time at the start, to which the monotonic time is added.
    unix_time_at_start: Millis,
    /// The fixed time of a clock that has been set; `None`: the clock follows the system's.
    fixed: Cell<Option<Millis>>,
}

impl Clock {
    /// A clock that follows the system's monotonic clock.
    pub fn system() -> Self {
        Clock { started: Instant::now(), unix_time_at_start: unix_now(), fixed: Cell::new(None) }
    }

    /// A clock that does not advance until it is set, for tests.
    pub fn at(now: Millis) -> Self {
        Clock { started: Instant::now(), unix_time_at_start: now, fixed: Cell::new(Some(now)) }
    }

    /// Sets the clock; from then on it does not advance until it is set again.
    pub fn set(&self, now: Millis) {
        self.fixed.set(Some(now));
    }

    /// The current time; it never decreases.
    pub fn now(&self) -> Millis {
        if let Some(fixed) = self.fixed.get() {
            return fixed;
        }
        self.unix_time_at_start + self.started.elapsed().as_secs_f64() * MILLIS_PER_SECOND
    }

    /// How far the system's wall clock is ahead of this clock; not 0 if the wall clock has been stepped since the start.
    pub fn wall_clock_offset(&self) -> Millis {
        match self.fixed.get() {
            Some(_) => 0.0,
            None => unix_now() - self.now(),
        }
    }

    /// Converts a time on this clock to an instant for timers; a time in the past becomes the current instant.
    pub fn instant(&self, at: Millis) -> Instant {
        let wait_millis = (at - self.now()).max(0.0);
        let wait = Duration::try_from_secs_f64(wait_millis / MILLIS_PER_SECOND).unwrap_or(LONGEST_WAIT);
        Instant::now() + wait
    }
}

fn unix_now() -> Millis {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since_epoch) => since_epoch.as_secs_f64() * MILLIS_PER_SECOND,
        Err(_) => 0.0,
    }
}
