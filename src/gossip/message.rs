//! Messages that members exchange.

use super::member::{MemberId, MemberUpdate};

/// A message between members. Most carry piggybacked updates.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A probe, answered by [`Message::Ack`] with the same sequence number.
    Ping {
        /// Sequence number of the probe, chosen by the sender.
        sequence: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// The response to a probe.
    Ack {
        /// Sequence number of the probe that it answers.
        sequence: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Updates without a probe; needs no response. Sent by a member that leaves.
    Gossip {
        /// Updates to disseminate.
        updates: Vec<MemberUpdate>,
    },
    /// A part of the sender's table, for a full exchange (push-pull) when a member joins, and at intervals to repair lost
    /// updates.
    Sync {
        /// Whether the receiver must send its own table back.
        reply_requested: bool,
        /// Updates about the members in this part.
        members: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe a member on the sender's behalf and to relay its response.
    PingRequest {
        /// The sender's sequence number, which the relayed response carries.
        sequence: u64,
        /// The member to probe.
        target: MemberId,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
}

impl Message {
    /// Returns all updates that the message carries.
    pub(super) fn updates(&self) -> &[MemberUpdate] {
        match self {
            Message::Ping { updates, .. }
            | Message::Ack { updates, .. }
            | Message::Gossip { updates }
            | Message::PingRequest { updates, .. } => updates,
            Message::Sync { members, .. } => members,
        }
    }
}
