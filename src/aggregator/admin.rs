//! Operators' commands on the admin address and the overrides that they set. Overrides are shared by all processes of an
//! aggregator and persist across restarts.

use super::reduce::Reduction;
use super::{AdminCallId, Effect};
use crate::balancer::Outcome;
use crate::clock::Millis;
use crate::endpoints::Input;
use crate::hot_restart::{OverrideSubject, Overrides};
use std::sync::Arc;

/// Minimum time for which a cancelled override is kept, so that every process of the aggregator receives the
/// cancellation.
const MIN_OVERRIDE_RETENTION: Millis = 60_000.0;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Check whether this process can serve.
    CheckReady,
    /// Stop using the leaf server with this name.
    Disable(Arc<str>),
    /// Cancel [`AdminCommand::Disable`] of the leaf server with this name.
    Enable(Arc<str>),
    /// Drain the aggregator: direct its clients to other aggregators.
    Drain,
    /// Cancel [`AdminCommand::Drain`].
    Resume,
}

/// The outcome of an [`AdminCommand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminOutcome {
    /// The command was carried out; for a check, the answer is yes.
    Accepted,
    /// There are too many overrides; for a check, the answer is no.
    Rejected,
    /// There is no endpoint with that name.
    UnknownEndpoint,
}

impl Reduction<'_> {
    pub(super) fn run_admin_command(&mut self, call: AdminCallId, command: AdminCommand) {
        self.state.counters.admin_commands += 1;
        match command {
            AdminCommand::CheckReady => self.answer_ready_check(call),
            AdminCommand::Disable(name) => self.override_endpoint(call, name, true),
            AdminCommand::Enable(name) => self.override_endpoint(call, name, false),
            AdminCommand::Drain => self.set_override(call, OverrideSubject::Aggregator, true),
            AdminCommand::Resume => self.set_override(call, OverrideSubject::Aggregator, false),
        }
    }

    fn answer_ready_check(&mut self, call: AdminCallId) {
        let can_serve = self.state.lifecycle.can_serve();
        let outcome = if can_serve { AdminOutcome::Accepted } else { AdminOutcome::Rejected };
        self.effects.push(Effect::AnswerAdmin(call, outcome));
    }

    fn override_endpoint(&mut self, call: AdminCallId, name: Arc<str>, active: bool) {
        let is_listed = self.state.endpoints.endpoint(&name).is_some();
        let subject = OverrideSubject::LeafServer(name);
        if is_listed || self.state.overrides.is_active(&subject) {
            self.set_override(call, subject, active);
        } else {
            self.reject_admin_command(call, AdminOutcome::UnknownEndpoint);
        }
    }

    fn set_override(&mut self, call: AdminCallId, subject: OverrideSubject, active: bool) {
        let wall_clock = self.now + self.state.wall_clock_offset;
        match self.state.overrides.set(subject, active, wall_clock) {
            Ok(changed) => {
                if changed {
                    self.apply_overrides();
                }
                // Stored even if unchanged: the override may be in force here but not stored yet.
                self.effects.push(Effect::StoreOverrides(call, self.state.overrides.clone()));
            }
            Err(_) => self.reject_admin_command(call, AdminOutcome::Rejected),
        }
    }

    fn reject_admin_command(&mut self, call: AdminCallId, outcome: AdminOutcome) {
        self.state.counters.admin_commands_rejected += 1;
        self.effects.push(Effect::AnswerAdmin(call, outcome));
    }

    /// Merges stored overrides that were set in another process of this aggregator or before this one started.
    pub(super) fn overrides_loaded(&mut self, overrides: &Overrides, digest: u32) {
        if self.state.overrides.merge(overrides) {
            self.apply_overrides();
        }
        self.effects.push(Effect::OverridesApplied(digest));
    }

    fn apply_overrides(&mut self) {
        self.purge_old_overrides();
        let overrides = self.state.overrides.leaf_servers();
        let active = overrides.iter().filter(|(_, record)| record.active);
        let disabled: Vec<Arc<str>> = active.map(|(name, _)| name.clone()).collect();
        self.update_endpoints(Input::Overrides(overrides));
        for name in disabled {
            if let Some(replica) = self.state.replica_ids.get(&name).copied() {
                // The balancer must not count this as a failure of the leaf server.
                self.withdraw_unsent_attempts(replica, Outcome::NotSent);
                self.drain_connections(replica);
            }
        }
        self.apply_drain_override();
    }

    fn purge_old_overrides(&mut self) {
        let retention = MIN_OVERRIDE_RETENTION.max(self.state.settings.balancer.slow_start_window);
        let wall_clock = self.now + self.state.wall_clock_offset;
        self.state.overrides.forget_before(wall_clock - retention);
    }
}
