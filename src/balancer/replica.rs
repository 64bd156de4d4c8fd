//! The state of one replica. Each module has its own type in it, which only that module changes.

use super::Millis;
use super::health_checks::HealthCheckState;
use super::load_reports::ReportedQueue;
use super::outlier_detection::OutlierStats;
use super::slow_start::WarmUp;
use std::collections::BTreeMap;

#[derive(Default)]
pub(super) struct Replica {
    pub cell: u32,
    pub zone: u32,
    /// Its relative capacity; only ratios between replicas matter.
    pub weight: f64,
    pub is_up: bool,
    /// When a sweep first found it not to be up.
    pub down_since: Option<Millis>,
    pub calls: CallsInFlight,
    pub warm_up: WarmUp,
    pub outlier_stats: OutlierStats,
    pub reported_queue: Option<ReportedQueue>,
    pub health_check: HealthCheckState,
}

/// The number of a call to one replica, assigned by its [`CallsInFlight`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallNumber(u64);

struct Call {
    sent_at: Millis,
    parts: u32,
}

/// The calls in flight to a replica; a call carries one or more parts.
#[derive(Default)]
pub(super) struct CallsInFlight {
    calls: BTreeMap<CallNumber, Call>,
    last_number: u64,
}

impl CallsInFlight {
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub fn oldest_sent_at(&self) -> Option<Millis> {
        self.calls.values().next().map(|call| call.sent_at)
    }

    /// Adds a part to the latest call if it was sent at the same time and has room, otherwise to a new call.
    pub fn add_part(&mut self, now: Millis, max_parts: u32) -> CallNumber {
        if let Some((number, call)) = self.calls.iter_mut().next_back()
            && call.sent_at == now
            && call.parts < max_parts
        {
            call.parts += 1;
            return *number;
        }
        self.last_number += 1;
        let number = CallNumber(self.last_number);
        self.calls.insert(number, Call { sent_at: now, parts: 1 });
        number
    }

    /// Removes a part that has ended from its call; the call ends with its last part.
    pub fn remove_part(&mut self, number: CallNumber) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.parts -= 1;
        if call.parts == 0 {
            self.calls.remove(&number);
        }
    }
}
