//! The mixer's own life: starting, ready, draining, handing over, leaving; the operators' orders; new settings.
//! `docs/design/operations.md` draws it.

use super::reduce::Reduction;
use super::state::{Client, Timer};
use super::{AdminCallId, AdminCommand, AdminOutcome, Effect, Limits, LogEvent};
use crate::clock::Millis;
use crate::config::SiteSettings;
use crate::endpoints::Input;
use crate::hot_restart::{OverrideSubject, Overrides};
use std::sync::Arc;

/// Clients that are let go are served as ever for so long: the front notices only after a while, and clients whose
/// connections go at once may find no other mixer yet. What comes later may not be answered in time.
const SERVES: Millis = 650.0;
/// A client that has shown no request for so long is idle while clients are let go.
const IDLE: Millis = 100.0;
/// A mixer that has a list is ready without a word from discovery after so long: it may be down.
const HEARS: Millis = 1000.0;
/// What was out and is back is remembered for so long at the least: every process of the mixer has heard of it then.
const REMEMBERED: Millis = 60_000.0;

/// Where a mixer stands in its life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// It has no list yet, or has not heard discovery.
    Starting {
        /// Since when.
        since: Millis,
    },
    /// It serves.
    Ready,
    /// It serves on, and sends its clients away: an operator's order, until the next.
    Draining {
        /// Since when.
        since: Millis,
    },
    /// It ends, and another process of this mixer goes on.
    HotRestarting {
        /// Since when.
        since: Millis,
    },
    /// It ends.
    ShuttingDown {
        /// Since when.
        since: Millis,
    },
}

impl Lifecycle {
    /// Its name, for the log and the counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting { .. } => "starting",
            Self::Ready => "ready",
            Self::Draining { .. } => "draining",
            Self::HotRestarting { .. } => "handing over",
            Self::ShuttingDown { .. } => "leaving",
        }
    }

    /// The process is to end.
    pub fn is_shutting_down(self) -> bool {
        matches!(self, Self::HotRestarting { .. } | Self::ShuttingDown { .. })
    }

    /// Could this process serve, by `/-/ready`?
    pub fn can_serve(self) -> bool {
        matches!(self, Self::Ready | Self::Draining { .. })
    }

    /// Is the mixer to be given clients, by `/healthz`? Where another process goes on the mixer is.
    fn wants_clients(self) -> bool {
        matches!(self, Self::Starting { .. } | Self::Ready | Self::HotRestarting { .. })
    }

    /// From when on an answer ends its connection, and from when on idle clients are closed.
    fn lets_go(self) -> Option<(Millis, Millis)> {
        match self {
            Self::Starting { .. } | Self::Ready => None,
            Self::HotRestarting { since } => Some((since, since + SERVES)),
            Self::Draining { since } | Self::ShuttingDown { since } => Some((since + SERVES, since + SERVES)),
        }
    }

    /// From when on no client is accepted.
    fn shuts(self) -> Option<Millis> {
        match self {
            Self::HotRestarting { since } => Some(since),
            Self::ShuttingDown { since } => Some(since + SERVES),
            _ => None,
        }
    }
}

/// Other processes of this mixer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Siblings {
    /// Those that live.
    pub others: usize,
    /// One of them has said that it is ready.
    pub any_ready: bool,
}

