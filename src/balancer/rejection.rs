//! Reasons for rejecting queries.

use std::fmt;

/// The reason why a query ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The query has no parts.
    NoParts,
    /// The in-flight limit for the query's priority is reached.
    InFlightLimit,
    /// The chance that the query is answered in time is too low.
    LowChance,
    /// The predicted chance is high enough, but recent predictions have been too optimistic.
    UnreliableChance,
    /// The latency objective can no longer be met, and a late answer has no value.
    TooLate,
    /// The deadline, or the latency objective where late answers are not worth the work, has passed.
    DeadlineReached,
    /// A required part can no longer be answered: its shard has no holder, or no attempt is left.
    PartsLost,
    /// The query appears to crash replicas.
    CrashesReplicas,
    /// A required part has not been sent and is very unlikely to be answered in time.
    PartTooLate,
    /// A required part has failed, and the retry budget is used up.
    RetryBudget,
}

impl RejectReason {
    /// All reasons, in the order of declaration.
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

    /// The reason as a label in metrics and logs.
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
