//! The state of a query, and its progress summed over its parts.

use super::{Class, Idempotency, Millis, PartId};

/// Tolerance for rounding errors in sums of weights.
pub(super) const WEIGHT_ROUNDING: f64 = 5e-5;

pub(super) struct Query {
    /// The candidates of its parts are health-checked before a replica is selected.
    pub uses_health_checks: bool,
    /// Its class. This field, `max_attempts` and `hedging_allowed` keep the settings that applied on arrival.
    pub class: Class,
    pub max_attempts: u32,
    pub hedging_allowed: bool,
    /// The chance with which it was admitted; 0 if the query is excluded from the calibration.
    pub admission_chance: f64,
    pub objective_at: Millis,
    pub deadline_at: Millis,
    /// The parts of its current step.
    pub parts: Vec<PartId>,
    pub in_second_step: bool,
    /// The first step had a complete answer.
    pub first_step_complete: bool,
}

impl Query {
    /// Whether the first step has been answered and the parts of the second step have not arrived yet.
    pub fn awaits_second_step(&self) -> bool {
        self.in_second_step && self.parts.is_empty()
    }

    pub fn is_idempotent(&self) -> bool {
        self.class.idempotency == Idempotency::Idempotent
    }
}

/// The weights of answered parts that a complete and a partial answer need, less a tolerance for rounding.
#[derive(Clone, Copy)]
pub(super) struct Coverage {
    pub complete: f64,
    pub minimum: f64,
}

impl Coverage {
    /// The coverage that the current step of a query needs.
    pub fn needed(class: &Class, in_second_step: bool) -> Self {
        let complete = if in_second_step { 1.0 } else { class.complete_coverage } - WEIGHT_ROUNDING;
        let minimum = class.minimum_coverage.min(complete + WEIGHT_ROUNDING) - WEIGHT_ROUNDING;
        Coverage { complete, minimum }
    }

    pub fn allows_partial(&self) -> bool {
        self.minimum + WEIGHT_ROUNDING < self.complete
    }

    /// Whether a complete answer needs fewer than all parts.
    pub fn has_spare_parts(&self) -> bool {
        self.complete < 1.0 - 2.0 * WEIGHT_ROUNDING
    }
}

/// The status of one part.
pub(super) enum PartStatus {
    Answered,
    InFlight {
        /// The attempt is late, and a hedged request is due.
        hedge_is_due: bool,
    },
    Unsent,
    /// All attempts have failed, and another one may be sent.
    Retryable,
    /// All attempts have failed, and no other one may be sent.
    Unanswerable,
}

/// The progress of a query, summed over its parts.
#[derive(Default)]
pub(super) struct Progress {
    /// Weight of the answered parts.
    pub answered: f64,
    /// Weight of the parts that are answered or can still be answered.
    pub reachable: f64,
    /// Weight of the parts in flight that need no hedged request.
    pub committed: f64,
    pub parts_in_flight: usize,
    pub unsent: Vec<PartId>,
    pub retryable: Vec<PartId>,
    pub hedgeable: Vec<PartId>,
}

impl Progress {
    pub fn add(&mut self, part: PartId, weight: f64, status: &PartStatus) {
        match status {
            PartStatus::Answered => self.answered += weight,
            PartStatus::InFlight { hedge_is_due } => {
                self.parts_in_flight += 1;
                if *hedge_is_due {
                    self.hedgeable.push(part);
                } else {
                    self.committed += weight;
                }
            }
            PartStatus::Unsent => self.unsent.push(part),
            PartStatus::Retryable => self.retryable.push(part),
            PartStatus::Unanswerable => return,
        }
        self.reachable += weight;
    }

    /// Whether waiting cannot improve the answer: it is complete, or no complete one is possible and the partial one
    /// has no part in flight.
    pub fn is_settled(&self, coverage: &Coverage) -> bool {
        let is_complete = self.answered >= coverage.complete;
        let is_best_partial = self.answered >= coverage.minimum
            && self.reachable < coverage.complete
            && self.parts_in_flight == 0;
        is_complete || is_best_partial
    }

    /// Whether the query can no longer be answered, not even partially.
    pub fn is_unanswerable(&self, coverage: &Coverage) -> bool {
        self.reachable < coverage.minimum
    }

    /// Whether a partial answer now has at least the value of a complete one after the latency objective.
    pub fn prefers_partial_to_late_answer(&self, coverage: &Coverage, class: &Class) -> bool {
        coverage.allows_partial()
            && self.answered >= coverage.minimum
            && class.partial_value_factor * self.answered / coverage.complete >= class.late_value_factor
    }
}
