//! The records of parts and their attempts.

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
    /// The load of its replica when it was sent, in parts (see `Scoring::busyness`).
    pub busyness: f64,
    /// The reported queue of its replica when it was sent, in parts.
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
    /// Expected when its query arrived; infinite without a holder of the shard.
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

    /// Whether an attempt of it may have cost a replica work.
    pub fn may_have_cost_work(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_cost_work)
    }

    /// When the first attempt was sent that may have been executed.
    pub fn maybe_executed_at(&self) -> Option<Millis> {
        let maybe_executed = |attempt: &&Attempt| !attempt.outcome.is_some_and(Outcome::is_never_executed);
        self.attempts.iter().find(maybe_executed).map(|attempt| attempt.sent_at)
    }

    /// The time by which a retry has to be sent, since replicas deduplicate by idempotency key only for a while. None
    /// without a bound. The timer's granularity, by which times are rounded, is subtracted.
    pub fn send_retries_by(&self, idempotency: Idempotency, granularity: Millis) -> Option<Millis> {
        let Idempotency::Keyed { window } = idempotency else { return None };
        self.maybe_executed_at().map(|sent_at| sent_at + window - granularity)
    }
}
