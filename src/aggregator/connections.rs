//! Connections to nodes: opened, shared, retired, closed, and what their end means for what was on them.

use super::reduce::Reduction;
use super::state::{Conn, PartName, Phase, Probe, Stage, Timer};
use super::{AttemptId, ConnectionId, Effect, LogEvent};
use crate::balancer::{Millis, Outcome, ReplicaId};
use std::collections::{BTreeSet, VecDeque};

/// Unwritten messages on a connection beyond which nothing new is put on it: bounds a stalled node's queue.
const UNWRITTEN_MOST: usize = 64;
/// Share of the nodes' keep-alive after which an idle connection is closed, and the least margin to it: our
/// close must come before theirs, or a part crosses it and is reset.
const IDLE_SHARE: f64 = 0.8;
const IDLE_MARGIN: Millis = 500.0;

impl Reduction<'_> {
    /// A connection to a node for a part, or for a probe. Not one on which an answer may yet come to what was given up
    /// under the part's name: it could not be told from the answer to this attempt.
    pub(super) fn connection_to(&mut self, node: ReplicaId, part: Option<&PartName>) -> Option<ConnectionId> {
        // Every part is taken for a call of its own, the most it can be. One place stays free, and what was given
        // up may be in the node's hands still: on a full connection the node reads no give-up, and the part's
        // next attempt would be a second copy.
        let most = (self.state.settings.calls_per_connection as usize).saturating_sub(1).max(1);
        let room = |c: &Conn| {
            c.node == node
                && !c.retired
                && c.phase != Phase::Closing
                && c.attempts.len() + c.abandoned.len() < most
                && c.unwritten.len() < UNWRITTEN_MOST
        };
        let carries = |c: &Conn, part: &PartName| {
            let out = || c.attempts.iter().filter_map(|id| self.state.attempts.get(id));
            c.abandoned.values().any(|name| name == part) || out().any(|a| a.name == *part)
        };
        let free = |c: &Conn| part.is_none_or(|part| !carries(c, part));
        let with_room = self.state.connections.iter().filter(|(_, c)| room(c) && free(c));
        let best = with_room.min_by_key(|(id, c)| (c.phase != Phase::Up, **id)).map(|(id, _)| *id);
        if best.is_some() {
            return best;
        }
        if self.state.connections.len() >= self.state.limits.leaf_connections {
            return None; // descriptors are bounded: against running out of them under a storm of dials
        }
        let address = self.state.leaf_servers.get(&node)?.address.clone();
        let id = ConnectionId(self.state.fresh_id());
        self.state.connections.insert(id, Conn::new(node, self.now));
        self.state.counters.connections_dialled += 1;
        self.state.arm(self.now + self.state.settings.connect_timeout, Timer::Dial(id));
        self.effects.push(Effect::Connect(id, address));
        Some(id)
    }

    pub(super) fn connected(&mut self, conn: ConnectionId) {
        let Some(c) = self.state.connections.get_mut(&conn).filter(|c| c.phase == Phase::Dialling) else {
            return;
        };
        (c.phase, c.heard) = (Phase::Up, self.now);
        let probes = std::mem::take(&mut c.probes_placed);
        self.state.counters.connections_up += 1;
        for _ in 0..probes {
            self.hand_probe(conn);
        }
        self.arm_idle(conn);
    }

    pub(super) fn written(&mut self, conn: ConnectionId, upto: u64) {
        let Some(c) = self.state.connections.get_mut(&conn) else { return };
        let before = c.written;
        c.unwritten.drain(..(upto.saturating_sub(before) as usize).min(c.unwritten.len()));
        c.written = upto;
        let mut settled = Vec::new();
        for id in &c.attempts {
            match self.state.attempts.get(id).map(|a| a.stage) {
                Some(Stage::Handed(_, message)) if before < message && message <= upto => {
                    self.state.counters.attempts_sent += 1;
                }
                Some(Stage::GivenUp(_, Some(message))) if message <= upto => settled.push(*id),
                _ => {}
            }
        }
        for id in settled {
            self.abandon(id, conn);
        }
    }

    pub(super) fn broken(&mut self, conn: ConnectionId, why: &str, spoilt: bool) {
        let Some(c) = self.state.connections.remove(&conn) else { return };
        self.state.counters.connections_failed += u64::from(c.phase == Phase::Dialling);
        if c.phase != Phase::Closing {
            self.state.counters.connections_broken += 1;
            if !why.is_empty() {
                let reason = why.to_owned();
                self.effects.push(Effect::Log(LogEvent::LeafConnectionEnded { replica: c.node, reason }));
            }
        }
        self.state.counters.connections_spoilt += u64::from(spoilt);
        self.lose(&c.attempts, &c.probes, &c, if spoilt { Outcome::Error } else { Outcome::Reset });
        for id in c.attempts {
            self.settle(id);
        }
    }

    /// Ends a connection from this side. Whole frames on it stay unsettled until the end is confirmed.
    pub(super) fn close(&mut self, conn: ConnectionId) {
        let Some(c) = self.state.connections.get_mut(&conn).filter(|c| c.phase != Phase::Closing) else {
            return;
        };
        self.state.counters.connections_closed += 1;
        self.effects.push(Effect::CloseConnection(conn));
        let was = std::mem::replace(&mut c.phase, Phase::Closing);
        let lost = Conn { phase: was, probes: std::mem::take(&mut c.probes), ..Conn::new(c.node, self.now) };
        // The writer may get a frame out before it sees the order to close: each may have run.
        let (attempts, lost) = (c.attempts.clone(), Conn { written: c.handed(), ..lost });
        self.lose(&attempts, &lost.probes, &lost, Outcome::Reset);
    }

    /// Ends all attempts and probes of a connection that is no more, by what was written of them; `whole` is the
    /// outcome of those that may have run.
    pub(super) fn lose(
        &mut self,
        attempts: &BTreeSet<AttemptId>,
        probes: &VecDeque<Probe>,
        c: &Conn,
        whole: Outcome,
    ) {
        for id in attempts {
            match self.state.attempts.get(id).map(|a| a.stage) {
                // Part of a frame proves that it never ran; a whole one may have.
                Some(Stage::Handed(_, message)) if message <= c.written => self.end(*id, whole, None),
                Some(Stage::Placed(_) | Stage::Handed(..)) => self.end(*id, Outcome::ConnectFailed, None),
                _ => {}
            }
        }
        let outcome = if c.phase == Phase::Dialling { Outcome::ConnectFailed } else { Outcome::Reset };
        for probe in probes.iter().filter(|p| !p.over) {
            self.tell_probed(c.node, outcome, self.now - probe.sent, None);
        }
    }

    /// Closes a connection that takes nothing new once nothing is out on it.
    pub(super) fn close_if_done(&mut self, conn: ConnectionId) {
        if self.state.connections.get(&conn).is_some_and(|c| c.retired && c.is_unused()) {
            self.close(conn);
        }
    }

    pub(super) fn arm_idle(&mut self, conn: ConnectionId) {
        let keepalive = self.state.settings.idle_timeout;
        let after = (IDLE_SHARE * keepalive).min((keepalive - IDLE_MARGIN).max(0.0)).max(1.0);
        let Some(c) = self.state.connections.get(&conn) else { return };
        let due = if c.is_unused() { c.used } else { self.now } + after;
        if due <= self.now { self.close(conn) } else { self.state.arm(due, Timer::Idle(conn)) }
    }

    /// A connection on which nothing came since a time: its machine may be gone without a word, and even back
    /// without knowing it. New work finds out by a dial.
    pub(super) fn retire_if_silent(&mut self, conn: ConnectionId, since: Millis) {
        if let Some(c) = self.state.connections.get_mut(&conn).filter(|c| c.heard < since) {
            c.retired = true;
            self.close_if_done(conn);
        }
    }

    /// Connections to a node that left or moved take nothing new.
    pub(super) fn retire(&mut self, node: ReplicaId) {
        let of_node = self.state.connections.iter_mut().filter(|(_, c)| c.node == node);
        let ids: Vec<ConnectionId> = of_node.map(|(id, c)| (c.retired = true, *id).1).collect();
        for conn in ids {
            self.close_if_done(conn);
        }
    }
}
