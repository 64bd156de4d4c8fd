//! The state of a query, and its progress as a sum over its parts.

use super::{Class, Idempotency, Millis, PartId};

/// Sums of weights may fall short by this through rounding.
pub(super) const WEIGHT_ROUNDING: f64 = 5e-5;

pub(super) struct Query {
    /// Its candidates are health-checked before a replica is chosen.
    pub uses_health_checks: bool,
    /// Its class; this and the next two are as they were when it arrived.
    pub class: Class,
    pub max_attempts: u32,
    pub hedging_allowed: bool,
    /// The chance by which it was admitted; 0 if it does not count for the calibration of chances.
    pub admission_chance: f64,
    pub objective_at: Millis,
    pub deadline_at: Millis,
    /// The parts of its current step.
    pub parts: Vec<PartId>,
    pub in_second_step: bool,
    /// The first step was answered completely.
    pub first_step_complete: bool,
}

impl Query {
    /// Whether the first step has been answered and the parts of the second are not known yet.
    pub fn awaits_second_step(&self) -> bool {
        self.in_second_step && self.parts.is_empty()
    }

    pub fn is_idempotent(&self) -> bool {
        self.class.idempotency == Idempotency::Idempotent
    }
}

/// The weight of the parts that an answer needs, less rounding.
#[derive(Clone, Copy)]
pub(super) struct Coverage {
    pub complete: f64,
    pub minimum: f64,
}

impl Coverage {
    /// What the current step of a query needs.
    pub fn needed(class: &Class, in_second_step: bool) -> Self {
        let complete = if in_second_step { 1.0 } else { class.complete_coverage } - WEIGHT_ROUNDING;
        let minimum = class.minimum_coverage.min(complete + WEIGHT_ROUNDING) - WEIGHT_ROUNDING;
        Coverage { complete, minimum }
    }

    pub fn allows_partial(&self) -> bool {
        self.minimum + WEIGHT_ROUNDING < self.complete
    }

    /// Whether a complete answer needs less than all parts.
    pub fn has_spare_parts(&self) -> bool {
        self.complete < 1.0 - 2.0 * WEIGHT_ROUNDING
    }
}

/// The status of one part.
pub(super) enum PartStatus {
    Answered,
    InFlight {
        /// It is late, and a further attempt may help.
        hedge_is_due: bool,
    },
    Unsent,
    /// All attempts have failed, another one may be sent.
    Retryable,
    /// It cannot be answered any more.
    Lost,
}

/// The parts of a query, summed up.
#[derive(Default)]
pub(super) struct Progress {
    /// Weight of the answered parts.
    pub answered: f64,
    /// Weight of the parts that are answered or may yet be.
    pub reachable: f64,
    /// Weight of the parts in flight that are not late.
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
            PartStatus::Lost => return,
        }
        self.reachable += weight;
    }

    /// Whether the answer is as good as it gets: complete, or the best partial one with nothing left to wait for.
    pub fn is_settled(&self, coverage: &Coverage) -> bool {
        let is_complete = self.answered >= coverage.complete;
        let is_best_partial = self.answered >= coverage.minimum
            && self.reachable < coverage.complete
            && self.parts_in_flight == 0;
        is_complete || is_best_partial
    }

    /// Whether the query cannot be answered any more, not even partially.
    pub fn is_lost(&self, coverage: &Coverage) -> bool {
        self.reachable < coverage.minimum
    }

    /// Whether a partial answer now is worth no less than a complete one after the latency objective.
    pub fn is_partial_worth_more_than_late(&self, coverage: &Coverage, class: &Class) -> bool {
        coverage.allows_partial()
            && self.answered >= coverage.minimum
            && class.partial_value_factor * self.answered / coverage.complete >= class.late_value_factor
    }
}
