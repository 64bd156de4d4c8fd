//! A simulated aggregator: its balancer, and the mapping between the protocol's names and the balancer's ids.

use super::error::ProtocolError;
use super::message::{
    CallResult, EndpointRow, InstanceId, InstanceMessage, ListScope, PartMessage, QueryMessage,
    UncheckedResult, required,
};
use super::name_interner::NameInterner;
use super::reply::{ActionWriter, write_panic};
use miniserde::json::Value;
use sailmux::Balancer;
use sailmux::balancer::{
    Action, Event, Millis, PartId, PartSpec, QueryId, ReplicaEntry, ReplicaId, ReplicaState,
};
use sailmux::config::{parse_platform_settings, zone_index};
use sailmux::json::Field;
use std::any::Any;
use std::collections::HashMap;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// A simulated aggregator.
pub struct Instance {
    id: InstanceId,
    balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    /// Names of queries and parts.
    requests: NameInterner,
    replicas: NameInterner,
    /// Queries by their group number, to which their parts refer.
    groups: HashMap<u64, QueryId>,
    /// The event whose parts are still arriving.
    pending: Option<PendingEvent>,
    /// Buffer that is reused for every event to avoid allocations.
    actions: Vec<Action>,
    /// Set once the balancer has panicked; further events are dropped.
    failed: bool,
}

/// A query or a second step whose parts are still arriving, one message each.
struct PendingEvent {
    group: u64,
    event: Event,
}

impl PendingEvent {
    fn push(&mut self, part: PartSpec) {
        if let Event::Query { parts, .. } | Event::SecondStep { parts, .. } = &mut self.event {
            parts.push(part);
        }
    }
}

impl Instance {
    /// Creates an instance from settings in the platform's format.
    ///
    /// # Errors
    /// The settings are incomplete or invalid.
    pub fn new(id: InstanceId, seed: u64, settings: &Value) -> Result<Self, ProtocolError> {
        let settings = parse_platform_settings(&Field::root(settings))?;
        Ok(Instance {
            id,
            balancer: Balancer::new(settings.balancer, seed)?,
            classes: settings.classes,
            tenants: settings.tenants,
            zones: settings.zones,
            requests: NameInterner::default(),
            replicas: NameInterner::default(),
            groups: HashMap::new(),
            pending: None,
            actions: Vec::new(),
            failed: false,
        })
    }

    /// Handles a message; `rows` are the rows of the endpoint list that it refers to.
    ///
    /// # Errors
    /// The message is invalid, or writing the output fails.
    pub fn handle(
        &mut self,
        now: Millis,
        message: InstanceMessage,
        rows: &[EndpointRow],
        output: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let event = match message {
            InstanceMessage::Ignored => return Ok(()),
            InstanceMessage::Query(query) => return self.begin_query(now, query, output),
            InstanceMessage::Part(part) => return self.add_part(now, part, output),
            InstanceMessage::EndpointList { scope, .. } => Some(self.endpoint_list(scope, rows)?),
            InstanceMessage::AttemptEnded { part, attempt, result } => {
                self.attempt_ended(&part, attempt, result)?
            }
            InstanceMessage::HealthCheckEnded { replica, result } => {
                self.health_check_ended(&replica, result)?
            }
            InstanceMessage::ClientDisconnected { query } => {
                let query = self.requests.lookup(&query).map(QueryId);
                query.map(|query| Event::ClientDisconnected { query })
            }
            InstanceMessage::Timer => Some(Event::Timer),
        };
        // Messages about ids that this instance does not have are ignored.
        let Some(event) = event else { return Ok(()) };
        self.deliver_pending(now, output)?;
        self.deliver(now, event, output)
    }

    /// Delivers the pending event. Its parts are complete once any other event arrives or the batch ends.
    ///
    /// # Errors
    /// Writing the output fails.
    pub fn deliver_pending(&mut self, now: Millis, output: &mut impl Write) -> Result<(), ProtocolError> {
        match self.pending.take() {
            Some(pending) => self.deliver(now, pending.event, output),
            None => Ok(()),
        }
    }

    fn deliver(&mut self, now: Millis, event: Event, output: &mut impl Write) -> Result<(), ProtocolError> {
        if self.failed {
            return Ok(());
        }
        let balancer = &mut self.balancer;
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = handled {
            self.failed = true;
            self.actions.clear();
            return write_panic(output, self.id, panic_message(&*panic));
        }
        let mut writer =
            ActionWriter { output, instance: self.id, requests: &self.requests, replicas: &self.replicas };
        for action in self.actions.drain(..) {
            writer.write(&action)?;
        }
        Ok(())
    }

