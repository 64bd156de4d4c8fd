//! Health checks of leaf servers. The balancer decides when a check is worth its cost.

use super::leaf_connection::{ConnectionPhase, PendingHealthCheck};
use super::reduce::Reduction;
use super::timer::Timer;
use super::{ConnectionId, Effect};
use crate::balancer::{self, LoadReport, Outcome, ReplicaId};
use crate::clock::Millis;

/// Time after which an unanswered health check has failed.
const HEALTH_CHECK_TIMEOUT: Millis = 1000.0;

impl Reduction<'_> {
    pub(super) fn start_health_check(&mut self, replica: ReplicaId) {
        let Some(id) = self.connection_for(replica, None) else {
            self.report_health_check(replica, Outcome::ConnectFailed, 0.0, None);
            return;
        };
        self.state.counters.health_checks_sent += 1;
        let Some(connection) = self.state.connections.get_mut(&id) else { return };
        connection.health_checks.push_back(PendingHealthCheck { sent_at: self.now, reported: false });
        if connection.phase == ConnectionPhase::Established {
            self.submit_health_check(id);
        } else {
            connection.queued_health_checks += 1;
        }
        self.state.set_timer(self.now + HEALTH_CHECK_TIMEOUT, Timer::HealthCheckTimeout(id));
    }

    /// Passes a health check to the writer of an established connection.
    pub(super) fn submit_health_check(&mut self, id: ConnectionId) {
        let Some(connection) = self.state.connections.get_mut(&id) else { return };
        connection.submit_message(self.now);
        self.effects.push(Effect::SendHealthCheck(id));
        let write_timeout_at = self.now + self.state.settings.connect_timeout;
        self.state.set_timer(write_timeout_at, Timer::WriteTimeout(id));
    }

    pub(super) fn health_check_answered(
        &mut self,
        id: ConnectionId,
        healthy: bool,
        report: Option<LoadReport>,
    ) {
        let Some(connection) = self.state.connections.get_mut(&id) else { return };
        connection.last_received_at = self.now;
        let replica = connection.replica;
        let answered = connection.health_checks.pop_front();
        if let Some(check) = answered.filter(|check| !check.reported) {
            let outcome = if healthy { Outcome::Ok } else { Outcome::Error };
            self.report_health_check(replica, outcome, self.now - check.sent_at, report);
        }
        self.close_if_drained(id);
    }

    /// Counts a health check's outcome and reports it to the balancer.
    pub(super) fn report_health_check(
        &mut self,
        replica: ReplicaId,
        outcome: Outcome,
        elapsed: Millis,
        report: Option<LoadReport>,
    ) {
        let counters = &mut self.state.counters;
        counters.load_reports_received += u64::from(report.is_some());
        if outcome == Outcome::Ok {
            counters.health_checks_passed += 1;
            counters.load_reports_missing += u64::from(report.is_none());
        } else {
            counters.health_checks_failed += 1;
        }
        let event = balancer::Event::HealthCheckEnded { replica, outcome, elapsed, report };
        self.balancer_events.push_back(event);
    }

    pub(super) fn health_check_timed_out(&mut self, id: ConnectionId) {
        let Some(connection) = self.state.connections.get_mut(&id) else { return };
        let replica = connection.replica;
        let overdue_since = self.now - HEALTH_CHECK_TIMEOUT;
        let mut overdue = Vec::new();
        for check in &mut connection.health_checks {
            if !check.reported && check.sent_at <= overdue_since {
                check.reported = true;
                overdue.push(check.sent_at);
            }
        }
        for sent_at in overdue {
            self.report_health_check(replica, Outcome::Timeout, self.now - sent_at, None);
            self.drain_if_unresponsive(id, sent_at);
        }
    }
}
