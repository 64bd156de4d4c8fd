//! The mixer's own life: new settings, leaving, the end.

use super::reduce::Step;
use super::state::{Client, Timer};
use super::{Effect, Limits};
use crate::config::SiteSettings;
use crate::decide::api::Millis;
use crate::membership::Input;

/// After SIGTERM clients are served as ever for so long: the front notices a leaving mixer only after a while, and
/// clients whose connections go at once may find no other mixer yet. What comes later may not be answered in time.
const DRAIN_SERVES: Millis = 650.0;
/// A client that has shown no request for so long is idle while this mixer leaves.
const DRAIN_IDLE: Millis = 100.0;

impl Step<'_> {
    /// New figures count for what comes from now on; what is held goes on as it began.
    pub(super) fn settings(&mut self, site: SiteSettings, limits: Limits) {
        self.state.counters.reloads += 1;
        // Both were checked before: neither is turned down now.
        if self.state.module.reconfigure(site.module.clone()).is_ok() {
            let layout = site.layout();
            (self.state.site, self.state.limits) = (site, limits);
            self.membership(Input::Layout(layout), None);
        }
    }

    pub(super) fn terminate(&mut self) {
        if self.state.terminating.is_some() {
            return;
        }
        self.state.terminating = Some(self.now);
        self.effects.push(Effect::Log("asked to end: answering what is held".to_owned()));
        self.drain();
    }

    /// Is this mixer leaving, and has it served as ever for long enough?
    pub(super) fn leaving(&self) -> bool {
        self.state.terminating.is_some_and(|since| self.now >= since + DRAIN_SERVES)
    }

    /// While this mixer leaves: all are served for a while, then none are accepted and idle ones are closed.
    pub(super) fn drain(&mut self) {
        let Some(since) = self.state.terminating else { return };
        if self.now < since + DRAIN_SERVES {
            return self.state.arm(since + DRAIN_SERVES, Timer::Drain);
        }
        self.effects.push(Effect::StopAccepting);
        let idle = |c: &Client| c.query.is_none() && c.idle_since + DRAIN_IDLE <= self.now;
        let idle = self.state.clients.iter().filter(|(_, c)| idle(c));
        self.effects.extend(idle.map(|(id, _)| Effect::CloseClient(*id)));
        self.state.arm(self.now + DRAIN_IDLE, Timer::Drain);
    }

    pub(super) fn check_exit(&mut self) {
        if self.leaving() && self.state.clients.is_empty() && !self.state.exited {
            self.state.exited = true;
            self.effects.push(Effect::Exit);
        }
    }
}
