//! Outputs of the endpoint registry.

use super::{AuditEvent, EndpointList, Millis};

/// An output of [`EndpointRegistry::handle`](super::EndpointRegistry::handle), which the caller carries out in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Replace the endpoint list, or apply these changes to it; overrides are already applied.
    List(EndpointList),
    /// Log this event.
    Audit(AuditEvent),
    /// Send [`Input::TimerFired`](super::Input::TimerFired) at this time.
    SetTimer(Millis),
}
