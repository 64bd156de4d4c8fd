//! The state of parts and their attempts.

use super::replica::CallNumber;
use super::{Idempotency, Millis, Outcome, QueryId, ReplicaId};

/// The two replicas drawn for an attempt; the same one twice if only one is eligible.
#[derive(Clone, Copy)]
pub(super) struct Candidates {
    pub first: ReplicaId,
    pub second: ReplicaId,
}

pub(super) struct Attempt {
    pub replica: ReplicaId,
    pub sent_at: Millis,
    pub call: CallNumber,
    /// The estimated load of the replica when the attempt was sent, in parts (see `Scoring::estimated_load`).
    pub estimated_load: f64,
    /// The reported queue of the replica when the attempt was sent, in parts.
    pub reported_queue: f64,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
    /// The attempt may have used capacity of its replica.
    pub may_have_used_capacity: bool,
}

pub(super) struct Part {
    pub query: QueryId,
    pub shard: u32,
    pub weight: f64,
    pub attempts: Vec<Attempt>,
    pub is_answered: bool,
    /// Its query has ended or has begun its second step. The part is kept only while attempts are in flight.
    pub is_released: bool,
    /// The replicas drawn for the next attempt, while their health checks are awaited.
    pub candidates: Option<Candidates>,
    /// The latency expected when its query arrived; infinite without a holder of the shard.
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
            is_released: false,
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

    /// Whether an attempt of the part was sent to a replica.
    pub fn has_tried(&self, replica: ReplicaId) -> bool {
        self.attempts.iter().any(|attempt| attempt.replica == replica)
    }

    /// Whether an attempt of the part may have used capacity of a replica.
    pub fn may_have_used_capacity(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_used_capacity)
    }

    /// When the first attempt that may have been executed was sent.
    pub fn maybe_executed_at(&self) -> Option<Millis> {
        let maybe_executed = |attempt: &&Attempt| !attempt.outcome.is_some_and(Outcome::rules_out_execution);
        self.attempts.iter().find(maybe_executed).map(|attempt| attempt.sent_at)
    }

    /// The latest time for sending a retry, since replicas deduplicate by idempotency key only for a limited time.
    /// None without a limit. The timer's granularity, to which times are rounded, is subtracted.
    pub fn send_retries_by(&self, idempotency: Idempotency, granularity: Millis) -> Option<Millis> {
        let Idempotency::Keyed { window } = idempotency else { return None };
        self.maybe_executed_at().map(|sent_at| sent_at + window - granularity)
    }
}
