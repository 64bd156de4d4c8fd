//! What the registry asks its caller to do.

use super::{AuditEvent, EndpointList, Millis};

/// An output of [`EndpointRegistry::handle`](super::EndpointRegistry::handle), to be carried out in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Use this list, or apply these changes; overrides are in it already.
    List(EndpointList),
    /// Log this event.
    Audit(AuditEvent),
    /// Send [`Input::TimerFired`](super::Input::TimerFired) at this time.
    SetTimer(Millis),
}
