//! Counters of rejected queries, by the balancer's reason.

use super::effect::{Effect, LogEvent};
use super::reduce::Reduction;
use crate::balancer::{QueryId, RejectReason};
use std::collections::BTreeMap;

/// Number of rejected queries, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounters(BTreeMap<RejectReason, u64>);

impl RejectionCounters {
    /// The counters in the Prometheus text format; reasons that have not occurred are reported as 0.
    pub fn text(&self) -> String {
        let mut text = "# HELP sailmux_rejections Queries rejected, by reason.\n\
                        # TYPE sailmux_rejections counter\n"
            .to_owned();
        for reason in RejectReason::ALL {
            let count = self.0.get(&reason).copied().unwrap_or(0);
            text += &format!("sailmux_rejections{{reason=\"{reason}\"}} {count}\n");
        }
        text
    }
}

impl Reduction<'_> {
    /// Counts and logs the rejection of a query by the balancer.
    pub(super) fn record_rejection(&mut self, query: QueryId, reason: RejectReason) {
        *self.state.rejections.0.entry(reason).or_default() += 1;
        let Some(record) = self.state.queries.get(&query) else { return };
        let class = record.class.clone();
        let request_id = record.request_id.clone();
        self.effects.push(Effect::Log(LogEvent::QueryRejected { request_id, class, reason }));
    }
}
