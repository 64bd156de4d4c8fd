//! What members say about each other.

use std::sync::Arc;

/// A member, by the id it draws at its start: a restarted process is a new member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

/// The status of a member. At equal incarnation a later status in this order takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// Answers, as far as is known.
    Alive,
    /// Has not answered a probe; it may refute that with a higher incarnation.
    Suspect,
    /// Declared dead; alive again only with a higher incarnation.
    Dead,
    /// Left by a graceful shutdown; alive again only with a higher incarnation.
    Left,
}

impl MemberStatus {
    /// Whether the member takes part: alive or suspect.
    pub fn is_live(self) -> bool {
        self <= MemberStatus::Suspect
    }
}

/// An update about a member, as members exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member it is about.
    pub id: MemberId,
    /// The address at which the member receives messages.
    pub address: Arc<str>,
    /// The member's zone, as its own settings name it.
    pub zone: Arc<str>,
    /// The member's incarnation: a counter that only the member itself raises, to refute an update about it.
    pub incarnation: u64,
    /// The member's status.
    pub status: MemberStatus,
    /// Who first stated this: the member itself, or for a suspicion the prober. Suspicions of one incarnation by
    /// different reporters confirm each other.
    pub reporter: MemberId,
}

impl MemberUpdate {
    /// Whether this update takes precedence over what is known: by a higher incarnation or, at an equal one, a later
    /// status. The reporter does not count.
    pub fn supersedes(&self, known: &MemberUpdate) -> bool {
        (self.incarnation, self.status) > (known.incarnation, known.status)
    }
}