impl Reduction<'_> {
    fn enter_life(&mut self, life: Lifecycle) {
        if self.state.lifecycle.name() != life.name() {
            let (from, to) = (self.state.lifecycle.name(), life.name());
            self.effects.push(Effect::LifecycleChanged { from, to, ready: life.can_serve() });
        }
        self.state.lifecycle = life;
        self.let_go();
    }

    /// A start ends once there is a list and discovery has been heard, or has been silent for long enough.
    pub(super) fn look_ready(&mut self, heard: bool) {
        let Lifecycle::Starting { since } = self.state.lifecycle else { return };
        if self.state.leaf_servers.is_empty() {
            return;
        }
        if heard || self.now >= since + HEARS {
            self.serve();
        } else {
            self.state.arm(since + HEARS, Timer::Ready);
        }
    }

    /// Ready, or drained where an order says so.
    fn serve(&mut self) {
        let drained = self.state.overrides.is_active(&OverrideSubject::Aggregator);
        self.enter_life(if drained { Lifecycle::Draining { since: self.now } } else { Lifecycle::Ready });
    }

    pub(super) fn terminate(&mut self) {
        if self.state.lifecycle.is_shutting_down() {
            return;
        }
        // Clients that a drain has let go already need no more time.
        let since = match self.state.lifecycle {
            Lifecycle::Draining { since } => since,
            _ => self.now,
        };
        let successor = self.state.siblings.any_ready;
        self.effects.push(Effect::Log(LogEvent::ShutdownRequested));
        self.enter_life(if successor {
            Lifecycle::HotRestarting { since }
        } else {
            Lifecycle::ShuttingDown { since }
        });
    }

    /// Is a client's connection to end with its answer?
    pub(super) fn lets_go(&self) -> bool {
        self.state.lifecycle.lets_go().is_some_and(|(answered, _)| self.now >= answered)
    }

    /// Does this mixer take clients, by `/healthz`?
    pub(super) fn is_healthy(&self) -> bool {
        self.state.lifecycle.wants_clients()
            && !self.state.leaf_servers.is_empty()
            && !self.state.overrides.is_active(&OverrideSubject::Aggregator)
    }

    /// While clients are let go: all are served for a while, then idle ones are closed; none are accepted by a process
    /// that ends.
    pub(super) fn let_go(&mut self) {
        let life = self.state.lifecycle;
        let Some((_, idle_from)) = life.lets_go() else { return };
        let shuts = life.shuts().filter(|_| self.state.accepting_clients);
        if shuts.is_some_and(|at| self.now >= at) {
            self.state.accepting_clients = false;
            self.effects.push(Effect::StopAccepting);
        }
        if self.now < idle_from {
            return self.state.arm(idle_from, Timer::LetGo);
        }
        let idle = |c: &Client| c.query.is_none() && c.idle_since + IDLE <= self.now;
        let idle = self.state.clients.iter().filter(|(_, c)| idle(c));
        self.effects.extend(idle.map(|(id, _)| Effect::CloseClient(*id)));
        self.state.arm(self.now + IDLE, Timer::LetGo);
    }

    pub(super) fn check_exit(&mut self) {
        let state = &mut *self.state;
        if state.lifecycle.is_shutting_down()
            && state.listener_closed
            && state.clients.is_empty()
            && !state.exited
        {
            state.exited = true;
            self.effects.push(Effect::Exit);
        }
    }

    // ---- Orders ---------------------------------------------------------------------------------------

    pub(super) fn operate(&mut self, call: AdminCallId, operation: AdminCommand) {
        self.state.counters.operations += 1;
        let (subject, out) = match operation {
            AdminCommand::CheckReady => {
                let verdict = if self.state.lifecycle.can_serve() {
                    AdminOutcome::Accepted
                } else {
                    AdminOutcome::Refused
                };
                return self.effects.push(Effect::AnswerAdmin(call, verdict));
            }
            AdminCommand::Disable(name) => (OverrideSubject::LeafServer(name), true),
            AdminCommand::Enable(name) => (OverrideSubject::LeafServer(name), false),
            AdminCommand::Drain => (OverrideSubject::Aggregator, true),
            AdminCommand::Resume => (OverrideSubject::Aggregator, false),
        };
        if let OverrideSubject::LeafServer(name) = &subject
            && self.state.endpoints.endpoint(name).is_none()
            && !self.state.overrides.is_active(&subject)
        {
            self.state.counters.operations_refused += 1;
            return self.effects.push(Effect::AnswerAdmin(call, AdminOutcome::UnknownEndpoint));
        }
        let now = self.now + self.state.wall_ahead;
        match self.state.overrides.give(subject, out, now) {
            Ok(changed) => {
                if changed {
                    self.obey();
                }
                // Kept in any case: a call that changed nothing here may find that it is not kept yet.
                self.effects.push(Effect::StoreOverrides(call, self.state.overrides.clone()));
            }
            Err(_) => {
                self.state.counters.operations_refused += 1;
                self.effects.push(Effect::AnswerAdmin(call, AdminOutcome::Refused));
            }
        }
    }

    /// Orders that another process of this mixer was given, or that were kept from before.
    pub(super) fn orders_found(&mut self, orders: &Overrides, digest: u32) {
        if self.state.overrides.merge(orders) {
            self.obey();
        }
        self.effects.push(Effect::OverridesApplied(digest));
    }

    /// Does what the orders say now.
    fn obey(&mut self) {
        let long_ago =
            self.now + self.state.wall_ahead - REMEMBERED.max(self.state.settings.balancer.slow_start_window);
        self.state.overrides.forget_before(long_ago);
        let nodes = self.state.overrides.leaf_servers();
        let out: Vec<Arc<str>> =
            nodes.iter().filter(|(_, o)| o.active).map(|(name, _)| name.clone()).collect();
        self.membership(Input::Overrides(nodes), None);
        for name in out {
            if let Some(node) = self.state.replica_ids.get(&name).copied() {
                self.withdraw(node);
                self.retire(node);
            }
        }
        let drained = self.state.overrides.is_active(&OverrideSubject::Aggregator);
        match self.state.lifecycle {
            Lifecycle::Ready if drained => self.enter_life(Lifecycle::Draining { since: self.now }),
            Lifecycle::Draining { .. } if !drained => self.enter_life(Lifecycle::Ready),
            _ => {}
        }
    }

    /// Other processes of this mixer have come or gone: what a process may hold open is shared among them.
    pub(super) fn beside(&mut self, beside: Siblings) {
        self.state.siblings = beside;
        self.state.limits = self.state.process_limits.divided_among(1 + beside.others);
        self.effects.push(Effect::SetClientCapacity(self.state.limits.max_client_connections()));
    }

    // ---- Settings -------------------------------------------------------------------------------------

    /// New figures count for what comes from now on; what is held goes on as it began.
    pub(super) fn settings(&mut self, site: SiteSettings, limits: Limits) {
        let old = &self.state.settings;
        let was = |name: &String| old.classes.iter().position(|c| c == name);
        let was: Vec<Option<usize>> = site.classes.iter().map(was).collect();
        let zones_moved = site.zones != old.zones;
        // They were checked before, and are not turned down now.
        if self.state.balancer.reconfigure(site.balancer.clone(), &was).is_err() {
            self.state.counters.reloads_rejected += 1;
            return;
        }
        self.state.counters.reloads += 1;
        let layout = site.layout();
        self.state.settings = site;
        self.state.process_limits = limits;
        self.beside(self.state.siblings);
        self.membership(Input::Layout(layout), None);
        if zones_moved {
            // The module knows zones by their place in the settings.
            self.membership(Input::Resend, None);
        }
    }
}
