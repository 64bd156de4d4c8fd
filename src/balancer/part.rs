//! What is remembered of parts and their attempts.

use super::replica::CallNumber;
use super::{Idempotency, Millis, Outcome, QueryId, ReplicaId};

/// The two replicas drawn for an attempt; the same twice if only one may be drawn.
#[derive(Clone, Copy)]
pub(super) struct Candidates {
    pub first: ReplicaId,
    pub second: ReplicaId,
}

pub(super) struct Attempt {
    pub replica: ReplicaId,
    pub sent_at: Millis,
    pub call: CallNumber,
    /// How busy its replica was by all that was known.
    pub busyness: f64,
    /// The queue that its replica had reported.
    pub reported_queue: f64,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
    /// It may have cost its replica work.
    pub may_have_cost_work: bool,
}

pub(super) struct Part {
    pub query: QueryId,
    pub shard: u32,
    pub weight: f64,
    pub attempts: Vec<Attempt>,
    pub is_answered: bool,
    /// Its query needs it no more.
    pub is_over: bool,
    /// Drawn for the next attempt, while health checks are waited for.
    pub candidates: Option<Candidates>,
    /// What was expected when its query came; infinite without a holder.
    pub expected_latency: Millis,
}

impl Part {
    pub fn new(query: QueryId, shard: u32, weight: f64, expected_latency: Millis) -> Self {
        Part {
            query,
            shard,
            weight,
            attempts: Vec::new(),
            is_answered: false,
            is_over: false,
            candidates: None,
            expected_latency,
        }
    }

    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }

    pub fn is_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Whether an attempt was sent to a replica.
    pub fn has_tried(&self, replica: ReplicaId) -> bool {
        self.attempts.iter().any(|attempt| attempt.replica == replica)
    }

    /// Whether it may have cost a replica work.
    pub fn may_have_cost_work(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_cost_work)
    }

    /// When the first attempt was sent that may have been executed.
    pub fn maybe_executed_at(&self) -> Option<Millis> {
        let maybe_executed = |attempt: &&Attempt| !attempt.outcome.is_some_and(Outcome::is_never_executed);
        self.attempts.iter().find(maybe_executed).map(|attempt| attempt.sent_at)
    }

    /// The time by which a retry has to have been sent, because replicas drop repeats only for a while. None without a
    /// bound. The timer's granularity, by which times are rounded, is taken off.
    pub fn send_retries_by(&self, idempotency: Idempotency, granularity: Millis) -> Option<Millis> {
        let Idempotency::Keyed { window } = idempotency else { return None };
        self.maybe_executed_at().map(|sent_at| sent_at + window - granularity)
    }
}
