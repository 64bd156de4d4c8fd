//! Why queries are rejected.

use std::fmt;

/// Why a query ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// It has no part.
    NoParts,
    /// Too much is in flight for a query of its priority.
    InFlightLimit,
    /// It is not likely enough to be answered in time.
    LowChance,
    /// It would be likely enough, but chances of recent queries have not come true.
    UnreliableChance,
    /// Its latency objective cannot be met any more, and a late answer has no value.
    TooLate,
    /// Its time is over.
    DeadlineReached,
    /// Parts that it needs cannot be answered any more: no holder, or no attempt is left.
    PartsLost,
    /// It seems to crash replicas.
    CrashesReplicas,
    /// An unsent part that it needs could hardly be answered in time any more.
    PartTooLate,
    /// A part that it needs has failed, and the retry budget is used up.
    RetryBudget,
}

impl RejectReason {
    /// All reasons.
    pub const ALL: [Self; 10] = [
        Self::NoParts,
        Self::InFlightLimit,
        Self::LowChance,
        Self::UnreliableChance,
        Self::TooLate,
        Self::DeadlineReached,
        Self::PartsLost,
        Self::CrashesReplicas,
        Self::PartTooLate,
        Self::RetryBudget,
    ];

    /// The reason as a label of metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoParts => "no_parts",
            Self::InFlightLimit => "in_flight_limit",
            Self::LowChance => "low_chance",
            Self::UnreliableChance => "unreliable_chance",
            Self::TooLate => "too_late",
            Self::DeadlineReached => "deadline_reached",
            Self::PartsLost => "parts_lost",
            Self::CrashesReplicas => "crashes_replicas",
            Self::PartTooLate => "part_too_late",
            Self::RetryBudget => "retry_budget",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
