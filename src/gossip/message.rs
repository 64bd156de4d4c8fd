//! Messages between members.

use super::member::{MemberId, MemberUpdate};

/// A message between members. Most carry piggybacked updates.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A probe, answered by [`Message::Ack`] with the same sequence number.
    Ping {
        /// The prober's sequence number.
        sequence: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// The answer to a probe.
    Ack {
        /// The sequence number of the probe.
        sequence: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Updates alone, not answered; sent by a member that leaves.
    Gossip {
        /// The updates.
        updates: Vec<MemberUpdate>,
    },
    /// A part of the sender's table, for a full exchange (push-pull): on a join, and at intervals against lost updates.
    Sync {
        /// The receiver is asked to send its own table back.
        reply_requested: bool,
        /// Updates about the members in this part.
        members: Vec<MemberUpdate>,
    },
    /// Asks the receiver to probe a member for the sender and to relay the answer.
    PingRequest {
        /// The sender's sequence number, for the relayed answer.
        sequence: u64,
        /// The member to probe.
        target: MemberId,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
}

impl Message {
    /// All updates that the message carries.
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