    fn begin_query(
        &mut self,
        now: Millis,
        message: QueryMessage,
        output: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let query = QueryId(self.requests.intern(&message.query));
        self.deliver_pending(now, output)?;
        let class = self.classes.iter().position(|name| *name == message.class);
        let tenant = message.tenant.and_then(|tenant| self.tenants.iter().position(|name| *name == tenant));
        self.groups.insert(message.group, query);
        let event = Event::Query {
            query,
            class: class.ok_or(ProtocolError::UnknownClass)?,
            tenant,
            time_left: message.time_left,
            is_retry: message.is_retry,
            parts: Vec::new(),
        };
        self.pending = Some(PendingEvent { group: message.group, event });
        Ok(())
    }

    /// Adds a part to the pending event of its group. If that event has been delivered, the part begins the query's second
    /// step.
    fn add_part(
        &mut self,
        now: Millis,
        message: PartMessage,
        output: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let part = PartSpec {
            part: PartId(self.requests.intern(&message.part)),
            shard: message.shard,
            weight: message.weight,
            cost_hint: message.cost_hint,
        };
        if let Some(pending) = &mut self.pending
            && pending.group == message.group
        {
            pending.push(part);
            return Ok(());
        }
        self.deliver_pending(now, output)?;
        let Some(&query) = self.groups.get(&message.group) else { return Ok(()) };
        let event = Event::SecondStep { query, parts: vec![part] };
        self.pending = Some(PendingEvent { group: message.group, event });
        Ok(())
    }

    fn endpoint_list(&mut self, scope: ListScope, rows: &[EndpointRow]) -> Result<Event, ProtocolError> {
        let complete = match scope {
            ListScope::Failed => return Ok(Event::EndpointListFailed),
            ListScope::Changes => false,
            ListScope::Complete => true,
        };
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            entries.push(self.replica_entry(row)?);
        }
        Ok(Event::EndpointList { complete, entries })
    }

    fn replica_entry(&mut self, row: &EndpointRow) -> Result<ReplicaEntry, ProtocolError> {
        Ok(ReplicaEntry {
            replica: replica_id(self.replicas.intern(&row.name))?,
            cell: row.cell.unwrap_or(0),
            weight: row.weight.unwrap_or(1.0),
            state: parse_state(&row.state)?,
            started_at: row.started_at.filter(|at| *at != 0.0),
            zone: zone_index(&self.zones, row.zone.as_deref().unwrap_or("")),
        })
    }

    fn attempt_ended(
        &self,
        part: &str,
        attempt: Option<u32>,
        result: UncheckedResult,
    ) -> Result<Option<Event>, ProtocolError> {
        let Some(number) = self.requests.lookup(part) else { return Ok(None) };
        let part = PartId(number);
        let attempt = required(attempt, "sendNo")?;
        let CallResult { outcome, elapsed, report } = result.check()?;
        Ok(Some(Event::AttemptEnded { part, attempt, outcome, elapsed, report }))
    }

    fn health_check_ended(
        &self,
        replica: &str,
        result: UncheckedResult,
    ) -> Result<Option<Event>, ProtocolError> {
        let Some(number) = self.replicas.lookup(replica) else { return Ok(None) };
        let replica = replica_id(number)?;
        let CallResult { outcome, elapsed, report } = result.check()?;
        Ok(Some(Event::HealthCheckEnded { replica, outcome, elapsed, report }))
    }
}

fn replica_id(number: u64) -> Result<ReplicaId, ProtocolError> {
    u32::try_from(number).map(ReplicaId).map_err(|_| ProtocolError::TooManyReplicas)
}

fn parse_state(keyword: &str) -> Result<ReplicaState, ProtocolError> {
    match keyword {
        "up" => Ok(ReplicaState::Up),
        "draining" => Ok(ReplicaState::Draining),
        "removed" => Ok(ReplicaState::Removed),
        other => Err(ProtocolError::UnknownKeyword { kind: "state", keyword: other.to_owned() }),
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    if let Some(message) = panic.downcast_ref::<&str>() {
        return message;
    }
    match panic.downcast_ref::<String>() {
        Some(message) => message,
        None => "panic",
    }
}
