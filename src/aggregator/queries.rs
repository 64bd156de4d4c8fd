//! The life cycle of a query, from its arrival to its single final answer.

use super::query_validation::{QueryIndices, validate_query};
use super::records::{AttemptStage, Part, Query};
use super::reduce::Reduction;
use super::timer::Timer;
use super::{AttemptId, ClientId, Effect, LogEvent, NewPart, NewQuery, QueryError, Reply};
use crate::balancer::{self, Outcome, PartId, PartSpec, QueryId};
use crate::clock::Millis;
use crate::ledger::{self, QuotaShare};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Reduction<'_> {
    pub(super) fn query_received(&mut self, client: ClientId, new: NewQuery) {
        if !self.state.clients.contains_key(&client) {
            return;
        }
        match self.validate(client, &new) {
            Ok(indices) => self.start_query(client, new, indices),
            Err(error) => {
                self.state.counters.queries_malformed += 1;
                self.reply(client, Reply::BadRequest(error));
            }
        }
    }

    fn validate(&mut self, client: ClientId, new: &NewQuery) -> Result<QueryIndices, QueryError> {
        let indices = validate_query(new, &self.state.settings)?;
        let client_is_busy = self.state.clients.get(&client).is_some_and(|client| client.query.is_some());
        // Leaf servers identify a part by request id and shard.
        if client_is_busy || !self.state.request_ids.claim(&new.request_id, self.now) {
            return Err(QueryError::RequestIdInUse);
        }
        Ok(indices)
    }

    fn start_query(&mut self, client: ClientId, new: NewQuery, indices: QueryIndices) {
        let state = &mut *self.state;
        state.counters.queries_received += 1;
        state.counters.parts_received += new.parts.len() as u64;
        let query = QueryId(state.allocate_id());
        let class_deadline = state.settings.balancer.classes[indices.class].deadline;
        // The balancer ends every query by the deadline of its class.
        let time_left = new.time_left.map_or(class_deadline, |time_left| time_left.min(class_deadline));
        let deadline_at = self.query_deadline(&new.request_id, time_left);
        let parts: Vec<PartSpec> = new.parts.iter().map(|part| self.add_part(query, part)).collect();

        let state = &mut *self.state;
        let record = Query {
            client,
            class: new.class.into(),
            tenant: new.tenant,
            tenant_is_known: indices.tenant.is_some(),
            share: QuotaShare::WithinQuota,
            request_id: new.request_id,
            payload: new.payload,
            idempotency_key: new.idempotency_key,
            parts: parts.iter().map(|part| part.part).collect(),
            was_sent: false,
            deadline_at,
        };
        state.queries.insert(query, record);
        if let Some(client) = state.clients.get_mut(&client) {
            client.query = Some(query);
        }
        state.set_timer(deadline_at, Timer::QueryDeadline(query));
        self.balancer_events.push_back(balancer::Event::Query {
            query,
            class: indices.class,
            tenant: indices.tenant,
            time_left,
            is_retry: new.is_retry,
            parts,
        });
    }

    /// The time by which a query with this time left is answered. During a shutdown that is before the process may be
    /// killed.
    fn query_deadline(&mut self, request_id: &Arc<str>, time_left: Millis) -> Millis {
        let own_deadline = self.now + time_left;
        let Some(shutdown) = self.state.shutdown_deadlines else { return own_deadline };
        let deadline = own_deadline.min(shutdown.replies);
        let answer_within = deadline - self.now;
        let request_id = request_id.clone();
        self.effects.push(Effect::Log(LogEvent::QueryDuringShutdown { request_id, answer_within }));
        deadline.max(self.now)
    }

    fn add_part(&mut self, query: QueryId, new: &NewPart) -> PartSpec {
        let part = PartId(self.state.allocate_id());
        let record = Part {
            query,
            shard: new.shard,
            attempts_started: 0,
            open_attempts: BTreeMap::new(),
            unconfirmed_cancellations: 0,
            waiting_attempt: None,
            value: None,
        };
        self.state.parts.insert(part, record);
        PartSpec { part, shard: new.shard, weight: new.weight, cost_hint: new.cost_hint }
    }

    /// Records whether the query that the balancer has just handled exceeds its tenant's quota.
    pub(super) fn record_quota_share(&mut self, query: QueryId) {
        let within_quota = self.state.balancer.last_query_within_quota();
        if let Some(query) = self.state.queries.get_mut(&query)
            && !within_quota
        {
            query.share = QuotaShare::OverQuota;
        }
    }

    /// The values of a query's served parts, in the order of the parts in the query.
    pub(super) fn answer_values(&self, query: QueryId) -> Vec<(u32, Vec<Bytes>)> {
        let Some(query) = self.state.queries.get(&query) else { return Vec::new() };
        let parts = query.parts.iter().filter_map(|part| self.state.parts.get(part));
        parts.filter_map(|part| Some((part.shard, part.value.clone()?))).collect()
    }

    /// Ends a query with its final reply.
    pub(super) fn finish_query(&mut self, query: QueryId, reply: Reply) {
        let Some(client) = self.state.queries.get(&query).map(|query| query.client) else { return };
        let outcome = ledger_outcome(&reply);
        self.count_outcome(outcome);
        self.record_in_ledger(query, outcome);
        self.remove_query(query);
        self.reply(client, reply);
    }

    /// Counts a query's outcome.
    pub(super) fn count_outcome(&mut self, outcome: ledger::Outcome) {
        let counters = &mut self.state.counters;
        let counter = match outcome {
            ledger::Outcome::Complete => &mut counters.answers_complete,
            ledger::Outcome::Partial => &mut counters.answers_partial,
            ledger::Outcome::Rejected => &mut counters.queries_rejected,
            ledger::Outcome::Failed => &mut counters.queries_failed,
            ledger::Outcome::Expired => &mut counters.queries_expired,
            ledger::Outcome::ClientDisconnected => &mut counters.clients_disconnected,
        };
        *counter += 1;
    }

    /// Fallback for a query that the balancer has not ended before its deadline.
    pub(super) fn query_expired(&mut self, query: QueryId) {
        if self.state.queries.contains_key(&query) {
            self.finish_query(query, Reply::Expired);
            self.balancer_events.push_back(balancer::Event::ClientDisconnected { query });
        }
    }

    /// Removes a query and its attempts that were not passed to a writer. The other attempts remain until they end or
    /// the balancer cancels them.
    pub(super) fn remove_query(&mut self, id: QueryId) {
        let Some(query) = self.state.queries.remove(&id) else { return };
        self.state.timers.cancel(query.deadline_at, Timer::QueryDeadline(id));
        self.state.request_ids.release(&query.request_id, query.was_sent, self.now);
        for part in query.parts {
            let Some(record) = self.state.parts.get(&part) else { continue };
            let open_attempts: Vec<AttemptId> = record.open_attempts.values().copied().collect();
            if open_attempts.is_empty() {
                self.state.parts.remove(&part);
                continue;
            }
            for attempt in open_attempts {
                let stage = self.state.attempts.get(&attempt).map(|attempt| attempt.stage);
                if matches!(stage, Some(AttemptStage::Waiting | AttemptStage::Queued { .. })) {
                    self.end_attempt(attempt, Outcome::NotSent, None);
                }
            }
        }
    }
}

/// The ledger's outcome for a query with this final reply.
fn ledger_outcome(reply: &Reply) -> ledger::Outcome {
    match reply {
        Reply::Answer { complete: true, .. } => ledger::Outcome::Complete,
        Reply::Answer { complete: false, .. } => ledger::Outcome::Partial,
        Reply::Rejected { .. } => ledger::Outcome::Rejected,
        Reply::Expired => ledger::Outcome::Expired,
        Reply::Failed | Reply::BadRequest(_) | Reply::Health { .. } | Reply::Metrics(_) => {
            ledger::Outcome::Failed
        }
    }
}
