//! Members, their status, and the updates that members exchange about each other.

use std::sync::Arc;

/// The id of a member. Each process chooses a new id when it starts, so a restarted process is a new member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

/// The status of a member. At equal incarnation a later status in this order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// Answers probes, as far as is known.
    Alive,
    /// Has not answered a probe. The member can refute the suspicion with a higher incarnation.
    Suspect,
    /// Declared dead. The member becomes alive again only with a higher incarnation.
    Dead,
    /// Left in a graceful shutdown. The member becomes alive again only with a higher incarnation.
    Left,
}

impl MemberStatus {
    /// Returns whether the member takes part in the fleet, that is, is alive or suspect.
    pub fn is_live(self) -> bool {
        self <= MemberStatus::Suspect
    }
}

/// An update about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member that the update is about.
    pub id: MemberId,
    /// Address at which the member receives messages.
    pub address: Arc<str>,
    /// The member's zone, from its own settings.
    pub zone: Arc<str>,
    /// Incarnation of the member: a counter that only the member itself increments, to refute an update about it.
    pub incarnation: u64,
    /// Status that the update reports.
    pub status: MemberStatus,
    /// The member that first reported this status: the member itself, or the one that suspects it or declares it dead.
    /// Suspicions of the same incarnation by different reporters confirm each other.
    pub reporter: MemberId,
}

impl MemberUpdate {
    /// Returns whether this update takes precedence over `known`: by a higher incarnation or, at equal incarnation, by a
    /// later status. The reporter is not compared.
    pub fn supersedes(&self, known: &MemberUpdate) -> bool {
        (self.incarnation, self.status) > (known.incarnation, known.status)
    }
}
