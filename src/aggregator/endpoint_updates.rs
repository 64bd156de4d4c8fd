//! Changes of the endpoint list: their effects on attempts, connections and the balancer, and the removal of records of
//! leaf servers that are no longer listed.

use super::Effect;
use super::records::LeafServer;
use super::reduce::Reduction;
use super::state::State;
use super::timer::Timer;
use crate::balancer::{self, Outcome, ReplicaEntry, ReplicaId, ReplicaState};
use crate::clock::Millis;
use crate::config;
use crate::endpoints::{AuditEvent, Endpoint, EndpointList, EndpointState, Input, Output};
use std::collections::{BTreeMap, HashSet};

/// Leaf servers that are changed by a new endpoint list.
#[derive(Default)]
struct ChangedServers {
    /// Removed from the list or moved to another address; their connections are drained.
    connections_outdated: Vec<ReplicaId>,
    /// Moved to another cell.
    moved: Vec<ReplicaId>,
    /// Draining or removed.
    not_ready: Vec<ReplicaId>,
}

impl Reduction<'_> {
    pub(super) fn discovery_answered(&mut self, list: EndpointList, wall_clock_offset: Millis) {
        self.state.wall_clock_offset = wall_clock_offset;
        self.update_endpoints(Input::Discovery(list));
        self.finish_startup();
    }

    pub(super) fn endpoint_source_changed(&mut self, input: Input, wall_clock_offset: Millis) {
        self.state.wall_clock_offset = wall_clock_offset;
        let starts_without_discovery = matches!(input, Input::Started { initial_list: None, .. });
        if matches!(input, Input::Started { .. }) {
            self.begin_startup();
        }
        self.update_endpoints(input);
        if starts_without_discovery {
            self.finish_startup();
        } else {
            self.await_discovery();
        }
    }

    pub(super) fn discovery_watch_lost(&mut self, malformed_response: bool) {
        let counters = &mut self.state.counters;
        counters.discovery_watches_lost += 1;
        counters.discovery_answers_malformed += u64::from(malformed_response);
        self.balancer_events.push_back(balancer::Event::EndpointListFailed);
    }

    /// Passes an input to the endpoint registry and applies its outputs.
    pub(super) fn update_endpoints(&mut self, input: Input) {
        let mut outputs = Vec::new();
        self.state.endpoints.handle(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::List(list) => self.apply_endpoint_list(list),
                Output::SetTimer(at) => self.state.set_timer(at, Timer::EndpointRegistry),
                Output::Audit(event) => {
                    self.count_audit_event(&event);
                    self.effects.push(Effect::EndpointAudit(event));
                }
            }
        }
    }

    fn count_audit_event(&mut self, event: &AuditEvent) {
        let counters = &mut self.state.counters;
        match event {
            AuditEvent::ListHeldBack { .. } => counters.endpoint_lists_held_back += 1,
            AuditEvent::ListRejected { .. } => counters.endpoint_lists_rejected += 1,
            AuditEvent::ListApplied { confirmed: true, .. } => counters.endpoint_lists_confirmed += 1,
            _ => {}
        }
    }

    fn apply_endpoint_list(&mut self, list: EndpointList) {
        self.state.counters.endpoint_lists_applied += 1;
        let mut changed = ChangedServers::default();
        if list.complete {
            self.mark_absent_servers(&list.entries, &mut changed);
        }
        let mut entries = Vec::new();
        for endpoint in list.entries {
            entries.push(self.apply_endpoint(endpoint, &mut changed));
        }
        for replica in changed.connections_outdated {
            self.drain_connections(replica);
        }
        for replica in changed.moved {
            // The leaf server may no longer hold the shards of these attempts.
            self.withdraw_unsent_attempts(replica, Outcome::ConnectFailed);
        }
        for replica in changed.not_ready {
            self.shorten_send_deadlines(replica);
        }
        self.purge_removed_servers();
        self.balancer_events.push_back(balancer::Event::EndpointList { complete: list.complete, entries });
    }

    /// Marks leaf servers that are missing from a complete list as removed.
    fn mark_absent_servers(&mut self, endpoints: &[Endpoint], changed: &mut ChangedServers) {
        let replica_ids = &self.state.replica_ids;
        let listed = endpoints.iter().filter_map(|endpoint| replica_ids.get(&endpoint.name));
        let listed: HashSet<ReplicaId> = listed.copied().collect();
        for (replica, server) in &mut self.state.leaf_servers {
            if !listed.contains(replica) {
                server.removed_at.get_or_insert(self.now);
                changed.connections_outdated.push(*replica);
                changed.not_ready.push(*replica);
            }
        }
    }

    /// Applies an entry of the list and converts it for the balancer.
    fn apply_endpoint(&mut self, endpoint: Endpoint, changed: &mut ChangedServers) -> ReplicaEntry {
        let state = &mut *self.state;
        let replica = *state.replica_ids.entry(endpoint.name).or_insert_with(|| {
            state.next_replica += 1;
            ReplicaId(state.next_replica - 1)
        });
        let server = state.leaf_servers.entry(replica).or_insert_with(|| LeafServer {
            address: endpoint.address.clone(),
            cell: endpoint.cell,
            started_at_unix: 0.0,
            started_at: None,
            removed_at: None,
        });
        let is_gone = endpoint.state == EndpointState::Gone;
        server.removed_at = is_gone.then_some(self.now);
        if server.started_at_unix != endpoint.started_at_unix {
            server.started_at_unix = endpoint.started_at_unix;
            // With a wrong wall clock the start time may be in the future.
            let started_at = (endpoint.started_at_unix - state.wall_clock_offset).min(self.now);
            server.started_at = (endpoint.started_at_unix > 0.0).then_some(started_at);
        }
        if endpoint.state != EndpointState::Ready {
            changed.not_ready.push(replica);
        }
        if is_gone || server.address != endpoint.address {
            server.address = endpoint.address;
            changed.connections_outdated.push(replica);
        }
        if server.cell != endpoint.cell {
            server.cell = endpoint.cell;
            changed.moved.push(replica);
        }
        ReplicaEntry {
            replica,
            cell: endpoint.cell,
            weight: endpoint.weight,
            state: replica_state(endpoint.state),
            started_at: server.started_at,
            zone: config::zone_index(&state.settings.zones, &endpoint.zone),
        }
    }

    /// Drops the records of leaf servers that were removed longer ago than the slow start window. Otherwise they would
    /// accumulate in deployments where every release has new server names.
    fn purge_removed_servers(&mut self) {
        let State { leaf_servers, replica_ids, connections, settings, counters, .. } = &mut *self.state;
        let retention = settings.balancer.slow_start_window;
        let count_before = leaf_servers.len();
        leaf_servers.retain(|replica, server| {
            let is_recent = server.removed_at.is_none_or(|removed_at| self.now - removed_at < retention);
            is_recent || connections.values().any(|connection| connection.replica == *replica)
        });
        for replica in removed_beyond_limit(leaf_servers) {
            if !connections.values().any(|connection| connection.replica == replica) {
                leaf_servers.remove(&replica);
            }
        }
        let purged = count_before - leaf_servers.len();
        if purged > 0 {
            counters.leaf_servers_forgotten += purged as u64;
            replica_ids.retain(|_, replica| leaf_servers.contains_key(replica));
        }
    }
}

/// The leaf servers that were removed longest ago, if there are too many of them beside the listed ones.
fn removed_beyond_limit(leaf_servers: &BTreeMap<ReplicaId, LeafServer>) -> Vec<ReplicaId> {
    let removed = leaf_servers.iter().filter_map(|(replica, server)| Some((server.removed_at?, *replica)));
    let mut removed: Vec<(Millis, ReplicaId)> = removed.collect();
    let limit = balancer::max_departed_replicas(leaf_servers.len() - removed.len());
    let excess = removed.len().saturating_sub(limit);
    removed.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    removed.into_iter().take(excess).map(|(_, replica)| replica).collect()
}

fn replica_state(state: EndpointState) -> ReplicaState {
    match state {
        EndpointState::Ready => ReplicaState::Up,
        EndpointState::Draining => ReplicaState::Draining,
        EndpointState::Gone => ReplicaState::Removed,
    }
}
